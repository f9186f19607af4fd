package placement

import "moleshift/dataplane/kvindex"

// decodeShare is what a token to be generated counts against one to be read: it shares its step with all that run there.
const decodeShare = 0.1

// Work is what a request brings to a server.
type Work struct {
	Parts  []kvindex.Part // of the prompt, in order; the last is the request's own
	Tokens float64        // of the prompt; 0: not a prompt
	MaxOut float64        // tokens that it may generate
}

// size is the work, in tokens, at a server that keeps so many tokens of the prompt. What is no prompt counts as one.
func (w *Work) size(kept float64) float64 {
	if w.Tokens == 0 {
		return 1
	}
	return max(w.Tokens-kept, 1) + w.decode()
}

// decode is the work that the tokens bring which the request may generate.
func (w *Work) decode() float64 { return decodeShare * w.MaxOut }

// shared gives the parts that others may use too, all but the last, and their tokens.
func (w *Work) shared() (parts []kvindex.Part, tokens float64) {
	parts = w.Parts[:max(len(w.Parts)-1, 0)]
	for _, part := range parts {
		tokens += part.Tokens
	}
	return parts, tokens
}

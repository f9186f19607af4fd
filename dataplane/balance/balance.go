// Package balance chooses the server of a request and the source of the prompt parts that the server lacks.
//
// The rule is that of Hu et al. (SoCC '17): a part of size D goes to the holder of least marginal load D*(Q+D/2), where Q is what
// is in flight there. D is what the server has to work off for the request, in tokens. The package is pure: it decides on what it
// is given, and draws ties from the source of randomness that it is given.
package balance

import "math/rand/v2"

// Candidate is a server or a source that may be chosen.
type Candidate struct {
	Size     float64 // D: the work that the request would bring, in tokens
	Queue    float64 // Q: the work in flight there, in tokens
	Slowness float64 // measured pace against the others'; 1 where nothing is known
	Standing int     // candidates of a lower standing go first, whatever their load
}

// Load is the marginal load of a candidate.
func (c *Candidate) Load() float64 {
	slow := c.Slowness
	if slow <= 0 {
		slow = 1
	}
	return c.Size * (c.Queue + c.Size/2) * slow
}

// Choose gives the index of the candidate of least standing and then of least marginal load; ties are drawn at random. -1: there
// is none.
func Choose(candidates []Candidate, random *rand.Rand) int {
	best, ties := -1, 0
	for i := range candidates {
		if best < 0 || less(&candidates[i], &candidates[best]) {
			best, ties = i, 1
			continue
		}
		if !less(&candidates[best], &candidates[i]) {
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func less(a, b *Candidate) bool {
	if a.Standing != b.Standing {
		return a.Standing < b.Standing
	}
	return a.Load() < b.Load()
}

package processes

// judge.go owns the judgement of what the receiver wrote down: no right with two holders, no effect out of the order of tokens, and the
// receiver's answers those of a fence, by a checker that was not written here. It must never ask a router.

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"moleshift/lease"
)

// verdict is what the effects of a run come to.
type verdict struct {
	twoHolders, stale, back int
	broken                  []string
	unlinear                int // rights whose history no fence could have given
	effects, refused        int
	tenures                 int
}

func (v *verdict) say(count *int, format string, args ...any) {
	*count++
	if len(v.broken) < 10 {
		v.broken = append(v.broken, fmt.Sprintf(format, args...))
	}
}

// judge looks at the effects of each right.
func judge(effects []effect) *verdict {
	v := &verdict{}
	byRight := map[string][]effect{}
	var names []string
	for _, e := range effects {
		if byRight[e.right] == nil {
			names = append(names, e.right)
		}
		byRight[e.right] = append(byRight[e.right], e)
	}
	slices.Sort(names)
	for _, name := range names {
		v.right(name, byRight[name])
	}
	return v
}

// right judges one. All that counts is what a holder sent and when it came: when it sent an effect it held the right, by its own
// word; so a smaller token sent after a greater one was first sent means two holders at that point of time.
func (v *verdict) right(name string, all []effect) {
	first := map[lease.Token]time.Duration{}
	for _, e := range all {
		if at, known := first[e.token]; !known || e.sent < at {
			first[e.token] = e.sent
		}
	}
	v.tenures += len(first)
	var tokens []lease.Token
	for t := range first {
		tokens = append(tokens, t)
	}
	slices.Sort(tokens)
	for i := 1; i < len(tokens); i++ {
		if first[tokens[i]] < first[tokens[i-1]] {
			v.say(&v.back, "%s: token %v is first seen at %v, token %v at %v", name, tokens[i], first[tokens[i]], tokens[i-1],
				first[tokens[i-1]])
		}
	}
	var greatest lease.Token
	for _, e := range all { // in the order in which they came
		v.effects++
		if !e.taken {
			v.refused++
		} else if e.token < greatest {
			v.say(&v.stale, "%s: an effect under %v was taken after one under %v", name, e.token, greatest)
		}
		if e.taken {
			greatest = max(greatest, e.token)
		}
		for _, t := range tokens {
			if t > e.token && first[t] < e.sent {
				v.say(&v.twoHolders, "%s: seat %d held it under %v at %v, though %v was in use since %v", name, e.seat, e.token, e.sent, t,
					first[t])
				break
			}
		}
	}
	if !porcupine.CheckOperations(fenceModel, operations(all)) {
		v.unlinear++
		v.broken = append(v.broken, name+": no fence could have answered so")
	}
}

// attempt is an effect as porcupine sees it: what was asked, and whether it passed.
type attempt struct {
	token lease.Token
	step  uint64
}

// fenceState is a fence of one right, and how far its work is.
type fenceState struct {
	greatest lease.Token
	step     uint64
}

// fenceModel is what a fence does, one at a time: a token passes that is not smaller than the greatest, and a step is done that is the next.
var fenceModel = porcupine.Model{
	Init: func() any { return fenceState{} },
	Step: func(state, input, output any) (bool, any) {
		s, a, passed := state.(fenceState), input.(attempt), output.(bool)
		if passed != (a.token >= s.greatest) {
			return false, s
		}
		if !passed {
			return true, s
		}
		return a.step <= s.step+1, fenceState{a.token, max(s.step, a.step)}
	},
}

func operations(all []effect) (ops []porcupine.Operation) {
	for _, e := range all {
		ops = append(ops, porcupine.Operation{ClientId: e.seat, Input: attempt{e.token, e.step}, Output: e.taken, Call: int64(e.came),
			Return: int64(e.answered) + 1})
	}
	return ops
}

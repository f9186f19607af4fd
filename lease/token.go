package lease

// token.go owns fencing tokens, and the check that whoever receives an effect makes. It must never let a smaller token pass
// after a greater one.

import (
	"fmt"
	"slices"
)

// Token is of one tenure of a right: the leader's reign, and a number within it. Of two tenures the later has the greater token,
// over holders, leaders and restarts. It is a positive number in 63 bits, until the year 2248.
type Token uint64

const (
	inReign   = 20
	mostReign = 1 << (63 - inReign)
)

// Token makes one of a reign and a number.
func tokenOf(reign uint64, number uint32) Token { return Token(reign<<inReign | uint64(number)) }

// Reign tells which leader gave it.
func (t Token) Reign() uint64 { return uint64(t) >> inReign }

func (t Token) String() string {
	return fmt.Sprintf("%d.%d", t.Reign(), uint64(t)&(1<<inReign-1))
}

// Fence is what the receiver of effects remembers: the greatest token of each right. Its zero value is ready. What is to outlive
// the receiver is its owner's to keep: Greatest has it, and Raise brings it back.
type Fence struct{ greatest map[string]Token }

// Pass tells whether an effect under a token may happen; then no smaller token of the right passes any more. It must be asked
// and the effect be done as one, with nothing of the same right in between.
func (f *Fence) Pass(right string, t Token) bool {
	if t < f.greatest[right] || t == 0 {
		return false
	}
	f.Raise(right, t)
	return true
}

// Raise has no smaller token of a right pass any more.
func (f *Fence) Raise(right string, t Token) {
	if f.greatest == nil {
		f.greatest = map[string]Token{}
	}
	f.greatest[right] = max(f.greatest[right], t)
}

// Greatest is the greatest token that passed; 0: none.
func (f *Fence) Greatest(right string) Token { return f.greatest[right] }

// Rights are those that a token is known of, in order.
func (f *Fence) Rights() []string {
	var all []string
	for name := range f.greatest {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

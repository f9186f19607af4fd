// Package limits says what fits: which connections a router takes and keeps, and how much memory it holds for
// what. It does no I/O, has no clock and starts no goroutine: the time and what happens are handed in, what
// is to be done goes out as a verdict. It must never decide on a query for the sake of load: that is package
// choice's; here a query fits or does not.
//
// book.go owns the book of memory: what is held for which purpose, with a floor and a cap for each. It must
// never give one purpose's floor to another, and never let a cap be passed.
package limits

import (
	"fmt"
	"strings"
)

// Time is a point in time or a length of time, in whole tenths of a millisecond, as in package choice.
type Time int64

// Millisecond is the unit in which settings are usually written down.
const Millisecond Time = 10

// Purpose is what memory is held for.
type Purpose int

const (
	Connections Purpose = iota // of clients: rings, goroutines and parsers
	Bodies                     // requests that are still coming
	Queries                    // that are open: their text, their parts and calls
	Values                     // what leaves have answered, until it is written to the client
	LeafLinks                  // connections to leaves: rings and goroutines
	Frames                     // answers of leaves that are still coming
	GivenUp                    // calls given up whose answers may yet come
	Dues                       // what is due, and what the owner is told
	List                       // the leaves, as the list has them
	Captures                   // what is recorded and not yet in a file
	purposes
)

var purposeNames = [purposes]string{
	"connections",
	"bodies",
	"queries",
	"values",
	"leaf links",
	"frames",
	"given up",
	"dues",
	"list",
	"captures",
}

func (p Purpose) String() string { return purposeNames[p] }

// Purposes are all of them, in their order.
func Purposes() []Purpose {
	all := make([]Purpose, purposes)
	for i := range all {
		all[i] = Purpose(i)
	}
	return all
}

// Portion is what a purpose is sure of and what it may have at most, as shares of the whole. A purpose whose
// most is 0 is only counted: it has bounds of its own elsewhere.
type Portion struct{ Floor, Most float64 }

// Portions are those of all purposes, unless stated otherwise. Their floors leave something to share. What is
// held for long by those who do not work (connections) may have less of the whole than what a query needs to
// end well.
func Portions() [purposes]Portion {
	return [purposes]Portion{
		Connections: {0.05, 0.3},
		Bodies:      {0.05, 0.25},
		Queries:     {0.1, 0.5},
		Values:      {0.2, 0.6},
		LeafLinks:   {0.1, 0.3},
		Frames:      {0.1, 0.3},
		GivenUp:     {},
		Dues:        {},
		List:        {},
		Captures:    {},
	}
}

// Account is one purpose's line in the book.
type Account struct {
	Held, Peak int64 // bytes
	Floor, Cap int64
	Refused    int // times that something did not fit
	warned     bool
}

// Book is all of them. Without a whole nothing is ever refused, and all is counted.
type Book struct {
	Whole    int64 // bytes that may be given out; 0: no end
	Accounts [purposes]Account
	Uneven   int  // returns of more than was held: must stay 0
	Strict   bool // such a return panics: for tests

	shared int64 // of the whole, that is nobody's floor
	beyond int64 // held above floors
}

// warnAt is the part of a cap from which a warning is due, and clearAt that under which the next one may be.
const (
	warnAt  = 0.85
	clearAt = 0.7
)

// NewBook makes one for so many bytes.
func NewBook(whole int64, portions [purposes]Portion) *Book {
	b := &Book{}
	b.Resize(whole, portions)
	return b
}

// Resize changes the whole and the portions, also to less than is held: then nothing more is given until
// enough has come back.
func (b *Book) Resize(whole int64, portions [purposes]Portion) {
	b.Whole, b.shared, b.beyond = max(whole, 0), max(whole, 0), 0
	for p := range b.Accounts {
		a := &b.Accounts[p]
		a.Floor, a.Cap = int64(portions[p].Floor*float64(b.Whole)), int64(portions[p].Most*float64(b.Whole))
		b.shared -= a.Floor
		b.beyond += max(a.Held-a.Floor, 0)
	}
}

// fits tells whether a purpose may have so much more.
func (b *Book) fits(p Purpose, n int64) bool {
	a := &b.Accounts[p]
	if b.Whole == 0 || n <= 0 || a.Cap == 0 {
		return true
	}
	if a.Held+n > a.Cap {
		return false
	}
	above := max(a.Held+n-a.Floor, 0) - max(a.Held-a.Floor, 0)
	return above == 0 || b.beyond+above <= b.shared
}

// Take takes memory for a purpose; false if it does not fit, and then nothing is taken.
func (b *Book) Take(p Purpose, n int64) bool {
	if !b.fits(p, n) {
		b.Accounts[p].Refused++
		return false
	}
	b.move(p, n)
	return true
}

// TakeLeaving takes memory only if so much more of it would still fit afterwards.
func (b *Book) TakeLeaving(p Purpose, n, left int64) bool {
	if !b.fits(p, n+left) {
		b.Accounts[p].Refused++
		return false
	}
	b.move(p, n)
	return true
}

// Return gives back what was taken.
func (b *Book) Return(p Purpose, n int64) {
	if n > b.Accounts[p].Held || n < 0 {
		if b.Uneven++; b.Strict {
			panic(fmt.Sprintf("limits: %d returned of %d for %v", n, b.Accounts[p].Held, p))
		}
		n = min(max(n, 0), b.Accounts[p].Held)
	}
	b.move(p, -n)
}

// Set says how much a purpose holds that is counted from time to time and never refused.
func (b *Book) Set(p Purpose, held int64) { b.move(p, max(held, 0)-b.Accounts[p].Held) }

// move is the one way from amount to amount.
func (b *Book) move(p Purpose, n int64) {
	a := &b.Accounts[p]
	before := max(a.Held-a.Floor, 0)
	a.Held += n
	a.Peak = max(a.Peak, a.Held)
	b.beyond += max(a.Held-a.Floor, 0) - before
}

// Held is all that is held.
func (b *Book) Held() (sum int64) {
	for p := range b.Accounts {
		sum += b.Accounts[p].Held
	}
	return sum
}

// Warnings are the purposes that have come near to their caps, or to the end of what is shared, since they
// were last told of.
func (b *Book) Warnings() (near []Purpose) {
	if b.Whole == 0 {
		return nil
	}
	for p := range b.Accounts {
		a := &b.Accounts[p]
		if a.Cap == 0 {
			continue
		}
		most := min(a.Cap, max(a.Held, a.Floor)+b.shared-b.beyond)
		use := float64(a.Held) / float64(max(most, 1))
		if use >= warnAt && !a.warned {
			near = append(near, Purpose(p))
		}
		if use >= warnAt {
			a.warned = true
		} else if use < clearAt {
			a.warned = false
		}
	}
	return near
}

const (
	mostDrift = 1.5     // times the book that the heap may hold
	restBytes = 8 << 20 // beside what a program at rest has
)

// Drifts tells whether the heap holds so much more than the book that something is not counted.
func (b *Book) Drifts(heap int64) bool {
	return b.Whole > 0 && heap > int64(mostDrift*float64(b.Held()))+restBytes
}

// String is the book in one line a purpose.
func (b *Book) String() string {
	var out strings.Builder
	for p := range b.Accounts {
		a := &b.Accounts[p]
		fmt.Fprintf(
			&out,
			"%-11v held %d, peak %d, floor %d, cap %d, refused %d\n",
			Purpose(p),
			a.Held,
			a.Peak,
			a.Floor,
			a.Cap,
			a.Refused,
		)
	}
	fmt.Fprintf(&out, "%-11s %d of %d above floors, uneven %d\n", "shared", b.beyond, b.shared, b.Uneven)
	return out.String()
}

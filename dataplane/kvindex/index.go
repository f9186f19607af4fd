// Package kvindex is what this process knows of which server or store keeps which part of which prompt, under which salt.
//
// Entries come from the holders' events, which are late and have gaps, and from this process's own sends, which are a hint before
// the event comes. What a holder drops its events tell. This process sees few of the uses of a part, so that it cannot tell which parts
// a full holder drops next: it drops entries of its own accord only where a holder seems to keep far more than it can.
// It is pure: it takes the time as an argument and answers look-ups; it never decides where to send.
package kvindex

import (
	"container/list"
	"strings"
	"time"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens float64
}

// PartID gives the form of a part's id by which it is compared: it is a number in hex, written with leading zeros or without.
func PartID(id string) string { return strings.TrimLeft(id, "0") }

// key names a part under a salt: parts are shared under the same salt only.
type key struct{ salt, part string }

type entry struct {
	key    key
	tokens float64
	used   time.Duration
}

type holder struct {
	capacity float64 // tokens; 0: not known
	kept     float64
	parts    map[key]*list.Element
	order    *list.List // of *entry, used longest ago first
}

const (
	maxParts = 20000 // of one holder, whatever its capacity
	// mostFill is how many times a holder's memory its entries may take up. Events of what gave way come after those of what took
	// its place, and a few never come; entries that are wrong do less harm than the loss of those on which others rest.
	mostFill = 1.5
)

// Index may not be used by several goroutines at once.
type Index struct {
	holders map[string]*holder
}

// New makes an empty index.
func New() *Index { return &Index{holders: map[string]*holder{}} }

// SetHolder makes a holder known, with its memory in tokens.
func (x *Index) SetHolder(id string, capacity float64) {
	h := x.holders[id]
	if h == nil {
		h = &holder{parts: map[key]*list.Element{}, order: list.New()}
		x.holders[id] = h
	}
	h.capacity = capacity
}

// DropHolder forgets a holder.
func (x *Index) DropHolder(id string) { delete(x.holders, id) }

// Reset forgets what a holder keeps: it has restarted, or its events had a gap.
func (x *Index) Reset(id string) {
	if h := x.holders[id]; h != nil {
		h.parts, h.order, h.kept = map[key]*list.Element{}, list.New(), 0
	}
}

// Kept notes that a holder keeps a part, or has just used it.
func (x *Index) Kept(now time.Duration, id, salt string, p Part) {
	h := x.holders[id]
	if h == nil {
		return
	}
	k := key{salt, p.ID}
	if el := h.parts[k]; el != nil {
		e := el.Value.(*entry)
		h.kept += p.Tokens - e.tokens
		e.tokens, e.used = p.Tokens, now
		h.order.MoveToBack(el)
	} else {
		h.parts[k] = h.order.PushBack(&entry{k, p.Tokens, now})
		h.kept += p.Tokens
	}
	for h.order.Len() > maxParts || (h.capacity > 0 && h.kept > mostFill*h.capacity) {
		h.remove(h.order.Front())
	}
}

// KeepOnly drops what a holder keeps under salts other than those wanted: it has loaded other weights, and dropped what it had.
func (x *Index) KeepOnly(id string, wanted func(salt string) bool) {
	h := x.holders[id]
	if h == nil {
		return
	}
	for k, el := range h.parts {
		if !wanted(k.salt) {
			h.remove(el)
		}
	}
}

// Lost notes that a holder keeps a part no more.
func (x *Index) Lost(id, salt, part string) {
	h := x.holders[id]
	if h == nil {
		return
	}
	if el := h.parts[key{salt, part}]; el != nil {
		h.remove(el)
	}
}

func (h *holder) remove(el *list.Element) {
	e := h.order.Remove(el).(*entry)
	h.kept -= e.tokens
	delete(h.parts, e.key)
}

// State lists what a holder keeps, used longest ago first.
func (x *Index) State(id string, each func(salt, part string, tokens float64)) {
	h := x.holders[id]
	if h == nil {
		return
	}
	for el := h.order.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		each(e.key.salt, e.key.part, e.tokens)
	}
}

// Prefix gives how many tokens of a prompt a holder keeps: those of its parts from the first on, as long as each is kept whole.
func (x *Index) Prefix(id, salt string, prompt []Part) float64 {
	h := x.holders[id]
	if h == nil {
		return 0
	}
	sum := 0.0
	for _, p := range prompt {
		el := h.parts[key{salt, p.ID}]
		if el == nil {
			break
		}
		tokens := min(el.Value.(*entry).tokens, p.Tokens)
		sum += tokens
		if tokens < p.Tokens {
			break
		}
	}
	return sum
}

// Fill is the share of a holder's memory that is taken by the parts that it is known to keep: 1 where the memory is not known.
func (x *Index) Fill(id string) float64 {
	h := x.holders[id]
	if h == nil || h.capacity <= 0 {
		return 1
	}
	return min(h.kept/h.capacity, 1)
}

// Has tells whether a holder keeps a part.
func (x *Index) Has(id, salt, part string) bool {
	h := x.holders[id]
	return h != nil && h.parts[key{salt, part}] != nil
}

// Size gives the number of entries.
func (x *Index) Size() int {
	n := 0
	for _, h := range x.holders {
		n += len(h.parts)
	}
	return n
}

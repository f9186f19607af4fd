package limits

// hold.go owns what one query holds from the moment it is taken until its answer is written: its text and
// parts, and room for the values that leaves will answer. Room is put by when the query is taken, by what
// queries of its vertical took lately, so that what was taken is not turned away later. It must never let a
// value in that has no room, and must give everything back at once.

const (
	perQuery   = 768      // bytes of a query beside its text: structures, maps, the reply
	perPart    = 512      // of a part with a call and its due
	firstValue = 4 << 10  // thought of a part's value before any was seen
	leastValue = 256      // put by for a part at the least
	mostOf     = 8        // part of the cap of values that one query puts by at most
	weighs     = 1.0 / 32 // of one query in what is thought of the next
	spreads    = 4        // mean deviations that are put by beyond the mean
	leaves     = 4        // times as much as a query takes must be left for others: so large ones are refused long before small ones
	minRetry   = 100 * Millisecond
	maxRetry   = 5000 * Millisecond
)

// Room is what queries take, by vertical.
type Room struct {
	book  *Book
	class []need
	slots int  // open queries
	spent Time // mean time for which a query holds what it holds
}

// need is what a part of a vertical takes for its value: mean and mean deviation.
type need struct{ mean, spread float64 }

// NewRoom has so many verticals.
func NewRoom(book *Book, verticals int) *Room {
	r := &Room{book: book, class: make([]need, max(verticals, 1)), spent: 100 * Millisecond}
	for i := range r.class {
		r.class[i].mean = firstValue
	}
	return r
}

// Hold is one query's.
type Hold struct {
	room  *Room
	class int
	parts int
	taken Time
	text  int64 // of Queries
	put   int64 // of Values, put by and not yet used
	used  int64 // of Values, used
	over  bool
}

// expects is what is put by for a part.
func (n need) expects() int64 { return max(int64(n.mean+spreads*n.spread), leastValue) }

// Take takes a query, or says when to come back: by then as much as it needs should have been given back, as
// far as the last queries tell.
func (r *Room) Take(now Time, vertical int, text int64, parts int) (h *Hold, retry Time) {
	h = &Hold{room: r, class: min(max(vertical, 0), len(r.class)-1), parts: max(parts, 1), taken: now}
	h.text = text + perQuery + int64(h.parts)*perPart
	h.put = r.class[h.class].expects() * int64(h.parts)
	left := leaves * h.put
	if most := r.book.Accounts[Values].Cap / mostOf; most > 0 { // what was thought must not bar a vertical for good
		h.put = min(h.put, most)
	}
	if r.slots == 0 { // nobody to leave anything for; and somebody must be taken, or nothing would ever be learned
		left = 0
	}
	if !r.book.Take(Queries, h.text) {
		return nil, r.retry()
	}
	if !r.book.TakeLeaving(Values, h.put, min(left, leaves*h.put)) {
		r.book.Return(Queries, h.text)
		return nil, r.retry()
	}
	r.slots++
	return h, 0
}

// retry is half of a query's time, as by then every second of those that are open has ended.
func (r *Room) retry() Time { return min(max(r.spent/2, minRetry), maxRetry) }

// Value takes room for a part's value: of what was put by, else of what is free. False: it has none, and the
// value must be let go.
func (h *Hold) Value(n int64) bool {
	if h.over {
		return false
	}
	if own := min(n, h.put); own < n && !h.room.book.TakeLeaving(Values, n-own, leaves*(n-own)) {
		return false
	}
	h.put -= min(n, h.put)
	h.used += n
	return true
}

// Answered: nothing more comes. What was put by and not used goes back now, the rest with Done.
func (h *Hold) Answered() {
	if h.over {
		return
	}
	h.room.book.Return(Values, h.put)
	h.room.book.Return(Queries, h.text)
	h.put, h.text, h.over = 0, 0, true
	if h.used > 0 { // a query that was turned away or failed says nothing of what values take
		n := &h.room.class[h.class]
		each := float64(h.used) / float64(h.parts)
		off := each - n.mean
		n.mean += weighs * off
		n.spread += weighs * (max(off, -off) - n.spread)
	}
}

// Done: the answer is written, or nobody waits for it any more.
func (h *Hold) Done(now Time) {
	h.Answered()
	if h.parts == 0 {
		return
	}
	h.room.book.Return(Values, h.used)
	h.used, h.parts = 0, 0
	h.room.slots--
	h.room.spent += (now - h.taken - h.room.spent) / 8
}

// Open is how many queries hold something.
func (r *Room) Open() int { return r.slots }

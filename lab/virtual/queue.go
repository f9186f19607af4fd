// Package virtual keeps virtual time for the laboratory: what is to happen, in the order of its time, and of its coming where
// times are equal. It must never look at a real clock.
package virtual

import "container/heap"

// Queue is what is still to happen. Its zero value is ready.
type Queue[T ~int64] struct {
	all happenings[T]
	seq uint64
}

type happening[T ~int64] struct {
	at  T
	seq uint64
	do  func()
}

type happenings[T ~int64] []happening[T]

func (h happenings[T]) Len() int { return len(h) }
func (h happenings[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings[T]) Push(x any)   { *h = append(*h, x.(happening[T])) }
func (h *happenings[T]) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = happening[T]{}
	*h = (*h)[:len(*h)-1]
	return last
}

// At has something happen at a time.
func (q *Queue[T]) At(t T, do func()) {
	q.seq++
	heap.Push(&q.all, happening[T]{t, q.seq, do})
}

// Len is how much is still to happen.
func (q *Queue[T]) Len() int { return len(q.all) }

// Next is when the next of it happens; there must be one.
func (q *Queue[T]) Next() T { return q.all[0].at }

// Pop takes the next of it.
func (q *Queue[T]) Pop() (at T, do func()) {
	h := heap.Pop(&q.all).(happening[T])
	return h.at, h.do
}

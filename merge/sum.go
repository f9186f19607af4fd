package merge

// sum.go owns sums of floating numbers that do not hang on the order in which they were added. It must never
// round before the end.

import "math"

// Sum adds up exactly: it keeps partial sums that do not overlap (Shewchuk, Adaptive Precision Floating-Point
// Arithmetic, 1997) and rounds once. The zero value is an empty sum.
type Sum struct{ parts []float64 }

// Add adds a number.
func (s *Sum) Add(x float64) {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		s.parts = []float64{x + s.Float()}
		return
	}
	n := 0
	for _, y := range s.parts {
		if math.Abs(x) < math.Abs(y) {
			x, y = y, x
		}
		high := x + y
		if low := y - (high - x); low != 0 {
			s.parts[n] = low
			n++
		}
		x = high
	}
	s.parts = append(s.parts[:n], x)
}

// Join adds another sum.
func (s *Sum) Join(o *Sum) {
	for _, x := range o.parts {
		s.Add(x)
	}
}

// Float is the sum, rounded once: to the nearest, and to even where two are as near.
func (s *Sum) Float() float64 {
	n := len(s.parts)
	if n == 0 {
		return 0
	}
	n--
	hi, lo := s.parts[n], 0.0
	for n > 0 {
		x := hi
		n--
		y := s.parts[n]
		hi = x + y
		if lo = y - (hi - x); lo != 0 {
			break
		}
	}
	if n > 0 &&
		(lo < 0 && s.parts[n-1] < 0 || lo > 0 && s.parts[n-1] > 0) { // half way, and what is below decides
		y := lo * 2
		if x := hi + y; y == x-hi {
			hi = x
		}
	}
	return hi
}

package conform

import (
	"testing"
	"time"
)

// A budget that is passed has to be told, or a run that is judged by it shows nothing.
func TestOverBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms ...int) (all []time.Time) {
		for _, m := range ms {
			all = append(all, start.Add(time.Duration(m)*time.Millisecond))
		}
		return all
	}
	for _, c := range []struct {
		name         string
		again, taken []time.Time
		spare, ratio float64
		over         int
		peak         float64
	}{
		{"none", nil, at(0), 1, 0, 0, 0},
		{"the spare, whole", at(0, 10), at(0), 2, 0, 0, 1},
		{"one more", at(20, 10, 0), at(0), 2, 0, 1, 1.5},
		{"one more, in the next window", at(0, 10, 2000), at(0), 2, 0, 0, 1},
		{"room by what was taken", at(0, 10, 20), at(0, 5), 2, 1.0 / 18, 0, 1},
		{"what is taken later gives none", at(0, 10, 20), at(500), 2, 1.0 / 9, 1, 1.5},
	} {
		over, peak := overBudget(c.again, c.taken, 2*time.Second, c.spare, c.ratio)
		if over != c.over || peak < c.peak-1e-9 || peak > c.peak+1e-9 {
			t.Errorf("%s: %d over, %.3f in use; want %d and %.3f", c.name, over, peak, c.over, c.peak)
		}
	}
}

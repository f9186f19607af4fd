package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

// dice draw from a seed; several goroutines may use them.
type dice struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newDice(seed, stream uint64) *dice { return &dice{rand: rand.New(rand.NewPCG(seed, stream))} }

// draw gives a number from 0 below n.
func (d *dice) draw(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

// share is true so often.
func (d *dice) share(of float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Float64() < of
}

// between gives a duration from least below most.
func (d *dice) between(least, most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return least + time.Duration(d.rand.Int64N(int64(most-least)))
}

package soak

// What the stand-in servers do wrong, drawn from the seed: connections that end behind a request or within an answer, and times in
// which orders to load weights get no answer.

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	breakShare   = 0.04 // of the runs end with a closed connection: half of them before the answer
	deafEvery    = 14 * time.Second
	deafMostly   = 9 * time.Second // of these: longer than the bound on versions
	deafServerOf = 4               // one model server of so many is deaf now and then
)

// breakPoint is where a server closes the connection of a request that it runs.
type breakPoint int

const (
	noBreak      breakPoint = iota
	beforeAnswer            // behind the last byte of the request
	withinAnswer
)

// serverFaults draws one server's faults.
type serverFaults struct {
	on   bool
	deaf bool

	draw *lockedRand
}

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (l *lockedRand) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// newServerFaults makes the faults of the server with the given number.
func newServerFaults(on bool, number int, random *rand.Rand) serverFaults {
	return serverFaults{on: on, deaf: number%deafServerOf == 0, draw: &lockedRand{random: random}}
}

// drawBreak draws whether the server breaks off a run.
func (f *serverFaults) drawBreak() breakPoint {
	if !f.on {
		return noBreak
	}
	switch x := f.draw.float(); {
	case x < breakShare/2:
		return beforeAnswer
	case x < breakShare:
		return withinAnswer
	}
	return noBreak
}

// isDeaf tells whether the server takes no orders at a moment of the run.
func (f *serverFaults) isDeaf(now time.Duration) bool {
	return f.on && f.deaf && now%deafEvery < deafMostly
}

// Package outlier decides which servers are set aside for a time because of what requests to them came to.
//
// It is pure and takes the time as an argument.
package outlier

import "time"

const (
	firstEjection  = 500 * time.Millisecond
	longestSpan    = 8 * time.Second
	brokenInRow    = 2 // broken attempts in a row before a server is set aside
	fullPause      = 80 * time.Millisecond
	stallAfter     = 900 * time.Millisecond // requests wait there and not a byte has come for so long
	stallsOfServer = 1
)

// The standings of a server; lower ones go first.
const (
	Good    = iota
	Busy    // it has just turned a request away, or loads weights
	Stalled // it owes answers and is silent
	Ejected
)

// State is what is known of one server.
type State struct {
	inRow   int
	span    time.Duration
	until   time.Duration // ejected until then
	fullTil time.Duration
	waiting int           // requests that wait for a first byte or a next one
	quiet   time.Duration // since when they wait and nothing came
}

// Succeeded notes a whole answer.
func (s *State) Succeeded() { s.inRow, s.span, s.until = 0, 0, 0 }

// Unreachable notes that no connection came up.
func (s *State) Unreachable(now time.Duration) { s.eject(now) }

// Broke notes that an attempt broke after it was sent.
func (s *State) Broke(now time.Duration) {
	s.inRow++
	if s.inRow >= brokenInRow {
		s.eject(now)
	}
}

// Full notes that the server turned a request away.
func (s *State) Full(now time.Duration) { s.fullTil = now + fullPause }

func (s *State) eject(now time.Duration) {
	if now < s.until {
		return // several attempts that failed at once count as one
	}
	s.span = min(max(2*s.span, firstEjection), longestSpan)
	s.until = now + s.span
}

// Sent notes that a request waits there.
func (s *State) Sent(now time.Duration) {
	if s.waiting == 0 {
		s.quiet = now
	}
	s.waiting++
}

// Byte notes that something came.
func (s *State) Byte(now time.Duration) { s.quiet = now }

// Ended notes that a request waits there no more.
func (s *State) Ended() { s.waiting-- }

// Standing tells how the server stands now.
func (s *State) Standing(now time.Duration) int {
	switch {
	case now < s.until:
		return Ejected
	case s.waiting >= stallsOfServer && now-s.quiet > stallAfter:
		return Stalled
	case now < s.fullTil:
		return Busy
	}
	return Good
}

package admission

import "time"

const (
	// takeAllFor is how long after the signal every request is taken: the platform's checks still have to notice that the router
	// is not ready, and the rules excuse a request that was sent within three seconds and outlasts the grace. The difference is
	// for the way from the client.
	takeAllFor = 2700 * time.Millisecond
	// endMargin is how long before the platform's grace ends the last answers are cut.
	endMargin = 400 * time.Millisecond
	// answerMargin is how long before that a request that is taken late must be over.
	answerMargin = 150 * time.Millisecond
)

// Drain says which requests a router still takes after it was told to end. The zero Drain takes all.
type Drain struct {
	began time.Time
	ends  time.Time
}

// NewDrain begins at the signal; grace is how long after it the platform kills the process.
func NewDrain(began time.Time, grace time.Duration) Drain {
	return Drain{began: began, ends: began.Add(max(grace-endMargin, 0))}
}

// Begun tells whether the router was told to end.
func (d Drain) Begun() bool { return !d.began.IsZero() }

// Ends is when the last answers are cut.
func (d Drain) Ends() time.Time { return d.ends }

// Takes tells whether a request that was complete at the given moment and is over by deadline is still taken: in the first seconds
// any, later only one that is over before the process ends.
func (d Drain) Takes(complete, deadline time.Time) bool {
	return !d.Begun() || complete.Sub(d.began) < takeAllFor || !deadline.After(d.ends.Add(-answerMargin))
}

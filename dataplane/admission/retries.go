// Package admission bounds what a router adds to the load: further attempts, within its portion of a budget that all routers share.
//
// It is pure and takes the time as an argument.
package admission

import "time"

const slices = 10 // a window is counted in so many slices

// Purpose is what a further attempt is for; the shares of the portion that purposes may use leave room for the more urgent ones.
type Purpose int

// The purposes.
const (
	Move   Purpose = iota // a stream is taken elsewhere to empty its server: it could stay
	Retry                 // a request is tried again
	Rescue                // a stream that has begun would be lost
)

// shares of the portion that purposes may use: each leaves something for the more urgent ones.
var shares = [...]float64{Move: 0.7, Retry: 0.85, Rescue: 1}

// baseUsed is the part of the base that is given out at all, for routers that are not known yet.
const baseUsed = 0.8

// Settings are the figures of the budget over all routers.
type Settings struct {
	Ratio  float64       // further attempts allowed for each request of the service
	Base   float64       // and in any case, in a window
	Window time.Duration // the window's length
}

// Retries is one router's portion of a service's budget. Portions that follow from a router's own requests, and an equal part of the
// base each, never add up to more than the whole, and hold without anybody heard.
type Retries struct {
	set      Settings
	slice    int64 // number of the newest slice
	requests [2 * slices]float64
	used     [2 * slices]float64
}

// NewRetries makes a portion.
func NewRetries(set Settings) *Retries { return &Retries{set: set} }

func (r *Retries) enter(now time.Duration) int {
	n := int64(now / (r.set.Window / slices))
	for ; r.slice < n; r.slice++ {
		next := (r.slice + 1) % (2 * slices)
		r.requests[next], r.used[next] = 0, 0
		if n-r.slice > 2*slices {
			r.slice = n - 2*slices
		}
	}
	return int(r.slice % (2 * slices))
}

// Request notes a request of a client.
func (r *Retries) Request(now time.Duration) { r.requests[r.enter(now)]++ }

// Spend takes one further attempt out of the portion, where the purpose may. routers is how many share the base.
func (r *Retries) Spend(now time.Duration, routers int, purpose Purpose) bool {
	at := r.enter(now)
	var requests, used float64
	for i := range slices + 1 {
		s := (at - i + 2*slices) % (2 * slices)
		requests += r.requests[s]
		used += r.used[s]
	}
	if used+1 > shares[purpose]*(r.set.Ratio*requests+baseUsed*r.set.Base/float64(max(routers, 1))) {
		return false
	}
	r.used[at]++
	return true
}

// Package release decides how a service is brought to another version of its servers' software.
//
// It owns the state of each release, which versions of a service's servers may get requests in it, what answers say about the new
// version, and when a release goes on, is completed or is rolled back. Weights of a model are another matter: package rollout.
// The package is pure: it takes the time as an argument, and others send, write and count.
package release

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -file release.go -tests=false -o release_gen.go
//msgp:ignore Order

import (
	"math"
	"slices"
	"time"

	"moleshift/fault"
)

// Phase is how far a release is. Completed and RolledBack are final.
type Phase int

// The phases.
const (
	Running    Phase = iota + 1 // the target gets a share of the requests, and its answers are watched
	Switching                   // all requests go to the target; what is under way at other servers ends
	Completed                   // the target is the version in service
	RolledBack                  // the target gets nothing
)

// String gives the phase as the operator's interface tells it.
func (p Phase) String() string {
	switch p {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	}
	return "running"
}

// mostOrdered bounds the orders of a service that are remembered to know repeats of them.
const mostOrdered = 8

// Ordered is one order that was taken.
type Ordered struct {
	Target string `msg:"t"`
	Number uint64 `msg:"n"`
}

// mostBarred bounds the versions of a service that are remembered as rolled back; the oldest gives way.
const mostBarred = 8

// Release is the newest order to bring a service to a version, and what became of it.
type Release struct {
	Service    string   `msg:"s"`
	Target     string   `msg:"t"`
	Number     uint64   `msg:"n"` // rises with each release of the service
	DeadlineMs float64  `msg:"d"` // after the order
	Phase      Phase    `msg:"p"`
	Reason     string   `msg:"r"` // of the last change of phase
	Barred     []string `msg:"b"` // versions that were rolled back and not ordered since

	Ordered []Ordered `msg:"o"` // the orders before this one, the newest last
	Before  []string  `msg:"f"` // versions that were in service when it was ordered, without the target; empty: all but the target
}

// Baseline is which versions of a service's servers are in service while no release of it was ever ordered.
type Baseline struct {
	Service  string   `msg:"s"`
	Versions []string `msg:"v"` // in order, one at least
}

// LastOrder gives the number of the newest order for a version; ok is false where none is remembered.
func (r *Release) LastOrder(target string) (number uint64, ok bool) {
	if r.Target == target {
		return r.Number, true
	}
	for _, o := range slices.Backward(r.Ordered) {
		if o.Target == target {
			return o.Number, true
		}
	}
	return 0, false
}

// oldestOrder gives the number of the oldest order that is remembered.
func (r *Release) oldestOrder() uint64 {
	if len(r.Ordered) > 0 {
		return r.Ordered[0].Number
	}
	return r.Number
}

// Active tells whether the release is under way.
func (r *Release) Active() bool { return r.Phase == Running || r.Phase == Switching }

// Deadline is how long after the order the release is to be over.
func (r *Release) Deadline() time.Duration {
	return time.Duration(r.DeadlineMs * float64(time.Millisecond))
}

// InService tells whether servers of a version may get any request: while the target is tried those of the versions that were in service
// before, once it has proved itself the target's alone.
func (r *Release) InService(version string) bool {
	if r.Phase == Switching || r.Phase == Completed {
		return version == r.Target
	}
	if version == r.Target || slices.Contains(r.Barred, version) {
		return false
	}
	return len(r.Before) == 0 || slices.Contains(r.Before, version)
}

// Retired tells whether a version has gone out of service: its servers may end at any moment.
func (r *Release) Retired(version string) bool { return r.Phase == Completed && version != r.Target }

// Of finds the release of a service; nil: none was ever ordered.
func Of(releases []Release, service string) *Release {
	i := slices.IndexFunc(releases, func(r Release) bool { return r.Service == service })
	if i < 0 {
		return nil
	}
	return &releases[i]
}

// Order asks for a release.
type Order struct {
	Service  string
	Target   string
	Deadline time.Duration

	// MayBeRepeat tells that the order may be an earlier one for the same service and version, sent again.
	MayBeRepeat bool
	// Newest is the number of the newest release of the service that was known where the call with the order came.
	Newest uint64
	// Baseline are the versions in service where no release of the service was ever ordered; empty: they are not known.
	Baseline []string
}

// check tells what is wrong with an order; nil: nothing.
func (o *Order) check() error {
	switch {
	case o.Service == "" || o.Target == "":
		return fault.New(fault.BadConfig, "a service and a target-version are wanted")
	case o.Deadline <= 0 || o.Deadline > math.MaxInt64/2:
		return fault.New(fault.BadConfig, "deadline-s must be above 0")
	}
	return nil
}

// Start gives the releases after an order; same tells that it changes nothing, as what it asks for is under way or has come about. An error
// of the kind UnderWay tells that a release of the service has not ended; one of the kind MayBeRepeat, that the order begins nothing now
// and will once it is certain to be a new one.
func Start(releases []Release, order Order) (next []Release, same bool, err error) {
	if err := order.check(); err != nil {
		return nil, false, err
	}
	known := Of(releases, order.Service)
	started := Release{
		Service: order.Service, Target: order.Target, Number: 1, Phase: Running,
		DeadlineMs: float64(order.Deadline) / float64(time.Millisecond),
	}
	if known == nil {
		started.begin(order.Baseline)
		return append(slices.Clone(releases), started), false, nil
	}
	if known.fulfils(order) {
		return releases, true, nil
	}
	if known.Active() {
		return nil, false, fault.New(fault.UnderWay, "%s is being brought to %s", known.Service, known.Target)
	}
	if order.MayBeRepeat {
		return nil, false, fault.New(fault.MayBeRepeat, "%s of %s was ordered lately", order.Target, order.Service)
	}
	if order.Newest < known.Number { // the call was on its way while others were carried out
		return nil, false, fault.New(fault.MayBeRepeat, "%s was brought to %s since the order came", known.Service, known.Target)
	}
	started.Number = known.Number + 1
	started.Barred = slices.DeleteFunc(slices.Clone(known.Barred), func(v string) bool { return v == order.Target })
	started.Ordered = append(slices.Clone(known.Ordered), Ordered{known.Target, known.Number})
	started.Ordered = started.Ordered[max(len(started.Ordered)-mostOrdered, 0):]
	started.begin(known.versionsInService())
	next = slices.Clone(releases)
	*Of(next, order.Service) = started
	return next, false, nil
}

// begin begins a release beside the versions in service; empty: they are not known. One to the only version in service is completed.
func (r *Release) begin(inService []string) {
	r.Before = slices.DeleteFunc(slices.Clone(inService), func(v string) bool { return v == r.Target })
	if len(inService) > 0 && len(r.Before) == 0 {
		r.Phase, r.Reason = Completed, "it is the only version in service"
	}
}

// versionsInService gives the versions in service behind a release that has ended; empty: they are not known.
func (r *Release) versionsInService() []string {
	if r.Phase == Completed {
		return []string{r.Target}
	}
	return r.Before
}

// fulfils tells whether the release is what an order asks for: under way, where the order may be the one that began it, or completed.
func (r *Release) fulfils(order Order) bool {
	if r.Target != order.Target {
		return false
	}
	return r.Phase == Completed || r.Active() && order.MayBeRepeat
}

// Move gives the releases after a decision about the release of a service with the given number; same tells that it does not hold any
// more, as another node decided before.
func Move(releases []Release, service string, number uint64, from, to Phase, reason string) (next []Release, same bool) {
	known := Of(releases, service)
	if known == nil || known.Number != number || known.Phase != from {
		return releases, true
	}
	next = slices.Clone(releases)
	moved := Of(next, service)
	moved.Phase, moved.Reason = to, reason
	if to == RolledBack {
		moved.Barred = append(slices.Clone(moved.Barred), moved.Target)
		moved.Barred = moved.Barred[max(len(moved.Barred)-mostBarred, 0):]
	}
	return next, false
}

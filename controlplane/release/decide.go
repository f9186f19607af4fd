package release

import "time"

// Times of a release after its order, as parts of the time that it has.
const (
	tellMargin   = 800 * time.Millisecond // before the deadline, for the write and the operator's next read
	switchShare  = 0.2                    // of the time that a release has is for the old servers to end what they have
	leastSwitch  = 1200 * time.Millisecond
	mostSwitch   = 3500 * time.Millisecond
	doubtMost    = 700 * time.Millisecond  // for which a decision is put off while a test has not decided
	leastServers = 0.5                     // of the servers in service must stand ready with the target version
	leastWatch   = 1500 * time.Millisecond // for which answers are watched before the target takes everything
)

// Plan is when, after the order, what is decided.
type Plan struct {
	Decide   time.Duration // whether the target takes everything
	Doubt    time.Duration // the same, where answers are doubtful
	Complete time.Duration // whatever is still under way at the old servers
}

// PlanOf gives the plan of a release with a deadline. The target is watched for as long as its completion can still be told in time:
// a version may turn bad late.
func PlanOf(deadline time.Duration) Plan {
	complete := max(deadline-tellMargin, deadline/2)
	switching := min(max(time.Duration(switchShare*float64(deadline)), leastSwitch), mostSwitch, complete/2)
	decide := complete - switching
	return Plan{Decide: decide, Doubt: decide + min(doubtMost, switching/2), Complete: complete}
}

// Situation is what a decision rests on.
type Situation struct {
	Age       time.Duration // since the order
	Watched   time.Duration // since which answers are counted: as long as Age, unless those who counted before are gone
	Target    int           // servers of the target version that take requests
	InService int           // servers of other versions that do
	Evidence  *Evidence
	Ended     bool // all routers have said that nothing of theirs is under way at servers of other versions
}

// Decision is a change of a release's phase.
type Decision struct {
	To     Phase
	Reason string
}

// Decide tells what becomes of a release now; nil: it goes on as it is. It depends on the order's age alone, so that whoever decides
// next goes on where the last one stood.
func (r *Release) Decide(s Situation) *Decision {
	if !r.Active() {
		return nil
	}
	if reason, bad := s.Evidence.Bad(r.Phase); bad {
		return &Decision{RolledBack, reason + " (" + s.Evidence.String() + ")"}
	}
	if r.Phase == Switching {
		if s.Ended || s.Age >= PlanOf(r.Deadline()).Complete {
			return &Decision{Completed, "as good as the version in service: " + s.Evidence.String()}
		}
		return nil
	}
	return r.decideRunning(s)
}

func (r *Release) decideRunning(s Situation) *Decision {
	plan := PlanOf(r.Deadline())
	if s.Age < plan.Decide {
		return nil
	}
	if reason, doubtful := s.Evidence.Doubtful(); doubtful {
		if s.Age < plan.Doubt {
			return nil
		}
		return &Decision{RolledBack, "not decided in time: " + reason + " (" + s.Evidence.String() + ")"}
	}
	switch {
	case s.Age >= r.Deadline():
		return &Decision{RolledBack, "the deadline passed before anybody could decide"}
	case s.Watched < min(leastWatch, plan.Decide) && s.Age < plan.Doubt:
		return nil
	case s.Watched < min(leastWatch, plan.Decide):
		return &Decision{RolledBack, "what was counted before the members restarted is lost, and too little came since"}
	case s.Target == 0 || float64(s.Target) < leastServers*float64(s.InService):
		return &Decision{RolledBack, "too few servers of the version stand ready"}
	}
	return &Decision{Switching, "as good as the version in service: " + s.Evidence.String()}
}

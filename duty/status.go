package duty

// status.go owns what a node tells of itself to people. It must never change anything.

// Status is a node's view in short.
type Status struct {
	Seat, Size int
	Role       string
	Leader     int  // -1: none is known
	Covered    bool // a plan holds now
	PlanUntil  Time // 0: none
	Active     []int
	Barred     bool // another process has the seat
}

// Status tells how things stand.
func (n *Node) Status() Status {
	s := Status{
		Seat:   n.set.Seat,
		Size:   n.set.Size,
		Role:   n.lead.Role().String(),
		Leader: n.lead.leader,
		Barred: n.barred,
	}
	if plan := n.lead.plan(n.now); plan != nil {
		s.Covered, s.PlanUntil, s.Active = true, plan.Until, plan.seats
	}
	return s
}

// Turn is who has the rights in an interval, as this node knows it: the seats, -1 where nobody has the second
// right.
func (n *Node) Turn(d *Duty, k int64) (holder, substitute int) {
	holder, substitute = d.Holder(k, n.set.Size), -1
	if s := n.lead.plan(d.Begin(k)); s != nil {
		substitute = s.substitute(d, k, n.set.Size)
	}
	return holder, substitute
}

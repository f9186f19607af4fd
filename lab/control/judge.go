package control

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"moleshift/dataplane/follower"
)

// state is what the configuration is, to the model: a version and the order that brought it.
type state struct {
	version int64
	order   int // 0: none was taken yet
}

// outcomeKind is how an operator's call ended.
type outcomeKind int

const (
	unknown outcomeKind = iota // no clear answer
	taken
	refused // another version is current
)

// order is one change of the operator, however often it was sent.
type order struct {
	id      int
	base    int64
	version int64
}

// answered is the output of an operation of the model.
type answered struct {
	kind outcomeKind
	read state // of a read
}

// register is the configuration as a register with compare-and-set. An order without a clear answer may be taken at any later
// moment, or never: it is given the whole rest of the history.
var register = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(before, in, out any) (bool, any) {
		s, o := before.(state), out.(answered)
		change, isChange := in.(order)
		if !isChange {
			return o.read == s, s
		}
		applies := s.version == change.base
		after := state{change.version, change.id}
		switch o.kind {
		case taken:
			return applies, after
		case refused:
			return !applies, s
		}
		if applies {
			return true, after
		}
		return true, s
	},
	Equal:             func(a, b any) bool { return a.(state) == b.(state) },
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, " ", out) },
}

// Judge watches from outside: what operators and routers saw.
type judge struct {
	start time.Time

	mu          sync.Mutex
	operations  []porcupine.Operation
	seen        map[*process]int64 // the newest version that a router had, by incarnation
	acks        []ack
	newestNamed int64 // of the versions of modelName
	violations  []string
	history     []string
	counts      Counts
}

// ack is an acknowledged change.
type ack struct {
	at      time.Time
	version int64
}

// Counts counts what was met.
type Counts struct {
	Orders, Taken, Refused, Unknown, Reads int
	Ends                                   int // of servers, acknowledged
	Named                                  int // versions of a model, acknowledged
	Faults                                 map[string]int
}

// named notes that the operator's naming of a version was acknowledged.
func (j *judge) named(version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Named++
	j.newestNamed = max(j.newestNamed, version)
}

// namedNewest gives the newest version whose naming was acknowledged.
func (j *judge) namedNewest() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.newestNamed
}

// countEnd notes an acknowledged end of a server.
func (j *judge) countEnd() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Ends++
}

func newJudge() *judge {
	return &judge{start: time.Now(), seen: map[*process]int64{}, counts: Counts{Faults: map[string]int{}}}
}

// violate notes a broken rule.
func (j *judge) violate(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	j.violations = append(j.violations, text)
	j.history = append(j.history, fmt.Sprintf("%8.3f BROKEN %s", time.Since(j.start).Seconds(), text))
}

// broken lists the broken rules.
func (j *judge) broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}

// tell notes what happened.
func (j *judge) tell(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.history = append(j.history, fmt.Sprintf("%8.3f %s", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...)))
}

// snapshot notes that a router has a new state: within one incarnation its configuration never goes back.
func (j *judge) snapshot(p *process, s *follower.Snapshot) {
	if s.Table == nil {
		return
	}
	j.mu.Lock()
	before := j.seen[p]
	j.seen[p] = max(before, s.Table.Version)
	j.mu.Unlock()
	if s.Table.Version < before {
		j.violate("%s goes back from version %d to %d", p.machine.name, before, s.Table.Version)
	}
}

// change notes how an order ended.
func (j *judge) change(client int, began time.Time, o order, kind outcomeKind) {
	ended := time.Since(j.start).Nanoseconds()
	if kind == unknown {
		ended = math.MaxInt64
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.operations = append(j.operations, porcupine.Operation{
		ClientId: client, Input: o, Call: began.Sub(j.start).Nanoseconds(), Output: answered{kind: kind}, Return: ended,
	})
	j.counts.Orders++
	switch kind {
	case taken:
		j.counts.Taken++
		j.acks = append(j.acks, ack{time.Now(), o.version})
	case refused:
		j.counts.Refused++
	default:
		j.counts.Unknown++
	}
}

// read notes an answered read.
func (j *judge) read(client int, began time.Time, s state) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Reads++
	j.operations = append(j.operations, porcupine.Operation{
		ClientId: client, Input: "read", Call: began.Sub(j.start).Nanoseconds(), Output: answered{read: s}, Return: time.Since(j.start).Nanoseconds(),
	})
}

// ackedBefore gives the newest version that was acknowledged before a moment.
func (j *judge) ackedBefore(at time.Time) int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	newest := int64(0)
	for _, a := range j.acks {
		if a.at.Before(at) {
			newest = max(newest, a.version)
		}
	}
	return newest
}

// linearizable checks the whole history; it gives up after a time and then says nothing.
func (j *judge) linearizable() {
	const patience = 20 * time.Second
	j.mu.Lock()
	operations := j.operations
	j.mu.Unlock()
	if result, _ := porcupine.CheckOperationsVerbose(register, operations, patience); result == porcupine.Illegal {
		j.violate("orders and reads are not linearizable")
	}
}

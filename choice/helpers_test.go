package choice

import (
	"fmt"
	"strings"
	"testing"

	"moleshift/internal/golden"
)

// stage plays a root and prints what it is told and what it does.
type stage struct {
	t     *testing.T
	out   strings.Builder
	set   *Settings
	r     *Root
	now   Time
	leafs []*Leaf
	names map[any]string
	calls map[string]*LeafCall
	wake  Time
	n     int
}

// plain is a site with three servers that all hold both shards, and nothing forbidden.
func plain(change func(*Settings)) *Settings {
	s := &Settings{Seed: 1, Roots: 1, Tick: 50, Shards: 4, Cells: 1, Span: 1, MaxCalls: 3, SecondCopies: true,
		MayCancel: true, HoldOff: true, MaxHoldOff: 5000, ColdShare: 0.2, ColdTime: 100000, FallMultiple: 3,
		FallTime: 20000, Verticals: []Vertical{
			{SLO: 10000, Deadline: 30000, Utility: 1, LateUtility: 0.1, Need: 1, Floor: 1,
				DedupWindow: 5000}}}
	if change != nil {
		change(s)
	}
	return s
}

func play(t *testing.T, leaves int, s *Settings) *stage {
	st := &stage{t: t, set: s, now: 1000000, names: map[any]string{}, calls: map[string]*LeafCall{}}
	st.r = NewRoot(s, st, st.now)
	for i := range leaves {
		l := new(Leaf)
		st.names[l] = fmt.Sprintf("leaf %c", 'A'+i)
		st.leafs = append(st.leafs, l)
	}
	st.list(true, Ready, st.leafs...)
	return st
}

func (st *stage) say(format string, args ...any) {
	fmt.Fprintf(&st.out, "%7.1f  %s\n", float64(st.now-1000000)/10, fmt.Sprintf(format, args...))
}

func (st *stage) list(full bool, c Condition, leaves ...*Leaf) {
	var es []Entry
	for _, l := range leaves {
		es = append(es, Entry{Leaf: l, Condition: c, Started: l.started})
	}
	st.r.List(st.now, es, full, false)
}

// restart lists a leaf as just started.
func (st *stage) restart(l *Leaf) {
	st.say("list: %s restarted", st.names[l])
	st.r.List(st.now, []Entry{{Leaf: l, Condition: Ready, Started: st.now}}, false, false)
}

// query hands over a query with one part a hint; a hint of 0 is none.
func (st *stage) query(vertical int, hints ...float64) *Query {
	st.n++
	q := &Query{Deadline: st.now + st.set.Verticals[vertical].Deadline, Vertical: vertical}
	var parts []*Part
	for i, h := range hints {
		p := &Part{Shard: i, Weight: 1 / float64(len(hints)), Hint: h}
		st.names[p] = fmt.Sprintf("q%d.%d", st.n, i)
		parts = append(parts, p)
	}
	st.names[q] = fmt.Sprintf("q%d", st.n)
	st.say("take %s %v", st.names[q], hints)
	st.r.Take(st.now, q, parts)
	return q
}

// end ends a call that is named by its part and its number.
func (st *stage) end(name string, o Outcome, rep *Report) {
	c := st.calls[name]
	st.say("ended: call %s at %s: %s", name, st.names[c.Leaf], [...]string{"ok", "failed", "full", "timed out",
		"no connection", "reset", "cancelled", "moot", "refused"}[o])
	st.r.Outcome(st.now, c, o, st.now-c.sent, false, rep)
}

// pass lets time go by, in milliseconds.
func (st *stage) pass(ms int) {
	end := st.now + Time(ms)*Millisecond
	for st.wake > st.now && st.wake <= end {
		st.now = st.wake
		st.r.Awake(st.now)
	}
	st.now = end
}

// check compares the trace with the one that is kept.
func (st *stage) check(name string) {
	st.t.Helper()
	golden.Check(st.t, name, st.out.String())
}

func (st *stage) Call(c *LeafCall, timeout Time) {
	name := fmt.Sprintf("%s#%d", st.names[c.Part], len(c.Part.calls)-1)
	st.calls[name] = c
	st.say("  call %s to %s, time-out %.1f", name, st.names[c.Leaf], float64(timeout)/10)
}
func (st *stage) Cancel(c *LeafCall) {
	for name, o := range st.calls {
		if o == c {
			st.say("  cancel %s", name)
		}
	}
}
func (st *stage) Merge(q *Query, whole bool) { st.say("  merge %s, whole %v", st.names[q], whole) }
func (st *stage) Reject(q *Query, h Time) {
	st.say("  reject %s, hold off %.1f", st.names[q], float64(h)/10)
}
func (st *stage) Abort(q *Query) { st.say("  abort %s", st.names[q]) }
func (st *stage) Probe(l *Leaf)  { st.say("  probe %s", st.names[l]) }
func (st *stage) Watch()         { st.say("  watch the list") }
func (st *stage) Wake(at Time)   { st.wake = at }

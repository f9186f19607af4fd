package work

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"moleshift/lease"
)

// desk is a scheduler's surroundings: it notes what is asked for, and keeps what is saved.
type desk struct {
	s     *Scheduler
	now   Time
	said  []string
	kept  map[string][]byte
	steps []Step
}

const sec = 1000 * lease.Millisecond

func open(set Settings, jobs ...Job) *desk {
	d := &desk{now: 17_000_000_000_000, kept: map[string][]byte{}}
	d.s = New(set, d, d.now)
	d.s.SetJobs(jobs)
	return d
}

func (d *desk) say(format string, args ...any) { d.said = append(d.said, fmt.Sprintf(format, args...)) }

func (d *desk) Run(s Step) {
	d.say("run %s %d try %d", s.Job, s.Number, s.Try)
	d.steps = append(d.steps, s)
}
func (d *desk) Cancel(job string)                            { d.say("cancel %s", job) }
func (d *desk) Save(job string, t lease.Token, value []byte) { d.kept[job] = value }
func (d *desk) Released(job string)                          { d.say("released %s", job) }
func (d *desk) Overtaken(job string, t lease.Token)          { d.say("overtaken %s", job) }
func (d *desk) Note(job, what string)                        { d.say("note %s: %s", job, what) }
func (d *desk) gain(job string, t lease.Token) {
	d.s.Gained(d.now, job, t)
	d.s.Opened(d.now, job, t, d.kept[job])
}

// go on until something runs that had not, or a time has passed.
func (d *desk) pass(t Time) {
	for end := d.now + t; d.now < end; d.now += 100 {
		if d.s.Next() <= d.now {
			d.s.Awake(d.now)
		}
		for job := range d.kept {
			if j := d.s.job(job); j != nil {
				d.s.Saved(d.now, job, j.token)
			}
		}
	}
}

func (d *desk) expect(t *testing.T, lines ...string) {
	t.Helper()
	if !slices.Equal(d.said, lines) {
		t.Errorf("said\n  %s\nnot\n  %s", strings.Join(d.said, "\n  "), strings.Join(lines, "\n  "))
	}
	d.said = nil
}

// The next holder goes on from what was kept, and knows that a step was begun before.
func TestNextHolderGoesOn(t *testing.T) {
	a := open(Settings{}, Job{Name: "x", Every: sec, Deadline: sec})
	a.gain("x", 1)
	a.pass(sec / 10)
	a.s.Did(a.now, "x", 1, Result{State: []byte("one")})
	a.pass(sec / 10)
	a.expect(t, "run x 1 try 1", "run x 2 try 1")
	b := open(Settings{}, Job{Name: "x", Every: sec, Deadline: sec})
	b.kept = a.kept
	b.gain("x", 2)
	b.pass(sec / 10)
	b.expect(t, "run x 2 try 2")
	if string(b.steps[0].State) != "one" || b.steps[0].Token != 2 {
		t.Errorf("%+v", b.steps[0])
	}
}

// A step that takes its holders down is set aside, for longer each time, and the job's right does not go round.
func TestStepThatKillsItsHolders(t *testing.T) {
	kept := map[string][]byte{}
	var begun []int
	for holder := range 6 {
		d := open(Settings{}, Job{Name: "x", Deadline: sec})
		d.kept = kept
		d.gain("x", lease.Token(holder+1))
		d.pass(2 * sec)
		begun = append(begun, len(d.steps))
		if len(d.steps) == 0 {
			d.pass(3 * sec)
			begun = append(begun, len(d.steps))
			d.pass(20 * sec)
		}
	}
	if !slices.Equal(begun, []int{1, 1, 1, 0, 1, 0, 0, 0, 0}) {
		t.Errorf("steps begun: %v", begun)
	}
}

// A step whose right is lost runs to its end, and only then is the right given up; a later token of the same right waits for it.
func TestLostWhileItRuns(t *testing.T) {
	d := open(Settings{}, Job{Name: "x", Deadline: sec})
	d.gain("x", 1)
	d.pass(sec / 10)
	d.s.Lost(d.now, "x", 1)
	d.expect(t, "run x 1 try 1", "cancel x")
	d.s.Did(d.now, "x", 1, Result{Err: "cancelled"})
	d.expect(t, "released x")
	d.gain("x", 2)
	d.pass(sec / 10)
	d.s.Lost(d.now, "x", 2)
	d.said = nil
	d.gain("x", 3)
	d.pass(sec / 10)
	d.expect(t) // nothing more runs as yet
	d.s.Did(d.now, "x", 2, Result{})
	d.pass(sec / 10)
	d.expect(t, "run x 1 try 3")
	if last := d.steps[len(d.steps)-1]; last.Token != 3 {
		t.Errorf("%+v", last)
	}
}

// Priorities, budgets and quiet times.
func TestBudgets(t *testing.T) {
	d := open(Settings{Calls: 10}, Job{Name: "low", Deadline: sec}, Job{Name: "top", Priority: 1, Deadline: sec})
	d.gain("low", 1)
	d.gain("top", 1)
	runs := map[string]int{}
	for range 100 {
		d.pass(sec / 10)
		for _, s := range d.steps {
			runs[s.Job]++
			d.s.Did(d.now, s.Job, 1, Result{Cost: Cost{Calls: 5}, Done: s.Job == "top"})
		}
		d.steps = nil
	}
	if n := runs["low"] + runs["top"]; n < 19 || n > 24 { // ten seconds, two steps in each, and a burst
		t.Errorf("%d steps of 5 calls in 10 s with 10 calls a second", n)
	}
	if runs["top"] <= runs["low"] {
		t.Errorf("%v", runs)
	}
	for range 10 {
		d.s.Suffers(d.now)
		d.pass(sec)
	}
	if len(d.steps) > 0 {
		t.Error("a step began while queries suffered")
	}
	if d.pass(2 * sec); len(d.steps) == 0 {
		t.Error("none began afterwards")
	}
}

// A step over its deadline is cancelled; failures wait longer each time.
func TestDeadlineAndFailures(t *testing.T) {
	d := open(Settings{}, Job{Name: "x", Deadline: sec})
	d.gain("x", 1)
	d.pass(2 * sec)
	d.expect(t, "run x 1 try 1", "cancel x")
	d.s.Did(d.now, "x", 1, Result{Err: "late"})
	d.pass(sec / 2)
	d.expect(t, "note x: step 1 failed: late")
	d.pass(sec)
	d.s.Did(d.now, "x", 1, Result{Err: "again"})
	d.pass(3 * sec / 2)
	d.expect(t, "run x 1 try 1", "note x: step 1 failed: again")
	d.pass(sec)
	d.expect(t, "run x 1 try 1")
}

// Package work decides when background work runs: which job next, at what price, and when none at all. Each job is done by the one
// holder of a right of the same name (package lease). It does no I/O, has no clock and starts no goroutine: the time and what
// happened are handed in, what is to be done goes out through Port.
//
// A job goes on in steps. After each, how far it has come is kept with the seats under the holder's token, and the next holder
// goes on from there. What is kept names the step that is about to run and how often it was begun: so a step that was cut off
// runs again (its effects must be idempotent by the step's number, or be fenced by the token), and a step that takes its holder
// down with it is known for that and set aside, rather than go round the fleet.
//
// work.go must never have two steps of one job run at once, nor one under a token that was lost.
package work

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"moleshift/lease"
)

// Time is as in package lease.
type Time = lease.Time

// Settings is what all jobs of an instance together may use. 0: no cap.
type Settings struct {
	Calls      float64 // a second
	Bytes      float64 // a second, read and written
	CPU        float64 // seconds of one core, a second
	Concurrent int     // steps at once; 0: one
}

// Job is one kind of work.
type Job struct {
	Name     string
	Priority int  // greater goes first
	Every    Time // between the end of one round and the beginning of the next
	Deadline Time // of one step
}

// Cost is what a step took.
type Cost struct {
	Calls int
	Bytes int64
	CPU   Time
}

// Result is what a step came to.
type Result struct {
	State     []byte // to go on from; at most 768 bytes
	Cost      Cost
	Done      bool   // the round is over
	Err       string // it failed: the state is as before
	Overtaken bool   // a receiver has met a greater token
}

// Step is one step to be run.
type Step struct {
	Job      string
	Token    lease.Token
	Number   uint64 // over all rounds and holders: what has been done of this number need not be done again
	Try      int    // from 1
	State    []byte
	Deadline Time // by the own clock
}

// Port is what a scheduler can do to the world. Its methods must not call the scheduler back.
type Port interface {
	// Run begins a step; Did tells how it ended.
	Run(s Step)
	// Cancel asks a step that runs to end soon. Did comes all the same.
	Cancel(job string)
	// Save has a value kept by package lease.
	Save(job string, t lease.Token, value []byte)
	// Released gives a right up that was lost: nothing of the job runs any more.
	Released(job string)
	// Overtaken tells that a greater token was met.
	Overtaken(job string, t lease.Token)
	// Note tells an operator of what went wrong.
	Note(job, what string)
}

const (
	mostTries   = 3 // of a step whose holders did not come to its end, before it is set aside
	mostState   = 768
	firstWait   = 1000 * lease.Millisecond // after a failure
	longestWait = 10 * 60 * 1000 * lease.Millisecond
	shortWait   = 1000 * lease.Millisecond // between steps: a holder that dies in it counts as if the step had begun
	quietFor    = 2000 * lease.Millisecond
	firstAside  = 4000 * lease.Millisecond // then, twice as long each time
)

// mark is what is kept of a job: the step that is about to run.
type mark struct {
	_ struct{} `cbor:",toarray"`

	Number uint64
	Tries  int  // times that it was begun
	Rest   Time // what is left to wait, by true time when it was written
	At     Time // when that was
	State  []byte
}

type phase int

const (
	idle    phase = iota // the right is another's
	opening              // what was kept is being asked for
	marking              // the step about to run is being recorded
	waiting
	running
	stopping // runs, though the right is lost
)

func (p phase) String() string {
	return [...]string{"idle", "opening", "marking", "waiting", "running", "stopping"}[p]
}

type job struct {
	Job
	phase  phase
	token  lease.Token
	next   lease.Token // regained while the step of an earlier token ran
	opened *[]byte     // what was kept, if that came already
	early  bool        // the next step was marked as the last one ended
	marked bool        // and that is kept
	mark   mark
	at     Time // when its next step is due
	begun  Time
	over   bool // the deadline has passed
	failed int  // times, one after the other

	steps, failures, asides int
	lastErr                 string
}

// Scheduler is one instance's.
type Scheduler struct {
	set   Settings
	port  Port
	now   Time
	jobs  []*job // by name
	quiet Time   // until then no step begins
	calls *rate.Limiter
	bytes *rate.Limiter
	cpu   *rate.Limiter // in units of 0.1 ms
}

// New makes one without jobs.
func New(set Settings, port Port, now Time) *Scheduler {
	s := &Scheduler{port: port, now: now}
	s.SetLimits(set)
	return s
}

// SetLimits changes what may be used.
func (s *Scheduler) SetLimits(set Settings) {
	set.Concurrent = max(set.Concurrent, 1)
	s.set = set
	limiter := func(perSecond float64) *rate.Limiter {
		if perSecond <= 0 {
			return rate.NewLimiter(rate.Inf, math.MaxInt32)
		}
		return rate.NewLimiter(rate.Limit(perSecond), max(int(math.Ceil(perSecond)), 1))
	}
	s.calls, s.bytes, s.cpu = limiter(set.Calls), limiter(set.Bytes), limiter(set.CPU*float64(1000*lease.Millisecond))
}

// SetJobs says which jobs there are. The right of one that is no more must be taken away first.
func (s *Scheduler) SetJobs(jobs []Job) {
	var next []*job
	for _, x := range jobs {
		j := s.job(x.Name)
		if j == nil {
			j = &job{}
		}
		j.Job = x
		next = append(next, j)
	}
	slices.SortFunc(next, func(a, b *job) int { return cmp.Compare(a.Name, b.Name) })
	s.jobs = next
}

func (s *Scheduler) job(name string) *job {
	i, found := slices.BinarySearchFunc(s.jobs, name, func(j *job, n string) int { return cmp.Compare(j.Name, n) })
	if !found {
		return nil
	}
	return s.jobs[i]
}

func (s *Scheduler) enter(now Time) { s.now = max(s.now, now) }

// wall is the time for the limiters.
func wall(t Time) time.Time { return time.UnixMicro(int64(t) * 100) }

// Suffers is told that a query suffers: no step begins for a while.
func (s *Scheduler) Suffers(now Time) {
	s.enter(now)
	s.quiet = s.now + quietFor
}

// Gained is told when the right of a job is this instance's, under a token, or goes on under a greater one.
func (s *Scheduler) Gained(now Time, name string, t lease.Token) {
	s.enter(now)
	j := s.job(name)
	if j == nil {
		return
	}
	if j.phase == running || j.phase == stopping { // the step is of the token before
		j.next, j.opened = t, nil
		if j.phase == running {
			s.port.Cancel(name)
		}
		return
	}
	j.phase, j.token, j.next, j.early, j.marked = opening, t, 0, false, false
}

// Lost is told when the work must stop.
func (s *Scheduler) Lost(now Time, name string, t lease.Token) {
	s.enter(now)
	j := s.job(name)
	if j == nil || j.phase == idle { // nothing of it runs
		s.port.Released(name)
		return
	}
	if t < j.token {
		return
	}
	j.next = 0
	switch j.phase {
	case running:
		j.phase = stopping
		s.port.Cancel(name)
	case stopping:
	default:
		j.phase = idle
		s.port.Released(name)
	}
}

// Opened brings what the last holder had kept.
func (s *Scheduler) Opened(now Time, name string, t lease.Token, value []byte) {
	s.enter(now)
	j := s.job(name)
	if j == nil {
		return
	}
	if j.next == t {
		j.opened = &value
		return
	}
	if j.phase == opening && j.token == t {
		s.opened(j, value)
	}
}

func (s *Scheduler) opened(j *job, value []byte) {
	name := j.Name
	j.mark = mark{Number: 1}
	if value != nil {
		if err := cbor.Unmarshal(value, &j.mark); err != nil {
			s.port.Note(name, fmt.Sprintf("what was kept can't be read, the job begins anew: %v", err))
			j.mark = mark{Number: 1}
		}
	}
	j.at = s.now
	if m := &j.mark; m.Rest > 0 {
		j.at = max(s.now, min(m.At+m.Rest, s.now+longestWait))
	}
	if over := j.mark.Tries - mostTries; over >= 0 {
		j.asides++
		wait := min(firstAside<<min(over, 12), longestWait)
		j.at = max(j.at, s.now+wait)
		s.port.Note(name, fmt.Sprintf("step %d was begun %d times and never ended: set aside for %d s", j.mark.Number, j.mark.Tries,
			wait/(1000*lease.Millisecond)))
	}
	j.phase = waiting
}

// Saved is told when what Save was given is kept.
func (s *Scheduler) Saved(now Time, name string, t lease.Token) {
	s.enter(now)
	j := s.job(name)
	if j != nil && j.phase == waiting && j.early && j.token == t {
		j.marked = true
	}
	if j == nil || j.phase != marking || j.token != t {
		return
	}
	s.run(j)
}

func (s *Scheduler) run(j *job) {
	j.early, j.marked = false, false
	j.phase, j.begun, j.over = running, s.now, false
	s.port.Run(Step{Job: j.Name, Token: j.token, Number: j.mark.Number, Try: j.mark.Tries, State: j.mark.State, Deadline: s.now + j.Deadline})
}

// Did tells how a step ended.
func (s *Scheduler) Did(now Time, name string, t lease.Token, r Result) {
	s.enter(now)
	j := s.job(name)
	if j == nil || j.phase != running && j.phase != stopping || j.token != t {
		return
	}
	s.pay(r.Cost)
	j.steps++
	if len(r.State) > mostState {
		r.Err = fmt.Sprintf("a state of %d bytes, %d at most", len(r.State), mostState)
	}
	wait := Time(0)
	switch {
	case r.Overtaken:
		s.port.Overtaken(name, t)
	case r.Err != "":
		j.failures++
		j.failed++
		j.lastErr = r.Err
		wait = min(firstWait<<min(j.failed-1, 12), longestWait)
		j.mark.Tries = 0 // its holder is alive
		if j.phase == running {
			s.port.Note(name, fmt.Sprintf("step %d failed: %s", j.mark.Number, r.Err))
		}
	default:
		j.failed = 0
		j.mark = mark{Number: j.mark.Number + 1, State: r.State}
		if r.Done {
			wait = j.Every
		}
	}
	j.mark.Rest, j.mark.At = wait, s.now
	switch {
	case j.phase == stopping && j.next == 0:
		j.phase = idle
		s.port.Released(name)
	case j.next != 0: // what this step has done is kept by its number alone; the next holder, this one, repeats it
		j.phase, j.token, j.next, j.early, j.marked = opening, j.next, 0, false, false
		if j.opened != nil {
			s.opened(j, *j.opened)
		}
	default:
		j.phase, j.at = waiting, s.now+wait
		if j.early = wait <= shortWait; j.early { // one record tells of the end of a step and of the next one's beginning
			j.mark.Tries++
		}
		s.keep(j)
	}
}

func (s *Scheduler) keep(j *job) {
	b, err := cbor.Marshal(j.mark)
	if err != nil {
		s.port.Note(j.Name, err.Error())
		return
	}
	s.port.Save(j.Name, j.token, b)
}

// pay takes what a step has cost from the budgets; they may go below nothing, and no step begins until they are above it again.
func (s *Scheduler) pay(c Cost) {
	for _, x := range []struct {
		l *rate.Limiter
		n int64
	}{{s.calls, int64(c.Calls)}, {s.bytes, c.Bytes}, {s.cpu, int64(c.CPU)}} {
		if x.l.Limit() == rate.Inf {
			continue
		}
		for n := x.n; n > 0; n -= int64(x.l.Burst()) {
			x.l.ReserveN(wall(s.now), int(min(n, int64(x.l.Burst()))))
		}
	}
}

// affords tells whether a step may begin, and else when it may.
func (s *Scheduler) affords() (now bool, at Time) {
	for _, l := range []*rate.Limiter{s.calls, s.bytes, s.cpu} {
		if l.Limit() == rate.Inf {
			continue
		}
		if left := l.TokensAt(wall(s.now)); left < 1 {
			wait := time.Duration((1 - left) / float64(l.Limit()) * float64(time.Second))
			at = max(at, s.now+Time(wait/(100*time.Microsecond))+1)
		}
	}
	return at == 0, at
}

// Next is when Awake must be called at the latest.
func (s *Scheduler) Next() Time {
	next := lease.Never
	busy := s.busy()
	for _, j := range s.jobs {
		switch {
		case j.phase == running && !j.over:
			next = min(next, j.begun+j.Deadline)
		case j.phase == waiting && busy < s.set.Concurrent:
			next = min(next, max(j.at, s.quiet))
		}
	}
	if next <= s.now {
		if ok, at := s.affords(); !ok {
			return at
		}
	}
	return next
}

func (s *Scheduler) busy() (n int) {
	for _, j := range s.jobs {
		if j.phase == running || j.phase == stopping || j.phase == marking {
			n++
		}
	}
	return n
}

// Awake begins what may begin, and ends what takes too long.
func (s *Scheduler) Awake(now Time) {
	s.enter(now)
	for _, j := range s.jobs {
		if j.phase == running && !j.over && s.now >= j.begun+j.Deadline {
			j.over = true
			s.port.Cancel(j.Name)
		}
	}
	for s.now >= s.quiet && s.busy() < s.set.Concurrent {
		if ok, _ := s.affords(); !ok {
			return
		}
		var pick *job
		for _, j := range s.jobs {
			if j.phase == waiting && j.at <= s.now && (pick == nil || j.Priority > pick.Priority ||
				j.Priority == pick.Priority && j.at < pick.at) {
				pick = j
			}
		}
		if pick == nil {
			return
		}
		pick.phase = marking
		if pick.early {
			if pick.marked {
				s.run(pick)
			}
			continue // Saved is still to come
		}
		pick.mark.Tries++
		pick.mark.Rest = 0
		s.keep(pick)
	}
}

// Status is one job as this instance has it.
type Status struct {
	Name            string
	Phase           string
	Step            uint64
	Steps, Failures int
	Aside           int // times that a step was set aside
	Wait            Time
	Error           string // the last
}

// State tells of all jobs, in order.
func (s *Scheduler) State() (all []Status) {
	for _, j := range s.jobs {
		one := Status{Name: j.Name, Phase: j.phase.String(), Step: j.mark.Number, Steps: j.steps, Failures: j.failures, Aside: j.asides,
			Error: j.lastErr}
		if j.phase == waiting {
			one.Wait = max(j.at-s.now, 0)
		}
		all = append(all, one)
	}
	return all
}

// Package rights holds rights in a running process: it carries out what packages lease and work say, by messages to the other
// instances, a file of promises and goroutines for steps of work. It decides nothing: who holds what and which step runs when is
// theirs.
//
// driver.go owns the goroutine that holds both, the clock and the messages. It must never wait for a socket or a step, and never
// touch the part of the program that serves queries: what fails here fails alone.
package rights

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"moleshift/lease"
	"moleshift/work"
)

// Peers is what a driver needs of package member.
type Peers interface {
	Send(seat int, msg []byte)
	Broadcast(msg []byte)
}

// Mark is the first byte of each message about rights, so that they share the instances' connections with others.
const Mark = 'L'

// Settings is what a driver is told at its start.
type Settings struct {
	Lease   lease.Settings
	State   string // file in which promises outlive the process; empty: they do not
	Cluster string // named in that file
	Name    string // of the instance
	Rights  []Right
	Limits  work.Settings
}

// Right is a right, and the job that its holder does.
type Right struct {
	lease.Right
	Job work.Job
	Do  Task // nil: the right has no job here, it is only held
}

// Task does one step. It must end soon after the context does. Held tells how long the right lasts if no more time is given: an
// effect that a receiver can't fence should not begin when that is nearly over.
type Task func(ctx context.Context, s work.Step, held Held) work.Result

// Held asks for a right as it is now.
type Held func() (t lease.Token, left time.Duration, held bool)

// clockOffset is how wrong the clock is. Only builds for the laboratory set it.
var clockOffset time.Duration

const (
	queueLength = 4096 // messages and others that wait; more are dropped, as messages may be
	toldEvery   = 30 * time.Second
	sufferEvery = 100 * time.Millisecond
)

// Driver is one instance's rights.
type Driver struct {
	set    Settings
	log    zerolog.Logger
	peers  Peers
	memory *memory
	codec  *lease.Codec
	node   *lease.Node
	sched  *work.Scheduler
	base   time.Time

	queue   chan func(now lease.Time)
	after   []func(now lease.Time)
	tasks   map[string]*running
	rights  map[string]Right
	ended   chan struct{}
	leaving bool

	held     atomic.Pointer[map[string]holding]
	dropped  atomic.Int64
	suffered atomic.Int64 // after base, in nanoseconds
	full     time.Time    // when last told that the file takes nothing
}

// running is a step on its way.
type running struct{ cancel context.CancelFunc }

// holding is a right as tasks may look at it, without the driver's goroutine.
type holding struct {
	token lease.Token
	until lease.Time
}

// New opens the file of promises, and joins nobody yet.
func New(set Settings, peers Peers, log zerolog.Logger) (*Driver, error) {
	d := &Driver{set: set, log: log, peers: peers, codec: lease.NewCodec(), base: time.Now(),
		queue: make(chan func(lease.Time), queueLength), tasks: map[string]*running{},
		ended: make(chan struct{})}
	var err error
	if d.memory, err = openMemory(set.State, set.Cluster, set.Lease.Seat, log); err != nil {
		return nil, err
	}
	now := d.now()
	var rights []lease.Right
	var jobs []work.Job
	d.rights, rights, jobs = list(set.Rights)
	if d.node, err = lease.New(set.Lease, rights, d.memory.memory(), (*port)(d), now); err != nil {
		d.memory.close()
		return nil, fmt.Errorf("leases.rights: %w", err)
	}
	d.sched = work.New(set.Limits, (*desk)(d), now)
	d.sched.SetJobs(jobs)
	d.held.Store(&map[string]holding{})
	return d, nil
}

// list is what the driver, the node and the scheduler are told of rights.
func list(all []Right) (byName map[string]Right, rights []lease.Right, jobs []work.Job) {
	byName = map[string]Right{}
	for _, r := range all {
		rights = append(rights, r.Right)
		byName[r.Name] = r
		if r.Do != nil {
			jobs = append(jobs, r.Job)
		}
	}
	return byName, rights, jobs
}

// Reload follows new settings: rights that are new, gone or paused, other jobs, other limits. A step that runs of a job that is no more is
// cancelled. A right that is held and gets its first job is given up, so that its next tenure begins with the job.
func (d *Driver) Reload(all []Right, limits work.Settings) {
	told := func(now lease.Time) {
		byName, rights, jobs := list(all)
		if err := d.node.SetRights(now, rights); err != nil {
			d.log.Error().Err(err).Msg("rights not taken over, the old ones stand")
			return
		}
		old := d.rights
		d.rights = byName
		d.follow(now)
		for name, t := range d.tasks {
			if d.rights[name].Do == nil {
				t.cancel()
			}
		}
		d.sched.SetJobs(jobs)
		d.sched.SetLimits(limits)
		for _, r := range all {
			if was, known := old[r.Name]; known && was.Do == nil && r.Do != nil {
				d.node.GiveUp(now, r.Name)
			}
		}
		d.follow(now)
	}
	select {
	case d.queue <- told:
	case <-d.ended:
	}
}

// now reads the clock: tenths of a millisecond of Unix time that only move forward.
func (d *Driver) now() lease.Time {
	return lease.Time((d.base.UnixMicro() + time.Since(d.base).Microseconds() + clockOffset.Microseconds()) / 100)
}

// Message takes a message of another instance, the mark included. It never waits.
func (d *Driver) Message(b []byte) {
	m, err := d.codec.Decode(b[1:])
	if err != nil {
		d.dropped.Add(1)
		return
	}
	select {
	case d.queue <- func(now lease.Time) { d.node.Hear(now, m) }:
	default:
		d.dropped.Add(1)
	}
}

// Suffers is told that a query was refused or failed: background work makes room. It never waits, and may be called often.
func (d *Driver) Suffers() {
	now := time.Since(d.base)
	if last := time.Duration(d.suffered.Load()); now-last < sufferEvery || !d.suffered.CompareAndSwap(int64(last), int64(now)) {
		return
	}
	select {
	case d.queue <- d.sched.Suffers:
	default:
	}
}

// Leave begins the end: rights are handed on as their work stops. Ended tells when that is done.
func (d *Driver) Leave() {
	select {
	case d.queue <- func(now lease.Time) {
		d.leaving = true
		d.node.Leave(now)
	}:
	case <-d.ended:
	}
}

// Ended is closed once all is handed on, or the driver has ended.
func (d *Driver) Ended() <-chan struct{} { return d.ended }

// Run drives until the context ends, or all is handed on after Leave. It is called once.
func (d *Driver) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer close(d.ended)
	defer d.memory.close()
	defer stop()
	defer func() {
		for _, t := range d.tasks {
			t.cancel()
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := d.now()
		timer.Reset(time.Duration(max(min(d.node.Next(), d.sched.Next())-now, 0)) * (time.Millisecond / 10))
		select {
		case <-ctx.Done():
			return nil
		case f := <-d.queue:
			// One that stood still must not act on old messages as if they were new ones: time comes first, and the node sees to that.
			d.turn(f)
		case <-timer.C:
			d.turn(nil)
		}
		if d.leaving && d.node.Ended() && len(d.tasks) == 0 {
			return nil
		}
	}
}

// turn takes one thing that was told and does what is due.
func (d *Driver) turn(f func(now lease.Time)) {
	now := d.now()
	if f != nil {
		f(now)
		d.follow(now)
	}
	if d.node.Next() <= now {
		d.node.Awake(now)
		d.follow(now)
	}
	if d.sched.Next() <= now {
		d.sched.Awake(now)
		d.follow(now)
	}
	d.show(now)
}

// follow does what the node and the scheduler have to tell one another.
func (d *Driver) follow(now lease.Time) {
	for len(d.after) > 0 {
		next := d.after[0]
		d.after = d.after[1:]
		next(now)
	}
}

// show has tasks see what is held. It is made anew only where something has changed.
func (d *Driver) show(now lease.Time) {
	old := *d.held.Load()
	next, changed := make(map[string]holding, len(old)), false
	for name := range d.rights {
		if t, until, held := d.node.Held(now, name); held {
			next[name] = holding{t, until}
			changed = changed || old[name] != next[name]
		}
	}
	if changed || len(next) != len(old) {
		d.held.Store(&next)
	}
	d.follow(now) // looking may have ended a tenure
}

// look is what a task sees.
func (d *Driver) look(name string) (lease.Token, time.Duration, bool) {
	h, held := (*d.held.Load())[name]
	left := time.Duration(h.until-d.now()) * (time.Millisecond / 10)
	return h.token, max(left, 0), held && left > 0
}

// ---- the node's port ----

type port Driver

func (p *port) encode(m *lease.Message, send func([]byte)) {
	b, err := p.codec.Encode(m)
	if err != nil {
		p.log.Error().Err(err).Msg("a message on rights could not be written")
		return
	}
	send(append([]byte{Mark}, b...))
}

// Send is part of lease.Port.
func (p *port) Send(seat int, m *lease.Message) {
	p.encode(m, func(b []byte) { p.peers.Send(seat, b) })
}

// Broadcast is part of lease.Port.
func (p *port) Broadcast(m *lease.Message) { p.encode(m, p.peers.Broadcast) }

// Promise is part of lease.Port.
func (p *port) Promise(reign uint64) bool { return p.recorded(p.memory.promise(reign)) }

// Keep is part of lease.Port.
func (p *port) Keep(right string, k lease.Kept) bool { return p.recorded(p.memory.keep(right, k)) }

// recorded tells of a file that takes nothing, now and then.
func (p *port) recorded(err error) bool {
	if err != nil && time.Since(p.full) > toldEvery {
		p.full = time.Now()
		p.log.Error().Err(err).Msg("promises can't be recorded: this instance makes none, and votes for nobody new")
	}
	return err == nil
}

func (p *port) later(f func(now lease.Time)) { p.after = append(p.after, f) }

// Gained is part of lease.Port.
func (p *port) Gained(right string, t lease.Token) {
	p.log.Info().Str("right", right).Stringer("token", t).Msg("right gained")
	p.later(func(now lease.Time) { p.sched.Gained(now, right, t) })
}

// Lost is part of lease.Port.
func (p *port) Lost(right string, t lease.Token, why lease.Why) {
	level := zerolog.InfoLevel
	if why == lease.Expired || why == lease.Barred || why == lease.Replaced {
		level = zerolog.WarnLevel
	}
	p.log.WithLevel(level).Str("right", right).Stringer("token", t).Stringer("why", why).Msg("right lost")
	p.later(func(now lease.Time) { p.sched.Lost(now, right, t) })
}

// Opened is part of lease.Port.
func (p *port) Opened(right string, t lease.Token, value []byte) {
	p.later(func(now lease.Time) { p.sched.Opened(now, right, t, value) })
}

// Saved is part of lease.Port.
func (p *port) Saved(right string, t lease.Token, _ uint64) {
	p.later(func(now lease.Time) { p.sched.Saved(now, right, t) })
}

// Note is part of lease.Port.
func (p *port) Note(n lease.Note) {
	line := func(level zerolog.Level) *zerolog.Event { return p.log.WithLevel(level).Int("seat", n.Seat) }
	switch n.Event {
	case lease.Led:
		line(zerolog.InfoLevel).Msg("rights are led")
	case lease.Unled:
		line(zerolog.WarnLevel).Msg("rights have no leader: no majority of the seats is heard of")
	case lease.Gave:
		line(zerolog.InfoLevel).Str("right", n.Right).Stringer("token", n.Token).Msg("right given")
	case lease.Vanished:
		line(zerolog.WarnLevel).Str("right", n.Right).Msg("a right's holder is gone without a word")
	case lease.Rested:
		line(zerolog.ErrorLevel).Str("right", n.Right).Msg("holders of a right vanish one after the other: nobody gets it for a while")
	case lease.Clash:
		line(zerolog.ErrorLevel).Msg("another instance has this seat: this one holds nothing")
	case lease.Resolved:
		line(zerolog.WarnLevel).Msg("the other instance of this seat is gone")
	case lease.Odd:
		line(zerolog.WarnLevel).Str("detail", n.Why).Msg("seat has other settings of rights, or makes no sense")
	}
}

// ---- the scheduler's port ----

type desk Driver

// Run is part of work.Port: the step gets a goroutine of its own.
func (p *desk) Run(s work.Step) {
	d := (*Driver)(p)
	ctx, cancel := context.WithCancel(context.Background())
	d.tasks[s.Job] = &running{cancel}
	do := d.rights[s.Job].Do
	go func() {
		begun := time.Now()
		r := attempt(ctx, do, s, func() (lease.Token, time.Duration, bool) { return d.look(s.Job) })
		d.log.Debug().Str("job", s.Job).Uint64("step", s.Number).Dur("took", time.Since(begun)).Str("error", r.Err).Msg("step")
		cancel()
		told := func(now lease.Time) {
			delete(d.tasks, s.Job)
			d.sched.Did(now, s.Job, s.Token, r)
		}
		select {
		case d.queue <- told:
		case <-d.ended:
		}
	}()
}

// attempt runs a step; a panic in it is a failure of that step.
func attempt(ctx context.Context, do Task, s work.Step, held Held) (r work.Result) {
	defer func() {
		if v := recover(); v != nil {
			r = work.Result{Err: fmt.Sprintf("panic: %v", v)}
		}
	}()
	return do(ctx, s, held)
}

// Cancel is part of work.Port.
func (p *desk) Cancel(job string) {
	if t := p.tasks[job]; t != nil {
		t.cancel()
	}
}

// Save is part of work.Port.
func (p *desk) Save(job string, t lease.Token, value []byte) {
	p.after = append(p.after, func(now lease.Time) { p.node.Save(now, job, t, value) })
}

// Released is part of work.Port.
func (p *desk) Released(job string) {
	p.after = append(p.after, func(now lease.Time) { p.node.Released(now, job) })
}

// Overtaken is part of work.Port.
func (p *desk) Overtaken(job string, t lease.Token) {
	p.log.Warn().Str("right", job).Stringer("token", t).Msg("a receiver has met a greater token")
	p.after = append(p.after, func(now lease.Time) { p.node.Overtaken(now, job, t) })
}

// Note is part of work.Port.
func (p *desk) Note(job, what string) {
	p.log.Warn().Str("job", job).Str("detail", what).Msg("background work")
}

// ---- for operators ----

// Status is what the page tells of rights.
type Status struct {
	Instance string        `json:"instance"`
	Seat     int           `json:"seat"`
	Seats    int           `json:"seats"`
	Role     string        `json:"role"`
	Leader   int           `json:"leader"` // -1: none is known
	Led      bool          `json:"led"`
	Votes    bool          `json:"votes"` // it remembers long enough to vote
	Barred   bool          `json:"barred"`
	There    []int         `json:"there"` // seats that voted for the leader lately
	State    string        `json:"state"` // file of promises
	Rights   []RightStatus `json:"rights"`
	Jobs     []JobStatus   `json:"jobs"`
	Dropped  int64         `json:"dropped"`
}

// RightStatus is one right as this instance knows it.
type RightStatus struct {
	Name    string  `json:"name"`
	Holder  int     `json:"holder"` // -1: nobody, as far as is known
	Token   uint64  `json:"token"`
	SinceMS float64 `json:"since_ms"`
	EndMS   float64 `json:"end_ms"`   // how long it lasts if no more time is given; only the holder knows
	KnownMS float64 `json:"known_ms"` // how old this word is
	Mine    bool    `json:"mine"`
	Next    int     `json:"next"` // who would be next, -1: nobody
	Lost    int     `json:"vanished"`
	RestMS  float64 `json:"rest_ms"`
	Paused  bool    `json:"paused"`
}

// JobStatus is one job as this instance has it.
type JobStatus struct {
	Name     string  `json:"name"`
	Phase    string  `json:"phase"`
	Step     uint64  `json:"step"`
	Steps    int     `json:"steps_here"`
	Failures int     `json:"failures_here"`
	Aside    int     `json:"set_aside"`
	WaitMS   float64 `json:"wait_ms"`
	Error    string  `json:"error,omitempty"`
}

func ms(t lease.Time) float64 { return float64(t) / float64(lease.Millisecond) }

// Status asks the driver.
func (d *Driver) Status(ctx context.Context) (*Status, error) {
	answer := make(chan *Status, 1)
	select {
	case d.queue <- func(now lease.Time) { answer <- d.status(now) }:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.ended:
		return nil, fmt.Errorf("rights are handed on: the instance ends")
	}
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (d *Driver) status(now lease.Time) *Status {
	st := d.node.State()
	s := &Status{Instance: d.set.Name, Seat: st.Seat, Seats: st.Size, Role: st.Role, Leader: st.Leader, Led: st.Led, Votes: st.Votes,
		Barred: st.Barred, There: st.There, State: d.set.State, Dropped: d.dropped.Load()}
	for _, r := range st.Rights {
		one := RightStatus{Name: r.Name, Holder: r.Seat, Token: uint64(r.Token), SinceMS: ms(r.Age), KnownMS: ms(r.Known), Mine: r.Mine,
			Next: r.Heir, Lost: r.Lost, RestMS: ms(r.Rest), Paused: r.Paused}
		if r.Until > 0 {
			one.EndMS = max(ms(r.Until-now), 0)
		}
		s.Rights = append(s.Rights, one)
	}
	for _, j := range d.sched.State() {
		s.Jobs = append(s.Jobs, JobStatus{Name: j.Name, Phase: j.Phase, Step: j.Step, Steps: j.Steps, Failures: j.Failures, Aside: j.Aside,
			WaitMS: ms(j.Wait), Error: j.Error})
	}
	return s
}

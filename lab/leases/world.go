// Package leases plays many instances among which rights have one holder, with all that may befall processes, messages, clocks and
// disks, in virtual time and from one seed. It drives the real packages lease and work, and judges by true time and by what the
// receiver of the effects saw, not by what the instances say of themselves.
//
// world.go owns virtual time, the instances with their clocks and disks, and the network between them. It must never tell an
// instance anything that it could not know in service.
package leases

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"moleshift/lab/virtual"
	"moleshift/lease"
	"moleshift/work"
)

// Options is one run.
type Options struct {
	Instances int
	Rights    int
	For       time.Duration
	Faults    int           // drawn over the run
	Loss      float64       // share of messages
	Skew      time.Duration // the most by which two clocks differ
	Lease     time.Duration
	Diskless  float64 // share of the restarts that find nothing kept
	Bare      bool    // no work under the rights: what they cost by themselves
	Poison    bool    // the first right's work takes its holder down, each time
	Story     string  // the kind of fault of whose longest time without a holder the story is kept
	Seed      uint64
}

// Time is as in package lease.
type Time = lease.Time

// Tenths turns a duration into the unit of package lease.
func Tenths(d time.Duration) Time { return Time(d / (time.Millisecond / 10)) }

const (
	epoch     = Time(17_000_000_000_000) // some point in Unix time
	beats     = 4                        // in a lease
	lateShare = 0.01                     // messages that come late
	lateBy    = 80 * lease.Millisecond
	stepEvery = 200 * lease.Millisecond // between two steps of a job
	calm      = 30 * time.Second        // without faults, at the end
)

// disk is what a seat keeps over a restart.
type disk struct {
	floor uint64
	kept  map[string]lease.Kept
}

// instance is one seat: a process that may be up, dead or standing still, its clock and its disk.
type instance struct {
	w      *world
	seat   int
	node   *lease.Node // nil: dead
	work   *work.Scheduler
	disk   disk
	offset Time
	period float64 // of its clock's wandering
	side   int
	deaf   bool // it can send but not hear
	mute   bool // it can hear but not send
	full   bool // its disk takes nothing
	still  Time // until which it stands still
	wakeAt Time
	after  []func()
	told   []func() // while it stood still
	ending bool
	votes  Time // when it remembers long enough

	sent, bytes int
}

type world struct {
	o         Options
	rng       *rand.Rand
	now       Time
	queue     virtual.Queue[Time]
	instances []*instance
	names     []string
	judge     *judge
	codec     *lease.Codec
	cpu       time.Duration
	progress  func(done, of time.Duration)
	err       error
}

func newWorld(o Options, progress func(done, of time.Duration)) *world {
	w := &world{o: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), now: epoch, codec: lease.NewCodec(), progress: progress}
	for i := range o.Rights {
		w.names = append(w.names, fmt.Sprintf("right-%03d", i))
	}
	w.judge = newJudge(w)
	for seat := range o.Instances {
		i := &instance{w: w, seat: seat, offset: Time((w.rng.Float64() - 0.5) * float64(Tenths(o.Skew))),
			period: 200 + 600*w.rng.Float64(), disk: disk{kept: map[string]lease.Kept{}}}
		w.instances = append(w.instances, i)
		w.at(epoch+w.random(100*lease.Millisecond), func() { i.start(true) })
	}
	return w
}

func (w *world) at(t Time, do func()) { w.queue.At(max(t, w.now), do) }

// random is a draw from [0, most).
func (w *world) random(most Time) Time { return Time(w.rng.Int64N(int64(max(most, 1)))) }

// run plays the whole time.
func (w *world) run() {
	end := epoch + Tenths(w.o.For)
	w.troubles(end)
	step := Tenths(w.o.For) / 20
	for next := epoch + step; next <= end; next += step {
		w.at(next, func() {
			if w.progress != nil {
				w.progress(time.Duration(w.now-epoch)*time.Millisecond/10, w.o.For)
			}
		})
	}
	for w.queue.Len() > 0 && w.queue.Next() <= end && w.err == nil {
		at, do := w.queue.Pop()
		w.now = at
		do()
	}
	w.now = end
	w.judge.end()
}

// ---- an instance ----

// clock is the instance's time at a point of true time. It wanders within the stated skew.
func (i *instance) clock(t Time) Time {
	return t + Time(float64(i.offset)*math.Cos(float64(t-epoch)/10000/i.period*2*math.Pi))
}

func (i *instance) start(keeps bool) {
	if i.node != nil {
		return
	}
	w := i.w
	if !keeps {
		i.disk = disk{kept: map[string]lease.Kept{}}
	}
	i.still, i.ending, i.after = 0, false, nil
	var rights []lease.Right
	var jobs []work.Job
	for n, name := range w.names {
		rights = append(rights, lease.Right{Name: name})
		jobs = append(jobs, work.Job{Name: name, Priority: n % 3, Every: stepEvery, Deadline: 5000 * lease.Millisecond})
	}
	mem := lease.Memory{Floor: i.disk.floor, Kept: maps.Clone(i.disk.kept), Forgot: !keeps}
	node, err := lease.New(lease.Settings{Seat: i.seat, Size: w.o.Instances, Skew: Tenths(w.o.Skew), Lease: Tenths(w.o.Lease),
		Beat: Tenths(w.o.Lease) / beats, Seed: w.o.Seed + uint64(w.now)}, rights, mem, i, i.clock(w.now))
	if err != nil {
		w.err = err
		return
	}
	i.node = node
	i.work = work.New(work.Settings{Concurrent: 8}, (*tasks)(i), i.clock(w.now))
	if !w.o.Bare {
		i.work.SetJobs(jobs)
	}
	i.votes = w.now + Tenths(w.o.Lease) + Tenths(w.o.Skew)
	w.judge.say("instance %d starts", i.seat)
	w.judge.changed()
	w.at(i.votes, w.judge.changed)
	i.arm()
}

func (i *instance) kill() {
	if i.node == nil {
		return
	}
	i.w.judge.fault(i, "kill")
	i.node, i.work, i.told, i.after = nil, nil, nil, nil
	i.w.judge.changed()
}

func (i *instance) pause(t Time) {
	i.w.judge.fault(i, "standstill")
	i.still = i.w.now + t
	i.w.judge.changed()
	node := i.node
	i.w.at(i.still, func() {
		if i.node != node || i.w.now < i.still {
			return
		}
		i.w.judge.changed()
		told := i.told
		i.told = nil
		for _, f := range told {
			f()
		}
		i.arm()
	})
}

// leave is SIGTERM: the process ends when its rights are given up, or after a while.
func (i *instance) leave() {
	i.w.judge.fault(i, "sigterm")
	i.ending = true
	node := i.node
	i.does(func(now Time) { i.node.Leave(now) })
	i.w.at(i.w.now+5000*lease.Millisecond, func() {
		if i.node == node {
			i.end()
		}
	})
}

func (i *instance) end() {
	i.node, i.work, i.told, i.after = nil, nil, nil, nil
	i.w.judge.changed()
}

// does lets the process do something now, or once it no longer stands still; never if it has died meanwhile.
func (i *instance) does(f func(now Time)) {
	node := i.node
	if node == nil {
		return
	}
	if i.w.now < i.still {
		i.told = append(i.told, func() {
			if i.node == node {
				i.does(f)
			}
		})
		return
	}
	begun := time.Now()
	f(i.clock(i.w.now))
	for len(i.after) > 0 && i.node == node {
		next := i.after[0]
		i.after = i.after[1:]
		next()
	}
	i.w.cpu += time.Since(begun)
	if i.ending && i.node.Ended() {
		i.end()
		return
	}
	i.arm()
}

// arm has the process woken when it asks for it.
func (i *instance) arm() {
	if i.node == nil || i.w.now < i.still {
		return
	}
	wait := min(i.node.Next(), i.work.Next()) - i.clock(i.w.now)
	at := i.w.now + max(wait, 1)
	if i.wakeAt > i.w.now && i.wakeAt <= at {
		return
	}
	i.wakeAt = at
	node := i.node
	i.w.at(at, func() {
		if i.node != node || i.wakeAt != at {
			return
		}
		i.does(func(now Time) {
			if i.node.Next() <= now {
				i.node.Awake(now)
			}
			if i.work.Next() <= now {
				i.work.Awake(now)
			}
		})
	})
}

// ---- the node's port ----

// Send is part of lease.Port.
func (i *instance) Send(seat int, m *lease.Message) {
	i.deliver(i.w.instances[seat], i.pack(m))
}

// packet is a message on its way, as the receivers read it.
type packet struct {
	m    *lease.Message
	size int
}

func (i *instance) pack(m *lease.Message) packet {
	b, err := i.w.codec.Encode(m)
	if err == nil {
		m, err = i.w.codec.Decode(b)
	}
	if err != nil {
		i.w.err = err
	}
	return packet{m, len(b)}
}

// Broadcast is part of lease.Port.
func (i *instance) Broadcast(m *lease.Message) {
	p := i.pack(m)
	for _, to := range i.w.instances {
		if to != i {
			i.deliver(to, p)
		}
	}
}

// deliver brings a message to another instance, or loses it.
func (i *instance) deliver(to *instance, p packet) {
	i.sent++
	i.bytes += p.size
	w := i.w
	if to.node == nil || to.side != i.side || i.mute || to.deaf || w.rng.Float64() < w.o.Loss || p.m == nil {
		return
	}
	delay := 2 + w.random(20)
	if w.rng.Float64() < lateShare {
		delay += w.random(lateBy)
	}
	w.at(w.now+delay, func() {
		to.does(func(now Time) {
			to.node.Hear(now, p.m)
			for n := range p.m.Given {
				w.judge.alone(to, p.m.Given[n].Right)
			}
		})
	})
}

// Promise is part of lease.Port.
func (i *instance) Promise(reign uint64) bool {
	if !i.full {
		i.disk.floor = reign
	}
	return !i.full
}

// Keep is part of lease.Port.
func (i *instance) Keep(right string, k lease.Kept) bool {
	if !i.full {
		k.Value = bytes.Clone(k.Value)
		i.disk.kept[right] = k
	}
	return !i.full
}

// later has something done once the node is done with what it does.
func (i *instance) later(f func(now Time)) {
	i.after = append(i.after, func() { f(i.clock(i.w.now)) })
}

// Gained is part of lease.Port.
func (i *instance) Gained(right string, t lease.Token) {
	i.w.judge.gained(i, right, t)
	i.later(func(now Time) { i.work.Gained(now, right, t) })
}

// Lost is part of lease.Port.
func (i *instance) Lost(right string, t lease.Token, why lease.Why) {
	i.w.judge.lost(i, right, t, why)
	i.later(func(now Time) { i.work.Lost(now, right, t) })
}

// Opened is part of lease.Port.
func (i *instance) Opened(right string, t lease.Token, value []byte) {
	i.later(func(now Time) { i.work.Opened(now, right, t, value) })
}

// Saved is part of lease.Port.
func (i *instance) Saved(right string, t lease.Token, _ uint64) {
	i.later(func(now Time) { i.work.Saved(now, right, t) })
}

// Note is part of lease.Port.
func (i *instance) Note(n lease.Note) {
	if n.Event != lease.Led || n.Seat == i.seat {
		i.w.judge.noted(i, n)
	}
}

// ---- the work's port ----

// tasks is the instance as the scheduler sees it.
type tasks instance

// Run checks the right, and then, some time later, writes: between the two anything may happen.
func (t *tasks) Run(s work.Step) {
	i, w := (*instance)(t), t.w
	node := i.node
	did := func(r work.Result) {
		w.at(w.now+2+w.random(20), func() {
			if i.node == node {
				i.does(func(now Time) { i.work.Did(now, s.Job, s.Token, r) })
			}
		})
	}
	token, _, held := node.Held(i.clock(w.now), s.Job)
	if !held || token != s.Token {
		did(work.Result{Err: "the right is gone"})
		return
	}
	w.judge.acting(i, s.Job)
	if w.o.Poison && s.Job == w.names[0] {
		w.at(w.now+10, func() {
			if i.node == node {
				i.kill()
				w.judge.poisoned++
				w.at(w.now+2*second, func() { i.start(true) })
			}
		})
		return
	}
	think := 10 + w.random(300)
	if w.rng.Float64() < 0.05 { // longer than a lease
		think = w.random(2 * Tenths(w.o.Lease))
	}
	w.at(w.now+think, func() {
		if i.node != node {
			return
		}
		write := func() {
			w.at(w.now+2+w.random(20), func() {
				ok := w.judge.effect(i.seat, s.Job, s.Token, s.Number)
				did(work.Result{State: []byte{1}, Done: true, Overtaken: !ok, Cost: work.Cost{Calls: 1}})
			})
		}
		if w.now < i.still { // it stood still after its check, and goes on without another one
			w.at(i.still, func() {
				if i.node == node {
					write()
				}
			})
			return
		}
		write()
	})
}

// Cancel does nothing: the step is short.
func (t *tasks) Cancel(string) {}

// Save is part of work.Port.
func (t *tasks) Save(job string, token lease.Token, value []byte) {
	i := (*instance)(t)
	i.later(func(now Time) { i.node.Save(now, job, token, value) })
}

// Released is part of work.Port.
func (t *tasks) Released(job string) {
	i := (*instance)(t)
	i.w.judge.released(i, job)
	i.later(func(now Time) { i.node.Released(now, job) })
}

// Overtaken is part of work.Port.
func (t *tasks) Overtaken(job string, token lease.Token) {
	i := (*instance)(t)
	i.later(func(now Time) { i.node.Overtaken(now, job, token) })
}

// Note is part of work.Port.
func (t *tasks) Note(job, what string) { t.w.judge.say("instance %d: %s: %s", t.seat, job, what) }

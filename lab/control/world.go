// Package control plays the control plane in virtual time: the real drivers of its members and routers on simulated clocks, links
// and disks, with faults and operators drawn from a seed, judged from outside.
//
// It must run within a testing/synctest bubble, which gives the virtual time. All machines share its one steady clock: the control
// plane compares no clocks of two machines, and only logs use the time of day. Faults and orders follow from the seed alone; how
// goroutines interleave does not, so a seed that fails is to be played several times.
package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Options say what world is played.
type Options struct {
	Members   int           // machines that count
	Routers   int           // machines that do not
	Tolerance int           // disks that may be lost at one time
	Length    time.Duration // of the time with faults
	Routes    int           // of each configuration
	Operators int
	Gap       time.Duration // between an operator's calls
	Servers   int           // addresses at which servers come and go
	Write     time.Duration // what keeping a record on disk takes; 0: usualWrite
	Releases  time.Duration // between two orders for releases, at the mean; 0: usualReleases
	Script    []Step        // faults; nil: they are drawn
	Verbose   bool          // the history names every order
}

// Bounds by which things must be in order again.
const (
	settleTime   = 8 * time.Second        // after the last fault, until an order must be taken
	inForce      = 2 * time.Second        // after an acknowledgement in a calm time (bounds.config-apply-ms)
	sampleEvery  = 100 * time.Millisecond // of what routers hold
	traffic      = 3 * time.Second        // after the start, before faults are drawn
	seedMachines = 3
)

// World is one run.
type World struct {
	seed    uint64
	options Options
	rand    *rand.Rand // of the faults
	network *network
	judge   *judge
	ops     *operators
	servers *instances

	releases *releaseJudge
	seeds    []string // control addresses, without port
	ended    chan struct{}
	timers   sync.WaitGroup

	mu       sync.Mutex
	machines []*machine
	wiped    time.Time // when the last disk was lost
	lasting  int       // faults that last
	undo     []func()  // what ends faults that still last
}

// Result is what a run came to.
type Result struct {
	Seed       uint64
	Violations []string
	History    []string
	Counts     Counts
}

// Run plays one world.
func Run(seed uint64, o Options) *Result {
	w := newWorld(seed, o)
	w.play()
	w.judge.linearizable()
	return &Result{Seed: seed, Violations: w.judge.violations, History: w.judge.history, Counts: w.judge.counts}
}

// newWorld makes a world whose machines have not started.
func newWorld(seed uint64, o Options) *World {
	r := rand.New(rand.NewPCG(seed, 0x636f6e74))
	w := &World{
		seed: seed, options: o, rand: r, network: newNetwork(rand.New(rand.NewPCG(seed, 0x6e657477))), judge: newJudge(), ended: make(chan struct{}),
		releases: &releaseJudge{clear: map[int]bool{}, ended: map[int]string{}},
	}
	w.ops = &operators{dice: newDice(seed, 0x6f706572), w: w, patience: usualPatience}
	w.servers = newInstances(w, newDice(seed, 0x696e7374))
	for i := range o.Members + o.Routers {
		w.add(i < o.Members)
	}
	w.firstSeeds()
	return w
}

func (w *World) violate(format string, args ...any) { w.judge.violate(format, args...) }

// later calls f after a time, unless the world has ended by then.
func (w *World) later(d time.Duration, f func()) {
	w.timers.Go(func() {
		select {
		case <-time.After(d):
			f()
		case <-w.ended:
		}
	})
}

func (w *World) over() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}

// add adds a machine with power and an empty disk.
func (w *World) add(counts bool) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.machines) + 1
	m := &machine{name: fmt.Sprintf("m%d", n), address: fmt.Sprintf("10.0.%d.%d", n/200, n%200), counts: counts, power: true, write: w.options.Write}
	if m.write == 0 {
		m.write = usualWrite
	}
	m.wipe()
	w.machines = append(w.machines, m)
	w.network.mu.Lock()
	w.network.machines[m.address+":7000"] = m
	w.network.mu.Unlock()
	return m
}

// firstSeeds draws the seeds of the first start. All of them count, or two of the three: where most of the electors keep no disk and lose their
// memory before the first membership is chosen, none ever is (docs/design/hardening.md says why).
func (w *World) firstSeeds() {
	core := w.core()
	w.rand.Shuffle(len(core), func(i, j int) { core[i], core[j] = core[j], core[i] })
	w.seeds = []string{core[0].address, core[1].address, core[2].address}
	if routers := w.all(func(m *machine) bool { return !m.counts }); len(routers) > 0 && w.rand.IntN(2) == 0 {
		w.seeds[2] = routers[w.rand.IntN(len(routers))].address
	}
	slices.Sort(w.seeds)
}

// all lists the machines of a kind that are not gone for good.
func (w *World) all(want func(m *machine) bool) []*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*machine
	for _, m := range w.machines {
		m.mu.Lock()
		gone := m.gone
		m.mu.Unlock()
		if !gone && want(m) {
			list = append(list, m)
		}
	}
	return list
}

func (w *World) core() []*machine { return w.all(func(m *machine) bool { return m.counts }) }

func (w *World) anyMachine(draw func(n int) int) *machine {
	list := w.all(func(*machine) bool { return true })
	return list[draw(len(list))]
}

// play starts everything, lets faults and operators happen, mends all, and checks that the system is in order again.
func (w *World) play() {
	w.startAll()
	var clients sync.WaitGroup
	for i := range w.options.Operators {
		gaps := rand.New(rand.NewPCG(uint64(i), w.rand.Uint64()))
		clients.Go(func() {
			if i == 0 {
				w.ops.change(0, 0, 1+int64(w.ops.draw(3)))
			} else {
				time.Sleep(traffic)
			}
			w.ops.run(i, func() time.Duration {
				return time.Duration(float64(w.options.Gap) * (0.2 + 1.6*gaps.Float64()))
			})
		})
	}
	clients.Go(w.sample)
	gaps := rand.New(rand.NewPCG(w.rand.Uint64(), 1))
	clients.Go(func() {
		w.ops.nameVersions(func() time.Duration { return time.Duration(gaps.Int64N(int64(2 * namingGap))) })
	})
	pauses := rand.New(rand.NewPCG(w.rand.Uint64(), 2))
	between := cmp.Or(w.options.Releases, usualReleases)
	clients.Go(func() {
		w.ops.orderReleases(func() time.Duration { return time.Duration(pauses.Int64N(int64(2 * between))) })
	})
	clients.Go(func() { w.ops.readReleases(func() time.Duration { return sampleEvery }) })
	for i := range w.options.Servers {
		clients.Go(func() { w.servers.run(addressOf(i)) })
	}
	clients.Go(w.servers.judgeEnds)
	script := w.options.Script
	if script == nil {
		script = w.drawScript()
	}
	w.carryOut(script)
	w.mend()
	w.checkInOrder()
	close(w.ended)
	clients.Wait()
	w.stop()
}

// startAll starts all machines for the first time.
func (w *World) startAll() {
	for _, m := range w.all(func(*machine) bool { return true }) {
		w.later(time.Duration(w.rand.Int64N(int64(startWithin))), func() { w.start(m, true) })
	}
}

// stop ends all processes, and waits until what is still under way has come to nothing.
func (w *World) stop() {
	w.timers.Wait()
	for _, m := range w.all(func(*machine) bool { return true }) {
		m.kill()
	}
	time.Sleep(lateAtMost + grace)
}

// sample looks at the routers again and again: one that may serve keyed routes must have what was acknowledged revoke-ms ago.
func (w *World) sample() {
	for !w.over() {
		time.Sleep(sampleEvery)
		for _, m := range w.all(func(*machine) bool { return true }) {
			p, _ := m.running()
			if p == nil || !p.follower.Fresh() {
				continue
			}
			revoke := time.Duration(w.settingsOf(m, false).Bounds.RevokeMs) * time.Millisecond
			least := w.judge.ackedBefore(time.Now().Add(-revoke))
			if s := p.follower.Snapshot(); s.Table != nil && s.Table.Version < least && p.follower.Fresh() {
				w.violate("%s serves keyed routes by version %d, %d was acknowledged longer than revoke-ms ago", m.name, s.Table.Version, least)
			}
		}
	}
}

// mend ends all faults and starts what does not run.
func (w *World) mend() {
	w.mu.Lock()
	undo := w.undo
	w.undo = nil
	w.mu.Unlock()
	for _, f := range slices.Backward(undo) {
		f()
	}
	w.network.setTrouble(0, 0, 0)
	w.ops.setAckLost(0)
	for _, m := range w.all(func(*machine) bool { return true }) {
		w.restore(m)
	}
	w.judge.tell("all is mended")
}

// checkInOrder has an order taken, read back at every machine and in force on every router, each within its bound.
func (w *World) checkInOrder() {
	const client = 99
	mended := time.Now()
	time.Sleep(settleTime)
	if !w.eventually(settleTime, func() bool {
		s, ok := w.ops.read(client, w.anyMachine(w.ops.draw))
		return ok && w.ops.change(client, s.version, s.version+1) == taken
	}) {
		w.violate("no order is taken within %v after all was mended", time.Since(mended))
		w.describe()
		return
	}
	acked := time.Now()
	newest := w.judge.ackedBefore(acked.Add(1))
	for _, m := range w.all(func(*machine) bool { return true }) {
		if !w.eventually(time.Second, func() bool {
			s, ok := w.ops.read(client, m)
			return ok && s.version >= newest
		}) {
			w.violate("%s does not answer a read with version %d", m.name, newest)
		}
		p, _ := m.running()
		if p == nil || !w.eventually(inForce-time.Since(acked), func() bool {
			s := p.follower.Snapshot()
			return s.Table != nil && s.Table.Version >= newest
		}) {
			w.violate("%s has no version %d in force %v after its acknowledgement", m.name, newest, time.Since(acked))
		}
	}
	w.judgeNamings()
	w.judgeReleases()
	w.servers.judgeLiving()
	for _, m := range w.core() {
		if p, _ := m.running(); p != nil && !w.eventually(settleTime, p.controller.IsMember) {
			w.violate("%s has not become a member again", m.name)
			w.describe()
		}
	}
}

// judgeNamings has every router know the newest version whose naming was acknowledged.
func (w *World) judgeNamings() {
	newest := w.judge.namedNewest()
	for _, m := range w.all(func(*machine) bool { return true }) {
		if p, _ := m.running(); p == nil || !w.eventually(inForce, func() bool { return p.follower.Snapshot().Namings.Newest(modelName) >= newest }) {
			w.violate("%s does not know version %d of the model, whose naming was acknowledged", m.name, newest)
		}
	}
}

// describe tells what the members know.
func (w *World) describe() {
	for _, m := range w.core() {
		if p, _ := m.running(); p != nil {
			w.judge.tell("%s.%d: %s", m.name, p.number, p.controller.Describe())
		}
	}
}

// eventually waits until f holds, for a time at most.
func (w *World) eventually(within time.Duration, f func() bool) bool {
	for until := time.Now().Add(max(within, 0)); ; {
		if f() {
			return true
		}
		if !time.Now().Before(until) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

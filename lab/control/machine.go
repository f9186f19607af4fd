package control

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"moleshift/controlplane/core"
	"moleshift/controlplane/directory"
	"moleshift/controlplane/release"
	"moleshift/controlplane/server"
	"moleshift/dataplane/follower"
	"moleshift/peer"
	"moleshift/settings"
	"moleshift/storage/ring"
	"moleshift/storage/ring/ringtest"
)

const (
	fileSize     = 1 << 20
	usualWrite   = 2 * time.Millisecond // what keeping a record on disk takes
	restartAfter = 400 * time.Millisecond
	startWithin  = 300 * time.Millisecond
	grace        = 8 * time.Second
)

// machine is one machine: its disk, whether it has power, and the process on it.
type machine struct {
	name    string
	address string
	counts  bool
	write   time.Duration // what keeping a record on its disk takes: a write and a sync

	mu       sync.Mutex
	disk     *ringtest.Disk
	power    bool
	gone     bool // for good
	process  *process
	starts   int
	kills    int
	starting bool
}

func (m *machine) running() (p *process, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process, m.power
}

// process is one incarnation of the node's process: the real drivers on the machine's simulated disk, clock and links.
type process struct {
	machine     *machine
	number      int
	attachment  *ringtest.Attachment
	controller  *server.Controller
	acceptor    *core.Acceptor // nil on machines that do not count
	follower    *follower.Follower
	handlers    map[string]peer.Handler
	ended       chan struct{}
	killsBefore int // of the machine, when the process began to start

	mu     sync.Mutex
	dead   bool
	frozen chan struct{} // closed at the thaw; nil: not frozen
}

func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.dead
}

// awaitThaw waits while the process stands still; false: it has ended.
func (p *process) awaitThaw() bool {
	for {
		p.mu.Lock()
		dead, frozen := p.dead, p.frozen
		p.mu.Unlock()
		if dead || frozen == nil {
			return !dead
		}
		select {
		case <-frozen:
		case <-p.ended:
			return false
		}
	}
}

// freeze has the process's links stand still until thaw. Its timers run on: what it does meanwhile reaches nobody.
func (p *process) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

func (p *process) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

// settingsOf gives the settings file of a machine.
func (w *World) settingsOf(m *machine, first bool) *settings.Settings {
	set := settings.Default()
	set.NodeName, set.IP, set.Zone = m.name, m.address, "z"
	set.PortRange = []int{7000, 7009}
	set.Bootstrap, set.CountsForQuorum = first, m.counts
	set.Listen.Control = m.address + ":80"
	set.FaultTolerance.Machines = w.options.Tolerance
	set.Bounds.FailClosed = true
	set.Seeds = nil
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.seeds {
		set.Seeds = append(set.Seeds, s+":80")
	}
	return &set
}

// start begins a process on a machine that has power. first says that the whole system starts with it.
func (w *World) start(m *machine, first bool) {
	m.mu.Lock()
	if m.process != nil || m.starting || m.gone || !m.power {
		m.mu.Unlock()
		return
	}
	m.starts++
	m.starting = true
	p := &process{machine: m, number: m.starts, ended: make(chan struct{}), killsBefore: m.kills}
	disk := m.disk
	m.mu.Unlock()

	if m.counts {
		p.attachment = disk.Attach()
	}
	err := w.assemble(p, first)

	m.mu.Lock()
	defer m.mu.Unlock()
	m.starting = false
	if !m.power || m.gone || disk != m.disk || m.kills != p.killsBefore {
		p.end()
		if m.power && !m.gone { // it was killed during its start, which may have waited for its disk: the platform starts it again
			w.later(restartAfter, func() { w.start(m, first) })
		}
		return
	}
	if err != nil { // the disk refuses writes: the platform starts the process again
		w.later(restartAfter, func() { w.start(m, first) })
		return
	}
	m.process = p
	go p.controller.Run()
	go p.follower.Run()
}

// assemble makes the parts of a process, as the program does.
func (w *World) assemble(p *process, first bool) error {
	m := p.machine
	set := w.settingsOf(m, first)
	self := peer.Node{
		ID: fmt.Sprintf("%s.%d", m.name, p.number), Name: m.name, Address: set.PeerAddress(), Control: set.Listen.Control, Zone: set.Zone,
	}
	if m.counts {
		store, err := ring.Open(p.attachment, fileSize)
		if err != nil {
			return err
		}
		if !first {
			if err := server.PrepareNewcomer(store); err != nil {
				return err
			}
		}
		if p.acceptor, err = core.NewAcceptor(store); err != nil {
			return err
		}
		self.Acceptor, self.Fresh = p.acceptor.Identity(), p.acceptor.Empty()
	}
	elector, err := core.NewElector(&self, set.SeedPeers(), first, p.acceptor)
	if err != nil {
		return err
	}
	calls := &caller{w.network, p}
	dir := directory.New()
	p.controller = server.New(set, set.SeedPeers, self, p.acceptor, elector, calls, dir, zerolog.Nop())
	var local func(in *peer.Poll) (*peer.PollReply, error)
	if m.counts {
		local = p.controller.Poll
	}
	p.follower = follower.New(set, self, calls, dir, local, func(s *follower.Snapshot) { w.judge.snapshot(p, s) }, zerolog.Nop())
	p.controller.UseReleases(func() []release.Release { return p.follower.Snapshot().Releases })
	p.handlers = p.controller.Handlers()
	return nil
}

// kill ends the process of a machine at once.
func (m *machine) kill() {
	m.mu.Lock()
	p := m.process
	m.process = nil
	m.kills++
	m.mu.Unlock()
	if p != nil {
		p.end()
	}
}

// end ends a process: nothing that it still does reaches its disk or anybody else.
func (p *process) end() {
	if p.attachment != nil {
		p.attachment.Detach()
	}
	p.mu.Lock()
	dead := p.dead
	p.dead = true
	p.mu.Unlock()
	if dead {
		return
	}
	close(p.ended)
	if p.controller != nil {
		p.controller.Close()
		p.follower.Close()
	}
}

// losePower ends the process and loses what was not synced.
func (m *machine) losePower(r *rand.Rand) {
	m.kill()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.power = false
	m.disk = m.disk.Cut(r)
}

// wipe empties the disk of a machine whose process does not run.
func (m *machine) wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disk = ringtest.New()
	m.setUsualDisk()
}

func (m *machine) setUsualDisk() { m.usualWaitOf(m.disk) }

// usualWaitOf has a disk of this machine take its usual time.
func (m *machine) usualWaitOf(disk *ringtest.Disk) { disk.SetWait(func() { time.Sleep(m.write / 2) }) }

// restore gives a machine its power back and starts its process.
func (w *World) restore(m *machine) {
	m.mu.Lock()
	m.power = true
	m.setUsualDisk()
	m.mu.Unlock()
	w.start(m, false)
}

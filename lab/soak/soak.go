package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"moleshift/lab/nodes"
)

// Options is one run.
type Options struct {
	Program     string // moleshiftd
	Nodes       int
	Servers     int // of the model service; a third as many of the other one
	Clients     int
	For         time.Duration // in which clients, operator and strikes are at work
	Seed        uint64
	Planned     bool // planned work only: nothing at all may be lost
	ChangeEvery time.Duration
	StrikeEvery time.Duration // mean time between two strikes
	Bounds      Bounds
	Sound       bool   // the stand-in servers break nothing off and take every order
	Dir         string // for logs and data
	LogLevel    string
	Tell        func(line string) // progress; nil: nobody is told
}

// DefaultBounds are the bounds that nodes are told and histories are judged by.
var DefaultBounds = Bounds{Version: 5 * time.Second, Grace: 6 * time.Second, Contact: 1500 * time.Millisecond, LossSlack: 200 * time.Millisecond, Apply: 2 * time.Second, Revoke: 3 * time.Second, Drain: 2 * time.Second}

const (
	coreNodes     = 3
	upWithin      = 20 * time.Second
	leaseOfHolder = 1500 * time.Millisecond
	slotsOfServer = 3
	leastLoad     = 200 * time.Millisecond
	mostLoad      = 700 * time.Millisecond
	backWithin    = 4 * time.Second // after a start, a node takes part again, and the others have noticed
	longestFreeze = 5 * time.Second
	restartPause  = 300 * time.Millisecond

	descriptors = 400 // of a node: few, so that clients that rest use them up

	clientSource      = 100    // numbers of the sources of random numbers of clients
	firstServerSource = 10_000 // numbers of the sources of random numbers of servers
	readerSource      = 3
)

// Result is what a run came to.
type Result struct {
	History    *History
	Violations []Violation
	Judged     Judged
	Margin     float64 // the share of the bound on versions that was used at most
}

// Run plays a run and judges it. Errors tell that it could not be played.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Bounds == (Bounds{}) {
		o.Bounds = DefaultBounds
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	fleet, err := nodes.New(nodes.Options{
		Program: o.Program, Dir: o.Dir, LogLevel: o.LogLevel, Nodes: o.Nodes, Core: coreNodes, Heartbeat: heartbeatEvery, MaxFDs: descriptors,
		Bounds: nodes.Bounds{Contact: o.Bounds.Contact, Grace: o.Bounds.Grace, Version: o.Bounds.Version, Lease: leaseOfHolder, Apply: o.Bounds.Apply, Revoke: o.Bounds.Revoke},
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	s := &soak{options: &o, fleet: fleet, platform: newPlatform(fleet), history: &History{began: time.Now()}, random: rand.New(rand.NewPCG(o.Seed, 0x736f616b))}
	defer s.closeServers()
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	violations, judged := Judge(s.history, o.Bounds)
	for _, crash := range fleet.Crashes() {
		violations = append(violations, Violation{"CRASH", fmt.Sprintf("%q in %s", crash.Sign, crash.Path), crash.Lines})
	}
	return &Result{History: s.history, Violations: violations, Judged: judged, Margin: Margin(s.history, o.Bounds)}, nil
}

// soak is a run under way.
type soak struct {
	options  *Options
	fleet    *nodes.Fleet
	platform *platform
	history  *History
	random   *rand.Rand
	servers  []*modelServer
	releaser *releaser
	struck   sync.WaitGroup

	mu   sync.Mutex
	busy map[int]bool // nodes that a strike has
}

func (s *soak) tell(format string, args ...any) {
	if s.options.Tell != nil {
		s.options.Tell(fmt.Sprintf("%8.3f s  ", s.history.Now().Seconds()) + fmt.Sprintf(format, args...))
	}
}

// fork gives a source of random numbers that depends on the seed and the given number alone.
func (s *soak) fork(n uint64) *rand.Rand { return rand.New(rand.NewPCG(s.options.Seed, n)) }

func (s *soak) play(ctx context.Context) error {
	for i := range s.fleet.Len() {
		if err := s.fleet.Start(i, true); err != nil {
			return err
		}
	}
	background, stopBackground := context.WithCancel(ctx)
	var helpers sync.WaitGroup
	defer helpers.Wait()
	defer stopBackground()
	if err := s.startServers(background, &helpers); err != nil {
		return err
	}
	helpers.Go(func() { s.platform.watch(background.Done()) })
	s.releaser = s.newReleaser()
	defer s.releaser.close()
	if err := s.releaser.start(firstSoftware); err != nil {
		return err
	}
	operator := newOperator(s.fleet, s.history, s.fork(1))
	configured, cancel := context.WithTimeout(ctx, upWithin)
	defer cancel()
	if err := operator.configure(configured, slotsOfServer); err != nil {
		return err
	}
	if err := s.awaitReady(configured); err != nil {
		return err
	}
	s.tell("%d nodes are ready", s.fleet.Len())
	s.work(ctx, operator)
	return ctx.Err()
}

func (s *soak) startServers(ctx context.Context, helpers *sync.WaitGroup) error {
	add := func(id, service string) error {
		load := leastLoad + time.Duration(s.random.Int64N(int64(mostLoad-leastLoad)))
		number := len(s.servers)
		faults := newServerFaults(!s.options.Sound, number, s.fork(firstServerSource+uint64(number)))
		server, err := newModelServer(serverOptions{
			id: id, service: service, software: software{version: firstSoftware}, loadTime: load, faults: faults,
		}, s.history, s.fleet)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, server)
		helpers.Go(func() { server.heartbeats(ctx) })
		return nil
	}
	for i := range s.options.Servers {
		if err := add(fmt.Sprint("i-model-", i), modelService); err != nil {
			return err
		}
	}
	for i := range max(1, s.options.Servers/3) {
		if err := add(fmt.Sprint("i-batch-", i), batchService); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) closeServers() {
	for _, server := range s.servers {
		server.close()
	}
}

// newClient makes a client that sends requests of all kinds.
func (s *soak) newClient(name string, source uint64) *client {
	return &client{name: fmt.Sprintf("%d-%s", s.options.Seed, name), nodes: s.platform, history: s.history, random: s.fork(source), kinds: Kinds()}
}

func (s *soak) awaitReady(ctx context.Context) error {
	for {
		ready := len(s.platform.list())
		if ready == s.fleet.Len() {
			return nil
		}
		if !pause(ctx, 100*time.Millisecond) {
			return fmt.Errorf("%d of %d nodes became ready in %v: see the logs in %s", ready, s.fleet.Len(), upWithin, s.options.Dir)
		}
	}
}

// work has clients, operator and strikes at work, for the time of the run.
func (s *soak) work(ctx context.Context, operator *operator) {
	within, cancel := context.WithTimeout(ctx, s.options.For)
	defer cancel()
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var group, requests sync.WaitGroup
	reader := newReader(s.fleet, s.history, s.fork(readerSource))
	group.Go(func() { operator.run(within, s.options) })
	group.Go(func() { reader.run(within) })
	for i := range s.options.Clients {
		c := s.newClient(fmt.Sprint(i), clientSource+uint64(i))
		requests.Go(func() { c.run(clients) })
	}
	s.busy = map[int]bool{}
	group.Go(func() { s.strike(within) })
	for row := range leaversAtOnce {
		group.Go(func() { s.leavers(within, row) })
	}
	group.Go(func() { s.idleClients(within) })
	group.Go(func() { s.rushes(within) })
	group.Go(func() { s.releaser.run(within) })
	for i := range restingClients {
		c := s.newClient(fmt.Sprint("r", i), restingSource+uint64(i))
		group.Go(func() { c.rest(within) })
	}
	group.Wait()
	s.struck.Wait()
	stopClients()
	requests.Wait()
	last, done := context.WithTimeout(ctx, upWithin)
	defer done()
	reader.final(last)
}

// strike draws strikes until the context ends.
func (s *soak) strike(ctx context.Context) {
	random := s.fork(2)
	for pause(ctx, time.Duration(random.ExpFloat64()*float64(s.options.StrikeEvery))) {
		name, at := s.draw(random), random.IntN(s.fleet.Len())
		lasts := time.Duration(random.Int64N(int64(longestFreeze)))
		if s.take(at) {
			s.struck.Go(func() { s.befall(name, at, lasts) })
		}
	}
}

// draw draws a strike.
func (s *soak) draw(random *rand.Rand) string {
	planned := []string{Terminate, Terminate, Reload}
	if s.options.Planned {
		return planned[random.IntN(len(planned))]
	}
	all := append([]string{Kill, Wipe, Freeze}, planned...)
	return all[random.IntN(len(all))]
}

// take claims a node for a strike. Nodes beyond what the quorum bears are left alone.
func (s *soak) take(at int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[at] {
		return false
	}
	if at < coreNodes {
		for i := range coreNodes {
			if s.busy[i] {
				return false
			}
		}
	}
	s.busy[at] = true
	return true
}

// befall carries a strike out and returns once the node is back.
func (s *soak) befall(name string, at int, lasts time.Duration) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, at)
	}()
	s.tell("%s to node %d", name, at)
	planned := name == Terminate || name == Reload
	end := s.history.strike(Strike{Node: at, Name: name, At: s.history.Now(), Planned: planned})
	defer func() { end(s.history.Now() + s.options.Bounds.Contact) }()
	switch name {
	case Reload:
		s.fleet.Signal(at, syscall.SIGHUP)
		return
	case Freeze:
		s.fleet.Signal(at, syscall.SIGSTOP)
		time.Sleep(lasts)
		s.fleet.Signal(at, syscall.SIGCONT)
	case Terminate:
		s.fleet.Signal(at, syscall.SIGTERM)
		_ = s.fleet.Await(at, s.options.Bounds.Grace) // the platform kills what is left then
		s.restart(at)
	default:
		s.fleet.Kill(at)
		if name == Wipe {
			_ = s.fleet.Wipe(at) // what is left shows at the start
		}
		s.restart(at)
	}
	time.Sleep(backWithin)
}

func (s *soak) restart(at int) {
	time.Sleep(restartPause)
	if err := s.fleet.Start(at, false); err != nil {
		s.tell("node %d: %v", at, err)
	}
}

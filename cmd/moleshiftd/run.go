package main

import (
	"math"
	"net"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"moleshift/controlplane/core"
	"moleshift/controlplane/directory"
	"moleshift/controlplane/release"
	"moleshift/controlplane/server"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/ingress"
	"moleshift/dataplane/kvevents"
	"moleshift/dataplane/proxy"
	"moleshift/internal/sock"
	"moleshift/peer"
	"moleshift/settings"
	"moleshift/storage/ring"
)

const (
	memoryShare = 0.75 // of the machine's memory, at which the collector works harder
	diskShare   = 8    // a storage file is this part of the disk
	mostFile    = 8 << 20
	leastFile   = 1 << 20
	megabyte    = 1 << 20
)

// run assembles a node and runs it until one of the signals comes.
func run(set *settings.Settings, signals <-chan os.Signal, log zerolog.Logger) error {
	debug.SetMemoryLimit(int64(memoryShare * set.Limits.MemoryMB * megabyte))
	set.Limits.MaxFDs = min(set.Limits.MaxFDs, openFiles())
	acceptor, err := openAcceptor(set, log)
	if err != nil {
		return trace.Wrap(err)
	}
	self := peer.Node{
		ID: peer.NewID(), Name: set.NodeName, Address: set.PeerAddress(), Control: set.Listen.Control, Zone: set.Zone,
	}
	if acceptor != nil {
		self.Acceptor, self.Fresh = acceptor.Identity(), acceptor.Empty()
	}
	elector, err := core.NewElector(&self, set.SeedPeers(), set.Bootstrap, acceptor)
	if err != nil {
		return trace.Wrap(err)
	}
	caller := peer.NewClient(set.IP)
	dir := directory.New()
	control := server.New(set, settings.NewReloader(os.Getenv(settings.Variable), set).SeedPeers, self, acceptor, elector, caller, dir, log)
	var local func(in *peer.Poll) (*peer.PollReply, error)
	if control.Counts() {
		local = control.Poll
	}
	var traffic *proxy.Proxy
	var events *kvevents.Collector
	follow := follower.New(set, self, caller, dir, local, func(s *follower.Snapshot) {
		traffic.Update(s)
		events.Update(s)
	}, log)
	traffic = proxy.New(set, self.ID, follow.Snapshot, follow.Started(), log)
	follow.UseReporter(traffic)
	events = kvevents.New(set.IP, self, caller, traffic, log)
	control.UseLoads(traffic.RequestsAt)
	control.UseReleases(func() []release.Release { return follow.Snapshot().Releases })
	clients := ingress.New(traffic, follow.Snapshot, set.Limits.ClientConnections(), follow.Fresh, log)
	scarce := newScarcity(log)
	handlers := control.Handlers()
	handlers[peer.CallEvents] = events.Handler
	peers := peer.NewServer(handlers)

	failed := make(chan error, 4)
	for _, s := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{set.PeerAddress(), peers.Serve}, {set.Listen.Control, control.ServeAPI},
		{set.Listen.Ready, clients.ServeReady}, {set.Listen.Front, clients.Serve},
	} {
		if s.address == "" {
			continue
		}
		l, err := sock.Listen(s.address, scarce.note)
		if err != nil {
			return trace.Wrap(trace.ConvertSystemError(err), "cannot listen on %s: see whether another process does", s.address)
		}
		go func() { failed <- s.serve(l) }()
	}
	if address, path, ok := set.MetricsAt(); ok {
		l, err := sock.Listen(address, scarce.note)
		if err != nil {
			return trace.Wrap(trace.ConvertSystemError(err), "cannot listen on %s for metrics: see whether another process does", address)
		}
		go func() {
			failed <- serveMetrics(l, path, control.WriteMetrics, follow.WriteMetrics, traffic.WriteMetrics, clients.WriteMetrics, scarce.writeMetrics)
		}()
	}
	go control.Run()
	go follow.Run()
	go events.Run()
	log.Info().Bool("counts", control.Counts()).Bool("fresh", self.Fresh).Msg("started")
	return awaitSignal(set, signals, control, clients, failed, log)
}

// openFiles is how many descriptors the system gives this process.
func openFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// awaitSignal returns at a signal, once all that was taken is answered.
func awaitSignal(set *settings.Settings, signals <-chan os.Signal, control *server.Controller, clients *ingress.Server, failed <-chan error, log zerolog.Logger) error {
	select {
	case err := <-failed:
		return trace.Wrap(err)
	case s := <-signals:
		log.Info().Str("signal", s.String()).Msg("draining")
		released := make(chan struct{})
		go func() {
			defer close(released)
			control.Leave(settings.Seconds(set.Bounds.GraceS))
		}()
		clients.Drain(settings.Seconds(set.Bounds.GraceS), released)
		log.Info().Msg("ended")
		return nil
	}
}

// openAcceptor opens what the node keeps where it counts for the quorum; nil: it does not.
func openAcceptor(set *settings.Settings, log zerolog.Logger) (*core.Acceptor, error) {
	if !set.CountsForQuorum {
		return nil, nil
	}
	store, err := openStore(set, log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !set.Bootstrap {
		if err := server.PrepareNewcomer(store); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return core.NewAcceptor(store)
}

// openStore opens the node's disk, or memory where it has none.
func openStore(set *settings.Settings, log zerolog.Logger) (core.Store, error) {
	if set.DataDir == "" {
		return core.NewMemory(), nil
	}
	dir, err := ring.Folder(set.DataDir)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	store, err := ring.Open(dir, min(max(int64(set.Limits.DiskMB*megabyte/diskShare), leastFile), mostFile))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if n := store.Damaged(); n > 0 {
		log.Warn().Int("records", n).Msg("torn records on disk were left out: they had not been acknowledged")
	}
	return store, nil
}

// Package server is the control plane of one node: the registers' driver with the clock and the network, the table of servers with
// their heartbeats, the long polls of routers, the operator's orders and the rollout of weights.
//
// Every node has one; only on nodes that count for the quorum does it hold state. State that several goroutines share stands
// behind short locks: no call, no disk and no log while one is held.
package server

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/tinylib/msgp/msgp"
	"golang.org/x/sync/semaphore"

	"moleshift/controlplane/core"
	"moleshift/controlplane/directory"
	"moleshift/controlplane/quorum"
	"moleshift/controlplane/registry"
	"moleshift/controlplane/release"
	"moleshift/controlplane/rollout"
	"moleshift/fault"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	syncsPerContact  = 10 // looks at the members in bounds.contact-ms
	firstSync        = 40 * time.Millisecond
	minSync          = 100 * time.Millisecond
	maxSync          = 500 * time.Millisecond
	silentBeats      = 3.5 // heartbeats missed before a server is taken for silent
	replacedBeats    = 1.5 // heartbeats missed before a server gives way to another incarnation that is heard at its address
	keepEntries      = time.Minute
	loadingAtMost    = 3 * time.Second // without word from the node that orders a load
	sessionsEvery    = 4               // of all syncs carry the sessions
	sessionKeep      = 4 * time.Second // a router that has not polled for so long is taken for gone
	mostSilentAsked  = 256             // silent servers of which other members are asked in one sync whether they have left
	scrubAfter       = 3               // syncs in a row with other digests before whole tables are exchanged
	settleAfterFirst = 2               // looks in a row without a chosen newest value before the first live member settles it
	settleAfterOther = 8               // the same before any other does
)

// Controller is the control plane of one node.
type Controller struct {
	set       *settings.Settings
	seeds     func() []string // peer addresses of the seeds, as the settings file names them now
	self      peer.Node
	acceptor  *core.Acceptor // nil: this node does not count
	elector   *core.Elector
	registers *core.Registers
	directory *directory.Directory
	caller    core.Caller
	log       zerolog.Logger
	started   time.Time
	syncEvery time.Duration
	closed    chan struct{}
	closeOnce sync.Once
	configs   routerConfigs
	ends      *endKeeper
	pending   pendingOrders

	mu           sync.Mutex
	table        *registry.Table
	tableID      string        // of this replica's revisions
	tableChanged chan struct{} // closed and replaced when routers must hear of something
	heard        map[string]bool
	lacksEnds    bool           // ends that were acknowledged before this node became a member may be unknown to it
	confirmed    map[string]int // by instance: the state of an end that a majority is known to keep
	sessions     map[string]session
	mismatch     map[string]int
	lastSync     time.Time
	resumed      time.Time // when this process last went on after it had stood still
	syncs        int
	applicants   map[string]applicant
	leavers      map[string]leaver    // members that are about to end, by identity
	freshNodes   map[string]peer.Node // nodes that count and have kept nothing, by address
	lastFresh    time.Time
	firstMembers []quorum.Member // of all, once this node has heard of their choice
	unsettled    map[string]int
	remembered   uint64                  // digest of the table as it was last kept on disk
	outboxes     map[string]*outbox      // by member
	turns        map[string]rollout.Turn // of instances that this node rolls weights out to
	namings      rollout.Namings         // when weights were named
	namingsFrom  quorum.Ballot           // of the value that they were last noted from
	weightsRead  *rollout.State          // that value; nil: none was read
	weightsNews  quorum.Ballot           // of the last value that routers were to hear of at once

	releases      map[string]*releaseCounts // by service: of the releases that are under way
	orderTimes    release.OrderTimes        // when releases were ordered
	census        release.Census            // of the versions of servers
	readsReleases bool                      // this process has read the newest releases: one that it reads later is a new one

	incarnations incarnations                  // of members
	loadOf       func(instance string) float64 // requests in flight at a server; set before Run
	releasesHere func() []release.Release      // what this node knows of releases; set before Run
}

type session struct {
	node peer.Node
	last time.Time
	here bool // it polls this controller
}

// New makes a controller. acceptor is nil on a node that does not count for the quorum.
func New(set *settings.Settings, seeds func() []string, self peer.Node, acceptor *core.Acceptor, elector *core.Elector, caller core.Caller, dir *directory.Directory, log zerolog.Logger) *Controller {
	c := &Controller{
		set: set, seeds: seeds, self: self, acceptor: acceptor, elector: elector, directory: dir, caller: caller, log: log,
		registers: core.NewRegisters(acceptor, self, caller, log),
		started:   time.Now(), closed: make(chan struct{}), tableID: self.ID,
		table: registry.New(registry.Settings{
			Silence: settings.Millis(silentBeats * set.HeartbeatMs), Keep: keepEntries, Ends: mostEnds, Loading: loadingAtMost,
			Replace: settings.Millis(replacedBeats * set.HeartbeatMs),
		}),
		ends:         newEndKeeper(),
		lacksEnds:    acceptor != nil && len(acceptor.Kept(lacksEndsRecord)) > 0,
		tableChanged: make(chan struct{}), heard: map[string]bool{}, confirmed: map[string]int{}, sessions: map[string]session{},
		mismatch: map[string]int{}, applicants: map[string]applicant{}, leavers: map[string]leaver{}, freshNodes: map[string]peer.Node{},
		unsettled: map[string]int{}, outboxes: map[string]*outbox{}, turns: map[string]rollout.Turn{}, releases: map[string]*releaseCounts{},
		incarnations: newIncarnations(), loadOf: func(string) float64 { return 0 },
	}
	c.releasesHere = c.releasesKnown
	c.pending.orders = map[string]*pendingOrder{}
	c.configs.building = semaphore.NewWeighted(1)
	c.recall()
	c.syncEvery = min(max(settings.Millis(set.Bounds.ContactMs/syncsPerContact), minSync), maxSync)
	return c
}

// UseLoads has the rollout begin with the servers that have the fewest requests in flight. It is to be called before Run.
func (c *Controller) UseLoads(requests func(instance string) float64) { c.loadOf = requests }

// UseReleases has orders for releases go by what the node knows of releases as a router, where it is no member. It is to be called before
// Run.
func (c *Controller) UseReleases(known func() []release.Release) {
	if c.acceptor == nil {
		c.releasesHere = known
	}
}

// now is the controller's steady clock.
func (c *Controller) now() time.Duration { return time.Since(c.started) }

// Counts tells whether this node counts for the quorum.
func (c *Controller) Counts() bool { return c.acceptor != nil }

// Handlers gives the calls that the controller answers.
func (c *Controller) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		peer.CallWho:       handle(c.who),
		peer.CallGenesis:   handle(c.genesis),
		peer.CallVote:      handle(c.vote),
		peer.CallLeave:     handle(c.leave),
		peer.CallPrepare:   handle(c.prepare),
		peer.CallAccept:    handle(c.accept),
		peer.CallLearn:     handle(c.learn),
		peer.CallSync:      handle(c.sync),
		peer.CallPoll:      handle(c.Poll),
		peer.CallBeat:      handle(c.beat),
		peer.CallInstances: handle(c.instances),
		peer.CallOrder:     handle(c.order),
	}
}

// handle makes a Handler of a function with typed messages.
func handle[In any, PtrIn interface {
	*In
	msgp.Unmarshaler
}, Out msgp.Marshaler](f func(in *In) (Out, error)) peer.Handler {
	return func(body []byte) (msgp.Marshaler, error) {
		var in In
		if _, err := PtrIn(&in).UnmarshalMsg(body); err != nil {
			return nil, fault.New(fault.BadRequest, "message cannot be read: %v", err)
		}
		return f(&in)
	}
}

var errNotMember = fault.New(fault.Unavailable, "this node does not count for the quorum")

func (c *Controller) prepare(in *peer.Prepare) (*peer.AcceptorReply, error) {
	if c.acceptor == nil {
		return nil, errNotMember
	}
	return c.acceptor.TakePrepare(in)
}

func (c *Controller) accept(in *peer.Accept) (*peer.AcceptorReply, error) {
	if c.acceptor == nil {
		return nil, errNotMember
	}
	return c.acceptor.TakeAccept(in)
}

func (c *Controller) learn(in *peer.Learn) (*peer.Empty, error) {
	c.registers.Learn(in)
	return &peer.Empty{}, nil
}

// Run works until Close. It is to be called in a goroutine of its own.
func (c *Controller) Run() {
	if c.acceptor != nil {
		go c.announce()
		go c.runRollout()
		go c.runReleases()
		go c.keepAges()
		go c.sweep()
		go c.keepEnds()
		go c.gatherEnds()
	}
	go c.runGenesis()
	c.findMembers()
	if c.acceptor == nil {
		return
	}
	// Until a quorum was heard nothing can be answered, and others may be on their way: look anew without waiting for the last look. What
	// a proposer left half done, and died of, no look shows to be chosen.
	for pause := firstSync; c.registers.Known(core.Config).Confirmed.IsZero(); pause = min(pause*3/2, c.syncEvery) {
		go c.syncOnce()
		if !c.pause(pause) {
			return
		}
		c.settle()
	}
	for {
		c.syncOnce()
		c.settle()
		c.manageMembers()
		if !c.pause(c.lookPause()) {
			return
		}
	}
}

// pause waits; false: the controller was closed.
func (c *Controller) pause(d time.Duration) bool {
	select {
	case <-c.closed:
		return false
	case <-time.After(d):
		return true
	}
}

// Close ends what Run does. It may be called more than once.
func (c *Controller) Close() { c.closeOnce.Do(func() { close(c.closed) }) }

// syncOnce looks at the registers at all members, tells them which instances were heard here, and compares tables.
func (c *Controller) syncOnce() {
	now := c.now()
	c.noteNamings()
	releases := c.noteReleases()
	c.mu.Lock()
	if c.stoodStill() {
		c.table.Pause(now) // what it has not heard in that time is no sign of anything
		c.resumed = time.Now()
	}
	c.lastSync = time.Now()
	heard := slices.Sorted(maps.Keys(c.heard))
	clear(c.heard)
	message := &peer.Sync{
		From: c.self, Digest: c.table.Digest(), Heard: heard, Namings: c.toldNamings(), Silent: c.table.Silent(mostSilentAsked),
		Started: c.orderTimes.Tell(time.Now()), Releases: c.releaseTotals(releases),
	}
	if c.syncs++; c.syncs%sessionsEvery == 0 {
		message.Sessions = c.ownSessions()
	}
	c.mu.Unlock()
	c.registers.Look(message, func(reply *peer.SyncReply) {
		c.heardFrom(&reply.From)
		c.takeNamings(reply.Namings)
		c.takeOrderAges(reply.Started)
		c.takeAll(reply.Ended)
		c.compare(&reply.From, reply.Digest)
	})
	c.directory.Set(c.registers.Members(core.Config))
}

// stoodStill tells whether this process has not run for some time. The lock is held.
func (c *Controller) stoodStill() bool {
	return !c.lastSync.IsZero() && time.Since(c.lastSync) > 4*c.syncEvery
}

func (c *Controller) sync(in *peer.Sync) (*peer.SyncReply, error) {
	now := c.now()
	c.heardFrom(&in.From)
	c.noteNamings()
	c.takeNamings(in.Namings)
	c.noteReleases()
	c.takeOrderAges(in.Started)
	c.takeTotals(&in.From, in.Releases)
	reply := &peer.SyncReply{From: c.self, Reads: c.registers.AnswerReads(in.Reads), Ended: c.endsAmong(in.Silent)}
	c.mu.Lock()
	for _, id := range in.Heard {
		c.table.Heard(now, id)
	}
	for _, node := range in.Sessions {
		if s, ok := c.sessions[node.ID]; !ok || !s.here || time.Since(s.last) > c.syncEvery {
			c.sessions[node.ID] = session{node: node, last: time.Now()}
		}
	}
	reply.Digest = c.table.Digest()
	reply.Namings = c.toldNamings()
	reply.Started = c.orderTimes.Tell(time.Now())
	c.mu.Unlock()
	c.notify()
	return reply, nil
}

// heardFrom notes word that came from a member itself.
func (c *Controller) heardFrom(from *peer.Node) {
	c.returned(from)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations.note(*from)
}

// compare counts how often in a row a member's table differed, and then exchanges whole tables with it: the background scrub.
func (c *Controller) compare(from *peer.Node, digest uint64) {
	c.mu.Lock()
	if digest == c.table.Digest() {
		delete(c.mismatch, from.ID)
		c.mu.Unlock()
		return
	}
	c.mismatch[from.ID]++
	due := c.mismatch[from.ID] >= scrubAfter
	if due {
		delete(c.mismatch, from.ID)
	}
	list, _ := c.table.Since(0)
	c.mu.Unlock()
	if !due {
		return
	}
	var theirs peer.Instances
	if err := c.caller.Call(from.Address, peer.CallInstances, &peer.Instances{List: list, Want: true}, &theirs, core.CallTimeout); err == nil {
		c.takeAll(theirs.List)
	}
}

// settle makes an accepted value chosen whose proposer seems to have failed midway.
func (c *Controller) settle() {
	for _, register := range core.Names() {
		k := c.registers.Known(register)
		c.mu.Lock()
		if k.Ballot != (quorum.Ballot{}) && time.Since(k.Confirmed) < 2*c.syncEvery {
			c.unsettled[register] = 0
		} else {
			c.unsettled[register]++
		}
		looks := c.unsettled[register]
		c.mu.Unlock()
		wait := settleAfterOther
		if c.first(register) {
			wait = settleAfterFirst
		}
		if looks >= wait {
			c.registers.Settle(register, time.Now().Add(c.syncEvery))
		}
	}
}

// first tells whether this node is the first live member in the agreed order for a key.
func (c *Controller) first(key string) bool {
	m, ok := c.owner(key)
	return ok && m.ID == c.acceptor.Identity()
}

// owner gives the first live member in the agreed order for a key.
func (c *Controller) owner(key string) (quorum.Member, bool) {
	return c.firstOf(key, c.registers.Members(core.Config))
}

// manages tells whether this node manages the members of a register: it is the first live one of them in an agreed order.
func (c *Controller) manages(register string) bool {
	m, ok := c.firstOf("members-"+register, c.registers.Members(register))
	return ok && m.ID == c.acceptor.Identity()
}

// firstOf gives the first live one of some members in the agreed order for a key; those about to end come for nothing.
func (c *Controller) firstOf(key string, members []quorum.Member) (quorum.Member, bool) {
	for _, m := range directory.Rank(key, members) {
		if c.registers.Silence(m.ID) < 3*c.syncEvery && !c.isLeaving(m.ID) {
			return m, true
		}
	}
	return quorum.Member{}, false
}

func (c *Controller) sweep() {
	ticker := time.NewTicker(2 * c.syncEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		c.table.Sweep(c.now())
		for id := range c.confirmed {
			if _, ok := c.table.Get(id); !ok {
				delete(c.confirmed, id)
			}
		}
		for id, s := range c.sessions {
			if time.Since(s.last) > sessionKeep {
				delete(c.sessions, id)
			}
		}
		c.mu.Unlock()
		c.notify()
		c.ends.due()
		c.remember()
	}
}

// ownSessions lists the routers that poll here. The lock is held.
func (c *Controller) ownSessions() []peer.Node {
	var nodes []peer.Node
	for _, id := range slices.Sorted(maps.Keys(c.sessions)) {
		if s := c.sessions[id]; s.here && time.Since(s.last) < sessionKeep {
			nodes = append(nodes, s.node)
		}
	}
	return nodes
}

// nodesHash sums up a list of nodes; a list that may lack some differs from the same one that lacks none.
func nodesHash(nodes []peer.Node, some bool) uint64 {
	h := fnv.New64a()
	for _, n := range nodes {
		h.Write([]byte(n.ID))
	}
	if some {
		h.Write([]byte("some"))
	}
	return h.Sum64() | 1
}

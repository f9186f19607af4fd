// Package follower keeps a router's copy of the control plane's state: the configuration in force, the table of servers, the
// weights that were named. It long-polls one controller at a time with the versions that it has, and goes to another where that one
// does not answer or has lost the others.
//
// It never goes back: not to an older configuration, and not from an end of a server to before it.
package follower

import (
	"context"
	"errors"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/core"
	"moleshift/controlplane/directory"
	"moleshift/controlplane/quorum"
	"moleshift/controlplane/registry"
	"moleshift/controlplane/release"
	"moleshift/controlplane/rollout"
	"moleshift/dataplane/routing"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	pollWait    = time.Second
	reportEvery = 250 * time.Millisecond // while a release is under way
	// reportSwitching is the same while every request goes to the new version.
	reportSwitching = 120 * time.Millisecond
	pollSlack       = 400 * time.Millisecond // beyond the wait, before a poll is given up
	firstPoll       = 350 * time.Millisecond // a first poll is not held
	failPause       = 100 * time.Millisecond
	failOverWidth   = 3                     // controllers that are asked at once when the one that was polled fails
	returnEvery     = 10 * time.Second      // after which a router looks whether the controller that it prefers is fit again
	firstPause      = 60 * time.Millisecond // until there is a configuration, at first
	mostPause       = time.Second
	firstMost       = 32 << 10                // bytes of a first configuration that every controller may send at once
	pollMost        = 256 << 10               // bytes of a configuration that come with a held poll; a larger one is fetched by a call of its own
	staleAfter      = 1200 * time.Millisecond // a controller that was confirmed longer ago has lost the others
	refreshBefore   = 1000 * time.Millisecond // the lease on the configuration ends this long before revoke-ms
	tombstoneKeep   = time.Minute
	missingBeats    = 4 // heartbeats after which a server that no controller knows of is forgotten
)

// Snapshot is the state at one moment, with the moment at which its configuration was known to be in force. It never changes: whoever
// decides by one look at it does not mix two states.
type Snapshot struct {
	Table     *routing.Table             // nil: no configuration is known
	Confirmed time.Time                  // Table was in force then; zero: that was never confirmed
	Lease     time.Duration              // how long after Confirmed requests that need a key may be served; 0: for ever
	Namings   rollout.Namings            // of weights, with the earliest moment at which this router or a controller knew of each
	Releases  []release.Release          // of services to other versions of their servers' software
	Baselines []release.Baseline         // versions in service of services that no release was ordered for
	Instances map[string][]peer.Instance // by service, without those that are gone or replaced
	Nodes     []peer.Node
}

// Fresh tells whether the configuration may be acted upon where requests need a key: always, once there is one, unless the deployment
// fails closed; then only while no key can have been taken away longer than revoke-ms ago.
func (s *Snapshot) Fresh(now time.Time) bool {
	if s.Table == nil {
		return false
	}
	return s.Lease == 0 || !s.Confirmed.IsZero() && now.Sub(s.Confirmed) < s.Lease
}

// Follower keeps the copy.
type Follower struct {
	set       *settings.Settings
	self      peer.Node
	caller    core.Caller
	local     func(in *peer.Poll) (*peer.PollReply, error) // this process's own controller; nil: it has none
	directory *directory.Directory
	log       zerolog.Logger
	closed    chan struct{}
	started   chan struct{} // closed once there is a configuration
	onChange  func(s *Snapshot)
	reporter  Reporter // nil: there is nothing to report

	snapshot atomic.Pointer[Snapshot]
	fetching atomic.Bool // a first configuration is on its way

	publishing *semaphore.Weighted // of one; held while onChange is told

	start time.Time

	mu       sync.Mutex // guards what follows; used by run alone but for tests
	config   quorum.Ballot
	data     []byte // the configuration as it came
	hash     []byte // of data
	weights  quorum.Ballot
	tableID  string
	revision uint64
	nodes    uint64
	known    map[string]*known
}

type known struct {
	instance peer.Instance
	missing  time.Time // since when the controllers do not know it
	ended    time.Time
}

// New makes a follower; onChange is called with every new snapshot.
func New(set *settings.Settings, self peer.Node, caller core.Caller, dir *directory.Directory,
	local func(in *peer.Poll) (*peer.PollReply, error), onChange func(s *Snapshot), log zerolog.Logger) *Follower {
	f := &Follower{
		set: set, self: self, caller: caller, directory: dir, local: local, onChange: onChange, log: log,
		closed: make(chan struct{}), started: make(chan struct{}), start: time.Now(), known: map[string]*known{},
		publishing: semaphore.NewWeighted(1),
	}
	first := &Snapshot{Instances: map[string][]peer.Instance{}}
	if set.Bounds.FailClosed {
		first.Lease = max(settings.Millis(set.Bounds.RevokeMs)-refreshBefore, 1)
	}
	f.snapshot.Store(first)
	return f
}

// Reporter tells what the controllers are to know of releases.
type Reporter interface {
	ReleaseReports() []peer.ReleaseReport
	ReleasesReported(reports []peer.ReleaseReport) // a controller has taken them
}

// UseReporter has reports of releases go with polls. It is to be called before Run.
func (f *Follower) UseReporter(r Reporter) { f.reporter = r }

// Snapshot gives the state as it is now.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// Started gives a channel that is closed once there is a configuration.
func (f *Follower) Started() <-chan struct{} { return f.started }

// Fresh tells whether the configuration may be acted upon now where requests need a key.
func (f *Follower) Fresh() bool { return f.Snapshot().Fresh(time.Now()) }

// WriteMetrics writes this router's figures of the configuration as text, in the form of Prometheus.
func (f *Follower) WriteMetrics(w io.Writer) {
	s := f.Snapshot()
	if s.Table != nil {
		metrics.WriteGaugeUint64(w, "moleshift_config_version", uint64(s.Table.Version))
	}
	if !s.Confirmed.IsZero() {
		metrics.WriteGaugeFloat64(w, "moleshift_config_confirmed_age_seconds", time.Since(s.Confirmed).Seconds())
	}
}

// Run polls until Close: the same controller for as long as it is fit, then one of those that answer.
func (f *Follower) Run() {
	if !f.first() {
		return
	}
	at, returned := f.preferred(), time.Now()
	for {
		began := time.Now()
		reply, err := f.report(at)
		if err == nil && reply.Size > 0 {
			began = time.Now()
			reply, err = f.poll(at, 0, 0, pollSlack+core.TransferTime(reply.Size))
		}
		if err == nil {
			f.take(began, reply)
		}
		switch {
		case !isFit(reply, err):
			f.logUnfit(at, began, reply, err)
			f.directory.Failed(at.Address)
			if !f.pause(failPause) {
				return
			}
			at, returned = f.failOver(), time.Now()
		case time.Since(returned) > returnEvery:
			at, returned = f.goBack(at), time.Now()
		}
		select {
		case <-f.closed:
			return
		default:
		}
	}
}

// report polls the controller that this router stays with, and tells it of the releases that are under way.
func (f *Follower) report(at quorum.Member) (*peer.PollReply, error) {
	wait := pollWait
	for _, r := range f.Snapshot().Releases {
		switch r.Phase {
		case release.Running:
			wait = min(wait, reportEvery)
		case release.Switching:
			wait = min(wait, reportSwitching)
		}
	}
	in := f.message(wait, pollMost)
	if f.reporter != nil {
		in.Releases = f.reporter.ReleaseReports()
	}
	reply, err := f.send(at, in, wait+pollSlack)
	if err == nil && len(in.Releases) > 0 {
		f.reporter.ReleasesReported(in.Releases)
	}
	return reply, err
}

// isFit tells whether a controller answered, and was in touch with the others lately.
func isFit(reply *peer.PollReply, err error) bool {
	return err == nil && reply.Knows && reply.AgeMs <= float64(staleAfter/time.Millisecond)
}

// preferred gives the controller that this router polls where nothing speaks against it; the zero Member: none is known.
func (f *Follower) preferred() quorum.Member {
	if members := f.order(); len(members) > 0 {
		return members[0]
	}
	return quorum.Member{}
}

// failOver gives a fit one of the controllers that come first for this router; where none is, the one to try next.
func (f *Follower) failOver() quorum.Member {
	members := f.order()
	if m, ok := f.firstFit(members[:min(failOverWidth, len(members))]...); ok {
		return m
	}
	return f.preferred()
}

// goBack gives the controller that this router prefers where that is fit again, else the one that it polls.
func (f *Follower) goBack(at quorum.Member) quorum.Member {
	preferred := f.preferred()
	if preferred == at {
		return at
	}
	if m, ok := f.firstFit(preferred); ok {
		return m
	}
	return at
}

// firstFit asks some controllers at once, without having them hold the call, and gives the first one that answers and is fit.
func (f *Follower) firstFit(members ...quorum.Member) (quorum.Member, bool) {
	answers := make(chan quorum.Member, len(members))
	for _, m := range members {
		go func() {
			began := time.Now()
			reply, err := f.poll(m, 0, pollMost, firstPoll)
			if err == nil && reply.Size == 0 {
				f.take(began, reply)
			}
			if isFit(reply, err) {
				answers <- m
			}
		}()
	}
	timer := time.NewTimer(firstPoll)
	defer timer.Stop()
	select {
	case m := <-answers:
		return m, true
	case <-f.closed:
	case <-timer.C:
	}
	return quorum.Member{}, false
}

// logUnfit tells why another controller is polled from now on.
func (f *Follower) logUnfit(m quorum.Member, began time.Time, reply *peer.PollReply, err error) {
	event := f.log.Debug().Str("controller", m.Address).Dur("took-ms", time.Since(began)).Err(err)
	if err == nil {
		event = event.Bool("knows", reply.Knows).Float64("age-ms", reply.AgeMs)
	}
	event.Msg("going to another controller")
}

// first asks all controllers at once, anew and anew at growing intervals, until there is a configuration: after a start some of them
// may be on their way too, and a machine without power takes a call's whole time. false: closed.
// A large configuration is then fetched from one of them.
func (f *Follower) first() bool {
	for pause := firstPause; f.Snapshot().Table == nil; pause = min(pause*3/2, mostPause) {
		for _, m := range f.order() {
			go func() {
				began := time.Now()
				reply, err := f.poll(m, 0, firstMost, firstPoll)
				if err == nil && reply.Size > 0 {
					began = time.Now()
					reply, err = f.fetchFirst(m, reply.Size)
				}
				if err == nil {
					f.take(began, reply)
				}
			}()
		}
		if !f.pause(pause) {
			return false
		}
	}
	return true
}

// errFetching is the error of a fetch beside another one.
var errFetching = errors.New("another controller is sending the configuration")

// fetchFirst fetches a first configuration of a known size from one controller, unless another one sends it already.
func (f *Follower) fetchFirst(m quorum.Member, size int) (*peer.PollReply, error) {
	if !f.fetching.CompareAndSwap(false, true) {
		return nil, errFetching
	}
	defer f.fetching.Store(false)
	return f.poll(m, 0, 0, firstPoll+core.TransferTime(size))
}

// Close ends Run.
func (f *Follower) Close() { close(f.closed) }

func (f *Follower) pause(d time.Duration) bool {
	select {
	case <-f.closed:
		return false
	case <-time.After(d):
		return true
	}
}

// order gives the controllers to poll: this node's own first, then the others by rendezvous, and last those that failed lately.
func (f *Follower) order() []quorum.Member {
	members := f.directory.Try("poll-" + f.self.Name)
	own := slices.IndexFunc(members, func(m quorum.Member) bool { return m.Address == f.self.Address })
	if own < 0 || f.local == nil || f.directory.Avoids(f.self.Address) {
		return members
	}
	return slices.Concat(members[own:own+1], members[:own], members[own+1:])
}

// poll asks a controller, which holds the call for wait at most where it has no news. most bounds the bytes of a configuration, 0 does
// not. A reply with a change of a large configuration comes within the time of a call: only a whole one takes longer.
func (f *Follower) poll(m quorum.Member, wait time.Duration, most int, timeout time.Duration) (*peer.PollReply, error) {
	return f.send(m, f.message(wait, most), timeout)
}

// message makes a poll with the versions that this router has.
func (f *Follower) message(wait time.Duration, most int) *peer.Poll {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &peer.Poll{
		From: f.self, Config: f.config, Weights: f.weights, Table: f.tableID, Revision: f.revision, Nodes: f.nodes,
		WaitMs: int(wait / time.Millisecond), Hash: f.hash, Most: most,
	}
}

// send sends a poll to a controller.
func (f *Follower) send(m quorum.Member, in *peer.Poll, timeout time.Duration) (*peer.PollReply, error) {
	if f.local != nil && m.Address == f.self.Address {
		return f.local(in)
	}
	var reply peer.PollReply
	if err := f.caller.Call(m.Address, peer.CallPoll, in, &reply, timeout); err != nil {
		f.directory.Failed(m.Address)
		return nil, err
	}
	return &reply, nil
}

// take takes a poll's reply over. began is when the poll was begun: what the reply says was so at some moment after it, less AgeMs.
func (f *Follower) take(began time.Time, reply *peer.PollReply) {
	f.directory.Set(reply.Members)
	f.mu.Lock()
	s := *f.Snapshot()
	changed := f.takeConfig(&s, reply)
	confirmed := f.takeConfirmation(&s, began, reply)
	changed = f.takeWeights(&s, reply) || changed
	changed = f.takeInstances(&s, reply) || changed
	if reply.Nodes != nil {
		f.nodes, changed = reply.NodesHash, true
		s.Nodes = takeNodes(s.Nodes, reply)
	}
	isFirst := s.Table != nil && f.Snapshot().Table == nil
	if changed || confirmed {
		f.snapshot.Store(&s)
	}
	if isFirst {
		close(f.started)
	}
	f.mu.Unlock()
	if changed {
		f.publish()
	}
}

// publish tells of the newest snapshot. Of two replies that are taken at once, at a start or when a controller has failed, neither is told of
// behind a newer one.
func (f *Follower) publish() {
	_ = f.publishing.Acquire(context.Background(), 1) // fails only where the context ends
	defer f.publishing.Release(1)
	f.onChange(f.Snapshot())
}

// takeConfirmation notes that the snapshot's configuration was in force at some moment after began, less the age that the controller
// tells.
func (f *Follower) takeConfirmation(s *Snapshot, began time.Time, reply *peer.PollReply) bool {
	if !reply.Knows || reply.Config != f.config || s.Table == nil {
		return false
	}
	at := began.Add(-time.Duration(reply.AgeMs * float64(time.Millisecond)))
	if !at.After(s.Confirmed) {
		return false
	}
	s.Confirmed = at
	return true
}

// takeNodes gives the nodes that are known after a reply: those that it tells, and where it may lack some, those that were known
// besides. At one address there is one node, the one told last.
func takeNodes(known []peer.Node, reply *peer.PollReply) []peer.Node {
	if !reply.NodesSome {
		return reply.Nodes
	}
	nodes := slices.Clone(reply.Nodes)
	for _, n := range known {
		if !slices.ContainsFunc(nodes, func(told peer.Node) bool { return told.Address == n.Address }) {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b peer.Node) int { return strings.Compare(a.ID, b.ID) })
	return nodes
}

func (f *Follower) takeConfig(s *Snapshot, reply *peer.PollReply) bool {
	if reply.Content == nil || !f.config.Less(reply.Config) {
		return false
	}
	if s.Table == nil && reply.AgeMs > float64(staleAfter/time.Millisecond) {
		return false // a first configuration must be the newest one; a controller that was cut off may tell an old one
	}
	data, err := reply.Content.Open(f.data)
	if err != nil {
		f.data, f.hash = nil, nil // the next poll gets the whole
		f.log.Warn().Err(err).Msg("configuration did not come whole: asking for it again")
		return false
	}
	var state configuration.State
	if _, err := state.UnmarshalMsg(data); err != nil {
		f.log.Error().Err(err).Msg("configuration cannot be read: update this node to the release of the controllers")
		return false
	}
	if s.Table != nil && state.Version <= s.Table.Version {
		f.config, f.data, f.hash = reply.Config, data, reply.Content.Hash // the same configuration under a newer ballot
		return false
	}
	document, err := configuration.Parse(state.Body)
	if err != nil {
		f.log.Error().Err(err).Int64("version", state.Version).Msg("configuration is not valid here: update this node to the release of the controllers")
		return false
	}
	f.config, f.data, f.hash = reply.Config, data, reply.Content.Hash
	if s.Table == nil {
		f.log.Info().Int64("version", document.Version).Dur("since-start-ms", time.Since(f.start)).Msg("first configuration in force")
	}
	f.log.Debug().Int64("version", document.Version).Msg("configuration in force")
	s.Table = routing.Compile(document)
	s.Table.SharedSince = state.SharedSince
	return true
}

// takeWeights notes the versions that are named now, and when each was named as far as the controller knows.
func (f *Follower) takeWeights(s *Snapshot, reply *peer.PollReply) bool {
	now := time.Now()
	changed := false
	namings := s.Namings.Take(now, reply.Namings)
	if len(reply.WeightsIn) > 0 && f.weights.Less(reply.Weights) {
		var state rollout.State
		if _, err := state.UnmarshalMsg(reply.WeightsIn); err != nil {
			return false
		}
		f.weights = reply.Weights
		if !reflect.DeepEqual(state.Releases, s.Releases) {
			s.Releases, changed = state.Releases, true
		}
		if !reflect.DeepEqual(state.Baselines, s.Baselines) {
			s.Baselines, changed = state.Baselines, true
		}
		namings = namings.Take(now, state.NamingAges)
		for _, m := range state.Versions {
			namings, _ = namings.Note(m.Name, m.Version, now)
		}
	}
	if reflect.DeepEqual(namings, s.Namings) {
		return changed
	}
	f.log.Debug().Interface("weights", namings).Msg("heard of new weights")
	s.Namings = namings
	return true
}

func (f *Follower) takeInstances(s *Snapshot, reply *peer.PollReply) bool {
	if reply.Table == "" || !reply.Full && reply.Table != f.tableID {
		return false // a change to a table that is not the one taken last: what came before it is not known
	}
	now := time.Now()
	listed := map[string]bool{}
	changed := false
	for i := range reply.Instances {
		in := reply.Instances[i]
		listed[in.ID] = true
		changed = f.join(now, in) || changed
	}
	for id, k := range f.known {
		switch {
		case k.instance.State == registry.Gone:
			if now.Sub(k.ended) > tombstoneKeep {
				delete(f.known, id)
			}
		case reply.Full && !listed[id] && k.missing.IsZero():
			k.missing = now
		case !k.missing.IsZero() && now.Sub(k.missing) > settings.Millis(missingBeats*f.set.HeartbeatMs):
			delete(f.known, id)
			changed = true
		}
	}
	f.tableID, f.revision = reply.Table, reply.Revision
	if !changed {
		return false
	}
	s.Instances = map[string][]peer.Instance{}
	for _, id := range slices.Sorted(maps.Keys(f.known)) {
		if in := f.known[id].instance; in.State != registry.Gone && !in.Replaced {
			s.Instances[in.Service] = append(s.Instances[in.Service], in)
		}
	}
	return true
}

// join takes one account of an instance over: an end is final, and leaving is not taken back.
func (f *Follower) join(now time.Time, in peer.Instance) bool {
	k := f.known[in.ID]
	if k == nil {
		k = &known{instance: in}
		if in.State == registry.Gone {
			k.ended = now
		}
		f.known[in.ID] = k
		return in.State != registry.Gone
	}
	k.missing = time.Time{}
	if k.instance.State == registry.Gone {
		return false
	}
	if in.State == registry.Gone {
		k.ended = now
	}
	in.State = max(in.State, k.instance.State)
	in.Models = slices.Clone(in.Models) // a controller in this process gives the models of its own table
	for i, m := range in.Models {
		in.Models[i].Version = max(m.Version, rollout.VersionOf(k.instance.Models, m.Name))
	}
	k.instance = in
	return true
}

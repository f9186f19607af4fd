// Package member knows the other instances: who is there, under which seat, and how to send them a message that may be
// lost. It hides hashicorp/memberlist (SWIM gossip, after Das, Gupta and Motivala, DSN 2002, with the suspicion that
// Lifeguard adds), which carries joins, failure detection and encryption over UDP and TCP.
//
// member.go owns the list of members and the messages. It must never decide anything by them: who performs a duty is
// for package duty, and nothing here reaches a query.
package member

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"
)

// Settings is what a member is told at its start.
type Settings struct {
	Name      string   // unique among the instances
	Seat      int      // unique as well
	Boot      int64    // of the process, told to the others; the later of two is the present one
	Listen    string   // address and port, for UDP and TCP
	Advertise string   // where others reach it, if that differs
	Seeds     []string // some of the others
	Cluster   string   // instances of other clusters are refused
	KeyFile   string   // empty: messages are neither encrypted nor authenticated
}

// Peer is one member as this one sees it.
type Peer struct {
	Name    string
	Seat    int
	Boot    int64 // of its process: its incarnation
	Address string
	Since   time.Time // it is a member here
}

// View is who is there. A later view has a higher revision.
type View struct {
	Revision uint64
	Peers    []Peer // by seat, then name; this instance among them
}

// Handler is told what comes. Its methods are called from several goroutines and must not wait.
type Handler interface {
	Message(b []byte) // b is the handler's to keep
	Viewed(v View)
}

// Counts is what was dropped and why.
type Counts struct {
	Unsent  atomic.Int64 // messages for which the queue was full, or whose receiver was not there
	Refused atomic.Int64 // messages that could not be decrypted, or came of another cluster
	Odd     atomic.Int64 // members whose description makes no sense
}

const (
	queueLength  = 4096 // messages not yet sent; more are dropped, as they may be
	mostMembers  = 1024
	rejoinEvery  = 5 * time.Second
	rejoinTries  = 3
	leaveWithin  = 300 * time.Millisecond
	suspicion    = 3 // intervals of probing, by the logarithm of members
	probeEvery   = 500 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	gossipEvery  = 100 * time.Millisecond
	tcpTimeout   = 2 * time.Second
)

// Member is this instance's membership.
type Member struct {
	set     Settings
	log     zerolog.Logger
	list    *memberlist.Memberlist
	keys    *memberlist.Keyring
	meta    []byte
	handler Handler
	queue   chan outgoing
	done    chan struct{}
	workers sync.WaitGroup
	ended   sync.Once

	mu       sync.Mutex
	revision uint64
	peers    map[string]Peer   // by name
	past     map[string]string // addresses of members that are no more, by name
	nodes    map[string]*memberlist.Node
	byes     map[string]int64 // boots of members that have said that they leave, by name

	Counts Counts
}

type outgoing struct {
	to  *memberlist.Node
	msg []byte
}

// description is what a member tells of itself beside its name and address.
type description struct {
	Seat int   `json:"seat"`
	Boot int64 `json:"boot"`
}

// Start joins the others, and goes on trying where none answers. The transport is nil but in tests.
func Start(set Settings, handler Handler, transport memberlist.Transport, log zerolog.Logger) (*Member, error) {
	meta, err := json.Marshal(description{set.Seat, set.Boot})
	if err != nil {
		return nil, err
	}
	m := &Member{set: set, log: log, meta: meta, handler: handler, queue: make(chan outgoing, queueLength),
		done: make(chan struct{}), peers: map[string]Peer{}, past: map[string]string{},
		nodes: map[string]*memberlist.Node{}, byes: map[string]int64{}}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport = set.Name, set.Cluster, transport
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = probeEvery, probeTimeout, suspicion
	c.GossipInterval, c.TCPTimeout = gossipEvery, tcpTimeout
	c.PushPullInterval = 10 * time.Second
	c.DeadNodeReclaimTime = time.Second // a name may come back at another address
	c.DNSConfigPath = ""
	c.EnableCompression = false
	c.Delegate, c.Events, c.Conflict, c.Alive = (*delegate)(m), (*delegate)(m), (*delegate)(m), (*delegate)(m)
	c.LogOutput = &relay{m: m}
	if transport == nil {
		if err := bind(c, set); err != nil {
			return nil, err
		}
	}
	if set.KeyFile != "" {
		keys, err := ReadKeys(set.KeyFile)
		if err != nil {
			return nil, err
		}
		if m.keys, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
			return nil, fmt.Errorf("%s: %w", set.KeyFile, err)
		}
		c.Keyring = m.keys
	}
	if transport == nil {
		if c.Transport, err = listen(c); err != nil {
			return nil, err
		}
	}
	if m.list, err = memberlist.Create(c); err != nil {
		if transport == nil {
			c.Transport.Shutdown() // it was opened just now
		}
		return nil, fmt.Errorf("members.listen: %w", err)
	}
	m.workers.Go(m.send)
	m.workers.Go(m.rejoin)
	return m, nil
}

// bind sets the addresses.
func bind(c *memberlist.Config, set Settings) error {
	at, err := netip.ParseAddrPort(set.Listen)
	if err != nil {
		return fmt.Errorf("members.listen: %q is no address and port", set.Listen)
	}
	c.BindAddr, c.BindPort = at.Addr().String(), int(at.Port())
	c.AdvertisePort = c.BindPort
	if set.Advertise != "" {
		if at, err = netip.ParseAddrPort(set.Advertise); err != nil {
			return fmt.Errorf("members.advertise: %q is no address and port", set.Advertise)
		}
		c.AdvertiseAddr, c.AdvertisePort = at.Addr().String(), int(at.Port())
	}
	return nil
}

// Address is where others reach this member.
func (m *Member) Address() string { return address(m.list.LocalNode()) }

func address(n *memberlist.Node) string {
	return net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port)))
}

// View is who is there now.
func (m *Member) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view()
}

func (m *Member) view() View {
	v := View{Revision: m.revision}
	for _, p := range m.peers {
		v.Peers = append(v.Peers, p)
	}
	slices.SortFunc(v.Peers, func(a, b Peer) int { return cmp.Or(cmp.Compare(a.Seat, b.Seat), cmp.Compare(a.Name, b.Name)) })
	return v
}

// Send sends a message to the present process of a seat. It may be lost, and does not wait.
func (m *Member) Send(seat int, msg []byte) {
	m.mu.Lock()
	var to Peer
	for _, p := range m.peers {
		if p.Seat == seat && p.Name != m.set.Name && (to.Name == "" || p.Boot > to.Boot) {
			to = p
		}
	}
	node := m.nodes[to.Name]
	m.mu.Unlock()
	m.give(node, payload, msg)
}

// Broadcast sends a message to all other members, each by itself.
func (m *Member) Broadcast(msg []byte) { m.toAll(payload, msg) }

func (m *Member) toAll(letter byte, msg []byte) {
	m.mu.Lock()
	nodes := make([]*memberlist.Node, 0, len(m.nodes))
	for name, n := range m.nodes {
		if name != m.set.Name {
			nodes = append(nodes, n)
		}
	}
	m.mu.Unlock()
	for _, n := range nodes {
		m.give(n, letter, msg)
	}
}

func (m *Member) give(to *memberlist.Node, letter byte, msg []byte) {
	if to == nil {
		m.Counts.Unsent.Add(1)
		return
	}
	select {
	case m.queue <- outgoing{to, append([]byte{letter}, msg...)}:
	default:
		m.Counts.Unsent.Add(1)
	}
}

// send writes what is queued, so that nobody else waits for the socket.
func (m *Member) send() {
	for {
		select {
		case <-m.done:
			return
		case o := <-m.queue:
			if err := m.list.SendBestEffort(o.to, o.msg); err != nil {
				m.Counts.Unsent.Add(1)
			}
		}
	}
}

// rejoin joins through seeds and members of the past that are not there: at the start, and again after a partition,
// as gossip forgets who has been out of reach for long.
func (m *Member) rejoin() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	told := false
	for {
		select {
		case <-m.done:
			return
		case <-timer.C:
		}
		missing := m.missing()
		for _, at := range missing[:min(len(missing), rejoinTries)] {
			if _, err := m.list.Join([]string{at}); err != nil {
				m.log.Debug().Str("address", at).Err(err).Msg("could not join")
			}
		}
		if alone := m.list.NumMembers() == 1 && len(m.set.Seeds) > 0; alone != told {
			told = alone
			if alone {
				m.log.Warn().Strs("seeds", m.set.Seeds).Msg("no other instance answers")
			}
		}
		timer.Reset(rejoinEvery/2 + rand.N(rejoinEvery))
	}
}

// missing are the addresses that nobody holds who is there, in an order of chance.
func (m *Member) missing() (all []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	here := map[string]bool{}
	for _, p := range m.peers {
		here[p.Address] = true
	}
	add := func(at string) {
		if !here[at] {
			here[at], all = true, append(all, at)
		}
	}
	for _, at := range m.set.Seeds {
		add(at)
	}
	for _, at := range m.past {
		add(at)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// Reload reads the keys anew. With a faulty file the old ones stand.
func (m *Member) Reload() error {
	if m.keys == nil {
		return nil
	}
	keys, err := ReadKeys(m.set.KeyFile)
	if err != nil {
		return err
	}
	changed, err := exchange(m.keys, keys)
	if err != nil {
		return fmt.Errorf("%s: %w", m.set.KeyFile, err)
	}
	if changed {
		m.log.Info().Int("keys", len(keys)).Str("sends_with", fingerprint(keys[0])).Msg("keys changed")
	}
	return nil
}

// Leave tells the others that this member goes, so that nobody has to find out. The word of its own goes ahead, as
// memberlist does not tell those that leave from those that died.
func (m *Member) Leave() {
	if bye, err := json.Marshal(goodbye{m.set.Name, m.set.Boot}); err == nil {
		m.toAll(leaving, bye)
	}
	m.mu.Lock()
	m.byes[m.set.Name] = m.set.Boot
	m.mu.Unlock()
	if err := m.list.Leave(leaveWithin); err != nil {
		m.log.Warn().Err(err).Msg("leave was not heard by all")
	}
}

// Close ends the membership, without a word to the others if Leave was not called.
func (m *Member) Close() error {
	var err error
	m.ended.Do(func() {
		close(m.done)
		err = m.list.Shutdown()
		m.workers.Wait()
	})
	return err
}

// Run ends the membership with the context.
func (m *Member) Run(ctx context.Context) error {
	<-ctx.Done()
	return m.Close()
}

// ---- what memberlist calls ----

type delegate Member

func (d *delegate) m() *Member { return (*Member)(d) }

func (d *delegate) NodeMeta(limit int) []byte                  { return d.meta }
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (d *delegate) LocalState(join bool) []byte                { return nil }
func (d *delegate) MergeRemoteState(buf []byte, join bool)     {}

// NotifyMsg hands a message on; memberlist uses its buffer again.
func (d *delegate) NotifyMsg(b []byte) {
	switch {
	case len(b) > 0 && b[0] == payload:
		d.handler.Message(slices.Clone(b[1:]))
		return
	case len(b) > 0 && b[0] == leaving:
		var bye goodbye
		if err := json.Unmarshal(b[1:], &bye); err == nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			if p, known := d.peers[bye.Name]; known && p.Boot == bye.Boot {
				d.byes[bye.Name] = bye.Boot
				return
			}
		}
	}
	d.Counts.Odd.Add(1)
}

// The first byte of a message tells what it is.
const (
	payload = 'm' // the handler's
	leaving = 'b'
)

// goodbye is what a member says as it leaves.
type goodbye struct {
	Name string `json:"name"`
	Boot int64  `json:"boot"`
}

var errOdd = errors.New("its description makes no sense")

// NotifyAlive refuses members that nobody could deal with.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	if _, err := describe(n); err != nil {
		d.Counts.Odd.Add(1)
		return err
	}
	return nil
}

func describe(n *memberlist.Node) (description, error) {
	var said description
	if err := json.Unmarshal(n.Meta, &said); err != nil || said.Seat < 0 || said.Seat >= mostMembers || said.Boot < 0 {
		return said, errOdd
	}
	return said, nil
}

// NotifyJoin is told of a member that is there, or there again.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.m().changed(n, true, "instance joined") }

// NotifyUpdate is told of a member that describes itself anew, as after a restart that nobody noticed.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.m().changed(n, true, "instance came back") }

// NotifyLeave is told of a member that has left or counts as dead.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.m().changed(n, false, "instance out of reach") }

func (m *Member) changed(n *memberlist.Node, there bool, what string) {
	said, err := describe(n)
	if err != nil {
		return
	}
	node := *n
	p := Peer{Name: n.Name, Seat: said.Seat, Boot: said.Boot, Address: address(n), Since: time.Now()}
	m.mu.Lock()
	if old, known := m.peers[n.Name]; known && old.Boot == p.Boot {
		p.Since = old.Since
	}
	var twin string
	if there {
		for _, o := range m.peers {
			if o.Seat == p.Seat && o.Name != p.Name {
				twin = o.Name
			}
		}
		m.peers[n.Name], m.nodes[n.Name] = p, &node
		delete(m.past, n.Name)
	} else {
		delete(m.peers, n.Name)
		delete(m.nodes, n.Name)
		if boot, said := m.byes[n.Name]; said && boot == p.Boot {
			what = "instance left"
		} else if len(m.past) < mostMembers {
			m.past[n.Name] = p.Address
		}
		delete(m.byes, n.Name)
	}
	m.revision++
	v := m.view()
	m.mu.Unlock()
	m.log.Info().Str("instance", p.Name).Int("seat", p.Seat).Str("address", p.Address).Int("instances", len(v.Peers)).
		Uint64("revision", v.Revision).Msg(what)
	if twin != "" {
		m.log.Warn().Int("seat", p.Seat).Strs("instances", []string{p.Name, twin}).Msg("two instances have one seat")
	}
	m.handler.Viewed(v)
}

// NotifyConflict is told of a second member of one name.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.log.Warn().Str("instance", existing.Name).Strs("addresses", []string{address(existing), address(other)}).
		Msg("two instances have one name")
}

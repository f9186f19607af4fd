package core

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/semaphore"

	"moleshift/controlplane/delta"
	"moleshift/controlplane/quorum"
	"moleshift/peer"
	"moleshift/storage/ring"
)

const (
	identityRecord     = "identity"
	firstMembersRecord = "first-members"
)

// Store keeps an acceptor's records. *ring.Ring is one.
type Store interface {
	Get(name string) []byte
	Put(name string, data []byte) error
}

// memory is the store of a node without a disk: it is lost with the process, and so is its identity.
type memory struct {
	mu      sync.Mutex
	records map[string][]byte
}

func (m *memory) Get(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records[name]
}

func (m *memory) Put(name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records[name] = data
	return nil
}

var _ Store = (*ring.Ring)(nil)

// NewMemory makes the store of a node without a disk.
func NewMemory() Store { return &memory{records: map[string][]byte{}} }

// IsEmpty tells whether no acceptor has kept anything in a store yet.
func IsEmpty(store Store) bool { return store.Get(identityRecord) == nil }

// Acceptor keeps this node's share of every register. A reply leaves only once what it says lasts.
type Acceptor struct {
	store    Store
	identity string
	fresh    bool // nothing was kept when the process started

	writing map[string]*semaphore.Weighted // by register, of one; held across a write to the store
	writers map[string]*delta.Writer

	mu     sync.Mutex // short: guards what follows
	states map[string]quorum.State
	rivals map[string]rival         // by register: the highest ballot that was asked for in this process
	took   map[string]time.Duration // by register: how long the last write took
}

// NewAcceptor opens the acceptor on a store, or a new one with an identity of its own where the store is empty.
func NewAcceptor(store Store) (*Acceptor, error) {
	if store == nil {
		store = NewMemory()
	}
	a := &Acceptor{
		store: store, writing: map[string]*semaphore.Weighted{}, writers: map[string]*delta.Writer{}, states: map[string]quorum.State{},
		rivals: map[string]rival{}, took: map[string]time.Duration{},
	}
	for _, register := range registers {
		a.writers[register] = &delta.Writer{}
		a.writing[register] = semaphore.NewWeighted(1)
	}
	if id := store.Get(identityRecord); id != nil {
		a.identity = string(id)
	} else {
		a.fresh = true
		a.identity = peer.NewID()
		if err := store.Put(identityRecord, []byte(a.identity)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	for _, register := range registers {
		data := store.Get(register)
		if data == nil {
			continue
		}
		s, err := decodeRecord(data)
		if err != nil {
			return nil, trace.BadParameter("record %q on disk cannot be read (%v): empty the data-dir, the others will restore it", register, err)
		}
		a.states[register] = s
	}
	return a, a.finishInstall()
}

// Identity names this acceptor; it is as old as what the store keeps.
func (a *Acceptor) Identity() string { return a.identity }

// isLasting tells whether what is kept outlasts the process.
func (a *Acceptor) isLasting() bool {
	_, inMemory := a.store.(*memory)
	return !inMemory
}

// Fresh tells that the store was empty when the process started.
func (a *Acceptor) Fresh() bool { return a.fresh }

// Keep stores a record of another kind beside the registers. Nothing is promised by it.
func (a *Acceptor) Keep(name string, data []byte) error { return trace.Wrap(a.store.Put(name, data)) }

// Kept gives such a record, or nil.
func (a *Acceptor) Kept(name string) []byte { return a.store.Get(name) }

// State gives what is kept of a register.
func (a *Acceptor) State(register string) quorum.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.states[register]
}

// Empty tells whether the acceptor has neither promised nor accepted anything.
func (a *Acceptor) Empty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.states) == 0
}

// beginWrite waits for the writes before it to a register's record; its result ends the write. A register that the acceptor does not
// know has none.
func (a *Acceptor) beginWrite(register string) (end func()) {
	writing := a.writing[register]
	if writing == nil {
		return func() {}
	}
	_ = writing.Acquire(context.Background(), 1) // fails only where the context ends
	return func() { writing.Release(1) }
}

// noteAsked notes the ballot of a call, before what it asks for is written.
func (a *Acceptor) noteAsked(register string, ballot quorum.Ballot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rivals[register] = a.rivals[register].met(ballot)
}

// asked gives the highest ballot that was asked for in this process, and how long the last write took.
func (a *Acceptor) asked(register string) (rival, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rivals[register], a.took[register]
}

// keep writes a state and then lets others see it.
func (a *Acceptor) keep(register string, s quorum.State) error {
	began := time.Now()
	data, err := encodeRecord(s, a.writers[register])
	if err != nil {
		return trace.Wrap(err)
	}
	if err := a.store.Put(register, data); err != nil {
		return trace.Wrap(err)
	}
	a.mu.Lock()
	a.states[register] = s
	a.took[register] = time.Since(began)
	a.mu.Unlock()
	return nil
}

// Prepare answers a prepare; a zero ballot only reads. An error means that nothing may be answered.
func (a *Acceptor) Prepare(in *peer.Prepare) (*peer.AcceptorReply, error) {
	if in.Target != a.identity {
		return &peer.AcceptorReply{Wrong: true}, nil
	}
	s, ok := a.State(in.Register), true
	if in.Ballot != (quorum.Ballot{}) {
		a.noteAsked(in.Register, in.Ballot)
		defer a.beginWrite(in.Register)()
		before := a.State(in.Register)
		if s, ok = before.Prepare(in.Ballot); ok && s.Promised != before.Promised {
			if err := a.keep(in.Register, s); err != nil {
				return nil, trace.Wrap(err)
			}
		}
	}
	reply := &peer.AcceptorReply{OK: ok, Promised: s.Promised, Accepted: s.Accepted}
	if in.Have.Less(s.Accepted) {
		reply.Value = &s.Value
	}
	return reply, nil
}

// Accept answers a request to accept. An error means that nothing may be answered.
func (a *Acceptor) Accept(in *peer.Accept) (*peer.AcceptorReply, error) {
	if in.Target != a.identity {
		return &peer.AcceptorReply{Wrong: true}, nil
	}
	a.noteAsked(in.Register, in.Ballot)
	defer a.beginWrite(in.Register)()
	before := a.State(in.Register)
	s, ok := before.Accept(in.Ballot, in.Value)
	if ok && before.Accepted != in.Ballot { // one ballot has one value: a call that came again needs no write
		if err := a.keep(in.Register, s); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &peer.AcceptorReply{OK: ok, Promised: s.Promised, Accepted: s.Accepted}, nil
}

// TakeAccept answers a request to accept as it came over the wire.
func (a *Acceptor) TakeAccept(in *peer.Accept) (*peer.AcceptorReply, error) {
	if in.Target != a.identity {
		return &peer.AcceptorReply{Wrong: true}, nil
	}
	data, err := in.Content.Open(a.State(in.Register).Value.Data)
	if errors.Is(err, delta.ErrNoBase) {
		return &peer.AcceptorReply{Lacks: true}, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	in.Value.Data = data
	return a.Accept(in)
}

// TakePrepare answers a prepare as it goes over the wire.
func (a *Acceptor) TakePrepare(in *peer.Prepare) (*peer.AcceptorReply, error) {
	reply, err := a.Prepare(in)
	if err != nil || reply.Value == nil {
		return reply, err
	}
	bare := *reply.Value
	bare.Data = nil
	reply.Content, reply.Value = a.writers[in.Register].Write(reply.Value.Data, nil), &bare
	return reply, nil
}

// unpack puts the data of a reply's value into its place.
func unpack(reply *peer.AcceptorReply) error {
	if reply.Value == nil || reply.Content == nil {
		return nil
	}
	data, err := reply.Content.Open(nil)
	reply.Value.Data = data
	return trace.Wrap(err)
}

// Install puts the first membership of all into each register of which this acceptor has accepted nothing. It is what every one of the
// first members has accepted from the beginning, whether it knows that yet or not: a promise that was given before stands. Once it has
// begun it is finished, by the next process where this one is killed between two registers.
func (a *Acceptor) Install(members []quorum.Member) error {
	if a.installed() {
		return nil
	}
	data, err := (&peer.Genesis{Members: members}).MarshalMsg(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := a.Keep(firstMembersRecord, data); err != nil {
		return err
	}
	return a.installAll(members)
}

// finishInstall goes on with an Install that an earlier process began.
func (a *Acceptor) finishInstall() error {
	data := a.Kept(firstMembersRecord)
	if data == nil || a.installed() {
		return nil
	}
	var first peer.Genesis
	if _, err := first.UnmarshalMsg(data); err != nil {
		return trace.BadParameter("record %q on disk cannot be read (%v): empty the data-dir, the others will restore it", firstMembersRecord, err)
	}
	return a.installAll(first.Members)
}

// installed tells whether something is accepted in every register.
func (a *Acceptor) installed() bool {
	return !slices.ContainsFunc(registers, func(register string) bool { return a.State(register).Accepted == (quorum.Ballot{}) })
}

func (a *Acceptor) installAll(members []quorum.Member) error {
	written := make(chan error, len(registers))
	for _, register := range registers {
		go func() { written <- a.install(register, members) }()
	}
	var errs []error
	for range registers {
		errs = append(errs, <-written)
	}
	return trace.NewAggregate(errs...)
}

func (a *Acceptor) install(register string, members []quorum.Member) error {
	defer a.beginWrite(register)()
	s, first := a.State(register), quorum.Ballot{Counter: 1}
	if s.Accepted != (quorum.Ballot{}) {
		return nil
	}
	s.Accepted, s.Value = first, quorum.Value{Members: members}
	if s.Promised.Less(first) {
		s.Promised = first
	}
	return a.keep(register, s)
}

package core

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/sync/semaphore"

	"moleshift/controlplane/delta"
	"moleshift/controlplane/quorum"
	"moleshift/peer"
	"moleshift/storage/ring"
)

const identityRecord = "identity"

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

// Acceptor keeps this node's share of every register. A reply leaves only once what it says lasts.
type Acceptor struct {
	store    Store
	identity string
	fresh    bool // nothing was kept when the process started

	writing *semaphore.Weighted // of one; held across a write to the store
	writers map[string]*delta.Writer

	mu     sync.Mutex // short: guards states
	states map[string]quorum.State
}

// NewAcceptor opens the acceptor on a store, or a new one with an identity of its own where the store is empty.
func NewAcceptor(store Store) (*Acceptor, error) {
	if store == nil {
		store = &memory{records: map[string][]byte{}}
	}
	a := &Acceptor{store: store, writing: semaphore.NewWeighted(1), writers: map[string]*delta.Writer{}, states: map[string]quorum.State{}}
	for _, register := range registers {
		a.writers[register] = &delta.Writer{}
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
	return a, nil
}

// Identity names this acceptor; it is as old as what the store keeps.
func (a *Acceptor) Identity() string { return a.identity }

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

// beginWrite waits for the writes before it.
func (a *Acceptor) beginWrite() {
	_ = a.writing.Acquire(context.Background(), 1) // fails only where the context ends
}

// keep writes a state and then lets others see it.
func (a *Acceptor) keep(register string, s quorum.State) error {
	data, err := encodeRecord(s, a.writers[register])
	if err != nil {
		return trace.Wrap(err)
	}
	if err := a.store.Put(register, data); err != nil {
		return trace.Wrap(err)
	}
	a.mu.Lock()
	a.states[register] = s
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
		a.beginWrite()
		defer a.writing.Release(1)
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
	a.beginWrite()
	defer a.writing.Release(1)
	s, ok := a.State(in.Register).Accept(in.Ballot, in.Value)
	if ok {
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
// first members has accepted from the beginning, whether it knows that yet or not: a promise that was given before stands.
func (a *Acceptor) Install(members []quorum.Member) error {
	a.beginWrite()
	defer a.writing.Release(1)
	first := quorum.Ballot{Counter: 1}
	for _, register := range registers {
		s := a.State(register)
		if s.Accepted != (quorum.Ballot{}) {
			continue
		}
		s.Accepted, s.Value = first, quorum.Value{Members: members}
		if s.Promised.Less(first) {
			s.Promised = first
		}
		if err := a.keep(register, s); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

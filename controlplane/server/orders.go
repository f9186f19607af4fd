package server

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/tinylib/msgp/msgp"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/core"
	"moleshift/controlplane/quorum"
	"moleshift/controlplane/rollout"
	"moleshift/fault"
	"moleshift/peer"
)

// The kinds of orders, beside configuration.Replace and configuration.Patch.
const (
	orderRead    = "read"
	orderVersion = "version"
)

const (
	orderDeadline = 600 * time.Millisecond // of the work on an order at a member: it answers within orderCall
	orderCall     = 700 * time.Millisecond // of one call with an order
	orderAll      = 1600 * time.Millisecond
	mostPassedOn  = 256 << 10 // bytes of a configuration that a node passes on; for a larger one the operator is sent to a member
)

// Order has an order of the operator carried out, by the owner of its register where that answers, else by the next member.
func (c *Controller) Order(in *peer.Order) *peer.OrderReply {
	began, transfer := time.Now(), core.TransferTime(len(in.Body))
	if in.Kind == orderRelease {
		known := *in
		known.IfVersion = c.newestRelease(in.Body)
		in = &known
	}
	reply := &peer.OrderReply{Kind: int(fault.Unavailable), Text: "the members are not known yet"}
	for _, m := range c.directory.Try("order-" + registerOf(in.Kind)) {
		if time.Since(began) > orderAll+transfer {
			break
		}
		if c.acceptor != nil && m.ID == c.acceptor.Identity() {
			if out, err := c.order(in); err == nil {
				reply = out
			}
		} else {
			var out peer.OrderReply
			passed := *in // a copy: where this node answers itself, it answers whole
			passed.Most = mostPassedOn
			if err := c.caller.Call(m.Address, peer.CallOrder, &passed, &out, orderCall+transfer); err != nil {
				c.directory.Failed(m.Address)
				continue
			}
			reply = &out
			if out.Size > 0 {
				reply.Redirect = c.controlAddress(m)
			}
		}
		if fault.Kind(reply.Kind) != fault.Unavailable || reply.Work {
			return reply
		}
	}
	return reply
}

func registerOf(kind string) string {
	switch kind {
	case orderVersion, orderRelease, orderReleaseRead:
		return core.Weights
	}
	return core.Config
}

// order carries an order out at a member.
func (c *Controller) order(in *peer.Order) (*peer.OrderReply, error) {
	if c.acceptor == nil {
		return nil, errNotMember
	}
	deadline := time.Now().Add(orderDeadline + core.TransferTime(len(in.Body)))
	body, err := c.carryOut(in, deadline)
	if errors.Is(err, errUnderWay) {
		return &peer.OrderReply{Kind: int(fault.Unavailable), Text: err.Error(), Work: c.hearsMajority()}, nil
	}
	kind, text := fault.KindOf(err), ""
	if err != nil && kind != fault.None {
		text = err.Error()
	}
	if in.Most > 0 && len(body) > in.Most {
		return &peer.OrderReply{Kind: int(kind), Text: text, Size: len(body)}, nil
	}
	return &peer.OrderReply{Kind: int(kind), Text: text, Body: body}, nil
}

// hearsMajority tells whether a quorum of the configuration's members answered lately.
func (c *Controller) hearsMajority() bool {
	known := c.registers.Known(core.Config).Value
	return known.Quorum(func(id string) bool { return c.registers.Silence(id) < 3*c.syncEvery })
}

// carryOut does what an order asks for; the body is that of an answered read.
func (c *Controller) carryOut(in *peer.Order, deadline time.Time) (body []byte, err error) {
	switch in.Kind {
	case orderRead:
		return c.read(deadline)
	case configuration.Replace, configuration.Patch:
		return nil, c.pending.await(in, deadline, c.configure)
	case orderVersion:
		return nil, c.pending.await(in, deadline, c.nameVersion)
	case orderRelease:
		return nil, c.pending.await(in, deadline, c.startRelease)
	case orderReleaseRead:
		return c.readRelease(string(in.Body), deadline)
	default:
		return nil, fault.New(fault.UnknownCall, "%q", in.Kind)
	}
}

// configure changes the configuration; nil means that the order was taken, now or before.
func (c *Controller) configure(order *configuration.Order, deadline time.Time) error {
	taken := func(v quorum.Value) bool {
		state, err := readConfiguration(v.Data)
		return err == nil && state.Took(order)
	}
	_, err := c.registers.ChangeUnless(core.Config, deadline, taken, func(v quorum.Value) (quorum.Value, error) {
		state, err := readConfiguration(v.Data)
		if err != nil {
			return v, err
		}
		next, result, err := state.Apply(order)
		if err != nil {
			return v, err
		}
		if result == configuration.Already {
			return v, core.ErrUnchanged
		}
		data, err := next.MarshalMsg(nil)
		if err != nil {
			return v, fault.New(fault.Unavailable, "the configuration cannot be written: %v", err)
		}
		return quorum.Value{Members: v.Members, Old: v.Old, Data: data}, nil
	})
	if errors.Is(err, core.ErrUnchanged) {
		return nil
	}
	return err
}

// readConfiguration reads the value of the configuration's register.
func readConfiguration(data []byte) (*configuration.State, error) {
	return readState[configuration.State](core.Config, data)
}

// readWeights reads the value of the register of weights.
func readWeights(data []byte) (*rollout.State, error) {
	return readState[rollout.State](core.Weights, data)
}

// readState reads the value of a register; an empty one is the zero state.
func readState[State any, PtrState interface {
	*State
	msgp.Unmarshaler
}](register string, data []byte) (*State, error) {
	var state State
	if len(data) == 0 {
		return &state, nil
	}
	if _, err := PtrState(&state).UnmarshalMsg(data); err != nil {
		return nil, fault.New(fault.Unavailable, "the register %q cannot be read: %v", register, err)
	}
	return &state, nil
}

// read gives the newest configuration.
func (c *Controller) read(deadline time.Time) ([]byte, error) {
	k, err := c.registers.Refresh(core.Config, deadline)
	if err != nil {
		return nil, err
	}
	state, err := readConfiguration(k.Value.Data)
	if err != nil {
		return nil, err
	}
	if state.Version == 0 {
		return []byte(`{"version":0}`), nil
	}
	return state.Body, nil
}

// nameVersion notes new weights of a model.
func (c *Controller) nameVersion(order *configuration.Order, deadline time.Time) error {
	var named struct {
		Model   string `json:"model"`
		Version int64  `json:"version"`
	}
	if err := json.Unmarshal(order.Body, &named); err != nil {
		return fault.New(fault.BadConfig, "not readable as JSON: %v", err)
	}
	isNamed := func(v quorum.Value) bool {
		state, err := readWeights(v.Data)
		if err != nil {
			return false
		}
		_, same, _ := state.Name(named.Model, named.Version)
		return same
	}
	err := c.changeWeights(deadline, isNamed, func(s *rollout.State) (*rollout.State, error) {
		next, same, err := s.Name(named.Model, named.Version)
		if same {
			return nil, core.ErrUnchanged
		}
		return next, err
	})
	if errors.Is(err, core.ErrUnchanged) {
		return nil
	}
	return err
}

// changeWeights changes the register of weights, unless a value that is known to be chosen holds the change.
func (c *Controller) changeWeights(deadline time.Time, holds func(v quorum.Value) bool, edit func(s *rollout.State) (*rollout.State, error)) error {
	_, err := c.registers.ChangeUnless(core.Weights, deadline, holds, func(v quorum.Value) (quorum.Value, error) {
		state, err := readWeights(v.Data)
		if err != nil {
			return v, err
		}
		next, err := edit(state)
		if err != nil {
			return v, err
		}
		data, err := next.MarshalMsg(nil)
		if err != nil {
			return v, fault.New(fault.Unavailable, "the weights cannot be written: %v", err)
		}
		return quorum.Value{Members: v.Members, Old: v.Old, Data: data}, nil
	})
	return err
}

// controlAddress gives a member's control address: ports are alike on all machines.
func (c *Controller) controlAddress(m quorum.Member) string {
	host, _, err := net.SplitHostPort(m.Address)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(c.set.Listen.Control)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

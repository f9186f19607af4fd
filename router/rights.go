package router

// rights.go owns how this instance's rights hang together with the rest: their messages among those of the instances, their jobs by
// the settings. It must never have the owner wait for them.

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"moleshift/config"
	"moleshift/duty"
	"moleshift/lease"
	"moleshift/member"
	"moleshift/rights"
	"moleshift/shardmap"
	"moleshift/work"
)

const (
	everyDefault    = time.Minute
	deadlineDefault = 10 * time.Second
	shardsDefault   = 1024
	leastDefault    = 100
)

// split gives messages on rights to their driver, once there is one, and all others to the duties.
type split struct {
	member.Handler
	rights atomic.Pointer[rights.Driver]
}

// Message is part of member.Handler.
func (s *split) Message(b []byte) {
	if len(b) == 0 || b[0] != rights.Mark {
		s.Handler.Message(b)
	} else if d := s.rights.Load(); d != nil {
		d.Message(b)
	}
}

// holdRights starts the driver of the rights.
func (p *program) holdRights(handler *split) error {
	o := p.owner
	m, l := &o.cfg.More.Members, &o.cfg.More.Leases
	seat, err := m.SeatOf(o.cfg.Name)
	if err != nil {
		return err
	}
	set := rights.Settings{State: l.State, Cluster: m.Cluster, Name: o.cfg.Name,
		Lease: lease.Settings{Seat: seat, Size: m.Seats, Skew: duty.Time(tenths(m.Skew)), Lease: duty.Time(tenths(m.Lease)),
			Beat: duty.Time(tenths(m.Lease)) / beatsInLease, Seed: o.cfg.Seed},
		Limits: limitsOf(l), Rights: o.rightsOf(l)}
	d, err := rights.New(set, o.sharing.peers, p.log)
	if err != nil {
		return err
	}
	o.rights = d
	handler.rights.Store(d)
	p.group.Go(func() error { return d.Run(p.ctx) })
	return nil
}

func limitsOf(l *config.Leases) work.Settings {
	return work.Settings{Calls: l.Calls, Bytes: l.Bytes, Concurrent: l.Concurrent}
}

func (o *owner) rightsOf(l *config.Leases) (all []rights.Right) {
	for i := range l.Rights {
		all = append(all, o.rightOf(&l.Rights[i]))
	}
	return all
}

// reloadRights follows new settings.
func (o *owner) reloadRights() {
	l := &o.cfg.More.Leases
	list, limits := o.rightsOf(l), limitsOf(l)
	o.group.Go(func() error { // apart from the owner, which does not wait
		o.rights.Reload(list, limits)
		return nil
	})
}

// rightOf is a right with its job, as the settings have it.
func (o *owner) rightOf(r *config.Right) rights.Right {
	every, deadline := r.Every, r.Deadline
	if every == 0 {
		every = everyDefault
	}
	if deadline == 0 {
		deadline = deadlineDefault
	}
	one := rights.Right{Right: lease.Right{Name: r.Name, Paused: r.Paused},
		Job: work.Job{Name: r.Name, Priority: r.Priority, Every: duty.Time(tenths(every)), Deadline: duty.Time(tenths(deadline))}}
	switch {
	case r.Hook != "":
		one.Do = rights.Hook(r.Hook, o.cfg.Name)
	case r.Captures != "":
		one.Do = rights.Captures(r.Captures)
	case r.Snapshot != "":
		one.Do = rights.Snapshot(r.Snapshot)
	case r.Author.Enabled && o.ranging != nil:
		a := &r.Author
		set := shardmap.AuthorSettings{Split: a.Split, Merge: a.Merge, Move: a.Move, Shards: a.Shards, Least: a.Least}
		if set.Shards == 0 {
			set.Shards = shardsDefault
		}
		if set.Least == 0 {
			set.Least = leastDefault
		}
		one.Do = rights.Author(set, o.list.where, o.measured)
	}
	return one
}

// measured asks the owner for the map and its load.
func (o *owner) measured(ctx context.Context) (*rights.Measured, error) {
	answer := make(chan *rights.Measured, 1)
	o.post(ctx, func(o *owner) {
		m := &rights.Measured{Map: o.ranging.follows.Now, Load: maps.Clone(o.ranging.load)}
		for _, l := range o.listed {
			if l.serving {
				m.Leaves = append(m.Leaves, l.id)
			}
		}
		answer <- m
	})
	select {
	case m := <-answer:
		if m.Map == nil {
			return nil, errors.New("there is no map as yet")
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

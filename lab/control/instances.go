package control

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"moleshift/controlplane/registry"
	"moleshift/peer"
)

// What servers do, as the protocol page says.
const (
	heartbeatEvery = time.Second
	endPause       = 200 * time.Millisecond // between two calls of an end that was not acknowledged
	endPatience    = 8 * time.Second        // after which a server ends without an acknowledgement
	leastLife      = 2 * time.Second        // from a server's first heartbeat to its end
	mostLife       = 12 * time.Second
	mostLinger     = 12 * time.Second // a server serves on for so long behind its end
	mostLate       = 6 * time.Second  // a heartbeat of before a server's end comes so late
	reuseAfter     = 2 * time.Second  // another server comes at its address

	drainBound   = 2 * time.Second // bounds.drain-ms
	contactBound = 3 * time.Second // bounds.contact-ms
)

// instances plays the servers of a world: each lives for some seconds, ends with or without having said that it drains, and is followed by
// another one at its address.
type instances struct {
	*dice
	w *World

	mu      sync.Mutex
	number  int
	ended   map[string]time.Time // by identity: when its end was acknowledged
	living  map[string]time.Time // by identity: its last acknowledged heartbeat, of those that have not begun to end
	slowest time.Duration        // the longest time from a server's first call of its end to the acknowledgement
}

func newInstances(w *World, d *dice) *instances {
	return &instances{dice: d, w: w, ended: map[string]time.Time{}, living: map[string]time.Time{}}
}

// machine draws a machine.
func (s *instances) machine() *machine { return s.w.anyMachine(s.draw) }

func (s *instances) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	return fmt.Sprint("i-", s.number)
}

// addressOf gives the address of the servers that come one after the other.
func addressOf(i int) string { return fmt.Sprintf("10.9.0.%d:80", i+1) }

// run plays the servers at one address until the world is over.
func (s *instances) run(address string) {
	for !s.w.over() {
		s.live(peer.Instance{ID: s.nextID(), Service: "s", Address: address, Slots: 8, State: registry.Ready})
		time.Sleep(reuseAfter)
	}
}

// live plays one server from its first heartbeat until its address is free.
func (s *instances) live(in peer.Instance) {
	at := s.machine()
	for until := time.Now().Add(s.between(leastLife, mostLife)); time.Now().Before(until) && !s.w.over(); {
		in.Sequence++
		if s.beat(at, in) {
			s.noteLiving(in.ID)
		} else {
			at = s.machine()
		}
		time.Sleep(heartbeatEvery)
	}
	s.mu.Lock()
	delete(s.living, in.ID)
	s.mu.Unlock()
	late := in
	if s.share(0.5) {
		in.State = registry.Draining
		in.Sequence++
	} else {
		in = peer.Instance{ID: in.ID, State: registry.Gone}
	}
	s.end(in)
	if s.share(0.5) {
		s.w.later(s.between(0, mostLate), func() { s.beat(s.machine(), late) })
	}
	time.Sleep(s.between(drainBound, mostLinger))
	if in.State == registry.Draining {
		s.end(peer.Instance{ID: in.ID, State: registry.Gone})
	}
}

// end tells that a server leaves until that is acknowledged or its patience is over.
func (s *instances) end(in peer.Instance) {
	for began := time.Now(); time.Since(began) < endPatience && !s.w.over(); time.Sleep(endPause) {
		if s.beat(s.machine(), in) {
			s.noteEnd(in.ID, time.Since(began))
			return
		}
		if in.State == registry.Draining {
			in.Sequence++
		}
	}
}

// beat sends a call of a server to a machine, and tells whether it was acknowledged.
func (s *instances) beat(m *machine, in peer.Instance) bool {
	value, err := s.w.network.exchange(operatorName, m.address+":7000", 0, apiTimeout, nil, func(p *process) (any, int, error) {
		reply, err := p.controller.Heartbeat(&peer.Beat{Instance: in})
		return reply, 0, err
	})
	return err == nil && value.(*peer.BeatReply).OK
}

func (s *instances) noteLiving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.living[id] = time.Now()
}

func (s *instances) noteEnd(id string, took time.Duration) {
	s.mu.Lock()
	if _, known := s.ended[id]; !known {
		s.ended[id] = time.Now()
	}
	s.slowest = max(s.slowest, took)
	s.mu.Unlock()
	s.w.judge.countEnd()
	if s.w.options.Verbose {
		s.w.judge.tell("the end of %s is acknowledged after %v", id, took)
	}
}

// slowestEnd gives the longest time of an end until it was acknowledged.
func (s *instances) slowestEnd() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowest
}

// endedBefore lists the servers whose end was acknowledged before a moment.
func (s *instances) endedBefore(at time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := map[string]bool{}
	for id, acknowledged := range s.ended {
		if acknowledged.Before(at) {
			list[id] = true
		}
	}
	return list
}

// livingSince lists the servers that have not begun to end and whose last acknowledged heartbeat came after a moment.
func (s *instances) livingSince(at time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for id, beat := range s.living {
		if beat.After(at) {
			list = append(list, id)
		}
	}
	return list
}

// judgeEnds looks at the routers of a world again and again: one that is in touch sends nothing to a server whose end was acknowledged
// longer than drain-ms ago (RULES.md, DRAIN).
func (s *instances) judgeEnds() {
	calm := time.Now()
	told := map[string]bool{}
	for !s.w.over() {
		time.Sleep(sampleEvery)
		if !s.w.isCalm() {
			calm = time.Now()
		}
		if time.Since(calm) < contactBound+sampleEvery {
			continue
		}
		ended := s.endedBefore(time.Now().Add(-drainBound))
		for _, m := range s.w.all(func(*machine) bool { return true }) {
			for _, id := range m.sendsTo() {
				if ended[id] && !told[m.name+id] {
					told[m.name+id] = true
					s.w.violate("%s sends requests to %s, whose end was acknowledged longer than drain-ms ago", m.name, id)
				}
			}
		}
	}
}

// judgeLiving has every router know the servers that live.
func (s *instances) judgeLiving() {
	for _, m := range s.w.all(func(*machine) bool { return true }) {
		missing := ""
		if !s.w.eventually(2*heartbeatEvery, func() bool {
			known := m.sendsTo()
			missing = ""
			for _, id := range s.livingSince(time.Now().Add(-heartbeatEvery - apiTimeout)) {
				if !slices.Contains(known, id) {
					missing = id
				}
			}
			return missing == ""
		}) {
			s.w.violate("%s does not know server %s, whose heartbeats are acknowledged", m.name, missing)
		}
	}
}

// sendsTo lists the servers to which a machine's router may send requests.
func (m *machine) sendsTo() []string {
	p, _ := m.running()
	if p == nil {
		return nil
	}
	var list []string
	for _, of := range p.follower.Snapshot().Instances {
		for _, in := range of {
			if in.State == registry.Ready {
				list = append(list, in.ID)
			}
		}
	}
	return list
}

// isCalm tells whether no fault lasts and every process runs.
func (w *World) isCalm() bool {
	w.mu.Lock()
	lasting := w.lasting
	w.mu.Unlock()
	if lasting > 0 {
		return false
	}
	for _, m := range w.all(func(*machine) bool { return true }) {
		if p, on := m.running(); p == nil || !on {
			return false
		}
	}
	return true
}

package soak

// Servers that leave: each comes for a while, says so or ends without a word of draining, and serves on. Some of the time all nodes that
// count for the quorum are killed at once soon after the acknowledgement, and a heartbeat of before the end comes late.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"moleshift/lab/nodes"
)

const (
	leaverServes  = 2500 * time.Millisecond // before it leaves
	leaverLingers = 9 * time.Second         // after its end was acknowledged
	leaverPause   = 500 * time.Millisecond  // between two of them
	leaversAtOnce = 3
	killCoreShare = 0.5
	mostKillDelay = 2 * time.Second // from the acknowledgement to the kill of all; short ones are drawn more often
	lateBeatShare = 0.75
	leastLateBeat = time.Second
	mostLateBeat  = 5 * time.Second

	leaverSource   = 5000      // number of the first one's source of random numbers
	leaverSequence = 1_000_000 // of the calls of its end: higher than those of its heartbeats
)

// leavers has one server after the other come and leave until the context ends; several of these rows of servers run at once.
func (s *soak) leavers(ctx context.Context, row int) {
	random := s.fork(leaverSource + uint64(row))
	for n := 0; ctx.Err() == nil; n++ {
		if err := s.leaver(ctx, fmt.Sprintf("i-leaver-%d-%d", row, n), random); err != nil {
			s.tell("a server that was to leave: %v", err)
			return
		}
		pause(ctx, leaverPause)
	}
}

// leaver plays one server that comes and leaves.
func (s *soak) leaver(ctx context.Context, id string, random *rand.Rand) error {
	server, err := newModelServer(serverOptions{
		id: id, service: batchService, software: software{version: firstSoftware}, faults: newServerFaults(false, 0, nil),
	}, s.history, s.fleet)
	if err != nil {
		return err
	}
	defer server.close()
	draining, kills, late := random.IntN(2) == 0, random.Float64() < killCoreShare, random.Float64() < lateBeatShare
	x := random.Float64()
	delay := time.Duration(x * x * float64(mostKillDelay))
	lateAfter := leastLateBeat + time.Duration(random.Int64N(int64(mostLateBeat-leastLateBeat)))
	serves, stop := context.WithTimeout(ctx, leaverServes)
	server.heartbeats(serves)
	stop()
	if !server.sayEnd(ctx, draining) {
		return nil // the run is over
	}
	acked := s.history.Now()
	s.history.addEnd(End{Server: id, Acked: acked})
	s.tell("end of server %s acknowledged, draining %v", id, draining)
	if kills && !s.options.Planned && pause(ctx, delay) {
		s.killCore()
	}
	if late && pause(ctx, max(0, acked+lateAfter-s.history.Now())) {
		server.lateBeat(ctx)
	}
	pause(ctx, max(0, acked+leaverLingers-s.history.Now()))
	return nil
}

// sayEnd tells nodes that the server leaves until one acknowledges it; false: the context ended.
func (s *modelServer) sayEnd(ctx context.Context, draining bool) bool {
	client := newCaller()
	for at := rand.IntN(s.fleet.Len()); ctx.Err() == nil; at = (at + 1) % s.fleet.Len() {
		if draining {
			if s.beat(ctx, client, at, leaverSequence, stateDraining) {
				return true
			}
			continue
		}
		status, _ := call(ctx, client, http.MethodPost, "http://"+s.fleet.Address(at, nodes.Control)+"/instances/"+s.id+"/deregister", map[string]any{})
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// lateBeat sends a heartbeat that the server sent before its end, until some node takes it.
func (s *modelServer) lateBeat(ctx context.Context) {
	client := newCaller()
	first := rand.IntN(s.fleet.Len())
	for i := range s.fleet.Len() {
		if s.beat(ctx, client, (first+i)%s.fleet.Len(), 1, stateReady) {
			return
		}
	}
}

// killCore kills all nodes that count for the quorum at once, where no other strike has one of them, and starts them again.
func (s *soak) killCore() {
	if !s.takeCore() {
		return
	}
	s.tell("%s", KillAll)
	var ends []func(until time.Duration)
	for i := range coreNodes {
		ends = append(ends, s.history.strike(Strike{Node: i, Name: KillAll, At: s.history.Now()}))
	}
	for i := range coreNodes {
		s.fleet.Kill(i)
	}
	for i := range coreNodes {
		s.restart(i)
	}
	until := s.history.Now() + s.options.Bounds.Contact
	for _, end := range ends {
		end(until)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range coreNodes {
		delete(s.busy, i)
	}
}

// takeCore claims all nodes that count for a strike.
func (s *soak) takeCore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range coreNodes {
		if s.busy[i] {
			return false
		}
	}
	for i := range coreNodes {
		s.busy[i] = true
	}
	return true
}

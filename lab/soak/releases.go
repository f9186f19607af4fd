package soak

// Releases: an operator brings a service to new versions of its servers' software, good and bad ones, and to versions that it ordered before.
// Servers of a version stand ready for some time before the order. After the end of a release those that serve no more are taken away.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"moleshift/lab/nodes"
)

const (
	firstSoftware    = "v1"
	serversOfVersion = 2
	badVersionShare  = 0.4
	badAnswerShare   = 0.5
	orderedAgain     = 0.5 // of the orders are for a version that was ordered before, where there is one
	releaseDeadline  = 5 * time.Second
	firstRelease     = 3 * time.Second // after the nodes are ready: what is heard in the first 2 s is in service without an order
	mostStanding     = 4 * time.Second // for which servers of a version stand ready before the order
	killWithin       = 0.3             // of the releases: all nodes that count are killed while they are under way
	killBehind       = 0.4             // the same, behind their end
	mostRest         = 2 * time.Second // between the end of a release and the next order
	releaseReadEvery = 100 * time.Millisecond
	releaseEndWithin = 12 * time.Second // beyond the deadline, however many processes are killed
	beforeDraining   = time.Second      // after a version was rolled back its servers are drained
	drainingFor      = time.Second      // after which they end
	ackTimeout       = 4 * time.Second  // bounds.ack-timeout-ms, the nodes' default: an order is not sent again later

	releaseSource = 7 // number of the source of random numbers
)

// The states of a release that ended.
const (
	completed  = "completed"
	rolledBack = "rolled_back"
)

// software is what a stand-in server runs.
type software struct {
	version string
	bad     bool // a part of its answers are failures
}

// releaser is the operator of releases.
type releaser struct {
	soak    *soak
	client  *http.Client
	random  *rand.Rand
	helpers sync.WaitGroup

	current string                    // the version in service, as far as was read
	known   []string                  // versions that were ordered
	bad     map[string]bool           // by version
	servers map[string][]stagedServer // by version
	started int                       // servers so far
	named   int                       // versions so far
}

// stagedServer is a server of the released service.
type stagedServer struct {
	*modelServer
	stopBeats func()
}

func (s *soak) newReleaser() *releaser {
	return &releaser{
		soak: s, random: s.fork(releaseSource), current: firstSoftware, bad: map[string]bool{}, servers: map[string][]stagedServer{}, named: 1,
		client: &http.Client{Timeout: readTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run orders one release after the other until the context ends, and then waits for the end of the last one.
func (r *releaser) run(ctx context.Context) {
	pause(ctx, firstRelease)
	for pause(ctx, time.Duration(r.random.Int64N(int64(mostRest)))) {
		version := r.draw()
		if err := r.start(version); err != nil {
			r.soak.tell("servers of %s: %v", version, err)
			return
		}
		if !pause(ctx, time.Duration(r.random.Int64N(int64(mostStanding)))) {
			return
		}
		r.release(version)
	}
}

// close ends all servers.
func (r *releaser) close() {
	for version := range r.servers {
		r.stop(version)
	}
	r.helpers.Wait()
}

// draw draws the version of the next order: a new one, or one that was ordered before and is not in service.
func (r *releaser) draw() string {
	var before []string
	for _, version := range append([]string{firstSoftware}, r.known...) {
		if version != r.current {
			before = append(before, version)
		}
	}
	if len(before) > 0 && r.random.Float64() < orderedAgain {
		return before[r.random.IntN(len(before))]
	}
	r.named++
	version := fmt.Sprint("v", r.named)
	r.known = append(r.known, version)
	r.bad[version] = r.random.Float64() < badVersionShare
	return version
}

// start starts the servers of a version.
func (r *releaser) start(version string) error {
	for range serversOfVersion {
		r.started++
		id := fmt.Sprintf("i-%s-%d", version, r.started)
		server, err := newModelServer(serverOptions{
			id: id, service: releasedService, software: software{version, r.bad[version]},
			faults: newServerFaults(false, 0, r.soak.fork(firstServerSource-uint64(r.started))),
		}, r.soak.history, r.soak.fleet)
		if err != nil {
			return err
		}
		beats, stop := context.WithCancel(context.Background())
		r.helpers.Go(func() { server.heartbeats(beats) })
		r.servers[version] = append(r.servers[version], stagedServer{server, stop})
	}
	return nil
}

// stop ends the servers of a version at once.
func (r *releaser) stop(version string) {
	for _, server := range r.servers[version] {
		server.stopBeats()
		server.close()
	}
	delete(r.servers, version)
}

// release plays one release: the order, its end, and what is taken away then.
func (r *releaser) release(version string) {
	order := r.soak.history.orderRelease(version)
	acked := r.order(version)
	if acked {
		order(func(o *ReleaseOrder) { o.Acked = r.soak.history.Now() })
	}
	r.soak.tell("release of %s ordered, bad %v, acknowledged %v", version, r.bad[version], acked)
	r.killCore(killWithin, releaseDeadline)
	state, target := r.await(version, acked)
	r.soak.tell("release reads %s of %s", state, target)
	r.killCore(killBehind, time.Millisecond)
	if target == version {
		order(func(o *ReleaseOrder) { o.Ended, o.State = r.soak.history.Now(), state })
	}
	if target == version && state == completed {
		r.stop(r.current)
		r.current = version
		return
	}
	time.Sleep(beforeDraining)
	r.drain(version)
}

// killCore has all nodes that count killed with a chance, within some time.
func (r *releaser) killCore(chance float64, within time.Duration) {
	drawn, after := r.random.Float64(), time.Duration(r.random.Int64N(int64(within)))
	if drawn > chance || r.soak.options.Planned {
		return
	}
	r.helpers.Go(func() {
		time.Sleep(after)
		r.soak.killCore()
	})
}

// drain takes the servers of a version away that did not come into service.
func (r *releaser) drain(version string) {
	said, cancel := context.WithTimeout(context.Background(), drainingFor)
	defer cancel()
	for _, server := range r.servers[version] {
		server.stopBeats()
		server.sayEnd(said, true)
	}
	time.Sleep(drainingFor)
	r.stop(version)
}

// order sends an order for as long as it may be sent; false: it was not acknowledged.
func (r *releaser) order(version string) bool {
	body := map[string]any{"service": releasedService, "target-version": version, "deadline-s": releaseDeadline.Seconds()}
	fleet, began := r.soak.fleet, time.Now()
	for at := r.random.IntN(fleet.Len()); time.Since(began) < ackTimeout; at = (at + 1) % fleet.Len() {
		status, _ := call(context.Background(), r.client, "POST", "http://"+fleet.Address(at, nodes.Control)+"/rollouts/start", body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(releaseReadEvery)
	}
	return false
}

// await reads at one node after the other until the release has ended; where its order was not acknowledged, until what is told has. Empty: it
// did not end in time.
func (r *releaser) await(version string, acked bool) (state, target string) {
	began := time.Now()
	for time.Since(began) < releaseDeadline+releaseEndWithin {
		read := r.read()
		ended := read.State == completed || read.State == rolledBack
		if read.Status == http.StatusOK && ended && (read.Version == version || !acked) || read.Status == http.StatusNotFound && !acked {
			return read.State, read.Version
		}
		time.Sleep(releaseReadEvery)
	}
	return "", ""
}

// read reads the release at a node drawn by lot.
func (r *releaser) read() ReleaseRead {
	at := r.random.IntN(r.soak.fleet.Len())
	read := ReleaseRead{Node: at, Sent: r.soak.history.Now()}
	status, text := call(context.Background(), r.client, "GET", "http://"+r.soak.fleet.Address(at, nodes.Control)+"/rollouts/"+releasedService+"/read", nil)
	var answer struct {
		State  string `json:"state"`
		Target string `json:"target-version"`
	}
	if read.Status = status; status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
		read.State, read.Version = answer.State, answer.Target
	}
	r.soak.history.addReleaseRead(read)
	return read
}

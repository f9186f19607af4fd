package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["forgotten"] = forgotten }

const (
	downFor     = 500 * time.Millisecond // "return within a second"
	lingers     = 12 * time.Second       // how long the server serves on behind its end: "at times many seconds"
	killAfter   = 100 * time.Millisecond // behind the acknowledgement
	leaveMargin = 200 * time.Millisecond // for the way of a request from its client to a server

	// With LATE=1 the kill comes when every member has written the table, and a heartbeat that the server sent before its end comes late.
	lateKill = 1500 * time.Millisecond // behind the acknowledgement
	lateBeat = 5 * time.Second         // the same
)

// forgotten has a server end: it sends its deregistration first, is acknowledged, and serves on for some seconds. Right after that all
// processes of the core are killed; they are back within a second, with their disks.
func forgotten(r *record, trouble bool) (int, error) {
	f, err := newFleet(3, 1)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if err := f.order("/config/replace", batchConfiguration, "Moleshift-If-Version", "0"); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	leaves := make(chan struct{})
	type arrival struct {
		id string
		at time.Duration
	}
	var mu sync.Mutex
	var arrivals []arrival
	var leaver *server
	for n := range batchServers {
		s, err := newServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "sheets", batchSlots, 4*batchSlots, r, f)
		if err != nil {
			return 0, err
		}
		defer s.close()
		s.answer = func(s *server, e *exchange) {
			work(batchWork)
			write(e.conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\nsheet %s", e.id, stamp(s), 6+len(e.id), e.id))
		}
		go s.serve()
		if n > 0 {
			go s.heartbeats(stop)
			continue
		}
		leaver = s
		s.before = func(_ *server, e *exchange) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{e.id, r.now()})
		}
		go s.heartbeats(leaves)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		close(leaves)
		return 0, err
	}

	var clients sync.WaitGroup
	sent := map[string]*result{}
	ended := make(chan struct{})
	for c := range 40 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(rand.N(200 * time.Millisecond)):
				}
				id := fmt.Sprintf("%04x%012x", c, n)
				out := ask(f, r, c%f.size(), "jepu9.example", "/fiti832/ti23/2f", "xd9dnn2ctnfzs989anu6", id, 3*time.Second)
				r.note("client %d: request %s, sent at %.3f s to node %d, is answered with %d", c, id, out.sent.Seconds(), out.node, out.status)
				mu.Lock()
				sent[id] = out
				mu.Unlock()
			}
		})
	}
	time.Sleep(contact + 3*time.Second)

	// The end of the server.
	close(leaves)
	acknowledged := time.Duration(0)
	for n := 0; acknowledged == 0 && n < 2*f.size(); n++ {
		if status, _ := f.call(n%f.size(), http.MethodPost, "/instances/"+leaver.id+"/deregister", "{}"); status/100 == 2 {
			acknowledged = r.now()
			r.tell("the end of server %s is acknowledged by node %d", leaver.id, n%f.size())
		}
	}
	if acknowledged == 0 {
		return 0, fmt.Errorf("no node acknowledges the end of a server")
	}
	back, kill, late := acknowledged, killAfter, os.Getenv("LATE") == "1"
	if late {
		kill = lateKill
	}
	if trouble {
		time.Sleep(kill)
		for i := range f.core {
			f.signal(i, syscall.SIGKILL)
		}
		r.tell("all processes of the core are killed, %.3f s after that", (r.now() - acknowledged).Seconds())
		for i := range f.core {
			f.await(i)
		}
		time.Sleep(downFor)
		for i := range f.core {
			if err := f.start(i, false); err != nil {
				return 0, err
			}
		}
		back = r.now()
		r.tell("they are started again, %.3f s after the kill", (back - acknowledged - kill).Seconds())
	}
	if late {
		time.Sleep(time.Until(r.began.Add(acknowledged + lateBeat)))
		leaver.sentBefore()
		leaver.beat()
		r.tell("a heartbeat that the server sent before its end comes %.3f s after that", (r.now() - acknowledged).Seconds())
	}
	time.Sleep(time.Until(r.began.Add(acknowledged + lingers)))
	leaver.close()
	close(ended)
	clients.Wait()

	// DRAIN: later than drain-ms after the acknowledgement, taken from the client and sent on by machines in touch.
	inTouch := max(acknowledged+drainBound, back+contact+leaveMargin)
	r.tell("machines are in touch from %.3f s on; the server's end was acknowledged at %.3f s", inTouch.Seconds(), acknowledged.Seconds())
	mu.Lock()
	defer mu.Unlock()
	breaks, others := 0, 0
	for _, a := range arrivals {
		out := sent[a.id]
		switch {
		case out == nil || a.at < acknowledged+drainBound:
		case out.sent < inTouch:
			others++
		default:
			breaks++
			r.note("DRAIN: request %s, sent at %.3f s to node %d, reaches server %s at %.3f s", a.id, out.sent.Seconds(), out.node, leaver.id, a.at.Seconds())
		}
	}
	r.tell("%d requests reached the server later than drain-ms after the acknowledgement by machines in touch, %d by others", breaks, others)
	return breaks, nil
}

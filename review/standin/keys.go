package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["keys"] = keysTaken }

const (
	revoke       = 5 * time.Second // revoke-ms
	freezeFor    = 5 * time.Second // fleetbench kinds: for_s, how long (5)
	keyRounds    = 8
	keyClients   = 24
	keyServers   = 140
	keyAsksFor   = 1500 * time.Millisecond // behind the thaw
	betweenRound = 500 * time.Millisecond
)

// keysTaken freezes a node that counts for no quorum, again and again, and has the operator take a key away at the beginning of each freeze.
// Clients with that key send one request after the other once the node has thawed, and do not wait as they are told.
func keysTaken(r *record, trouble bool) (int, error) {
	f, err := newFleet(3, 1)
	if err != nil {
		return 0, err
	}
	defer f.close()
	configuration := func(version int) string {
		keys := []string{`"stays"`}
		for i := version; i <= keyRounds; i++ {
			keys = append(keys, fmt.Sprintf("%q", keyOf(i)))
		}
		text := strings.Replace(batchConfiguration, `"xd9dnn2ctnfzs989anu6"`, strings.Join(keys, ","), 1)
		return strings.Replace(text, `{"version":1,`, fmt.Sprintf(`{"version":%d,`, version), 1)
	}
	if err := f.order("/config/replace", configuration(1), "Moleshift-If-Version", "0"); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var servers []*server
	for n := range keyServers {
		s, err := newServer(fmt.Sprintf("i-%08x", 0x7f3a9000+n), "sheets", 64, 64, r, f)
		if err != nil {
			return 0, err
		}
		defer s.close()
		s.answer = func(s *server, e *exchange) {
			write(e.conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok", e.id, stamp(s)))
		}
		go s.serve()
		go s.heartbeats(stop)
		servers = append(servers, s)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(contact)
	node, breaks := f.size()-1, 0
	for i := 1; i <= keyRounds; i++ {
		if trouble {
			f.signal(node, syscall.SIGSTOP)
		}
		frozen := r.now()
		if err := f.order("/config/replace", configuration(i+1), "Moleshift-If-Version", fmt.Sprint(i)); err != nil {
			f.signal(node, syscall.SIGCONT)
			return 0, err
		}
		acknowledged := r.now()
		time.Sleep(freezeFor - (r.now() - frozen))
		f.signal(node, syscall.SIGCONT)
		sent, statuses := askWith(f, r, node, keyOf(i), r.now()+keyAsksFor)
		late := 0
		for _, s := range servers {
			s.mu.Lock()
			for id, at := range s.ranAt {
				if by, ok := sent[id]; ok && by > acknowledged+revoke {
					late++
					r.note("CONFIG: request %s, sent %.4f s after its key was taken away, ran at %s, %.4f s after", id, (by - acknowledged).Seconds(), s.id, (at - acknowledged).Seconds())
				}
			}
			s.mu.Unlock()
		}
		breaks += late
		r.tell("key %d taken away %.3f s after the node was frozen for 5 s: answers by status %v, %d requests ran that were sent later than revoke-ms", i, (acknowledged - frozen).Seconds(), statuses, late)
		time.Sleep(betweenRound)
	}
	return breaks, nil
}

func keyOf(i int) string { return fmt.Sprintf("key%03d", i) }

// askWith has clients send requests with a key to a node until the given moment, each one after the other on a connection of its own. It
// gives when each was sent, and how many answers there were by status.
func askWith(f *fleet, r *record, node int, key string, until time.Duration) (map[string]time.Duration, map[int]int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	sent, statuses := map[string]time.Duration{}, map[int]int{}
	for c := range keyClients {
		clients.Go(func() {
			own, answers := map[string]time.Duration{}, map[int]int{}
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				for id, at := range own {
					sent[id] = at
				}
				for status, n := range answers {
					statuses[status] += n
				}
			}()
			conn, err := net.Dial("tcp4", f.address(node, front))
			if err != nil {
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for k := 0; r.now() < until; k++ {
				id := fmt.Sprintf("%s-%02x-%08x", key, c, k)
				_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
				own[id] = r.now()
				if !write(conn, fmt.Sprintf("POST /fiti832/x HTTP/1.1\r\nHost: jepu9.example\r\nMoleshift-Request-Id: %s\r\nMoleshift-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nhi", id, key)) {
					return
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					return
				}
				answers[resp.StatusCode]++
			}
		})
	}
	clients.Wait()
	return sent, statuses
}

package router

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"moleshift/config"
	"moleshift/limits"
)

func admitting(c *config.Config) {
	a := &c.More.Admission
	a.Enabled, a.Remembered, a.Refusals = true, 64, 4
	c.Limits.Sockets = 32 // 8 for clients, of which 2 are kept and 4 are one address's at most
}

// A flood from one address: strangers from elsewhere and a known client still get in, those who do not are
// told when to come back, and a connection with a query on it never makes way.
func TestFlood(t *testing.T) {
	play(t, "flood", 1, admitting, func(st *stage) {
		var held []func()
		st.leafAt("A", func(n int, frame string, conn net.Conn) {
			if strings.Contains(frame, "held") {
				holding(&held)(n, frame, conn)
				return
			}
			answers(n, frame, conn)
		})
		st.serve()
		friend := st.connectFrom("10.1.0.1")
		for i := range 2 {
			st.ask(friend, request(fmt.Sprintf("q%d", i), "search", 2000, 0))
		}
		friend.Close()
		st.step()
		flood := st.connectFrom("10.6.6.6")
		st.ask(flood, request("held", "search", 2000, 0))
		for range 5 {
			st.connectFrom("10.6.6.6")
			st.step()
		}
		for i := range 4 {
			st.connectFrom(fmt.Sprintf("10.7.%d.1", i))
			st.step()
		}
		st.pass(60)
		friend = st.connectFrom("10.1.0.1")
		st.ask(friend, request("q2", "search", 2000, 1))
		held[0]()
		st.pass(3000)
		st.ask(st.connectFrom("10.6.6.6"), request("q3", "search", 2000, 1))
	})
}

// Tenants behind one address that were served before are not lost among the silent ones that come from there.
func TestSharedAddress(t *testing.T) {
	play(t, "shared-address", 1, admitting, func(st *stage) {
		st.leafAt("A", answers)
		st.serve()
		for i := range 2 {
			st.ask(st.connectFrom("10.1.0.1"), request(fmt.Sprintf("q%d", i), "search", 2000, 0))
		}
		for range 4 {
			st.connectFrom("10.1.0.1")
			st.step()
		}
		st.pass(60)
		st.ask(st.connectFrom("10.1.0.1"), request("q3", "search", 2000, 1))
		st.pass(3000)
	})
}

// Memory: a query that has no room is refused with when to come back; a value that has none fails its part
// alone, and the connection that brought it goes on; a body that has none is refused while it comes.
func TestMemory(t *testing.T) {
	small := func(c *config.Config) {
		c.More.Memory.Enabled, c.More.Memory.Portion = true, 0.05
		c.Limits.MemoryMB = 16 // for a book of 839 kB
	}
	large := func(id string, n int) string { return "O" + id + " 200 1 -\n" + strings.Repeat("x", n) }
	t.Run("query", func(t *testing.T) {
		play(t, "memory-query", 1, small, func(st *stage) {
			var held []func()
			st.leafAt("A", holding(&held))
			st.serve()
			take := st.owner.gate.take(limits.Values, 450_000) // what others hold, of 503 kB
			for i := range 3 {                                 // each may need 8 kB, by what is thought at first
				st.ask(st.connect(), request(fmt.Sprintf("q%d", i), "search", 2000, 0, 1))
			}
			if take {
				st.owner.gate.put(limits.Values, 450_000)
			}
			for _, answer := range held {
				answer()
			}
			st.pass(1000)
			st.ask(st.connect(), request("again", "search", 2000, 0, 1))
		})
	})
	t.Run("value", func(t *testing.T) {
		play(t, "memory-value", 1, small, func(st *stage) {
			st.leafAt("A", func(_ int, frame string, conn net.Conn) {
				if frame[0] != 'D' {
					return
				}
				for _, id := range ids(frame) {
					n := 100
					if strings.HasPrefix(id, "large") {
						n = 60_000
					}
					sendFrame(conn, large(id, n))
				}
			})
			st.serve()
			take := st.owner.gate.take(limits.Values, 470_000) // what others hold
			st.ask(st.connect(), request("large", "file", 2000, 0))
			st.ask(st.connect(), request("small", "file", 2000, 0))
			if take {
				st.owner.gate.put(limits.Values, 470_000)
			}
		})
	})
	t.Run("frame", func(t *testing.T) {
		play(t, "memory-frame", 1, small, func(st *stage) {
			st.leafAt("A", func(_ int, frame string, conn net.Conn) {
				for _, id := range ids(frame) {
					sendFrame(conn, large(id, 20_000))
				}
			})
			st.serve()
			take := st.owner.gate.take(limits.Frames, 240_000)
			st.ask(st.connect(), request("q0", "file", 2000, 0))
			if take {
				st.owner.gate.put(limits.Frames, 240_000)
			}
			st.ask(st.connect(), request("q1", "file", 2000, 0))
		})
	})
	t.Run("body", func(t *testing.T) {
		play(t, "memory-body", 1, small, func(st *stage) {
			st.leafAt("A", answers)
			st.serve()
			take := st.owner.gate.take(limits.Bodies, 205_000)
			text := strings.Repeat("x", 9000)
			body := `{"parts":[{"id":0,"w":1}],"expr":"` + text + `"}`
			st.ask(
				st.connect(),
				fmt.Sprintf(
					"POST /search/k HTTP/1.1\r\nX-Trace-Id: q0\r\nX-Customer: acme\r\nX-Expires-In-Ms: 2000\r\n"+
						"Content-Length: %d\r\n\r\n%s",
					len(body),
					body,
				),
			)
			if take {
				st.owner.gate.put(limits.Bodies, 205_000)
			}
		})
	})
}

// SIGHUP changes caps in service, also to less than is held, and on and off.
func TestLimitsReloaded(t *testing.T) {
	play(t, "limits-reloaded", 1, nil, func(st *stage) {
		st.leafAt("A", answers)
		st.load = func() (*config.Config, error) {
			next := *st.cfg
			more := *st.cfg.More
			next.More = &more
			admitting(&next)
			more.Memory.Enabled = true
			more.Admission.Connections = 3
			return &next, nil
		}
		st.serve()
		for i := range 5 {
			st.ask(
				st.connectFrom(fmt.Sprintf("10.0.%d.1", i)),
				request(fmt.Sprintf("q%d", i), "search", 2000, 0),
			)
		}
		st.reloads <- syscall.SIGHUP
		st.step()
		st.connectFrom("10.0.9.1")
		if places := st.owner.gate.places; places != 64 { // or switched on in service it would know nobody
			t.Errorf("%d places for known clients", places)
		}
		st.pass(11000) // those that were idle are gone
		st.ask(st.connectFrom("10.0.9.1"), request("q9", "search", 2000, 0))
	})
}

// starved is a listener that has no descriptor for a connection unless the spare one was given up.
type starved struct {
	net.Listener
	g     *gate
	conns []net.Conn
}

func (l *starved) Accept() (net.Conn, error) {
	l.g.mu.Lock()
	spare := l.g.spare
	l.g.mu.Unlock()
	if spare != nil || len(l.conns) == 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	c := l.conns[0]
	l.conns = l.conns[1:]
	return c, nil
}

// With descriptors gone a client is told when to come back, and the cap falls to what there is.
func TestNoDescriptors(t *testing.T) {
	set, err := config.DecodeSettings(1, []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{
		More:     config.DefaultFile(),
		Settings: set,
		Limits:   config.Limits{Cores: 1, MemoryMB: 64, Sockets: 64},
	}
	cfg.More.Admission.Enabled = true
	g := newGate(cfg, clock{time.Now()}, zerolog.Nop())
	defer g.close()
	here, there := net.Pipe()
	defer here.Close()
	l := &starved{g: g, conns: []net.Conn{there}}
	said := make(chan string)
	go func() {
		buf := make([]byte, 1000)
		n, _ := here.Read(buf)
		said <- string(buf[:n])
	}()
	_, err = l.Accept()
	if !g.short(context.Background(), l, err) {
		t.Fatal("not taken for a shortage")
	}
	if s := <-said; !strings.HasPrefix(s, "HTTP/1.1 503 ") || !strings.Contains(s, "Retry-After: 1.000") {
		t.Errorf("the client hears %q", s)
	}
	if g.spare == nil || g.door.Most() >= cfg.Limits.ClientSockets() {
		t.Errorf("spare %v, %d connections may be held", g.spare, g.door.Most())
	}
	if g.short(context.Background(), l, net.ErrClosed) {
		t.Error("another fault was taken for a shortage")
	}
}

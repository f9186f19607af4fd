package router

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"moleshift/config"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The life of a query: parts to one leaf share a frame, the answer has each part once, the connection is kept.
func TestLife(t *testing.T) {
	play(t, "life", 1, nil, func(st *stage) {
		st.leafAt("A", answers)
		st.serve()
		c := st.connect()
		st.ask(c, "GET /healthz HTTP/1.1\r\n\r\n")
		st.ask(c, request("q1", "search", 2000, 0, 3))
		st.ask(c, request("q2", "file", 2000, 1))
	})
}

// The outcome table, row by row. A side-effecting part is asked again only where it is known not to have run.
func TestOutcomes(t *testing.T) {
	rows := []struct {
		name string
		act  func(id string, conn net.Conn)
	}{
		{"served", func(id string, c net.Conn) { sendFrame(c, "O"+id+" 200 1 -\nx") }},
		{"error", func(id string, c net.Conn) { sendFrame(c, "O"+id+" 500 1 -\n") }},
		{"turned-away", func(id string, c net.Conn) { sendFrame(c, "O"+id+" 503 1 -\n") }},
		{"ends-after-the-frame", func(_ string, c net.Conn) { c.Close() }},
		{"silent", func(string, net.Conn) {}},
		{"broken-frame", func(_ string, c net.Conn) { sendFrame(c, "Zno") }},
		{"unknown-letter", func(_ string, c net.Conn) { sendFrame(c, "?") }},
		{"frame-too-long", func(_ string, c net.Conn) { io.WriteString(c, "\x7f\x00\x00\x00O") }},
		{"malformed-answer", func(id string, c net.Conn) { sendFrame(c, "O"+id+" 200\n") }},
		{"never-asked", func(_ string, c net.Conn) { sendFrame(c, "Oother.3 200 1 -\nx") }},
		{"cut-short", func(id string, c net.Conn) { io.WriteString(c, "\x00\x00\x00\x40O"+id+" 200 1 -\nx"); c.Close() }},
		{"report-unreadable", func(id string, c net.Conn) { sendFrame(c, "O"+id+" 200 1 latency_ms=?\nx") }},
		{"score-unreadable", func(id string, c net.Conn) { sendFrame(c, "O"+id+" 200 ? -\nx") }},
		{"end-unknown", func(id string, c net.Conn) { sendFrame(c, "O"+id+" 0 1 -\nx") }},
		{"length-too-short", func(id string, c net.Conn) { io.WriteString(c, "\x00\x00\x00\x03O"+id+" 200 1 -\nx") }},
		{"frame-never-ends", func(id string, c net.Conn) { io.WriteString(c, "\x00\x00\x01\x40O"+id+" 200 1 -\nx") }},
		{"second-copy-behind", func(id string, c net.Conn) {
			sendFrame(c, "O"+id+" 200 1 -\nx")
			sendFrame(c, "O"+id+" 200 1 -\nx")
		}},
		{"noise-behind", func(id string, c net.Conn) {
			sendFrame(c, "O"+id+" 200 1 -\nx")
			io.WriteString(c, "\xb2\xd0^\x00noise")
		}},
		{"probe-never-asked", func(_ string, c net.Conn) { sendFrame(c, "I200") }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			play(t, "outcome-"+row.name, 1, nil, func(st *stage) {
				st.leafAt("A", func(n int, frame string, conn net.Conn) {
					if frame[0] == 'D' {
						row.act(ids(frame)[0], conn)
					}
				})
				st.serve()
				st.ask(st.connect(), request("q1", "file", 2000, 0))
				st.pass(2100)
			})
		})
	}
}

// What spoils one connection costs only the calls that share it: each has its own while descriptors last, and
// those with the fewest calls out are shared after that.
func TestOwnConnections(t *testing.T) {
	change := func(c *config.Config) {
		c.Limits.Sockets = 16
		c.Known.Servers[1].Lifecycle, c.Known.Servers[2].Lifecycle = "terminating", "terminating"
	}
	play(t, "own-connections", 3, change, func(st *stage) {
		var conns []net.Conn
		st.leafAt("A", func(_ int, frame string, conn net.Conn) {
			if frame[0] == 'D' {
				conns = append(conns, conn)
			}
		})
		st.serve()
		for i := range 3 {
			st.ask(st.connect(), request(fmt.Sprintf("q%d", i), "file", 2000, i))
			st.pass(10)
		}
		io.WriteString(conns[1], "noise")
		st.pass(10)
		sendFrame(conns[0], "Oq0.0 200 1 -\nx")
		st.step()
		st.ask(st.connect(), request("q3", "file", 2000, 0))
	})
}

// A leaf may end a kept connection unseen: what may run once only goes over a new one, which takes the place of
// one that is idle; the rest goes over the one that has been idle for longest.
func TestKeptConnections(t *testing.T) {
	play(t, "kept-connections", 1, nil, func(st *stage) {
		var held []func()
		n := 0
		st.leafAt("A", func(_ int, frame string, conn net.Conn) {
			held = append(held, func() { answers(0, frame, conn) })
		})
		place := st.places[at("A")]
		st.places[at("A")] = func(c net.Conn) error { n++; st.say("leaf A: connection %d", n); return place(c) }
		st.serve()
		c, d := st.connect(), st.connect()
		for i, vertical := range []string{"search", "search", "file", "search", "search"} {
			st.say("---- %s", vertical)
			st.ask(c, request(fmt.Sprint("q", 2*i), vertical, 2000, 0))
			if i == 0 { // a second one at the same time
				st.ask(d, request("q1", vertical, 2000, 1))
			}
			for _, answer := range held {
				answer()
				st.pass(10)
			}
			held = nil
		}
	})
}

// No connection: what was not written whole has never run, so even side-effecting parts are asked again.
func TestNeverRan(t *testing.T) {
	for name, place := range map[string]func(st *stage) func(net.Conn) error{
		"refused":  func(*stage) func(net.Conn) error { return func(net.Conn) error { return errRefused } },
		"never-up": func(*stage) func(net.Conn) error { return nil },
		"within-the-frame": func(*stage) func(net.Conn) error {
			return func(c net.Conn) error {
				go func() {
					io.ReadFull(c, make([]byte, 20))
					c.Close()
				}()
				return nil
			}
		},
		"not-taken": func(*stage) func(net.Conn) error { return func(net.Conn) error { return nil } },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, "never-ran-"+name, 1, nil, func(st *stage) {
				st.places[at("A")] = place(st)
				st.serve()
				st.ask(st.connect(), request("q1", "file", 2000, 0))
				st.pass(2100)
			})
		})
	}
}

// A late answer to a call that was given up touches nothing, not even a later call of the same part.
func TestLateAnswer(t *testing.T) {
	play(t, "late-answer", 1, nil, func(st *stage) {
		var first net.Conn
		st.leafAt("A", func(n int, frame string, conn net.Conn) {
			if first == nil {
				first = conn
			} else if frame[0] == 'D' {
				answers(n, frame, conn)
			}
		})
		st.serve()
		c := st.connect()
		st.ask(c, request("q1", "search", 500, 0))
		c.Close()
		st.step()
		st.ask(st.connect(), request("q1", "search", 2000, 0)) // a client may come again under the same id
		sendFrame(first, "Oq1.0 200 1 -\nlate")
		st.step()
		st.ask(st.connect(), request("q2", "search", 2000, 0))
	})
}

// Where nothing may be given up, a silent connection takes no more calls but stays open for the late answer.
func TestLateWhereCancelsAreBarred(t *testing.T) {
	play(t, "late-no-cancel", 1, func(c *config.Config) { c.Settings.Module.MayCancel = false }, func(st *stage) {
		var late func()
		st.leafAt("A", func(n int, frame string, conn net.Conn) {
			if late != nil {
				answers(n, frame, conn)
				return
			}
			late = func() { answers(n, frame, conn) }
		})
		st.serve()
		st.ask(st.connect(), request("q1", "file", 2000, 0))
		st.pass(1100)
		st.ask(st.connect(), request("q2", "search", 2000, 0))
		st.pass(100)
		late()
	})
}

// A call that still waits for its connection is not sent once its query has had its answer, or once its leaf
// takes no more.
func TestWithdrawn(t *testing.T) {
	for name, scene := range map[string]func(*stage){
		"answered": func(st *stage) { st.ask(st.connect(), request("q1", "file", 100, 0)) },
		"left": func(st *stage) {
			c := st.connect()
			st.ask(c, request("q1", "file", 2000, 0))
			c.Close()
		},
		"draining": func(st *stage) {
			st.ask(st.connect(), request("q1", "file", 2000, 0))
			st.news(2, false, server("A", "terminating", 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, "withdrawn-"+name, 1, func(c *config.Config) { c.Settings.Module.MayCancel = false }, func(st *stage) {
				st.leafAt("A", answers)
				place := st.places[at("A")]
				st.places[at("A")] = func(c net.Conn) error {
					time.Sleep(200 * time.Millisecond)
					return place(c)
				}
				st.serve()
				scene(st)
				st.pass(2100)
			})
		})
	}
}

// A restarted leaf: calls on the old connections are reset, new ones go over a new connection. A leaf that
// is gone, or has moved, keeps its connection for what is out.
func TestRestart(t *testing.T) {
	play(t, "restart", 1, nil, func(st *stage) {
		quiet := true
		st.leafAt("A", func(n int, frame string, conn net.Conn) {
			if !quiet {
				answers(n, frame, conn)
			}
		})
		st.leafAt("B", answers)
		st.serve()
		st.ask(st.connect(), request("q1", "file", 2000, 0))
		st.pass(10)
		quiet = false
		st.news(2, false, server("A", "in_service", float64(st.start.UnixMilli()+5)))
		st.ask(st.connect(), request("q2", "search", 2000, 0))
		st.pass(3000)
		moved := server("A", "in_service", float64(st.start.UnixMilli()+5))
		moved.Address = at("B")
		st.news(3, false, moved)
		st.ask(st.connect(), request("q3", "search", 2000, 0))
		st.news(4, true)
		st.ask(st.connect(), request("q4", "search", 2000, 0))
	})
}

// What comes until well after SIGTERM is answered, on kept and on new connections; then the program ends.
func TestDrain(t *testing.T) {
	play(t, "drain", 1, nil, func(st *stage) {
		var held []func()
		st.leafAt("A", holding(&held))
		st.serve()
		busy, kept, started := st.connect(), st.connect(), st.connect()
		st.ask(busy, request("q1", "search", 2000, 0))
		st.ask(started, request("q2", "search", 2000, 0)[:40])
		st.signals <- syscall.SIGTERM
		st.told = true
		st.pass(300)
		st.ask(kept, "GET /healthz HTTP/1.1\r\n\r\n")
		st.ask(kept, request("q3", "search", 2000, 0))
		st.ask(st.connect(), request("q4", "search", 2000, 0))
		st.pass(300)
		for _, answer := range held[:1] {
			answer()
		}
		st.pass(200)
		st.connect()
		st.ask(started, request("q2", "search", 2000, 0)[40:])
		for _, answer := range held[1:] {
			answer()
		}
	})
}

// A second signal ends at once, and says so.
func TestSecondSignal(t *testing.T) {
	play(t, "second-signal", 1, nil, func(st *stage) {
		st.leafAt("A", func(int, string, net.Conn) {})
		st.serve()
		st.ask(st.connect(), request("q1", "search", 2000, 0))
		st.signals <- syscall.SIGTERM
		st.told = true
		st.pass(10)
		st.signals <- syscall.SIGTERM
	})
}

// What clients send wrong, each on a connection of its own: it gets an error and the connection ends, and the
// leaf sees nothing of it.
func TestBadRequests(t *testing.T) {
	good := request("q1", "search", 2000, 0)
	play(t, "bad-requests", 1, nil, func(st *stage) {
		st.leafAt("A", answers)
		st.serve()
		for _, change := range []string{
			"POST /search/k=>GET /search/k", "POST /search/k=>POST /other/k", "POST /search/k=>GET /", "X-Trace-Id: q1=>X-No: q1",
			"X-Trace-Id: q1=>X-Trace-Id: q 1", "X-Customer: acme=>X-Customer: nobody", "In-Ms: 2000=>In-Ms: soon",
			`"id":0=>"id":9`, `"expr"=>"text"`, "Content-Length: =>Content-Length: 9", "Content-Length: =>Transfer-Encoding: ",
			"HTTP/1.1=>HTTP/3", "Content-Length: 40\r\n=>", "POST /search/k HTTP/1.1\r\n=>POST /healthz HTTP/1.1\r\nExpect: 100-continue\r\n",
			`"w":1}=>"w":0.99}|Length: 40=>Length: 43`, `"w":1}=>"w":-1}`, `"w":1}=>"w":1.5}`, `"w":1}=>"w":"1"}`, `"w":1}=>"w":1},{"id":0,"w":1}`,
			`"id":0=>"id":0.0`, `"id":0=>"id":-1`, `"id":0=>"id":0,"id":0`, "In-Ms: 2000=>In-Ms: 2e3", "In-Ms: 2000=>In-Ms: 2000.5",
			"In-Ms: 2000=>In-Ms: -1", "In-Ms: 2000=>In-Ms: 0x7d0", "In-Ms: 2000=>In-Ms: ", "X-Customer: acme=>X-Customer: acme\r\nX-Customer: acme",
			"X-Trace-Id: q1=>X-Trace-Id: q1\r\n X-Folded: y", "X-Trace-Id: q1=>X-Trace-Id: q1\rX-Bare: y", "X-Trace-Id: q1=>X-Trace-Id: q1\x07",
			"Content-Length: =>Content-Length: -", "Content-Length: =>Transfer-Encoding: chunked\r\nContent-Length: ",
			"Content-Length: =>Content-Length: 40\r\nContent-Length: ", "Content-Length: 40=>Content-Length: 60000000",
			"HTTP/1.1=>HTTP/1.0|Content-Length: 40=>Transfer-Encoding: chunked", "POST /search/k=>POST search/k",
			"Content-Length: 40=>Transfer-Encoding: chunked\r\n\r\n-5", "Content-Length: 40=>Transfer-Encoding: chunked\r\n\r\nfffffffff",
			"POST=>\r\n\r\n\r\n\r\n\r\nPOST",
		} {
			st.say("---- %q", change)
			c, raw := st.connect(), good
			for one := range strings.SplitSeq(change, "|") {
				old, new, _ := strings.Cut(one, "=>")
				raw = strings.Replace(raw, old, new, 1)
			}
			st.ask(c, raw)
			c.Close()
			st.step()
		}
	})
}

// Requests in single bytes, in chunks, back to back, twice under one id, cut off, or without an end.
func TestOddRequests(t *testing.T) {
	play(t, "odd-requests", 1, nil, func(st *stage) {
		var held []func()
		st.leafAt("A", holding(&held))
		st.serve()
		c := st.connect()
		for _, b := range request("q1", "search", 2000, 0) {
			io.WriteString(c, string(b))
		}
		io.WriteString(c, request("q2", "search", 2000, 1)+request("q3", "search", 2000, 2))
		st.ask(st.connect(), request("q1", "search", 2000, 0))
		for range 3 {
			st.say("---- the leaf answers")
			answer := held[0]
			held = held[1:]
			answer()
			st.step()
		}
		st.say("---- chunks, after a 100")
		c = st.connect()
		body := `{"parts":[{"id":0,"w":1}],"expr":"text"}`
		head := "POST /search HTTP/1.1\r\nX-Trace-Id: q4\r\nX-Customer: acme\r\nX-Expires-In-Ms: 900\r\n"
		st.ask(c, head+"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n")
		st.ask(c, fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", body[:5], len(body)-5, body[5:]))
		held[0]()
		st.step()
		st.say("---- cut off, and never ended")
		c = st.connect()
		st.ask(c, head)
		c.Close()
		st.ask(st.connect(), head)
		st.pass(2600)
	})
}

// Clients that say nothing, that never end a head, or send nothing but empty lines: each is turned out soon.
// Where they hold all connections those that never asked make way, then requests that are long in coming.
func TestSlowClients(t *testing.T) {
	play(t, "slow-clients", 1, func(c *config.Config) { c.Limits.Sockets = 12 }, func(st *stage) {
		st.leafAt("A", answers)
		st.serve()
		st.say("---- silent, endless, empty")
		st.connect()
		endless, empty := st.connect(), st.connect()
		for range 8 {
			io.WriteString(endless, "GET /")
			st.pass(300)
		}
		for range 5 {
			st.ask(empty, "\r\n")
		}
		st.say("---- a usual one among those that say nothing")
		usual := st.connect()
		st.ask(usual, request("q1", "search", 2000, 0))
		for range 4 { // those that have been silent for a while go first, those that have just come do not
			st.pass(60)
			st.connect()
		}
		st.ask(usual, request("q2", "search", 2000, 0))
		st.pass(10)
		st.connect()
		st.pass(10)
		st.connect()
		st.pass(2300)
		st.say("---- a usual one among those that never end")
		for range 3 {
			st.ask(st.connect(), "POST")
			st.pass(10)
		}
		st.pass(300)
		st.ask(st.connect(), request("q3", "search", 2000, 0))
		st.pass(10)
		st.ask(st.connect(), request("q4", "search", 2000, 0))
		st.pass(11000)
	})
}

// The watch: a cut one, a silent one, one that goes back and one that makes no sense are opened anew.
func TestWatch(t *testing.T) {
	play(t, "watch", 1, nil, func(st *stage) {
		st.serve()
		st.news(5, false, server("B", "in_service", 0))
		st.feed <- "cut"
		st.pass(300)
		st.news(4, false)
		st.news(6, false, server("", "in_service", 0), server("B", "asleep", 0))
		st.pass(600)
		st.feed <- `{"generation":9,"instances":[{"instanceId":7}]}`
		st.pass(1100)
		st.feed <- "hush"
		st.pass(8000)
		st.feed <- "drip"
		st.pass(6000)
	})
}

// SIGHUP: the watch moves at once to where the new configuration says, from what it was told last, out of a
// silence or a pause as well, and also while draining; a faulty file changes nothing; one that knows less than
// was told is asked for all.
func TestReload(t *testing.T) {
	play(t, "reload", 1, nil, func(st *stage) {
		st.leafAt("A", answers)
		st.places["other"], st.places["third"] = st.discovery, st.discovery
		next := *st.cfg
		st.load = func() (*config.Config, error) { c := next; return &c, nil }
		st.serve()
		st.news(5, false, server("B", "in_service", 0))
		st.say("---- moves")
		next.Discovery, next.Listen = "other", "elsewhere"
		st.reloads <- syscall.SIGHUP
		st.step()
		st.news(6, false, server("B", "terminated", 0))
		st.ask(st.connect(), request("q1", "search", 2000, 0))
		st.say("---- a faulty file")
		good := st.load
		st.load = func() (*config.Config, error) { return nil, errors.New("settings.tick: missing or out of range") }
		st.reloads <- syscall.SIGHUP
		st.pass(10)
		st.load = good
		st.say("---- out of a pause, to one that knows less")
		st.feed <- "cut"
		st.pass(10)
		next.Discovery = "third"
		st.reloads <- syscall.SIGHUP
		st.pass(10)
		st.news(3, false)
		st.pass(600)
		st.news(4, true, server("A", "in_service", 0))
		st.say("---- while draining, out of a silence")
		st.feed <- "hush"
		st.signals <- syscall.SIGTERM
		st.told = true
		next.Discovery = "other"
		st.reloads <- syscall.SIGHUP
		st.pass(1000)
	})
}

// Leaves are replaced by new ones a thousand times over, under load: nothing is kept for those that are gone,
// and nothing for clients that are.
func TestLongDay(t *testing.T) {
	play(t, "long-day", 1, nil, func(st *stage) {
		st.leafAt("A", answers)
		st.places[at("0")] = st.places[at("A")]
		st.muted = true
		st.serve()
		old := st.cfg.Known.Servers[0]
		for i := range 1000 {
			next := server(fmt.Sprint("leaf", i), "in_service", 0)
			next.Address = at("0")
			st.news(2+2*i, false, next)
			old.Lifecycle = "terminated"
			st.news(3+2*i, false, old)
			old = next
			c := st.connect()
			st.ask(c, request(fmt.Sprint("q", i), "search", 2000, 0, 1))
			c.Close()
		}
		st.pass(3000)
		st.muted = false
		kept := make(chan string)
		st.owner.queue <- func(o *owner) {
			kept <- fmt.Sprintf("kept: %d leaves, %d listed, %d doors, %d connections, %d queries, %d parts, %d calls, "+
				"%d dues, %d clients", len(o.leaves), len(o.listed), len(o.doors), o.conns, len(o.queries), len(o.parts),
				len(o.calls), len(o.dues), len(o.door.conns))
		}
		st.say("%s", <-kept)
	})
}

// Where the list must be asked for, the module says when to try again.
func TestAskedList(t *testing.T) {
	play(t, "asked-list", 1, func(c *config.Config) { c.Settings.Module.AskForList = true }, func(st *stage) {
		st.serve()
		st.feed <- "cut"
		st.pass(1500)
	})
}

// Connections to leaves end before the leaf would end them; those of clients make way for new ones.
func TestLimits(t *testing.T) {
	play(t, "limits", 1, func(c *config.Config) { c.Limits.Sockets, c.Settings.OpenCap = 8, 3 }, func(st *stage) {
		var held []func()
		st.leafAt("A", holding(&held))
		st.serve()
		c := st.connect()
		st.ask(c, request("q1", "search", 2000, 0, 1))
		st.connect()
		st.step()
		d := st.connect() // the second makes way
		st.ask(d, request("q2", "search", 2000, 0))
		held[0]()
		st.pass(31000)
	})
}

// With a socket for one leaf only, the connection that is idle makes way; while it is in use, nothing is sent.
func TestLeafLimit(t *testing.T) {
	play(t, "leaf-limit", 2, func(c *config.Config) { c.Limits.Sockets = 4 }, func(st *stage) {
		st.leafAt("A", answers)
		st.leafAt("B", answers)
		st.serve()
		for i := range 4 {
			st.ask(st.connect(), request(fmt.Sprintf("q%d", i), "search", 2000, 0))
			st.pass(300)
		}
	})
}

// Reports that come with probes alone: probes are answered in order, and time out.
func TestProbes(t *testing.T) {
	change := func(c *config.Config) {
		c.Settings.Module.MayProbe, c.Settings.Module.ProbeReports = true, true
	}
	play(t, "probes", 2, change, func(st *stage) {
		st.leafAt("A", func(n int, frame string, conn net.Conn) {
			if frame[0] == 'U' {
				sendFrame(conn, "Uqueue=2,latency_ms=12")
				return
			}
			answers(n, frame, conn)
		})
		st.leafAt("B", func(int, string, net.Conn) {})
		st.serve()
		st.ask(st.connect(), request("q1", "search", 2000, 0, 1, 2, 3))
		st.ask(st.connect(), request("q2", "search", 2000, 0, 1, 2, 3))
		st.pass(300)
	})
}

// A turn that comes late finds answers and due times together: the answers count.
func TestPause(t *testing.T) {
	play(t, "pause", 1, nil, func(st *stage) {
		var held func()
		st.leafAt("A", func(n int, frame string, conn net.Conn) {
			held = func() { answers(n, frame, conn) }
		})
		st.serve()
		st.ask(st.connect(), request("q1", "search", 2000, 0))
		st.owner.queue <- func(*owner) { time.Sleep(1500 * time.Millisecond) }
		st.pass(500)
		held()
		st.pass(1500)
	})
}

// The same on real sockets of the loopback: one leaf that answers, and none behind the other's address.
func TestSockets(t *testing.T) {
	st := &stage{t: t, start: time.Now(), places: map[string]func(net.Conn) error{}}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	door, leaf, nobody := listen(), listen(), listen()
	nobody.Close()
	defer leaf.Close()
	st.leafAt("A", answers)
	go func() {
		for conn, err := leaf.Accept(); err == nil; conn, err = leaf.Accept() {
			st.places[at("A")](conn)
		}
	}()
	set, err := config.DecodeSettings(1, []byte(strings.Replace(settings, `"sets":1`, `"sets":2`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{More: config.DefaultFile(), Discovery: nobody.Addr().String(), Settings: set, Silence: time.Second, MostLine: 1000,
		Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 64}, DrainFor: time.Millisecond,
		RequestFor: time.Second, IdleFor: time.Second}
	cfg.Known.Servers = []config.Server{{ID: "A", Address: leaf.Addr().String(), Zone: "a", Lifecycle: "in_service"},
		{ID: "B", Address: nobody.Addr().String(), Zone: "a", Cell: 1, Lifecycle: "in_service"}}
	p := newProgram(context.Background(), cfg, door, dialTCP, zerolog.Nop())
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- p.run(Signals{End: signals}) }()
	conn, err := net.Dial("tcp", door.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in, got := bufio.NewReader(conn), ""
	for _, raw := range []string{request("q1", "file", 2000, 0, 2), request("q2", "file", 2000, 1)} {
		io.WriteString(conn, raw)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		got += fmt.Sprintf("%s, %v: %s\n", res.Status, err, body)
	}
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
	want := "200 OK, <nil>: " + `{"exact":true,"rows":[{"id":0,"data":"value of q1.0"},{"id":2,"data":"value of q1.2"}]}` +
		"\n503 Service Unavailable, <nil>: \n"
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// What a call tells its leaf is what is left to its client as it goes out, though its frame waited for the connection to come up,
// or for a leaf that did not read.
func TestWaitToldIsWhatIsLeft(t *testing.T) {
	play(t, "wait-told", 1, nil, func(st *stage) {
		st.leafAt("A", func(n int, frame string, conn net.Conn) {
			time.Sleep(200 * time.Millisecond)
			answers(n, frame, conn)
		})
		reads := st.places[at("A")]
		st.places[at("A")] = func(conn net.Conn) error {
			time.Sleep(200 * time.Millisecond)
			return reads(conn)
		}
		st.serve()
		st.ask(st.connect(), request("up-late", "search", 2000, 0))
		st.pass(250)
		st.ask(st.connect(), request("unread", "search", 2000, 0))
		st.pass(400)
	})
}

package router

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"moleshift/config"
	"moleshift/internal/golden"
)

// manners are what a call to discovery can meet that does not get the list.
var manners = []struct {
	name string
	meet func(conn net.Conn) // nil: no connection
	err  error               // of the dial; nil without a meeting: it never comes up
}{
	{name: "refused", err: errRefused},
	{name: "never up"},
	{name: "reset", meet: func(conn net.Conn) { conn.Close() }},
	{name: "up and silent", meet: func(conn net.Conn) { io.Copy(io.Discard, conn) }},
	{name: "head only", meet: says(okHead)},
	{name: "half an object", meet: says(okHead + chunk(`{"generation":2,"reset":true,"instances":[{"instanceId":"B","lif`))},
	{name: "half an object, dripping", meet: func(conn net.Conn) {
		go io.Copy(io.Discard, conn)
		io.WriteString(conn, okHead+chunk("{"))
		for {
			time.Sleep(300 * time.Millisecond)
			if _, err := io.WriteString(conn, chunk("\n ")); err != nil {
				return
			}
		}
	}},
	{name: "rubbish in chunks", meet: says(okHead + "zz\r\n")},
	{name: "rubbish for an object", meet: says(okHead + chunk("]\n"))},
	{name: "503", meet: says("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")},
	{name: "went back", meet: says(okHead + chunk(`{"generation":0,"reset":false,"instances":[]}`+"\n"))},
	{name: "no length, and reset", meet: func(conn net.Conn) {
		io.ReadFull(conn, make([]byte, len("GET /v1/servers?follow=1&since=1 HTTP/1.1\r\nHost: list\r\n")))
		go io.Copy(io.Discard, conn)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+`{"generation":2,"reset":true,"instances":[`)
		conn.Close()
	}},
}

const okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func says(text string) func(net.Conn) {
	return func(conn net.Conn) {
		gone := make(chan struct{})
		go func() { io.Copy(io.Discard, conn); close(gone) }()
		io.WriteString(conn, text)
		<-gone
	}
}

// agent is a discovery whose calls meet what met says by their number and time; "" is the list, with a life sign every
// 2 s until hushed. Its list has a change from the beginning on that is in every answer to since=1 and before.
type agent struct {
	st     *stage
	met    func(n int, at time.Duration) string
	slow   time.Duration                      // dials to it take so long
	from   time.Duration                      // calls before are quick and meet nothing, and are not counted
	hushed func(begun, at time.Duration) bool // one that began then
	n      atomic.Int32                       // calls so far
	change func(at time.Duration) bool        // there is one to be told
	cut    func(begun, at time.Duration) bool
	turn   func(gone <-chan struct{}) bool // a call waits there; false: it is answered 503. nil: it waits for nothing
}

// first has so many calls meet the trouble, and those behind them nothing.
func first(name string, most int) func(int, time.Duration) string {
	return func(n int, _ time.Duration) string {
		if n > 0 && n < most && name == "went back" { // one that has lost its memory gives the whole list to who asks for it
			return "reset"
		}
		if n < most {
			return name
		}
		return ""
	}
}

func (a *agent) since() time.Duration { return time.Since(a.st.start) }

// dial stands in for the network to the agent.
func (a *agent) dial(conn func() (net.Conn, net.Conn), gone <-chan struct{}) (net.Conn, error) {
	at := a.since()
	name, slow := "", time.Duration(0)
	if at >= a.from {
		name, slow = a.met(int(a.n.Add(1))-1, at), a.slow
	}
	for _, m := range manners {
		if m.name != name {
			continue
		}
		if m.meet == nil && m.err == nil {
			<-gone
			return nil, errors.New("never came up")
		}
		if m.err != nil {
			return nil, m.err
		}
		here, there := conn()
		go func() { m.meet(there); there.Close() }()
		return here, nil
	}
	select {
	case <-time.After(slow):
	case <-gone:
		return nil, errors.New("given up")
	}
	here, there := conn()
	go a.serve(there, at)
	return here, nil
}

// serve is the list as it should be, indented.
func (a *agent) serve(conn net.Conn, begun time.Duration) {
	defer conn.Close()
	gone := make(chan struct{})
	go func() { io.Copy(io.Discard, conn); close(gone) }()
	if a.turn != nil && !a.turn(gone) {
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	io.WriteString(conn, okHead+chunk("{\n  \"generation\": 1, \"reset\": false,\n  \"instances\": []\n}\n"))
	for beat := time.Now(); ; {
		if a.hushed(begun, a.since()) {
			<-gone
			return
		}
		if a.cut != nil && a.cut(begun, a.since()) {
			return
		}
		if a.change(a.since()) {
			io.WriteString(conn, chunk("{\n  \"generation\": 2,\n  \"instances\": [\n    {\"instanceId\": \"B\", \"lifecycle\": \"in_service\"}\n  ]\n}\n"))
			<-gone
			return
		}
		if time.Since(beat) >= 2*time.Second {
			io.WriteString(conn, chunk("\n"))
			beat = time.Now()
		}
		select {
		case <-gone:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// told plays a list that breaks in some way and is how long after it could have been told the change was.
func told(t *testing.T, change func(*config.Config), a *agent, from func() time.Duration, scene func(*stage)) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		set, err := config.DecodeSettings(1, []byte(settings))
		if err != nil {
			t.Fatal(err)
		}
		st := newStage(t, set)
		st.muted = true
		change(st.cfg)
		a.st = st
		at := time.Duration(-1)
		st.heard = func(line string) {
			if strings.Contains(line, "list entries=1 generation=2") && at < 0 {
				at = a.since()
			}
		}
		st.through = a.dial
		st.load = func() (*config.Config, error) { c := *st.cfg; c.Discovery = "elsewhere"; return &c, nil }
		st.serve()
		scene(st)
		time.Sleep(30 * time.Second)
		st.signals <- syscall.SIGTERM
		<-st.ended
		if took = at - from(); at < 0 {
			took = time.Hour
		}
	})
	return took
}

const waits = 2 * time.Second // of a call for its turn

// Where the list is asked for, calls wait for their turn, and one that is made beside another fails both: one that waits is let
// wait, however many routers ask at once.
func TestCallWaitsForItsTurn(t *testing.T) {
	for i, wait := range []time.Duration{0, time.Second, waits, 0, time.Second, waits} {
		open, dial := atomic.Int32{}, time.Duration(i/3)*1500*time.Millisecond
		a := &agent{slow: dial, hushed: func(_, _ time.Duration) bool { return false }, met: func(int, time.Duration) string { return "" },
			change: func(time.Duration) bool { return true }}
		a.turn = func(gone <-chan struct{}) bool {
			if open.Add(1) > 1 {
				open.Store(100) // and who waits fails as well
				return false
			}
			defer open.Store(0)
			select {
			case <-time.After(wait):
				return open.Load() == 1
			case <-gone:
				return false
			}
		}
		took := told(t, func(c *config.Config) { c.Settings.Module.AskForList, c.Silence = true, config.Silence }, a,
			func() time.Duration { return 0 }, func(*stage) {})
		if took > dial+wait+100*time.Millisecond {
			t.Errorf("a dial of %v, a call that waits %v: told after %v", dial, wait, took)
		}
	}
}

// A change counts as told 6 s after discovery had it and could be reached, whatever calls met before; where a watch
// fell silent, 6 s after that, though the next call meets a further trouble and dials take 1.5 s; 4 s after SIGHUP.
// The table has the longest times, over moments at which things come back.
func TestToldInTime(t *testing.T) {
	const slow = 1500 * time.Millisecond
	never := func(_, _ time.Duration) bool { return false }
	modes := []struct {
		name   string
		waits  bool // a call may wait for its turn
		change func(*config.Config)
	}{
		{"pushed", false, func(*config.Config) {}},
		{"asked for", true, func(c *config.Config) { c.Settings.Module.AskForList = true }},
		{"pace on", false, func(c *config.Config) {
			c.Name, c.Settings.Module.Roots = "n42", 1000
			c.More.Pace.Enabled = true
		}},
	}
	out := ""
	for _, mode := range modes {
		change := func(c *config.Config) {
			mode.change(c)
			c.Silence = config.Silence
		}
		out += mode.name + ": longest s from when it could be reached (6), fell silent (6; with two calls in trouble), was reset (6), was moved (4)\n"
		for _, m := range manners {
			worst := [5]time.Duration{}
			for _, dial := range []time.Duration{0, slow} {
				for phase := range 12 {
					// Discovery is down from 3 s on, and every call meets the trouble until it is back.
					back := 4*time.Second + time.Duration(phase)*430*time.Millisecond
					after := func(at time.Duration) bool { return at >= back }
					a := &agent{slow: dial, hushed: func(_, at time.Duration) bool { return at >= 3*time.Second && !after(at) }, change: after,
						met: func(n int, at time.Duration) string {
							if n > 0 && !after(at) {
								return m.name
							}
							return ""
						}}
					worst[0] = max(worst[0], told(t, change, a, func() time.Duration { return back }, func(*stage) {}))
				}
				// A watch falls silent, or is reset, and the next calls meet the trouble: one, or two in a row.
				const quiet = 4100 * time.Millisecond // right behind a sign of life
				for i, most := range []int{1, 2} {
					a := &agent{slow: dial, from: quiet, change: func(at time.Duration) bool { return at > quiet+time.Millisecond },
						hushed: func(begun, at time.Duration) bool { return begun < quiet && at >= quiet }, met: first(m.name, most)}
					worst[1+i] = max(worst[1+i], told(t, change, a, func() time.Duration { return quiet }, func(*stage) {}))
				}
				a := &agent{slow: dial, from: quiet, met: first(m.name, 1), hushed: never, change: func(at time.Duration) bool { return at > quiet+time.Millisecond }}
				a.cut = func(begun, at time.Duration) bool { return begun < quiet && at >= quiet }
				worst[3] = max(worst[3], told(t, change, a, func() time.Duration { return quiet }, func(*stage) {}))
				// SIGHUP moves it, and the first call at the new address meets the trouble.
				a = &agent{slow: dial, from: quiet, met: first(m.name, 1), hushed: never, change: func(time.Duration) bool { return a.n.Load() > 0 }}
				worst[4] = max(worst[4], told(t, change, a, func() time.Duration { return quiet }, func(st *stage) {
					time.Sleep(quiet)
					st.reloads <- syscall.SIGHUP
				}))
			}
			out += fmt.Sprintf("  %-26s", m.name)
			bounds := []time.Duration{6 * time.Second, 6 * time.Second, 6 * time.Second, 6 * time.Second, 4 * time.Second}
			if mode.waits && m.meet != nil { // calls may wait there, so that counts 2 s after the second one's wait, each being one of 2 s
				bounds[2] = config.Silence + 2*waits + 2*time.Second
			}
			for i, most := range bounds {
				out += fmt.Sprintf("  %5.2f", worst[i].Seconds())
				if worst[i] > most {
					t.Errorf("%s, %s: told after %v, case %d", mode.name, m.name, worst[i], i)
				}
			}
			out += "\n"
		}
	}
	golden.Check(t, "told", out)
}

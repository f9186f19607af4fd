// Package inflight keeps what all routers together have in flight at each server: this router's own work, and what the others told
// of theirs.
//
// Routers tell one another what changed, as absolute figures, so that an account that is lost or late is put right by the next one;
// at a steady interval each tells everything. What a router told is dropped once it is gone or has been silent for too long. The
// package is pure: it takes the time as an argument, sends nothing and decides nothing.
package inflight

import (
	"sort"
	"time"
)

const (
	// WholeEvery is how often a router tells all that it has in flight, not just what changed.
	WholeEvery = 2 * time.Second
	// silentAfter is how long after its last account a router's figures are no longer counted.
	silentAfter = 3 * WholeEvery
)

// Load is work at a server.
type Load struct {
	Tokens   float64 // still to be worked off, as the choice of servers counts it
	Requests int
}

// plus gives the sum of two loads.
func (l Load) plus(other Load) Load {
	return Load{Tokens: l.Tokens + other.Tokens, Requests: l.Requests + other.Requests}
}

// minus takes a load off; rounding never leaves less than nothing.
func (l Load) minus(other Load) Load {
	return Load{Tokens: max(l.Tokens-other.Tokens, 0), Requests: max(l.Requests-other.Requests, 0)}
}

// At is the load at one server.
type At struct {
	Server string
	Load   Load
}

// Account is what one router tells of its own work.
type Account struct {
	Router string
	Number uint64 // rises with each account of a router
	Whole  bool   // the list is all that the router has in flight; otherwise what changed
	List   []At
}

// account is what another router told.
type account struct {
	number uint64
	at     time.Duration
	loads  map[string]Load
}

// Table may not be used by several goroutines at once.
type Table struct {
	self    string
	own     map[string]Load
	changed map[string]bool
	number  uint64
	whole   time.Duration // when everything was told last
	told    bool          // everything was told at least once

	others map[string]*account
	sums   map[string]Load // by server: over others
}

// New makes the table of the router with the given ID.
func New(self string) *Table {
	return &Table{
		self: self, own: map[string]Load{}, changed: map[string]bool{}, others: map[string]*account{}, sums: map[string]Load{},
	}
}

// Add puts work of this router's own on a server's books.
func (t *Table) Add(server string, more Load) { t.setOwn(server, t.own[server].plus(more)) }

// Lower takes work of this router's own off a server's books.
func (t *Table) Lower(server string, less Load) { t.setOwn(server, t.own[server].minus(less)) }

func (t *Table) setOwn(server string, load Load) {
	t.changed[server] = true
	if load.Requests == 0 {
		delete(t.own, server)
		return
	}
	t.own[server] = load
}

// Own is the work that this router has in flight at a server.
func (t *Table) Own(server string) Load { return t.own[server] }

// Total is the work in flight at a server, as far as it is known.
func (t *Table) Total(server string) Load { return t.own[server].plus(t.sums[server]) }

// Tell gives the account that the other routers are due: what changed since the last one, or everything. nil: nothing is due. Called
// steadily, it also forgets what routers told that have been silent for too long.
func (t *Table) Tell(now time.Duration) *Account {
	t.keep(func(_ string, o *account) bool { return now-o.at <= silentAfter })
	whole := !t.told || now-t.whole >= WholeEvery
	if !whole && len(t.changed) == 0 {
		return nil
	}
	t.number++
	a := &Account{Router: t.self, Number: t.number, Whole: whole}
	if whole {
		t.told, t.whole = true, now
		for server, load := range t.own {
			a.List = append(a.List, At{server, load})
		}
	} else {
		for server := range t.changed {
			a.List = append(a.List, At{server, t.own[server]})
		}
	}
	sort.Slice(a.List, func(i, j int) bool { return a.List[i].Server < a.List[j].Server })
	clear(t.changed)
	return a
}

// Take notes the account of another router. One that is older than the newest taken changes nothing: the next whole one puts right
// what it would have told.
func (t *Table) Take(now time.Duration, a *Account) {
	if a.Router == t.self {
		return
	}
	o := t.others[a.Router]
	if o == nil {
		o = &account{loads: map[string]Load{}}
		t.others[a.Router] = o
	}
	if a.Number <= o.number {
		return
	}
	o.number, o.at = a.Number, now
	if a.Whole {
		t.drop(o)
	}
	for _, at := range a.List {
		t.set(o, at)
	}
}

// set replaces what a router has at one server.
func (t *Table) set(o *account, at At) {
	t.lower(at.Server, o.loads[at.Server])
	if at.Load.Requests == 0 {
		delete(o.loads, at.Server)
		return
	}
	o.loads[at.Server] = at.Load
	t.sums[at.Server] = t.sums[at.Server].plus(at.Load)
}

// drop takes all that a router told off the sums.
func (t *Table) drop(o *account) {
	for server, load := range o.loads {
		t.lower(server, load)
	}
	clear(o.loads)
}

func (t *Table) lower(server string, load Load) {
	sum := t.sums[server].minus(load)
	if sum.Requests == 0 {
		delete(t.sums, server)
		return
	}
	t.sums[server] = sum
}

// Keep forgets what routers told that are not among those listed.
func (t *Table) Keep(listed func(router string) bool) {
	t.keep(func(router string, _ *account) bool { return listed(router) })
}

func (t *Table) keep(wanted func(router string, o *account) bool) {
	for router, o := range t.others {
		if !wanted(router, o) {
			t.drop(o)
			delete(t.others, router)
		}
	}
}

// Others is the work that the other routers told of at a server.
func (t *Table) Others(server string) Load { return t.sums[server] }

// Heard is how many other routers' accounts are counted.
func (t *Table) Heard() int { return len(t.others) }

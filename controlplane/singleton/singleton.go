// Package singleton decides who acts alone: the holder of a lease that a register keeps, under an epoch that only grows.
//
// The holder renews by writing to the register. Others watch: a lease that has not changed for Guard, by the watcher's own steady
// clock, may be taken. The holder acts only within Use of the moment at which it began its last renewal that succeeded. So between
// the last act of one holder and the first of the next there lies at least Guard - Use, whatever clocks say and whoever stood
// still: a watcher first saw the last renewal after it began.
// The package is pure: it must never read a clock or a socket.
package singleton

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -file singleton.go -tests=false -o singleton_gen.go

import "time"

// Lease is what the register keeps.
type Lease struct {
	Holder  string `msg:"h"` // incarnation of the node that holds it; empty: nobody ever did
	Epoch   uint64 `msg:"e"` // grows with every new holder: the fencing token
	Renewal uint64 `msg:"r"`
}

// Settings are the figures of a lease.
type Settings struct {
	Use   time.Duration // a holder acts this long after a renewal
	Guard time.Duration // a watcher waits this long after the last change; Guard - Use is the rest between two holders
	Gone  time.Duration // the same where the holder is known to have ended or to reach nobody; over Use. 0: as Guard
}

// Watch is one node's view of the lease.
type Watch struct {
	set   Settings
	self  string
	lease Lease
	since time.Duration // when lease was first seen
	seen  bool
	until time.Duration // this node may act until then
}

// NewWatch makes the view of the node self.
func NewWatch(set Settings, self string) *Watch { return &Watch{set: set, self: self} }

// Observe takes what the register holds.
func (w *Watch) Observe(now time.Duration, lease Lease) {
	if !w.seen || lease != w.lease {
		w.lease, w.since, w.seen = lease, now, true
	}
	if lease.Holder != w.self {
		w.until = 0
	}
}

// MayTake tells whether this node may try to become the holder. gone tells that the present one is known to have ended, or to reach
// nobody: it then has no rest to be left after its last act.
func (w *Watch) MayTake(now time.Duration, gone bool) bool {
	if !w.seen {
		return false
	}
	guard := w.set.Guard
	if gone && w.set.Gone > w.set.Use {
		guard = w.set.Gone
	}
	return w.lease.Holder == "" || w.lease.Holder == w.self || now-w.since >= guard
}

// Next is the lease to write: it follows the one that was observed, and is to be written only over that one.
func (w *Watch) Next() (over, next Lease) {
	next = w.lease
	next.Renewal++
	if w.lease.Holder != w.self {
		next.Holder = w.self
		next.Epoch++
	}
	return w.lease, next
}

// Written notes that Next, begun at the given time, is in the register.
func (w *Watch) Written(began, now time.Duration, lease Lease) {
	w.Observe(now, lease)
	w.until = began + w.set.Use
}

// Holds tells whether this node may act now, and under which epoch.
func (w *Watch) Holds(now time.Duration) (epoch uint64, ok bool) {
	return w.lease.Epoch, w.lease.Holder == w.self && now < w.until
}

// Renew tells whether it is time to write the lease again.
func (w *Watch) Renew(now time.Duration) bool { return w.until-now < w.set.Use/2 }

// Package registry is the table of servers: which incarnations live, where, and in what state.
//
// Entries join: of two accounts of one incarnation the one with the higher sequence holds, and an end is final. So tables that
// have heard the same agree in whatever order they heard it, and replicas repair one another by passing entries on.
// It is pure: it must never open a socket, and takes the time as an argument.
package registry

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"moleshift/peer"
)

// The states of an instance, in the order in which they can follow one another.
const (
	Ready = iota
	Draining
	Gone
)

// Settings are a table's figures.
type Settings struct {
	Silence time.Duration // without a heartbeat for so long, an instance is marked silent
	Keep    time.Duration // a gone or silent entry is kept this long: longer than a heartbeat may be late
	Ends    int           // entries of gone instances that are kept at the most; the oldest give way
	Loading time.Duration // the loading of weights is taken for over after this long, whatever was told
}

type entry struct {
	instance peer.Instance
	heard    time.Duration // when a heartbeat was last known of, at this replica or at another
	changed  uint64        // revision of the last change that routers must hear of
	ended    time.Duration // when it became gone
	loading  time.Duration // since when it loads weights, where it does
}

// Table is one replica of the table.
type Table struct {
	set      Settings
	entries  map[string]*entry
	revision uint64
	floor    uint64 // deltas from revisions below this one are not known any more
	ends     uint64 // rises with each instance that begins to leave or is gone
}

// New makes an empty table.
func New(set Settings) *Table { return &Table{set: set, entries: map[string]*entry{}} }

// Revision rises with every change that routers must hear of.
func (t *Table) Revision() uint64 { return t.revision }

// Len is the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// newer tells whether b's account supersedes a's.
func newer(a, b *peer.Instance) bool {
	if a.State == Gone || b.State == Gone {
		return a.State != Gone
	}
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State, b.State)) < 0
}

// same tells whether two accounts differ in nothing that routers must hear of.
func same(a, b *peer.Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.State == b.State && a.Silent == b.Silent && a.Loading == b.Loading && slices.Equal(a.Models, b.Models)
}

// joinModels gives the newest weights of either account: an incarnation never goes back.
func joinModels(a, b []peer.Model) []peer.Model {
	out := slices.Clone(b)
	for _, m := range a {
		i := slices.IndexFunc(out, func(o peer.Model) bool { return o.Name == m.Name })
		switch {
		case i < 0:
			out = append(out, m)
		case out[i].Version < m.Version:
			out[i].Version = m.Version
		}
	}
	return out
}

// Take joins an account of an instance into the table, and tells whether anything changed that others must hear of.
// first says that its heartbeat came just now; otherwise another replica told of it. The end of an instance of which nothing is known is
// kept too: a heartbeat of before it may still come, and another replica may not know of the end.
func (t *Table) Take(now time.Duration, in peer.Instance, first bool) bool {
	e := t.entries[in.ID]
	if e == nil {
		if in.State != Gone {
			t.endOthers(now, &in)
		}
		in.Silent = in.Silent && !first
		t.add(now, in)
		return true
	}
	if first && e.instance.State != Gone {
		e.heard = now
	}
	before := e.instance
	if !newer(&e.instance, &in) {
		if e.instance.State == Gone {
			return false
		}
		e.instance.Silent = e.instance.Silent && !first
		e.instance.Models = joinModels(in.Models, e.instance.Models)
		return t.markIfNew(e, &before)
	}
	// A draining instance never becomes ready again, whatever a later account says.
	state := max(before.State, in.State)
	if in.Address == "" { // an end that is told by the identity alone
		in = before
	}
	in.Models = joinModels(before.Models, in.Models)
	e.instance = in
	e.instance.State, e.instance.Loading = state, before.Loading
	e.instance.Silent = in.Silent && !first
	t.noteEnd(now, e, before.State)
	return t.markIfNew(e, &before)
}

// Restore puts an account into the table as it stood before the process started.
func (t *Table) Restore(now time.Duration, in peer.Instance) {
	if e := t.entries[in.ID]; e != nil {
		before := e.instance.State
		e.instance.State = max(before, in.State)
		t.noteEnd(now, e, before)
		return
	}
	t.add(now, in)
}

// add makes an entry.
func (t *Table) add(now time.Duration, in peer.Instance) {
	e := &entry{instance: in, heard: now}
	t.entries[in.ID] = e
	t.noteEnd(now, e, Ready)
	t.mark(e)
}

// noteEnd notes an instance that has begun to leave or is gone, against its state before.
func (t *Table) noteEnd(now time.Duration, e *entry, before int) {
	if e.instance.State == before {
		return
	}
	t.ends++
	if e.instance.State == Gone {
		e.ended = now
		t.boundEnds(e)
	}
}

// boundEnds forgets the instance that has been gone for longest, where too many are kept beside the newest.
func (t *Table) boundEnds(newest *entry) {
	count, oldest := 1, ""
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		if e.instance.State != Gone || e == newest {
			continue
		}
		count++
		if oldest == "" || e.ended < t.entries[oldest].ended {
			oldest = id
		}
	}
	if t.set.Ends > 0 && count > t.set.Ends && oldest != "" {
		t.forget(oldest)
	}
}

// EndsRevision rises with each instance that begins to leave or is gone.
func (t *Table) EndsRevision() uint64 { return t.ends }

// Ended lists the instances that leave or are gone, by identity.
func (t *Table) Ended() []peer.Instance {
	var list []peer.Instance
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if in := t.entries[id].instance; in.State != Ready {
			list = append(list, in)
		}
	}
	return list
}

func (t *Table) markIfNew(e *entry, before *peer.Instance) bool {
	if same(before, &e.instance) {
		return false
	}
	t.mark(e)
	return true
}

// SetLoading notes whether an instance loads new weights; routers then prefer others. It is to be noted again and again: whoever
// orders the load may be gone.
func (t *Table) SetLoading(now time.Duration, id string, loading bool) {
	e := t.entries[id]
	if e == nil {
		return
	}
	e.loading = now
	if e.instance.Loading != loading {
		e.instance.Loading = loading
		t.mark(e)
	}
}

// Live lists the instances that are neither gone nor silent, by identity.
func (t *Table) Live() []peer.Instance {
	var list []peer.Instance
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if in := t.entries[id].instance; in.State != Gone && !in.Silent {
			list = append(list, in)
		}
	}
	return list
}

// endOthers ends the incarnations that had the address of a new one.
func (t *Table) endOthers(now time.Duration, in *peer.Instance) {
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		if e != nil && e.instance.Address == in.Address && e.instance.State != Gone {
			t.end(now, e)
		}
	}
}

// End marks an instance as gone, and tells whether it was known and not gone.
func (t *Table) End(now time.Duration, id string) bool {
	e := t.entries[id]
	if e == nil || e.instance.State == Gone {
		return false
	}
	t.end(now, e)
	return true
}

func (t *Table) end(now time.Duration, e *entry) {
	before := e.instance.State
	e.instance.State = Gone
	t.noteEnd(now, e, before)
	t.mark(e)
}

// Heard notes that another replica had a heartbeat of the instance.
func (t *Table) Heard(now time.Duration, id string) {
	e := t.entries[id]
	if e == nil || e.instance.State == Gone {
		return
	}
	e.heard = now
	if e.instance.Silent {
		e.instance.Silent = false
		t.mark(e)
	}
}

// Sweep marks instances that have been silent for too long and forgets old entries.
func (t *Table) Sweep(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		switch {
		case e.instance.State == Gone && now-e.ended > t.set.Keep, now-e.heard > t.set.Silence+t.set.Keep:
			t.forget(id)
		case e.instance.State != Gone && !e.instance.Silent && now-e.heard > t.set.Silence:
			e.instance.Silent = true
			t.mark(e)
		}
		if e.instance.Loading && now-e.loading > t.set.Loading {
			e.instance.Loading = false
			t.mark(e)
		}
	}
}

// forget drops an entry; replicas and routers that had it need the whole table.
func (t *Table) forget(id string) {
	delete(t.entries, id)
	t.revision++
	t.floor = t.revision
}

// Pause is told that this replica stood still or was alone: what was not heard in that time is not silence.
func (t *Table) Pause(now time.Duration) {
	for _, e := range t.entries {
		e.heard = now
	}
}

func (t *Table) mark(e *entry) {
	t.revision++
	e.changed = t.revision
}

// Get gives the account of an instance.
func (t *Table) Get(id string) (peer.Instance, bool) {
	e := t.entries[id]
	if e == nil {
		return peer.Instance{}, false
	}
	return e.instance, true
}

// Since gives what changed after a revision; full tells that it is the whole table.
func (t *Table) Since(revision uint64) (list []peer.Instance, full bool) {
	full = revision < t.floor || revision > t.revision || revision == 0
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[id]; full || e.changed > revision {
			list = append(list, e.instance)
		}
	}
	return list, full
}

// Digest sums up the table: replicas whose digests are the same agree.
func (t *Table) Digest() uint64 {
	var sum uint64
	for id, e := range t.entries {
		if e.instance.State == Gone {
			continue // they are forgotten at different moments
		}
		h := fnv.New64a()
		h.Write([]byte(id))
		h.Write([]byte{byte(e.instance.State)})
		for _, m := range e.instance.Models {
			h.Write([]byte(m.Name))
			h.Write(binary.LittleEndian.AppendUint64(nil, uint64(m.Version)))
		}
		sum += h.Sum64()
	}
	return sum
}

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
	"math"
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
	Keep    time.Duration // a gone or silent entry is kept this long after its last call: longer than a heartbeat may be late
	Ends    int           // beside so many gone entries, the end of an instance that was never heard of is refused
	Loading time.Duration // the loading of weights is taken for over after this long, whatever was told
	Replace time.Duration // of two incarnations at one address, the one heard so much earlier is replaced
}

// neverHeard is before every heartbeat: an account from disk, or of another replica, is no sign of life.
const neverHeard = time.Duration(math.MinInt64 / 2)

type entry struct {
	instance peer.Instance
	heard    time.Duration // from when on its silence counts: its last heartbeat, or when this replica learned of it
	beat     time.Duration // when its last heartbeat came here or to another replica; neverHeard: none that is known of
	changed  uint64        // revision of the last change that routers must hear of
	ended    time.Duration // when it became gone
	loading  time.Duration // since when it loads weights, where it does
}

// Table is one replica of the table.
type Table struct {
	set      Settings
	entries  map[string]*entry
	places   map[string][]*entry // by address
	revision uint64
	floor    uint64 // deltas from revisions below this one are not known any more
	ends     uint64 // rises with each instance that begins to leave or is gone
}

// New makes an empty table.
func New(set Settings) *Table {
	return &Table{set: set, entries: map[string]*entry{}, places: map[string][]*entry{}}
}

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
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Version == b.Version && a.Slots == b.Slots &&
		a.State == b.State && a.Silent == b.Silent && a.Loading == b.Loading && a.Replaced == b.Replaced && slices.Equal(a.Models, b.Models)
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
// kept too, unless there are too many ends: a heartbeat of before it may still come, and another replica may not know of the end.
func (t *Table) Take(now time.Duration, in peer.Instance, first bool) bool {
	e := t.entries[in.ID]
	if e == nil {
		if !first && in.State == Ready && (in.Silent || in.Replaced) {
			return false // it will be heard if it lives; replicas that forget at different moments would remind one another for ever
		}
		if in.State == Gone && t.set.Ends > 0 && t.countGone() >= t.set.Ends {
			return false // none of the others may be forgotten for it: they were acknowledged
		}
		in.Silent, in.Replaced = false, false
		e = t.add(now, in)
		t.sign(now, e, first)
		return true
	}
	before := e.instance
	if newer(&before, &in) {
		t.supersede(now, e, in)
	} else if before.State != Gone {
		e.instance.Models = joinModels(in.Models, before.Models)
	}
	t.sign(now, e, first)
	return t.markIfNew(e, &before)
}

// supersede takes a newer account of an instance over. One that is draining never becomes ready again, whatever a later account says.
func (t *Table) supersede(now time.Duration, e *entry, in peer.Instance) {
	before := e.instance
	if in.Address == "" { // an end that is told by the identity alone
		state := in.State
		in = before
		in.State = state
	}
	in.Models = joinModels(before.Models, in.Models)
	in.State = max(before.State, in.State)
	in.Silent, in.Loading, in.Replaced = before.Silent, before.Loading, before.Replaced
	t.leavePlace(e)
	e.instance = in
	t.takePlace(e)
	t.noteEnd(now, e, before.State)
}

// sign notes a sign of life, where an account came with a heartbeat.
func (t *Table) sign(now time.Duration, e *entry, first bool) {
	switch {
	case first && e.instance.State == Gone:
		e.ended = now // it serves on, or a call of it was late: its end is remembered for as long again
	case first:
		e.heard, e.beat = now, now
		e.instance.Silent = false
	}
	t.settlePlace(e.instance.Address)
}

func (t *Table) takePlace(e *entry) {
	address := e.instance.Address
	t.places[address] = append(t.places[address], e)
}

func (t *Table) leavePlace(e *entry) {
	address := e.instance.Address
	left := slices.DeleteFunc(t.places[address], func(other *entry) bool { return other == e })
	if len(left) == 0 {
		delete(t.places, address)
		return
	}
	t.places[address] = left
}

// settlePlace marks the incarnations at an address that were heard much earlier than another one there: a server restarted. Which one
// is younger no account tells, and a heartbeat may come late: so that is not final, and nobody that was heard lately is marked.
func (t *Table) settlePlace(address string) {
	latest := neverHeard
	for _, e := range t.places[address] {
		latest = max(latest, e.beat)
	}
	if latest == neverHeard || address == "" {
		return
	}
	for _, e := range t.places[address] {
		replaced := e.instance.State != Gone && latest-e.beat > t.set.Replace
		if e.instance.Replaced != replaced {
			e.instance.Replaced = replaced
			t.mark(e)
		}
	}
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
func (t *Table) add(now time.Duration, in peer.Instance) *entry {
	e := &entry{instance: in, heard: now, beat: neverHeard}
	t.entries[in.ID] = e
	t.takePlace(e)
	t.noteEnd(now, e, Ready)
	t.mark(e)
	return e
}

// noteEnd notes an instance that has begun to leave or is gone, against its state before.
func (t *Table) noteEnd(now time.Duration, e *entry, before int) {
	if e.instance.State == before {
		return
	}
	t.ends++
	if e.instance.State == Gone {
		e.ended = now
	}
}

// countGone counts the entries of gone instances.
func (t *Table) countGone() int {
	count := 0
	for _, e := range t.entries {
		if e.instance.State == Gone {
			count++
		}
	}
	return count
}

// EndsRevision rises with each instance that begins to leave or is gone.
func (t *Table) EndsRevision() uint64 { return t.ends }

// Ended lists the instances that leave or are gone, by identity; of those that are gone nothing but that.
func (t *Table) Ended() []peer.Instance {
	var list []peer.Instance
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		switch in := t.entries[id].instance; in.State {
		case Gone:
			list = append(list, peer.Instance{ID: id, State: Gone})
		case Draining:
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

// Live lists the instances that are neither gone nor silent nor replaced, by identity.
func (t *Table) Live() []peer.Instance {
	var list []peer.Instance
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if in := t.entries[id].instance; in.State != Gone && !in.Silent && !in.Replaced {
			list = append(list, in)
		}
	}
	return list
}

// Remaining lists the instances that take requests as far as is known, silent ones among them, by identity.
func (t *Table) Remaining() []peer.Instance {
	var list []peer.Instance
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if in := t.entries[id].instance; in.State == Ready && !in.Replaced {
			list = append(list, in)
		}
	}
	return list
}

// Heard notes that another replica had a heartbeat of the instance.
func (t *Table) Heard(now time.Duration, id string) {
	e := t.entries[id]
	if e == nil {
		return
	}
	before := e.instance
	t.sign(now, e, true)
	t.markIfNew(e, &before)
}

// Silent lists the instances that are silent and not known to be gone, by identity; so many at the most.
func (t *Table) Silent(most int) []string {
	var list []string
	for id, e := range t.entries {
		if e.instance.Silent && e.instance.State != Gone {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list[:min(most, len(list))]
}

// Sweep marks instances that have been silent for too long and forgets old entries.
func (t *Table) Sweep(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		switch {
		case e.instance.State == Gone && now-e.ended > t.set.Keep, e.instance.State != Gone && now-e.heard > t.set.Silence+t.set.Keep:
			t.forget(id)
		case e.instance.State != Gone && !e.instance.Silent && now-e.heard > t.set.Silence:
			e.instance.Silent = true
			t.mark(e)
		}
		t.settlePlace(e.instance.Address)
		if e.instance.Loading && now-e.loading > t.set.Loading {
			e.instance.Loading = false
			t.mark(e)
		}
	}
}

// forget drops an entry; replicas and routers that had it need the whole table.
func (t *Table) forget(id string) {
	t.leavePlace(t.entries[id])
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
		if e.instance.State == Gone || e.instance.Silent || e.instance.Replaced {
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

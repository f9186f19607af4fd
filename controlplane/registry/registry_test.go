package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"moleshift/peer"
)

var set = Settings{Silence: 4 * time.Second, Keep: time.Minute, Loading: 3 * time.Second, Replace: 1500 * time.Millisecond}

func instance(id string, sequence int64, state int) peer.Instance {
	return peer.Instance{ID: id, Service: "llm", Address: id + ":1", Zone: "a", Sequence: sequence, State: state, Models: []peer.Model{{Name: "m", Version: 1}}}
}

// end is the account of an end, which has no more than the identity.
func end(id string) peer.Instance { return peer.Instance{ID: id, State: Gone} }

// at gives an account of another incarnation at the address of i1.
func at(id string, sequence int64) peer.Instance {
	in := instance(id, sequence, Ready)
	in.Address = "i1:1"
	return in
}

func replaced(t *testing.T, table *Table, id string) bool {
	t.Helper()
	in, ok := table.Get(id)
	must.True(t, ok)
	must.NotEq(t, Gone, in.State)
	return in.Replaced
}

// Tables that heard the same accounts agree, in whatever order and however often they heard them.
func TestTablesThatHeardTheSameAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) peer.Instance {
			in := instance(rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "id"), int64(rapid.IntRange(1, 6).Draw(t, "sequence")), Ready)
			// What a server says is a function of its sequence: it drains from 4 on, and loaded new weights at 3.
			if in.Sequence >= 4 {
				in.State = Draining
			}
			if in.Sequence >= 3 {
				in.Models[0].Version = 2
			}
			return in
		}), 1, 12).Draw(t, "accounts")
		order := rapid.Permutation(accounts).Draw(t, "order")
		a, b := New(set), New(set)
		for _, in := range accounts {
			a.Take(0, clone(in), true)
		}
		for _, in := range append(slices.Clone(order), order...) {
			b.Take(0, clone(in), false)
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("%v differs from %v", entries(a), entries(b))
		}
	})
}

func clone(in peer.Instance) peer.Instance {
	in.Models = slices.Clone(in.Models)
	return in
}

func entries(t *Table) []peer.Instance {
	list, _ := t.Since(0)
	return list
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	table := New(set)
	must.True(t, table.Take(0, instance("i1", 5, Draining), true))
	must.False(t, table.Take(0, instance("i1", 4, Ready), true), must.Sprint("a heartbeat of before it drained"))
	must.False(t, table.Take(0, instance("i1", 6, Ready), true), must.Sprint("draining is not taken back"))
	in, _ := table.Get("i1")
	must.Eq(t, Draining, in.State)
	must.True(t, table.Take(0, end("i1"), true))
	must.False(t, table.Take(0, instance("i1", 9, Ready), true), must.Sprint("an end is final"))
}

func TestNewIncarnationReplacesTheOneAtItsAddress(t *testing.T) {
	table := New(set)
	table.Take(0, instance("i1", 1, Ready), true)
	revision := table.Revision()
	table.Take(2*time.Second, at("i2", 1), true)
	must.True(t, replaced(t, table, "i1"))
	must.False(t, replaced(t, table, "i2"))
	must.Len(t, 1, table.Live())
	list, _ := table.Since(revision)
	must.Len(t, 2, list, must.Sprint("routers are told of both"))
	must.True(t, table.Take(2*time.Second, end("i2"), true))
	must.True(t, replaced(t, table, "i1"), must.Sprint("the end of the younger brings the older back"))
}

// Guards against a living server being taken for gone: an account of an older incarnation from an old record, however it comes, hides
// nobody who is heard, and gives way as soon as the younger one is heard.
func TestOlderIncarnationFromARecordHidesNobody(t *testing.T) {
	t.Run("told to a replica that hears the younger", func(t *testing.T) {
		table := New(set)
		table.Take(0, at("i2", 1), true)
		table.Take(time.Second, instance("i1", 900, Ready), false)
		must.False(t, replaced(t, table, "i2"))
		must.True(t, replaced(t, table, "i1"))
	})
	t.Run("recalled before the younger is heard", func(t *testing.T) {
		table := New(set)
		table.Restore(0, instance("i1", 900, Ready))
		must.Len(t, 1, table.Live(), must.Sprint("until others are heard it is what is known"))
		table.Take(100*time.Millisecond, at("i2", 1), true)
		must.True(t, replaced(t, table, "i1"))
		must.False(t, replaced(t, table, "i2"))
	})
	t.Run("told beside the younger, which is heard elsewhere", func(t *testing.T) {
		table := New(set)
		table.Restore(0, instance("i1", 900, Ready))
		table.Take(0, at("i2", 1), false)
		must.Len(t, 2, table.Live(), must.Sprint("nobody was heard: none of them is hidden"))
		table.Heard(time.Second, "i2")
		must.True(t, replaced(t, table, "i1"))
		must.False(t, replaced(t, table, "i2"))
	})
	t.Run("a heartbeat of before its crash comes late", func(t *testing.T) {
		table := New(set)
		table.Take(0, instance("i1", 900, Ready), true)
		for beat := 4 * time.Second; beat < 9*time.Second; beat += time.Second {
			table.Take(beat, at("i2", int64(beat/time.Second)), true)
			if beat == 5*time.Second {
				table.Take(beat+500*time.Millisecond, instance("i1", 901, Ready), true)
			}
			must.False(t, replaced(t, table, "i2"))
		}
		must.True(t, replaced(t, table, "i1"))
	})
}

// A silent server is forgotten by all replicas though they forget at different moments: none brings it back to another.
func TestSilentOnesAreNotBroughtBack(t *testing.T) {
	one, two := New(set), New(set)
	one.Take(0, instance("i1", 1, Ready), true)
	two.Take(30*time.Second, instance("i1", 1, Ready), false)
	for now := 30 * time.Second; now < 200*time.Second; now += time.Second {
		for _, tables := range [][2]*Table{{one, two}, {two, one}} {
			tables[0].Sweep(now)
			if tables[0].Digest() != tables[1].Digest() {
				for _, in := range entries(tables[1]) {
					tables[0].Take(now, clone(in), false)
				}
			}
		}
	}
	must.Eq(t, 0, one.Len())
	must.Eq(t, 0, two.Len())
}

// Guards against a late heartbeat of a server that has left at a replica that never heard of it.
func TestEndOfAnUnknownInstanceIsKept(t *testing.T) {
	table := New(set)
	must.True(t, table.Take(0, end("i1"), false))
	must.False(t, table.Take(0, instance("i1", 9, Ready), true))
	must.Len(t, 0, table.Live())
}

// Restored accounts join in either order: an end holds.
func TestRestoredEndsHold(t *testing.T) {
	for _, order := range [][]peer.Instance{
		{instance("i1", 3, Ready), instance("i1", 2, Draining)}, {instance("i1", 2, Draining), instance("i1", 3, Ready)},
	} {
		table := New(set)
		for _, in := range order {
			table.Restore(0, in)
		}
		in, _ := table.Get("i1")
		must.Eq(t, Draining, in.State)
		must.Len(t, 1, table.Ended())
	}
}

// However many instances that nobody has heard of are told to have left, few ends are kept, and none of these is forgotten for another
// one: each was acknowledged. The end of an instance that is known is always kept.
func TestEndsAreBounded(t *testing.T) {
	bounded := set
	bounded.Ends = 10
	table := New(bounded)
	table.Take(0, instance("living", 1, Ready), true)
	table.Take(0, instance("leaving", 1, Ready), true)
	for i := range 100 {
		taken := table.Take(time.Duration(i)*time.Millisecond, end(fmt.Sprint("i", i)), true)
		must.Eq(t, i < 10, taken)
	}
	must.Eq(t, 12, table.Len())
	must.True(t, table.Take(time.Second, end("leaving"), true))
	must.Len(t, 11, table.Ended())
	for i := range 10 {
		in, ok := table.Get(fmt.Sprint("i", i))
		must.True(t, ok)
		must.Eq(t, Gone, in.State)
	}
	must.Len(t, 1, table.Live())
	table.Sweep(set.Keep + 2*time.Second)
	must.True(t, table.Take(set.Keep+2*time.Second, end("later"), true), must.Sprint("the others need not be remembered any more"))
}

// Guards against DRAIN: a server that serves on for longer than its end is remembered, and sends heartbeats, is not taken for a new one.
func TestEndIsRememberedWhileTheServerIsHeard(t *testing.T) {
	here, there := New(set), New(set)
	for _, table := range []*Table{here, there} {
		table.Take(0, instance("i1", 1, Ready), true)
		table.Take(0, end("i1"), true)
	}
	for now := time.Duration(0); now < 3*set.Keep; now += time.Second {
		must.False(t, here.Take(now, instance("i1", int64(now/time.Second)+2, Ready), true))
		there.Heard(now, "i1")
		for _, table := range []*Table{here, there} {
			table.Sweep(now)
			in, ok := table.Get("i1")
			must.True(t, ok)
			must.Eq(t, Gone, in.State)
		}
	}
	here.Sweep(5 * set.Keep)
	must.Zero(t, here.Len())
}

func TestSilenceIsMarkedAndTakenBack(t *testing.T) {
	table := New(set)
	table.Take(0, instance("i1", 1, Ready), true)
	table.Sweep(3 * time.Second)
	must.Len(t, 1, table.Live())
	table.Sweep(5 * time.Second)
	must.Len(t, 0, table.Live())
	before := table.Revision()
	table.Heard(6*time.Second, "i1")
	must.Len(t, 1, table.Live())
	must.Greater(t, before, table.Revision())
	table.Pause(20 * time.Second) // the process stood still until then
	table.Sweep(21 * time.Second)
	must.Len(t, 1, table.Live())
}

func TestOldEntriesAreForgotten(t *testing.T) {
	table := New(set)
	table.Take(0, instance("i1", 1, Ready), true)
	table.Take(time.Second, end("i1"), true)
	table.Sweep(30 * time.Second)
	must.Eq(t, 1, table.Len())
	table.Sweep(62 * time.Second)
	must.Eq(t, 0, table.Len())
}

func TestDeltas(t *testing.T) {
	table := New(set)
	table.Take(0, instance("i1", 1, Ready), true)
	at := table.Revision()
	table.Take(0, instance("i2", 1, Ready), true)
	list, full := table.Since(at)
	must.False(t, full)
	must.Len(t, 1, list)
	must.Eq(t, "i2", list[0].ID)
	list, full = table.Since(0)
	must.True(t, full)
	must.Len(t, 2, list)
	_, full = table.Since(at + 100)
	must.True(t, full, must.Sprint("a revision of another replica"))
}

func TestLoadingEndsByItself(t *testing.T) {
	table := New(set)
	table.Take(0, instance("i1", 1, Ready), true)
	table.SetLoading(0, "i1", true)
	table.Take(time.Second, instance("i1", 2, Ready), true)
	in, _ := table.Get("i1")
	must.True(t, in.Loading, must.Sprint("a heartbeat does not end it"))
	table.SetLoading(2*time.Second, "i1", true)
	table.Heard(4*time.Second, "i1")
	table.Sweep(4500 * time.Millisecond)
	in, _ = table.Get("i1")
	must.True(t, in.Loading, must.Sprint("it was noted again"))
	table.Heard(6*time.Second, "i1")
	table.Sweep(6 * time.Second)
	in, _ = table.Get("i1")
	must.False(t, in.Loading, must.Sprint("whoever ordered it is gone"))
}

func TestWeightsNeverGoBack(t *testing.T) {
	table := New(set)
	in := instance("i1", 1, Ready)
	in.Models[0].Version = 3
	table.Take(0, in, false)
	table.Take(0, instance("i1", 7, Ready), true)
	got, _ := table.Get("i1")
	must.Eq(t, 3, got.Models[0].Version)
}

package release

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/fault"
)

func order(target string) Order {
	return Order{Service: "llm", Target: target, Deadline: 12 * time.Second, Newest: math.MaxUint64}
}

func started(t *testing.T, releases []Release, o Order) []Release {
	t.Helper()
	next, same, err := Start(releases, o)
	must.NoError(t, err)
	must.False(t, same)
	return next
}

func TestOrders(t *testing.T) {
	for _, o := range []Order{{Target: "v2", Deadline: 1}, {Service: "llm", Deadline: 1}, {Service: "llm", Target: "v2"}} {
		_, _, err := Start(nil, o)
		must.Eq(t, fault.BadConfig, fault.KindOf(err))
	}
	running := started(t, nil, order("v2"))
	must.Eq(t, Release{Service: "llm", Target: "v2", Number: 1, DeadlineMs: 12000, Phase: Running}, running[0])
	doubtful := order("v2")
	doubtful.MayBeRepeat = true

	_, _, err := Start(running, order("v2"))
	must.Eq(t, fault.UnderWay, fault.KindOf(err), must.Sprint("another order for the same"))
	_, _, err = Start(running, order("v3"))
	must.Eq(t, fault.UnderWay, fault.KindOf(err))
	_, same, err := Start(running, doubtful)
	must.NoError(t, err)
	must.True(t, same, must.Sprint("what it asks for is under way"))
	both := started(t, running, Order{Service: "other", Target: "v2", Deadline: time.Second})
	must.Len(t, 2, both)

	back, _ := Move(running, "llm", 1, Running, RolledBack, "bad")
	_, _, err = Start(back, doubtful)
	must.Eq(t, fault.MayBeRepeat, fault.KindOf(err), must.Sprint("what may be new is not acknowledged, and what may be a repeat begins nothing"))
	again := started(t, back, order("v2"))
	must.Eq(t, 2, again[0].Number)
	must.SliceEmpty(t, again[0].Barred, must.Sprint("it was ordered again"))
	must.SliceContains(t, started(t, back, order("v3"))[0].Barred, "v2")

	// A late repeat of an order that others followed must not begin its version anew.
	third := started(t, back, order("v3"))
	number, ok := third[0].LastOrder("v2")
	must.True(t, ok)
	must.Eq(t, 1, number)
	_, _, err = Start(third, doubtful)
	must.Eq(t, fault.UnderWay, fault.KindOf(err))
	ended, _ := Move(third, "llm", 2, Running, RolledBack, "bad")
	_, _, err = Start(ended, doubtful)
	must.Eq(t, fault.MayBeRepeat, fault.KindOf(err))
	_, ok = third[0].LastOrder("v9")
	must.False(t, ok)
	for range 3 * mostOrdered {
		third[0].Phase = RolledBack
		third = started(t, third, order("v3"))
	}
	must.Len(t, mostOrdered, third[0].Ordered)

	// A call that was on its way while others were carried out begins nothing, however old the orders for its version are.
	third[0].Phase = RolledBack
	late := order("v2")
	late.Newest = third[0].Number - 1
	_, _, err = Start(third, late)
	must.Eq(t, fault.MayBeRepeat, fault.KindOf(err))

	done, _ := Move(running, "llm", 1, Running, Switching, "")
	done, _ = Move(done, "llm", 1, Switching, Completed, "")
	for _, o := range []Order{order("v2"), doubtful} {
		_, same, err = Start(done, o)
		must.NoError(t, err)
		must.True(t, same, must.Sprint("it is in service"))
	}
}

// A decision holds only over the phase that it followed: of two nodes that decide one wins, and an end is final.
func TestDecisionsFollowThePhaseTheyWereMadeIn(t *testing.T) {
	running := started(t, nil, order("v2"))
	switching, same := Move(running, "llm", 1, Running, Switching, "")
	must.False(t, same)
	must.Eq(t, Running, running[0].Phase, must.Sprint("the value before is not changed"))
	for _, row := range []struct {
		service string
		number  uint64
		from    Phase
	}{{"llm", 1, Running}, {"llm", 2, Switching}, {"other", 1, Switching}} {
		_, same = Move(switching, row.service, row.number, row.from, RolledBack, "")
		must.True(t, same)
	}
	back, _ := Move(switching, "llm", 1, Switching, RolledBack, "")
	_, same = Move(back, "llm", 1, Switching, Completed, "")
	must.True(t, same)
}

func TestVersionsInService(t *testing.T) {
	r := Release{Target: "v3", Barred: []string{"v2"}}
	for _, row := range []struct {
		phase      Phase
		v1, v2, v3 bool
		state      string
	}{
		{Running, true, false, false, "running"},
		{Switching, false, false, true, "running"},
		{Completed, false, false, true, "completed"},
		{RolledBack, true, false, false, "rolled_back"},
	} {
		r.Phase = row.phase
		must.Eq(t, row.state, r.Phase.String())
		must.Eq(t, []bool{row.v1, row.v2, row.v3}, []bool{r.InService("v1"), r.InService("v2"), r.InService("v3")})
		must.Eq(t, row.phase == Completed, r.Retired("v1"))
		must.False(t, r.Retired("v3"))
	}
	for range 2 * mostBarred {
		releases, _ := Move([]Release{{Service: "llm", Number: 1, Phase: Running, Barred: r.Barred}}, "llm", 1, Running, RolledBack, "")
		r.Barred = releases[0].Barred
	}
	must.Len(t, mostBarred, r.Barred)
}

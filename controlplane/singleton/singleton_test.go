package singleton

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var set = Settings{Use: 1200 * time.Millisecond, Guard: 4700 * time.Millisecond}

// act is one act of a holder, as its receiver sees it.
type act struct {
	at     time.Duration
	holder int
	epoch  uint64
}

// Four nodes want to act alone. They freeze, cannot reach the register, restart as new incarnations, and a write's success is seen
// late or never. Whatever is drawn, two holders act at least Guard - Use apart, and epochs only grow.
func TestNoTwoHoldersWithinTheRest(t *testing.T) {
	playHolders(t, set, false, set.Guard-set.Use)
}

// Where every holder is taken for gone, also the living, the rest is shorter, but two still never act at once.
func TestNoTwoHoldersAtOnceWhereAllAreTakenForGone(t *testing.T) {
	fenced := set
	fenced.Gone = set.Use + 200*time.Millisecond
	playHolders(t, fenced, true, fenced.Gone-fenced.Use)
}

// playHolders plays drawn schedules; rest is the least time between the acts of two holders.
func playHolders(t *testing.T, set Settings, gone bool, rest time.Duration) {
	t.Helper()
	turns := 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 3))
		var register Lease
		type node struct {
			watch      *Watch
			id         string
			frozen     time.Duration // until then
			cut        time.Duration
			restarts   int
			pending    *Lease // written, not known yet
			pendingAt  time.Duration
			pendingFor time.Duration
		}
		var nodes []*node
		for i := range 4 {
			id := string(rune('a' + i))
			nodes = append(nodes, &node{watch: NewWatch(set, id), id: id})
		}
		var acts []act
		for now := time.Duration(0); now < 120*time.Second; now += 50 * time.Millisecond {
			for i, n := range nodes {
				switch x := r.IntN(4000); {
				case x < 8:
					n.frozen = now + time.Duration(r.IntN(8000))*time.Millisecond
				case x < 16:
					n.cut = now + time.Duration(r.IntN(8000))*time.Millisecond
				case x < 20:
					n.restarts++
					n.id = string(rune('a'+i)) + string(rune('0'+n.restarts%10)) + string(rune('0'+n.restarts/10%10))
					n.watch, n.pending = NewWatch(set, n.id), nil
				}
				if now < n.frozen {
					continue
				}
				if n.pending != nil && now >= n.pendingFor {
					n.watch.Written(n.pendingAt, now, *n.pending)
					n.pending = nil
				}
				if now >= n.cut && n.pending == nil {
					n.watch.Observe(now, register)
					_, holds := n.watch.Holds(now)
					if (!holds || n.watch.Renew(now)) && n.watch.MayTake(now, gone) && r.IntN(3) > 0 {
						over, next := n.watch.Next()
						if register == over {
							register = next
							n.pending, n.pendingAt = &next, now
							n.pendingFor = now + time.Duration(r.IntN(600))*time.Millisecond
						}
					}
				}
				if epoch, holds := n.watch.Holds(now); holds {
					acts = append(acts, act{now, i*1000 + n.restarts, epoch})
				}
			}
		}
		for i := 1; i < len(acts); i++ {
			before, after := acts[i-1], acts[i]
			must.LessEq(t, after.epoch, before.epoch, must.Sprintf("seed %d: the epoch went back", seed))
			if before.holder == after.holder {
				continue
			}
			turns++
			must.Greater(t, before.epoch, after.epoch)
			must.GreaterEq(t, rest, after.at-before.at, must.Sprintf("seed %d: two holders within the rest", seed))
		}
	}
	must.Greater(t, 300, turns, must.Sprint("the schedules let too little happen"))
}

func TestHolderStopsByItself(t *testing.T) {
	w := NewWatch(set, "a")
	must.False(t, w.MayTake(0, false), must.Sprint("nothing is known of the register yet"))
	w.Observe(0, Lease{})
	must.True(t, w.MayTake(0, false))
	over, next := w.Next()
	must.Eq(t, Lease{}, over)
	must.Eq(t, Lease{Holder: "a", Epoch: 1, Renewal: 1}, next)
	w.Written(0, 300*time.Millisecond, next)
	_, holds := w.Holds(set.Use - 1)
	must.True(t, holds)
	_, holds = w.Holds(set.Use)
	must.False(t, holds)
}

// A holder that is known to be gone has no rest to be left, but its own time to act is over before another acts.
func TestGoneHolderIsFollowedOnceItsTimeIsOver(t *testing.T) {
	fenced := set
	fenced.Gone = set.Use + 200*time.Millisecond
	w := NewWatch(fenced, "a")
	w.Observe(0, Lease{Holder: "b", Epoch: 1, Renewal: 1})
	must.False(t, w.MayTake(fenced.Gone-1, true))
	must.True(t, w.MayTake(fenced.Gone, true))
	must.False(t, w.MayTake(fenced.Guard-1, false))
	must.True(t, w.MayTake(fenced.Guard, false))

	for _, gone := range []time.Duration{0, set.Use} {
		unfenced := set
		unfenced.Gone = gone
		w = NewWatch(unfenced, "a")
		w.Observe(0, Lease{Holder: "b", Epoch: 1, Renewal: 1})
		must.False(t, w.MayTake(set.Guard-1, true), must.Sprint("no shorter guard was given, or one that does not cover the holder's time"))
	}
}

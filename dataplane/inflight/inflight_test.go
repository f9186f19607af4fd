package inflight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Whatever accounts are lost, late or repeated, two whole accounts later every router knows exactly what the others have in flight.
func TestAccountsAgreeAfterLosses(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 3))
		const routers, servers, step = 5, 7, 100 * time.Millisecond
		var tables []*Table
		loads := make([]map[string]Load, routers)
		for i := range routers {
			tables = append(tables, New(fmt.Sprint("r", i)))
			loads[i] = map[string]Load{}
		}
		var late []*Account
		now := time.Duration(0)
		turn := func(lossy bool) {
			now += step
			for i, table := range tables {
				a := table.Tell(now)
				if a == nil {
					continue
				}
				if lossy && random.IntN(4) == 0 {
					late = append(late, a)
					continue
				}
				for j, other := range tables {
					if !lossy || random.IntN(6) > 0 {
						other.Take(now, a)
					}
					if lossy && len(late) > 0 && random.IntN(3) == 0 {
						other.Take(now, late[random.IntN(len(late))])
					}
					must.False(t, i == j && other.Heard() >= routers)
				}
			}
		}
		for range 200 {
			for i, table := range tables {
				server := fmt.Sprint("s", random.IntN(servers))
				load := Load{Tokens: float64(random.IntN(9000)), Requests: random.IntN(4)}
				if load.Requests == 0 {
					delete(loads[i], server)
				} else {
					loads[i][server] = load
				}
				table.setOwn(server, load)
			}
			turn(true)
		}
		for range 2 * WholeEvery / step {
			turn(false)
		}
		for i, table := range tables {
			must.Eq(t, routers-1, table.Heard())
			for s := range servers {
				server := fmt.Sprint("s", s)
				var want Load
				for j := range routers {
					if j != i {
						want = want.plus(loads[j][server])
					}
				}
				if want.Requests == 0 {
					want = Load{}
				}
				must.Eq(t, want.Requests, table.Others(server).Requests)
				must.InDelta(t, want.Tokens, table.Others(server).Tokens, 1e-6)
			}
		}
	}
}

func TestOnlyWhatChangedIsTold(t *testing.T) {
	table := New("a")
	table.Add("s1", Load{Tokens: 10, Requests: 1})
	first := table.Tell(0)
	must.True(t, first.Whole)
	must.Nil(t, table.Tell(100*time.Millisecond))
	table.Add("s2", Load{Tokens: 5, Requests: 1})
	table.Lower("s1", Load{Tokens: 10, Requests: 1})
	must.Eq(t, &Account{Router: "a", Number: 2, List: []At{{Server: "s1"}, {"s2", Load{Tokens: 5, Requests: 1}}}}, table.Tell(200*time.Millisecond))
	must.Eq(t, &Account{Router: "a", Number: 3, Whole: true, List: []At{{"s2", Load{Tokens: 5, Requests: 1}}}}, table.Tell(WholeEvery))
}

// What a router told is forgotten when it is gone, or silent for as long as three whole accounts take.
func TestRouterThatIsGoneOrSilentIsForgotten(t *testing.T) {
	table := New("a")
	table.Take(0, &Account{Router: "b", Number: 1, Whole: true, List: []At{{"s", Load{Tokens: 7, Requests: 1}}}})
	table.Take(time.Second, &Account{Router: "c", Number: 1, Whole: true, List: []At{{"s", Load{Tokens: 3, Requests: 1}}}})
	table.Tell(silentAfter)
	must.Eq(t, 10, table.Others("s").Tokens)
	table.Tell(silentAfter + time.Millisecond)
	must.Eq(t, 3, table.Others("s").Tokens)
	must.Eq(t, 1, table.Heard())
	table.Keep(func(router string) bool { return router != "c" })
	must.Eq(t, Load{}, table.Others("s"))
	must.Eq(t, 0, table.Heard())
}

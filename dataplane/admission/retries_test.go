package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Routers that know only their own requests never spend more than the budget over all of them, in any sliding window, however the
// load jumps: the judge takes the requests of the window or of the one before.
func TestPortionsNeverAddUpToMore(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 9))
		const routers, step = 8, 50 * time.Millisecond
		set := Settings{Ratio: 0.2, Base: 62, Window: 10 * time.Second}
		var portions []*Retries
		for range routers {
			portions = append(portions, NewRetries(set))
		}
		var requests, spent []int
		load := 0
		for now := time.Duration(0); now < 60*time.Second; now += step {
			if r.IntN(60) == 0 {
				load = r.IntN(40)
			}
			n, s := 0, 0
			for range load {
				p := portions[r.IntN(routers)]
				p.Request(now)
				n++
				for range 3 {
					if p.Spend(now, routers, Purpose(r.IntN(3))) {
						s++
					}
				}
			}
			requests, spent = append(requests, n), append(spent, s)
		}
		window := int(set.Window / step)
		for end := window; end < len(spent); end++ {
			s := sum(spent[end-window : end])
			most := max(sum(requests[end-window:end]), sum(requests[max(end-2*window, 0):end-window]), sum(requests[max(end-window*3/2, 0):end-window/2]))
			must.LessEq(t, set.Ratio*float64(most)+set.Base, float64(s), must.Sprintf("seed %d", seed))
		}
		must.Greater(t, 0, sum(spent))
	}
}

func sum(list []int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}

func TestUrgentPurposesFindRoom(t *testing.T) {
	p := NewRetries(Settings{Ratio: 0.2, Base: 0, Window: 10 * time.Second})
	for range 100 {
		p.Request(0)
	}
	count := func(purpose Purpose) int {
		n := 0
		for p.Spend(time.Second, 1, purpose) {
			n++
		}
		return n
	}
	must.Eq(t, 14, count(Move))
	must.Eq(t, 3, count(Retry))
	must.Eq(t, 3, count(Rescue))
	must.False(t, p.Spend(5*time.Second, 1, Rescue))
	must.False(t, p.Spend(time.Hour, 1, Rescue), must.Sprint("no request in the window"))
}

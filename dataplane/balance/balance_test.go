package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestLeastMarginalLoad(t *testing.T) {
	must.Eq(t, -1, Choose(nil, random()))
	// D(Q+D/2): 10*(100+5) = 1050 against 40*(0+20) = 800: the empty one, though it has four times as much to do.
	must.Eq(t, 1, Choose([]Candidate{{Size: 10, Queue: 100}, {Size: 40}}, random()))
	must.Eq(t, 0, Choose([]Candidate{{Size: 10, Queue: 50}, {Size: 40}}, random()))
	must.Eq(t, 1, Choose([]Candidate{{Size: 10, Slowness: 4}, {Size: 19}}, random()), must.Sprint("200 against 180.5"))
}

func TestStandingComesFirst(t *testing.T) {
	must.Eq(t, 1, Choose([]Candidate{{Size: 1, Standing: 2}, {Size: 100, Queue: 1000, Standing: 1}}, random()))
}

func TestTiesAreDrawnEvenly(t *testing.T) {
	r := random()
	count := make([]int, 3)
	for range 3000 {
		count[Choose([]Candidate{{Size: 5}, {Size: 5}, {Size: 9}, {Size: 5}}[:], r)%4%3]++
	}
	for i, n := range []int{count[0], count[1]} { // index 3 is counted with 0
		must.Between(t, []int{1850, 850}[i], n, []int{2150, 1150}[i])
	}
}

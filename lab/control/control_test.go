package control

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// seedsVariable names the environment variable that says how many drawn worlds TestDrawnWorlds plays.
const seedsVariable = "CONTROL_SEEDS"

// drawn gives the world of a seed: three to six members.
func drawn(seed uint64) Options { return Drawn(seed, []int{3, 4, 5, 6}, 3, 30*time.Second) }

// Drawn faults over the whole control plane: whatever crosses whatever, operators and routers see what the rules promise.
func TestDrawnWorlds(t *testing.T) {
	seeds := 300
	if n, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, drawn(seed))
		})
	}
}

func play(t *testing.T, seed uint64, o Options) *Result {
	t.Helper()
	result := Play(t, seed, o)
	must.Positive(t, result.Counts.Taken)
	return result
}

// The failures that operators have met, and those found here, each with three seeds; worlds of many minutes with one.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(3)
			if s.Options.Length > time.Minute {
				seeds = 1
			}
			for seed := range seeds {
				play(t, seed, s.Options)
			}
		})
	}
}

func TestQuietWorld(t *testing.T) {
	o := drawn(0)
	o.Script = []Step{}
	result := play(t, 1, o)
	must.LessEq(t, o.Operators, result.Counts.Unknown, must.Sprint("only what the end of the world cuts short has no answer"))
}

// After each loss or arrival the core bears the next loss within catch-up-s, whatever its size.
func TestBearsTheNextLoss(t *testing.T) {
	for members, disks := range map[int]int{3: 1, 4: 1, 5: 2, 6: 2} {
		for _, change := range Changes {
			t.Run(fmt.Sprintf("%d members, one %s", members, change), func(t *testing.T) {
				t.Parallel()
				var times []time.Duration
				for seed := range uint64(9) {
					synctest.Test(t, func(t *testing.T) {
						after, ok := Recovery(seed, members, disks, change)
						must.True(t, ok, must.Sprint("seed ", seed))
						times = append(times, after)
					})
				}
				slices.Sort(times)
				t.Logf("median %v, worst %v", times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
				must.Less(t, catchUp, times[len(times)-1])
			})
		}
	}
}

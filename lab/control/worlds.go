package control

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Drawn gives the world of a seed: one of the given numbers of members, the tolerance that it allows, and drawn faults.
func Drawn(seed uint64, members []int, routers int, length time.Duration) Options {
	n := members[seed%uint64(len(members))]
	return Options{
		Members: n, Routers: routers, Tolerance: (n - 1) / 2, Length: length, Operators: 2, Gap: 400 * time.Millisecond, Servers: 4,
	}
}

// Total sums worlds up.
type Total struct {
	mu     sync.Mutex
	Worlds int
	Failed []uint64
	Counts Counts
}

// Add adds a world's result.
func (t *Total) Add(r *Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Worlds++
	if len(r.Violations) > 0 {
		t.Failed = append(t.Failed, r.Seed)
	}
	t.Counts.Orders += r.Counts.Orders
	t.Counts.Taken += r.Counts.Taken
	t.Counts.Refused += r.Counts.Refused
	t.Counts.Unknown += r.Counts.Unknown
	t.Counts.Reads += r.Counts.Reads
	t.Counts.Ends += r.Counts.Ends
	t.Counts.Named += r.Counts.Named
	if t.Counts.Faults == nil {
		t.Counts.Faults = map[string]int{}
	}
	for kind, n := range r.Counts.Faults {
		t.Counts.Faults[kind] += n
	}
}

// Write prints the sums.
func (t *Total) Write(w io.Writer) {
	fmt.Fprintf(w, "%d worlds, %d failed %v; %d orders (%d taken, %d refused, %d without a clear answer), %d reads, %d ends, %d namings\n",
		t.Worlds, len(t.Failed), t.Failed, t.Counts.Orders, t.Counts.Taken, t.Counts.Refused, t.Counts.Unknown, t.Counts.Reads, t.Counts.Ends, t.Counts.Named)
	names := slices.Sorted(maps.Keys(t.Counts.Faults))
	sort.SliceStable(names, func(i, j int) bool { return t.Counts.Faults[names[i]] > t.Counts.Faults[names[j]] })
	for _, name := range names {
		fmt.Fprintf(w, "%8d %s\n", t.Counts.Faults[name], name)
	}
}

// Play plays one world in a bubble of virtual time, which only a test can open.
func Play(t *testing.T, seed uint64, o Options) *Result {
	t.Helper()
	var result *Result
	synctest.Test(t, func(*testing.T) { result = Run(seed, o) })
	if len(result.Violations) > 0 {
		t.Errorf("seed %d: %s\n%s", seed, strings.Join(result.Violations, "; "), strings.Join(result.History, "\n"))
	}
	return result
}

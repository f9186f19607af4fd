package replay

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"moleshift/capture"
	"moleshift/fleet"
	"moleshift/plan"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const fleetText = `
zones: [east, west]
kinds: [{name: k, cores: 2, speed: 1, queue: 100}]
shards: 4
cells: 2
leaves:
  - {name: e, count: 2, kind: k, zone: east, cells: [0, 1]}
  - {name: w, count: 2, kind: k, zone: west, cells: [0, 1]}
routers: [{name: r, count: 2, zone: east, cores: 1}]
verticals:
  - {name: search, slo: 10s, deadline: 20s, effect: repeatable, utility: 1, need: 1, floor: 1}
  - {name: record, slo: 10s, deadline: 20s, effect: side_effecting, utility: 1, need: 1, floor: 1}
clients: {retries: 0, share: 0, backoff: 1ms, honour: 0}
`

// The real program among stand-ins, for a moment: every query has its answer, and with two leaves gone as well. What is asked of
// it hangs on no time: the load is a tenth of what the fleet bears and the deadlines are far away.
func TestReplay(t *testing.T) {
	program := filepath.Join(t.TempDir(), "moleshift")
	if out, err := exec.Command("go", "build", "-o", program, "moleshift/cmd/moleshift").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f, err := fleet.Decode("fleet", []byte(fleetText))
	if err != nil {
		t.Fatal(err)
	}
	s, err := capture.DecodeSynth("load", []byte("rate: 150\nfor: 1s\nverticals: [{name: search, share: 0.8, parts: 2, work: {mean: 2, cv: 1}}, "+
		"{name: record, share: 0.2, parts: 1, work: {mean: 2, cv: 1}}]\n"))
	if err != nil {
		t.Fatal(err)
	}
	var queries []*capture.Query
	for source, q := s.NewSource(f.Shards, 3), (*capture.Query)(nil); ; queries = append(queries, q) {
		if q = source.Next(); q == nil {
			break
		}
	}
	for _, lost := range []string{"", "zone=west"} {
		loss := plan.Loss{}
		if lost != "" {
			if loss, err = plan.Without(f, lost); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		r, err := Run(ctx, Options{Fleet: f, Queries: queries, Program: program, Loss: loss, Seed: 1})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		requests := 0
		for _, n := range r.Requests {
			requests += n
		}
		if requests != len(queries) || r.Answered != len(queries) {
			t.Errorf("without %q: %d queries, %d requests, %d answered: %v; refused: %v; void: %q", lost, len(queries), requests, r.Answered,
				r.Verdict.ByVertical, r.Rejected, r.Void)
		}
	}
}

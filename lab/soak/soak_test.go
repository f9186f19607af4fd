package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// build builds the system's program, with the detector of races in it.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "moleshiftd")
	out, err := exec.Command("go", "build", "-race", "-o", program, "moleshift/cmd/moleshiftd").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return program
}

// A short soak of three real processes with fixed seeds: planned work alone, and the same crossed with kills, lost disks and freezes.
func TestShortSoak(t *testing.T) {
	program := build(t)
	for _, row := range []struct {
		seed    uint64
		planned bool
	}{{1, true}, {2, false}} {
		t.Run(fmt.Sprintf("seed %d, planned %v", row.seed, row.planned), func(t *testing.T) {
			result, err := Run(context.Background(), Options{
				Program: program, Nodes: 3, Servers: 4, Clients: 20, For: 15 * time.Second, Seed: row.seed, Planned: row.planned,
				ChangeEvery: 250 * time.Millisecond, StrikeEvery: time.Second, Dir: t.TempDir(), LogLevel: "info",
			})
			must.NoError(t, err)
			must.Len(t, 0, result.Violations, must.Sprint(result.Violations))
			must.SliceNotEmpty(t, result.History.Changes)
			must.SliceNotEmpty(t, result.History.Reads)
			must.SliceNotEmpty(t, result.History.Namings)
			must.SliceNotEmpty(t, result.History.Strikes)
			must.SliceNotEmpty(t, result.History.Releases)
			must.SliceNotEmpty(t, result.History.ReleaseReads)
			served := 0
			for _, r := range result.History.Requests {
				if r.Status == 200 && r.Whole {
					served++
				}
			}
			must.Greater(t, 50, served)
			must.Greater(t, 50, result.Judged.Version, must.Sprint("a run that is hardly judged shows nothing"))
			must.True(t, !row.planned || result.Judged.Lost == len(result.History.Requests))
		})
	}
}

func TestRunTellsWhatIsMissing(t *testing.T) {
	_, err := Run(context.Background(), Options{Program: "/does/not/exist", Nodes: 3, Servers: 2, Clients: 1, For: time.Second, Dir: t.TempDir()})
	must.ErrorContains(t, err, "make system")
}

package soak

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Each planted fault still applies to the text, so that plants/run can plant it.
func TestPlantsApply(t *testing.T) {
	plants, err := filepath.Glob("plants/*.diff")
	must.NoError(t, err)
	must.SliceNotEmpty(t, plants)
	for _, plant := range plants {
		file, err := filepath.Abs(plant)
		must.NoError(t, err)
		check := exec.Command("git", "apply", "--check", file)
		check.Dir = "../.."
		out, err := check.CombinedOutput()
		must.NoError(t, err, must.Sprintf("%s: make the diff anew: %s", plant, out))
	}
}

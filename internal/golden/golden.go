// Package golden compares a printed trace with the one that is kept under testdata, for the tests of all
// packages. With -update it writes the trace anew instead.
package golden

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces anew")

// Check compares a trace with testdata/NAME.txt.
func Check(t *testing.T, name, got string) {
	t.Helper()
	path := "testdata/" + name + ".txt"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); d != "" {
		t.Errorf("%s (-want +got):\n%s", path, d)
	}
}

// Package ci tests the scripts of .ci.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	module = "module example\n\ngo 1.24\n"
	source = `package p

import "testing"

func TestPasses(t *testing.T) {}

func TestFails(t *testing.T) { t.Fatal("a real fault") }
`
	passing = "package q\n\nimport \"testing\"\n\nfunc TestAlso(t *testing.T) {}\n"
	failing = "package q\n\nimport \"testing\"\n\nfunc TestAlso(t *testing.T) { t.Error(\"another fault\") }\n"
	noFile  = "-" // there is no KNOWN-RED.txt
)

// What KNOWN-RED.txt lists decides about the verdict of .ci/tests, and nothing else is passed over.
func TestKnownRed(t *testing.T) {
	script, err := os.ReadFile(filepath.Join("..", "..", ".ci", "tests"))
	must.NoError(t, err)
	for name, row := range map[string]struct {
		listed string
		green  bool
		says   string
		other  string // of the other package; empty: it passes
	}{
		"no file":                                {listed: noFile, says: "FAIL: TestFails"},
		"another fails beside a listed one":      {listed: "p.TestFails\tcause\t48\n", says: "FAIL: TestAlso", other: failing},
		"a listed one passes in another package": {listed: "p.TestFails\tcause\t48\nq.TestAlso\tcause\t48\n", says: "q.TestAlso passes"},
		"it exists in another package only":      {listed: "p.TestFails\tcause\t48\nq.TestFails\tcause\t48\n", says: "q.TestFails does not exist"},
		"a line without a cause":                 {listed: "p.TestFails\tcause\t48\np.TestPasses\t\t48\n", says: "line 2"},
		"the same line four times":               {listed: strings.Repeat("p.TestFails\tcause\t48\n", 4), says: "4 tests, 3 at most"},
		"a failing test that is not listed":      {listed: "", green: false, says: "a real fault"},
		"a failing test that is listed":          {listed: "p.TestFails\tcause\t48\n", green: true, says: "known red: p.TestFails: cause (issue 48)"},
		"a listed test that passes":              {listed: "p.TestFails\tcause\t48\np.TestPasses\tcause\t48\n", green: false, says: "p.TestPasses passes: take its line out"},
		"one that fails now and then, and fails": {listed: "p.TestFails\tcause\t48\t3/50\n", green: true, says: "p.TestFails failed this time (fails 3/50)"},
		"one that fails now and then, and not":   {listed: "p.TestFails\tcause\t48\np.TestPasses\tcause\t48\t1/9\n", green: true, says: "p.TestPasses passed this time (fails 1/9)"},
		"a rate that is none":                    {listed: "p.TestFails\tcause\t48\tsometimes\n", green: false, says: "is no rate such as 3/50"},
		"a test that does not exist":             {listed: "p.TestFails\tcause\t48\np.TestGone\tcause\t48\n", green: false, says: "p.TestGone does not exist"},
		"a line without an issue":                {listed: "p.TestFails\tcause\n", green: false, says: "a test, its cause and its issue are wanted"},
		"a command that is listed":               {listed: "p.TestFails\tcause\t48\n$ molelab system --seed 7\tLOST once\t65\n", green: true, says: "known red, not run: molelab system --seed 7: LOST once (issue 65)"},
		"a command beside a test not listed":     {listed: "$ molelab system --seed 7\tLOST once\t65\n", green: false, says: "a real fault"},
		"a command without its seed":             {listed: "p.TestFails\tcause\t48\n$ molelab system\tLOST once\t65\n", green: false, says: "a command is wanted with its seed"},
		"four tests":                             {listed: "p.TestFails\tc\t1\np.TestPasses\tc\t1\t1/9\nq.TestAlso\tc\t1\t1/9\np.TestFails\tc\t1\t1/2\n", green: false, says: "4 tests, 3 at most"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			if row.other == "" {
				row.other = passing
			}
			files := map[string]string{
				"go.mod": module, "p/p_test.go": source, "q/q_test.go": row.other, "KNOWN-RED.txt": row.listed, "tests": string(script),
			}
			if row.listed == noFile {
				delete(files, "KNOWN-RED.txt")
			}
			for path, text := range files {
				must.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, path)), 0o700))
				must.NoError(t, os.WriteFile(filepath.Join(dir, path), []byte(text), 0o600))
			}
			command := exec.Command("bash", "tests")
			command.Dir = dir
			out, err := command.CombinedOutput()
			must.Eq(t, row.green, err == nil, must.Sprint(string(out)))
			must.StrContains(t, string(out), row.says)
		})
	}
}

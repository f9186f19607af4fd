// Package ci tests the scripts of .ci.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
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
)

// What KNOWN-RED.txt lists decides about the verdict of .ci/tests, and nothing else is passed over.
func TestKnownRed(t *testing.T) {
	script, err := os.ReadFile(filepath.Join("..", "..", ".ci", "tests"))
	must.NoError(t, err)
	for name, row := range map[string]struct {
		listed string
		green  bool
		says   string
	}{
		"a failing test that is not listed":      {"", false, "a real fault"},
		"a failing test that is listed":          {"p.TestFails\tcause\t48\n", true, "known red: p.TestFails: cause (issue 48)"},
		"a listed test that passes":              {"p.TestFails\tcause\t48\np.TestPasses\tcause\t48\n", false, "p.TestPasses passes: take its line out"},
		"one that fails now and then, and fails": {"p.TestFails\tcause\t48\t3/50\n", true, "p.TestFails failed this time (fails 3/50)"},
		"one that fails now and then, and not":   {"p.TestFails\tcause\t48\np.TestPasses\tcause\t48\t1/9\n", true, "p.TestPasses passed this time (fails 1/9)"},
		"a rate that is none":                    {"p.TestFails\tcause\t48\tsometimes\n", false, "is no rate such as 3/50"},
		"a test that does not exist":             {"p.TestFails\tcause\t48\np.TestGone\tcause\t48\n", false, "p.TestGone does not exist"},
		"a line without an issue":                {"p.TestFails\tcause\n", false, "a test, its cause and its issue are wanted"},
		"a command that is listed":               {"p.TestFails\tcause\t48\n$ molelab system --seed 7\tLOST once\t65\n", true, "known red, not run: molelab system --seed 7: LOST once (issue 65)"},
		"a command beside a test not listed":     {"$ molelab system --seed 7\tLOST once\t65\n", false, "a real fault"},
		"a command without its seed":             {"p.TestFails\tcause\t48\n$ molelab system\tLOST once\t65\n", false, "a command is wanted with its seed"},
		"four tests":                             {"p.TestFails\tc\t1\np.TestPasses\tc\t1\t1/9\nq.TestAlso\tc\t1\t1/9\np.TestFails\tc\t1\t1/2\n", false, "4 tests, 3 at most"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for path, text := range map[string]string{
				"go.mod": module, "p/p_test.go": source, "q/q_test.go": passing, "KNOWN-RED.txt": row.listed, "tests": string(script),
			} {
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

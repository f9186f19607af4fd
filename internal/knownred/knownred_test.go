// Package knownred holds the test of .ci/tests, which runs all tests but those that are known to fail for a real fault. It must
// never hold anything that the program uses.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Each rule on KNOWN-RED.txt, with a module of two packages in which TestRed of one fails and the others pass.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	const red = "a.TestRed\tits cause\t37\n"
	for name, c := range map[string]struct {
		file   string // "-": there is none
		broken bool   // TestGreen of the other package fails too
		fails  bool
		says   string
	}{
		"no file":               {file: "-", fails: true, says: "FAIL: TestRed"},
		"the red one is listed": {file: red, says: "known red: a.TestRed: its cause (issue 37)"},
		"another fails":         {file: red, broken: true, fails: true, says: "FAIL: TestGreen"},
		"a listed one passes":   {file: red + "a.TestGreen\tits cause\t37\n", fails: true, says: "a.TestGreen passes"},
		"only in its package":   {file: red + "b.TestRed\tits cause\t37\n", fails: true, says: "b.TestRed does not exist"},
		"none of that name":     {file: red + "a.TestBlue\tits cause\t37\n", fails: true, says: "a.TestBlue does not exist"},
		"no cause":              {file: red + "a.TestRed\t\t37\n", fails: true, says: "line 2"},
		"four lines":            {file: strings.Repeat(red, 4), fails: true, says: "4 tests, 3 at most"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			write := func(path, text string) {
				path = filepath.Join(dir, path)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			const head = "import \"testing\"\n\nfunc TestGreen(t *testing.T) {"
			write("go.mod", "module red\n\ngo 1.26\n")
			write("a/a_test.go", "package a\n\n"+head+"}\n\nfunc TestRed(t *testing.T) { t.Error(\"red\") }\n")
			green := "}\n"
			if c.broken {
				green = "t.Error(\"broken\") }\n"
			}
			write("b/b_test.go", "package b\n\n"+head+green)
			if c.file != "-" {
				write("KNOWN-RED.txt", c.file)
			}
			cmd := exec.Command(script)
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
			out, err := cmd.CombinedOutput()
			if (err != nil) != c.fails || !strings.Contains(string(out), c.says) {
				t.Errorf("%v, wanted a failure: %v, and %q in\n%s", err, c.fails, c.says, out)
			}
		})
	}
}

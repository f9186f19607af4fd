// Package plant puts known faults into the decisions on rights, one at a time, and sees whether the laboratory or a test catches them: a
// checker that never finds anything proves nothing. The faults are lines changed as the compiler reads them (go build -overlay); no file
// of the repository is touched.
//
// plant.go owns the faults and the search for each. It must never call a fault caught on anything but a broken bound or a failed test.
package plant

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"
)

// Fault is one change.
type Fault struct {
	Name     string
	What     string // in a few words
	File     string // from the module's root
	Old, New string // Old stands in the file once
}

// Faults are all that are planted.
var Faults = []Fault{
	{"no-fence", "the receiver takes any token", "lease/token.go",
		"if t < f.greatest[right] || t == 0 {", "if t == 0 {"},
	{"no-silent-start", "a seat that forgot its votes votes at once", "lease/election.go",
		"e.votesAfter = e.now + e.set.Lease + e.set.Skew", "e.votesAfter = e.now"},
	{"from-receipt", "a holder reckons its time from when the word came", "lease/lease.go",
		"until := g.Stamp + g.For - g.For/uneven", "until := n.now + g.For"},
	{"beyond-own-lease", "a leader gives time beyond its own lease", "lease/deal.go",
		"length := min(n.set.Lease, n.elect.Valid()-heard)", "length := n.set.Lease"},
	{"no-debt", "what a leader that went gave away is forgotten", "lease/deal.go",
		"at := max(n.elect.Clear(), d.begun+n.set.Beat/2, x.freeAt, x.restTo)", "at := max(d.begun+n.set.Beat/2, x.freeAt, x.restTo)"},
	{"votes-twice", "a seat votes for another while its vote holds", "lease/election.go",
		"return e.holder < 0 || e.now >= e.until || e.holder == seat && e.holderBoot == boot", "return true"},
	{"never-expires", "a holder does not look at the end of its time", "lease/lease.go",
		"if r.token != 0 && n.now >= r.until {", "if false {"},
	{"same-number", "tenures of one reign have one number", "lease/deal.go",
		"d.number++", "d.number = 1"},
	{"given-at-once", "a right is given anew as its holder is no longer heard", "lease/deal.go",
		"			if n.now < x.until {\n", "			if n.now < x.until && n.elect.There(x.seat) {\n"},
	{"one-seat-remembers", "what one seat says is taken for what a majority keeps", "lease/chest.go",
		"	if len(c.from) < n.elect.quorum {\n		return\n	}\n	c.opening = false", "	if len(c.from) < 1 {\n		return\n	}\n	c.opening = false"},
	{"runs-unmarked", "a step begins before its mark is kept", "work/work.go",
		"		s.keep(pick)\n", "		s.Saved(s.now, pick.Name, pick.token)\n"},
	{"memory-alone", "the promises of before the start are not read", "lease/lease.go",
		"n.elect = NewElection(set, (*hooks)(n), true, mem.Floor, now)", "n.elect = NewElection(set, (*hooks)(n), true, 0, now)"},
	{"unrecorded", "a promise that could not be recorded is made", "lease/election.go",
		"if reign <= e.floor || !e.hooks.Promise(reign) {", "if e.hooks.Promise(reign); reign <= e.floor {"},
	{"open-chest", "the next holder's word does not close the chest to the one before", "lease/chest.go",
		"		k.Floor = s.Token\n", "		k.Floor = r.kept.Floor\n"},
	{"runs-twice", "a step of the next token begins while one of the last still runs", "work/work.go",
		"if j.phase == running || j.phase == stopping { // the step", "if false { // the step"},
	{"given-to-leaver", "a right goes back to the instance that leaves", "lease/deal.go",
		"n.peers[seat].going ||", "false ||"},
	{"own-for-ever", "a leader whose own time was over goes on counting the right as held", "lease/deal.go",
		"if x.seat == n.set.Seat && r.let >= x.token {", "if false {"},
	{"no-sounding", "votes are asked for without asking whether they would be given", "lease/election.go",
		"if !e.counted || e.quorum == 1 {", "if true {"},
}

// Caught is what became of a fault.
type Caught struct {
	Fault string  `json:"fault"`
	By    string  `json:"by"` // empty: by nothing
	Seed  uint64  `json:"seed,omitempty"`
	Took  float64 `json:"seconds"`
}

// Options is how hard to look.
type Options struct {
	Root  string // of the module's source
	Seeds int
	Only  string // one fault; empty: all
}

// Run plants the faults and looks for each: first the tests of the packages, then drawn runs. Needs the go command and the source.
func Run(ctx context.Context, o Options, tell func(string)) (all []Caught, err error) {
	dir, err := os.MkdirTemp("", "molelab-plant-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if _, err := os.Stat(filepath.Join(o.Root, "go.mod")); err != nil {
		return nil, fmt.Errorf("--source: %s is not the root of the source: %w", o.Root, err)
	}
	for _, f := range Faults {
		if o.Only != "" && f.Name != o.Only {
			continue
		}
		c, err := look(ctx, o, dir, f)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.Name, err)
		}
		all = append(all, *c)
		tell(fmt.Sprintf("%s: %s", f.Name, c.By))
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("there is no fault %q", o.Only)
	}
	return all, nil
}

// overlay writes the changed file, and what has the compiler take it.
func overlay(root, dir string, f Fault) (string, error) {
	path, err := filepath.Abs(filepath.Join(root, f.File))
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(text), f.Old); n != 1 {
		return "", fmt.Errorf("%s has the line to change %d times: the fault is to be planted anew", f.File, n)
	}
	changed := filepath.Join(dir, f.Name+".go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), f.Old, f.New, 1)), 0o600); err != nil {
		return "", err
	}
	b, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	if err != nil {
		return "", err
	}
	list := filepath.Join(dir, f.Name+".json")
	return list, os.WriteFile(list, b, 0o600)
}

func look(ctx context.Context, o Options, dir string, f Fault) (*Caught, error) {
	list, err := overlay(o.Root, dir, f)
	if err != nil {
		return nil, err
	}
	program := filepath.Join(dir, f.Name)
	command := func(name string, args ...string) ([]byte, error) {
		c := exec.CommandContext(ctx, name, args...)
		c.Dir = o.Root
		var out bytes.Buffer
		c.Stdout, c.Stderr = &out, &out
		err := c.Run()
		return out.Bytes(), err
	}
	if out, err := command("go", "build", "-overlay", list, "-o", program, "./cmd/molelab"); err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	begun := time.Now()
	c := &Caught{Fault: f.Name}
	for seed := 1; seed <= o.Seeds && c.By == ""; seed++ {
		loss, diskless := "0.03", "0"
		if seed%2 == 0 {
			loss, diskless = "0", "0.5"
		}
		out, err := command(program, "leases", "--instances", fmt.Sprint(5+seed%5), "--rights", "6", "--for", "90s", "--faults", "24", "--loss", loss,
			"--diskless", diskless, "--seed", fmt.Sprint(seed))
		var exit *exec.ExitError
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil && !errors.As(err, &exit):
			return nil, err
		case err != nil:
			if c.By = bounds(out); c.By == "" {
				c.By = "the run fails: " + lastLine(out)
			}
			c.Seed = uint64(seed)
		}
	}
	if c.By == "" {
		out, err := command("go", "test", "-count=1", "-overlay", list, "./lease", "./work")
		if err != nil {
			c.By = "test " + failed(out)
		}
	}
	c.Took = time.Since(begun).Round(10 * time.Millisecond).Seconds()
	return c, ctx.Err()
}

// bounds names those that broke.
func bounds(out []byte) string {
	lines := bytes.Split(bytes.TrimSpace(out), []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		var r map[string]any
		if json.Unmarshal(lines[i], &r) != nil {
			continue
		}
		var names []string
		for _, name := range []string{"two_holders", "stale_effects", "tokens_back", "jobs_lost", "steps_skipped", "steps_again", "gaps_over"} {
			if n, is := r[name].(float64); is && n > 0 {
				names = append(names, fmt.Sprintf("%s %.0f", name, n))
			}
		}
		return strings.Join(names, ", ")
	}
	return ""
}

func lastLine(out []byte) string {
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	return lines[len(lines)-1]
}

// failed names the first test that did.
func failed(out []byte) string {
	for line := range strings.SplitSeq(string(out), "\n") {
		if _, rest, is := strings.Cut(line, "--- FAIL: "); is {
			return strings.Fields(rest)[0]
		}
	}
	return lastLine(out)
}

// Table tells people.
func Table(out io.Writer, all []Caught) {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "planted\twhat\tcaught by\tseed\tseconds\n")
	for _, c := range all {
		by, what := c.By, ""
		if by == "" {
			by = "NOTHING"
		}
		for _, f := range Faults {
			if f.Name == c.Fault {
				what = f.What
			}
		}
		seed := "-"
		if c.Seed > 0 {
			seed = fmt.Sprint(c.Seed)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.1f\n", c.Fault, what, by, seed, c.Took)
	}
	t.Flush()
}

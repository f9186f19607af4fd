package processes

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"moleshift/lease"
)

// TestRealProcesses starts five routers and has them killed, stopped, told to end, cut off and made deaf, two things at once now and
// then. It waits for events, and judges by what the receiver saw; how long the machine took counts for nothing.
func TestRealProcesses(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	program := filepath.Join(t.TempDir(), "moleshift-lab")
	if out, err := exec.Command("go", "build", "-tags", "labclock", "-o", program, "moleshift/cmd/moleshift").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	second := time.Second
	o := Options{Program: program, Instances: 5, Rights: 6, For: 10 * second, Lease: 600 * time.Millisecond,
		Skew: 100 * time.Millisecond, Every: 50 * time.Millisecond, Seed: 2, Timeline: []Fault{
			{At: 0, Kind: Kill, Who: []int{0}, For: second},
			{At: second, Kind: Stop, Who: []int{1}, For: 2 * second},
			{At: 2 * second, Kind: Term, Who: []int{2}, For: second},
			{At: 4 * second, Kind: Cut, Who: []int{0, 3}, For: 2 * second},
			{At: 5 * second, Kind: Stop, Who: []int{3}, For: 2 * second},
			{At: 7 * second, Kind: Deaf, Who: []int{4}, For: 2 * second},
			{At: 7 * second, Kind: Wipe, Who: []int{1}, For: second},
			{At: 9 * second, Kind: All, For: second},
		}}
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Bad() {
		t.Errorf("%s\n%s", r.JSON(), strings.Join(r.Broken, "\n"))
	}
	if r.Tenures <= r.Options.Rights || r.Faults != 8 {
		t.Errorf("%d tenures, %d faults: no right has changed hands", r.Tenures, r.Faults)
	}
	// The same on a machine whose loopback has one address, with fewer faults.
	o.OneAddress, o.Timeline = true, []Fault{{At: 0, Kind: Kill, Who: []int{3}, For: second}, {At: second, Kind: Cut, Who: []int{1, 2}, For: second}}
	if r, err = Run(t.Context(), o); err != nil || r.Bad() || r.Faults != 2 {
		t.Errorf("told apart by ports: %v, %+v", err, r)
	}
}

// What the judge is for: each wrong history is told as what it is.
func TestJudge(t *testing.T) {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	e := func(token lease.Token, step uint64, sent, came int, taken bool) effect {
		return effect{right: "a", token: token, step: step, sent: at(sent), came: at(came), answered: at(came), taken: taken, done: taken}
	}
	for name, c := range map[string]struct {
		all                         []effect
		two, stale, back, unlinear_ int
	}{
		"in order":                 {[]effect{e(1, 1, 1, 2, true), e(2, 2, 3, 4, true)}, 0, 0, 0, 0},
		"an old one, refused":      {[]effect{e(1, 1, 1, 2, true), e(2, 2, 5, 6, true), e(1, 2, 4, 7, false)}, 0, 0, 0, 0},
		"an old one, taken":        {[]effect{e(1, 1, 1, 2, true), e(2, 2, 5, 6, true), e(1, 2, 4, 7, true)}, 0, 1, 0, 1},
		"two at once":              {[]effect{e(1, 1, 1, 2, true), e(2, 2, 3, 4, true), e(1, 2, 5, 6, false)}, 1, 0, 0, 0},
		"a token that went back":   {[]effect{e(5, 1, 1, 2, true), e(4, 2, 3, 4, false)}, 1, 0, 1, 0},
		"refused without a reason": {[]effect{e(1, 1, 1, 2, true), e(2, 2, 3, 4, false)}, 0, 0, 0, 1},
		"a step that was left out": {[]effect{e(1, 1, 1, 2, true), e(1, 3, 3, 4, true)}, 0, 0, 0, 1},
		"a step that comes again":  {[]effect{e(1, 1, 1, 2, true), e(2, 1, 3, 4, true)}, 0, 0, 0, 0},
	} {
		v := judge(c.all)
		if v.twoHolders != c.two || v.stale != c.stale || v.back != c.back || v.unlinear != c.unlinear_ {
			t.Errorf("%s: two holders %d, stale %d, back %d, of no fence %d", name, v.twoHolders, v.stale, v.back, v.unlinear)
		}
	}
}

// A timeline is read with every fault in it named, and what is drawn is the same for the same seed.
func TestTimeline(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.yaml")
	for text, want := range map[string]string{
		"- {at: 2s, kind: kill, who: [1], for: 1s}\n- {at: 1s, kind: kill_all, for: 1s}\n": "",
		"- {at: 2s, kind: burn, who: [1], for: 1s}\n":                                      "[0].kind: \"burn\" is none of",
		"- {at: 2s, kind: kill, who: [9], for: 1s}\n":                                      "there is no seat 9 of 5",
		"- {at: 2s, kind: slow, who: [1], for: 1s}\n":                                      "[0].link: missing",
		"- {at: 2s, kind: stop, who: [1]}\n":                                               "for above 0",
		"- {at: 2s, kind: stop, whom: [1], for: 1s}\n":                                     "whom",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		all, err := ReadTimeline(path, 5)
		switch {
		case want == "" && (err != nil || len(all) != 2 || all[0].Kind != All):
			t.Errorf("%v %v", all, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%v, not %q", err, want)
		}
	}
	a, b := Draw(3, 9, 20, time.Minute, time.Second), Draw(3, 9, 20, time.Minute, time.Second)
	for i := range a {
		if a[i].At != b[i].At || a[i].Kind != b[i].Kind || len(a[i].Who) == 0 && a[i].Kind != All {
			t.Errorf("%+v and %+v", a[i], b[i])
		}
	}
}

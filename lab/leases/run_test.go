package leases

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain has the draws be the same in each run; -rapid.seed on the command line draws others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "27")
	os.Exit(m.Run())
}

// Whatever is drawn: no two holders, no effect out of the order of tokens, and all work goes on in the end.
func TestPromisesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{
			Instances: rapid.IntRange(1, 9).Draw(t, "instances"),
			Rights:    rapid.IntRange(1, 6).Draw(t, "rights"),
			For:       60 * time.Second,
			Faults:    rapid.IntRange(0, 25).Draw(t, "faults"),
			Loss:      float64(rapid.IntRange(0, 10).Draw(t, "loss")) / 100,
			Skew:      time.Duration(rapid.IntRange(0, 100).Draw(t, "skew")) * time.Millisecond,
			Lease:     600 * time.Millisecond,
			Diskless:  float64(rapid.IntRange(0, 4).Draw(t, "diskless")) / 4,
			Seed:      rapid.Uint64Range(1, 1<<30).Draw(t, "seed"),
		}
		r, err := Run(o, nil)
		if err != nil {
			t.Fatal(err)
		}
		if r.Broken() {
			t.Fatalf("%s\n%v", r.JSON(), r.Stories)
		}
	})
}

// The same options give the same run, to the last figure.
func TestSameSeedSameRun(t *testing.T) {
	o := Options{Instances: 7, Rights: 9, For: time.Minute, Faults: 12, Loss: 0.05, Skew: 100 * time.Millisecond,
		Lease: 600 * time.Millisecond, Seed: 4}
	var first string
	for range 2 {
		r, err := Run(o, nil)
		if err != nil {
			t.Fatal(err)
		}
		if first == "" {
			first = r.JSON()
		}
		if r.JSON() != first || r.Effects == 0 || r.Faults == 0 {
			t.Errorf("%s\nand then\n%s\n%d effects, %d faults", first, r.JSON(), r.Effects, r.Faults)
		}
	}
}

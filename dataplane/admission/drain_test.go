package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestDrainTakesWhatIsOverInTime(t *testing.T) {
	signal := time.Unix(1000, 0)
	d := NewDrain(signal, 8*time.Second)
	for _, row := range []struct {
		arrived, lasts time.Duration
		taken          bool
	}{
		{0, 15 * time.Second, true},
		{2600 * time.Millisecond, 15 * time.Second, true},
		{2800 * time.Millisecond, 15 * time.Second, false},
		{2800 * time.Millisecond, 4500 * time.Millisecond, true},
		{5 * time.Second, 1500 * time.Millisecond, true},
		{6500 * time.Millisecond, 1500 * time.Millisecond, false},
	} {
		at := signal.Add(row.arrived)
		must.Eq(t, row.taken, d.Takes(at, at.Add(row.lasts)), must.Sprintf("%v for %v", row.arrived, row.lasts))
	}
	must.True(t, Drain{}.Takes(signal, signal.Add(time.Hour)), must.Sprint("no signal came"))
}

// A request that is taken later than three seconds after the signal is over before the process ends, whatever the grace.
func TestDrainTakesNothingLateThatOutlastsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signal := time.Unix(1000, 0)
		grace := time.Duration(rapid.IntRange(0, 30_000).Draw(t, "grace")) * time.Millisecond
		arrived := signal.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "arrived")) * time.Millisecond)
		deadline := arrived.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "lasts")) * time.Millisecond)
		d := NewDrain(signal, grace)
		if d.Takes(arrived, deadline) && arrived.Sub(signal) >= 3*time.Second {
			must.True(t, deadline.Before(d.Ends()))
			must.True(t, d.Ends().Before(signal.Add(grace)))
		}
	})
}

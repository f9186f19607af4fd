package explore

import (
	"testing"

	"github.com/shoenig/test/must"
)

// In every state of the small worlds, what must hold does.
func TestWorlds(t *testing.T) {
	for _, w := range Worlds {
		if w.Large {
			continue
		}
		t.Run(w.Name, func(t *testing.T) {
			report := Explore(w.Start(Sound), w.Most)
			t.Log(report)
			must.NoError(t, report.Violation, must.Sprint(report.Trace))
		})
	}
}

// Each planted fault is caught; the way to it is the shortest one.
func TestPlantedFaults(t *testing.T) {
	for _, p := range PlantedFaults {
		t.Run(string(p.Fault)+" in "+p.World, func(t *testing.T) {
			w := WorldOf(Worlds, p.World)
			must.NotNil(t, w)
			report := Explore(w.Start(p.Fault), w.Most)
			t.Log(report)
			must.Error(t, report.Violation)
		})
	}
}

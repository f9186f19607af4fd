package days

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func TestDayDependsOnItsSeedAlone(t *testing.T) {
	for _, focus := range Focuses {
		must.Eq(t, Draw(7, focus).TOML(), Draw(7, focus).TOML())
		must.NotEq(t, Draw(7, focus).TOML(), Draw(8, focus).TOML())
	}
}

// Every kind, every variant and every closing is met in some hundred days.
func TestEveryKindIsDrawn(t *testing.T) {
	seen := map[string]bool{}
	note := func(entries []Entry) {
		for _, e := range entries {
			seen[e.Kind] = true
			for _, f := range e.Fields {
				if f.Name == "how" {
					seen[e.Kind+f.Value] = true
				}
			}
		}
	}
	for seed := range uint64(3000) {
		day := Draw(seed, Any)
		note(day.Plan)
		note(day.Faults)
		if day.Closing != nil {
			note([]Entry{*day.Closing})
		}
	}
	for _, k := range slices.Concat(planned, faults) {
		must.True(t, seen[k.name], must.Sprint(k.name))
		for _, how := range k.how {
			must.True(t, how == "" || seen[k.name+`"`+how+`"`], must.Sprint(k.name, " ", how))
		}
	}
	for _, c := range closings {
		must.True(t, seen[c.name], must.Sprint(c.name))
	}
}

func TestStartDaysBeginBeforeTheTraffic(t *testing.T) {
	for seed := range uint64(50) {
		early := 0
		for _, e := range Draw(seed, Start).Faults {
			if e.At < 0 {
				early++
			}
		}
		must.GreaterEq(t, 2, early)
	}
}

func TestWeightsAreNamedInSeries(t *testing.T) {
	for seed := range uint64(50) {
		for _, focus := range []Focus{Weights, Planned} {
			day := Draw(seed, focus)
			namings := 0
			for _, e := range day.Plan {
				if e.Kind == "version_bump" {
					namings++
				}
			}
			must.GreaterEq(t, leastNamings, namings)
			must.True(t, focus == Weights || len(day.Faults) == 0)
		}
	}
}

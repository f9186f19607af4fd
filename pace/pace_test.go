package pace

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// However many routers: all act within the window, and in no tenth of it more than a tenth of them and two, nor, over a large fleet, far
// fewer.
func TestWaitsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Routers: rapid.IntRange(1, 1000).Draw(t, "routers"), PerSecond: rapid.Float64Range(1, 2000).Draw(t, "rate"),
			Most: Time(rapid.IntRange(0, 50).Draw(t, "most")) * Second}
		event, nth := rapid.String().Draw(t, "event"), rapid.IntRange(0, 1000).Draw(t, "nth")
		window := s.Window()
		if window > s.Most || s.Routers == 1 && window != 0 {
			t.Fatalf("a window of %d", window)
		}
		var waits []Time
		for s.Number = range s.Routers {
			w := s.Wait(event, nth)
			if w < 0 || w > window {
				t.Fatalf("a wait of %d in a window of %d", w, window)
			}
			waits = append(waits, w)
		}
		if window < 1000 { // its tenth is too short to count in whole units
			return
		}
		slices.Sort(waits)
		tenth, most := window/10, 0
		for i := range waits {
			j, _ := slices.BinarySearch(waits, waits[i]+tenth)
			most = max(most, j-i)
		}
		if fair := float64(s.Routers) / 10; float64(most) > fair*1.1+3 {
			t.Errorf("%d of %d routers within a tenth of the window", most, s.Routers)
		}
	})
}

// Places of one event say nothing of those of the next, and a router keeps its place as others come.
func TestPlaces(t *testing.T) {
	s := Settings{Routers: 300, Number: 17, PerSecond: 100, Most: 60 * Second}
	more := s
	more.Routers = 600
	a, b := s.Wait("list", 1), more.Wait("list", 1)
	if s.Wait("list", 1) != a || s.Wait("list", 2) == a || s.Wait("zone", 1) == a {
		t.Error("places hang on nothing, or not on the event")
	}
	if d := b - 2*a; d < -2 || d > 2 {
		t.Errorf("with twice the routers %d, not twice %d", b, a)
	}
	if s.Window() != 3*Second {
		t.Errorf("a window of %d", s.Window())
	}
}

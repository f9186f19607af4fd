// Package pace decides when a router acts on what befalls all routers at one instant: discovery is back, a zone is back, a signal went to
// all. Each has a place of its own in a window, so that whoever is asked meets them one after the other. It does no I/O, has no clock,
// and knows of the other routers only how many there are and which number is its own.
//
// A query that waits must never be delayed by it: it is for what routers do of themselves.
package pace

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Time is a length of time, in whole tenths of a millisecond.
type Time int64

// Second is the unit that rates are stated by.
const Second Time = 10_000

// Settings is what a router is told.
type Settings struct {
	Routers   int
	Number    int     // its own, from 0
	PerSecond float64 // of such actions that whoever is asked bears, from all routers together
	Most      Time    // the longest window: acting late has a price, too
}

// golden is the fractional part of the golden ratio: multiples of it stay as far apart on a circle as points can whose number is not
// known beforehand (see package subset).
const golden = 0.6180339887498949

// Window is the time over which all routers act.
func (s Settings) Window() Time {
	if !(s.PerSecond > 0) || s.Routers < 2 {
		return 0
	}
	return min(Time(math.Ceil(float64(s.Routers)/s.PerSecond*float64(Second))), s.Most)
}

// Wait is how long this router waits before it acts on an event: what it is, and the how manieth of its kind here. Routers that count
// differently are spread as by chance, those that count alike evenly. Another number of routers changes the window, and no one's
// place in it.
func (s Settings) Wait(event string, nth int) Time {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(nth))
	turn := float64(xxhash.Sum64(append(b[:], event...))>>11) / (1 << 53)
	_, place := math.Modf(float64(s.Number)*golden + turn)
	return Time(place * float64(s.Window()))
}

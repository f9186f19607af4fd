package leases

// troubles.go owns what befalls the instances of a run in virtual time, drawn from its seed. It must leave the last part of a run
// alone, in which all work is to go on again.

import "moleshift/lease"

const (
	second = 1000 * lease.Millisecond
	firstT = 5 * second // before it nothing befalls anybody
)

// troubles draws what befalls whom and when, one upon the other as it comes.
func (w *world) troubles(end Time) {
	begin, end := epoch+firstT, end-Tenths(calm)
	if end <= begin {
		return
	}
	kinds := []struct {
		weight int
		do     func()
	}{
		{6, func() { // a process dies
			if i := w.pick(); i != nil {
				i.kill()
				keeps := w.rng.Float64() >= w.o.Diskless
				w.at(w.now+second/5+w.random(15*second), func() { i.start(keeps) })
			}
		}},
		{5, func() { // one stands still
			if i := w.pick(); i != nil {
				i.pause(second/10 + w.random(6*second))
			}
		}},
		{4, func() { // one is told to end
			if i := w.pick(); i != nil {
				i.leave()
				w.at(w.now+6*second+w.random(8*second), func() { i.start(true) })
			}
		}},
		{3, w.partition},
		{3, func() { // one hears, or is heard, no more
			if i := w.pick(); i != nil {
				w.oneWay(i)
			}
		}},
		{2, func() { // a disk takes nothing for a while
			if i := w.pick(); i != nil {
				i.full = true
				w.judge.say("disk of instance %d is full", i.seat)
				w.at(w.now+2*second+w.random(10*second), func() { i.full = false })
			}
		}},
		{1, func() { // all die at once
			w.judge.say("all die")
			for _, i := range w.instances {
				i.kill()
				w.at(w.now+second/5+w.random(2*second), func() { i.start(true) })
			}
		}},
	}
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	for range w.o.Faults {
		draw := w.rng.IntN(sum)
		for _, k := range kinds {
			if draw -= k.weight; draw < 0 {
				w.at(begin+w.random(end-begin), k.do)
				break
			}
		}
	}
	w.at(end, func() { // what still lasts is over
		for _, i := range w.instances {
			i.side, i.deaf, i.mute, i.full = 0, false, false, false
		}
		w.judge.say("no more faults")
		w.judge.changed()
	})
}

// pick is some instance that is up, unless too few would be left for a majority.
func (w *world) pick() *instance {
	var up []*instance
	for _, i := range w.instances {
		if i.node != nil && w.now >= i.still && !i.ending {
			up = append(up, i)
		}
	}
	if len(up)-1 < w.o.Instances/2+1 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

// partition cuts the instances into two to five sides for a while.
func (w *world) partition() {
	sides := 2 + w.rng.IntN(min(4, max(w.o.Instances-1, 1)))
	uneven := w.rng.Float64() < 0.7 // most of them leave a large side
	for _, i := range w.instances {
		if i.side = w.rng.IntN(sides); uneven && w.rng.Float64() < 0.7 {
			i.side = 0
		}
	}
	w.judge.say("cut into %d sides", sides)
	for _, i := range w.instances {
		if i.side != 0 {
			w.judge.fault(i, "cut")
		}
	}
	w.judge.changed()
	w.at(w.now+second+w.random(15*second), func() {
		for _, i := range w.instances {
			i.side = 0
		}
		w.judge.say("the cut heals")
		w.judge.changed()
	})
}

func (w *world) oneWay(i *instance) {
	if w.rng.IntN(2) == 0 {
		w.judge.fault(i, "hears nobody")
		i.deaf = true
	} else {
		w.judge.fault(i, "is not heard")
		i.mute = true
	}
	w.judge.changed()
	w.at(w.now+second+w.random(10*second), func() {
		i.deaf, i.mute = false, false
		w.judge.changed()
	})
}

package control

import "time"

// SlowTimes is how long things take where every disk is slow.
type SlowTimes struct {
	First      time.Duration // from the start of all machines to the first acknowledged order; 0: none was
	Order      time.Duration // the longest time of an order after that
	End        time.Duration // the longest time of an end of a server
	Violations []string
}

const (
	slowOrders = 10
	slowLength = 20 * time.Second // of the time in which servers come and go, beside that of the orders
	slowGiveUp = 90 * time.Second
)

// SlowDisks plays a world without faults in which keeping a record takes the given time on every disk.
func SlowDisks(seed uint64, members int, write time.Duration) SlowTimes {
	w := newWorld(seed, Options{Members: members, Routers: 2, Tolerance: (members - 1) / 2, Routes: 10, Servers: 4, Write: write})
	w.ops.patience = slowGiveUp
	began := time.Now()
	w.startAll()
	defer func() {
		close(w.ended)
		w.stop()
	}()
	var times SlowTimes
	if w.ops.change(0, 0, 1) != taken {
		return times
	}
	times.First = time.Since(began)
	for i := range w.options.Servers {
		w.timers.Go(func() { w.servers.run(addressOf(i)) })
	}
	w.timers.Go(w.servers.judgeEnds)
	for version := range int64(slowOrders) {
		asked := time.Now()
		if w.ops.change(0, version+1, version+2) != taken {
			w.violate("order %d is not taken within %v", version+2, slowGiveUp)
			break
		}
		times.Order = max(times.Order, time.Since(asked))
	}
	time.Sleep(slowLength)
	times.End = w.servers.slowestEnd()
	times.Violations = w.judge.broken()
	return times
}

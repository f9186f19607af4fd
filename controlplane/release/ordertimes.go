package release

// When orders for releases were taken, as far as one process knows.

import (
	"maps"
	"slices"
	"time"

	"moleshift/peer"
)

// orderTime is what is known of one order.
type orderTime struct {
	number    uint64
	by        time.Time // the order had been taken by then: it is at least as old
	witnessed bool      // by is when it was taken, but for the time of a message: a process that ran then has told
}

// OrderTimes holds what a process knows of when the orders for releases were taken, by its own steady clock. What it is told may be late
// and what it reads may be old, so a moment is only ever the latest that it can have been: an order may be older than that, and never
// younger. Its zero value knows nothing.
type OrderTimes struct {
	services map[string][]orderTime // in the order of their numbers
}

// Note notes that the order of a service with the given number had been taken by a moment. witnessed tells that it was taken at that
// moment, but for the time of a message.
func (o *OrderTimes) Note(service string, number uint64, by time.Time, witnessed bool) {
	if o.services == nil {
		o.services = map[string][]orderTime{}
	}
	list := o.services[service]
	i, found := slices.BinarySearchFunc(list, number, func(known orderTime, number uint64) int {
		return int(int64(known.number) - int64(number))
	})
	if !found {
		list = slices.Insert(list, i, orderTime{number, by, witnessed})
	}
	if by.Before(list[i].by) {
		list[i].by = by
	}
	list[i].witnessed = list[i].witnessed || witnessed
	for j := min(i+1, len(list)-1); j > 0; j-- { // an earlier order is older
		if list[j].by.Before(list[j-1].by) {
			list[j-1].by = list[j].by
		}
	}
	o.services[service] = list
}

// AtLeast gives how old the order with the given number is at the least; 0 where nothing is known of it.
func (o *OrderTimes) AtLeast(service string, number uint64, now time.Time) time.Duration {
	for _, known := range o.services[service] {
		if known.number >= number {
			return max(now.Sub(known.by), 0)
		}
	}
	return 0
}

// Knows tells whether anything is known of the very order with the given number.
func (o *OrderTimes) Knows(service string, number uint64) bool {
	return slices.ContainsFunc(o.services[service], func(known orderTime) bool { return known.number == number })
}

// Witnessed tells whether AtLeast is how old the order is, but for the time of a message.
func (o *OrderTimes) Witnessed(service string, number uint64) bool {
	return slices.ContainsFunc(o.services[service], func(known orderTime) bool { return known.number == number && known.witnessed })
}

// Keep drops what is known of orders that none of the releases remembers.
func (o *OrderTimes) Keep(releases []Release) {
	for service, list := range o.services {
		r := Of(releases, service)
		list = slices.DeleteFunc(list, func(known orderTime) bool { return r == nil || known.number < r.oldestOrder() })
		if len(list) == 0 {
			delete(o.services, service)
			continue
		}
		o.services[service] = list
	}
}

// Tell lists how old the orders are, for other processes and for the register, in a fixed order.
func (o *OrderTimes) Tell(now time.Time) []peer.OrderAge {
	var told []peer.OrderAge
	for _, service := range slices.Sorted(maps.Keys(o.services)) {
		for _, known := range o.services[service] {
			age := float64(max(now.Sub(known.by), 0)) / float64(time.Millisecond)
			told = append(told, peer.OrderAge{Service: service, Number: known.number, AgeMs: age, Witnessed: known.witnessed})
		}
	}
	return told
}

// Record gives what the register is to hold of how old the orders are that the releases remember: whole steps, so that it changes no more
// often than once a step, and no more than matters. An order matters until it is settled old, and while its release is under way, until the
// release's deadline.
func (o *OrderTimes) Record(now time.Time, releases []Release, settled, step time.Duration) []peer.OrderAge {
	var record []peer.OrderAge
	for i := range releases {
		r := &releases[i]
		for _, known := range o.services[r.Service] {
			if known.number > r.Number || known.number < r.oldestOrder() {
				continue
			}
			most := settled
			if known.number == r.Number && r.Active() {
				most = max(most, r.Deadline())
			}
			age := min(now.Sub(known.by), most+step-1).Truncate(step)
			record = append(record, peer.OrderAge{Service: r.Service, Number: known.number, AgeMs: float64(age) / float64(time.Millisecond)})
		}
	}
	return record
}

// Take notes what another process told, or what stands in the register.
func (o *OrderTimes) Take(now time.Time, told []peer.OrderAge) {
	for _, t := range told {
		age := time.Duration(t.AgeMs * float64(time.Millisecond))
		o.Note(t.Service, t.Number, now.Add(-age), t.Witnessed)
	}
}

package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"moleshift/peer"
)

const (
	// mostNamings bounds the namings kept of one model. Beyond it the two oldest become one, the newer version with the older moment.
	mostNamings = 128
	// agreeWithin is how far apart two accounts of the moment of one naming may lie and count as the same.
	agreeWithin = 50 * time.Millisecond
)

// Naming is one version of a model's weights with the moment at which this process takes it to have been named, by its steady clock.
type Naming struct {
	Version int64
	At      time.Time
}

// Namings holds the versions of each model that were named lately, oldest first. Each has a moment of its own, since the bound on
// requests to older weights runs from each naming. A value never changes: Note gives another one.
type Namings map[string][]Naming

// Note adds a naming or, where it is known, moves its moment forward to an earlier one: of several accounts the earliest holds, as
// a process may hear of a naming late but not before it. changed tells whether the result differs.
func (n Namings) Note(model string, version int64, at time.Time) (next Namings, changed bool) {
	list := slices.Clone(n[model])
	i, found := slices.BinarySearchFunc(list, version, func(known Naming, version int64) int { return int(known.Version - version) })
	switch {
	case found && at.After(list[i].At.Add(-agreeWithin)):
		return n, false
	case found:
		list[i].At = at
	case i < len(list) && list[i].At.Before(at):
		return n, false // a later version was named before that: nothing follows from this one
	default:
		list = slices.Insert(list, i, Naming{version, at})
	}
	for j := range i { // what was named before cannot have been named later
		if at.Before(list[j].At) {
			list[j].At = at
		}
	}
	if len(list) > mostNamings {
		list[1].At = list[0].At
		list = list[1:]
	}
	next = maps.Clone(n)
	if next == nil {
		next = Namings{}
	}
	next[model] = list
	return next, true
}

// Newest gives the newest version named of a model; 0 where none was.
func (n Namings) Newest(model string) int64 {
	if list := n[model]; len(list) > 0 {
		return list[len(list)-1].Version
	}
	return 0
}

// NamedBy gives the newest version of a model that was named by the given moment; 0 where none was.
func (n Namings) NamedBy(model string, moment time.Time) int64 {
	for _, naming := range slices.Backward(n[model]) {
		if !naming.At.After(moment) {
			return naming.Version
		}
	}
	return 0
}

// FirstAbove gives the moment of the first naming of a version above the given one; ok is false where none is.
func (n Namings) FirstAbove(model string, version int64) (at time.Time, ok bool) {
	for _, naming := range n[model] {
		if naming.Version > version {
			return naming.At, true
		}
	}
	return time.Time{}, false
}

// Without gives the namings without those that were followed by another one before the given moment.
func (n Namings) Without(before time.Time) Namings {
	next := Namings{}
	for model, list := range n {
		first := 0
		for first+1 < len(list) && list[first+1].At.Before(before) {
			first++
		}
		next[model] = list[first:]
	}
	return next
}

// Tell lists the namings that are not older than most, and the newest of each model whatever its age, for other processes, in a fixed
// order: whoever is not told of the newest would take it for named just now.
func (n Namings) Tell(now time.Time, most time.Duration) []peer.Naming {
	var told []peer.Naming
	for _, model := range slices.Sorted(maps.Keys(n)) {
		for i, naming := range n[model] {
			if age := now.Sub(naming.At); age <= most || i == len(n[model])-1 {
				told = append(told, peer.Naming{Model: model, Version: naming.Version, AgeMs: float64(age) / float64(time.Millisecond)})
			}
		}
	}
	return told
}

// Record gives what the register is to hold of how old the namings are, where it holds some: whole steps, so that it changes no more often
// than once a step, and no more than matters. A naming matters until it is as old as most, and afterwards as the last one of its model
// that is.
func (n Namings) Record(now time.Time, held []peer.Naming, most, step time.Duration) []peer.Naming {
	record := n.Without(now.Add(-most)).Tell(now, math.MaxInt64)
	for i := range record {
		age := time.Duration(record[i].AgeMs * float64(time.Millisecond))
		whole := min(age, most+step-1).Truncate(step)
		record[i].AgeMs = max(float64(whole)/float64(time.Millisecond), ageOf(held, &record[i]))
	}
	return record
}

// ageOf gives the age of a naming in a list, in ms; 0 where it is not there.
func ageOf(list []peer.Naming, naming *peer.Naming) float64 {
	for _, known := range list {
		if known.Model == naming.Model && known.Version == naming.Version {
			return known.AgeMs
		}
	}
	return 0
}

// Take notes namings that another process told of.
func (n Namings) Take(now time.Time, told []peer.Naming) Namings {
	for _, naming := range told {
		age := time.Duration(naming.AgeMs * float64(time.Millisecond))
		n, _ = n.Note(naming.Model, naming.Version, now.Add(-age))
	}
	return n
}

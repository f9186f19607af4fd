// Package rollout decides which server loads new weights next.
//
// It owns the versions that were named and how many servers of a service may load at once. It is pure: orders are sent by others.
package rollout

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file rollout.go -tests=false -o rollout_gen.go

import (
	"cmp"
	"math"
	"slices"

	"moleshift/controlplane/singleton"
	"moleshift/fault"
	"moleshift/peer"
)

// atOnceShare is the share of a service's servers that load at once, one at least: more than that slows all of them down and
// leaves too few to serve.
const atOnceShare = 0.2

// State is what the register of weights holds.
type State struct {
	Versions []peer.Model    `msg:"v"` // the newest version named, by model
	Lease    singleton.Lease `msg:"l"` // who orders servers to load
}

// Name gives the state after a version was named; same tells that nothing changes by it.
func (s *State) Name(model string, version int64) (next *State, same bool, err error) {
	if model == "" || version < 1 {
		return nil, false, fault.New(fault.BadConfig, "model %q, version %d: a model and a version of 1 or more are wanted", model, version)
	}
	versions := slices.Clone(s.Versions)
	i := slices.IndexFunc(versions, func(m peer.Model) bool { return m.Name == model })
	switch {
	case i < 0:
		versions = append(versions, peer.Model{Name: model, Version: version})
	case versions[i].Version >= version:
		return s, true, nil
	default:
		versions[i].Version = version
	}
	return &State{Versions: versions, Lease: s.Lease}, false, nil
}

// Version gives the newest version named of a model; 0 where none was.
func (s *State) Version(model string) int64 { return VersionOf(s.Versions, model) }

// VersionOf finds a model's version in a list; 0 where it is not there.
func VersionOf(models []peer.Model, name string) int64 {
	for _, m := range models {
		if m.Name == name {
			return m.Version
		}
	}
	return 0
}

// Step is an order to give: an instance and the weights that it is to load.
type Step struct {
	Instance peer.Instance
	Model    peer.Model
}

// Behind gives what an instance has yet to load.
func (s *State) Behind(in *peer.Instance) (peer.Model, bool) {
	for _, m := range in.Models {
		if v := s.Version(m.Name); v > m.Version {
			return peer.Model{Name: m.Name, Version: v}, true
		}
	}
	return peer.Model{}, false
}

// Turn is how far a server's turn is.
type Turn int

// The states of a turn.
const (
	NoTurn   Turn = iota
	Emptying      // routers send it nothing new, its runs end
	Lasting       // the same, and they take long to end
	Loading
)

// Next gives the servers whose turn begins now. turn tells how far the turns of others are; load how much an instance has to do, the
// least comes first. More have their turn than may load at once, so that some let their runs end meanwhile. Servers
// whose runs take long do not hold the others up, but at most half of a service's servers are out at a time.
func (s *State) Next(live []peer.Instance, turn func(id string) Turn, load func(id string) float64) []Step {
	count, out, lasting := map[string]int{}, map[string]int{}, map[string]int{}
	var behind []Step
	for _, in := range live {
		if in.State > 0 { // it leaves: new weights would come too late for it
			continue
		}
		count[in.Service]++
		if t := turn(in.ID); t != NoTurn {
			out[in.Service]++
			if t == Lasting {
				lasting[in.Service]++
			}
			continue
		}
		if m, ok := s.Behind(&in); ok {
			behind = append(behind, Step{in, m})
		}
	}
	slices.SortStableFunc(behind, func(a, b Step) int {
		return cmp.Or(cmp.Compare(load(a.Instance.ID), load(b.Instance.ID)), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	var steps []Step
	for _, step := range behind {
		service := step.Instance.Service
		if out[service]-lasting[service] >= Turns(count[service]) || 2*out[service] >= max(count[service], 2) {
			continue
		}
		out[service]++
		steps = append(steps, step)
	}
	return steps
}

// Turns is how many of a service's servers have their turn at the same time: those that load, and half as many that empty meanwhile.
func Turns(servers int) int { return AtOnce(servers) + max(1, AtOnce(servers)/2) }

// AtOnce is how many of a service's servers may load at the same time.
func AtOnce(servers int) int { return max(1, int(math.Round(atOnceShare*float64(servers)))) }

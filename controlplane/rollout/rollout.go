// Package rollout decides which server loads new weights next.
//
// It owns the versions that were named and how many servers of a service may load at once. It is pure: orders are sent by others.
package rollout

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -file rollout.go -tests=false -o rollout_gen.go
//msgp:ignore Step Round

import (
	"cmp"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/samber/lo"

	"moleshift/controlplane/release"
	"moleshift/controlplane/singleton"
	"moleshift/fault"
	"moleshift/peer"
)

// atOnceShare is the share of a service's servers that load at once, one at least: more than that slows all of them down and
// leaves too few to serve.
const atOnceShare = 0.2

// orderedBy is the share of version-ms after which a server is ordered however many others load: routers send nothing to older weights
// from then on, so that a server with such is of no use.
const orderedBy = 0.75

// State is what the register of weights holds.
type State struct {
	Versions []peer.Model    `msg:"v"` // the newest version named, by model
	Lease    singleton.Lease `msg:"l"` // who orders servers to load

	Releases  []release.Release  `msg:"r"` // of services to other versions of their servers' software; one a service
	Baselines []release.Baseline `msg:"b"` // versions in service of services that no release was ordered for

	// How old the orders for releases and the namings of weights are at the least: they were so old when this was written. So the time that
	// has passed since is not forgotten with the processes that saw it pass.
	OrderAges  []peer.OrderAge `msg:"o"`
	NamingAges []peer.Naming   `msg:"n"`
}

// clone gives a copy whose fields may be set anew.
func (s *State) clone() *State {
	next := *s
	return &next
}

// WithLease gives the state with another lease.
func (s *State) WithLease(lease singleton.Lease) *State {
	next := s.clone()
	next.Lease = lease
	return next
}

// WithReleases gives the state with other releases.
func (s *State) WithReleases(releases []release.Release) *State {
	next := s.clone()
	next.Releases = releases
	return next
}

// WithBaselines gives the state with other versions in service.
func (s *State) WithBaselines(baselines []release.Baseline) *State {
	next := s.clone()
	next.Baselines = baselines
	return next
}

// WithAges gives the state with other ages of orders and namings.
func (s *State) WithAges(orders []peer.OrderAge, namings []peer.Naming) *State {
	next := s.clone()
	next.OrderAges, next.NamingAges = orders, namings
	return next
}

// SameForRouters tells whether routers act on another state as on this one: leases are none of their matter, and ages are only wanted by
// those that have just started.
func (s *State) SameForRouters(other *State) bool {
	return slices.Equal(s.Versions, other.Versions) && reflect.DeepEqual(s.Releases, other.Releases) &&
		reflect.DeepEqual(s.Baselines, other.Baselines)
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
	next = s.clone()
	next.Versions = versions
	return next, false, nil
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
	Since    time.Time // when the first version that the instance lacks was named
}

// Behind gives what an instance has yet to load: of its models the one whose first missing version was named earliest.
func (s *State) Behind(in *peer.Instance, namings Namings) (step Step, ok bool) {
	for _, m := range in.Models {
		newest := s.Version(m.Name)
		if newest <= m.Version {
			continue
		}
		since, _ := namings.FirstAbove(m.Name, m.Version) // where that is forgotten, long ago
		if !ok || since.Before(step.Since) {
			step, ok = Step{*in, peer.Model{Name: m.Name, Version: newest}, since}, true
		}
	}
	return step, ok
}

// Turn is how far a server's turn is.
type Turn int

// The states of a turn.
const (
	NoTurn  Turn = iota
	Loading      // routers send it nothing new, its runs end and it loads
	Lasting      // the same, and its runs take long to end
)

// Round is what the choice of the next servers depends on, beside the versions and the servers.
type Round struct {
	Now     time.Time
	Bound   time.Duration // version-ms: no request may begin on weights older than those named so long ago
	Namings Namings
	Turn    func(id string) Turn    // how far the turns of others are
	Load    func(id string) float64 // how much an instance has to do
}

// pacedBy is the share of version-ms by which all turns have begun where that keeps fewer servers out at a time than may be.
const pacedBy = 0.5

// paced tells whether one more of a service's servers may have its turn for weights named so long ago, of which begun servers had
// theirs or have it: what loads is empty afterwards, and a few at a time are filled again with less harm than many.
func paced(begun, servers int, since, bound time.Duration) bool {
	due := float64(servers) * float64(since) / (pacedBy * float64(bound))
	return float64(begun) < float64(Turns(servers))/3+due
}

// Next gives the servers whose turn begins now, as the pace allows: first those for whom the first version that they lack was named earliest, so that a
// series of namings keeps nobody waiting, then those with the least to do. More have their turn than may load at once, so that some
// let their runs end meanwhile. Servers whose runs take long do not hold the others up, but at most half of a service's servers are
// out at a time. Servers whose time is over have their turn whatever others do.
func (s *State) Next(live []peer.Instance, round Round) []Step {
	count, out, lasting := map[string]int{}, map[string]int{}, map[string]int{}
	var behind []Step
	for _, in := range live {
		if in.State > 0 { // it leaves: new weights would come too late for it
			continue
		}
		count[in.Service]++
		if t := round.Turn(in.ID); t != NoTurn {
			out[in.Service]++
			if t == Lasting {
				lasting[in.Service]++
			}
			continue
		}
		if step, ok := s.Behind(&in, round.Namings); ok {
			behind = append(behind, step)
		}
	}
	slices.SortStableFunc(behind, func(a, b Step) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(round.Load(a.Instance.ID), round.Load(b.Instance.ID)), cmp.Compare(a.Instance.ID, b.Instance.ID))
	})
	var steps []Step
	waiting := lo.CountValuesBy(behind, func(step Step) string { return step.Instance.Service })
	for _, step := range behind {
		service := step.Instance.Service
		since := round.Now.Sub(step.Since)
		full := out[service]-lasting[service] >= Turns(count[service]) || 2*out[service] >= max(count[service], 2)
		early := !paced(count[service]-waiting[service], count[service], since, round.Bound)
		if (full || early) && !Overdue(since, round.Bound) {
			continue
		}
		out[service]++
		waiting[service]--
		steps = append(steps, step)
	}
	return steps
}

// Overdue tells whether a server has to be ordered at once: from the order on, no request begins there on its old weights.
func Overdue(since, bound time.Duration) bool {
	return since >= time.Duration(orderedBy*float64(bound))
}

// Turns is how many of a service's servers have their turn at the same time: those that load, and half as many whose runs end meanwhile.
func Turns(servers int) int { return AtOnce(servers) + max(1, AtOnce(servers)/2) }

// AtOnce is how many of a service's servers may load at the same time.
func AtOnce(servers int) int { return max(1, int(math.Round(atOnceShare*float64(servers)))) }

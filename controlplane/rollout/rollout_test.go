package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/controlplane/registry"
	"moleshift/fault"
	"moleshift/peer"
)

func servers(n int, version int64) []peer.Instance {
	var list []peer.Instance
	for i := range n {
		list = append(list, peer.Instance{ID: fmt.Sprintf("i%02d", i), Service: "llm", Models: []peer.Model{{Name: "m", Version: version}}})
	}
	return list
}

func TestNamedVersionsOnlyRise(t *testing.T) {
	s := &State{}
	s, same, err := s.Name("m", 2)
	must.NoError(t, err)
	must.False(t, same)
	_, same, err = s.Name("m", 2)
	must.NoError(t, err)
	must.True(t, same, must.Sprint("the same call again"))
	_, same, err = s.Name("m", 1)
	must.NoError(t, err)
	must.True(t, same, must.Sprint("a call that was late"))
	must.Eq(t, 2, s.Version("m"))
	must.Eq(t, 0, s.Version("other"))
	_, _, err = s.Name("", 2)
	must.Eq(t, fault.BadConfig, fault.KindOf(err))
	_, _, err = s.Name("m", 0)
	must.Eq(t, fault.BadConfig, fault.KindOf(err))
}

func none(string) Turn    { return NoTurn }
func idle(string) float64 { return 0 }

// round is a choice of the next servers once the pace holds nobody back.
func round(turn func(id string) Turn) Round {
	named := time.Now().Add(-time.Hour / 2)
	return Round{Now: time.Now(), Bound: time.Hour, Turn: turn, Load: idle, Namings: Namings{"m": {{1, named}, {2, named}}}}
}

func TestTurnsAreBounded(t *testing.T) {
	for n, turns := range map[int]int{1: 1, 3: 2, 9: 3, 12: 3, 90: 27, 140: 42} {
		s, _, err := (&State{}).Name("m", 2)
		must.NoError(t, err)
		states := map[string]Turn{}
		turn := func(id string) Turn { return states[id] }
		steps := s.Next(servers(n, 1), round(turn))
		must.Len(t, turns, steps, must.Sprintf("%d servers", n))
		for _, step := range steps {
			states[step.Instance.ID] = Loading
			must.Eq(t, 2, step.Model.Version)
		}
		must.Len(t, 0, s.Next(servers(n, 1), round(turn)), must.Sprint("all turns are taken"))
		must.Len(t, 0, s.Next(servers(n, 2), round(none)), must.Sprint("all have them"))
	}
}

func TestServersWhoseRunsLastHoldNobodyUp(t *testing.T) {
	s, _, err := (&State{}).Name("m", 2)
	must.NoError(t, err)
	states := map[string]Turn{}
	turn := func(id string) Turn { return states[id] }
	for _, step := range s.Next(servers(12, 1), round(turn)) {
		states[step.Instance.ID] = Lasting
	}
	steps := s.Next(servers(12, 1), round(turn))
	must.Len(t, 3, steps, must.Sprint("half of twelve are out then"))
	for _, step := range steps {
		states[step.Instance.ID] = Loading
	}
	must.Len(t, 0, s.Next(servers(12, 1), round(turn)))
}

func TestAtOnce(t *testing.T) {
	for n, most := range map[int]int{1: 1, 3: 1, 9: 2, 12: 2, 90: 18, 140: 28} {
		must.Eq(t, most, AtOnce(n))
	}
}

func TestLeavingServersAreLeftAlone(t *testing.T) {
	s, _, err := (&State{}).Name("m", 2)
	must.NoError(t, err)
	list := servers(2, 1)
	list[0].State = registry.Draining
	steps := s.Next(list, round(none))
	must.Len(t, 1, steps)
	must.Eq(t, "i01", steps[0].Instance.ID)
}

func TestLeastLoadedFirst(t *testing.T) {
	s, _, err := (&State{}).Name("m", 2)
	must.NoError(t, err)
	load := map[string]float64{"i00": 9, "i01": 5, "i02": 7}
	next := round(none)
	next.Load = func(id string) float64 { return load[id] }
	steps := s.Next(servers(3, 1), next)
	must.Eq(t, "i01", steps[0].Instance.ID)
}

// Where versions are named faster than all servers load, each server still gets its turn in time: no server runs weights older than
// those named versionBound ago.
func TestNamingsInSeriesStarveNoServer(t *testing.T) {
	const (
		versionBound = 8 * time.Second
		every        = 4 * time.Second
		loadTime     = time.Second
		tick         = 100 * time.Millisecond
	)
	s := &State{}
	start := time.Now()
	next := Round{Bound: versionBound, Load: idle}
	list := servers(9, 1)
	ends := map[string]time.Duration{} // of loads under way
	goal := map[string]int64{}
	next.Turn = func(id string) Turn {
		if _, ok := ends[id]; ok {
			return Loading
		}
		return NoTurn
	}
	for now := time.Duration(0); now < time.Minute; now += tick {
		if now%every == 0 {
			s, _, _ = s.Name("m", int64(now/every)+2)
			next.Namings, _ = next.Namings.Note("m", int64(now/every)+2, start.Add(now))
		}
		for i := range list {
			if end, ok := ends[list[i].ID]; ok && now >= end {
				list[i].Models = []peer.Model{{Name: "m", Version: goal[list[i].ID]}}
				delete(ends, list[i].ID)
			}
			least := int64((now-versionBound)/every) + 2
			must.True(t, now < versionBound || list[i].Models[0].Version >= least,
				must.Sprintf("at %v server %s runs version %d, wanted is %d", now, list[i].ID, list[i].Models[0].Version, least))
		}
		next.Now = start.Add(now)
		for _, step := range s.Next(list, next) {
			if len(ends) < AtOnce(len(list)) {
				ends[step.Instance.ID], goal[step.Instance.ID] = now+loadTime, step.Model.Version
			}
		}
	}
}

func TestServersWhoseTimeIsOverDoNotWait(t *testing.T) {
	s, _, err := (&State{}).Name("m", 2)
	must.NoError(t, err)
	next := round(func(id string) Turn {
		if id < "i03" {
			return Loading
		}
		return NoTurn
	})
	next.Bound = 8 * time.Second
	next.Namings = Namings{"m": {{1, next.Now}, {2, next.Now}}}
	must.Len(t, 0, s.Next(servers(9, 1), next))
	next.Now = next.Now.Add(6 * time.Second)
	must.Len(t, 6, s.Next(servers(9, 1), next))
}

// Where loads are quick, servers have their turns one after the other over half of the time, not as many at once as may be.
func TestTurnsAreSpreadOverTime(t *testing.T) {
	s, _, err := (&State{}).Name("m", 2)
	must.NoError(t, err)
	list := servers(90, 1)
	next := round(none)
	named := next.Now
	next.Namings = Namings{"m": {{2, named}}}
	next.Bound = 12 * time.Second
	begun := 0
	for since := time.Duration(0); since <= 6*time.Second; since += 100 * time.Millisecond {
		next.Now = named.Add(since)
		for _, step := range s.Next(list, next) { // each loads at once
			i := slices.IndexFunc(list, func(in peer.Instance) bool { return in.ID == step.Instance.ID })
			list[i].Models = []peer.Model{{Name: "m", Version: 2}}
			begun++
		}
		must.LessEq(t, 10+int(90*since/(6*time.Second)), begun, must.Sprint(since))
	}
	must.Eq(t, 90, begun)
}

// However long runs last and loads take, every server has been ordered by the time from which routers send nothing to older weights.
func TestAllServersAreOrderedInTime(t *testing.T) {
	const (
		bound = 10 * time.Second
		tick  = 100 * time.Millisecond
	)
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 11))
		s, _, err := (&State{}).Name("m", 2)
		must.NoError(t, err)
		list := servers(1+random.IntN(140), 1)
		began, longest := map[string]time.Duration{}, time.Duration(1+random.IntN(8))*time.Second
		takes := map[string]time.Duration{}
		now := time.Duration(0)
		next := round(func(id string) Turn {
			at, ok := began[id]
			switch {
			case !ok:
				return NoTurn
			case now-at > 3*time.Second:
				return Lasting
			}
			return Loading
		})
		named := next.Now
		next.Bound, next.Namings = bound, Namings{"m": {{2, named}}}
		for ; now <= time.Duration(orderedBy*float64(bound)); now += tick {
			next.Now = named.Add(now)
			for _, step := range s.Next(list, next) {
				began[step.Instance.ID] = now
				takes[step.Instance.ID] = 500*time.Millisecond + time.Duration(random.Int64N(int64(longest)))
			}
			for i := range list {
				if at, ok := began[list[i].ID]; ok && now-at >= takes[list[i].ID] {
					list[i].Models = []peer.Model{{Name: "m", Version: 2}}
					delete(began, list[i].ID)
				}
			}
		}
		for _, in := range list {
			_, turn := began[in.ID]
			must.True(t, turn || in.Models[0].Version == 2, must.Sprintf("seed %d: %s of %d has not been ordered", seed, in.ID, len(list)))
		}
	}
}

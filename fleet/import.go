package fleet

// import.go owns how a description is made from what the platform tells routers: their configuration and the
// list of leaves. What neither says (cores, speeds, queues, what a query takes of a router) is asked for or
// guessed, and each guess is named. It must never make up a leaf, a shard or a rule.

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"moleshift/choice"
	"moleshift/config"
)

// Guess is what the platform does not say of leaves and routers.
type Guess struct {
	Cores, Queue, Connections int
	Speed                     float64
	PerQuery, PerCall         time.Duration
}

// Import makes a description from the configurations of routers, one or more, and the list of leaves; without
// a list that of the first configuration serves. Notes say what was guessed and what was left out.
func Import(routers []*config.Config, list *config.List, guess Guess) (*Fleet, []string, error) {
	if len(routers) == 0 {
		return nil, nil, errors.New("no router's configuration was given")
	}
	first := routers[0]
	if list == nil {
		list = &first.Known
	}
	m := first.Settings.Module
	f := Default()
	f.Zones = slices.Clone(first.Settings.Zones)
	f.Shards, f.Cells, f.Span = m.Shards, m.Cells, m.Span
	var notes []string
	note := func(format string, args ...any) { notes = append(notes, fmt.Sprintf(format, args...)) }
	f.Kinds = []Kind{
		{
			Name:        "leaf",
			Cores:       max(guess.Cores, 1),
			Speed:       orOne(guess.Speed),
			Queue:       guess.Queue,
			Connections: guess.Connections,
		},
	}
	note(
		"kinds: the list does not tell cores, speed and queue of leaves: %d cores of speed %g, a queue of %d for all",
		f.Kinds[0].Cores,
		f.Kinds[0].Speed,
		f.Kinds[0].Queue,
	)
	note("links: not told, %v and %v are guesses", f.Links.Same, f.Links.Cross)
	f.importLeaves(list, note)
	f.importRouters(routers, guess, note)
	for i, v := range m.Verticals {
		f.Verticals = append(
			f.Verticals,
			Vertical{Name: first.Settings.Verticals[i], SLO: span(v.SLO), Deadline: span(v.Deadline),
				Effect: effectName(v.Effect), DedupWindow: span(v.DedupWindow),
				Utility: v.Utility, LateUtility: v.LateUtility,
				Need: v.Need, Floor: v.Floor, PartialEarns: v.PartialEarns},
		)
	}
	for i, t := range m.Tenants {
		f.Tenants = append(f.Tenants, Tenant{first.Settings.Tenants[i], t.PerSecond})
	}
	f.Rules = Rules{
		Tick:          span(m.Tick),
		Batch:         m.Batch,
		Overhead:      m.Overhead,
		MaxCalls:      m.MaxCalls,
		SecondCopies:  m.SecondCopies,
		Cancel:        m.MayCancel,
		Probes:        m.MayProbe,
		ProbeReports:  m.ProbeReports,
		HoldOff:       m.HoldOff,
		MaxHoldOff:    span(m.MaxHoldOff),
		ColdTime:      span(m.ColdTime),
		ColdShare:     m.ColdShare,
		FallTime:      span(m.FallTime),
		FallMultiple:  m.FallMultiple,
		CrossZone:     m.CrossZone,
		UtilityByWork: m.UtilityByWork,
	}
	if m.BudgetSet {
		f.Rules.BudgetWindow = span(m.BudgetWindow)
		f.Rules.BudgetSpare, f.Rules.BudgetRatio = m.BudgetSpare, m.BudgetRatio
	}
	note(
		"clients: what they do when they are turned away is not told: %d retries by %g of them, after %v",
		f.Clients.Retries,
		f.Clients.Share,
		f.Clients.Backoff,
	)
	if len(f.Groups) == 0 {
		return nil, notes, errors.New("the list holds no leaf that is in service")
	}
	// What is written must be what is read: faults show here and not with the next command.
	var text strings.Builder
	if err := f.Write(&text, notes); err != nil {
		return nil, notes, err
	}
	read, err := Decode("imported", []byte(text.String()))
	return read, notes, err
}

func span(t choice.Time) time.Duration { return time.Duration(t) * (time.Millisecond / 10) }

func effectName(e choice.Effect) string {
	for name, is := range effects {
		if is == e {
			return name
		}
	}
	return ""
}

// importLeaves groups the leaves by zone: a group's i-th leaf has the i-th of its cells, so each zone is one
// group.
func (f *Fleet) importLeaves(list *config.List, note func(string, ...any)) {
	cells := map[string][]int{}
	left := map[string]int{}
	for _, s := range list.Servers {
		switch {
		case s.Condition() != choice.Ready:
			left["not in service"]++
		case s.Cell >= f.Cells:
			left["of a cell that the settings do not know"]++
		default:
			if f.Zone(s.Zone) < 0 {
				f.Zones = append(f.Zones, s.Zone)
				note("zones: %q stands in the list and not in the settings", s.Zone)
			}
			cells[s.Zone] = append(cells[s.Zone], s.Cell)
		}
	}
	for _, why := range []string{"not in service", "of a cell that the settings do not know"} {
		if n := left[why]; n > 0 {
			note("leaves: %d left out, %s", n, why)
		}
	}
	for _, z := range f.Zones {
		if all := cells[z]; len(all) > 0 {
			slices.Sort(all)
			f.Groups = append(
				f.Groups,
				Group{Name: "leaf-" + z, Count: len(all), Kind: f.Kinds[0].Name, Zone: z, Cells: all},
			)
		}
	}
}

// importRouters makes a group of each configuration. The settings say how many routers there are; those that
// no configuration was given for count with the first.
func (f *Fleet) importRouters(routers []*config.Config, guess Guess, note func(string, ...any)) {
	total := routers[0].Settings.Module.Roots
	type like struct {
		zone   int
		limits config.Limits
		cap    int
	}
	var order []like
	count := map[like]int{}
	for _, c := range routers {
		l := like{c.Settings.Module.Zone, c.Limits, c.Settings.OpenCap}
		if count[l] == 0 {
			order = append(order, l)
		}
		count[l]++
	}
	if missing := total - len(routers); missing > 0 {
		count[order[0]] += missing
		note(
			"routers: the settings tell of %d, %d were given; the others are counted as the first, in its zone",
			total,
			len(routers),
		)
	}
	for i, l := range order {
		f.Routers = append(
			f.Routers,
			Routers{
				Name:     "router-" + strconv.Itoa(i),
				Count:    count[l],
				Zone:     f.Zones[min(l.zone, len(f.Zones)-1)],
				Cores:    l.limits.Cores,
				MemoryMB: l.limits.MemoryMB,
				Sockets:  l.limits.Sockets,
				OpenCap:  l.cap,
				PerQuery: guess.PerQuery,
				PerCall:  guess.PerCall,
			},
		)
	}
	if guess.PerQuery == 0 {
		note(
			"routers: what a query and a call take of CPU is not told, so CPU is no limit here; molelab validate measures it",
		)
	}
}

// Write writes a description as YAML, with notes as comments at its head.
func (f *Fleet) Write(out io.Writer, notes []string) error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	for _, n := range notes {
		line("# %s", n)
	}
	list := func(names []string) string {
		quoted := make([]string, len(names))
		for i, n := range names {
			quoted[i] = strconv.Quote(n)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	line("zones: %s", list(f.Zones))
	line("links: {same: %v, cross: %v, jitter: %g}", f.Links.Same, f.Links.Cross, f.Links.Jitter)
	line("kinds:")
	for _, k := range f.Kinds {
		line(
			"  - {name: %q, cores: %d, speed: %g, queue: %d, connections: %d}",
			k.Name,
			k.Cores,
			k.Speed,
			k.Queue,
			k.Connections,
		)
	}
	line("shards: %d\ncells: %d\nspan: %d\nleaves:", f.Shards, f.Cells, f.Span)
	for _, g := range f.Groups {
		line("  - {name: %q, count: %d, kind: %q, zone: %q, cells: %s}", g.Name, g.Count, g.Kind, g.Zone,
			strings.ReplaceAll(fmt.Sprint(g.Cells), " ", ", "))
	}
	line("routers:")
	for _, r := range f.Routers {
		line(
			"  - {name: %q, count: %d, zone: %q, cores: %g, memory_mb: %d, sockets: %d, open_cap: %d, cpu_per_query: %v, cpu_per_call: %v}",
			r.Name,
			r.Count,
			r.Zone,
			r.Cores,
			r.MemoryMB,
			r.Sockets,
			r.OpenCap,
			r.PerQuery,
			r.PerCall,
		)
	}
	line("verticals:")
	for _, v := range f.Verticals {
		line(
			"  - {name: %q, slo: %v, deadline: %v, effect: %s, dedup_window: %v, utility: %g, late_utility: %g, need: %g, floor: %g, "+
				"partial_earns: %g}",
			v.Name,
			v.SLO,
			v.Deadline,
			v.Effect,
			v.DedupWindow,
			v.Utility,
			v.LateUtility,
			v.Need,
			v.Floor,
			v.PartialEarns,
		)
	}
	if len(f.Tenants) > 0 {
		line("tenants:")
	}
	for _, t := range f.Tenants {
		line("  - {name: %q, per_second: %g}", t.Name, t.PerSecond)
	}
	r := &f.Rules
	line(
		"rules: {tick: %v, batch: %d, overhead: %g, max_calls: %d, second_copies: %v, cancel: %v, probes: %v, probe_reports: %v,",
		r.Tick,
		r.Batch,
		r.Overhead,
		r.MaxCalls,
		r.SecondCopies,
		r.Cancel,
		r.Probes,
		r.ProbeReports,
	)
	line(
		"  hold_off: %v, max_hold_off: %v, budget_window: %v, budget_spare: %g, budget_ratio: %g, cold_time: %v, cold_share: %g,",
		r.HoldOff,
		r.MaxHoldOff,
		r.BudgetWindow,
		r.BudgetSpare,
		r.BudgetRatio,
		r.ColdTime,
		r.ColdShare,
	)
	line(
		"  fall_time: %v, fall_multiple: %g, cross_zone: %g, utility_by_work: %v}",
		r.FallTime,
		r.FallMultiple,
		r.CrossZone,
		r.UtilityByWork,
	)
	c := &f.Clients
	line(
		"clients: {retries: %d, share: %g, backoff: %v, honour: %g}",
		c.Retries,
		c.Share,
		c.Backoff,
		c.Honour,
	)
	_, err := io.WriteString(out, b.String())
	return err
}

package router

// subset.go owns which leaves are the module's candidates where a router is to hold a few of them only: package subset says which, the
// others are told to the module as holding nothing. It must never keep a leaf from it that the subset has.

import (
	"fmt"

	"moleshift/choice"
	"moleshift/config"
	"moleshift/pace"
	"moleshift/subset"
)

// subsetting is the subset and what hangs on it. It is the owner's.
type subsetting struct{ keeper *subset.Keeper }

// enableSubset has the owner hold a few leaves of each cell.
func (o *owner) enableSubset() error {
	set := o.cfg.More.Subset
	number, err := numberOf(o.cfg, set.Number)
	if err != nil {
		return fmt.Errorf("subset.number: %w", err)
	}
	zone := ""
	if set.Zone {
		zone = fmt.Sprint(o.cfg.Settings.Module.Zone)
	}
	o.holding = &subsetting{subset.NewKeeper(subset.Settings{Routers: o.cfg.Settings.Module.Roots, Number: number, Leaves: set.Leaves, Zone: zone})}
	o.news(o.cfg.Known, true)
	return nil
}

// numberOf is the router's own among all: as stated, or at the end of its name.
func numberOf(cfg *config.Config, stated int) (int, error) {
	if stated < 0 {
		n, err := config.NumberOf(cfg.Name)
		if err != nil {
			return 0, err
		}
		stated = n
	}
	if roots := cfg.Settings.Module.Roots; stated >= roots {
		return 0, fmt.Errorf("%d is not below the number of routers, %d", stated, roots)
	}
	return stated, nil
}

// paceOf is when this router acts on what befalls all; with the pace off it is at once.
func paceOf(cfg *config.Config) (pace.Settings, error) {
	p := &cfg.More.Pace
	if !p.Enabled {
		return pace.Settings{}, nil
	}
	number, err := numberOf(cfg, p.Number)
	if err != nil {
		return pace.Settings{}, fmt.Errorf("pace.number: %w", err)
	}
	return pace.Settings{Routers: cfg.Settings.Module.Roots, Number: number, PerSecond: p.Rate, Most: pace.Time(tenths(p.Most))}, nil
}

// list tells the subset of the leaves in service, and whether that has changed it.
func (h *subsetting) list(o *owner) bool {
	var leaves []subset.Leaf
	for _, l := range o.listed {
		if l.serving {
			leaves = append(leaves, subset.Leaf{ID: l.id, Group: fmt.Sprint(l.cell), Zone: fmt.Sprint(l.last.Zone)})
		}
	}
	return h.keeper.List(subset.Time(o.now), leaves)
}

// entry is a leaf's for the module. One that the subset has not holds nothing.
func (h *subsetting) entry(l *leaf) choice.Entry {
	e := l.last
	if !h.keeper.Holds(l.id) {
		e.Shards = []int{}
	}
	return e
}

// tell tells the module anew what leaves hold.
func (h *subsetting) tell(o *owner) {
	var entries []choice.Entry
	for _, l := range o.listed {
		if !l.gone {
			entries = append(entries, h.entry(l))
		}
	}
	o.log.Info().Int("leaves", len(h.keeper.Chosen())).Int("of", len(entries)).Msg("leaves held")
	o.root.List(o.now, entries, false, true)
}

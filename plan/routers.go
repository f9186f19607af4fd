package plan

// routers.go owns the limits of routers, and of connections between routers and leaves. All are bounds: they
// count what a query holds for as long as it must take at the least, were nothing ever to wait. So a limit
// breaks at this multiple at the latest, and sooner when leaves are busy; what runs say of open queries
// stands beside it. It must never count a limit that is not stated.

import (
	"math"
	"slices"

	"moleshift/fleet"
)

// What a router gives to clients and to leaves of its descriptors, as package config has it.
const (
	clientsPart = 4
	leavesPart  = 8.0 / 3
)

// routers is the limits of the routers that are left, each that is stated. Clients go to all alike, so the
// weakest is the limit.
func routers(f *fleet.Fleet, d *Demand, loss Loss) (all []Limit) {
	up := float64(len(f.Nodes) - len(loss.Routers))
	if up <= 0 {
		return []Limit{{What: "router cpu", Names: []string{"no router is left"}}}
	}
	for _, l := range []struct {
		what string
		of   func(g *fleet.Routers) (has, needs float64) // at the load itself; needs 0: not stated
	}{
		{"router cpu", func(g *fleet.Routers) (float64, float64) {
			return g.Cores, (d.Queries*g.PerQuery.Seconds() + d.Parts*g.PerCall.Seconds()) / up
		}},
		{"router descriptors", func(g *fleet.Routers) (float64, float64) { // a client's connection is held while its query is open
			return float64(g.Sockets / clientsPart), d.Open / up
		}},
		{"router open queries", func(g *fleet.Routers) (float64, float64) { return float64(g.OpenCap), d.Held / up }},
		{"router memory", func(g *fleet.Routers) (float64, float64) {
			if g.BaseMB <= 0 || g.PerQueryKB <= 0 {
				return 0, 0
			}
			return float64(g.MemoryMB) - g.BaseMB, d.Open / up * g.PerQueryKB / 1024
		}},
	} {
		limit, stated := Limit{What: l.what, Multiple: never}, false
		for i, n := range f.Nodes {
			g := &f.Routers[n.Group]
			have, needs := l.of(g)
			if slices.Contains(loss.Routers, i) || needs <= 0 || have <= 0 {
				continue
			}
			stated = true
			if m := have / needs; m < limit.Multiple-tiny {
				limit.Multiple, limit.Names = m, nil
			}
			if have/needs < limit.Multiple+tiny && len(limit.Names) < mostNamed {
				limit.Names = append(limit.Names, n.Name)
			}
		}
		if stated {
			all = append(all, limit)
		}
	}
	if l, stated := connections(f, d, loss, up); stated {
		all = append(all, l)
	}
	if l, stated := budget(f, d, loss, up); stated {
		all = append(all, l)
	}
	return all
}

// connections is the leaves' limit on them. Each router holds one to each leaf at the least, whatever the
// load; and no router gives leaves more than its own share of descriptors.
func connections(f *fleet.Fleet, d *Demand, loss Loss, up float64) (Limit, bool) {
	limit, stated := Limit{What: "leaf connections", Multiple: never}, false
	for i, leaf := range f.Leaves {
		k := f.Kinds[leaf.Kind]
		if k.Connections == 0 || slices.Contains(loss.Leaves, i) {
			continue
		}
		if stated = true; up > float64(k.Connections) {
			limit.Multiple = 0
			if limit.Names = append(limit.Names, leaf.Name); len(limit.Names) == mostNamed {
				break
			}
		}
	}
	left := float64(len(f.Leaves) - len(loss.Leaves))
	for i, n := range f.Nodes { // a router that can't hold one to each leaf at once makes and ends them all the time
		g := &f.Routers[n.Group]
		if g.Sockets > 0 && !slices.Contains(loss.Routers, i) && float64(g.Sockets)/leavesPart < left {
			limit.Multiple, stated = 0, true
			limit.Names = append(limit.Names, n.Name)
		}
	}
	return limit, stated && limit.Multiple < never
}

// budget is how much of the load the budget of further calls bears when what is lost goes without a word:
// every call that is out there needs a further one within the window, beside a portion of all calls that is
// always allowed.
func budget(f *fleet.Fleet, d *Demand, loss Loss, up float64) (Limit, bool) {
	r := &f.Rules
	if len(loss.Leaves) == 0 || r.BudgetWindow <= 0 {
		return Limit{}, false
	}
	gone, all := 0.0, 0.0
	for i := range f.Leaves {
		c := Capacity(f, i)
		if all += c; slices.Contains(loss.Leaves, i) {
			gone += c
		}
	}
	needed := d.Out * gone / max(all, 1e-9) / up // out there at once, by one router
	allowed := r.BudgetRatio * d.Parts * r.BudgetWindow.Seconds() / up
	limit := Limit{What: "further calls", Multiple: never, Names: []string{"those that are out when it goes"}}
	if needed > allowed {
		limit.Multiple = math.Min(r.BudgetSpare/(needed-allowed), never)
	}
	return limit, limit.Multiple < never
}

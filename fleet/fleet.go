// Package fleet describes a search service as a planner or a laboratory sees it: zones, links, kinds of
// leaves, leaves with what they hold, routers with their limits, verticals and rules. It reads and checks
// descriptions, and turns them into what package choice is told. It must never know how anything is carried
// out or emulated.
package fleet

import (
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"moleshift/choice"
	"moleshift/internal/yamlfile"
)

// Fleet is one description. Work is measured in milliseconds of one core of speed 1.
type Fleet struct {
	Zones     []string   `yaml:"zones"`
	Links     Links      `yaml:"links"`
	Kinds     []Kind     `yaml:"kinds"`
	Shards    int        `yaml:"shards"`
	Cells     int        `yaml:"cells"` // sets of shards: shard s is in cell s mod cells
	Span      int        `yaml:"span"`  // cells that a leaf holds, its own and those before it
	Groups    []Group    `yaml:"leaves"`
	Routers   []Routers  `yaml:"routers"`
	Verticals []Vertical `yaml:"verticals"`
	Tenants   []Tenant   `yaml:"tenants"`
	Rules     Rules      `yaml:"rules"`
	Clients   Clients    `yaml:"clients"`

	Leaves []Leaf // one by one, from Groups
	Nodes  []Node // routers one by one
}

// Links is how long a message takes one way.
type Links struct {
	Same   time.Duration `yaml:"same"`
	Cross  time.Duration `yaml:"cross"`
	Jitter float64       `yaml:"jitter"` // portion by which it varies
}

// Kind is a kind of leaf.
type Kind struct {
	Name        string  `yaml:"name"`
	Cores       int     `yaml:"cores"`
	Speed       float64 `yaml:"speed"` // of a core
	Queue       int     `yaml:"queue"` // parts that may wait; more are turned away
	Connections int     `yaml:"connections"`
}

// Group is leaves that are alike.
type Group struct {
	Name  string `yaml:"name"`
	Count int    `yaml:"count"`
	Kind  string `yaml:"kind"`
	Zone  string `yaml:"zone"`
	Cells []int  `yaml:"cells"` // the i-th leaf has the i-th of them, round and round
}

// Leaf is one leaf.
type Leaf struct {
	Name       string
	Kind, Zone int
	Cell       int
}

// Routers is routers that are alike.
type Routers struct {
	Name     string        `yaml:"name"`
	Count    int           `yaml:"count"`
	Zone     string        `yaml:"zone"`
	Cores    float64       `yaml:"cores"`
	MemoryMB int           `yaml:"memory_mb"`
	Sockets  int           `yaml:"sockets"`
	OpenCap  int           `yaml:"open_cap"`
	PerQuery time.Duration `yaml:"cpu_per_query"`
	PerCall  time.Duration `yaml:"cpu_per_call"`

	BaseMB     float64 `yaml:"memory_base_mb"`      // at rest; 0: not stated
	PerQueryKB float64 `yaml:"memory_per_query_kb"` // of an open query with its connection; 0: not stated
}

// Node is one router.
type Node struct {
	Name  string
	Zone  int
	Group int
}

// Vertical is a kind of query.
type Vertical struct {
	Name         string        `yaml:"name"`
	SLO          time.Duration `yaml:"slo"`
	Deadline     time.Duration `yaml:"deadline"`
	Effect       string        `yaml:"effect"`
	DedupWindow  time.Duration `yaml:"dedup_window"`
	Utility      float64       `yaml:"utility"`
	LateUtility  float64       `yaml:"late_utility"`
	Need         float64       `yaml:"need"`
	Floor        float64       `yaml:"floor"`
	PartialEarns float64       `yaml:"partial_earns"`
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name      string  `yaml:"name"`
	PerSecond float64 `yaml:"per_second"`
}

// Rules is what the service's rules and protocol allow.
type Rules struct {
	Tick          time.Duration `yaml:"tick"`
	Batch         int           `yaml:"batch"`
	Overhead      float64       `yaml:"overhead"` // work of a call beside its parts
	MaxCalls      int           `yaml:"max_calls"`
	SecondCopies  bool          `yaml:"second_copies"`
	Cancel        bool          `yaml:"cancel"`
	Probes        bool          `yaml:"probes"`
	ProbeReports  bool          `yaml:"probe_reports"` // load reports come with probes alone
	HoldOff       bool          `yaml:"hold_off"`
	MaxHoldOff    time.Duration `yaml:"max_hold_off"`
	BudgetWindow  time.Duration `yaml:"budget_window"` // 0: no budget is stated
	BudgetSpare   float64       `yaml:"budget_spare"`
	BudgetRatio   float64       `yaml:"budget_ratio"`
	ColdTime      time.Duration `yaml:"cold_time"`
	ColdShare     float64       `yaml:"cold_share"`
	FallTime      time.Duration `yaml:"fall_time"`
	FallMultiple  float64       `yaml:"fall_multiple"`
	CrossZone     float64       `yaml:"cross_zone"`
	UtilityByWork bool          `yaml:"utility_by_work"`
}

// Clients is what clients do when they are turned away.
type Clients struct {
	Retries int           `yaml:"retries"` // at most, after the first try
	Share   float64       `yaml:"share"`   // of clients that try again
	Backoff time.Duration `yaml:"backoff"` // before the first, doubling
	Honour  float64       `yaml:"honour"`  // share that waits as long as it is told to
}

// Default is what holds where a description is silent.
func Default() *Fleet {
	return &Fleet{
		Zones: []string{"all"},
		Links: Links{Same: 200 * time.Microsecond, Cross: 600 * time.Microsecond, Jitter: 0.2},
		Span:  1,
		Rules: Rules{
			Tick:          5 * time.Millisecond,
			Batch:         16,
			MaxCalls:      3,
			SecondCopies:  true,
			Cancel:        true,
			Probes:        true,
			HoldOff:       true,
			MaxHoldOff:    time.Second,
			BudgetWindow:  2 * time.Second,
			BudgetSpare:   10,
			BudgetRatio:   0.05,
			ColdTime:      10 * time.Second,
			ColdShare:     0.2,
			FallTime:      2 * time.Second,
			FallMultiple:  3,
			UtilityByWork: true,
		},
		Clients: Clients{Retries: 2, Share: 0.8, Backoff: 100 * time.Millisecond, Honour: 0.8},
	}
}

// Load reads a description.
func Load(path string) (*Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text)
}

const (
	mostLeaves  = 10_000
	mostRouters = 1024
	mostShards  = 1 << 16
)

// Decode reads the text of a description, and checks it whole.
func Decode(path string, text []byte) (*Fleet, error) {
	f := Default()
	doc := yamlfile.Decode(path, text, f)
	f.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	f.expand()
	return f, nil
}

// index is the position of a name, -1 if there is none.
func index[T any](all []T, name string, of func(T) string) int {
	return slices.IndexFunc(all, func(x T) bool { return of(x) == name })
}

func kindName(k Kind) string         { return k.Name }
func verticalName(v Vertical) string { return v.Name }
func tenantName(t Tenant) string     { return t.Name }
func self(s string) string           { return s }

// Vertical is a vertical's number, -1 for an unknown name; Tenant, Zone and Kind likewise.
func (f *Fleet) Vertical(name string) int { return index(f.Verticals, name, verticalName) }

// Tenant see Vertical.
func (f *Fleet) Tenant(name string) int { return index(f.Tenants, name, tenantName) }

// Zone see Vertical.
func (f *Fleet) Zone(name string) int { return index(f.Zones, name, self) }

// Kind see Vertical.
func (f *Fleet) Kind(name string) int { return index(f.Kinds, name, kindName) }

var effects = map[string]choice.Effect{"repeatable": choice.Repeatable, "deduplicated": choice.Deduplicated,
	"side_effecting": choice.SideEffecting}

func (f *Fleet) check(doc *yamlfile.Doc) {
	c := checker{doc}
	if len(f.Zones) == 0 {
		doc.Fault("zones", "missing")
	}
	for i, z := range f.Zones {
		if z == "" || slices.Index(f.Zones, z) != i {
			doc.Fault(fmt.Sprintf("zones[%d]", i), "empty, or stands twice")
		}
	}
	c.span("links.same", f.Links.Same, 0, time.Second)
	c.span("links.cross", f.Links.Cross, 0, time.Second)
	c.number("links.jitter", f.Links.Jitter, 0, 10)
	c.number("shards", float64(f.Shards), 1, mostShards)
	c.number("cells", float64(f.Cells), 1, float64(max(f.Shards, 1)))
	c.number("span", float64(f.Span), 1, float64(max(f.Cells, 1)))
	for i, k := range f.Kinds {
		key := fmt.Sprintf("kinds[%d]", i)
		c.name(key, k.Name, f.Kind(k.Name) != i)
		c.number(key+".cores", float64(k.Cores), 1, 1024)
		c.number(key+".speed", k.Speed, 1e-3, 1e3)
		c.number(key+".queue", float64(k.Queue), 0, 1e6)
		c.number(key+".connections", float64(k.Connections), 0, 1e6)
	}
	f.checkLeaves(c)
	f.checkRouters(c)
	for i, v := range f.Verticals {
		key := fmt.Sprintf("verticals[%d]", i)
		c.name(key, v.Name, f.Vertical(v.Name) != i)
		c.span(key+".slo", v.SLO, time.Millisecond, time.Hour)
		c.span(key+".deadline", v.Deadline, v.SLO, time.Hour)
		if _, known := effects[v.Effect]; !known {
			doc.Fault(key+".effect", "%q is none of repeatable, deduplicated, side_effecting", v.Effect)
		}
		c.number(key+".need", v.Need, 0, 1)
		c.number(key+".floor", v.Floor, 0, 1)
		c.number(key+".late_utility", v.LateUtility, 0, 1)
		c.number(key+".utility", v.Utility, 0, 1e9)
	}
	if len(f.Verticals) == 0 {
		doc.Fault("verticals", "missing")
	}
	for i, t := range f.Tenants {
		key := fmt.Sprintf("tenants[%d]", i)
		c.name(key, t.Name, f.Tenant(t.Name) != i)
		c.number(key+".per_second", t.PerSecond, 0, 1e9)
	}
	r := &f.Rules
	c.span("rules.tick", r.Tick, 100*time.Microsecond, time.Second)
	c.number("rules.max_calls", float64(r.MaxCalls), 1, 100)
	c.number("rules.overhead", r.Overhead, 0, 1e6)
	c.number("rules.cold_share", r.ColdShare, 0, 1)
	c.number("clients.share", f.Clients.Share, 0, 1)
	c.number("clients.honour", f.Clients.Honour, 0, 1)
	c.number("clients.retries", float64(f.Clients.Retries), 0, 100)
}

func (f *Fleet) checkLeaves(c checker) {
	total, held := 0, make([]bool, max(f.Cells, 0))
	for i, g := range f.Groups {
		key := fmt.Sprintf("leaves[%d]", i)
		c.name(key, g.Name, index(f.Groups, g.Name, func(g Group) string { return g.Name }) != i)
		c.number(key+".count", float64(g.Count), 1, mostLeaves)
		if f.Kind(g.Kind) < 0 {
			c.doc.Fault(key+".kind", "%q is none of kinds", g.Kind)
		}
		if f.Zone(g.Zone) < 0 {
			c.doc.Fault(key+".zone", "%q is none of zones", g.Zone)
		}
		if len(g.Cells) == 0 {
			c.doc.Fault(key+".cells", "missing")
		}
		for j, cell := range g.Cells {
			if cell < 0 || cell >= f.Cells {
				c.doc.Fault(fmt.Sprintf("%s.cells[%d]", key, j), "%d is not below cells, %d", cell, f.Cells)
			} else if j < g.Count {
				for s := range max(min(f.Span, f.Cells), 0) {
					held[((cell-s)%f.Cells+f.Cells)%f.Cells] = true
				}
			}
		}
		total += g.Count
	}
	if total > mostLeaves {
		c.doc.Fault("leaves", "%d of them, %d at most", total, mostLeaves)
	}
	if len(f.Groups) == 0 {
		c.doc.Fault("leaves", "missing")
		return
	}
	for cell, is := range held {
		if !is {
			c.doc.Fault("leaves", "nobody holds cell %d", cell)
			break
		}
	}
}

func (f *Fleet) checkRouters(c checker) {
	total := 0
	for i, r := range f.Routers {
		key := fmt.Sprintf("routers[%d]", i)
		c.name(key, r.Name, index(f.Routers, r.Name, func(r Routers) string { return r.Name }) != i)
		c.number(key+".count", float64(r.Count), 1, mostRouters)
		if f.Zone(r.Zone) < 0 {
			c.doc.Fault(key+".zone", "%q is none of zones", r.Zone)
		}
		c.number(key+".cores", r.Cores, 0, 1024)
		c.number(key+".memory_base_mb", r.BaseMB, 0, 1e6)
		c.number(key+".memory_per_query_kb", r.PerQueryKB, 0, 1e6)
		c.span(key+".cpu_per_query", r.PerQuery, 0, time.Second)
		c.span(key+".cpu_per_call", r.PerCall, 0, time.Second)
		total += r.Count
	}
	if total < 1 || total > mostRouters {
		c.doc.Fault("routers", "%d of them: must be 1 to %d", total, mostRouters)
	}
}

type checker struct{ doc *yamlfile.Doc }

func (c checker) number(key string, x, least, most float64) {
	if math.IsNaN(x) || x < least || x > most {
		c.doc.Fault(key, "must be from %g to %g", least, most)
	}
}

func (c checker) span(key string, x, least, most time.Duration) {
	if x < least || x > most {
		c.doc.Fault(key, "must be from %v to %v", least, most)
	}
}

func (c checker) name(key, name string, twice bool) {
	if name == "" {
		c.doc.Fault(key+".name", "missing")
	} else if twice {
		c.doc.Fault(key+".name", "%q stands twice", name)
	}
}

// expand lists leaves and routers one by one.
func (f *Fleet) expand() {
	for _, g := range f.Groups {
		for i := range g.Count {
			f.Leaves = append(
				f.Leaves,
				Leaf{
					fmt.Sprintf("%s-%d", g.Name, i),
					f.Kind(g.Kind),
					f.Zone(g.Zone),
					g.Cells[i%len(g.Cells)],
				},
			)
		}
	}
	for group, r := range f.Routers {
		for i := range r.Count {
			f.Nodes = append(f.Nodes, Node{fmt.Sprintf("%s-%d", r.Name, i), f.Zone(r.Zone), group})
		}
	}
}

// Holds tells whether a leaf holds a shard.
func (f *Fleet) Holds(l *Leaf, shard int) bool {
	back := ((l.Cell-shard%f.Cells)%f.Cells + f.Cells) % f.Cells
	return back < f.Span
}

// Tenths turns a duration into the module's time.
func Tenths(d time.Duration) choice.Time { return choice.Time(d / (time.Millisecond / 10)) }

// Settings is what the module of a router is told.
func (f *Fleet) Settings(n *Node, seed uint64) *choice.Settings {
	r := &f.Rules
	s := &choice.Settings{
		Seed:             seed,
		Roots:            len(f.Nodes),
		Tick:             max(Tenths(r.Tick), 1),
		Zone:             n.Zone,
		CrossZone:        r.CrossZone,
		Shards:           f.Shards,
		Cells:            f.Cells,
		Span:             f.Span,
		UtilityByWork:    r.UtilityByWork,
		OverShareUtility: 0.1,
		Batch:            r.Batch,
		Overhead:         r.Overhead,
		MaxCalls:         r.MaxCalls,
		SecondCopies:     r.SecondCopies,
		MayCancel:        r.Cancel,
		MayProbe:         r.Probes,
		ProbeReports:     r.ProbeReports,
		HoldOff:          r.HoldOff,
		MaxHoldOff:       Tenths(r.MaxHoldOff),
		BudgetSet:        r.BudgetWindow > 0,
		BudgetWindow:     Tenths(r.BudgetWindow),
		BudgetSpare:      r.BudgetSpare,
		BudgetRatio:      r.BudgetRatio,
		ColdTime:         Tenths(r.ColdTime),
		ColdShare:        r.ColdShare,
		FallTime:         Tenths(r.FallTime),
		FallMultiple:     r.FallMultiple,
	}
	for _, v := range f.Verticals {
		s.Verticals = append(s.Verticals, choice.Vertical{SLO: Tenths(v.SLO), Deadline: Tenths(v.Deadline),
			Effect: effects[v.Effect], DedupWindow: Tenths(v.DedupWindow), Utility: v.Utility, LateUtility: v.LateUtility,
			Need: orOne(v.Need), Floor: orOne(v.Floor), PartialEarns: v.PartialEarns})
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, choice.Tenant{PerSecond: t.PerSecond})
	}
	return s
}

func orOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// Clone is a copy whose leaves can be added to.
func (f *Fleet) Clone() *Fleet {
	next := *f
	next.Leaves = slices.Clone(f.Leaves)
	next.Nodes = slices.Clone(f.Nodes)
	return &next
}

// Add adds a leaf of a kind to a cell, in the zone that has the fewest leaves of that cell.
func (f *Fleet) Add(kind, cell int) {
	count := make([]int, len(f.Zones))
	for _, l := range f.Leaves {
		if l.Cell == cell {
			count[l.Zone]++
		}
	}
	zone := 0
	for z, n := range count {
		if n < count[zone] {
			zone = z
		}
	}
	f.Leaves = append(f.Leaves, Leaf{fmt.Sprintf("new-%d", len(f.Leaves)), kind, zone, cell})
}

// Package placement decides where a request goes: the server, the source of the kept prompt parts that the server lacks, and the
// store that is to keep them.
//
// The rule is that of package balance: the candidate of least marginal load D*(Q+D/2). D is what a request takes up at the
// candidate, Q what all routers together have in flight there. docs/design/system.md has what is counted and why.
//
// The package is pure: it takes the time as an argument, sends nothing, and draws ties from the source of randomness that it is
// given. Its caller guards it with a lock.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"moleshift/dataplane/inflight"
	"moleshift/dataplane/kvindex"
)

// ownLoadOver is the time over which own work in flight is averaged.
const ownLoadOver = 4 * time.Second

// Settings are what a router knows of its place.
type Settings struct {
	Router string            // ID of the router's node
	Zone   string            // its zone
	Zones  map[string]string // the region of each zone
}

// Server is a server that a request may be sent to.
type Server struct {
	ID       string // of the instance
	Address  string
	Zone     string
	Version  int64  // of the model's weights that it is believed to run; 0: no model
	Salt     string // under which it keeps the request's parts
	Standing int    // of package outlier; candidates of a lower standing go first
	Source   bool   // parts may be fetched from it
	Target   bool   // the request may be sent to it
}

// Store keeps prompt parts and serves no requests.
type Store struct {
	Address         string // names it as a holder too
	Zone            string
	Slowness        float64 // of its link against a server's; 1 where nothing is known
	TokensPerSecond float64 // that its link moves; 0: not known
}

// Query is one request that is to be placed.
type Query struct {
	Service string
	Work    Work
	Servers []Server
	Stores  []Store
}

// Placement is where a request goes.
type Placement struct {
	Index   int    // of the server in Query.Servers
	Server  string // ID of the instance
	Version int64  // of the model's weights that it is believed to run; 0: no model
	Salt    string
	Fetch   string  // address of the source of parts that the server lacks
	Source  string  // the holder at that address
	Moves   float64 // tokens to be fetched from it
	Save    string  // address of the store that is to keep the parts
	Size    float64 // work that the request still brings to the server, in tokens
	Reason  Reason
	Prompt  Prompt // what the server is known to keep of the prompt
}

// Prompt tells what a server is known to keep of a request's prompt when the request is placed there. What it neither keeps nor
// fetches (Placement.Moves) it reads.
type Prompt struct {
	Shared float64 // tokens of the parts that other requests may use too
	Kept   float64 // of these, what the server keeps itself
	Last   string  // ID of the last shared part, by which the prompt is told from others
}

// Reason tells why a server was chosen.
type Reason string

// The reasons.
const (
	ReasonLoad Reason = "least load"         // the request shares nothing, or others keep it and are busier
	ReasonKept Reason = "keeps the parts"    // the server keeps the shared parts
	ReasonHome Reason = "home of the prompt" // nobody is known to keep them: the server is where all routers look for them
)

// Reasons lists all reasons, in a fixed order.
func Reasons() []Reason { return []Reason{ReasonLoad, ReasonKept, ReasonHome} }

// Placer keeps what the decisions depend on.
type Placer struct {
	set     Settings
	random  *rand.Rand
	index   *kvindex.Index
	loads   *inflight.Table
	routers int // this one included

	means  map[string]*meanLoad     // by service: own work in flight
	moving map[string]float64       // by holder: tokens that servers fetch from there for this router's requests
	down   map[string]bool          // holders that did not answer their collector lately
	saving map[string]time.Duration // by salt and part: until when this router sends no second save
	saves  map[string]*bucket       // by store
}

// New makes a placer.
func New(set Settings, random *rand.Rand) *Placer {
	return &Placer{
		set: set, random: random, index: kvindex.New(), loads: inflight.New(set.Router), routers: 1, means: map[string]*meanLoad{},
		moving: map[string]float64{}, down: map[string]bool{}, saving: map[string]time.Duration{}, saves: map[string]*bucket{},
	}
}

// Index gives the index of kept parts that the decisions rest on.
func (p *Placer) Index() *kvindex.Index { return p.index }

// Loads gives the table of work in flight that the decisions rest on.
func (p *Placer) Loads() *inflight.Table { return p.loads }

// SetRouters tells which routers there are, this one included.
func (p *Placer) SetRouters(now time.Duration, ids []string) {
	p.routers = max(len(ids), 1)
	listed := map[string]bool{}
	for _, id := range ids {
		listed[id] = true
	}
	p.loads.Keep(func(router string) bool { return listed[router] })
	for key, until := range p.saving {
		if until < now {
			delete(p.saving, key)
		}
	}
}

// Routers is how many routers there are, this one included.
func (p *Placer) Routers() int { return p.routers }

// SetDown notes whether a holder answers its collector.
func (p *Placer) SetDown(holder string, down bool) {
	if down {
		p.down[holder] = true
		return
	}
	delete(p.down, holder)
}

// Forget drops what is known of a holder that is gone.
func (p *Placer) Forget(holder string) {
	delete(p.down, holder)
	p.index.DropHolder(holder)
}

// Sent puts a request on its server's books, and its fetch on the source's.
func (p *Placer) Sent(to *Placement) {
	p.loads.Add(to.Server, inflight.Load{Tokens: to.Size, Requests: 1})
	if to.Fetch != "" {
		p.moving[to.Source] += to.Moves
	}
}

// PromptRead notes that the server has read the prompt: its work shrinks to what it generates, and it keeps the parts.
func (p *Placer) PromptRead(now time.Duration, to *Placement, work Work) {
	if to.Version == 0 {
		return
	}
	done := max(to.Size-work.decode(), 0)
	to.Size -= done
	p.loads.Lower(to.Server, inflight.Load{Tokens: done})
	p.moved(to)
	for _, part := range work.Parts {
		p.index.Kept(now, to.Server, to.Salt, part)
		if to.Save != "" {
			p.index.Kept(now, to.Save, to.Salt, part)
		}
	}
}

// Ended takes a request off its server's books.
func (p *Placer) Ended(to *Placement) {
	p.loads.Lower(to.Server, inflight.Load{Tokens: to.Size, Requests: 1})
	to.Size = 0
	p.moved(to)
}

// heard is the share of the other routers whose work in flight is known.
func (p *Placer) heard() float64 {
	if p.routers <= 1 {
		return 1
	}
	return min(float64(p.loads.Heard())/float64(p.routers-1), 1)
}

// meanLoad is a mean over time that fades.
type meanLoad struct {
	value float64
	last  time.Duration
}

func (m *meanLoad) note(now time.Duration, x float64) float64 {
	weight := 1 - math.Exp(-float64(now-m.last)/float64(ownLoadOver))
	m.value += (x - m.value) * weight
	m.last = now
	return m.value
}

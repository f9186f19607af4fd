package choice

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"moleshift/internal/golden"
)

var coldSeeds = flag.Int("coldseeds", 2, "seeds of each case of cold leaves; docs/results.md has those with 200")

// coldWorld is a set of four leaves that hold one shard, and the real module in every root, in virtual time. It counts what
// a cold leaf is sent by all of them.
type coldWorld struct {
	*rand.Rand
	set    Settings
	now    Time
	events coldEvents
	seq    int
	roots  []*coldRoot
	leafs  []*coldLeaf
	sent   []coldSent // to the latest process of the first leaf, in the last window
	fell   bool       // it got more than it bears
	over   int        // starts after which it did, over two thirds of that from roots that had been told
	first  Time       // when the first root was told
	late   int        // moments at which it got more from then on, whether it had fallen or not; of all roots
	knew   int        // the same of what roots sent once they were told
	most   float64    // of what it bears, from roots that had been told
	calls  int
}

// coldSent is a part of mean work that reaches the cold leaf.
type coldSent struct {
	at   Time
	from *coldRoot
	told bool // as it sent
	late bool // some root had been told
}

// coldBears is what a leaf answers in a window at most, in parts of mean work.
const coldBears = 44

type coldLeaf struct {
	started Time
	down    bool // it refuses connections
	busy    int
	waits   []func()
}

type coldRoot struct {
	w     *coldWorld
	r     *Root
	seed  uint64
	known []*Leaf // in the order of the world's
	wake  Time
	life  int
	rate  float64 // queries a second
	told  Time    // of this start of the first leaf
}

type coldEvent struct {
	at  Time
	seq int
	do  func()
}

type coldEvents []coldEvent

func (e coldEvents) Len() int { return len(e) }
func (e coldEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e coldEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *coldEvents) Push(x any)   { *e = append(*e, x.(coldEvent)) }
func (e *coldEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *coldWorld) at(t Time, do func()) {
	w.seq++
	heap.Push(&w.events, coldEvent{max(t, w.now), w.seq, do})
}

// capacity is the part of its full capacity that a leaf has.
func (w *coldWorld) capacity(l *coldLeaf) float64 {
	if l.started == 0 || w.now-l.started >= w.set.ColdTime {
		return 1
	}
	return w.set.ColdShare + (1-w.set.ColdShare)*float64(w.now-l.started)/float64(w.set.ColdTime)
}

// start starts a root anew, with all that the list says.
func (c *coldRoot) start() {
	w := c.w
	c.seed++
	set := w.set
	set.Seed = c.seed
	c.life++
	c.known = nil
	c.r = NewRoot(&set, c, w.now)
	var entries []Entry
	for _, l := range w.leafs {
		known := new(Leaf)
		c.known = append(c.known, known)
		entries = append(entries, Entry{Leaf: known, Condition: Ready, Started: l.started})
	}
	c.r.List(w.now, entries, true, false)
	c.told = w.leafs[0].started
}

func (c *coldRoot) query(hint float64) {
	q := &Query{Deadline: c.w.now + c.w.set.Verticals[0].Deadline}
	c.r.Take(c.w.now, q, []*Part{{Weight: 1, Hint: hint}})
}

func (c *coldRoot) Call(k *LeafCall, timeout Time) {
	w, life := c.w, c.life
	i := slices.Index(c.known, k.Leaf)
	l := w.leafs[i]
	sent, hint := w.now, max(k.Part.Hint, 1)
	ended := false
	tell := func(o Outcome) {
		if !ended && c.life == life {
			ended = true
			c.r.Outcome(w.now, k, o, w.now-sent, false, nil)
		}
	}
	w.at(w.now+timeout, func() { tell(TimedOut) })
	w.calls++
	if l.down {
		w.at(w.now+2, func() { tell(Refused) })
		return
	}
	if i == 0 && l.started > 0 {
		w.count(c, hint)
	}
	started := l.started
	serve := func() {
		l.busy++
		// Two at once, so that a warm leaf answers coldBears of mean work in a window.
		takes := Time(2 * float64(w.set.FallTime) / coldBears * hint / w.capacity(l) * (0.5 + w.Float64()))
		w.at(w.now+takes, func() {
			if l.started != started {
				tell(Reset)
				return
			}
			l.busy--
			tell(OK)
			if len(l.waits) > 0 && l.busy < 2 {
				next := l.waits[0]
				l.waits = l.waits[1:]
				next()
			}
		})
	}
	if l.busy < 2 {
		serve()
	} else if len(l.waits) < 30 {
		l.waits = append(l.waits, serve)
	} else {
		w.at(w.now+1, func() { tell(Full) })
	}
}

// count notes work of so many parts that reaches the cold leaf, and holds the last window against what that bears:
// the settings' budget, and what is left to chance. What a root sent before it was told counts as its own once it is.
func (w *coldWorld) count(c *coldRoot, hint float64) {
	for range int(math.Ceil(hint)) {
		w.sent = append(w.sent, coldSent{w.now, c, c.told == w.leafs[0].started, w.first > 0})
	}
	for len(w.sent) > 0 && w.sent[0].at <= w.now-w.set.FallTime {
		w.sent = w.sent[1:]
	}
	if share := w.capacity(w.leafs[0]); share < 1 {
		n, told, knew, late := w.set.FallMultiple*share*coldBears, 0.0, 0.0, 0.0
		for _, s := range w.sent {
			if s.from.told == w.leafs[0].started {
				told++
			}
			if s.told {
				knew++
			}
			if s.late {
				late++
			}
		}
		all, bears := float64(len(w.sent)), n+2*math.Sqrt(n)+2
		w.most = max(w.most, told/n)
		if all > bears && !w.fell {
			if w.fell = true; 3*told > 2*all {
				w.over++
			}
		}
		if late > bears {
			w.late++
		}
		if knew > bears {
			w.knew++
		}
	}
}

func (c *coldRoot) Wake(at Time) {
	c.wake = at
	life := c.life
	c.w.at(at, func() {
		if c.life == life && c.wake == at {
			c.r.Awake(c.w.now)
		}
	})
}
func (c *coldRoot) Cancel(*LeafCall)    {}
func (c *coldRoot) Merge(*Query, bool)  {}
func (c *coldRoot) Reject(*Query, Time) {}
func (c *coldRoot) Abort(*Query)        {}
func (c *coldRoot) Watch()              {}
func (c *coldRoot) Probe(l *Leaf) {
	life := c.life
	c.w.at(c.w.now+10, func() {
		if c.life == life {
			c.r.Probed(c.w.now, l, OK, nil)
		}
	})
}

// restart ends the first leaf's process, and starts the next one some time later; each root hears of that by a time of its own.
func (w *coldWorld) restart(down Time, late func() Time) {
	l := w.leafs[0]
	l.down, l.started = true, 0
	start := func() {
		l.started, l.down, l.busy, l.waits = w.now, false, 0, nil
		w.sent, w.fell, w.first = nil, false, 0
		started := w.now
		for _, c := range w.roots {
			w.at(w.now+late(), func() {
				if l.started == started && c.told != started {
					c.told = started
					if w.first == 0 {
						w.first = w.now
					}
					c.r.List(w.now, []Entry{{Leaf: c.known[0], Condition: Ready, Started: started}}, false, false)
				}
			})
		}
	}
	if down == 0 { // before all else that comes at this moment
		start()
	} else {
		w.at(w.now+down, start)
	}
}

// run plays 20 s of usual load at a part of what the leaves bear, then the scene, then the cold time.
func (w *coldWorld) run(seed int64, roots int, load float64, uneven bool, hint func() float64, scene func()) {
	w.Rand = rand.New(rand.NewSource(seed))
	w.set = Settings{Roots: roots, Tick: 50, Shards: 1, Cells: 1, Span: 1, MaxCalls: 3, MayCancel: true, ColdShare: 0.18,
		ColdTime: 170000, FallMultiple: 3, FallTime: 20000, BudgetSet: true, BudgetSpare: 10, BudgetRatio: 0.05, BudgetWindow: 20000,
		Verticals: []Vertical{{SLO: 12000, Deadline: 25000, Utility: 1, LateUtility: 0.1, Need: 1, Floor: 1}}}
	w.now = 1_000_000_000
	for range 4 {
		w.leafs = append(w.leafs, &coldLeaf{})
	}
	sum := 0.0
	for i := range roots {
		c := &coldRoot{w: w, seed: uint64(seed)<<20 + uint64(i)<<8, rate: 1}
		if uneven {
			c.rate = math.Exp(1.2 * w.NormFloat64())
		}
		sum += c.rate
		w.roots = append(w.roots, c)
		c.start()
	}
	total := load * 4 * coldBears / (float64(w.set.FallTime) / 10000) // queries a second
	for _, c := range w.roots {
		c.rate *= total / sum
		var next func()
		next = func() {
			c.query(hint())
			w.at(w.now+Time(w.ExpFloat64()/c.rate*10000), next)
		}
		w.at(w.now+Time(w.ExpFloat64()/c.rate*10000), next)
	}
	end := w.now + 200000 + w.set.ColdTime
	w.at(w.now+200000, scene)
	for w.events[0].at <= end {
		e := heap.Pop(&w.events).(coldEvent)
		w.now = e.at
		e.do()
	}
}

// A cold leaf gets from all roots together no more than it bears and what is left to chance, however many they are, once
// they are told of its start.
func TestFleetAndAColdLeaf(t *testing.T) {
	even := func() float64 { return 0 }
	out := ""
	for _, c := range []struct {
		name   string
		load   float64
		uneven bool
		heavy  bool
		scene  func(*coldWorld)
	}{
		{"told at once", 0.5, false, false, func(w *coldWorld) { w.restart(0, func() Time { return 0 }) }},
		{"told at once, nine tenths of the load", 0.9, false, false, func(w *coldWorld) { w.restart(0, func() Time { return 0 }) }},
		{"told over 3 s", 0.5, false, false, func(w *coldWorld) { w.restart(0, func() Time { return Time(w.Intn(30000)) }) }},
		{"told over 3 s, nine tenths of the load", 0.9, false, false, func(w *coldWorld) { w.restart(0, func() Time { return Time(w.Intn(30000)) }) }},
		{"down for 1 s, told over 3 s", 0.5, false, false, func(w *coldWorld) { w.restart(10000, func() Time { return Time(w.Intn(30000)) }) }},
		{"all told 1 s late", 0.5, false, false, func(w *coldWorld) { w.restart(0, func() Time { return 10000 }) }},
		{"down for 1 s, all told 1 s late", 0.9, false, false, func(w *coldWorld) { w.restart(10000, func() Time { return 10000 }) }},
		{"all told 1 s late, one and a half times the load", 1.5, false, false, func(w *coldWorld) { w.restart(0, func() Time { return 10000 }) }},
		{"told over 3 s, one and a half times the load", 1.5, false, false, func(w *coldWorld) { w.restart(0, func() Time { return Time(w.Intn(30000)) }) }},
		{"down for 1 s, told over 3 s, one and a half times the load", 1.5, false, false, func(w *coldWorld) { w.restart(10000, func() Time { return Time(w.Intn(30000)) }) }},
		{"told over 1 s, one and a half times the load", 1.5, false, false, func(w *coldWorld) { w.restart(0, func() Time { return Time(w.Intn(10000)) }) }},
		{"told over 1 s, one and a half times the load, uneven", 1.5, true, false, func(w *coldWorld) { w.restart(0, func() Time { return Time(w.Intn(10000)) }) }},
		{"three starts in one window", 0.5, false, false, func(w *coldWorld) {
			for i := range 3 {
				w.at(w.now+Time(i)*6000, func() { w.restart(0, func() Time { return 0 }) })
			}
		}},
		{"all roots start 1 s later", 0.5, false, false, func(w *coldWorld) {
			w.restart(0, func() Time { return 0 })
			w.at(w.now+10000, func() {
				for _, r := range w.roots {
					r.start()
				}
			})
		}},
		{"uneven roots", 0.7, true, false, func(w *coldWorld) { w.restart(0, func() Time { return 0 }) }},
		{"heavy parts", 0.5, false, true, func(w *coldWorld) { w.restart(0, func() Time { return 0 }) }},
		{"a part for each root comes again and again", 0.5, false, false, func(w *coldWorld) {
			w.restart(0, func() Time { return 0 })
			for burst := range 40 {
				w.at(w.now+Time(burst)*4000, func() {
					for _, r := range w.roots {
						r.query(0)
					}
				})
			}
		}},
	} {
		out += c.name + "\n"
		for _, roots := range []int{3, 10, 30, 100, 300} {
			seeds := *coldSeeds
			if roots > 30 {
				seeds = max(seeds/2, 1)
			}
			over, fell, late, knew, most := 0, 0, 0, 0, 0.0
			for seed := range seeds {
				w := &coldWorld{}
				hint := even
				if c.heavy {
					hint = func() float64 { return math.Exp(0.8*w.NormFloat64()-0.32) + 0.01 }
				}
				w.run(int64(seed+1), roots, c.load, c.uneven, hint, func() { c.scene(w) })
				if w.over > 0 {
					over++
				}
				if w.fell {
					fell++
				}
				late += w.late
				knew += w.knew
				most = max(most, w.most)
			}
			out += fmt.Sprintf("  %3d roots: pushed over on %d of %d days, by roots that were told on %d; these sent %.2f of N at most\n", roots, fell, seeds, over, most)
			if over > 0 {
				t.Errorf("%s, %d roots: over what it bears and chance on %d of %d days", c.name, roots, over, seeds)
			}
			if knew > 0 {
				t.Errorf("%s, %d roots: over at %d moments by what roots sent that had been told", c.name, roots, knew)
			}
			if late > 0 && c.load < 1 { // beyond that roots that are yet to be told are enough for it
				t.Errorf("%s, %d roots: over at %d moments once one root was told", c.name, roots, late)
			}
		}
	}
	if *coldSeeds == 2 {
		golden.Check(t, "fleet-cold", out)
	} else {
		t.Log(out)
	}
}

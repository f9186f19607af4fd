package capture

// synth.go owns loads that are described instead of recorded, so that all else works without a live router: arrivals,
// verticals, keys drawn by Zipf's law, and work with a heavy tail. The same description and seed make the same load.

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"moleshift/internal/yamlfile"
)

// Synth describes a load.
type Synth struct {
	Rate      float64         `yaml:"rate"` // queries a second
	For       time.Duration   `yaml:"for"`
	Wave      Wave            `yaml:"wave"`
	Surges    []Surge         `yaml:"surges"`
	Verticals []SynthVertical `yaml:"verticals"`
	Tenants   []Share         `yaml:"tenants"`
	Keys      Keys            `yaml:"keys"`
	Hints     float64         `yaml:"hints"` // how far a hint is from the work, as a deviation of logarithms; -1: no hints
}

// Wave lets the rate swing.
type Wave struct {
	Swing  float64       `yaml:"swing"`
	Period time.Duration `yaml:"period"`
}

// Surge multiplies the rate for a while.
type Surge struct {
	At    time.Duration `yaml:"at"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// SynthVertical is one vertical's part of the load.
type SynthVertical struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
	Parts int     `yaml:"parts"` // in the mean; at least one
	Work  Work    `yaml:"work"`
}

// Work is what a part costs, in milliseconds of one core of speed 1.
type Work struct {
	Mean  float64 `yaml:"mean"`
	CV    float64 `yaml:"cv"`    // coefficient of variation, lognormal
	Dear  float64 `yaml:"dear"`  // share of queries that are very expensive
	Times float64 `yaml:"times"` // how many times the mean those cost
}

// Share is a name with its part of a whole.
type Share struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
}

// Keys is what queries are about: a key decides the shards.
type Keys struct {
	Count int     `yaml:"count"`
	Zipf  float64 `yaml:"zipf"` // exponent; 0: all alike
	Hot   float64 `yaml:"hot"`  // share of all queries that are about one key
}

// LoadSynth reads a description.
func LoadSynth(path string) (*Synth, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return DecodeSynth(path, text)
}

// DecodeSynth reads the text of a description, and checks it whole.
func DecodeSynth(path string, text []byte) (*Synth, error) {
	s := &Synth{Rate: 100, For: time.Minute, Keys: Keys{Count: 10_000, Zipf: 0.8}, Hints: 0.3}
	doc := yamlfile.Decode(path, text, s)
	positive := func(key string, x float64) {
		if !(x > 0) {
			doc.Fault(key, "must be above 0")
		}
	}
	positive("rate", s.Rate)
	positive("for", s.For.Seconds())
	if s.Wave.Swing < 0 || s.Wave.Swing >= 1 || s.Wave.Swing > 0 && s.Wave.Period <= 0 {
		doc.Fault("wave", "swing must be from 0 to below 1, with a period above 0")
	}
	for i, g := range s.Surges {
		if g.At < 0 || g.For <= 0 || !(g.Times > 0) {
			doc.Fault(fmt.Sprintf("surges[%d]", i), "at must not be negative, for and times above 0")
		}
	}
	if len(s.Verticals) == 0 {
		doc.Fault("verticals", "missing")
	}
	for i, v := range s.Verticals {
		key := fmt.Sprintf("verticals[%d].", i)
		if v.Name == "" {
			doc.Fault(key+"name", "missing")
		}
		positive(key+"share", v.Share)
		positive(key+"parts", float64(v.Parts))
		positive(key+"work.mean", v.Work.Mean)
		if v.Work.CV < 0 || v.Work.Dear < 0 || v.Work.Dear > 1 || v.Work.Dear > 0 && v.Work.Times <= 0 {
			doc.Fault(key+"work", "cv must not be negative, dear from 0 to 1, times above 0 with it")
		}
	}
	for i, t := range s.Tenants {
		if t.Name == "" || !(t.Share > 0) {
			doc.Fault(fmt.Sprintf("tenants[%d]", i), "needs a name and a share above 0")
		}
	}
	if s.Keys.Count < 1 || s.Keys.Zipf < 0 || s.Keys.Hot < 0 || s.Keys.Hot > 1 {
		doc.Fault("keys", "count must be 1 at least, zipf not negative, hot from 0 to 1")
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Source makes the queries of a description one after the other, for a service of some shards in cells.
type Source struct {
	s      *Synth
	rng    *rand.Rand
	shards int
	at     float64 // seconds
	peak   float64
	zipf   []float64 // cumulative, of the first keys; the rest are alike
	total  float64
	shareV float64
	shareT float64
}

const zipfExact = 1 << 14

// NewSource starts one.
func (s *Synth) NewSource(shards int, seed uint64) *Source {
	g := &Source{s: s, rng: rand.New(rand.NewPCG(seed, 0x5e)), shards: shards, peak: s.Rate * (1 + s.Wave.Swing)}
	most := 1.0
	for _, surge := range s.Surges {
		most = max(most, surge.Times)
	}
	g.peak *= most
	for i := range min(s.Keys.Count, zipfExact) {
		g.total += math.Pow(float64(i+1), -s.Keys.Zipf)
		g.zipf = append(g.zipf, g.total)
	}
	if rest := s.Keys.Count - zipfExact; rest > 0 { // an integral is close enough so far out
		a, b, z := float64(zipfExact), float64(s.Keys.Count), s.Keys.Zipf
		if z == 1 {
			g.total += math.Log(b / a)
		} else {
			g.total += (math.Pow(b, 1-z) - math.Pow(a, 1-z)) / (1 - z)
		}
	}
	for _, v := range s.Verticals {
		g.shareV += v.Share
	}
	for _, t := range s.Tenants {
		g.shareT += t.Share
	}
	return g
}

// rate is queries a second at a time.
func (g *Source) rate(at float64) float64 {
	r := g.s.Rate
	if w := g.s.Wave; w.Swing > 0 {
		r *= 1 + w.Swing*math.Sin(2*math.Pi*at/w.Period.Seconds())
	}
	for _, s := range g.s.Surges {
		if at >= s.At.Seconds() && at < (s.At+s.For).Seconds() {
			r *= s.Times
		}
	}
	return r
}

// key draws what a query is about.
func (g *Source) key() uint64 {
	if g.s.Keys.Hot > 0 && g.rng.Float64() < g.s.Keys.Hot {
		return 0
	}
	x := g.rng.Float64() * g.total
	lo, hi := 0, len(g.zipf)
	for lo < hi {
		if mid := (lo + hi) / 2; g.zipf[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(g.zipf) {
		return uint64(zipfExact + g.rng.IntN(max(g.s.Keys.Count-zipfExact, 1)))
	}
	return uint64(lo)
}

// Next makes the next query, nil once the time is over.
func (g *Source) Next() *Query {
	for {
		g.at += g.rng.ExpFloat64() / g.peak
		if g.at >= g.s.For.Seconds() {
			return nil
		}
		if g.rng.Float64()*g.peak < g.rate(g.at) {
			break
		}
	}
	q := &Query{At: int64(g.at * 10000)}
	v := &g.s.Verticals[0]
	x := g.rng.Float64() * g.shareV
	for i := range g.s.Verticals {
		if v = &g.s.Verticals[i]; x < v.Share {
			break
		}
		x -= v.Share
	}
	q.Vertical = v.Name
	x = g.rng.Float64() * g.shareT
	for i := range g.s.Tenants {
		if q.Tenant = g.s.Tenants[i].Name; x < g.s.Tenants[i].Share {
			break
		}
		x -= g.s.Tenants[i].Share
	}
	q.Key = mix(g.key())
	n := 1
	if v.Parts > 1 { // the same key always touches the same shards
		n = 1 + int(mix(q.Key)%uint64(2*v.Parts-1))
	}
	n = min(n, g.shards)
	dear := 1.0
	if g.rng.Float64() < v.Work.Dear {
		dear = v.Work.Times
	}
	shards := map[int]bool{}
	for h := q.Key; len(q.Parts) < n; h = mix(h) {
		shard := int(h % uint64(g.shards))
		if shards[shard] {
			continue
		}
		shards[shard] = true
		work := v.Work.Mean * dear * g.lognormal(v.Work.CV)
		p := Part{Shard: shard, Weight: 1 / float64(n), Work: work}
		if g.s.Hints >= 0 {
			p.Hint = work * math.Exp(g.rng.NormFloat64()*g.s.Hints)
		}
		q.Parts = append(q.Parts, p)
	}
	return q
}

// lognormal draws with the mean 1 and a coefficient of variation.
func (g *Source) lognormal(cv float64) float64 {
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	return math.Exp(g.rng.NormFloat64()*sigma - sigma*sigma/2)
}

// mix spreads a key over all bits.
func mix(x uint64) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	h.Write(b[:])
	return h.Sum64()
}

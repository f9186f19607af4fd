package choice

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// What a root keeps, and the books' arithmetic. Nothing is decided here: see choice.go.

type state int

const (
	arriving     state = iota
	asking             // probes of the leaves that it may go to are awaited
	gathering          // its parts are asked for
	betweenSteps       // first answer given, parts of the second step awaited
	merged
	rejected
	aborted
	left // the client has gone
)

// Query is one query; the fields in capitals are filled in at the door.
type Query struct {
	Deadline         Time
	Vertical, Tenant int
	Parts            []*Part // of the present step

	state       state
	v           *Vertical
	slo         Time // an answer that leaves by then counts in full
	need, floor float64
	asked       int  // probes awaited
	askedUntil  Time // when it no longer waits for probes
	retryAt     Time // when to look again for calls that are barred now
	partial     bool // the first step's answer was not whole
	stepped     bool // the first step was answered
}

// Over tells whether the query has had its final answer.
func (q *Query) Over() bool { return q.state >= merged }

// in is the weight of the parts whose answers are in.
func (q *Query) in() float64 {
	sum := 0.0
	for _, p := range q.Parts {
		if p.in {
			sum += p.Weight
		}
	}
	return sum
}

// Part is the share of a query that one shard must answer.
type Part struct {
	Shard        int
	Weight, Hint float64

	query *Query
	calls []*LeafCall
	in    bool // its answer is in
	over  bool // no answer can come any more
}

// LeafCall is one call to one server for one part.
type LeafCall struct {
	Part *Part
	Leaf *Leaf

	sent            Time
	half            Time    // when the part may be asked elsewhere too, if nearly all others of its query are in
	d, ahead, crowd float64 // its work, the load it met at its leaf, the calls it met in all
	reports         int     // reports of the leaf that had come when it was sent
	outcome         Outcome

	ended, overdue, streamed, calledOff bool
}

// Ended tells whether the outcome has come.
func (c *LeafCall) Ended() bool { return c.ended }

// Leaf is one server as this root sees it.
type Leaf struct {
	zone      int
	cell      int
	shards    []int // that it holds; nil: those of its cell
	condition Condition
	started   Time // of its process, 0: long past

	out      []*LeafCall // calls whose outcome has not come, oldest first
	turn     Time        // of its last call, and the parts that went out in that turn
	joined   int
	own      float64 // D of calls out
	since    float64 // D of calls out that were sent after the last report
	reports  int
	reported float64 // queue in the last report, as D
	reportAt Time
	sent     []amount // work sent to it in the last window of the cold rule
	window   Time     // of the cold rule, counted from its start: the first not yet drawn for
	lucky    bool     // one call may be sent in the last one drawn for

	pace    tempo
	trusts  []trust // in all that it does, then by vertical
	probing bool

	silentAt    Time     // when it was last out of reach, or a call to it overdue
	probedAt    Time     // when a probe was last answered
	unreachedAt Time     // when a call last found no connection
	awaited     []*Query // that wait for a probe's outcome

	doubtBy int  // the instance that last found it failing
	doubtAt Time // and when, 0: there is no doubt
}

func (l *Leaf) ready() bool { return l.condition == Ready }

// trust is what failures and answers say of a leaf.
type trust struct {
	strikes         float64 // failures not yet made good
	until           Time    // not trusted before
	lastOK, lastBad Time
}

// tempo is the time that calls took against what was expected, failures counted as long ones: a running mean
// as of a time.
type tempo struct {
	mean, n float64 // n: samples, faded
	at      Time    // 0: nothing is known
}

// link is the way to a zone with all that its leaves share: the logarithm of a running median of tempos
// there, as a few bad leaves must not move it.
type link struct {
	log float64
	at  Time
}

type amount struct {
	at Time
	d  float64
}

// recent is the sum of what was noted since a time; older entries are let go.
func recent(log *[]amount, since Time) float64 {
	sum := 0.0
	for len(*log) > 0 && (*log)[0].at < since {
		*log = (*log)[1:]
	}
	for _, a := range *log {
		sum += a.d
	}
	return sum
}

// noteLast keeps the last few of a log.
func noteLast[T any](log *[]T, x T, most int) {
	*log = append(*log, x)
	*log = (*log)[max(len(*log)-most, 0):]
}

// middle is the median of what was noted.
func middle(log []amount) float64 {
	sorted := slices.SortedFunc(slices.Values(log), func(a, b amount) int { return cmp.Compare(a.d, b.d) })
	return sorted[len(sorted)/2].d
}

// due is a time at which a query, or a call that is still out, must be looked at again.
type due struct {
	at Time
	q  *Query
	c  *LeafCall
}

// Root is one instance.
type Root struct {
	set     *Settings
	port    Port
	now     Time
	started Time
	resumed Time // when it last found that it had stood still

	testedAt Time // when a call last told of the time that calls take
	draws    uint64

	leaves  []*Leaf
	ready   int       // leaves that take calls
	struck  int       // leaves with strikes
	out     int       // calls out
	links   []link    // by zone
	holders [][]*Leaf // by shard

	pace, dev float64   // time for a unit of load: mean and mean deviation over all leaves
	calm      float64   // pace in quiet times: the least that it was, rising slowly towards what it is
	unit      float64   // mean D
	services  []amount  // the last service times reported
	usual     float64   // mean of reported queues
	common    float64   // mean tempo over all leaves, failures counted
	lost      float64   // running share of calls that were not answered
	done      []amount  // work answered in the last window of the cold rule
	bears     float64   // running mean of the work that a warm leaf answers in a window of the cold rule
	tight     Time      // the shortest SLO time: longer queues would starve its vertical and serve no more
	horizon   Time      // how long evidence holds: the longest SLO time, past which no query would feel it
	times     []amount  // time of the last calls for each one in the crowd
	utilities []float64 // of the last queries, per work

	dues  []due // soonest first
	armed Time  // the next wake-up asked for
	sweep Time

	taken   []amount // queries and parts taken within the budget's window
	further []amount // calls beyond a part's first within it
	copies  float64
	probes  float64 // that may be sent now
	calls   float64 // sent since the start
	rates   []float64
	ratesAt Time

	askAt    Time // when to ask for the list again
	failures int  // of asking, in a row
}

// draw is the next of the instance's random numbers.
func (r *Root) draw() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], r.set.Seed)
	binary.LittleEndian.PutUint64(b[8:], r.draws)
	r.draws++
	h := fnv.New64a()
	h.Write(b[:])
	return h.Sum64()
}

// chance is a draw from [0, 1).
func (r *Root) chance() float64 { return float64(r.draw()>>11) / (1 << 53) }

// at notes a due time.
func (r *Root) at(t Time, q *Query, c *LeafCall) {
	i, _ := slices.BinarySearchFunc(r.dues, t+1, func(d due, t Time) int { return int(d.at - t) })
	r.dues = slices.Insert(r.dues, i, due{t, q, c})
}

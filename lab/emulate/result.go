package emulate

// result.go owns a run's figures. It must never count what came within the warm-up.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"moleshift/capture"
	"moleshift/choice"
	"moleshift/fleet"
)

// Result is what a run comes to.
type Result struct {
	Verticals []Vertical
	Leaves    []Leaf
	Routers   []Router
	Seconds   float64 // of the load, without the warm-up
	Events    int
	CPU       time.Duration
	Messages  int
	Lost      int // requests that no router ever answered: must stay 0

	Ages    *hdrhistogram.Histogram // tenths: how old a report was when it was used for a call
	Unknown int                     // calls to leaves of which no report was known

	open     int
	messages int
	f        *fleet.Fleet
}

// Vertical is how queries of one vertical fared. A request counts once, whatever its tries.
type Vertical struct {
	Name     string
	Requests int
	Tries    int
	Finals   [6]int // by capture.Final
	InTime   int    // answered whole or in part within the SLO time of the last try
	Late     int
	Latency  *hdrhistogram.Histogram // tenths, from the last try to its answer, of those that were served
	Weight   float64                 // sum of the weights answered
}

// Service is the share of requests that were served, whole or in part as far as the vertical allows.
func (v *Vertical) Service() float64 {
	if v.Requests == 0 {
		return 1
	}
	return float64(v.Finals[capture.Whole]+v.Finals[capture.Partial]) / float64(v.Requests)
}

// Timely is the share that was served within the SLO time.
func (v *Vertical) Timely() float64 {
	if v.Requests == 0 {
		return 1
	}
	return float64(v.InTime) / float64(v.Requests)
}

// Leaf is what one leaf did.
type Leaf struct {
	Name        string
	Utilisation float64
	Served      int
	Refused     int
}

// Router is what one router did.
type Router struct {
	Name     string
	Calls    [choice.Refused + 1]int // by outcome
	Probes   int
	Full     int // turned away at the door
	PeakOpen int // queries and parts held at once
}

func newResult(f *fleet.Fleet) *Result {
	r := &Result{f: f, Ages: hdrhistogram.New(1, 100_000_000, 3)}
	for _, v := range f.Verticals {
		r.Verticals = append(r.Verticals, Vertical{Name: v.Name, Latency: hdrhistogram.New(1, 100_000_000, 3)})
	}
	for _, n := range f.Nodes {
		r.Routers = append(r.Routers, Router{Name: n.Name})
	}
	return r
}

func (r *Result) retried(rq *request, w *world) {
	if w.counts(rq.came) {
		r.Verticals[rq.vertical].Tries++
	}
}

func (r *Result) answered(rq *request, final capture.Final, weight float64, w *world) {
	if !w.counts(rq.came) {
		return
	}
	v := &r.Verticals[rq.vertical]
	v.Requests++
	v.Tries++
	v.Finals[final]++
	if final != capture.Whole && final != capture.Partial {
		return
	}
	v.Weight += weight
	took := w.now - rq.sentAt
	v.Latency.RecordValue(int64(max(took, 1)))
	if took <= fleet.Tenths(r.f.Verticals[rq.vertical].SLO) {
		v.InTime++
	} else {
		v.Late++
	}
}

func (r *Result) called(by *router, o choice.Outcome) {
	if by.w.counts(by.w.now) {
		r.Routers[by.n].Calls[o]++
	}
}

func (r *Result) probed(by *router) {
	if by.w.counts(by.w.now) {
		r.Routers[by.n].Probes++
	}
}

func (r *Result) full(by *router) {
	if by.w.counts(by.w.now) {
		r.Routers[by.n].Full++
	}
}

func (r *Result) age(t choice.Time, known bool) {
	if !known {
		r.Unknown++
		return
	}
	r.Ages.RecordValue(int64(max(t, 1)))
}

func (r *Result) finish(w *world, took time.Duration) {
	span := max(w.last-epoch-w.o.Warm, 1)
	r.Seconds = float64(span) / 10000
	for _, l := range w.leaves {
		r.Leaves = append(r.Leaves, Leaf{l.f.Name, float64(l.busy) / float64(span) / float64(l.kind.Cores), l.served, l.refused})
	}
	for _, n := range w.routers {
		r.Routers[n.n].PeakOpen = n.peak
	}
	r.Events, r.CPU, r.Messages = w.events, took, r.messages
}

// Service is the share of all requests that were served.
func (r *Result) Service() float64 { return r.over((*Vertical).Service) }

// Timely is the share of all requests that were served within their SLO time.
func (r *Result) Timely() float64 { return r.over((*Vertical).Timely) }

func (r *Result) over(share func(*Vertical) float64) float64 {
	sum, all := 0.0, 0
	for i := range r.Verticals {
		v := &r.Verticals[i]
		sum, all = sum+share(v)*float64(v.Requests), all+v.Requests
	}
	if all == 0 {
		return 1
	}
	return sum / float64(all)
}

// Probes is how many probes routers have sent.
func (r *Result) Probes() (n int) {
	for _, one := range r.Routers {
		n += one.Probes
	}
	return n
}

// Calls is how many leaf calls they have made, and Failed how many of these were not answered well.
func (r *Result) Calls() (n, failed int) {
	for _, one := range r.Routers {
		for o, times := range one.Calls {
			if n += times; choice.Outcome(o) != choice.OK {
				failed += times
			}
		}
	}
	return n, failed
}

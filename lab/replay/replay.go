// Package replay plays a load against real router processes among stand-in leaves, on loopback sockets and in real time, so that
// what the emulation and the planner say can be held against it.
//
// replay.go owns the load: it sends each query at its time, whatever became of those before it (an open loop, so that slow answers
// do not thin the load), and checks that it kept that schedule itself. It must never call a run good in which it did not.
package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"moleshift/capture"
	"moleshift/fleet"
	"moleshift/lab/cluster"
	"moleshift/lab/standin"
	"moleshift/plan"
)

// Options is one run.
type Options struct {
	Fleet   *fleet.Fleet
	Queries []*capture.Query
	Program string // the router's
	Config  string // its YAML file; empty: none
	Warm    time.Duration
	Loss    plan.Loss
	Seed    uint64
}

// Result is what a run came to.
type Result struct {
	Verdict  plan.Verdict
	Rejected map[string]int // answers 429 and 503, all tries
	Requests map[string]int
	Lateness *hdrhistogram.Histogram // of the sends, microseconds
	Void     string                  // why the run does not count; empty: it does
	CPU      time.Duration           // of all routers
	Answered int
}

const (
	mostLate  = 5 * time.Millisecond // that 99% of the sends may be
	clientExt = 500 * time.Millisecond
)

type client struct {
	o      Options
	http   *http.Client
	c      *cluster.Cluster
	mu     sync.Mutex
	rng    *rand.Rand
	r      *Result
	took   map[string]*hdrhistogram.Histogram
	served map[string]int
	timely int
	tries  int
	next   int
}

// Run plays one run.
func Run(ctx context.Context, o Options) (*Result, error) {
	c, err := cluster.Start(cluster.Options{Fleet: o.Fleet, Program: o.Program, Config: o.Config, Loss: o.Loss})
	if err != nil {
		return nil, err
	}
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			c.Stop()
		}
	}
	defer stop()
	transport := &http.Transport{MaxIdleConnsPerHost: 2000, MaxConnsPerHost: 0, DisableCompression: true, IdleConnTimeout: time.Second}
	defer transport.CloseIdleConnections()
	k := &client{o: o, http: &http.Client{Transport: transport}, c: c, rng: rand.New(rand.NewPCG(o.Seed, 0x17)),
		took: map[string]*hdrhistogram.Histogram{}, served: map[string]int{},
		r: &Result{Rejected: map[string]int{}, Requests: map[string]int{}, Lateness: hdrhistogram.New(1, 100_000_000, 3)}}
	for _, v := range o.Fleet.Verticals {
		k.took[v.Name] = hdrhistogram.New(1, 100_000_000, 3)
	}
	var all sync.WaitGroup
	begun := time.Now().Add(100 * time.Millisecond)
	warmed := false
	for _, q := range o.Queries {
		at := begun.Add(time.Duration(q.At) * time.Millisecond / 10)
		if wait := time.Until(at); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				all.Wait()
				return nil, ctx.Err()
			}
		}
		counts := time.Duration(q.At)*time.Millisecond/10 >= o.Warm
		if counts && !warmed {
			warmed = true
			for _, l := range c.Leaves {
				l.Reset()
			}
		}
		if counts {
			k.mu.Lock()
			k.r.Lateness.RecordValue(max(time.Since(at).Microseconds(), 1))
			k.mu.Unlock()
		}
		all.Go(func() { k.request(ctx, q, counts) })
	}
	for _, l := range c.Leaves {
		k.r.Verdict.Utilisation = append(k.r.Verdict.Utilisation, l.Utilisation())
	}
	all.Wait()
	stop()
	for _, cpu := range c.CPU {
		k.r.CPU += cpu
	}
	k.finish()
	return k.r, nil
}

// request is one client's, over all its tries.
func (k *client) request(ctx context.Context, q *capture.Query, counts bool) {
	cl := k.o.Fleet.Clients
	v := &k.o.Fleet.Verticals[k.o.Fleet.Vertical(q.Vertical)]
	for try := 1; ; try++ {
		k.mu.Lock()
		router := k.c.Routers[k.rng.IntN(len(k.c.Routers))].Address
		again, honours, jitter := k.rng.Float64() < cl.Share, k.rng.Float64() < cl.Honour, k.rng.Float64()
		k.next++
		id := k.next
		k.mu.Unlock()
		begun := time.Now()
		status, holdOff := k.send(ctx, router, id, q, v)
		took := time.Since(begun)
		if counts {
			k.mu.Lock()
			k.tries++
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				k.r.Rejected[q.Vertical]++
			}
			k.mu.Unlock()
		}
		refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if status != http.StatusOK && (refused || v.Effect == "repeatable") && try <= cl.Retries && again && ctx.Err() == nil {
			wait := cl.Backoff << min(try-1, 6)
			if holdOff > 0 && honours {
				wait = holdOff
			}
			time.Sleep(wait + time.Duration(jitter*float64(wait)/4))
			continue
		}
		if counts {
			k.mu.Lock()
			k.r.Requests[q.Vertical]++
			if status == http.StatusOK {
				k.served[q.Vertical]++
				k.took[q.Vertical].RecordValue(max(took.Microseconds()/100, 1))
				if took <= v.SLO {
					k.timely++
				}
			}
			k.mu.Unlock()
		}
		return
	}
}

// send makes one try; a status of 0 is none.
func (k *client) send(ctx context.Context, router string, id int, q *capture.Query, v *fleet.Vertical) (status int, holdOff time.Duration) {
	type part struct {
		ID   int     `json:"id"`
		W    float64 `json:"w"`
		Hint int     `json:"hint,omitempty"`
	}
	var parts []part
	var shards []int
	work := map[int]float64{}
	for _, p := range q.Parts {
		parts = append(parts, part{p.Shard, p.Weight, int(p.Hint * 1000)})
		shards = append(shards, p.Shard)
		work[p.Shard] = p.Cost()
	}
	body, err := json.Marshal(map[string]any{"parts": parts, "expr": standin.WorkText(work, shards)})
	if err != nil {
		return 0, 0
	}
	ctx, cancel := context.WithTimeout(ctx, v.Deadline+clientExt)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/"+q.Vertical+"/"+strconv.FormatUint(q.Key, 16),
		bytes.NewReader(body))
	if err != nil {
		return 0, 0
	}
	req.Header.Set("X-Trace-Id", fmt.Sprintf("%x", id))
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(v.Deadline.Milliseconds(), 10))
	if q.Tenant != "" {
		req.Header.Set("X-Customer", q.Tenant)
	}
	resp, err := k.http.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		holdOff = time.Duration(s * float64(time.Second))
	}
	return resp.StatusCode, holdOff
}

// finish works out the verdict, and whether the run counts.
func (k *client) finish() {
	v := &k.r.Verdict
	v.ByVertical = map[string]float64{}
	total, served, sum := 0, 0, 0.0
	for name, n := range k.r.Requests {
		total, served = total+n, served+k.served[name]
		v.ByVertical[name] = float64(k.served[name]) / float64(n)
		sum += k.took[name].Mean() / 10 * float64(k.served[name])
		v.P99 = max(v.P99, float64(k.took[name].ValueAtQuantile(99))/10)
	}
	k.r.Answered = served
	v.Service, v.Timely = float64(served)/float64(max(total, 1)), float64(k.timely)/float64(max(total, 1))
	v.Mean, v.Tries = sum/float64(max(served, 1)), float64(k.tries)/float64(max(total, 1))
	if late := time.Duration(k.r.Lateness.ValueAtQuantile(99)) * time.Microsecond; late > mostLate {
		k.r.Void = fmt.Sprintf("1%% of the sends were over %v late (%v): the machine was too busy for this load", mostLate, late)
	}
}

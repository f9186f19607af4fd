package processes

// run.go owns a run: routers up, faults in their turn, a quiet end, the judgement and its figures. It must never leave out a bound that
// broke.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options is one run.
type Options struct {
	Program   string // the routers'
	Instances int
	Rights    int
	For       time.Duration // in which faults come
	Faults    int
	Timeline  []Fault // instead of drawn ones
	Lease     time.Duration
	Skew      time.Duration // clocks differ by up to this
	Every     time.Duration // between two steps of a right's job
	Link      Link          // between all, where no fault says otherwise
	Keep      string        // not empty: logs stay
	// OneAddress has routers told apart by ports, and connections not at all: where loopback has 127.0.0.1 alone that is found out.
	OneAddress bool
	Seed       uint64
	Tell       func(line string) // progress; nil: nothing
}

// Result is what a run comes to.
type Result struct {
	TwoHolders int     `json:"two_holders"`
	Stale      int     `json:"stale_effects"`
	Back       int     `json:"tokens_back"`
	JobsLost   int     `json:"jobs_lost"`
	Skipped    int     `json:"steps_skipped"`
	Unlinear   int     `json:"not_linearizable"`
	P50        float64 `json:"gap_ms_p50"`
	P99        float64 `json:"gap_ms_p99"`
	Most       float64 `json:"gap_ms_most"`
	Faults     int     `json:"faults"`
	Seed       uint64  `json:"seed"`

	Options Options                            `json:"-"`
	ByKind  map[string]int                     `json:"-"`
	Gaps    map[string]*hdrhistogram.Histogram `json:"-"` // microseconds
	Effects int                                `json:"-"`
	Refused int                                `json:"-"`
	Tenures int                                `json:"-"`
	Broken  []string                           `json:"-"`
	Worst   string                             `json:"-"`
	Dir     string                             `json:"-"`
}

// Bad tells whether a bound was broken.
func (r *Result) Bad() bool {
	return r.TwoHolders+r.Stale+r.Back+r.JobsLost+r.Skipped+r.Unlinear > 0
}

const (
	settleWithin = 30 * time.Second // in which all work must go on once faults are over
	pulseEvery   = 150 * time.Millisecond
	looks        = 5 * time.Millisecond
)

// run is one run under way.
type run struct {
	o     Options
	f     *fleet
	recv  *receiver
	names []string
	begun time.Time

	mu      sync.Mutex
	busy    map[int]int // seats that a fault has, and how many
	waits   []wait
	lonely  []span // times without a majority that could vote
	result  *Result
	pending sync.WaitGroup
	failed  error
}

// wait is a right whose holder a fault has befallen.
type wait struct {
	right, kind string
	was         effect
	from        time.Duration
}

type span struct{ from, to time.Duration }

// Run brings the routers up, plays the faults, and judges.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &run{o: o, begun: time.Now(), busy: map[int]int{}}
	r.result = &Result{Options: o, Seed: o.Seed, ByKind: map[string]int{}, Gaps: map[string]*hdrhistogram.Histogram{}}
	var err error
	if r.recv, err = newReceiver(r.begun, r.clock); err != nil {
		return nil, err
	}
	defer r.recv.close()
	var list []any
	for n := range o.Rights {
		name := fmt.Sprintf("right-%03d", n)
		r.names = append(r.names, name)
		list = append(list, map[string]any{"name": name, "every": o.Every.String(), "deadline": "2s", "hook": r.recv.url(name)})
	}
	if r.f, err = newFleet(&o, map[string]any{"enabled": true, "concurrent": 8, "rights": list}); err != nil {
		return nil, err
	}
	defer r.f.close()
	if o.OneAddress {
		r.tell("loopback has one address: routers are told apart by their ports, and connections not at all")
	}
	r.result.Dir = r.f.dir
	rng := rand.New(rand.NewPCG(o.Seed, 5))
	for _, x := range r.f.routers {
		if o.Skew > 0 {
			x.clock = time.Duration(rng.Int64N(int64(o.Skew))) - o.Skew/2
		}
		if err := r.f.start(x); err != nil {
			return nil, err
		}
	}
	if err := r.f.ready(); err != nil {
		return nil, err
	}
	if err := r.settle(ctx, 0); err != nil {
		return nil, fmt.Errorf("before any fault: %w", err)
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.judge(ctx)
}

// clock is how wrong a seat's is.
func (r *run) clock(seat int) time.Duration {
	if r.f == nil || seat < 0 || seat >= len(r.f.routers) {
		return 0
	}
	return r.f.routers[seat].clock
}

func (r *run) now() time.Duration { return time.Since(r.begun) }

func (r *run) tell(format string, args ...any) {
	if r.o.Tell != nil {
		r.o.Tell(fmt.Sprintf("%8.3fs  ", r.now().Seconds()) + fmt.Sprintf(format, args...))
	}
}

// settle waits until each right has had an effect since a time.
func (r *run) settle(ctx context.Context, since time.Duration) error {
	for end := time.Now().Add(settleWithin); ; time.Sleep(looks) {
		quiet := r.recv.quiet(r.names, since)
		switch {
		case len(quiet) == 0:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(end):
			return fmt.Errorf("nothing is done for %d of %d rights, such as %s", len(quiet), len(r.names), quiet[0])
		}
	}
}

// play has the faults befall, each at its time and whatever others are on.
func (r *run) play(ctx context.Context) error {
	faults := r.o.Timeline
	if faults == nil {
		faults = Draw(r.o.Seed, r.o.Instances, r.o.Faults, r.o.For, r.o.Lease)
	}
	begin := r.now()
	watch, stop := context.WithCancel(ctx)
	defer stop()
	r.pending.Go(func() { r.watch(watch) })
	for _, f := range faults {
		select {
		case <-ctx.Done():
			stop()
			r.pending.Wait()
			return ctx.Err()
		case <-time.After(begin + f.At - r.now()):
		}
		r.befall(f)
	}
	r.wait()
	for _, x := range r.f.routers { // whatever is still down
		if err := r.f.start(x); err != nil {
			r.fail(err)
		}
	}
	r.f.relays.mu.Lock()
	r.f.relays.links, r.f.relays.all = map[[2]int]Link{}, Link{}
	r.f.relays.mu.Unlock()
	stop()
	r.pending.Wait()
	return r.failed
}

// wait waits until all faults are over.
func (r *run) wait() {
	for {
		r.mu.Lock()
		left := 0
		for _, n := range r.busy {
			left += n
		}
		r.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(looks)
	}
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = err
	}
}

// processFault: the kinds that need a process of their own: one that is down or still can't be killed once more.
func processFault(kind string) bool {
	return kind != Cut && kind != Deaf && kind != Mute && kind != Slow
}

// befall begins a fault, and has it end in its time.
func (r *run) befall(f Fault) {
	who := f.Who
	if f.Kind == All {
		who = nil
		for seat := range r.o.Instances {
			who = append(who, seat)
		}
	}
	r.mu.Lock()
	var free []int
	for _, seat := range who {
		if !processFault(f.Kind) || r.busy[seat] == 0 {
			free = append(free, seat)
		}
	}
	if len(free) == 0 {
		r.mu.Unlock()
		return
	}
	for _, seat := range free {
		if processFault(f.Kind) {
			r.busy[seat]++
		}
	}
	links := 0
	if !processFault(f.Kind) {
		links = -1 - int(f.At) // a key of its own, that is no seat
		r.busy[links]++
	}
	r.mu.Unlock()
	r.result.Faults++
	r.result.ByKind[f.Kind]++
	r.tell("%s %v for %v", f.Kind, free, f.For.Round(time.Millisecond))
	r.struck(f.Kind, free)
	r.pending.Go(func() {
		r.carry(f, free)
		r.mu.Lock()
		defer r.mu.Unlock()
		if links != 0 {
			delete(r.busy, links)
		}
		for _, seat := range free {
			if processFault(f.Kind) {
				r.busy[seat]--
			}
		}
	})
}

// struck notes the rights whose last known holder is among those that a fault befalls.
func (r *run) struck(kind string, who []int) {
	now := r.now()
	for right, e := range r.recv.holders() {
		if slices.Contains(who, e.seat) {
			r.mu.Lock()
			r.waits = append(r.waits, wait{right, kind, e, now})
			r.mu.Unlock()
		}
	}
}

// carry does what the fault is, and undoes it after its time.
func (r *run) carry(f Fault, who []int) {
	each := func(do func(x *router)) {
		var all sync.WaitGroup
		for _, seat := range who {
			all.Go(func() { do(r.f.routers[seat]) })
		}
		all.Wait()
	}
	start := func(x *router) {
		if err := r.f.start(x); err != nil {
			r.fail(err)
		}
	}
	switch f.Kind {
	case Kill, All, Third, Wipe, Limited:
		each(r.f.kill)
		time.Sleep(f.For)
		each(func(x *router) {
			x.keeps, x.limited = f.Kind != Wipe, f.Kind == Limited
			start(x)
		})
		if f.Kind == Limited { // it must not harm the others; then it gets what it needs
			time.Sleep(f.For)
			each(func(x *router) {
				r.f.kill(x)
				x.limited = false
				start(x)
			})
		}
	case Term:
		each(r.f.end)
		time.Sleep(f.For)
		each(start)
	case Stop:
		each(func(x *router) { r.f.signal(x, syscall.SIGSTOP) })
		time.Sleep(f.For)
		each(func(x *router) { r.f.signal(x, syscall.SIGCONT) })
	case Pulse:
		for end := time.Now().Add(f.For); time.Now().Before(end); {
			each(func(x *router) { r.f.signal(x, syscall.SIGSTOP) })
			time.Sleep(pulseEvery)
			each(func(x *router) { r.f.signal(x, syscall.SIGCONT) })
			time.Sleep(pulseEvery / 3)
		}
	default:
		link := &Link{Cut: true}
		if f.Kind == Slow {
			link = f.Link
		}
		var pairs [][2]int
		for _, a := range who {
			for b := range r.o.Instances {
				if slices.Contains(who, b) {
					continue
				}
				if f.Kind != Deaf {
					pairs = append(pairs, [2]int{a, b})
				}
				if f.Kind != Mute {
					pairs = append(pairs, [2]int{b, a})
				}
			}
		}
		r.f.relays.set(pairs, link)
		time.Sleep(f.For)
		r.f.relays.set(pairs, nil)
	}
}

// watch notes when no majority of seats is up, heard and past its silent start.
func (r *run) watch(ctx context.Context) {
	silent := r.o.Lease + r.o.Skew + r.o.Lease/2
	well := make([]time.Duration, r.o.Instances) // since when
	var since time.Duration
	for lonely := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(looks):
		}
		now, n := r.now(), 0
		r.mu.Lock()
		for seat := range r.o.Instances {
			if r.busy[seat] > 0 || r.cutOff(seat) {
				well[seat] = now
			} else if now-well[seat] > silent || well[seat] == 0 {
				n++
			}
		}
		if n > r.o.Instances/2 {
			if lonely {
				r.lonely = append(r.lonely, span{since, now + r.o.Lease})
			}
			lonely = false
		} else if !lonely {
			lonely, since = true, now
		}
		r.mu.Unlock()
	}
}

// cutOff: it can't hear, or be heard by, half of the others.
func (r *run) cutOff(seat int) bool {
	r.f.relays.mu.Lock()
	defer r.f.relays.mu.Unlock()
	n := 0
	for other := range r.o.Instances {
		if r.f.relays.links[[2]int{seat, other}].Cut || r.f.relays.links[[2]int{other, seat}].Cut {
			n++
		}
	}
	return n >= r.o.Instances/2
}

// judge has all settle, and looks at what the receiver wrote down.
func (r *run) judge(ctx context.Context) (*Result, error) {
	x := r.result
	if err := r.settle(ctx, r.now()); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		x.JobsLost = len(r.recv.quiet(r.names, r.now()-settleWithin))
		x.Broken = append(x.Broken, "in the end "+err.Error())
	}
	r.recv.mu.Lock()
	effects := slices.Clone(r.recv.effects)
	x.Skipped = r.recv.skipped
	r.recv.mu.Unlock()
	v := judge(effects)
	x.TwoHolders, x.Stale, x.Back, x.Unlinear = v.twoHolders, v.stale, v.back, v.unlinear
	x.Effects, x.Refused, x.Tenures = v.effects, v.refused, v.tenures
	x.Broken = append(x.Broken, v.broken...)
	r.gaps(effects)
	if h := x.Gaps["all"]; h != nil {
		x.P50, x.P99, x.Most = millis(h.ValueAtQuantile(50)), millis(h.ValueAtQuantile(99)), millis(h.Max())
	}
	return x, nil
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// gaps are the times from a fault that befell a holder to the first effect under a greater token. A holder that goes on through it has
// left none; nor is one counted that falls into a time without a majority.
func (r *run) gaps(effects []effect) {
	for _, w := range r.waits {
		var next *effect
		goesOn := false
		for i := range effects {
			e := &effects[i]
			if e.right != w.right || e.sent <= w.from {
				continue
			}
			if e.token == w.was.token && e.sent > w.from+2*r.o.Lease {
				goesOn = true
			}
			if e.token > w.was.token && (next == nil || e.sent < next.sent) {
				next = e
			}
		}
		if next == nil || goesOn {
			continue
		}
		from := w.from
		for i := range effects { // up to the last of its own it held the right
			if e := &effects[i]; e.right == w.right && e.token == w.was.token && e.taken {
				from = max(from, e.sent)
			}
		}
		if slices.ContainsFunc(r.lonely, func(s span) bool { return s.from < next.sent && s.to > from }) {
			continue
		}
		for _, kind := range []string{w.kind, "all"} {
			if r.result.Gaps[kind] == nil {
				r.result.Gaps[kind] = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
			}
			gap := int64(max((next.sent-from)/time.Microsecond, 1))
			if kind == "all" && gap > r.result.Gaps[kind].Max() {
				r.result.Worst = fmt.Sprintf("%s after %s at %.3f s, %.1f ms", w.right, w.kind, w.from.Seconds(), millis(gap))
			}
			r.result.Gaps[kind].RecordValue(gap)
		}
	}
}

// Plus sums two results up.
func (r *Result) Plus(o *Result) *Result {
	if r == nil {
		return o
	}
	r.TwoHolders, r.Stale, r.Back = r.TwoHolders+o.TwoHolders, r.Stale+o.Stale, r.Back+o.Back
	r.JobsLost, r.Skipped, r.Unlinear = r.JobsLost+o.JobsLost, r.Skipped+o.Skipped, r.Unlinear+o.Unlinear
	r.Faults, r.Effects, r.Refused, r.Tenures = r.Faults+o.Faults, r.Effects+o.Effects, r.Refused+o.Refused, r.Tenures+o.Tenures
	if o.Most > r.Most {
		r.Worst = fmt.Sprintf("seed %d: %s", o.Seed, o.Worst)
	}
	for kind, n := range o.ByKind {
		r.ByKind[kind] += n
	}
	for kind, h := range o.Gaps {
		if r.Gaps[kind] == nil {
			r.Gaps[kind] = h
		} else {
			r.Gaps[kind].Merge(h)
		}
	}
	if h := r.Gaps["all"]; h != nil {
		r.P50, r.P99, r.Most = millis(h.ValueAtQuantile(50)), millis(h.ValueAtQuantile(99)), millis(h.Max())
	}
	r.Broken = append(r.Broken, o.Broken...)
	return r
}

// Table tells people.
func (r *Result) Table(out io.Writer) {
	fmt.Fprintf(out, "%d processes, %d rights, lease %v, clocks within %v; %d faults\n", r.Options.Instances, r.Options.Rights, r.Options.Lease,
		r.Options.Skew, r.Faults)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "fault\ttimes\trights without a holder, times\tmedian ms\t99%% ms\tmost ms\t\n")
	for _, kind := range append(slices.Clone(kinds), "all") {
		times, h := r.ByKind[kind], r.Gaps[kind]
		if kind == "all" {
			times = r.Faults
		}
		switch {
		case h != nil:
			fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", strings.ReplaceAll(kind, "_", " "), times, h.TotalCount(),
				millis(h.ValueAtQuantile(50)), millis(h.ValueAtQuantile(99)), millis(h.Max()))
		case times > 0:
			fmt.Fprintf(t, "%s\t%d\t0\t\t\t\t\n", strings.ReplaceAll(kind, "_", " "), times)
		}
	}
	t.Flush()
	if r.Worst != "" {
		fmt.Fprintf(out, "longest: %s\n", r.Worst)
	}
	fmt.Fprintf(out, "tenures %d, effects %d, refused by the receiver's fence %d\n", r.Tenures, r.Effects, r.Refused)
	fmt.Fprintf(out, "two holders %d, stale effects %d, tokens back %d, jobs lost %d, steps skipped %d, histories of no fence %d\n", r.TwoHolders,
		r.Stale, r.Back, r.JobsLost, r.Skipped, r.Unlinear)
	for _, b := range r.Broken {
		fmt.Fprintln(out, "broken:", b)
	}
}

// JSON tells programs.
func (r *Result) JSON() string {
	b, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

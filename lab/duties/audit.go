package duties

// audit.go owns what the leaves saw, and the judgement whether both promises held. It must never ask an instance, and
// never excuse what an instance could have known.

import (
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"moleshift/duty"
)

// audit holds the performances by duty, as they took place in true time.
type audit struct {
	w        *world
	books    map[string]*book
	gaps     *hdrhistogram.Histogram // tenths
	ages     *hdrhistogram.Histogram // tenths, of results as they are heard
	waits    *hdrhistogram.Histogram // tenths from an interval's beginning to a performance by its substitute
	noticed  *hdrhistogram.Histogram // tenths from a death to the first interval planned without the seat
	dead     map[int]duty.Time       // seats whose death is not yet planned around
	probes   [8]int                  // intervals of leaves by the probes that they got
	worst    int
	sliding  int // the most probes within any time as long as an interval
	byWhy    [3]int
	worstGap duty.Time // not counting those without a majority and those excused

	elections int
	covered   []span   // times with a majority on one side
	losses    []loss   // of instances: death, standstill, or cut off from the larger side
	changes   [][]span // by seat: whether it is up
	plans     []duty.Segment
	excuses   []string
	late      int     // promises broken
	alone     int     // gaps while no side had a majority
	excused   int     // gaps by several losses too close together to be known
	over      int     // intervals of leaves with more than double
	stories   []story // of broken promises
}

type span struct {
	from duty.Time
	has  bool
}

type loss struct {
	at   duty.Time
	seat int
}

// story is what led to a broken promise.
type story struct {
	what  string
	lines []string
}

type book struct {
	name    string
	from    duty.Time // since when all know it
	last    duty.Time
	count   map[int64]int // by interval in true time, of the latest few
	recent  []duty.Time
	log     []string
	phaseOf *duty.Duty
}

func newAudit(w *world) *audit {
	return &audit{w: w, changes: make([][]span, w.o.Instances), books: map[string]*book{}, gaps: hdrhistogram.New(1, 10_000_000, 3),
		ages: hdrhistogram.New(1, 10_000_000, 3), waits: hdrhistogram.New(1, 10_000_000, 3),
		noticed: hdrhistogram.New(1, 10_000_000, 3), dead: map[int]duty.Time{}}
}

func (a *audit) added(name string, now duty.Time) {
	b := &book{name: name, from: now + listDelay, count: map[int64]int{}}
	b.last = b.from
	a.books[name] = b
}

func (a *audit) removed(name string) {
	if b := a.books[name]; b != nil {
		a.close(b)
		delete(a.books, name)
	}
}

// changed notes whether one side has a majority from now on, of instances that have run for as long as a grant of their
// predecessors may hold.
func (a *audit) changed() {
	has := a.w.largest(true) > a.w.o.Instances/2
	if n := len(a.covered); n == 0 || a.covered[n-1].has != has {
		a.covered = append(a.covered, span{a.w.now, has})
	}
}

// lost notes that a seat can't be reached from now on, up that its process is there and runs, or not.
func (a *audit) lost(seat int) { a.losses = append(a.losses, loss{a.w.now, seat}) }

func (a *audit) up(seat int, is bool) {
	if is {
		delete(a.dead, seat)
	}
	a.changes[seat] = append(a.changes[seat], span{a.w.now, is})
}

func (a *audit) heard(age duty.Time) { a.ages.RecordValue(int64(max(age, 1))) }

// begun takes what an instance says of a performance: by which right, how long after the interval's beginning.
func (a *audit) begun(why duty.Why, after duty.Time) {
	a.byWhy[why]++
	if why != duty.InTurn {
		a.waits.RecordValue(int64(max(after, 1)))
	}
}

// performed takes one performance as the leaf sees it.
func (a *audit) performed(d *duty.Duty, seat int, k int64, why duty.Why) {
	b := a.books[d.Name()]
	if b == nil { // the list has dropped it, and this instance has not heard of that
		return
	}
	now := a.w.now
	b.phaseOf = d
	b.log = append(b.log, fmt.Sprintf("%9.3fs  seat %d, interval %d, %s", float64(now-epoch)/10000, seat, k, why))
	b.log = b.log[max(len(b.log)-8, 0):]
	a.gap(b, now)
	b.last = max(b.last, now)

	number := d.Number(now)
	b.count[number]++
	if n := b.count[number]; n > 2 {
		a.over++
		a.tell(b, fmt.Sprintf("%s: %d performances in interval %d", b.name, n, number))
	}
	for old, n := range b.count { // each interval is counted once it is over; the sums hang on no order
		if old < number-1 {
			a.settle(n)
			delete(b.count, old)
		}
	}
	b.recent = append(b.recent, now)
	for now-b.recent[0] >= Tenths(a.w.o.Interval) {
		b.recent = b.recent[1:]
	}
	a.sliding = max(a.sliding, len(b.recent))
}

func (a *audit) settle(n int) {
	a.probes[min(n, len(a.probes)-1)]++
	a.worst = max(a.worst, n)
}

// gap judges the time since a duty's last performance.
func (a *audit) gap(b *book, now duty.Time) {
	interval := Tenths(a.w.o.Interval)
	gap := now - b.last
	if now <= b.from || gap <= 0 {
		return
	}
	a.gaps.RecordValue(int64(gap))
	if missed := int(gap/interval) - 1; missed > 0 {
		a.probes[0] += missed
	}
	if gap <= 2*interval+2*Tenths(a.w.o.Skew)+a.w.slack { // the holder's clock may be behind, the one before ahead
		a.worstGap = max(a.worstGap, gap)
		return
	}
	switch {
	case !a.majority(b.last, now):
		a.alone++
	default:
		what := fmt.Sprintf("%s: nothing for %.2f intervals", b.name, float64(gap)/float64(interval))
		because, excused := a.excuse(b, b.last, now)
		for _, line := range because {
			what += "; " + line
		}
		if excused {
			if a.excused++; len(a.excuses) < 3 {
				a.excuses = append(a.excuses, what)
			}
			return
		}
		a.late++
		a.worstGap = max(a.worstGap, gap)
		a.tell(b, what)
	}
}

// majority: did one side have a majority all the time, and long enough before for a lease to be had?
func (a *audit) majority(from, until duty.Time) bool {
	lease := Tenths(a.w.o.Lease)
	from -= 2*lease + Tenths(a.w.o.Skew)
	for i, s := range a.covered {
		end := a.w.now + 1
		if i+1 < len(a.covered) {
			end = a.covered[i+1].from
		}
		if !s.has && s.from < until && end > from {
			return false
		}
	}
	return true
}

// reaction is how long after its loss a seat may still stand in the plan: it is left out once it has left three beats
// unanswered, and what was planned by then reaches as far as the lease did.
func (a *audit) reaction() duty.Time {
	lease := Tenths(a.w.o.Lease)
	return lease + 4*lease/beats
}

// excuse: were the rights of every interval that was missed in the hands of seats that could do nothing, each
// substitute lost too lately for the plan to have known, and were these two different seats at least? One such loss
// must never break a promise. Where there was no plan, its leader must have been lost as lately. Whoever was up and held
// a right, or was lost early enough to be planned around, makes it a broken promise.
func (a *audit) excuse(b *book, from, until duty.Time) (because []string, excused bool) {
	d, size := b.phaseOf, a.w.o.Instances
	if d == nil {
		return nil, false
	}
	fresh := map[int]bool{}
	first, last := d.Number(from)+1, d.Number(until)
	if until <= d.Begin(last)+3*Tenths(a.w.o.Skew) { // the last one was performed as it began
		last--
	}
	for k := first; k <= last; k++ {
		begin := d.Begin(k)
		end := min(begin+d.Interval(), until)
		holder := d.Holder(k, size)
		if a.able(holder, begin, end) {
			return because, false
		}
		if a.lately(holder, begin) {
			fresh[holder] = true
		}
		says := fmt.Sprintf("interval %d: holder %d could not", k, holder)
		who, what := -1, "leader, the plan was over,"
		if s := a.plan(begin); s != nil {
			who, what = s.Substitute(d, k, size), "substitute"
		} else if s := a.planBefore(begin); s != nil {
			who = s.Leader
		}
		if who < 0 || !a.lately(who, begin) {
			return append(because, fmt.Sprintf("%s, %s %d could", says, what, who)), false
		}
		fresh[who] = true
		because = append(because, fmt.Sprintf("%s, %s %d was lost too lately to be known", says, what, who))
	}
	return because, len(fresh) >= 2
}

// able: was the seat's process up, and not standing still, all through the time in which it might have performed?
func (a *audit) able(seat int, begin, end duty.Time) bool {
	up := false
	since := duty.Time(0)
	for _, c := range a.changes[seat] {
		if c.from > begin {
			if c.from < end && !c.has {
				return false
			}
			break
		}
		up, since = c.has, c.from
	}
	return up && since+Tenths(a.w.o.Skew) <= begin // what began before its start is not for it
}

// lately: was the seat lost shortly before a time, or just then?
func (a *audit) lately(seat int, t duty.Time) bool {
	return slices.ContainsFunc(a.losses, func(l loss) bool {
		return l.seat == seat && l.at >= t-a.reaction() && l.at <= t+Tenths(a.w.o.Interval)
	})
}

// planned notes what a leader has said.
func (a *audit) planned(segments []duty.Segment) {
	for _, s := range segments {
		for seat, at := range a.dead {
			if s.Until > at && s.From > at && s.Active[seat/8]>>(seat%8)&1 == 0 {
				a.noticed.RecordValue(int64(s.From - at))
				delete(a.dead, seat)
			}
		}
		if n := len(a.plans); n > 0 && a.plans[n-1].Leader == s.Leader && slices.Equal(a.plans[n-1].Active, s.Active) &&
			s.From <= a.plans[n-1].Until {
			a.plans[n-1].Until = max(a.plans[n-1].Until, s.Until)
		} else if n == 0 || s.From >= a.plans[n-1].Until {
			a.plans = append(a.plans, s)
		}
	}
	if len(a.plans) > 256 {
		a.plans = append([]duty.Segment{}, a.plans[128:]...)
	}
}

func (a *audit) plan(t duty.Time) *duty.Segment {
	if s := a.planBefore(t); s != nil && t < s.Until {
		return s
	}
	return nil
}

func (a *audit) planBefore(t duty.Time) *duty.Segment {
	for i := len(a.plans) - 1; i >= 0; i-- {
		if a.plans[i].From <= t {
			return &a.plans[i]
		}
	}
	return nil
}

func (a *audit) close(b *book) {
	a.gap(b, a.w.now)
	for _, n := range b.count {
		a.settle(n)
	}
}

// end judges what is still open.
func (a *audit) end() {
	for _, name := range a.w.leaves {
		a.close(a.books[name])
	}
}

func (a *audit) tell(b *book, what string) {
	if len(a.stories) < 3 {
		lines := append([]string{}, a.w.events[max(len(a.w.events)-14, 0):]...)
		lines = append(lines, b.log...)
		slices.Sort(lines)
		a.stories = append(a.stories, story{what, lines})
	}
}

package leases

// judge.go owns what was seen from outside, and the judgement whether the promises held: no right has two holders at one point
// of true time, tokens only grow, the receiver takes nothing out of the order of tokens, no step counts twice, and no job stands
// still in the end. It must never ask an instance what it thinks of another.

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"moleshift/lease"
)

// watch is what is known of one right.
type watch struct {
	name    string
	id      uint64
	token   lease.Token // the greatest that a holder was seen with
	holder  *instance
	gap     *gap
	fence   lease.Fence // the receiver's
	taken   lease.Token // of the last effect that it took
	number  uint64      // of the last step that it did
	effects int
	last    Time // when an effect came that was not refused
	refused int
	rested  Time // when last nobody was to get it for a while
}

// gap is a time without a holder that a fault may have begun.
type gap struct {
	from Time
	kind string
	was  *instance
}

type judge struct {
	w       *world
	watches map[string]*watch
	byID    map[uint64]*watch
	lines   []string // the last of what happened
	stories []string

	faults    map[string]int
	gaps      map[string]*hdrhistogram.Histogram // tenths, by kind of fault
	alonesAt  Time                               // when last no side had a majority
	majority  bool
	elections int
	rested    int
	poisoned  int // holders that the first right's work took down

	twoHolders, stale, back, skipped, again, jobsLost int
	over                                              int
	refused                                           int
	worst                                             string
	worstStory                                        string
}

func newJudge(w *world) *judge {
	j := &judge{w: w, watches: map[string]*watch{}, byID: map[uint64]*watch{}, faults: map[string]int{},
		gaps: map[string]*hdrhistogram.Histogram{}}
	for _, name := range w.names {
		x := &watch{name: name, id: xxhash.Sum64String(name), last: w.now}
		j.watches[name], j.byID[x.id] = x, x
	}
	return j
}

func (j *judge) say(format string, args ...any) {
	j.lines = append(j.lines, fmt.Sprintf("%9.4fs  ", float64(j.w.now-epoch)/10000)+fmt.Sprintf(format, args...))
	if len(j.lines) > 1000 {
		j.lines = j.lines[500:]
	}
}

// broken keeps the story of a broken promise.
func (j *judge) broken(count *int, format string, args ...any) {
	*count++
	j.say("BROKEN: "+format, args...)
	if len(j.stories) < 3 {
		j.stories = append(j.stories, fmt.Sprintf(format, args...)+"\n"+j.story(40))
	}
}

// story is the last of what happened.
func (j *judge) story(most int) (all string) {
	for _, line := range j.lines[max(len(j.lines)-most, 0):] {
		all += "    " + line + "\n"
	}
	return all
}

// alone checks that of a right's tenures only one holds now, by true time and each instance's clock.
func (j *judge) alone(i *instance, id uint64) {
	x := j.byID[id]
	if x == nil || i.node == nil {
		return
	}
	if t, until := i.node.Peek(x.name); t == 0 || until <= i.clock(j.w.now) {
		return
	}
	for _, other := range j.w.instances {
		if other == i || other.node == nil {
			continue
		}
		if t, until := other.node.Peek(x.name); t != 0 && until > other.clock(j.w.now) {
			j.broken(&j.twoHolders, "%s is held by instance %d and by instance %d (token %v)", x.name, i.seat, other.seat, t)
		}
	}
}

// acting: the instance begins an effect in the belief that the right is its own.
func (j *judge) acting(i *instance, right string) {
	for _, other := range j.w.instances {
		if other == i || other.node == nil {
			continue
		}
		if t, until := other.node.Peek(right); t != 0 && until > other.clock(j.w.now) {
			j.broken(&j.twoHolders, "instance %d acts under %s, which instance %d holds (token %v)", i.seat, right, other.seat, t)
		}
	}
}

func (j *judge) gained(i *instance, right string, t lease.Token) {
	x := j.watches[right]
	j.say("instance %d has %s, token %v", i.seat, right, t)
	if t <= x.token {
		j.broken(&j.back, "%s: token %v after %v", right, t, x.token)
	}
	x.token, x.holder = max(t, x.token), i
	if g := x.gap; g != nil {
		x.gap = nil
		if j.alonesAt < g.from && j.majority {
			j.sample(g.kind, j.w.now-g.from, right)
			if most := 2*Tenths(j.w.o.Lease) + 8*Tenths(j.w.o.Lease)/beats; j.w.now-g.from > most && x.rested < g.from {
				j.broken(&j.over, "%s had no holder for %d ms though a majority was there", right, (j.w.now-g.from)/lease.Millisecond)
			}
		}
	}
}

// released: until now the instance has held the right, and worked.
func (j *judge) released(i *instance, right string) {
	if g := j.watches[right].gap; g != nil && g.was == i && g.kind != "standstill" {
		g.from = j.w.now
	}
}

func (j *judge) sample(kind string, t Time, right string) {
	for _, k := range []string{kind, "all"} {
		if j.gaps[k] == nil {
			j.gaps[k] = hdrhistogram.New(1, 100_000_000, 3)
		}
		if k == j.w.o.Story && int64(t) > j.gaps[k].Max() {
			j.worstStory = j.story(300)
			j.worst = fmt.Sprintf("%s: %s at %.4f s, %.1f ms", right, kind, float64(j.w.now-t-epoch)/10000, float64(t)/10)
		}
		j.gaps[k].RecordValue(int64(max(t, 1)))
	}
}

func (j *judge) lost(i *instance, right string, t lease.Token, why lease.Why) {
	j.say("instance %d loses %s: %v", i.seat, right, why)
	if x := j.watches[right]; why == lease.Expired && x.gap == nil && x.holder == i {
		x.gap = &gap{j.w.now, "another's fault", i}
	}
	j.released(i, right)
}

// fault notes what befalls an instance, and what it holds.
func (j *judge) fault(i *instance, kind string) {
	j.faults[kind]++
	j.say("instance %d: %s", i.seat, kind)
	if i.node == nil {
		return
	}
	for _, name := range j.w.names {
		x := j.watches[name]
		if t, until := i.node.Peek(name); t != 0 && until > i.clock(j.w.now) && (x.gap == nil || x.gap.was == i && kind != "sigterm") {
			x.gap = &gap{j.w.now, kind, i}
		}
	}
}

// changed looks whether some side has a majority of instances that remember long enough to vote.
func (j *judge) changed() {
	count, votes := map[int]int{}, map[int]int{}
	if !j.majority {
		j.alonesAt = j.w.now
	}
	j.majority = false
	for _, i := range j.w.instances {
		if i.node != nil && j.w.now >= i.still && !i.deaf && !i.mute {
			if count[i.side]++; j.w.now >= i.votes && !i.full {
				votes[i.side]++
			}
		}
	}
	for _, n := range votes {
		if n > len(j.w.instances)/2 {
			j.majority = true
		}
	}
	if !j.majority {
		j.alonesAt = j.w.now
	}
	for _, x := range j.watches { // whoever goes on holding after a fault has left no gap
		g := x.gap
		if g == nil || g.was.node == nil || j.w.now < max(g.was.still, g.from+2*Tenths(j.w.o.Lease)) || g.was.ending {
			continue
		}
		if t, until := g.was.node.Peek(x.name); t != 0 && until > g.was.clock(j.w.now) {
			x.gap = nil
		}
	}
}

func (j *judge) noted(i *instance, n lease.Note) {
	switch n.Event {
	case lease.Led:
		j.elections++
		j.say("instance %d leads", i.seat)
	case lease.Rested:
		j.rested++
		j.watches[n.Right].rested = j.w.now
		j.say("%s rests", n.Right)
	case lease.Vanished:
		j.say("instance %d: holder %d of %s has vanished", i.seat, n.Seat, n.Right)
	case lease.Odd, lease.Clash:
		j.say("instance %d notes of seat %d: %s", i.seat, n.Seat, n.Why)
	}
}

// effect is what the receiver does: it asks its fence, and does a step once.
func (j *judge) effect(seat int, right string, t lease.Token, number uint64) bool {
	x := j.watches[right]
	if !x.fence.Pass(right, t) {
		j.refused++
		x.refused++
		j.say("receiver refuses step %d of %s by instance %d, token %v", number, right, seat, t)
		return false
	}
	if t < x.taken {
		j.broken(&j.stale, "%s: an effect under %v after one under %v", right, t, x.taken)
	}
	x.taken, x.last = max(t, x.taken), j.w.now
	x.effects++
	if number < x.number && j.w.o.Diskless == 0 { // the step last run may come once more, and none before it
		j.broken(&j.again, "%s: step %d after step %d: what was kept has been lost", right, number, x.number)
	}
	switch {
	case number <= x.number: // it is done
	case number == x.number+1:
		x.number = number
	default:
		j.broken(&j.skipped, "%s: step %d after step %d", right, number, x.number)
		x.number = number
	}
	return true
}

// end judges what only the end shows.
func (j *judge) end() {
	if j.w.o.Bare || Tenths(j.w.o.For) < Tenths(calm)+firstT {
		return
	}
	for n, name := range j.w.names {
		x := j.watches[name]
		if n == 0 && j.w.o.Poison {
			continue
		}
		if j.w.now-x.last > Tenths(calm)*4/5 {
			for _, i := range j.w.instances {
				if i.node == nil {
					continue
				}
				if t, until := i.node.Peek(name); t != 0 {
					j.say("instance %d holds %s, token %v, for %d ms more", i.seat, name, t, (until-i.clock(j.w.now))/lease.Millisecond)
				}
				for _, s := range i.work.State() {
					if s.Name == name && s.Phase != "idle" {
						j.say("instance %d has the job: %+v", i.seat, s)
					}
				}
			}
			j.broken(&j.jobsLost, "%s: nothing done since %.1f s", name, float64(x.last-epoch)/10000)
		}
	}
}

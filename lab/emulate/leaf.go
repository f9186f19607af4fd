package emulate

// leaf.go owns what leaves do: cores, a queue, a cold start, load reports. It must never look at a router.

import (
	"slices"

	"moleshift/choice"
	"moleshift/fleet"
)

// leaf is one leaf.
type leaf struct {
	w       *world
	n       int
	f       *fleet.Leaf
	kind    *fleet.Kind
	up      bool
	boot    int         // counts its starts
	started choice.Time // 0: long past
	slow    float64
	said    choice.Condition // by the list
	running int
	waiting []*job
	busy    choice.Time // cores times time
	served  int
	refused int
	spent   float64 // EWMA of service times, ms
}

// job is one part that has come.
type job struct {
	call  *call
	work  float64
	until choice.Time // nobody waits for longer
	gone  bool        // given up
}

func newLeaf(w *world, n int) *leaf {
	f := &w.f.Leaves[n]
	return &leaf{w: w, n: n, f: f, kind: &w.f.Kinds[f.Kind], up: true, slow: 1, said: choice.Ready}
}

// capacity is what part of its speed it has by now.
func (l *leaf) capacity() float64 {
	age, cold := l.w.now-l.started, fleet.Tenths(l.w.f.Rules.ColdTime)
	if l.started == 0 || age >= cold {
		return 1
	}
	share := l.w.f.Rules.ColdShare
	return share + (1-share)*float64(age)/float64(cold)
}

// come takes a part. Who sends to a process that is down learns so after the way there and back.
func (l *leaf) come(j *job) {
	switch {
	case !l.up:
		j.call.back(choice.Refused, nil)
	case l.said != choice.Ready:
		j.call.back(choice.Full, nil)
	case len(l.waiting) >= l.kind.Queue && l.running >= l.kind.Cores:
		l.refused++
		j.call.back(choice.Full, l.inline())
	default:
		l.waiting = append(l.waiting, j)
		l.next()
	}
}

// next begins what waits, on cores that are free. What nobody needs any more is dropped.
func (l *leaf) next() {
	for l.running < l.kind.Cores && len(l.waiting) > 0 {
		j := l.waiting[0]
		l.waiting = l.waiting[1:]
		if j.gone || l.w.now >= j.until {
			continue
		}
		ms := j.work * l.slow / (l.kind.Speed * l.capacity())
		took := max(choice.Time(ms*float64(choice.Millisecond)), 1)
		l.running++
		boot := l.boot
		l.w.at(l.w.now+took, func() {
			if l.boot != boot || !l.up {
				return // it died with its process
			}
			l.running--
			l.busy += l.w.within(l.w.now-took, l.w.now)
			l.served++
			l.spent += 0.1 * (ms - l.spent)
			j.call.back(choice.OK, l.inline())
			l.next()
		})
	}
}

// inline is the report that comes with an answer, where the service has such.
func (l *leaf) inline() *choice.Report {
	if l.w.f.Rules.ProbeReports {
		return nil
	}
	return l.report()
}

// report is what it says of its load.
func (l *leaf) report() *choice.Report {
	rep := new(choice.Report)
	rep.Set(choice.Active, float64(l.running+len(l.waiting)))
	rep.Set(choice.Waiting, float64(len(l.waiting)))
	rep.Set(choice.ServiceTime, l.spent)
	return rep
}

// down ends the process: what it had is reset.
func (l *leaf) down() {
	if !l.up {
		return
	}
	l.up = false
	l.boot++
	l.running, l.waiting = 0, nil
	for _, r := range l.w.routers {
		for _, c := range slices.Clone(r.out[l.n]) {
			if !c.ended && c.arrived {
				c.back(choice.Reset, nil)
			}
		}
	}
}

// start starts a new process, cold.
func (l *leaf) start() {
	if l.up {
		l.down()
	}
	l.up, l.started, l.slow, l.spent = true, l.w.now, 1, 0
	l.boot++
}

// tell has the list say something of it.
func (l *leaf) tell(c choice.Condition) {
	l.said = c
	for _, r := range l.w.routers {
		r.listed(l)
	}
}

package control

import (
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/quorum"
)

// Change is a loss or an arrival after which the core must bear the next loss again.
type Change string

// The changes.
const (
	ReplacedDark   Change = "gone for good, an empty one comes a second later"
	ReplacedNotice Change = "an empty one comes, then the old one is told to end"
	DiskLost       Change = "loses its disk and is back a second later"
	Restarted      Change = "is told to end and starts again"
)

// Changes lists them.
var Changes = []Change{ReplacedDark, ReplacedNotice, DiskLost, Restarted}

const (
	arrivalAfter = time.Second
	noticeAfter  = 2 * time.Second
	bearsCheck   = 10 * time.Millisecond
	bearsAtMost  = 15 * time.Second
)

// Recovery plays a core that meets a change, and tells how long after it the core bears the loss of as many disks as it must at one
// time: after the arrival of the machine that comes, or, with notice, after the old one was told to end. ok is false where it does
// not come to that.
func Recovery(seed uint64, members, disks int, c Change) (after time.Duration, ok bool) {
	w := newWorld(seed, Options{Members: members, Routers: 2, Tolerance: disks, Routes: 10})
	w.startAll()
	defer func() {
		close(w.ended)
		w.stop()
	}()
	if !w.eventually(bearsAtMost, func() bool { return w.ops.change(0, 0, 1) == taken && w.bears() }) {
		return 0, false
	}
	m := w.core()[w.rand.IntN(members)]
	began := w.bringAbout(c, m)
	ok = w.eventually(bearsAtMost, w.bears)
	return time.Since(began), ok
}

// bringAbout lets a change happen to a machine, and gives the moment from which the recovery counts.
func (w *World) bringAbout(c Change, m *machine) time.Time {
	switch c {
	case ReplacedDark:
		w.remove(m)
		time.Sleep(arrivalAfter)
		w.newcomer()
	case DiskLost:
		m.losePower(w.rand)
		m.wipe()
		time.Sleep(arrivalAfter)
		w.restore(m)
	case ReplacedNotice:
		w.newcomer()
		time.Sleep(noticeAfter)
		began := time.Now()
		w.terminate(m)
		w.remove(m)
		return began
	case Restarted:
		w.terminate(m)
		time.Sleep(restartAfter)
		w.start(m, false)
	}
	return time.Now()
}

// bears tells whether the core bears the loss of as many disks as it must, whichever they are: of each register, the members that
// run are so many more than a majority.
func (w *World) bears() bool {
	states := map[string]map[string]quorum.State{}
	for _, m := range w.core() {
		p, _ := m.running()
		if p == nil || p.acceptor == nil {
			continue
		}
		for _, register := range core.Names() {
			if states[register] == nil {
				states[register] = map[string]quorum.State{}
			}
			states[register][p.acceptor.Identity()] = p.acceptor.State(register)
		}
	}
	for _, register := range core.Names() {
		if !bearsLoss(states[register], w.options.Tolerance) {
			return false
		}
	}
	return true
}

func bearsLoss(states map[string]quorum.State, disks int) bool {
	var newest quorum.State
	for _, s := range states {
		if newest.Accepted.Less(s.Accepted) {
			newest = s
		}
	}
	holds := func(id string) bool { s, ok := states[id]; return ok && s.Accepted == newest.Accepted }
	enough := func(members []quorum.Member) bool {
		running := 0
		for _, m := range members {
			if _, ok := states[m.ID]; ok {
				running++
			}
		}
		return 2*(running-disks) > len(members)
	}
	v := newest.Value
	return len(v.Members) > 0 && v.Quorum(holds) && enough(v.Members) && (len(v.Old) == 0 || enough(v.Old))
}

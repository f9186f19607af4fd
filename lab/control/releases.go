package control

// An operator that orders releases, of versions that are new and of versions that it ordered before, and readers who see what became of
// them. No server of a new version ever comes in a world, so each release is rolled back; what is judged is that an acknowledged one is
// never lost, goes on to its end and keeps it, and that no order begins twice.

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"moleshift/fault"
	"moleshift/peer"
)

const (
	usualReleases   = 4 * time.Second // between two releases, at the mean
	releaseDeadline = 2.0             // seconds
	releasedService = "s"
	releaseRunning  = "running"
	versionsAgain   = 4               // of the last orders are drawn from for a version that is ordered again
	unclearStatus   = 503             // of an answer that leaves open whether an order is taken
	ackTimeout      = 4 * time.Second // bounds.ack-timeout-ms: an order is not sent again later
)

// releaseJudge knows which releases were ordered and acknowledged, and how they were seen to end. Orders are numbered from 1.
type releaseJudge struct {
	mu     sync.Mutex
	orders []releaseOrder // all that were sent
	closed bool           // no more are drawn
	acked  int            // the newest order that was acknowledged
	clear  map[int]bool   // those that were; of the others nobody knows whether they were taken, or will be
	ended  map[int]string // by order: the state in which it was seen to have ended
}

// releaseOrder is one order that was sent.
type releaseOrder struct {
	version string
	first   time.Time // when it was first sent
}

// sends notes an order that is about to be sent first, and gives its number.
func (j *releaseJudge) sends(version string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, releaseOrder{version, time.Now()})
	return len(j.orders)
}

// acknowledged notes an acknowledgement.
func (j *releaseJudge) acknowledged(n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acked = max(j.acked, n)
	j.clear[n] = true
}

// newest gives the newest order that was acknowledged.
func (j *releaseJudge) newest() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.acked
}

// orderOf gives the newest order for a version; 0 where there was none.
func (j *releaseJudge) orderOf(version string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, i, _ := lo.FindLastIndexOf(j.orders, func(o releaseOrder) bool { return o.version == version })
	return i + 1
}

// mayFollow tells whether a release may be the newest one behind another that was acknowledged: it was ordered later, or its order got no
// clear answer, and so may be taken at any later moment.
func (j *releaseJudge) mayFollow(n, acknowledged int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return n >= acknowledged || !j.clear[n]
}

// seen notes a state that was read of the release of an order; least is the newest order acknowledged before the read began. It tells what
// is wrong.
func (j *releaseJudge) seen(n int, state string, least int) string {
	if !j.mayFollow(n, least) {
		return fmt.Sprintf("order %d was acknowledged, the release of order %d is read", least, n)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if n > least {
		return "" // what is read may be an earlier release of the same version
	}
	if before, ok := j.ended[n]; ok && before != state && j.clear[n] {
		return fmt.Sprintf("the release of order %d had ended as %s, %s is read", n, before, state)
	}
	if state != releaseRunning {
		j.ended[n] = state
	}
	return ""
}

// drawVersion draws the version of the next order: a new one, or one that was ordered before.
func (o *operators) drawVersion() string {
	if o.draw(2) == 0 {
		if version := o.drawEarlier(); version != "" {
			return version
		}
	}
	return o.w.releases.newVersion()
}

// drawEarlier draws one of the versions that were ordered lately, but not last; none: "".
func (o *operators) drawEarlier() string {
	versions := o.w.releases.earlier()
	if len(versions) == 0 {
		return ""
	}
	return versions[o.draw(len(versions))]
}

// newVersion gives a version that was not ordered yet.
func (j *releaseJudge) newVersion() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf("v%d", len(j.orders)+1)
}

// earlier lists the versions of the last orders, without that of the very last one and those of orders that may still be sent again.
func (j *releaseJudge) earlier() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var versions, others []string
	for i, o := range j.orders {
		if i+1 == len(j.orders) || time.Since(o.first) < ackTimeout {
			others = append(others, o.version)
		} else {
			versions = append(versions, o.version)
		}
	}
	return lo.Without(lo.Uniq(versions[max(0, len(versions)-versionsAgain):]), others...)
}

// close ends the drawing of orders.
func (j *releaseJudge) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
}

func (j *releaseJudge) isClosed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.closed
}

// orderReleases orders one release after the other until the world is over.
func (o *operators) orderReleases(gap func() time.Duration) {
	for !o.w.over() {
		time.Sleep(gap())
		if !o.w.releases.isClosed() {
			o.orderRelease(o.drawVersion())
		}
	}
}

// orderRelease orders a release: the order is sent until it is acknowledged or refused, for as long as it may be sent again.
func (o *operators) orderRelease(version string) bool {
	n := o.w.releases.sends(version)
	in := &peer.Order{Kind: "release", Body: fmt.Appendf(nil, `{"service":%q,"target-version":%q,"deadline-s":%g}`, releasedService, version, releaseDeadline)}
	began := time.Now()
	for pause := operatorPause; time.Since(began) < ackTimeout && !o.w.over(); pause = min(2*pause, operatorPauses) {
		m := o.w.anyMachine(o.draw)
		reply, err := o.call(m, in)
		if err == nil && !o.loses() {
			switch kind := fault.Kind(reply.Kind); {
			case kind == fault.None:
				o.w.releases.acknowledged(n)
				o.w.judge.tell("order %d of %s is acknowledged by %s", n, version, m.name)
				return true
			case kind.Answer().Status != unclearStatus && kind != fault.UnderWay && kind != fault.BadConfig:
				o.w.violate("%s refuses order %d of %s, which is a proper one: %s", m.name, n, version, reply.Text)
			}
		}
		time.Sleep(pause)
	}
	return false
}

// readReleases reads releases at any machine until the world is over.
func (o *operators) readReleases(gap func() time.Duration) {
	for !o.w.over() {
		time.Sleep(gap())
		o.readRelease(o.w.anyMachine(o.draw))
	}
}

// readRelease reads the newest release at a machine, and gives the newest order that it may be of; ok is false where it has no answer.
func (o *operators) readRelease(m *machine) (n int, state string, ok bool) {
	least := o.w.releases.newest()
	reply, err := o.call(m, &peer.Order{Kind: "release-read", Body: []byte(releasedService)})
	if err != nil || fault.Kind(reply.Kind) != fault.None {
		return 0, "", false
	}
	var told struct {
		State  string `json:"state"`
		Target string `json:"target-version"`
	}
	if err := json.Unmarshal(reply.Body, &told); err != nil {
		o.w.violate("%s answers a read of a release with %q", m.name, reply.Body)
		return 0, "", false
	}
	n = o.w.releases.orderOf(told.Target)
	if wrong := o.w.releases.seen(n, told.State, least); wrong != "" {
		o.w.violate("%s: %s", m.name, wrong)
	}
	return n, told.State, true
}

// judgeReleases has a version that was ordered before ordered again, now that nothing is in trouble: that is acknowledged in time, and every
// machine tells it as one that has ended.
func (w *World) judgeReleases() {
	w.releases.close()
	time.Sleep(2 * ackTimeout) // the last order has been given up by then, and no repeat of it is on its way
	if version := w.ops.drawEarlier(); version != "" && !w.ops.orderRelease(version) {
		w.violate("%s is not taken for %v, with nothing in trouble", version, ackTimeout)
	}
	for _, m := range w.all(func(*machine) bool { return true }) {
		newest, last := w.releases.newest(), ""
		if newest > 0 && !w.eventually(settleTime, func() bool {
			n, state, ok := w.ops.readRelease(m)
			last = fmt.Sprint(n, " ", state, " ", ok)
			return ok && w.releases.mayFollow(n, newest) && state != releaseRunning
		}) {
			w.violate("%s does not tell how order %d, which was acknowledged, has ended: %s", m.name, newest, last)
		}
	}
}

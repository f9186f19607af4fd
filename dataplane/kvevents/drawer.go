package kvevents

// How one router draws the events of one holder: page by page, and the whole list where a page says that events were lost.

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"moleshift/controlplane/core"
	"moleshift/internal/servercall"
	"moleshift/peer"
)

const (
	holdEvents   = 600 * time.Millisecond // a holder without events answers after that: then it is known to live
	callSlack    = 500 * time.Millisecond
	betweenCalls = 100 * time.Millisecond // events gather meanwhile
	failedPause  = time.Second
	listPause    = 5 * time.Second // least time between two lists of one holder: they hold up its work
	holderConns  = 2
	holderIdle   = 4 * time.Second

	headerWait = "Wait-Ms"
	eventsPath = "/kv-events?since="
	listPath   = "/kv-list"
	fromStart  = "0" // asks for the oldest events that are kept
)

// newHolderClient gives the call by which a holder is asked. A list stands for all that a holder keeps: it is asked for on a connection of
// its own, so that no surplus page is taken for it.
func newHolderClient(ip string) func(address, path string) ([]byte, error) {
	client := servercall.New(servercall.Settings{IP: ip, DialTimeout: callSlack, PerServer: holderConns, Idle: holderIdle})
	return func(address, path string) ([]byte, error) {
		status, body, err := client.Do(&servercall.Call{
			Address: address, Path: path, Headers: map[string]string{headerWait: strconv.Itoa(int(holdEvents / time.Millisecond))},
			Alone: path == listPath, Timeout: holdEvents + callSlack,
		})
		if err != nil {
			return nil, err
		}
		if status != fasthttp.StatusOK {
			return nil, core.ErrStatus
		}
		return body, nil
	}
}

// drawer draws the events of one holder.
type drawer struct {
	c      *Collector
	holder holderOf

	since  string // where the next page begins
	epoch  string // of the holder's process; empty: not known yet
	down   bool   // the others have been told that the holder does not answer
	gap    bool   // events were lost, and the list has not been had since
	listed time.Time
}

func newDrawer(c *Collector, holder holderOf) *drawer {
	return &drawer{c: c, holder: holder, since: fromStart}
}

// run draws until end is closed.
func (d *drawer) run(end <-chan struct{}) {
	pause := betweenCalls
	for {
		select {
		case <-end:
			return
		case <-d.c.closed:
			return
		case <-time.After(pause):
		}
		pause = d.turn()
	}
}

// turn asks for a page and gives how long to wait for the next.
func (d *drawer) turn() time.Duration {
	body, err := d.c.get(d.holder.address, eventsPath+d.since)
	if err != nil {
		d.noAnswer()
		return failedPause
	}
	p, events, err := parse(body, d.position())
	if err != nil {
		d.c.log.Warn().Err(err).Str("holder", d.holder.id).Msg("events cannot be read: see whether the server speaks this release's protocol")
		return failedPause
	}
	restarted := d.epoch != "" && d.epoch != p.Epoch.String()
	if restarted || !p.isOlderThan(d.position()) {
		d.since = p.Next.String()
	}
	d.epoch = p.Epoch.String()
	if restarted && len(events) == 0 {
		d.since = fromStart
	}
	if restarted || d.down || len(events) > 0 {
		d.down = false
		d.c.learned(peer.Events{Holder: d.holder.id, Reset: restarted, List: events})
	}
	d.gap = (d.gap && !restarted) || p.Lost
	if d.gap {
		d.list()
	}
	return betweenCalls
}

// position is what the drawer has of the holder's events.
func (d *drawer) position() position { return position{epoch: d.epoch, since: d.since} }

// noAnswer tells the others that the holder is neither source nor store now.
func (d *drawer) noAnswer() {
	if !d.down {
		d.down = true
		d.c.learned(peer.Events{Holder: d.holder.id, Down: true})
	}
}

// list asks for all that the holder keeps, in place of the events that were lost. Where it fails it is tried again at a later turn.
func (d *drawer) list() {
	if !d.listed.IsZero() && time.Since(d.listed) < listPause {
		return
	}
	d.listed = time.Now()
	body, err := d.c.get(d.holder.address, listPath)
	if err != nil {
		return
	}
	p, held, err := parseList(body)
	if err != nil {
		d.c.log.Warn().Err(err).Str("holder", d.holder.id).Msg("the list of kept parts cannot be read: see whether the server speaks this release's protocol")
		return
	}
	if p.Epoch.String() != d.epoch {
		return // it restarted meanwhile: the next page tells
	}
	d.gap, d.since = false, p.Next.String()
	d.c.learned(peer.Events{Holder: d.holder.id, Reset: true, List: held})
}

package kvevents

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"moleshift/controlplane/core"
	"moleshift/peer"
)

// fakeHolder answers as a server does, from what it keeps and the events that are still to be drawn.
type fakeHolder struct {
	epoch, next int
	held        []string
	events      []string // of parts that it began to keep, with the numbers
	surplus     []byte   // is answered in place of the next page, which comes one call later
	lost        bool     // the next page tells of a gap
	off, noList bool
	lists       []time.Time
}

// keep has the holder keep a part; told says whether there is an event of it.
func (h *fakeHolder) keep(part string, told bool) {
	h.held = append(h.held, part)
	h.next++
	if told {
		h.events = append(h.events, fmt.Sprintf(`[%d,"+","s","%s",10,"m"]`, h.next, part))
	} else {
		h.lost = true
	}
}

func (h *fakeHolder) get(_, path string) ([]byte, error) {
	switch {
	case h.off, h.noList && path == listPath:
		return nil, core.ErrStatus
	case path == listPath:
		h.lists = append(h.lists, time.Now())
		h.events = nil
		return fmt.Appendf(nil, `{"epoch":%d,"next-page-token":%d,"held":[%s]}`, h.epoch, h.next, rows(h.held, `["s","%s",10,"m"]`)), nil
	}
	page := fmt.Appendf(nil, `{"epoch":%d,"next-page-token":%d,"lost":%t,"events":[%s]}`, h.epoch, h.next, h.lost, strings.Join(h.events, ","))
	h.events, h.lost = nil, false
	if h.surplus != nil {
		h.surplus, page = page, h.surplus
	}
	return page, nil
}

func rows(parts []string, form string) string {
	var list []string
	for _, part := range parts {
		list = append(list, fmt.Sprintf(form, part))
	}
	return strings.Join(list, ",")
}

// known is what a sink has been told that the holder keeps.
type known struct {
	sink
	parts map[string]bool
	down  bool
}

func (k *known) TakeEvents(list []peer.Events) {
	for _, events := range list {
		if events.Reset {
			clear(k.parts)
		}
		k.down = events.Down
		for _, e := range events.List {
			k.parts[e.Part] = e.Tokens > 0
		}
	}
}

func newTestDrawer(h *fakeHolder) (*drawer, *known) {
	k := &known{parts: map[string]bool{}}
	c := New("127.0.0.1", peer.Node{ID: "n"}, nil, k, zerolog.Nop())
	c.get = h.get
	return newDrawer(c, holderOf{id: "i"}), k
}

// Where a page tells of lost events, all that the holder keeps is asked for; the list is asked for again where it did not come.
func TestLostEventsAreMadeUpForByTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 7}
		d, k := newTestDrawer(h)
		h.keep("a", true)
		must.Eq(t, betweenCalls, d.turn())
		must.Eq(t, map[string]bool{"a": true}, k.parts)
		must.Len(t, 0, h.lists)

		h.keep("b", false)
		h.held = h.held[1:] // that a has given way is not told either
		d.turn()
		must.Eq(t, map[string]bool{"b": true}, k.parts)
		must.Eq(t, "2", d.since)

		h.keep("c", false)
		h.noList = true
		time.Sleep(listPause)
		d.turn()
		must.Eq(t, map[string]bool{"b": true}, k.parts)
		h.noList = false
		d.turn()
		must.Len(t, 1, h.lists, must.Sprint("a list that failed is not asked for at once again"))
		time.Sleep(listPause)
		d.turn()
		must.Eq(t, map[string]bool{"b": true, "c": true}, k.parts)
	})
}

// However many pages tell of gaps, a holder is asked for its list no oftener than every listPause.
func TestListsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 7}
		d, k := newTestDrawer(h)
		for i := range 600 {
			h.keep(fmt.Sprint(i), false)
			time.Sleep(d.turn())
		}
		time.Sleep(listPause)
		d.turn()
		must.MapLen(t, 600, k.parts)
		for i, at := range h.lists[1:] {
			must.GreaterEq(t, listPause, at.Sub(h.lists[i]))
		}
	})
}

// Guards against an answer to an earlier call that comes once more, in the place of the next: what it tells is older than what is known,
// and the drawer must neither take it nor go back to its end.
func TestSurplusPageIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 7}
		d, k := newTestDrawer(h)
		h.keep("a", true)
		d.turn()
		h.surplus = []byte(`{"epoch":7,"next-page-token":0,"lost":false,"events":[[0,"+","s","old",10,"m"]]}`)
		h.keep("b", true)
		d.turn()
		must.Eq(t, map[string]bool{"a": true}, k.parts)
		must.Eq(t, "1", d.since)
		d.turn()
		must.Eq(t, map[string]bool{"a": true, "b": true}, k.parts)
		must.Eq(t, "2", d.since)
		h.surplus = []byte(`{"epoch":7,"next-page-token":9,"held":[["s","z",10,"m"]]}`)
		must.Eq(t, failedPause, d.turn(), must.Sprint("a list is no page"))
		must.Eq(t, "2", d.since)
	})
}

// A restart makes a gap before it of no account, and a list of the process that is gone is not taken.
func TestRestartEndsTheGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 7}
		d, k := newTestDrawer(h)
		d.turn()
		h.keep("a", false)
		h.noList = true
		d.turn()
		must.True(t, d.gap)
		h.epoch, h.held, h.events, h.noList = 8, nil, nil, false
		time.Sleep(listPause)
		d.turn()
		must.False(t, d.gap)
		must.Len(t, 0, h.lists)
		must.MapEmpty(t, k.parts)
		must.Eq(t, fromStart, d.since, must.Sprint("the new process's events are drawn from the first"))
	})
}

func TestHolderThatDoesNotAnswerIsDownUntilItDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 7, off: true}
		d, k := newTestDrawer(h)
		must.Eq(t, failedPause, d.turn())
		must.True(t, k.down)
		h.off = false
		must.Eq(t, betweenCalls, d.turn())
		must.False(t, k.down)
	})
}

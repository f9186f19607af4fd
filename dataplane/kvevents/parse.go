// Package kvevents collects what servers and stores tell of the parts of prompts that they keep, and passes it on to the other
// routers: each holder's events are drawn by one router, of the holder's zone where there is one, and cross each border between
// zones once.
//
// It owns who collects for whom, and the calls. What is known is kept by package kvindex.
package kvevents

import (
	"encoding/json"
	"strconv"

	"github.com/samber/lo"

	"moleshift/dataplane/kvindex"
	"moleshift/fault"
	"moleshift/peer"
)

// page is an answer to GET /kv-events.
type page struct {
	Epoch  json.Number         `json:"epoch"`
	Next   json.Number         `json:"next-page-token"`
	Lost   bool                `json:"lost"`
	Events [][]json.RawMessage `json:"events"`
}

// list is an answer to GET /kv-list.
type list struct {
	Epoch json.Number         `json:"epoch"`
	Next  json.Number         `json:"next-page-token"`
	Held  [][]json.RawMessage `json:"held"`
}

// position is how far a holder's events have been drawn.
type position struct {
	epoch string // of the holder's process; empty: not known yet
	since string // number of the newest event drawn
}

// isOlderThan tells whether a page was made for an earlier call than the one at a position: a surplus answer.
func (p *page) isOlderThan(at position) bool {
	next, err := p.Next.Int64()
	since, sinceErr := strconv.ParseInt(at.since, 10, 64)
	return err == nil && sinceErr == nil && p.Epoch.String() == at.epoch && next < since
}

// layout tells at which places of a row its fields stand, and how many there are at least.
type layout struct {
	salt, part, tokens, fields int
}

var (
	eventLayout = layout{salt: 2, part: 3, tokens: 4, fields: 5} // number, + or -, salt, id of the part, tokens kept now, model
	heldLayout  = layout{salt: 0, part: 1, tokens: 2, fields: 3} // salt, id of the part, tokens, model
)

// parse reads a page and gives its events behind a position: those before it came in a surplus answer. Events that cannot be read, and a
// page that has none of the fields of one, are an error.
func parse(body []byte, at position) (*page, []peer.Event, error) {
	var p page
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, nil, fault.New(fault.BadRequest, "events: %v", err)
	}
	if p.Events == nil || p.Next == "" {
		return nil, nil, fault.New(fault.BadRequest, "events: no page of events")
	}
	if p.Epoch.String() == at.epoch {
		p.Events = behind(p.Events, at.since)
	}
	events, err := eventLayout.read(p.Events)
	return &p, events, err
}

// behind leaves the events out whose number is not above one that was drawn.
func behind(rows [][]json.RawMessage, since string) [][]json.RawMessage {
	drawn, err := strconv.ParseInt(since, 10, 64)
	if err != nil {
		return rows
	}
	return lo.Reject(rows, func(fields []json.RawMessage, _ int) bool {
		var number int64
		return len(fields) > 0 && json.Unmarshal(fields[0], &number) == nil && number <= drawn
	})
}

// parseList reads a list. Parts that cannot be read are an error.
func parseList(body []byte) (*list, []peer.Event, error) {
	var p list
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, nil, fault.New(fault.BadRequest, "list of kept parts: %v", err)
	}
	if p.Held == nil || p.Next == "" {
		return nil, nil, fault.New(fault.BadRequest, "list of kept parts: no list")
	}
	held, err := heldLayout.read(p.Held)
	return &p, held, err
}

// read reads rows of fields.
func (at layout) read(rows [][]json.RawMessage) ([]peer.Event, error) {
	events := make([]peer.Event, 0, len(rows))
	for _, fields := range rows {
		if len(fields) < at.fields {
			return nil, fault.New(fault.BadRequest, "a row of %d fields where %d are wanted", len(fields), at.fields)
		}
		var e peer.Event
		var tokens float64
		for i, into := range map[int]any{at.salt: &e.Salt, at.part: &e.Part, at.tokens: &tokens} {
			if err := json.Unmarshal(fields[i], into); err != nil {
				return nil, fault.New(fault.BadRequest, "field %d: %v", i, err)
			}
		}
		e.Part = kvindex.PartID(e.Part)
		e.Tokens = int(tokens) // after a loss too: a part may give way from its end
		events = append(events, e)
	}
	return events, nil
}

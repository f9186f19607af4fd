// Package kvevents collects what servers and stores tell of the parts of prompts that they keep, and passes it on to the other
// routers: each holder's events are drawn by one router, of the holder's zone where there is one, and cross each border between
// zones once.
//
// It owns who collects for whom, and the calls. What is known is kept by package kvindex.
package kvevents

import (
	"encoding/json"

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

// layout tells at which places of a row its fields stand, and how many there are at least.
type layout struct {
	salt, part, tokens, fields int
}

var (
	eventLayout = layout{salt: 2, part: 3, tokens: 4, fields: 5} // number, + or -, salt, id of the part, tokens kept now, model
	heldLayout  = layout{salt: 0, part: 1, tokens: 2, fields: 3} // salt, id of the part, tokens, model
)

// parse reads a page. Events that cannot be read are an error.
func parse(body []byte) (*page, []peer.Event, error) {
	var p page
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, nil, fault.New(fault.BadRequest, "events: %v", err)
	}
	events, err := eventLayout.read(p.Events)
	return &p, events, err
}

// parseList reads a list. Parts that cannot be read are an error.
func parseList(body []byte) (*list, []peer.Event, error) {
	var p list
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, nil, fault.New(fault.BadRequest, "list of kept parts: %v", err)
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

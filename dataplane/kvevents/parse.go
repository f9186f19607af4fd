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

// The fields of an event: number, + or -, salt, id of the part, tokens kept now, model.
const (
	fieldSalt = iota + 2
	fieldPart
	fieldTokens
	numFields
)

// parse reads a page. Events that cannot be read are an error: the caller forgets what it knows of the holder.
func parse(body []byte) (*page, []peer.Event, error) {
	var p page
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, nil, fault.New(fault.BadRequest, "events: %v", err)
	}
	events := make([]peer.Event, 0, len(p.Events))
	for _, fields := range p.Events {
		if len(fields) < numFields {
			return nil, nil, fault.New(fault.BadRequest, "an event of %d fields", len(fields))
		}
		var e peer.Event
		var tokens float64
		for i, into := range map[int]any{fieldSalt: &e.Salt, fieldPart: &e.Part, fieldTokens: &tokens} {
			if err := json.Unmarshal(fields[i], into); err != nil {
				return nil, nil, fault.New(fault.BadRequest, "field %d of an event: %v", i, err)
			}
		}
		e.Part = kvindex.PartID(e.Part)
		e.Tokens = int(tokens) // after a loss too: a part may give way from its end
		events = append(events, e)
	}
	return &p, events, nil
}

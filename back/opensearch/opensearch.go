// Package opensearch is the form in which leaves that are servers of the OpenSearch style are asked: bytes of
// a call, and what an answer says of each part. It opens no socket and decides nothing. It must never say of
// a part that it has not run unless the answer proves that, and never take a success with failures inside for
// one.
package opensearch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"moleshift/choice"
	"moleshift/codec"
)

// split takes the index out of a query's text.
func split(text []byte) (index string, body []byte, err error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return "", nil, fmt.Errorf("the text is no search: %w", err)
	}
	if err := json.Unmarshal(m["index"], &index); err != nil || index == "" {
		return "", nil, fmt.Errorf("the text names no index")
	}
	delete(m, "index")
	body, err = json.Marshal(m)
	return index, body, err
}

// AppendCall writes one call: an _msearch with an item for each part, which names the shard that is meant.
// An error says which text is no search that a server of
// the form could read.
func AppendCall(out []byte, host string, parts []codec.PartSent) ([]byte, error) {
	var lines, body []byte
	var index string
	for i, p := range parts {
		if i == 0 || !bytes.Equal(p.Text, parts[i-1].Text) { // as a rule all are of one query
			var err error
			if index, body, err = split(p.Text); err != nil {
				return nil, err
			}
		}
		head, err := json.Marshal(
			map[string]any{
				"index":                        index,
				"preference":                   "_shards:" + strconv.Itoa(p.Shard),
				"allow_partial_search_results": false,
			},
		)
		if err != nil {
			return nil, err
		}
		lines = append(append(append(append(lines, head...), '\n'), body...), '\n')
	}
	wait := int64(0)
	for _, p := range parts {
		wait = max(wait, p.Wait)
	}
	out = fmt.Appendf(
		out,
		"POST /_msearch?cancel_after_time_interval=%dms HTTP/1.1\r\nHost: %s\r\nContent-Type: application/x-ndjson\r\n"+
			"Content-Length: %d\r\n\r\n",
		wait,
		host,
		len(lines),
	)
	return append(out, lines...), nil
}

// AppendProbe asks whether a server is there.
func AppendProbe(out []byte, host string) []byte { return codec.AppendGet(out, host, "/") }

// item is one search's answer as far as it says whether it is one.
type item struct {
	Status   int             `json:"status"`
	Error    json.RawMessage `json:"error"`
	TimedOut bool            `json:"timed_out"`
	Shards   *struct {
		Failed int `json:"failed"`
	} `json:"_shards"`
	Hits json.RawMessage `json:"hits"`
}

// outcome is what one item says of its part.
func (i *item) outcome() choice.Outcome {
	switch {
	case i.Status == http.StatusTooManyRequests: // turned away before it ran
		return choice.Full
	case i.Status != http.StatusOK && i.Status != 0, len(i.Error) > 0 && string(i.Error) != "null":
		return choice.Failed
	case i.TimedOut, i.Shards == nil, i.Shards.Failed > 0, len(i.Hits) == 0: // a success with failures inside
		return choice.Failed
	}
	return choice.OK
}

// ParseAnswer says what an answer means for each part of the call, in the parts' order. A status that the
// whole answer has stands for all; only 429 proves that nothing has run.
func ParseAnswer(status int, body []byte, parts []codec.PartSent) []codec.Answer {
	answers := make([]codec.Answer, len(parts))
	for i, p := range parts {
		answers[i] = codec.Answer{ID: p.ID, Outcome: choice.Failed}
		if status == http.StatusTooManyRequests {
			answers[i].Outcome = choice.Full
		}
	}
	var all struct {
		Responses []json.RawMessage `json:"responses"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &all) != nil || len(all.Responses) != len(parts) {
		return answers
	}
	for i, raw := range all.Responses {
		var one item
		if json.Unmarshal(raw, &one) != nil {
			continue
		}
		if answers[i].Outcome = one.outcome(); answers[i].Outcome == choice.OK {
			answers[i].Value = bytes.Clone(raw)
		}
	}
	return answers
}

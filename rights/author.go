package rights

// author.go owns the job of the author of the map of shards: it measures, has package shardmap propose, and hands the proposal to whoever
// publishes maps, under the token. It must never publish by itself, nor propose by load that was measured under another map.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"

	"moleshift/shardmap"
	"moleshift/work"
)

// Measured is a map, and what it has been asked for under it since the process began.
type Measured struct {
	Map    *shardmap.Map
	Load   shardmap.Load // only grows, while a shard is there
	Leaves []string      // that may hold shards
}

// Author is a task that makes one proposal a round at most. The address is where maps are published: POST, a shardmap.Change as JSON, the
// token as header; 200 where it was published, 409 or 412 where a greater token was met, 422 where the map has moved on meanwhile.
func Author(set shardmap.AuthorSettings, address func() string, look func(context.Context) (*Measured, error)) Task {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	var before *Measured
	return func(ctx context.Context, s work.Step, held Held) (r work.Result) {
		r.Done = true
		now, err := look(ctx)
		if err != nil {
			r.Err = err.Error()
			return r
		}
		was := before
		before = now
		if was == nil || was.Map.Version != now.Map.Version {
			return r // the next round has something to compare with
		}
		load := maps.Clone(now.Load)
		for id, w := range was.Load {
			load[id] -= w
		}
		ops := set.Propose(now.Map, load, now.Leaves)
		if ops == nil {
			return r
		}
		body, err := json.Marshal(shardmap.Change{Version: now.Map.Version + 1, Ops: ops})
		if err != nil {
			r.Err = err.Error()
			return r
		}
		if t, _, is := held(); !is || t != s.Token {
			r.Err = "the right is gone"
			return r
		}
		r.Overtaken, err = submit(ctx, client, address(), s, body)
		r.Cost = work.Cost{Calls: 1, Bytes: int64(len(body))}
		if err != nil {
			r.Err = err.Error()
		}
		return r
	}
}

var errMovedOn = errors.New("the map has moved on")

func submit(ctx context.Context, client *http.Client, address string, s work.Step, body []byte) (overtaken bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/shards", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(TokenHeader, strconv.FormatUint(uint64(s.Token), 10))
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, mostAnswer)) // it only words the error
	switch resp.StatusCode {
	case http.StatusOK:
		return false, nil
	case http.StatusConflict, http.StatusPreconditionFailed:
		return true, nil
	case http.StatusUnprocessableEntity:
		return false, fmt.Errorf("%w: %.200s", errMovedOn, text)
	}
	return false, fmt.Errorf("%s: %.200s", resp.Status, text)
}

package rights

// hook.go owns jobs that are done by somebody else's program: each step is one POST to it, with the token that it must check. It
// must never send a step without its token and number, nor take an answer for more than it says.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"moleshift/lease"
	"moleshift/work"
)

// Call is what a hook is sent, as JSON. The token also stands in the header Fencing-Token.
type Call struct {
	Right    string `json:"right"`
	Token    uint64 `json:"token"` // the receiver refuses one that is smaller than the greatest that it has met for the right
	Step     uint64 `json:"step"`  // only grows; a step may come again, and must then not count twice
	Try      int    `json:"try"`
	State    []byte `json:"state,omitempty"` // base64: what the step before answered
	Instance string `json:"instance"`
	At       int64  `json:"at"`    // when this was written, by the instance's clock, in microseconds of Unix time
	Until    int64  `json:"until"` // until when the right is the instance's if it gets no more time, by the same clock
}

// Answer is what a hook says.
type Answer struct {
	State []byte `json:"state,omitempty"` // base64, 768 bytes at most
	Done  bool   `json:"done"`            // nothing more to do until the next round
}

// TokenHeader names the header that has the token in decimal digits.
const TokenHeader = "Fencing-Token"

const mostAnswer = 16 << 10

// Hook is a task that asks a URL. Status 200 is an Answer, 409 or 412 that a greater token was met, all else a failure.
func Hook(url, instance string) Task {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	return func(ctx context.Context, s work.Step, held Held) work.Result {
		token, left, is := held()
		if !is || token != s.Token {
			return work.Result{Err: "the right is gone"}
		}
		now := time.Now().Add(clockOffset)
		body, err := json.Marshal(Call{Right: s.Job, Token: uint64(token), Step: s.Number, Try: s.Try, State: s.State, Instance: instance,
			At: now.UnixMicro(), Until: now.Add(left).UnixMicro()})
		if err != nil {
			return work.Result{Err: err.Error()}
		}
		return post(ctx, client, url, token, body)
	}
}

func post(ctx context.Context, client *http.Client, url string, token lease.Token, body []byte) work.Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return work.Result{Err: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(TokenHeader, strconv.FormatUint(uint64(token), 10))
	r := work.Result{Cost: work.Cost{Calls: 1, Bytes: int64(len(body))}}
	resp, err := client.Do(req)
	if err != nil {
		r.Err = err.Error()
		return r
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	r.Cost.Bytes += int64(len(text))
	switch {
	case resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusPreconditionFailed:
		r.Overtaken = true
		return r
	case err != nil:
		r.Err = err.Error()
		return r
	case resp.StatusCode != http.StatusOK:
		r.Err = fmt.Sprintf("%s: %.200s", resp.Status, text)
		return r
	}
	var a Answer
	if len(bytes.TrimSpace(text)) > 0 {
		if err := json.Unmarshal(text, &a); err != nil {
			r.Err = fmt.Sprintf("the answer can't be read: %v", err)
			return r
		}
	}
	r.State, r.Done = a.State, a.Done
	return r
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"moleshift/lab/nodes"
)

// operator is a stand-in of the operator: each call goes to one node after the other until one gives a clear answer.
type operator struct {
	play   *play
	fleet  *nodes.Fleet
	client *http.Client
}

func newOperator(p *play, fleet *nodes.Fleet) *operator {
	return &operator{play: p, fleet: fleet, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// once makes a call to one node; status 0: no answer.
func (o *operator) once(node int, method, path, body string, headers ...string) (status int, answer string) {
	req, err := http.NewRequest(method, "http://"+o.fleet.Address(node, nodes.Control)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// call makes a call, again and again to the next node, until the answer is clear or the time is over.
func (o *operator) call(within time.Duration, method, path, body string, headers ...string) (status int, answer string) {
	node := 0
	until(within, func() bool {
		status, answer = o.once(node%o.fleet.Len(), method, path, body, headers...)
		node++
		return status != 0 && status < 500
	})
	return status, answer
}

// order makes a call of the operator that changes something, and notes it.
func (o *operator) order(path, body string, headers ...string) (int, error) {
	o.play.note("operator sends POST %s %s", path, body)
	status, answer := o.call(upWithin, http.MethodPost, path, body, headers...)
	o.play.note("operator gets %d %s", status, answer)
	if status != http.StatusOK {
		return status, fmt.Errorf("%w: POST %s was answered with %d %s", errSetup, path, status, answer)
	}
	return status, nil
}

// read reads the state of a service's release.
func (o *operator) read(service string) string {
	status, answer := o.call(upWithin, http.MethodGet, "/rollouts/"+service+"/read", "")
	return fmt.Sprintf("%d %s", status, answer)
}

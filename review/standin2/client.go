package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"moleshift/lab/nodes"
)

const requestEvery = 40 * time.Millisecond

// clients send requests, each to the next node, and count the whole answers by status; 0 stands for none.
type clients struct {
	fleet   *nodes.Fleet
	host    string
	headers map[string]string
	end     context.CancelFunc
	done    sync.WaitGroup

	mu      sync.Mutex
	answers map[int]int
}

func startClients(fleet *nodes.Fleet, host string, headers map[string]string) *clients {
	ctx, end := context.WithCancel(context.Background())
	c := &clients{fleet: fleet, host: host, headers: headers, end: end, answers: map[int]int{}}
	client := &http.Client{Timeout: 3 * time.Second}
	c.done.Go(func() {
		for n := 1; ctx.Err() == nil; n++ {
			c.done.Go(func() { c.send(ctx, client, n) })
			select {
			case <-ctx.Done():
			case <-time.After(requestEvery):
			}
		}
	})
	return c
}

// send sends one request; status 0: no answer.
func (c *clients) send(ctx context.Context, client *http.Client, n int) {
	url := "http://" + c.fleet.Address(n%c.fleet.Len(), nodes.Front) + "/work"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("work"))
	if err != nil {
		return
	}
	req.Host = c.host
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	req.Header.Set("Moleshift-Prompt-Prefix", fmt.Sprintf("a1:100,%x:100", n))
	req.Header.Set("Moleshift-Request-Id", fmt.Sprintf("%016x", n))
	req.Header.Set("Moleshift-Deadline-Ms", "3000")
	status := 0
	if resp, err := client.Do(req); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[status]++
}

// take gives the answers since the last call.
func (c *clients) take() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := c.answers
	c.answers = map[int]int{}
	return answers
}

func (c *clients) stop() {
	c.end()
	c.done.Wait()
}

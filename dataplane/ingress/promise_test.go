package ingress_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// lockedBuffer takes the lines of a log from several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// promiseLine is a line of the log that tells of a promise.
type promiseLine struct {
	Message  string `json:"message"`
	Request  string `json:"request"`
	Status   string `json:"status"`
	Ground   string `json:"ground"`
	Route    string `json:"route"`
	Attempts []struct {
		Instance string `json:"instance"`
		Outcome  string `json:"outcome"`
		Cause    string `json:"cause"`
		Status   int    `json:"status"`
		Answered string `json:"answered"`
		Kept     bool   `json:"kept-connection"`
		Message  int    `json:"message"`
	} `json:"attempts"`
}

// promises gives the lines that tell of promises.
func (b *lockedBuffer) promises(t *testing.T) []promiseLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []promiseLine
	for line := range bytes.Lines(b.text.Bytes()) {
		var p promiseLine
		must.NoError(t, json.Unmarshal(line, &p))
		if p.Message == "promised that the request has not run" {
			lines = append(lines, p)
		}
	}
	return lines
}

func notExecutedWithID(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nMoleshift-Request-Id: %s\r\nMoleshift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		r.Header.Get("Moleshift-Request-Id"))
}

// An operator who sees REFUSED has to find what the promise rested on in the log of the level info, by the request's id.
func TestPromiseTellsItsGround(t *testing.T) {
	full := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { notExecutedWithID(c, r) })
	var log lockedBuffer
	router := startWithLog(t, zerolog.New(&log).Level(zerolog.InfoLevel), full.instance("batch"))
	c := router.dial()
	for _, request := range []struct{ path, id string }{{"/once/", "a"}, {"/once/", "b"}, {"/again/", "c"}, {"/unsafe/", "d"}} {
		c.send(request.path, request.id)
		resp, _, err := c.answer()
		must.NoError(t, err)
		must.Eq(t, 503, resp.StatusCode)
	}
	lines := log.promises(t)
	must.Len(t, 3, lines, must.Sprint("one for each request that must not run twice"))
	must.Eq(t, []string{"a", "b", "d"}, []string{lines[0].Request, lines[1].Request, lines[2].Request})
	must.Eq(t, "batch", lines[0].Route)
	must.Eq(t, "servers' word with the id", lines[1].Ground)
	must.Len(t, 1, lines[1].Attempts)
	word := lines[1].Attempts[0]
	must.Eq(t, "i1 turned away 503 b true 2", fmt.Sprint(word.Instance, " ", word.Outcome, " ", word.Status, " ", word.Answered, " ", word.Kept, " ", word.Message))
	must.Eq(t, "never sent", lines[2].Ground)
	must.SliceEmpty(t, lines[2].Attempts)
	var text strings.Builder
	router.proxy.WriteMetrics(&text)
	must.StrContains(t, text.String(), "moleshift_promises_total{ground=\"servers' word with the id\"} 3\n")
	must.StrContains(t, text.String(), "moleshift_promises_total{ground=\"never sent\"} 1\n")
}

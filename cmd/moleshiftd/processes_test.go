package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"moleshift/lab/nodes"
)

// fleet is some real processes of the program on loopback addresses, one a node.
type fleet struct {
	*nodes.Fleet
	t *testing.T
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "moleshiftd")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	f, err := nodes.New(nodes.Options{Program: program, Dir: dir, Nodes: n, Core: n, Heartbeat: 400 * time.Millisecond})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	return &fleet{f, t}
}

// start starts a node's process; first says that the whole system starts with it.
func (f *fleet) start(i int, first bool) {
	f.t.Helper()
	must.NoError(f.t, f.Start(i, first))
}

func (f *fleet) url(i int, port nodes.Port) string { return "http://" + f.Address(i, port) }

var caller = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call gives status and body; status 0: no answer.
func call(method, url, body string, headers ...string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
	}
	resp, err := caller.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// await repeats until the status is the one wanted: what is asked for comes about within a bound, not at once.
func (f *fleet) await(what string, status int, do func() (int, string)) string {
	f.t.Helper()
	var body string
	must.Wait(f.t, wait.InitialSuccess(
		wait.ErrorFunc(func() error {
			got, text := do()
			body = text
			if got != status {
				return fmt.Errorf("%s: status %d: %s", what, got, text)
			}
			return nil
		}),
		wait.Timeout(20*time.Second), wait.Gap(100*time.Millisecond),
	), must.Func(f.logs))
	return body
}

func (f *fleet) logs() string {
	var all bytes.Buffer
	for i := range f.Len() {
		fmt.Fprintf(&all, "node %d:\n%s\n", i, f.Log(i))
	}
	return all.String()
}

// ids gives every request an id of its own.
var ids atomic.Int64

func (f *fleet) request(i int, path string) (int, string) {
	return call("POST", f.url(i, nodes.Front)+path, "prompt", "Host", "h.example", "Moleshift-Request-Id", fmt.Sprintf("%016x", ids.Add(1)))
}

// modelServer is a server that registers with the fleet and streams two events.
func modelServer(t *testing.T, f *fleet) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Moleshift-Request-Id", r.Header.Get("Moleshift-Request-Id"))
		if r.Header.Get("Moleshift-Expect-Instance") != "i-one" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Moleshift-Response-Stamp", "stamp")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 2; n++ {
			fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n)
			w.(http.Flusher).Flush()
		}
	}))
	ended := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(300 * time.Millisecond)
		defer ticker.Stop()
		for sequence := 1; ; sequence++ {
			body := fmt.Sprintf(`{"service":"llm","address":"%s","zone":"z0","slots":8,"state":"ready","sequence":%d}`, s.Listener.Addr(), sequence)
			for i := range f.Len() {
				if status, _ := call("POST", f.url((i+sequence)%f.Len(), nodes.Control)+"/instances/i-one/heartbeat", body); status == 200 {
					break
				}
			}
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-ended; s.Close() })
}

const first = `{"version":3,"routes":[{"name":"r1","host":"h.example","path-prefix":"/one/","route-type":"streaming","timeout-ms":3000,"service":"llm","max-attempts":2,"resumable":true}],"services":[{"name":"llm","max-connections":100}]}`

func patch(version int, route string) string {
	return fmt.Sprintf(`{"version":%d,"upsert":{"routes":[{"name":"%s","host":"h.example","path-prefix":"/%s/","route-type":"streaming","timeout-ms":3000,"service":"llm","max-attempts":1}]}}`, version, route, route)
}

// Three processes: first start, a configuration, a stream; then one is killed and comes back, one loses its disk, and after each the
// configuration is changed, read back everywhere and in force.
func TestThreeProcessesWithFaults(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.start(i, true)
	}
	modelServer(t, f)
	put := func(i int, path, ifVersion, body string) func() (int, string) {
		return func() (int, string) {
			return call("POST", f.url(i, nodes.Control)+path, body, "Moleshift-If-Version", ifVersion)
		}
	}
	f.await("first configuration", 200, put(0, "/config/replace", "0", first))
	status, _ := put(1, "/config/replace", "0", first)()
	must.Eq(t, 200, status, must.Sprint("the same order at another node"))
	status, text := put(2, "/config/replace", "0", strings.Replace(first, "/one/", "/two/", 1))()
	must.Eq(t, 412, status, must.Sprint(text))
	status, text = put(2, "/config/patch", "3", `{"version":4,"remove":{"services":["llm"]}}`)()
	must.Eq(t, 400, status)
	must.StrContains(t, text, "llm")
	for i := range 3 {
		f.await("ready", 200, func() (int, string) { return call("GET", f.url(i, nodes.Ready)+"/readyz", "") })
		body := f.await("stream", 200, func() (int, string) { return f.request(i, "/one/x") })
		must.Eq(t, "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n", body)
	}

	f.Kill(0)
	f.await("change without node 0", 200, put(1, "/config/patch", "3", patch(5, "while-0-is-off")))
	for i := 1; i < 3; i++ {
		f.await("new route", 200, func() (int, string) { return f.request(i, "/while-0-is-off/x") })
	}
	f.start(0, false)
	f.await("new route at the one that came back", 200, func() (int, string) { return f.request(0, "/while-0-is-off/x") })

	f.Kill(1)
	must.NoError(t, f.Wipe(1))
	f.start(1, false)
	f.await("a route at the one with the empty disk", 200, func() (int, string) { return f.request(1, "/while-0-is-off/x") })
	f.await("taken in", 200, func() (int, string) {
		// Nodes 1 and 2 are a majority only once the new identity of node 1 is a member.
		return put(2, "/config/patch", "5", patch(7, "after-the-wipe"))()
	})
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return strings.Count(f.logs(), `"members changed"`) >= 2 // one for each register, told when the change has ended
	}), wait.Timeout(20*time.Second), wait.Gap(100*time.Millisecond)), must.Func(f.logs))
	f.Kill(0)
	f.await("change by the one with the new disk and another", 200, put(2, "/config/patch", "7", patch(9, "without-0")))
	for i := 1; i < 3; i++ {
		body := f.await("read back", 200, func() (int, string) { return call("GET", f.url(i, nodes.Control)+"/config/read", "") })
		must.StrContains(t, body, `"version":9`)
		must.StrContains(t, body, "after-the-wipe")
		f.await("newest route", 200, func() (int, string) { return f.request(i, "/without-0/x") })
	}

	f.Signal(2, syscall.SIGTERM)
	must.NoError(t, f.Await(2, time.Minute), must.Sprint("SIGTERM ends a node with status 0"))
}

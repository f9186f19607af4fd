package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	patience = 30 * time.Second // of a test, for what has to happen
	leaves   = 12
)

func built(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "moleshift")
	if out, err := exec.Command("go", "build", "-o", program, "moleshift/cmd/moleshift").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

func listen(t *testing.T, address string) net.Listener {
	var l net.Listener
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		var err error
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// each hands every connection of a listener to do, in a goroutine of its own.
func each(l net.Listener, do func(net.Conn)) {
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go do(conn)
		}
	}()
}

// start starts a router with so many descriptors, and ends it with the test.
func start(t *testing.T, program, discovery string, sockets int, addresses []string) (address string) {
	l := listen(t, "127.0.0.1:0")
	address = l.Addr().String()
	l.Close()
	var known []map[string]any
	for i, a := range addresses {
		known = append(known, map[string]any{"instanceId": fmt.Sprint("leaf-", i), "hostPort": a, "zone": "a", "cell": i, "lifecycle": "in_service"})
	}
	text, err := json.Marshal(map[string]any{"name": "n", "listen": address, "discovery": discovery, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets},
		"known":  map[string]any{"generation": 1, "reset": true, "instances": known},
		"settings": map[string]any{"tick": 5, "zones": []string{"a"},
			"caps":        map[string]any{"connect_timeout": 250, "conn_idle": 30000, "max_attempts": 1, "max_streams": 1},
			"classes":     []map[string]any{{"name": "search", "aim": 60000, "deadline": 60000, "effect": "repeatable", "worth": 1}},
			"family_info": map[string]any{"sets": max(len(addresses), 1), "slices": max(len(addresses), 1), "span": 1}}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$0\"", sockets), program)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "MOLESHIFT_CONFIG=")
	log := new(strings.Builder)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(patience, func() { cmd.Process.Kill() })
		defer kill.Stop()
		if err := cmd.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
		if t.Failed() {
			t.Log(log)
		}
	})
	return address
}

// ready waits until a router says that it is, and is how long that took.
func ready(t *testing.T, address string) time.Duration {
	begun := time.Now()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if res, err := client.Get("http://" + address + "/healthz"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return time.Since(begun)
			}
		}
		if time.Since(begun) > patience {
			t.Fatal("never ready")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// With discovery down, all connections to leaves in use and idle clients on all that is left, the call to discovery finds a
// descriptor as it returns, and a new client is answered as idle ones make way.
func TestFullDescriptors(t *testing.T) {
	list := listen(t, "127.0.0.1:0")
	watched := make(chan struct{}, 100)
	serve := func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		watched <- struct{}{}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		io.Copy(io.Discard, conn)
	}
	first := make(chan net.Conn, 10)
	each(list, func(conn net.Conn) { first <- conn; serve(conn) })
	asked, held := make(chan struct{}, 10*leaves), make(chan struct{})
	var addresses []string
	for range leaves {
		l := listen(t, "127.0.0.1:0")
		addresses = append(addresses, l.Addr().String())
		each(l, func(conn net.Conn) {
			defer conn.Close()
			var head [4]byte
			if _, err := io.ReadFull(conn, head[:]); err != nil {
				return
			}
			rest := make([]byte, binary.BigEndian.Uint32(head[:]))
			if _, err := io.ReadFull(conn, rest); err != nil {
				return
			}
			asked <- struct{}{}
			<-held
		})
	}
	defer close(held)
	address := start(t, built(t), list.Addr().String(), 32, addresses)
	ready(t, address)
	wait := func(what string, of <-chan struct{}) {
		select {
		case <-of:
		case <-time.After(patience):
			t.Fatalf("no %s", what)
		}
	}
	wait("watch", watched)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	var parts []string
	for i := range leaves {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%v}`, i, 1/float64(leaves)))
	}
	body := fmt.Sprintf(`{"parts":[%s],"expr":"x"}`, strings.Join(parts, ","))
	fmt.Fprintf(dial(), "POST /search/k HTTP/1.1\r\nX-Trace-Id: q1\r\nX-Expires-In-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for range leaves {
		wait("call at a leaf", asked)
	}
	// Discovery goes, and idle clients come: more than there are descriptors.
	list.Close()
	(<-first).Close()
	for range 60 {
		dial()
	}
	back := listen(t, list.Addr().String())
	each(back, serve)
	wait("watch after the return", watched)
	conn := dial()
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, "GET /healthz HTTP/1.1\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("a new client: %v, %v", res, err)
	}
}

// Ten at once, with a discovery that takes calls and says nothing: all get ready. How soon is for docs/results.md to say.
func TestTenStartsAtOnce(t *testing.T) {
	silent := listen(t, "127.0.0.1:0")
	each(silent, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	program := built(t)
	var all []string
	for range 10 {
		all = append(all, start(t, program, silent.Addr().String(), 64, nil))
	}
	for _, a := range all {
		t.Logf("ready %v after the last was started", ready(t, a))
	}
}

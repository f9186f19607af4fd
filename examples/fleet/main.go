// Command fleet starts the whole system on this machine: three nodes on loopback addresses, a stand-in model server that registers
// with them, a configuration, and one request through each node, whose streamed answer it prints. It ends with Ctrl-C.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	nodes        = 3
	frontPort    = 18080
	readyPort    = 18081
	controlPort  = 18082
	firstPeer    = 18083
	lastPeer     = 18089
	beatEvery    = 500 * time.Millisecond
	tryEvery     = 200 * time.Millisecond
	startWithin  = 15 * time.Second
	requestLimit = 3 * time.Second
)

const settingsText = `node-name: "node-%[1]d"
role: "node"
ip: "127.0.0.%[2]d"
zone: "z%[1]d"
region: "here"
zones: {z0: "here", z1: "here", z2: "here"}
listen: {front: "127.0.0.%[2]d:%[3]d", ready: "127.0.0.%[2]d:%[4]d", control: "127.0.0.%[2]d:%[5]d"}
port-range: [%[6]d, %[7]d]
seeds: ["127.0.0.2:%[5]d", "127.0.0.3:%[5]d", "127.0.0.4:%[5]d"]
bootstrap: true
counts-for-quorum: true
data-dir: "%[8]s"
heartbeat-ms: 500
limits: {memory-mb: 256, max-fds: 1000, disk-mb: 64}
`

const configuration = `{"version":1,
"routes":[{"name":"chat","host":"chat.example","path-prefix":"/","route-type":"streaming","timeout-ms":5000,"target-latency-ms":500,"service":"model","max-attempts":2,"resumable":true,"gap_aim_ms":300}],
"services":[{"name":"model","health-path":"/healthz","max-connections":64}]}`

func main() {
	program := flag.String("program", "target/moleshiftd", "the program that runs a node")
	once := flag.Bool("once", false, "end after the answers instead of waiting for Ctrl-C")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *program, *once); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, program string, once bool) error {
	dir, err := os.MkdirTemp("", "moleshift-fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for i := range nodes {
		end, err := startNode(program, dir, i)
		if err != nil {
			return err
		}
		defer end()
	}
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer server.Close()
	go func() { _ = http.Serve(server, http.HandlerFunc(answer)) }()
	go beat(ctx, server.Addr().String())
	fmt.Println("three nodes started; sending the configuration")
	if err := until(ctx, func() error { return putConfiguration() }); err != nil {
		return err
	}
	for i := range nodes {
		fmt.Printf("request through node %d:\n", i)
		if err := until(ctx, func() error { return ask(i) }); err != nil {
			return err
		}
	}
	if once {
		return nil
	}
	fmt.Printf("try: curl -sN -H 'Host: chat.example' -H 'Moleshift-Request-Id: 1' -d hello http://127.0.0.2:%d/\nCtrl-C ends all\n", frontPort)
	<-ctx.Done()
	return nil
}

func startNode(program, dir string, i int) (func(), error) {
	path := filepath.Join(dir, fmt.Sprintf("node-%d.yaml", i))
	text := fmt.Sprintf(settingsText, i, i+2, frontPort, readyPort, controlPort, firstPeer, lastPeer, filepath.Join(dir, fmt.Sprintf("data-%d", i)))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "--log-level", "warn", "node")
	cmd.Env = append(os.Environ(), "MOLESHIFT_BOOT="+path)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: build it first (make system)", err)
	}
	return func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}, nil
}

// answer is the stand-in model server: it streams the words of a sentence.
func answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Moleshift-Request-Id", r.Header.Get("Moleshift-Request-Id"))
	w.Header().Set("Moleshift-Response-Stamp", "stand-in")
	w.Header().Set("Content-Type", "text/event-stream")
	for n, word := range strings.Fields("moles shift earth by night") {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, word)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// beat registers the stand-in server and keeps it registered.
func beat(ctx context.Context, address string) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body := fmt.Sprintf(`{"service":"model","address":"%s","zone":"z0","slots":8,"state":"ready","sequence":%d}`, address, sequence)
		for i := range nodes {
			if _, err := post(i, "/instances/stand-in-1/heartbeat", body); err == nil {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

func putConfiguration() error {
	_, err := post(0, "/config/replace", configuration)
	return err
}

func post(node int, path, body string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://127.0.0.%d:%d%s", node+2, controlPort, path), strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Moleshift-If-Version", "0")
	return do(req)
}

func do(req *http.Request) (string, error) {
	client := http.Client{Timeout: requestLimit}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return string(body), err
}

// ask sends one request through a node and prints the events as they come.
func ask(node int) error {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://127.0.0.%d:%d/", node+2, frontPort), strings.NewReader("hello"))
	if err != nil {
		return err
	}
	req.Host = "chat.example"
	req.Header.Set("Moleshift-Request-Id", fmt.Sprintf("%016x", time.Now().UnixNano()))
	client := http.Client{Timeout: requestLimit}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if word, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			fmt.Println("   ", word)
		}
	}
	return lines.Err()
}

// until repeats what does not succeed yet, as long as a start may take.
func until(ctx context.Context, do func() error) error {
	deadline := time.Now().Add(startWithin)
	for {
		err := do()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.New("interrupted")
		case <-time.After(tryEvery):
		}
	}
}

package processes

// fleet.go owns the processes: their files, their start and their end. It must never leave one behind, and never signal one that it
// did not start.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"moleshift/config"
	"moleshift/lab/standin"
)

// ClockVariable has a router of a laboratory build run with a wrong clock. Its value is a duration.
const ClockVariable = "MOLESHIFT_LAB_CLOCK"

// BuildHint tells how the routers' program is built.
const BuildHint = "make lab, or go build -tags labclock -o bin/moleshift-lab ./cmd/moleshift"

const (
	upWithin  = 20 * time.Second
	endWithin = 8 * time.Second
	memoryMB  = 64
	sockets   = 256
)

// router is one seat: the process that has it now, if any.
type router struct {
	seat           int
	name           string
	bind, relayed  string // for the other routers: the process's own address, and where others reach it
	client, admin  string
	dir, log       string
	clock          time.Duration
	cmd            *exec.Cmd
	ended          chan struct{}
	keeps, limited bool
	starts         int
}

// fleet is all of them.
type fleet struct {
	o       *Options
	dir     string
	routers []*router
	relays  *relays
	list    *http.Server
	listAt  string
	more    map[string]any // leases of the YAML file
}

// addresses finds two of loopback for each seat: one that its process has, and one of its relay.
func (f *fleet) addresses() error {
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return err
		}
	}
	net := 16 + os.Getpid()%200
	own := func(half, seat int) string { return fmt.Sprintf("127.%d.%d.%d", net, half*100+seat/200, 1+seat%200) }
	if f.o.OneAddress = f.o.OneAddress || !bindable(own(0, 0)); f.o.OneAddress {
		return f.byPorts()
	}
	for _, r := range f.routers {
		at := func(half, port int) string { return fmt.Sprintf("%s:%d", own(half, r.seat), ports[port]) }
		r.bind, r.relayed, r.client, r.admin = at(0, 0), at(1, 0), at(0, 1), at(0, 2)
		ip, err := netip.ParseAddr(own(0, r.seat))
		if err != nil {
			return err
		}
		f.relays.seats[ip] = r.seat
	}
	return nil
}

// byPorts is for machines whose loopback has one address: packets tell by their port whose they are, connections do not.
func (f *fleet) byPorts() error {
	for _, r := range f.routers {
		for _, at := range []*string{&r.bind, &r.relayed, &r.client, &r.admin} {
			port, err := freePort()
			if err != nil {
				return err
			}
			*at = fmt.Sprintf("127.0.0.1:%d", port)
		}
		from, err := netip.ParseAddrPort(r.bind)
		if err != nil {
			return err
		}
		f.relays.ports[from] = r.seat
	}
	return nil
}

// Ports are taken from below those that the system gives to outgoing connections, or one of those might have it meanwhile.
const (
	firstPort = 14_000
	mostPorts = 16_000
)

var nextPort atomic.Int64

// freePort is one that nobody has for either kind of socket, never the same twice.
func freePort() (int, error) {
	for range mostPorts {
		port := firstPort + (os.Getpid()*37+int(nextPort.Add(1)))%mostPorts
		at := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		pc, err := net.ListenPacket("udp", at)
		l.Close()
		if err != nil {
			continue
		}
		pc.Close()
		return port, nil
	}
	return 0, errors.New("no port is free")
}

func bindable(ip string) bool {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return false
	}
	l.Close()
	return true
}

func newFleet(o *Options, leases map[string]any) (f *fleet, err error) {
	if _, err := os.Stat(o.Program); err != nil {
		return nil, fmt.Errorf("%s is not there; build it by: %s", o.Program, BuildHint)
	}
	f = &fleet{o: o, relays: newRelays(o.Seed), more: leases}
	f.relays.all = o.Link
	if f.dir, err = os.MkdirTemp("", "molelab-"); err != nil {
		return nil, err
	}
	for seat := range o.Instances {
		name := fmt.Sprintf("r%d", seat)
		f.routers = append(f.routers, &router{seat: seat, name: name, dir: filepath.Join(f.dir, name), keeps: true})
	}
	if err := f.addresses(); err != nil {
		f.close()
		return nil, err
	}
	for _, r := range f.routers {
		if err := os.Mkdir(r.dir, 0o700); err != nil {
			f.close()
			return nil, err
		}
		if err := f.relays.open(r.seat, r.relayed, r.bind); err != nil {
			f.close()
			return nil, err
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.close()
		return nil, err
	}
	f.listAt = l.Addr().String()
	f.list = &http.Server{Handler: standin.NewDiscovery(config.List{Generation: 1, Whole: true})}
	go f.list.Serve(l)
	return f, nil
}

// start starts a seat's process. It does not wait until it is up.
func (f *fleet) start(r *router) error {
	if r.cmd != nil {
		return nil
	}
	edge, err := json.Marshal(map[string]any{
		"name": r.name, "listen": r.client, "discovery": f.listAt, "seed": fmt.Sprintf("%x", f.o.Seed<<16+uint64(r.seat)+1), "log_level": "info",
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"known":    map[string]any{"generation": 1, "reset": true, "instances": []any{}},
		"settings": settings(f.o.Instances),
	})
	if err != nil {
		return err
	}
	var seeds []string
	for _, n := range []int{0, 1, 2, f.o.Instances / 2, f.o.Instances - 1} {
		if n < len(f.routers) && n != r.seat {
			seeds = append(seeds, f.routers[n].relayed)
		}
	}
	leases := map[string]any{}
	for k, v := range f.more {
		leases[k] = v
	}
	leases["state"] = filepath.Join(r.dir, "promises.db")
	text, err := yaml.Marshal(map[string]any{
		"members": map[string]any{"enabled": true, "listen": r.bind, "advertise": r.relayed, "seeds": seeds, "plaintext": true,
			"seat": r.seat, "seats": f.o.Instances, "skew": f.o.Skew.String(), "lease": f.o.Lease.String()},
		"leases": leases,
		"admin":  map[string]any{"listen": r.admin},
	})
	if err != nil {
		return err
	}
	paths := map[string][]byte{"edge.json": edge, "moleshift.yaml": text}
	for name, b := range paths {
		if err := os.WriteFile(filepath.Join(r.dir, name), b, 0o600); err != nil {
			return err
		}
	}
	if !r.keeps {
		os.Remove(filepath.Join(r.dir, "promises.db")) // an error is seen as the process starts
		r.keeps = true
	}
	r.starts++
	r.log = filepath.Join(r.dir, fmt.Sprintf("log.%d", r.starts))
	log, err := os.Create(r.log)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	program, err := filepath.Abs(f.o.Program)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	if r.limited { // few descriptors, and no file may grow
		cmd = exec.Command("/bin/sh", "-c", "ulimit -n 24; ulimit -f 64; exec \"$0\"", program)
	}
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(r.dir, "edge.json"),
		"MOLESHIFT_CONFIG="+filepath.Join(r.dir, "moleshift.yaml"), ClockVariable+"="+r.clock.String())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd = cmd
	ended := make(chan struct{})
	r.ended = ended
	go func() {
		cmd.Wait() // how it ended says nothing here
		close(ended)
	}()
	return nil
}

// ready waits until all that were started answer.
func (f *fleet) ready() error {
	for end := time.Now().Add(upWithin); ; time.Sleep(30 * time.Millisecond) {
		up := 0
		for _, r := range f.routers {
			select {
			case <-r.ended:
				return fmt.Errorf("%s has ended: %s", r.name, f.said(r))
			default:
			}
			if resp, err := http.Get("http://" + r.client + "/healthz"); err == nil {
				resp.Body.Close()
				up++
			}
		}
		if up == len(f.routers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers come up; the first says: %s", up, len(f.routers), f.said(f.routers[0]))
		}
	}
}

// said is the end of a router's log.
func (f *fleet) said(r *router) string {
	text, _ := os.ReadFile(r.log) // empty where there is none
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-6, 0):], "\n")
}

func (f *fleet) signal(r *router, s syscall.Signal) {
	if r.cmd != nil {
		r.cmd.Process.Signal(s) // one that has ended is not signalled
	}
}

// kill ends a process at once.
func (f *fleet) kill(r *router) {
	if r.cmd == nil {
		return
	}
	f.signal(r, syscall.SIGKILL)
	<-r.ended
	r.cmd = nil
}

// end tells a process to end, and makes it end if it does not.
func (f *fleet) end(r *router) {
	if r.cmd == nil {
		return
	}
	f.signal(r, syscall.SIGTERM)
	select {
	case <-r.ended:
	case <-time.After(endWithin):
		f.signal(r, syscall.SIGKILL)
		<-r.ended
	}
	r.cmd = nil
}

func (f *fleet) close() {
	for _, r := range f.routers {
		f.kill(r)
	}
	if f.list != nil {
		f.list.Close()
	}
	f.relays.close()
	if f.o.Keep == "" {
		os.RemoveAll(f.dir)
	}
}

// settings is the least that a router of the platform has to be told.
func settings(routers int) map[string]any {
	return map[string]any{
		"balancers": routers, "tick": 5, "zone": 0, "zones": []string{"east"}, "membership_mode": "pushed",
		"report": map[string]any{"via": "inline"},
		"caps": map[string]any{"cancel": true, "conn_idle": 30000, "connect_timeout": 250, "max_attempts": 3, "max_retry_after": 1000,
			"max_streams": 100, "may_probe": true, "open_cap": 500, "retry_after": true, "second_copies": true},
		"classes": []any{map[string]any{"name": "search", "aim": 800, "deadline": 2000, "effect": "repeatable", "late_worth": 0.1, "worth": 1}},
		"family_info": map[string]any{"sets": 1, "slices": 1, "span": 1, "batch": 16, "overhead": 1, "need_by_class": []int{1},
			"min_share": []int{1}},
		"rules": map[string]any{"cold": 10000, "cold_share": 0.2, "fall": 2000, "fall_multiple": 3, "budget_window": 2000,
			"spare_attempts": 10, "resend_ratio": 0.05},
		"tenants": []any{map[string]any{"name": "t", "allowance_per_s": 100}},
	}
}

// Package cluster brings a described fleet up on this machine: real router processes among stand-in leaves
// and a stand-in list, on loopback sockets. It ends its own processes only, by their ids.
//
// cluster.go owns the processes and the stand-ins. It must never leave one behind, and never listen beyond
// loopback.
package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"moleshift/config"
	"moleshift/fleet"
	"moleshift/lab/standin"
	"moleshift/plan"
)

// Options is what is brought up.
type Options struct {
	Fleet    *fleet.Fleet
	Program  string // the router's
	Config   string // the routers' YAML file; empty: none
	Text     string // the same as a text; empty: Config
	Loss     plan.Loss
	Files    int                          // descriptors that a router process really gets; 0: as this one
	Limits   bool                         // routers are told the memory and descriptors that the description states
	Maps     *standin.Maps                // versions of the map of shards, told beside the list; nil: none
	Searches bool                         // leaves speak the form of OpenSearch, by HTTP
	Leaf     func(i int, l *standin.Leaf) // may change a leaf before it serves; nil: none
}

// Router is one process.
type Router struct {
	Name, Address, Log string
	Cmd                *exec.Cmd
}

// Cluster is a fleet on this machine.
type Cluster struct {
	Leaves  []*standin.Leaf
	List    *standin.Discovery
	Routers []*Router       // those that are up
	CPU     []time.Duration // of each that has ended

	o       Options
	f       *fleet.Fleet
	dir     string
	listens []net.Listener
	disc    *http.Server
	servers []*http.Server
}

const (
	readyWithin = 10 * time.Second
	endWithin   = 5 * time.Second
	routerMB    = 192
	routerFiles = 4096
)

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// FreeAddress is a loopback address with a port that was free just now.
func FreeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Start brings a fleet up, without what is lost.
func Start(o Options) (c *Cluster, err error) {
	f, loss := o.Fleet, o.Loss
	c = &Cluster{o: o, f: f}
	defer func() {
		if err != nil {
			c.Stop()
		}
	}()
	if c.dir, err = os.MkdirTemp("", "molelab-"); err != nil {
		return c, err
	}
	if o.Text != "" {
		c.o.Config = filepath.Join(c.dir, "moleshift.yaml")
		if err := os.WriteFile(c.o.Config, []byte(o.Text), 0o600); err != nil {
			return c, err
		}
	}
	list := config.List{Generation: 1, Whole: true}
	gone := map[int]bool{}
	for _, l := range loss.Leaves {
		gone[l] = true
	}
	for i := range f.Leaves {
		l := &f.Leaves[i]
		k := f.Kinds[l.Kind]
		leaf := &standin.Leaf{Cores: k.Cores, Speed: k.Speed, Queue: k.Queue, Overhead: f.Rules.Overhead}
		if o.Leaf != nil {
			o.Leaf(i, leaf)
		}
		c.Leaves = append(c.Leaves, leaf)
		if gone[i] {
			continue
		}
		at, err := listen()
		if err != nil {
			return c, err
		}
		c.listens = append(c.listens, at)
		if o.Searches {
			server := &http.Server{Handler: &standin.Search{Leaf: leaf}}
			c.servers = append(c.servers, server)
			leaf.Begin()
			go server.Serve(at)
		} else {
			go leaf.Serve(at)
		}
		list.Servers = append(
			list.Servers,
			config.Server{ID: l.Name, Address: at.Addr().String(), Zone: f.Zones[l.Zone], Cell: l.Cell,
				Lifecycle: "in_service"},
		)
	}
	at, err := listen()
	if err != nil {
		return c, err
	}
	c.List = standin.NewDiscovery(list)
	mux := http.NewServeMux()
	mux.Handle("/", c.List)
	if o.Maps != nil {
		mux.Handle("/v1/shards", o.Maps)
	}
	c.disc = &http.Server{Handler: mux}
	go c.disc.Serve(at)
	down := map[int]bool{}
	for _, r := range loss.Routers {
		down[r] = true
	}
	for i := range f.Nodes {
		if down[i] {
			continue
		}
		if err := c.router(i, at.Addr().String(), list); err != nil {
			return c, err
		}
	}
	return c, nil
}

// router starts one process and waits until it serves.
func (c *Cluster) router(i int, discovery string, known config.List) error {
	n := &c.f.Nodes[i]
	probe, err := listen() // a port that is free
	if err != nil {
		return err
	}
	address := probe.Addr().String()
	probe.Close()
	g := &c.f.Routers[n.Group]
	memory, files := routerMB, routerFiles
	if c.o.Limits {
		memory, files = g.MemoryMB, g.Sockets
	}
	text, err := json.Marshal(
		map[string]any{
			"name":      n.Name,
			"listen":    address,
			"discovery": discovery,
			"seed":      fmt.Sprintf("%x", i+1),
			"log_level": "warn",
			"limits": map[string]any{
				"cores":     c.f.Routers[n.Group].Cores,
				"memory_mb": memory,
				"sockets":   files,
			},
			"known":    known,
			"settings": settings(c.f, n),
		},
	)
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, n.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(c.o.Program)
	if c.o.Files > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$0\"", c.o.Files), c.o.Program)
	}
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "MOLESHIFT_CONFIG="+c.o.Config)
	log, err := os.Create(filepath.Join(c.dir, n.Name+".log"))
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r := &Router{Name: n.Name, Address: address, Log: log.Name(), Cmd: cmd}
	c.Routers = append(c.Routers, r)
	for end := time.Now().Add(readyWithin); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/healthz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if time.Now().After(end) {
			said, _ := os.ReadFile(r.Log)
			return fmt.Errorf("router %s does not come up: %s", n.Name, said)
		}
	}
}

// settings is what the platform would tell a router of this fleet.
func settings(f *fleet.Fleet, n *fleet.Node) map[string]any {
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	r := &f.Rules
	effects := map[string]string{
		"repeatable":     "repeatable",
		"deduplicated":   "by_key",
		"side_effecting": "once",
	}
	var classes, tenants []map[string]any
	var need, floor, earns []float64
	or1 := func(x float64) float64 {
		if x == 0 {
			return 1
		}
		return x
	}
	for _, v := range f.Verticals {
		classes = append(
			classes,
			map[string]any{
				"name":        v.Name,
				"aim":         ms(v.SLO),
				"deadline":    ms(v.Deadline),
				"effect":      effects[v.Effect],
				"late_worth":  v.LateUtility,
				"memory_span": ms(v.DedupWindow),
				"worth":       v.Utility,
			},
		)
		need = append(need, or1(v.Need))
		floor = append(floor, or1(v.Floor))
		earns = append(earns, v.PartialEarns)
	}
	for _, t := range f.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "allowance_per_s": t.PerSecond})
	}
	by := "request"
	if r.UtilityByWork {
		by = "work"
	}
	via := "inline"
	if r.ProbeReports {
		via = "on_probe"
	}
	rules := map[string]any{
		"cold":          ms(r.ColdTime),
		"cold_share":    r.ColdShare,
		"fall":          ms(r.FallTime),
		"fall_multiple": r.FallMultiple,
	}
	if r.BudgetWindow > 0 {
		rules["budget_window"] = ms(r.BudgetWindow)
		rules["spare_attempts"], rules["resend_ratio"] = r.BudgetSpare, r.BudgetRatio
	}
	return map[string]any{
		"balancers":        len(f.Nodes),
		"tick":             ms(r.Tick),
		"zone":             n.Zone,
		"zones":            f.Zones,
		"membership_mode":  "pushed",
		"report":           map[string]any{"via": via},
		"over_share_worth": 0.1,
		"worth_by":         by,
		"caps": map[string]any{
			"cancel":          r.Cancel,
			"conn_idle":       30000,
			"connect_timeout": 250,
			"max_attempts":    r.MaxCalls,
			"max_retry_after": ms(r.MaxHoldOff),
			"max_streams":     100,
			"may_probe":       r.Probes,
			"open_cap":        f.Routers[n.Group].OpenCap,
			"retry_after":     r.HoldOff,
			"second_copies":   r.SecondCopies,
		},
		"classes": classes,
		"tenants": tenants,
		"rules":   rules,
		"tariffs": map[string]any{"cross_zone": r.CrossZone},
		"family_info": map[string]any{
			"sets":          f.Cells,
			"slices":        f.Shards,
			"span":          f.Span,
			"batch":         r.Batch,
			"overhead":      r.Overhead,
			"need_by_class": need,
			"min_share":     floor,
			"partial_earns": earns,
		},
	}
}

// Stop ends what was started: the routers by SIGTERM, and those that do not end in time by SIGKILL.
func (c *Cluster) Stop() {
	for _, r := range c.Routers {
		r.Cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, r := range c.Routers {
		p := r.Cmd
		kill := time.AfterFunc(endWithin, func() { p.Process.Kill() })
		p.Wait() // how it ended says nothing here
		kill.Stop()
		if p.ProcessState != nil {
			c.CPU = append(c.CPU, p.ProcessState.UserTime()+p.ProcessState.SystemTime())
		}
	}
	if c.disc != nil {
		c.disc.Close()
	}
	for _, s := range c.servers {
		s.Close()
	}
	for _, l := range c.listens {
		l.Close()
	}
	for _, l := range c.Leaves {
		l.Stop()
	}
	if c.dir != "" {
		os.RemoveAll(c.dir)
	}
}

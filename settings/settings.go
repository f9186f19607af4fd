// Package settings reads and checks the settings file of a node (YAML, named by MOLESHIFT_BOOT).
//
// It owns the names of keys, their defaults and their bounds. It must never open a socket or look at the clock.
package settings

import (
	"bytes"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

// Variable is the environment variable that holds the path of the settings file.
const Variable = "MOLESHIFT_BOOT"

// keySeparator never occurs in a key: zone names may hold dots.
const keySeparator = "\x1f"

// Settings is one process's settings file. Keys that are unknown here are ignored.
type Settings struct {
	NodeName        string            `koanf:"node-name"`
	Role            string            `koanf:"role"`
	IP              string            `koanf:"ip"`
	Zone            string            `koanf:"zone"`
	Region          string            `koanf:"region"`
	Zones           map[string]string `koanf:"zones"` // zone to region
	Listen          Listen            `koanf:"listen"`
	PortRange       []int             `koanf:"port-range"` // first and last port for peers
	Seeds           []string          `koanf:"seeds"`      // control addresses
	Bootstrap       bool              `koanf:"bootstrap"`
	CountsForQuorum bool              `koanf:"counts-for-quorum"`
	Limits          Limits            `koanf:"limits"`
	DataDir         string            `koanf:"data-dir"`
	HeartbeatMs     float64           `koanf:"heartbeat-ms"`
	Bounds          Bounds            `koanf:"bounds"`
	FaultTolerance  FaultTolerance    `koanf:"fault-tolerance"`
	Metrics         string            `koanf:"metrics"` // PORT/PATH at which figures are told as text; empty: nowhere
}

// MetricsAt gives the address and the path at which figures are told; ok is false where they are not.
func (s *Settings) MetricsAt() (address, path string, ok bool) {
	port, path, found := strings.Cut(s.Metrics, "/")
	if n, err := strconv.Atoi(port); !found || err != nil || n < 1 || n > 65535 {
		return "", "", false
	}
	return net.JoinHostPort(s.IP, port), "/" + path, true
}

// FaultTolerance is what may be lost at one time while every rule is kept: machines that count for the quorum, or whole zones or
// regions.
type FaultTolerance struct {
	Machines int `koanf:"machines"`
	Zones    int `koanf:"zones"`
	Regions  int `koanf:"regions"`
}

// Listen holds the addresses that others call; an empty one is not served.
type Listen struct {
	Front   string `koanf:"front"`
	Ready   string `koanf:"ready"`
	Control string `koanf:"control"`
}

// Limits is what the machine gives the process.
type Limits struct {
	CPUShare float64 `koanf:"cpu-share"`
	CPUCores int     `koanf:"cpu-cores"`
	MemoryMB float64 `koanf:"memory-mb"`
	MaxFDs   int     `koanf:"max-fds"`
	LinkMbps float64 `koanf:"link-mbps"`
	DiskMB   float64 `koanf:"disk-mb"`
}

// clientShare is the share of the descriptors that clients' connections may take. The rest is for servers, other nodes, control, readiness
// and files.
const clientShare = 0.5

// ClientConnections is how many connections of clients the process may hold.
func (l *Limits) ClientConnections() int { return max(int(clientShare*float64(l.MaxFDs)), 1) }

// Bounds holds the figures of the rules in force.
type Bounds struct {
	ReuseDelayS      float64 `koanf:"reuse-delay-s"`
	ContactMs        float64 `koanf:"contact-ms"`
	AckTimeoutMs     float64 `koanf:"ack-timeout-ms"`
	CatchUpS         float64 `koanf:"catch-up-s"`
	DrainMs          float64 `koanf:"drain-ms"`
	GraceS           float64 `koanf:"grace-s"`
	ConfigApplyMs    float64 `koanf:"config-apply-ms"`
	FailClosed       bool    `koanf:"fail-closed"`
	RevokeMs         float64 `koanf:"revoke-ms"`
	RetryBudgetRatio float64 `koanf:"retry-budget-ratio"`
	RetryWindowS     float64 `koanf:"retry-window-s"`
	RetryMin         float64 `koanf:"retry-min"`
	TransitMs        float64 `koanf:"transit-ms"`
	AgainS           float64 `koanf:"again_s"`
	Fencing          bool    `koanf:"fencing"`
	LeaseMs          float64 `koanf:"lease-ms"`
	FreezeSlackMs    float64 `koanf:"freeze-slack-ms"`
	VersionMs        float64 `koanf:"version-ms"`
	CanaryShare      float64 `koanf:"canary-share"` // of a service's requests that a version gets at the most while it is tried
	CanarySlack      float64 `koanf:"canary-slack"` // requests beyond that
}

// Millis turns a figure in milliseconds into a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds turns a figure in seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Default holds what a file that lacks a key gets.
func Default() Settings {
	return Settings{
		HeartbeatMs: 1000, FaultTolerance: FaultTolerance{Machines: 1},
		Limits: Limits{CPUShare: 1, CPUCores: 1, MemoryMB: 256, MaxFDs: 1024, LinkMbps: 1000, DiskMB: 64},
		Bounds: Bounds{
			ReuseDelayS: 2, ContactMs: 3000, AckTimeoutMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, ConfigApplyMs: 2000,
			RevokeMs: 5000, RetryBudgetRatio: 0.2, RetryWindowS: 10, RetryMin: 10, TransitMs: 120, AgainS: 10,
			LeaseMs: 3000, FreezeSlackMs: 300, VersionMs: 10000, CanaryShare: 0.1, CanarySlack: 50,
		},
	}
}

// Load reads and checks the file at path. Errors are of trace's kinds and name key, value and remedy.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, trace.BadParameter("%s is not set: let it hold the path of the settings file", Variable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "settings file %q cannot be read: check the path in %s", path, Variable)
	}
	return Parse(text)
}

// Parse reads and checks the text of a settings file.
func Parse(text []byte) (*Settings, error) {
	k := koanf.New(keySeparator)
	if err := k.Load(rawbytes.Provider(text), yaml.Parser()); err != nil {
		return nil, trace.BadParameter("settings file is not valid YAML: %v", err)
	}
	s := Default()
	if err := k.Unmarshal("", &s); err != nil {
		return nil, trace.BadParameter("settings file holds a value of a wrong type: %v", err)
	}
	if err := s.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	if s.NodeName == "" {
		return trace.BadParameter("node-name is empty: give the node a name of its own")
	}
	if net.ParseIP(s.IP) == nil {
		return trace.BadParameter("ip is %q: it must be the machine's IPv4 address", s.IP)
	}
	if _, _, ok := s.MetricsAt(); s.Metrics != "" && !ok {
		return trace.BadParameter("metrics is %q: it must be PORT/PATH, as 9100/metrics", s.Metrics)
	}
	if len(s.PortRange) != 2 || s.PortRange[0] < 1 || s.PortRange[1] > 65535 || s.PortRange[0] > s.PortRange[1] {
		return trace.BadParameter("port-range is %v: it must hold the first and the last free port, each 1 to 65535", s.PortRange)
	}
	for key, address := range map[string]string{"front": s.Listen.Front, "ready": s.Listen.Ready, "control": s.Listen.Control} {
		if address == "" {
			continue
		}
		if err := checkAddress("listen."+key, address); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, seed := range s.Seeds {
		if err := checkAddress("seeds", seed); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(s.checkFigures())
}

func (s *Settings) checkFigures() error {
	positive := []struct {
		key   string
		value float64
	}{
		{"heartbeat-ms", s.HeartbeatMs}, {"limits.memory-mb", s.Limits.MemoryMB}, {"limits.max-fds", float64(s.Limits.MaxFDs)},
		{"bounds.contact-ms", s.Bounds.ContactMs}, {"bounds.drain-ms", s.Bounds.DrainMs}, {"bounds.grace-s", s.Bounds.GraceS},
		{"bounds.revoke-ms", s.Bounds.RevokeMs}, {"bounds.lease-ms", s.Bounds.LeaseMs},
		{"bounds.retry-window-s", s.Bounds.RetryWindowS}, {"bounds.version-ms", s.Bounds.VersionMs},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return trace.BadParameter("%s is %v: it must be above 0", p.key, p.value)
		}
	}
	return nil
}

func checkAddress(key, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return trace.BadParameter("%s holds %q: addresses are IP:PORT", key, address)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return trace.BadParameter("%s holds %q: the port must be 1 to 65535", key, address)
	}
	return nil
}

// PeerAddress is where this node listens for other nodes.
func (s *Settings) PeerAddress() string { return s.PeerAddressOf(s.IP) }

// PeerAddressOf is where the node at ip listens for other nodes: ports are alike on all machines.
func (s *Settings) PeerAddressOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]))
}

// Reloader reads the file again where it has changed. Of what it finds only the seeds matter to a node that runs: whoever starts
// anew looks for the others there.
type Reloader struct {
	path string
	mu   sync.Mutex
	text []byte
	set  *Settings
}

// NewReloader makes a reloader of the file that set came from.
func NewReloader(path string, set *Settings) *Reloader { return &Reloader{path: path, set: set} }

// SeedPeers gives the peer addresses of the seeds that the file names now; a file that cannot be read changes nothing.
func (r *Reloader) SeedPeers() []string {
	text, err := os.ReadFile(r.path)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && !bytes.Equal(text, r.text) {
		r.text = text
		if set, err := Parse(text); err == nil {
			r.set = set
		}
	}
	return r.set.SeedPeers()
}

// SeedPeers gives the peer addresses of the seeds, in the order of the file.
func (s *Settings) SeedPeers() []string {
	peers := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			peers = append(peers, s.PeerAddressOf(host))
		}
	}
	return peers
}

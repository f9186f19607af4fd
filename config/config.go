// Package config is the one place where configuration is read, checked and given defaults: the router's own
// and the settings that the simulator's side is sent. It opens no socket and decides nothing; what it returns
// is complete, so nobody else looks at the environment or fills in a missing value. A fault names its key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"moleshift/choice"
)

// What holds where nothing is stated.
const (
	defaultCores   = 1.0
	defaultMemory  = 192  // MB
	defaultSockets = 1024 // descriptors
	defaultLog     = "info"
	leastSockets   = 32
	leastMemory    = 16

	// Silence is that of a watch that says something every 2 s, after which it is dead.
	Silence = 2500 * time.Millisecond

	mostCells = 1 << 20
	mostLine  = 1 << 20 // bytes of one object of a watch: some thousands of leaves, within the least memory

	askFor     = 50 * time.Millisecond   // from connecting, within which usual clients begin a request
	requestFor = 2200 * time.Millisecond // from connecting, or from a request's first byte, to its last
	idleFor    = 2200 * time.Millisecond // between requests
	lingerFor  = 250 * time.Millisecond  // for which a client is read on after an error, so that it sees that
	lingerMost = 64 << 10                // bytes read on

	drainFor = 700 * time.Millisecond // after SIGTERM, for which requests that come are still taken
	keepFor  = 400 * time.Millisecond // of that, for which the front may still hand out new connections
)

// Limits is what the machine gives the program.
type Limits struct {
	Cores    float64
	MemoryMB int `json:"memory_mb"`
	Sockets  int
}

// ClientSockets is how many descriptors clients may use, LeafSockets how many leaves may. What is left is for
// the listener, discovery, files, and connections that are just being closed. For requests the front opens
// connections up to a third of the descriptors; those that clients keep and do not use count there too, so
// fewer are kept, or it would turn queries away before they come here.
func (l Limits) ClientSockets() int { return l.Sockets / 4 }

// LingerSockets is how many connections of clients may linger that have given their places to others.
func (l Limits) LingerSockets() int { return l.Sockets / 16 }

// LeafSockets see ClientSockets.
func (l Limits) LeafSockets() int { return l.Sockets * 3 / 8 }

// Server is one entry of a list of leaves, as discovery has it.
type Server struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	StartedMS float64 `json:"startedAtMs"`
}

// List is a list of leaves, whole or the entries that changed.
type List struct {
	Generation int64    `json:"generation"`
	Whole      bool     `json:"reset"`
	Servers    []Server `json:"instances"`
}

// Config is all that a router is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Limits                  Limits
	Log                     zerolog.Level // lines below it are left out
	Known                   List
	Settings                *Settings
	DrainFor, KeepFor       time.Duration
	AskFor                  time.Duration // of clients
	RequestFor, IdleFor     time.Duration
	LingerFor               time.Duration
	LingerMost              int
	Silence                 time.Duration
	MostLine                int
	More                    *File // what MOLESHIFT_CONFIG names; all off without it
}

var conditions = map[string]choice.Condition{
	"in_service": choice.Ready, "terminating": choice.Draining, "terminated": choice.Gone,
}

// Condition tells what the entry says of its leaf. By a word that nobody knows it is not in service.
func (s *Server) Condition() choice.Condition {
	if c, known := conditions[s.Lifecycle]; known {
		return c
	}
	return choice.Draining
}

// DecodeList reads one list of leaves. Entries that nobody could act on are left out and told of, as the
// others must not be missed for their sake.
func DecodeList(text []byte) (l List, left []error, err error) {
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, nil, jsonFault(err)
	}
	kept := l.Servers[:0]
	for i, s := range l.Servers {
		if s.ID == "" {
			left = append(left, fmt.Errorf("instances[%d].instanceId: missing", i))
		} else if s.Cell < 0 || s.Cell > mostCells {
			left = append(left, fmt.Errorf("instances[%d].cell: %d is out of range", i, s.Cell))
		} else {
			kept = append(kept, s)
		}
	}
	l.Servers = kept
	return l, left, nil
}

// Load reads the file that EDGE_CONFIG names. The other variables stand in for keys that it lacks.
func Load(env func(string) string) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := decode(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if more := env("MOLESHIFT_CONFIG"); more != "" {
		if c.More, err = LoadFile(more); err != nil {
			return nil, err
		}
		if err := c.fits(); err != nil {
			return nil, fmt.Errorf("%s: %w", more, err)
		}
	}
	return c, nil
}

// fits checks what the file asks for against what the platform's configuration allows.
func (c *Config) fits() error {
	m := &c.More.Members
	for i, x := range c.More.OpenSearch.Indices {
		key := fmt.Sprintf("opensearch.indices[%d]", i)
		if !slices.Contains(c.Settings.Verticals, x.Vertical) {
			return fmt.Errorf("%s.vertical: %q is not in settings.classes", key, x.Vertical)
		}
		if most := slices.Max(x.List()); most >= c.Settings.Module.Shards {
			return fmt.Errorf(
				"%s.shards: %d is not below settings.family_info.slices, %d",
				key,
				most,
				c.Settings.Module.Shards,
			)
		}
	}
	if !m.Enabled {
		return nil
	}
	if _, err := m.SeatOf(c.Name); err != nil {
		return err
	}
	if c.More.Duties.Probes.Enabled && !c.Settings.Module.MayProbe {
		return errors.New("duties.probes.enabled: probes are not allowed (settings.caps.may_probe)")
	}
	if m.Listen == c.Listen {
		return errors.New("members.listen: is the address for clients")
	}
	return nil
}

func decode(text []byte, env func(string) string) (*Config, error) {
	var w struct {
		Name, Listen, Discovery, Seed string
		Log                           string `json:"log_level"`
		Limits                        Limits
		Known, Settings               json.RawMessage
	}
	w.Limits, w.Log = Limits{defaultCores, defaultMemory, defaultSockets}, defaultLog
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, jsonFault(err)
	}
	or := func(value, variable string) string {
		if value == "" {
			return env(variable)
		}
		return value
	}
	c := &Config{More: DefaultFile(), Name: or(w.Name, "EDGE_NAME"), Listen: or(w.Listen, "EDGE_LISTEN"),
		Discovery: or(w.Discovery, "EDGE_DISCOVERY"), Seed: seed(w.Seed), Limits: w.Limits,
		DrainFor: drainFor, KeepFor: keepFor,
		AskFor: askFor, RequestFor: requestFor, IdleFor: idleFor, LingerFor: lingerFor, LingerMost: lingerMost,
		Silence: Silence, MostLine: mostLine}
	var err error
	if c.Log, err = zerolog.ParseLevel(w.Log); err != nil || w.Log == "" {
		return nil, fmt.Errorf("log_level: %q is no level", w.Log)
	}
	for _, a := range []struct{ key, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return nil, fmt.Errorf("%s: %q is no address and port", a.key, a.address)
		}
	}
	switch {
	case c.Limits.Cores <= 0:
		return nil, errors.New("limits.cores: must be above 0")
	case c.Limits.MemoryMB < leastMemory:
		return nil, fmt.Errorf("limits.memory_mb: must be %d at least", leastMemory)
	case c.Limits.Sockets < leastSockets:
		return nil, fmt.Errorf("limits.sockets: must be %d at least", leastSockets)
	case len(w.Settings) == 0:
		return nil, errors.New("settings: missing")
	}
	if len(w.Known) > 0 {
		var left []error
		if c.Known, left, err = DecodeList(w.Known); err == nil && len(left) > 0 {
			err = left[0]
		}
		if err != nil {
			return nil, fmt.Errorf("known.%w", err)
		}
	}
	if c.Settings, err = DecodeSettings(c.Seed, w.Settings); err == nil {
		err = c.Settings.forRouter()
	}
	if err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	return c, nil
}

// Reloaded is the configuration with what a newer one changes while the program runs, and the keys: those
// taken over and those that stand until the next start. The seed and the list known at the start say nothing
// to a program that runs.
func (c *Config) Reloaded(to *Config) (next *Config, taken, fixed []string) {
	n := *c
	n.Discovery, n.Log, n.Limits = to.Discovery, to.Log, to.Limits
	more := *c.More
	more.Duties, more.Admission, more.Memory = to.More.Duties, to.More.Admission, to.More.Memory
	more.Leases = to.More.Leases
	more.Leases.Enabled, more.Leases.State = c.More.Leases.Enabled, c.More.Leases.State
	n.More = &more
	keys := func(checks ...check) (changed []string) {
		for _, k := range checks {
			if k.bad {
				changed = append(changed, k.key)
			}
		}
		return changed
	}
	to.Settings.Module.Seed = c.Settings.Module.Seed
	return &n, keys(
			check{"discovery", n.Discovery != c.Discovery},
			check{"log_level", n.Log != c.Log},
			check{"limits", n.Limits != c.Limits},
			check{"duties", n.More.Duties != c.More.Duties},
			check{
				"admission",
				!reflect.DeepEqual(n.More.Admission, c.More.Admission),
			},
			check{"memory", n.More.Memory != c.More.Memory},
			check{"leases", !reflect.DeepEqual(n.More.Leases, c.More.Leases)},
		),
		keys(
			check{"name", to.Name != c.Name},
			check{"listen", to.Listen != c.Listen},
			check{"settings", !reflect.DeepEqual(to.Settings, c.Settings)},
			check{"members", !reflect.DeepEqual(to.More.Members, c.More.Members)},
			check{
				"admin",
				to.More.Admin != c.More.Admin,
			},
			check{"capture", to.More.Capture != c.More.Capture},
			check{"leases.enabled", to.More.Leases.Enabled != c.More.Leases.Enabled},
			check{"leases.state", to.More.Leases.State != c.More.Leases.State},
			check{"shards", to.More.Shards != c.More.Shards},
			check{"opensearch", !reflect.DeepEqual(to.More.OpenSearch, c.More.OpenSearch)},
		)
}

// seed reads hex digits; any other text serves as well.
func seed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

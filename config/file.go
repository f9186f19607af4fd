package config

// file.go owns the YAML file of all that the platform's JSON does not know: what it may hold, its defaults,
// and what its keys must be to one another. Without the file, or where it says nothing, all of it is off. It
// must never open anything that it names.

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"moleshift/internal/yamlfile"
)

// File is what moleshift.yaml says.
type File struct {
	Members Members `yaml:"members"`
	Duties  Duties  `yaml:"duties"`
	Leases  Leases  `yaml:"leases"`
	Admin   Admin   `yaml:"admin"`
	Capture Capture `yaml:"capture"`

	OpenSearch OpenSearch `yaml:"opensearch"`
	Shards     Shards     `yaml:"shards"`
	Subset     Subset     `yaml:"subset"`
	Pace       Pace       `yaml:"pace"`

	Admission Admission `yaml:"admission"`
	Memory    Memory    `yaml:"memory"`
}

// Capture is the recording of what is served.
type Capture struct {
	Enabled  bool          `yaml:"enabled"`
	Dir      string        `yaml:"dir"`
	Sample   float64       `yaml:"sample"`
	MemoryMB int           `yaml:"memory_mb"`
	FileMB   int           `yaml:"file_mb"`
	Files    int           `yaml:"files"`
	Flush    time.Duration `yaml:"flush"`
	KeyFile  string        `yaml:"key_file"`
}

// Shards is a map of key ranges that changes while queries run.
type Shards struct {
	Enabled   bool          `yaml:"enabled"`
	Snapshot  string        `yaml:"snapshot"`   // file that outlives the process; empty: none
	ColdShare float64       `yaml:"cold_share"` // of a range's parts that may go to a holder that is still cold
	Retry     time.Duration `yaml:"retry"`      // between attempts to follow the map
}

// Subset is holding connections to a few leaves of each cell.
type Subset struct {
	Enabled bool `yaml:"enabled"`
	Leaves  int  `yaml:"leaves"` // of each cell
	Number  int  `yaml:"number"` // the router's own, from 0; -1: the number at the end of its name
	Zone    bool `yaml:"zone"`   // half of them from the router's own zone
}

// Pace is acting one after the other on what befalls all routers at once.
type Pace struct {
	Enabled bool          `yaml:"enabled"`
	Number  int           `yaml:"number"` // the router's own, from 0; -1: the number at the end of its name
	Rate    float64       `yaml:"rate"`   // a second, that discovery bears of all routers together
	Most    time.Duration `yaml:"most"`   // over which they are spread at most
}

// OpenSearch is a second front, in the form of that API.
type OpenSearch struct {
	Enabled     bool    `yaml:"enabled"`
	Listen      string  `yaml:"listen"`
	Connections int     `yaml:"connections"`
	Tenant      string  `yaml:"tenant_header"`
	Leaves      bool    `yaml:"leaves"` // leaves speak the form, too
	Indices     []Index `yaml:"indices"`
}

// Index is a name that clients search.
type Index struct {
	Name     string `yaml:"name"`
	Vertical string `yaml:"vertical"`
	Shards   string `yaml:"shards"` // such as 0-7,9
}

const mostShardsOf = 1024

// List is the shards; nil where they make no sense.
func (x *Index) List() (all []int) {
	for part := range strings.SplitSeq(x.Shards, ",") {
		low, high, is := strings.Cut(strings.TrimSpace(part), "-")
		a, err := strconv.Atoi(low)
		b := a
		if is && err == nil {
			b, err = strconv.Atoi(high)
		}
		if err != nil || a < 0 || b < a || len(all)+b-a >= mostShardsOf {
			return nil
		}
		for s := a; s <= b; s++ {
			if slices.Contains(all, s) {
				return nil
			}
			all = append(all, s)
		}
	}
	return all
}

// checkSearch is what the second front must be.
func (f *File) checkSearch(doc *yamlfile.Doc) {
	o := &f.OpenSearch
	if _, err := netip.ParseAddrPort(o.Listen); o.Enabled && err != nil {
		doc.Fault("opensearch.listen", "%q is no address and port", o.Listen)
	}
	if o.Connections < 1 || o.Connections > 1<<16 {
		doc.Fault("opensearch.connections", "must be from 1 to %d", 1<<16)
	}
	if o.Enabled && len(o.Indices) == 0 {
		doc.Fault("opensearch.indices", "missing: what may be searched")
	}
	for i := range o.Indices {
		x, key := &o.Indices[i], fmt.Sprintf("opensearch.indices[%d]", i)
		if x.Name == "" || strings.ContainsAny(x.Name, "/_ ,*") {
			doc.Fault(key+".name", "%q is no name of an index", x.Name)
		}
		if slices.IndexFunc(o.Indices, func(y Index) bool { return y.Name == x.Name }) != i {
			doc.Fault(key+".name", "%q stands twice", x.Name)
		}
		if x.Vertical == "" {
			doc.Fault(key+".vertical", "missing")
		}
		if x.List() == nil {
			doc.Fault(
				key+".shards",
				"%q is no list such as 0-7,9 of %d at most, each once",
				x.Shards,
				mostShardsOf,
			)
		}
	}
}

// Admission is who may have a connection. Shares are of the connections that clients may have in all.
type Admission struct {
	Enabled     bool     `yaml:"enabled"`
	Connections int      `yaml:"connections"` // 0: a quarter of the descriptors
	Reserve     float64  `yaml:"reserve"`
	PerAddress  float64  `yaml:"per_address"`
	PerNetwork  float64  `yaml:"per_network"`
	IPv4        int      `yaml:"ipv4_bits"`
	IPv6        int      `yaml:"ipv6_bits"`
	Rate        float64  `yaml:"rate"`
	Burst       int      `yaml:"burst"`
	Known       []string `yaml:"known"`
	Remembered  int      `yaml:"remembered"`
	Refusals    int      `yaml:"refusals"`
}

// Networks are the listed ones; the file was checked.
func (a *Admission) Networks() (all []netip.Prefix) {
	for _, text := range a.Known {
		if p, err := netip.ParsePrefix(text); err == nil {
			all = append(all, p.Masked())
		}
	}
	return all
}

// Memory is how much of the memory limit may be held for queries, connections and the rest.
type Memory struct {
	Enabled  bool          `yaml:"enabled"`
	Portion  float64       `yaml:"portion"`
	LogEvery time.Duration `yaml:"log_every"`
}

// Admin is the page for operators.
type Admin struct {
	Listen string `yaml:"listen"` // empty: none
}

// Members is how instances know one another.
type Members struct {
	Enabled   bool          `yaml:"enabled"`
	Listen    string        `yaml:"listen"`
	Advertise string        `yaml:"advertise"`
	Seeds     []string      `yaml:"seeds"`
	Cluster   string        `yaml:"cluster"`
	KeyFile   string        `yaml:"key_file"`
	Plaintext bool          `yaml:"plaintext"`
	Seat      int           `yaml:"seat"` // -1: the number at the end of the instance's name
	Seats     int           `yaml:"seats"`
	Skew      time.Duration `yaml:"skew"`
	Lease     time.Duration `yaml:"lease"`
}

// Duties is what instances that know one another share.
type Duties struct {
	Probes  Probes  `yaml:"probes"`
	Summary Summary `yaml:"summary"`
}

// Probes is the probing of leaves.
type Probes struct {
	Enabled  bool          `yaml:"enabled"`
	Interval time.Duration `yaml:"interval"`
}

// Leases is rights that one instance alone holds, and the work that its holder does.
type Leases struct {
	Enabled    bool    `yaml:"enabled"`
	State      string  `yaml:"state"` // file in which promises outlive the process; empty: none
	Rights     []Right `yaml:"rights"`
	Calls      float64 `yaml:"calls"` // of all background work of the instance, a second; 0: no cap
	Bytes      float64 `yaml:"bytes"` // the same
	Concurrent int     `yaml:"concurrent"`
}

// Right is one, with its job: one of Hook, Captures and Snapshot, or none where it is only to be held.
type Right struct {
	Name     string        `yaml:"name"`
	Paused   bool          `yaml:"paused"`
	Priority int           `yaml:"priority"`
	Every    time.Duration `yaml:"every"`    // 0: 1m
	Deadline time.Duration `yaml:"deadline"` // 0: 10s

	Hook     string `yaml:"hook"`     // URL
	Captures string `yaml:"captures"` // folder
	Snapshot string `yaml:"snapshot"` // file
	Author   Author `yaml:"author"`
}

// Author is the job that proposes changes of the map of shards. Multiples are of the mean load.
type Author struct {
	Enabled bool    `yaml:"enabled"`
	Split   float64 `yaml:"split"`  // of a shard: over it, it is split; 0: never
	Merge   float64 `yaml:"merge"`  // of two neighbours together: under it, they are merged; 0: never
	Move    float64 `yaml:"move"`   // of a leaf: over it, it gives a shard away; 0: never
	Shards  int     `yaml:"shards"` // the most that there may be; 0: 1024
	Least   float64 `yaml:"least"`  // work in a round under which nothing is told by it; 0: 100
}

// Summary is one instance's word on the fleet.
type Summary struct {
	Enabled  bool          `yaml:"enabled"`
	Interval time.Duration `yaml:"interval"`
	File     string        `yaml:"file"` // empty: to the log alone
}

const (
	mostSeats     = 1024
	mostCluster   = 64
	leastInterval = 100 * time.Millisecond
	mostInterval  = 24 * time.Hour
	leastLease    = 100 * time.Millisecond
	mostLease     = time.Minute
	mostSkew      = 10 * time.Second
	leasesInTime  = 3 // in an interval: two leaders may be lost one after the other and a third one has planned in time
	skewsInTime   = 4 // least number of skews in an interval or a lease: the edges of intervals are left unused
)

// DefaultFile is what holds where nothing is stated.
func DefaultFile() *File {
	return &File{
		Members: Members{
			Cluster: "moleshift",
			Seat:    -1,
			Skew:    100 * time.Millisecond,
			Lease:   600 * time.Millisecond,
		},
		Duties: Duties{Probes: Probes{Interval: 2 * time.Second},
			Summary: Summary{Interval: time.Minute}},
		Leases:  Leases{Concurrent: 1},
		Capture: Capture{Sample: 1, MemoryMB: 8, FileMB: 64, Files: 8, Flush: 10 * time.Second},
		Admission: Admission{
			Reserve:    0.25,
			PerAddress: 0.5,
			PerNetwork: 0.6,
			IPv4:       24,
			IPv6:       56,
			Rate:       50,
			Burst:      100,
			Remembered: 16384,
			Refusals:   16,
		},
		Subset:     Subset{Leaves: 4, Number: -1},
		Pace:       Pace{Number: -1, Rate: 200, Most: 2 * time.Second},
		Shards:     Shards{ColdShare: 0.1, Retry: 200 * time.Millisecond},
		OpenSearch: OpenSearch{Listen: "127.0.0.1:9200", Connections: 64, Tenant: "X-Customer"},
		Memory:     Memory{Portion: 0.4, LogEvery: time.Minute},
	}
}

// LoadFile reads a YAML file. The error is of type yamlfile.Faults where the file could be read but says what
// makes no sense.
func LoadFile(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return DecodeFile(path, text)
}

// DecodeFile reads the text of a YAML file of that name.
func DecodeFile(path string, text []byte) (*File, error) {
	f := DefaultFile()
	doc := yamlfile.Decode(path, text, f)
	f.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// check is what values must be, by themselves and to one another.
func (f *File) check(doc *yamlfile.Doc) {
	m := &f.Members
	for key, at := range map[string]string{"members.listen": m.Listen, "members.advertise": m.Advertise,
		"admin.listen": f.Admin.Listen} {
		if _, err := netip.ParseAddrPort(at); err != nil && at != "" {
			doc.Fault(key, "%q is no address and port", at)
		}
	}
	for i, s := range m.Seeds {
		host, port, err := net.SplitHostPort(s)
		if p, wrong := strconv.ParseUint(port, 10, 16); err != nil || wrong != nil || p == 0 || host == "" {
			doc.Fault(fmt.Sprintf("members.seeds[%d]", i), "%q is no host and port", s)
		}
	}
	within := func(key string, x, least, most time.Duration) {
		if x < least || x > most {
			doc.Fault(key, "must be from %v to %v", least, most)
		}
	}
	within("members.skew", m.Skew, 0, mostSkew)
	within("members.lease", m.Lease, leastLease, mostLease)
	if doc.Has("members.seats") && (m.Seats < 1 || m.Seats > mostSeats) {
		doc.Fault("members.seats", "must be from 1 to %d", mostSeats)
	}
	if doc.Has("members.seat") && (m.Seat < 0 || m.Seat >= mostSeats) {
		doc.Fault("members.seat", "must be from 0 to %d", mostSeats-1)
	}
	if len(m.Cluster) > mostCluster {
		doc.Fault("members.cluster", "longer than %d bytes", mostCluster)
	}
	if m.Enabled {
		f.checkMembers(doc)
	}
	c := &f.Capture
	if c.Enabled && c.Dir == "" {
		doc.Fault("capture.dir", "missing")
	}
	if !(c.Sample > 0 && c.Sample <= 1) {
		doc.Fault("capture.sample", "must be above 0, and 1 at most")
	}
	for _, n := range []struct {
		key     string
		x, most int
	}{{"memory_mb", c.MemoryMB, 1 << 16}, {"file_mb", c.FileMB, 1 << 20}, {"files", c.Files, 10_000}} {
		if n.x < 1 || n.x > n.most {
			doc.Fault("capture."+n.key, "must be from 1 to %d", n.most)
		}
	}
	within("capture.flush", c.Flush, 100*time.Millisecond, time.Hour)
	f.checkSearch(doc)
	f.checkLeases(doc, within)
	if s := &f.Shards; !(s.ColdShare >= 0 && s.ColdShare <= 1) {
		doc.Fault("shards.cold_share", "must be from 0 to 1")
	}
	within("shards.retry", f.Shards.Retry, 10*time.Millisecond, time.Minute)
	if s := &f.Subset; s.Leaves < 1 || s.Leaves > mostSeats {
		doc.Fault("subset.leaves", "must be from 1 to %d", mostSeats)
	} else if s.Enabled && f.Shards.Enabled {
		doc.Fault("subset.enabled", "contradicts shards.enabled: a map says who holds what")
	}
	if n := f.Subset.Number; doc.Has("subset.number") && n < 0 {
		doc.Fault("subset.number", "must be from 0")
	}
	if p := &f.Pace; !(p.Rate > 0 && p.Rate <= 1e6) {
		doc.Fault("pace.rate", "must be above 0, and 1000000 at most")
	}
	within("pace.most", f.Pace.Most, 0, time.Minute)
	if n := f.Pace.Number; doc.Has("pace.number") && n < 0 {
		doc.Fault("pace.number", "must be from 0")
	}
	f.checkLimits(doc, within)
	if m.Skew*skewsInTime > m.Lease {
		doc.Fault("members.lease", "%v is under %d times members.skew, %v", m.Lease, skewsInTime, m.Skew)
	}
	for _, d := range []struct {
		key      string
		enabled  bool
		interval time.Duration
	}{{"duties.probes", f.Duties.Probes.Enabled, f.Duties.Probes.Interval},
		{"duties.summary", f.Duties.Summary.Enabled, f.Duties.Summary.Interval}} {
		within(d.key+".interval", d.interval, leastInterval, mostInterval)
		if d.enabled && !m.Enabled {
			doc.Fault(d.key+".enabled", "needs members.enabled")
		}
		if d.enabled && d.interval < skewsInTime*m.Skew {
			doc.Fault(
				d.key+".interval",
				"%v is under %d times members.skew, %v",
				d.interval,
				skewsInTime,
				m.Skew,
			)
		} else if d.enabled && d.interval < leasesInTime*m.Lease {
			doc.Fault(d.key+".interval", "%v is under %d times members.lease, %v: a leader's death would be felt for longer", d.interval,
				leasesInTime, m.Lease)
		}
	}
}

// checkLimits is what admission and memory must be.
func (f *File) checkLimits(
	doc *yamlfile.Doc,
	within func(string, time.Duration, time.Duration, time.Duration),
) {
	a := &f.Admission
	for _, n := range []struct {
		key            string
		x, least, most float64
	}{{"admission.connections", float64(a.Connections), 0, 1 << 20}, {"admission.reserve", a.Reserve, 0, 0.9},
		{"admission.per_address", a.PerAddress, 0, 1}, {"admission.per_network", a.PerNetwork, 0, 1},
		{"admission.ipv4_bits", float64(a.IPv4), 8, 32}, {"admission.ipv6_bits", float64(a.IPv6), 16, 128},
		{"admission.rate", a.Rate, 0, 1e6}, {"admission.burst", float64(a.Burst), 1, 1e6},
		{"admission.remembered", float64(a.Remembered), 64, 1 << 22}, {"admission.refusals", float64(a.Refusals), 1, 1024},
		{"memory.portion", f.Memory.Portion, 0.05, 0.75}} {
		if !(n.x >= n.least && n.x <= n.most) {
			doc.Fault(n.key, "must be from %g to %g", n.least, n.most)
		}
	}
	for i, text := range a.Known {
		if _, err := netip.ParsePrefix(text); err != nil {
			doc.Fault(fmt.Sprintf("admission.known[%d]", i), "%q is no network such as 10.1.0.0/16", text)
		}
	}
	within("memory.log_every", f.Memory.LogEvery, time.Second, 24*time.Hour)
}

// checkLeases is what rights must be.
func (f *File) checkLeases(doc *yamlfile.Doc, within func(string, time.Duration, time.Duration, time.Duration)) {
	l := &f.Leases
	if l.Enabled && !f.Members.Enabled {
		doc.Fault("leases.enabled", "needs members.enabled")
	}
	if l.Concurrent < 1 || l.Concurrent > mostConcurrent {
		doc.Fault("leases.concurrent", "must be from 1 to %d", mostConcurrent)
	}
	if !(l.Calls >= 0 && l.Calls <= 1e6) {
		doc.Fault("leases.calls", "must be from 0 to 1000000")
	}
	if !(l.Bytes >= 0 && l.Bytes <= 1e12) {
		doc.Fault("leases.bytes", "must be from 0 to 1e12")
	}
	if len(l.Rights) > mostRights {
		doc.Fault("leases.rights", "%d of them, %d at most", len(l.Rights), mostRights)
	}
	for i := range l.Rights {
		r, key := &l.Rights[i], fmt.Sprintf("leases.rights[%d]", i)
		if !rightName.MatchString(r.Name) {
			doc.Fault(key+".name", "%q is no name of up to 64 letters, digits, and any of - _ . /", r.Name)
		}
		if slices.IndexFunc(l.Rights, func(o Right) bool { return o.Name == r.Name }) != i {
			doc.Fault(key+".name", "%q stands twice", r.Name)
		}
		if r.Every != 0 {
			within(key+".every", r.Every, 10*time.Millisecond, mostInterval)
		}
		if r.Deadline != 0 {
			within(key+".deadline", r.Deadline, 10*time.Millisecond, time.Hour)
		}
		jobs := 0
		for _, has := range []bool{r.Hook != "", r.Captures != "", r.Snapshot != "", r.Author.Enabled} {
			if has {
				jobs++
			}
		}
		if jobs > 1 {
			doc.Fault(key, "has %d jobs of hook, captures, snapshot and author: one right, one job", jobs)
		}
		if a := &r.Author; a.Enabled && !f.Shards.Enabled {
			doc.Fault(key+".author.enabled", "needs shards.enabled")
		} else if a.Split != 0 && !(a.Split > 1) || a.Move != 0 && !(a.Move > 1) || a.Merge < 0 || a.Merge >= 1 || a.Shards < 0 || a.Least < 0 {
			doc.Fault(key+".author", "split and move must be above 1, merge under 1, shards and least from 0; 0 is none")
		}
		if r.Hook != "" {
			if u, err := url.Parse(r.Hook); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
				doc.Fault(key+".hook", "%q is no http or https address", r.Hook)
			}
		}
	}
}

const (
	mostConcurrent = 64
	mostRights     = 1024
)

var rightName = regexp.MustCompile(`^[A-Za-z0-9._/-]{1,64}$`)

// checkMembers is what must be stated once instances are to know one another.
func (f *File) checkMembers(doc *yamlfile.Doc) {
	m := &f.Members
	if m.Listen == "" {
		doc.Fault("members.listen", "missing")
	}
	if !doc.Has("members.seats") {
		doc.Fault("members.seats", "missing: how many instances there may be at once")
	} else if m.Seat >= m.Seats && m.Seats > 0 {
		doc.Fault("members.seat", "%d is not below members.seats, %d", m.Seat, m.Seats)
	}
	if m.KeyFile == "" && !m.Plaintext {
		doc.Fault(
			"members.key_file",
			"missing; with members.plaintext: true anybody who reaches the port can join",
		)
	}
	if m.KeyFile != "" && m.Plaintext {
		doc.Fault("members.plaintext", "contradicts members.key_file")
	}
}

var digits = regexp.MustCompile(`[0-9]+$`)

// NumberOf is the number at the end of an instance's name, as stateful sets give them.
func NumberOf(name string) (int, error) {
	n, err := strconv.Atoi(digits.FindString(name))
	if err != nil {
		return 0, fmt.Errorf("missing, and the name %q does not end with a number", name)
	}
	return n, nil
}

// SeatOf is the seat of an instance of a name.
func (m *Members) SeatOf(name string) (int, error) {
	seat := m.Seat
	if seat < 0 {
		n, err := NumberOf(name)
		if err != nil {
			return 0, fmt.Errorf("members.seat: %w", err)
		}
		seat = n
	}
	if seat >= m.Seats {
		return 0, fmt.Errorf("members.seat: %d is not below members.seats, %d", seat, m.Seats)
	}
	return seat, nil
}

// Describe tells in a few lines what would run.
func (f *File) Describe() []string {
	off := func(on bool, format string, args ...any) string {
		if !on {
			return "off"
		}
		return fmt.Sprintf(format, args...)
	}
	m, p, s, c := f.Members, f.Duties.Probes, f.Duties.Summary, f.Capture
	keys, seat, file := "plaintext", "by the name", "to the log"
	if m.KeyFile != "" {
		keys = "keys of " + m.KeyFile
	}
	if m.Seat >= 0 {
		seat = strconv.Itoa(m.Seat)
	}
	if s.File != "" {
		file = "to " + s.File
	}
	return []string{
		"members: " + off(
			m.Enabled,
			"on %s, cluster %s, seat %s of %d, %s, %d seeds, clocks within %v, lease %v",
			m.Listen,
			m.Cluster,
			seat,
			m.Seats,
			keys,
			len(m.Seeds),
			m.Skew,
			m.Lease,
		),
		"duties.probes: " + off(p.Enabled, "each leaf every %v by one instance", p.Interval),
		"duties.summary: " + off(s.Enabled, "every %v by one instance, %s", s.Interval, file),
		"leases: " + off(f.Leases.Enabled, "%d rights, promises kept in %q", len(f.Leases.Rights), f.Leases.State),
		"capture: " + off(
			c.Enabled,
			"%g of the queries into %s, %d files of %d MB, %d MB of memory",
			c.Sample,
			c.Dir,
			c.Files,
			c.FileMB,
			c.MemoryMB,
		),
		"opensearch: " + off(
			f.OpenSearch.Enabled,
			"on %s, %d indices, %d connections",
			f.OpenSearch.Listen,
			len(f.OpenSearch.Indices),
			f.OpenSearch.Connections,
		),
		"opensearch.leaves: " + off(f.OpenSearch.Leaves, "leaves are asked in that form, by HTTP/1.1"),
		"shards: " + off(f.Shards.Enabled, "as the map of ranges says, followed at the list's address; snapshot %q, %.0f%% to cold holders",
			f.Shards.Snapshot, 100*f.Shards.ColdShare),
		"subset: " + off(f.Subset.Enabled, "%d leaves of each cell", f.Subset.Leaves),
		"pace: " + off(f.Pace.Enabled, "%g a second of all routers, over %v at most", f.Pace.Rate, f.Pace.Most),
		"admission: " + off(
			f.Admission.Enabled,
			"%s connections, %.0f%% of them kept for known clients, %.0f%% for one address, %.0f%% for "+
				"strangers of one network, %g new ones a second of an address",
			orAll(f.Admission.Connections),
			100*f.Admission.Reserve,
			100*f.Admission.PerAddress,
			100*f.Admission.PerNetwork,
			f.Admission.Rate,
		),
		"memory: " + off(
			f.Memory.Enabled,
			"%.0f%% of the limit may be held, told of every %v",
			100*f.Memory.Portion,
			f.Memory.LogEvery,
		),
		"admin: " + off(f.Admin.Listen != "", "on %s", f.Admin.Listen),
	}
}

func orAll(n int) string {
	if n == 0 {
		return "a quarter of the descriptors as"
	}
	return strconv.Itoa(n)
}

package config

// file.go owns the YAML file of all that the platform's JSON does not know: what it may hold, its defaults, and what its
// keys must be to one another. Without the file, or where it says nothing, all of it is off. It must never open
// anything that it names.

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"time"

	"moleshift/internal/yamlfile"
)

// File is what moleshift.yaml says.
type File struct {
	Members Members `yaml:"members"`
	Duties  Duties  `yaml:"duties"`
	Admin   Admin   `yaml:"admin"`
	Capture Capture `yaml:"capture"`
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
		Members: Members{Cluster: "moleshift", Seat: -1, Skew: 100 * time.Millisecond, Lease: 600 * time.Millisecond},
		Duties: Duties{Probes: Probes{Interval: 2 * time.Second},
			Summary: Summary{Interval: time.Minute}},
		Capture: Capture{Sample: 1, MemoryMB: 8, FileMB: 64, Files: 8, Flush: 10 * time.Second},
	}
}

// LoadFile reads a YAML file. The error is of type yamlfile.Faults where the file could be read but says what makes no
// sense.
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
			doc.Fault(d.key+".interval", "%v is under %d times members.skew, %v", d.interval, skewsInTime, m.Skew)
		} else if d.enabled && d.interval < leasesInTime*m.Lease {
			doc.Fault(d.key+".interval", "%v is under %d times members.lease, %v: a leader's death would be felt for longer", d.interval,
				leasesInTime, m.Lease)
		}
	}
}

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
		doc.Fault("members.key_file", "missing; with members.plaintext: true anybody who reaches the port can join")
	}
	if m.KeyFile != "" && m.Plaintext {
		doc.Fault("members.plaintext", "contradicts members.key_file")
	}
}

var digits = regexp.MustCompile(`[0-9]+$`)

// SeatOf is the seat of an instance of a name.
func (m *Members) SeatOf(name string) (int, error) {
	seat := m.Seat
	if seat < 0 {
		n, err := strconv.Atoi(digits.FindString(name))
		if err != nil {
			return 0, fmt.Errorf("members.seat: missing, and the name %q does not end with a number", name)
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
		"members: " + off(m.Enabled, "on %s, cluster %s, seat %s of %d, %s, %d seeds, clocks within %v, lease %v", m.Listen,
			m.Cluster, seat, m.Seats, keys, len(m.Seeds), m.Skew, m.Lease),
		"duties.probes: " + off(p.Enabled, "each leaf every %v by one instance", p.Interval),
		"duties.summary: " + off(s.Enabled, "every %v by one instance, %s", s.Interval, file),
		"capture: " + off(c.Enabled, "%g of the queries into %s, %d files of %d MB, %d MB of memory", c.Sample, c.Dir, c.Files, c.FileMB,
			c.MemoryMB),
		"admin: " + off(f.Admin.Listen != "", "on %s", f.Admin.Listen),
	}
}

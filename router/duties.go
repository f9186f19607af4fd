package router

// duties.go owns this instance's part in the duties that instances share: it carries out what package duty says, by
// probes of leaves and by messages to the other instances, and tells the module what others have found. All of it is
// the owner's, and none of it exists unless the YAML file asks for it. It must never choose who performs a duty, and
// never wait: a message that can't be taken now is dropped, as any may be lost.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"moleshift/choice"
	"moleshift/codec"
	"moleshift/config"
	"moleshift/duty"
	"moleshift/internal/wholefile"
	"moleshift/member"
)

// peers is what the duties need of package member.
type peers interface {
	Send(seat int, msg []byte)
	Broadcast(msg []byte)
	Leave()
	Reload() error
	View() member.View
}

const (
	beatsInLease = 4
	probeDuty    = "probe/" // and the leaf's id
	summaryDuty  = "summary"
	mostNamed    = 20 // leaves that a summary names
)

// sharing is the duties as this instance has them.
type sharing struct {
	o     *owner
	peers peers
	node  *duty.Node
	codec *duty.Codec
	last  map[string]finding // what is known of leaves, by the name of the duty

	received, dropped atomic.Int64 // messages, the latter as the queue was full or as they made no sense
}

// finding is what a probe of a leaf came to.
type finding struct {
	_ struct{} `cbor:",toarray"`

	Outcome choice.Outcome
	Has     uint8 // a bit a measure
	Values  []float64
}

func found(outcome choice.Outcome, rep *choice.Report) finding {
	f := finding{Outcome: outcome}
	if rep != nil {
		for m, has := range rep.Has {
			if has {
				f.Has |= 1 << m
				f.Values = append(f.Values, rep.Value[m])
			}
		}
	}
	return f
}

// report is nil where the finding has none, or makes no sense.
func (f finding) report() *choice.Report {
	rep, values := new(choice.Report), f.Values
	for m := range rep.Has {
		if f.Has>>m&1 == 1 && len(values) > 0 {
			rep.Set(choice.Measure(m), values[0])
			values = values[1:]
		}
	}
	if f.Has == 0 || len(values) > 0 {
		return nil
	}
	return rep
}

// share starts the instance's part. The peers come by a function, as they need someone to hand messages to.
func (o *owner) share(join func(member.Settings, member.Handler) (peers, error)) error {
	m := &o.cfg.More.Members
	seat, err := m.SeatOf(o.cfg.Name)
	if err != nil {
		return err
	}
	s := &sharing{o: o, codec: duty.NewCodec(), last: map[string]finding{}}
	s.node = duty.New(duty.Settings{Seat: seat, Size: m.Seats, Skew: duty.Time(tenths(m.Skew)),
		Lease: duty.Time(tenths(m.Lease)), Beat: duty.Time(tenths(m.Lease)) / beatsInLease,
		Seed: o.cfg.Seed}, s, duty.Time(o.now))
	s.peers, err = join(member.Settings{Name: o.cfg.Name, Seat: seat, Boot: int64(s.node.Boot()), Listen: m.Listen,
		Advertise: m.Advertise, Seeds: m.Seeds, Cluster: m.Cluster, KeyFile: m.KeyFile}, s)
	if err != nil {
		return err
	}
	o.sharing = s
	s.tend()
	return nil
}

// tend has the duties follow the list and the settings. Leaves that drain or are gone are dropped at once.
func (s *sharing) tend() {
	now, set := duty.Time(s.o.now), &s.o.cfg.More.Duties
	wanted := map[string]bool{}
	if set.Probes.Enabled {
		for _, l := range s.o.listed {
			if l.serving {
				name := probeDuty + l.id
				wanted[name] = true
				s.node.Add(now, name, duty.Time(tenths(set.Probes.Interval)))
			}
		}
	}
	if set.Summary.Enabled {
		wanted[summaryDuty] = true
		s.node.Add(now, summaryDuty, duty.Time(tenths(set.Summary.Interval)))
	}
	for _, d := range s.node.Duties() {
		if !wanted[d.Name()] {
			s.node.Remove(now, d.Name())
			delete(s.last, d.Name())
		}
	}
}

// next is when the duties need a turn.
func (s *sharing) next() choice.Time { return choice.Time(s.node.Next()) }

// turn does what is due.
func (s *sharing) turn() {
	if s.next() <= s.o.now {
		s.node.Awake(duty.Time(s.o.now))
	}
}

// reload follows a new configuration.
func (s *sharing) reload() {
	if err := s.peers.Reload(); err != nil {
		s.o.log.Error().Err(err).Msg("keys not taken over, the old ones stand")
	}
	s.tend()
}

// leave tells the others that this instance ends. Its part is over with that; the process drains on.
func (s *sharing) leave() {
	s.node.Leave(duty.Time(s.o.now))
	s.o.group.Go(func() error {
		s.peers.Leave()
		return nil
	})
}

// ---- what comes from the others ----

// Message takes a message, on a goroutine of package member.
func (s *sharing) Message(b []byte) {
	s.received.Add(1)
	m, err := s.codec.Decode(b)
	if err != nil {
		s.dropped.Add(1)
		return
	}
	select {
	case s.o.queue <- func(o *owner) { s.node.Hear(duty.Time(o.now), m) }:
	default:
		s.dropped.Add(1)
	}
}

// Viewed is told of a change among the members. Package member logs it, and duty finds out by itself who answers.
func (s *sharing) Viewed(member.View) {}

// ---- the node's port ----

// Send is part of duty.Port.
func (s *sharing) Send(seat int, m *duty.Message) {
	s.encode(m, func(b []byte) { s.peers.Send(seat, b) })
}

// Broadcast is part of duty.Port.
func (s *sharing) Broadcast(m *duty.Message) { s.encode(m, s.peers.Broadcast) }

func (s *sharing) encode(m *duty.Message, send func([]byte)) {
	b, err := s.codec.Encode(m)
	if err != nil {
		s.o.log.Error().Err(err).Msg("a message to other instances could not be written")
		return
	}
	send(b)
}

// Perform is part of duty.Port.
func (s *sharing) Perform(d *duty.Duty, k int64, why duty.Why) {
	s.o.log.Debug().Str("duty", d.Name()).Int64("interval", k).Stringer("why", why).Msg("duty")
	id, probe := strings.CutPrefix(d.Name(), probeDuty)
	if !probe {
		s.summarise(d, k, why)
		return
	}
	l := s.o.leaves[id]
	if l == nil {
		return
	}
	l.probe(s.o, codec.LetterLoad, func(o *owner, outcome choice.Outcome, rep *choice.Report) {
		f := found(outcome, rep)
		if o.leaves[id] == l && l.serving {
			s.last[d.Name()] = f
		}
		b, err := cbor.Marshal(f)
		if err != nil {
			b = nil
		}
		s.node.Performed(duty.Time(o.now), d, k, why, b)
	})
}

// Heard is part of duty.Port: what another instance found goes to the module with its age.
func (s *sharing) Heard(d *duty.Duty, seat int, at duty.Time, result []byte) {
	id, probe := strings.CutPrefix(d.Name(), probeDuty)
	l := s.o.leaves[id]
	if !probe || l == nil || !l.serving {
		return
	}
	var f finding
	if err := cbor.Unmarshal(result, &f); err != nil || f.Outcome < choice.OK || f.Outcome > choice.Moot {
		s.dropped.Add(1)
		return
	}
	s.last[d.Name()] = f
	s.o.root.Heard(s.o.now, l.l, seat, f.Outcome, f.report(), s.o.now-choice.Time(at))
}

// Note is part of duty.Port.
func (s *sharing) Note(n duty.Note) {
	line := func(level zerolog.Level) *zerolog.Event { return s.o.log.WithLevel(level).Int("seat", n.Seat) }
	switch n.Event {
	case duty.Led:
		line(zerolog.InfoLevel).Msg("duties are led")
	case duty.Covered:
		line(zerolog.InfoLevel).Msg("duties have a plan")
	case duty.Uncovered:
		line(zerolog.WarnLevel).Msg("duties have no plan: no majority of the seats is heard of")
	case duty.Clash:
		line(zerolog.ErrorLevel).Msg("another instance has this seat: this one performs nothing")
	case duty.Resolved:
		line(zerolog.WarnLevel).Msg("the other instance of this seat is gone")
	case duty.Returned:
		line(zerolog.InfoLevel).Msg("seat is back with nothing remembered")
	case duty.Left:
		line(zerolog.InfoLevel).Msg("seat leaves")
	case duty.Odd:
		line(zerolog.WarnLevel).Str("detail", n.Why).Msg("seat has other settings, or makes no sense")
	}
}

// ---- the summary ----

// Summary is one instance's word on the fleet.
type Summary struct {
	At        time.Time `json:"at"`
	By        string    `json:"by"`
	Leaves    int       `json:"leaves"`
	Serving   int       `json:"serving"`
	Probed    int       `json:"probed"`  // leaves of which a probe is known
	Failing   int       `json:"failing"` // of which the last one failed
	Named     []string  `json:"named,omitempty"`
	Instances int       `json:"instances"`
	Planned   bool      `json:"planned"`
	Queries   int       `json:"queries_here"`
}

func (s *sharing) summary() Summary {
	o := s.o
	sum := Summary{At: time.UnixMicro(int64(o.now) * 100).UTC(), By: o.cfg.Name, Leaves: len(o.listed),
		Instances: len(s.peers.View().Peers), Planned: s.node.Status().Covered, Queries: len(o.queries)}
	for _, l := range o.listed {
		if l.serving {
			sum.Serving++
		}
		f, known := s.last[probeDuty+l.id]
		if !known {
			continue
		}
		if sum.Probed++; f.Outcome != choice.OK {
			if sum.Failing++; len(sum.Named) < mostNamed {
				sum.Named = append(sum.Named, l.id)
			}
		}
	}
	slices.Sort(sum.Named)
	return sum
}

// summarise performs the duty of that name.
func (s *sharing) summarise(d *duty.Duty, k int64, why duty.Why) {
	sum := s.summary()
	s.o.log.Info().Int("leaves", sum.Leaves).Int("serving", sum.Serving).Int("probed", sum.Probed).
		Int("failing", sum.Failing).Strs("named", sum.Named).Int("instances", sum.Instances).Msg("fleet")
	if path := s.o.cfg.More.Duties.Summary.File; path != "" {
		s.o.group.Go(func() error {
			if err := writeWhole(path, sum); err != nil {
				s.o.log.Warn().Err(err).Msg("summary not written")
			}
			return nil
		})
	}
	s.o.later = append(s.o.later, func(o *owner) { s.node.Performed(duty.Time(o.now), d, k, why, nil) })
}

// writeWhole writes a value as JSON.
func writeWhole(path string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return wholefile.Write(path, func(out io.Writer) error {
		_, err := out.Write(append(text, '\n'))
		return err
	})
}

// ---- the page for operators ----

// DutiesStatus is what the page tells of the duties.
type DutiesStatus struct {
	Instance  string         `json:"instance"`
	Seat      int            `json:"seat"`
	Seats     int            `json:"seats"`
	Role      string         `json:"role"`
	Leader    int            `json:"leader"`
	Planned   bool           `json:"planned"`
	Active    []int          `json:"active"`
	Barred    bool           `json:"barred"`
	Revision  uint64         `json:"revision"`
	Instances []member.Peer  `json:"instances"`
	Duties    []DutyStatus   `json:"duties"`
	Performed map[string]int `json:"performed"`
	Heard     int            `json:"heard"`
	Odd       int            `json:"odd"`
	Conflicts int            `json:"conflicts"`
	Dropped   int64          `json:"dropped"`
}

// DutyStatus is one duty as this instance knows it.
type DutyStatus struct {
	Name       string  `json:"name"`
	IntervalMS float64 `json:"interval_ms"`
	Holder     int     `json:"holder"`     // in the present interval
	Substitute int     `json:"substitute"` // -1: none
	LastSeat   int     `json:"last_seat"`  // -1: no performance is known
	LastAgoMS  float64 `json:"last_ago_ms"`
	LastWhy    string  `json:"last_why"`
	Found      string  `json:"found,omitempty"`
}

var outcomeWords = [...]string{"ok", "failed", "full", "timed out", "no connection", "reset", "cancelled", "moot", "refused"}

func (s *sharing) status() DutiesStatus {
	st, c, now := s.node.Status(), s.node.Counts, duty.Time(s.o.now)
	view := s.peers.View()
	d := DutiesStatus{Instance: s.o.cfg.Name, Seat: st.Seat, Seats: st.Size, Role: st.Role, Leader: st.Leader,
		Planned: st.Covered, Active: st.Active, Barred: st.Barred, Revision: view.Revision, Instances: view.Peers,
		Performed: map[string]int{}, Heard: c.Heard, Odd: c.Odd, Conflicts: c.Conflicts, Dropped: s.dropped.Load()}
	for why, n := range c.Performed {
		d.Performed[duty.Why(why).String()] = n
	}
	for _, one := range s.node.Duties() {
		ds := DutyStatus{Name: one.Name(), IntervalMS: float64(one.Interval()) / 10, LastSeat: -1}
		ds.Holder, ds.Substitute = s.node.Turn(one, one.Number(now))
		if last := one.Last(); last.Known {
			ds.LastSeat, ds.LastAgoMS, ds.LastWhy = last.Seat, float64(now-last.At)/10, last.Why.String()
		}
		if f, known := s.last[one.Name()]; known {
			ds.Found = outcomeWords[f.Outcome]
		}
		d.Duties = append(d.Duties, ds)
	}
	slices.SortFunc(d.Duties, func(a, b DutyStatus) int { return strings.Compare(a.Name, b.Name) })
	return d
}

// checkDuties is what can only be known once the rest is: it names the key at fault.
func checkDuties(cfg *config.Config) error {
	if !cfg.More.Members.Enabled {
		return nil
	}
	if f := cfg.More.Members.KeyFile; f != "" {
		if _, err := member.ReadKeys(f); err != nil {
			return err
		}
	}
	if f := cfg.More.Leases.State; f != "" && cfg.More.Leases.Enabled {
		if info, err := os.Stat(filepath.Dir(f)); err != nil || !info.IsDir() {
			return fmt.Errorf("leases.state: %s is no folder", filepath.Dir(f))
		}
	}
	if f := cfg.More.Duties.Summary.File; f != "" {
		if info, err := os.Stat(filepath.Dir(f)); err != nil || !info.IsDir() {
			return fmt.Errorf("duties.summary.file: %s is no folder", filepath.Dir(f))
		}
	}
	return nil
}

// Check is what `moleshift check` looks at beyond what the file itself says.
func Check(cfg *config.Config) error { return checkDuties(cfg) }

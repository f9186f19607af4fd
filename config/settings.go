package config

// settings.go owns the settings that an instance is told, on sockets and on the simulator's wire alike: one
// decoder for both. It must never stand in for a decision: what the module reads is handed on as it was
// stated.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"moleshift/choice"
)

// Settings is the object that an instance is told at its start: the module's part, and what whoever drives
// the module needs at its door.
type Settings struct {
	Module *choice.Settings

	Verticals, Tenants, Zones []string // names, in the order of the module's numbers

	OpenCap        int // queries and parts held at once; 0: no limit is stated
	MaxStreams     int // calls at once on a connection; 0: no limit is stated
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // 0: connections are not closed for being idle
	Longest        time.Duration // the longest deadline of any vertical
	ConnPrice      float64       // of connections to leaves: making them, and having them
}

// measures are the values of load reports by name: those of the simulator's wire and those on sockets.
var measures = map[string]choice.Measure{
	"active": choice.Active, "waiting": choice.Waiting, "cpu": choice.Utilisation,
	"avg_ms": choice.ServiceTime, "rps": choice.ServedRate, "err_rps": choice.ErrorRate,
	"inflight": choice.Active, "queue": choice.Waiting, "util": choice.Utilisation,
	"latency_ms": choice.ServiceTime, "qps": choice.ServedRate, "eps": choice.ErrorRate,
}

// ParseReport reads a load report: pairs of a name and a value, set apart by commas, with a separator within
// each. Values of unknown names are skipped.
func ParseReport(text, separator string) (*choice.Report, error) {
	rep := new(choice.Report)
	for pair := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(pair, separator)
		if !found {
			return nil, fmt.Errorf("holds no name and value: %q", pair)
		}
		x, err := ParseNumber(value)
		if err != nil {
			return nil, err
		}
		if m, known := measures[name]; known {
			rep.Set(m, x)
		}
	}
	return rep, nil
}

// ParseNumber reads a decimal number of a size that makes sense.
func ParseNumber(text string) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e15 {
		return 0, fmt.Errorf("is no number: %q", text)
	}
	return x, nil
}

// FloorTime and CeilTime turn milliseconds into the module's time. Points in time that end something are
// rounded down, the clock and starts up, so that rounding never makes time left look longer than it is.
func FloorTime(ms float64) choice.Time { return choice.Time(math.Floor(ms*10 + 1e-6)) }

// CeilTime rounds up; see FloorTime.
func CeilTime(ms float64) choice.Time { return choice.Time(math.Ceil(ms*10 - 1e-6)) }

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// DecodeSettings reads the settings. Unknown keys are skipped; a fault names its key.
func DecodeSettings(seed uint64, text []byte) (*Settings, error) {
	var w struct {
		Balancers int
		Zone      int
		Zones     []string
		Tick      float64
		Caps      struct {
			Cancel         bool
			ConnIdle       float64 `json:"conn_idle"`
			ConnectTimeout float64 `json:"connect_timeout"`
			MayProbe       bool    `json:"may_probe"`
			MaxAttempts    int     `json:"max_attempts"`
			MaxStreams     int     `json:"max_streams"`
			OpenCap        int     `json:"open_cap"`
			SecondCopies   bool    `json:"second_copies"`
			RetryAfter     bool    `json:"retry_after"`
			MaxRetryAfter  float64 `json:"max_retry_after"`
		}
		Classes []struct {
			Name          string
			Aim, Deadline float64
			AimStretch    float64 `json:"aim_stretch"`
			Effect        string
			LateWorth     float64 `json:"late_worth"`
			MemorySpan    float64 `json:"memory_span"`
			Worth         float64
		}
		FamilyInfo struct {
			Batch        int
			Overhead     float64
			MinShare     []float64 `json:"min_share"`
			NeedByClass  []float64 `json:"need_by_class"`
			PartialEarns []float64 `json:"partial_earns"`
			SecondStep   []int     `json:"second_step"`
			Sets         int
			Slices       int
			Span         int
		} `json:"family_info"`
		MembershipMode string  `json:"membership_mode"`
		OverShareWorth float64 `json:"over_share_worth"`
		Report         struct{ Via string }
		Rules          struct {
			BudgetWindow  *float64 `json:"budget_window"`
			SpareAttempts float64  `json:"spare_attempts"`
			ResendRatio   float64  `json:"resend_ratio"`
			Cold          float64
			ColdShare     float64 `json:"cold_share"`
			Fall          float64
			FallMultiple  float64 `json:"fall_multiple"`
		}
		Tenants []struct {
			Name          string
			AllowancePerS float64 `json:"allowance_per_s"`
		}
		Tariffs struct {
			CrossZone  float64 `json:"cross_zone"`
			Connection float64
			Handshake  float64
		}
		WorthBy string `json:"worth_by"`
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, jsonFault(err)
	}
	if err := firstBad([]check{{"classes", len(w.Classes) == 0}, {"family_info.slices", w.FamilyInfo.Slices < 1},
		{"family_info.sets", w.FamilyInfo.Sets < 1}, {"family_info.span", w.FamilyInfo.Span < 1}}); err != nil {
		return nil, err
	}
	s := &choice.Settings{
		Seed: seed, Roots: max(w.Balancers, 1), Tick: CeilTime(w.Tick),
		Zone: w.Zone, CrossZone: w.Tariffs.CrossZone,
		Shards: w.FamilyInfo.Slices, Cells: w.FamilyInfo.Sets, Span: w.FamilyInfo.Span,
		Batch: w.FamilyInfo.Batch, Overhead: max(w.FamilyInfo.Overhead, 0),
		OverShareUtility: w.OverShareWorth, UtilityByWork: w.WorthBy == "work",
		MaxCalls: max(w.Caps.MaxAttempts, 1), SecondCopies: w.Caps.SecondCopies, MayCancel: w.Caps.Cancel,
		MayProbe: w.Caps.MayProbe, HoldOff: w.Caps.RetryAfter, MaxHoldOff: FloorTime(w.Caps.MaxRetryAfter),
		ProbeReports: w.Report.Via == "on_probe", AskForList: w.MembershipMode == "on_request",
		ColdShare: w.Rules.ColdShare, ColdTime: CeilTime(w.Rules.Cold),
		FallMultiple: w.Rules.FallMultiple, FallTime: CeilTime(w.Rules.Fall),
	}
	if w.Rules.BudgetWindow != nil {
		s.BudgetSet, s.BudgetWindow = true, CeilTime(*w.Rules.BudgetWindow)
		s.BudgetSpare, s.BudgetRatio = w.Rules.SpareAttempts, w.Rules.ResendRatio
	}
	d := &Settings{Module: s, Zones: w.Zones, OpenCap: w.Caps.OpenCap, MaxStreams: w.Caps.MaxStreams,
		ConnectTimeout: span(w.Caps.ConnectTimeout), ConnIdle: span(w.Caps.ConnIdle),
		ConnPrice: w.Tariffs.Connection + w.Tariffs.Handshake}
	at := func(list []float64, i int, absent float64) float64 {
		if i < len(list) {
			return list[i]
		}
		return absent
	}
	for i, c := range w.Classes {
		v := choice.Vertical{
			SLO: FloorTime(c.Aim), SLOStretch: c.AimStretch, Deadline: FloorTime(c.Deadline),
			DedupWindow: FloorTime(c.MemorySpan), Utility: c.Worth, LateUtility: c.LateWorth,
			Need: at(w.FamilyInfo.NeedByClass, i, 1), Floor: at(w.FamilyInfo.MinShare, i, 1),
			PartialEarns: at(w.FamilyInfo.PartialEarns, i, 0),
		}
		if i < len(w.FamilyInfo.SecondStep) {
			v.SecondStep = w.FamilyInfo.SecondStep[i]
		}
		switch c.Effect {
		case "repeatable":
			v.Effect = choice.Repeatable
		case "by_key":
			v.Effect = choice.Deduplicated
		case "once":
			v.Effect = choice.SideEffecting
		default:
			return nil, fmt.Errorf("classes[%d].effect: %q is unknown", i, c.Effect)
		}
		s.Verticals = append(s.Verticals, v)
		d.Verticals = append(d.Verticals, c.Name)
		d.Longest = max(d.Longest, span(c.Deadline))
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, choice.Tenant{PerSecond: t.AllowancePerS})
		d.Tenants = append(d.Tenants, t.Name)
	}
	return d, nil
}

// jsonFault words an error of the decoder so that it begins with the key at fault, where there is one.
func jsonFault(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		keys := strings.Split(wrong.Field, ".") // a field without a tag is named as in the struct
		for i, k := range keys {
			keys[i] = strings.ToLower(k[:1]) + k[1:]
		}
		return fmt.Errorf("%s: value of a wrong type: %s", strings.Join(keys, "."), wrong.Value)
	}
	return err
}

// check is a key and whether its value can't be used.
type check struct {
	key string
	bad bool
}

func firstBad(checks []check) error {
	for _, c := range checks {
		if c.bad {
			return fmt.Errorf("%s: missing or out of range", c.key)
		}
	}
	return nil
}

// forRouter checks what a router needs beyond what the simulator's side does.
func (s *Settings) forRouter() error {
	m := s.Module
	checks := []check{
		{"tick", m.Tick < 1},
		{"zone", m.Zone < 0 || m.Zone >= max(len(s.Zones), 1)},
		{"zones", len(s.Zones) == 0},
		{"caps.connect_timeout", s.ConnectTimeout <= 0},
		{"caps.conn_idle", s.ConnIdle < 0},
		{"caps.max_streams", s.MaxStreams < 0},
		{"caps.open_cap", s.OpenCap < 0},
		{"family_info.batch", m.Batch < 0},
		{"family_info.slices", m.Shards > 1<<20},
	}
	seen := map[string]bool{}
	for i, v := range m.Verticals {
		name := s.Verticals[i]
		checks = append(checks, []check{
			{fmt.Sprintf("classes[%d].name", i), name == "" || seen[name]},
			{fmt.Sprintf("classes[%d].aim", i), v.SLO <= 0},
			{fmt.Sprintf("classes[%d].deadline", i), v.Deadline <= 0},
			{fmt.Sprintf("family_info.need_by_class[%d]", i), v.Need <= 0 || v.Need > 1},
			{fmt.Sprintf("family_info.min_share[%d]", i), v.Floor <= 0 || v.Floor > 1},
			{fmt.Sprintf("family_info.second_step[%d]", i), v.SecondStep != 0}, // not in this protocol
		}...)
		seen[name] = true
	}
	return firstBad(checks)
}

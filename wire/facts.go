package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"moleshift/choice"
)

// decodeFacts turns the settings of CONFIGURE into those of a root. Unknown keys are skipped.
func decodeFacts(seed uint64, text string) (*choice.Settings, error) {
	var w struct {
		Balancers int
		Zone      int
		Tick      float64
		Caps      struct {
			Cancel        bool
			MayProbe      bool    `json:"may_probe"`
			MaxAttempts   int     `json:"max_attempts"`
			SecondCopies  bool    `json:"second_copies"`
			RetryAfter    bool    `json:"retry_after"`
			MaxRetryAfter float64 `json:"max_retry_after"`
		}
		Classes []struct {
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
			AllowancePerS float64 `json:"allowance_per_s"`
		}
		Tariffs struct {
			CrossZone float64 `json:"cross_zone"`
		}
		WorthBy string `json:"worth_by"`
	}
	if err := json.Unmarshal([]byte(text), &w); err != nil {
		return nil, fmt.Errorf("facts: %w", err)
	}
	if len(w.Classes) == 0 || w.FamilyInfo.Slices < 1 || w.FamilyInfo.Sets < 1 || w.FamilyInfo.Span < 1 {
		return nil, errors.New("facts: classes, slices, sets or span are missing")
	}
	s := &choice.Settings{
		Seed: seed, Roots: max(w.Balancers, 1), Tick: ceilTime(w.Tick),
		Zone: w.Zone, CrossZone: w.Tariffs.CrossZone,
		Shards: w.FamilyInfo.Slices, Cells: w.FamilyInfo.Sets, Span: w.FamilyInfo.Span,
		Batch: w.FamilyInfo.Batch, Overhead: max(w.FamilyInfo.Overhead, 0),
		OverShareUtility: w.OverShareWorth, UtilityByWork: w.WorthBy == "work",
		MaxCalls: max(w.Caps.MaxAttempts, 1), SecondCopies: w.Caps.SecondCopies, MayCancel: w.Caps.Cancel,
		MayProbe: w.Caps.MayProbe, HoldOff: w.Caps.RetryAfter, MaxHoldOff: floorTime(w.Caps.MaxRetryAfter),
		ProbeReports: w.Report.Via == "on_probe", AskForList: w.MembershipMode == "on_request",
		ColdShare: w.Rules.ColdShare, ColdTime: ceilTime(w.Rules.Cold),
		FallMultiple: w.Rules.FallMultiple, FallTime: ceilTime(w.Rules.Fall),
	}
	if w.Rules.BudgetWindow != nil {
		s.BudgetSet, s.BudgetWindow = true, ceilTime(*w.Rules.BudgetWindow)
		s.BudgetSpare, s.BudgetRatio = w.Rules.SpareAttempts, w.Rules.ResendRatio
	}
	at := func(list []float64, i int, absent float64) float64 {
		if i < len(list) {
			return list[i]
		}
		return absent
	}
	for i, c := range w.Classes {
		v := choice.Vertical{
			SLO: floorTime(c.Aim), SLOStretch: c.AimStretch, Deadline: floorTime(c.Deadline),
			DedupWindow: floorTime(c.MemorySpan), Utility: c.Worth, LateUtility: c.LateWorth,
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
			return nil, fmt.Errorf("facts: class %d has an unknown effect %q", i, c.Effect)
		}
		s.Verticals = append(s.Verticals, v)
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, choice.Tenant{PerSecond: t.AllowancePerS})
	}
	return s, nil
}

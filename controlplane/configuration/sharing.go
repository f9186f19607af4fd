package configuration

// Which tenants have shared kept prompts, and since when the present ones do.

import (
	"slices"

	"github.com/samber/lo"
)

// mostSharers bounds the names that are remembered of tenants that have shared kept prompts.
const mostSharers = 4096

// sharers gives the names of the tenants that share kept prompts with others.
func (d *Document) sharers() []string {
	return lo.FilterMap(d.Tenants, func(t Tenant, _ int) (string, bool) { return t.Name, !t.Isolated })
}

// share notes in the state after an order who shares kept prompts under its configuration. What a tenant's requests made while it shared
// stands among what all sharers use, and nobody can tell it apart: where such a tenant is isolated now, also one that was removed
// meanwhile, the sharers begin anew with this version.
func (s *State) share(before *State, d *Document) {
	s.SharedSince, s.Sharers, s.SharingKnown = before.SharedSince, before.Sharers, true
	if !before.SharingKnown && len(before.Body) > 0 {
		if old, err := Parse(before.Body); err == nil {
			s.Sharers = old.sharers()
		}
	}
	isWalled := func(t Tenant) bool { return t.Isolated && slices.Contains(s.Sharers, t.Name) }
	all := lo.Union(s.Sharers, d.sharers())
	if slices.ContainsFunc(d.Tenants, isWalled) || len(all) > mostSharers {
		s.SharedSince, all = d.Version, d.sharers()
	}
	slices.Sort(all)
	s.Sharers = all
}

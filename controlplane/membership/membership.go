// Package membership decides who should be a member of a replicated register: whom to take in, who gives way, and whom to leave
// out. The change itself is made by agreement (package quorum).
//
// It is pure: silence, applicants and announced departures are given to it.
package membership

import (
	"slices"
	"time"

	"moleshift/controlplane/quorum"
)

// Settings are the figures of the decisions.
type Settings struct {
	Suspect time.Duration // silent for so long, a member may be gone: nobody is added until that is known
	Gone    time.Duration // silent for so long, a member gives way to an applicant
	Drop    time.Duration // silent for so long, a member is left out where the others suffice
}

// Tolerance is what must be borne while every rule is kept.
type Tolerance struct {
	Machines int  // members that may be lost at one time
	Places   bool // whole zones or regions may be lost: any minority of the members may be in one
}

// losses is how many of n members may be lost at one time.
func (t Tolerance) losses(n int) int {
	if t.Places {
		return (n - 1) / 2
	}
	return max(t.Machines, 1)
}

// Least is the smallest number of members to which n of them may shrink: where losses of them have lost their disks, the others
// must still be a majority. Below it a member that is silent or leaves keeps its seat, for its disk may return.
func (t Tolerance) Least(n int) int { return 2*t.losses(n) + 1 }

// View is what one member sees.
type View struct {
	Members    []quorum.Member
	Applicants []quorum.Member // nodes that ask to be taken in, in a fixed order
	Silence    func(id string) time.Duration
	Leaving    func(id string) bool // it was told to end
	Tolerance  Tolerance
}

// Next gives the members that should be, one change away from the present ones; nil: they are as they should be.
func (s Settings) Next(v *View) []quorum.Member {
	for _, applicant := range v.Applicants {
		if next := s.takeIn(v, applicant); next != nil {
			return next
		}
	}
	if len(v.Members) <= v.Tolerance.Least(len(v.Members)) {
		return nil
	}
	for i, m := range v.Members {
		if v.Leaving(m.ID) || v.Silence(m.ID) > s.Drop {
			return slices.Delete(slices.Clone(v.Members), i, i+1)
		}
	}
	return nil
}

// takeIn gives the members with an applicant among them; nil: it has to wait, or is one of them already.
func (s Settings) takeIn(v *View, applicant quorum.Member) []quorum.Member {
	isApplicant := func(m quorum.Member) bool { return m.ID == applicant.ID }
	if slices.ContainsFunc(v.Members, isApplicant) || v.Leaving(applicant.ID) {
		return nil
	}
	next := slices.Clone(v.Members)
	i, wait := s.givesWay(v, applicant.Address)
	if wait {
		return nil
	}
	if i >= 0 {
		next = slices.Delete(next, i, i+1)
	}
	return append(next, applicant)
}

// givesWay finds the member that an applicant replaces: the one that had its address, else one that leaves, else the one silent
// for longest. -1: the applicant is added. wait: a member may be gone, and whether it is will show soon.
func (s Settings) givesWay(v *View, address string) (i int, wait bool) {
	i = slices.IndexFunc(v.Members, func(m quorum.Member) bool { return m.Address == address })
	if i >= 0 {
		return i, v.Silence(v.Members[i].ID) < s.Suspect // one that answers still is no older than the applicant
	}
	i = slices.IndexFunc(v.Members, func(m quorum.Member) bool { return v.Leaving(m.ID) })
	if i >= 0 {
		return i, false
	}
	longest := time.Duration(-1)
	for n, m := range v.Members {
		if silence := v.Silence(m.ID); silence > longest {
			longest, i = silence, n
		}
	}
	switch {
	case longest > s.Gone:
		return i, false
	case longest > s.Suspect:
		return -1, true
	}
	return -1, false
}

package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"moleshift/controlplane/quorum"
)

var figures = Settings{Suspect: 600 * time.Millisecond, Gone: 1500 * time.Millisecond, Drop: 3 * time.Second}

func members(names string) []quorum.Member {
	var out []quorum.Member
	for _, name := range strings.Split(names, "") {
		out = append(out, quorum.Member{ID: name, Address: "at-" + name})
	}
	return out
}

func names(members []quorum.Member) string {
	out := ""
	for _, m := range members {
		out += m.ID
	}
	return out
}

func TestNext(t *testing.T) {
	for _, row := range []struct {
		name, members string
		applicant     string // ID, and the address where it differs
		silent        map[string]time.Duration
		leaving       string
		machines      int
		want          string
	}{
		{name: "nothing to do", members: "abc", machines: 1},
		{name: "a newcomer is added", members: "abc", applicant: "d", machines: 1, want: "abcd"},
		{name: "a newcomer takes the place of one that is gone", members: "abc", applicant: "d", silent: map[string]time.Duration{"b": 2 * time.Second}, machines: 1, want: "acd"},
		{name: "of two that are gone, of the one gone for longer", members: "abc", applicant: "d", silent: map[string]time.Duration{"a": 2 * time.Second, "b": 3 * time.Second}, machines: 1, want: "acd"},
		{name: "it waits where one may be gone", members: "abc", applicant: "d", silent: map[string]time.Duration{"b": time.Second}, machines: 1},
		{name: "it takes the place of one that leaves", members: "abc", applicant: "d", leaving: "a", machines: 1, want: "bcd"},
		{name: "a machine with a new disk takes its own place", members: "abc", applicant: "x b", silent: map[string]time.Duration{"b": time.Second}, machines: 1, want: "acx"},
		{name: "but not while the old one answers", members: "abc", applicant: "x b", machines: 1},
		{name: "a member that applies is one already", members: "abc", applicant: "c", machines: 1},
		{name: "one that leaves is not taken in", members: "abc", applicant: "d", leaving: "d", machines: 1},
		{name: "one of four that leaves is left out", members: "abcd", leaving: "c", machines: 1, want: "abd"},
		{name: "one of three that leaves keeps its seat", members: "abc", leaving: "c", machines: 1},
		{name: "one of four that is silent is left out", members: "abcd", silent: map[string]time.Duration{"a": 4 * time.Second}, machines: 1, want: "bcd"},
		{name: "not at once: it may restart", members: "abcd", silent: map[string]time.Duration{"a": 2 * time.Second}, machines: 1},
		{name: "of five where two disks may be lost none is left out", members: "abcde", leaving: "a", silent: map[string]time.Duration{"b": time.Minute}, machines: 2},
		{name: "of six one is", members: "abcdef", silent: map[string]time.Duration{"b": time.Minute}, machines: 2, want: "acdef"},
	} {
		t.Run(row.name, func(t *testing.T) {
			v := &View{
				Members: members(row.members), Tolerance: Tolerance{Machines: row.machines},
				Silence: func(id string) time.Duration { return row.silent[id] },
				Leaving: func(id string) bool { return id == row.leaving },
			}
			if id, address, _ := strings.Cut(row.applicant, " "); id != "" {
				if address == "" {
					address = id
				}
				v.Applicants = []quorum.Member{{ID: id, Address: "at-" + address}}
			}
			must.Eq(t, row.want, names(figures.Next(v)))
		})
	}
}

// Whatever a member sees: a change adds one at most and takes one away at most, and never leaves fewer members than bear the losses
// of their disks.
func TestNextKeepsEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members("abcdefgh")
		v := &View{
			Members:    all[:rapid.IntRange(1, 7).Draw(t, "members")],
			Applicants: all[rapid.IntRange(0, 7).Draw(t, "applicants"):],
			Tolerance:  Tolerance{Machines: rapid.IntRange(0, 2).Draw(t, "machines"), Places: rapid.Bool().Draw(t, "places")},
		}
		silent, leaving := map[string]time.Duration{}, map[string]bool{}
		for _, m := range all {
			silent[m.ID] = time.Duration(rapid.IntRange(0, 5000).Draw(t, "silence")) * time.Millisecond
			leaving[m.ID] = rapid.Bool().Draw(t, "leaving")
		}
		v.Silence = func(id string) time.Duration { return silent[id] }
		v.Leaving = func(id string) bool { return leaving[id] }
		next := figures.Next(v)
		if next == nil {
			return
		}
		gone, come := 0, 0
		for _, m := range v.Members {
			if !slices.Contains(next, m) {
				gone++
			}
		}
		for _, m := range next {
			if !slices.Contains(v.Members, m) {
				come++
			}
		}
		must.LessEq(t, 1, gone)
		must.LessEq(t, 1, come)
		least := min(len(v.Members), v.Tolerance.Least(len(v.Members)))
		must.GreaterEq(t, least, len(next), must.Sprint(fmt.Sprint(names(v.Members), " to ", names(next))))
	})
}

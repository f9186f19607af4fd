// Package explore visits every state that a small world of the pure decision packages can reach, breadth first, and checks what must
// hold in each. It finds the shortest way to a state in which it does not.
//
// The worlds use the same code as the daemons: ballots and memberships of package quorum, orders of package configuration, who is a
// member (membership), who acts alone (singleton), what a request may still do (attempt).
package explore

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// World is one state of a small world. It never changes: a move gives another one.
type World interface {
	Key() string   // two worlds with the same key go on alike
	Moves() []Move // in a fixed order
	Check() error  // what must hold in this state
}

// Move is one thing that can happen next.
type Move struct {
	Name string
	Next func() World
}

// Report is what an exploration came to.
type Report struct {
	States    int
	Depth     int  // of the longest of the shortest ways to a state
	Complete  bool // every state that can be reached was visited
	Seconds   float64
	Violation error    // nil: every state visited is in order
	Trace     []string // the moves that lead to the violation
}

// visit is a visited state, as far as its way is kept.
type visit struct {
	parent int
	move   string
	depth  int
}

// Explore visits the states from start on, at most so many.
func Explore(start World, most int) *Report {
	began := time.Now()
	report := &Report{}
	seen := map[uint64]bool{xxhash.Sum64String(start.Key()): true}
	visits := []visit{{parent: -1}}
	worlds := []World{start}
	trace := func(i int) []string {
		var names []string
		for ; visits[i].parent >= 0; i = visits[i].parent {
			names = append([]string{visits[i].move}, names...)
		}
		return names
	}
	finish := func(complete bool) *Report {
		report.States, report.Complete, report.Seconds = len(visits), complete, time.Since(began).Seconds()
		return report
	}
	if err := start.Check(); err != nil {
		report.Violation = err
		return finish(false)
	}
	for i := 0; i < len(worlds); i++ {
		w := worlds[i]
		worlds[i] = nil
		report.Depth = visits[i].depth
		for _, m := range w.Moves() {
			next := m.Next()
			key := xxhash.Sum64String(next.Key())
			if seen[key] {
				continue
			}
			seen[key] = true
			visits = append(visits, visit{i, m.Name, visits[i].depth + 1})
			worlds = append(worlds, next)
			if err := next.Check(); err != nil {
				report.Violation, report.Trace = err, trace(len(visits)-1)
				return finish(false)
			}
			if len(visits) >= most {
				return finish(false)
			}
		}
	}
	return finish(true)
}

// String sums a report up in a line.
func (r *Report) String() string {
	text := fmt.Sprintf("%d states, depth %d, %.1f s", r.States, r.Depth, r.Seconds)
	switch {
	case r.Violation != nil:
		text += fmt.Sprintf(": %v after %d moves", r.Violation, len(r.Trace))
	case !r.Complete:
		text += ", cut short"
	}
	return text
}

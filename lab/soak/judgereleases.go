package soak

// Judging releases by what the operator was told and read, and by what servers ran.

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// beginsWithin is how long after its acknowledgement a release can't have been rolled back for what its servers answered.
	beginsWithin = 400 * time.Millisecond
	// releaseSlack is how long after its deadline a release may be read to have ended, where all nodes that count were killed once: the time
	// that they are away, and that of a read at a node that is.
	releaseSlack = 3 * time.Second
)

// judgeSoftware looks at runs by servers of versions that nobody ordered, or that were rolled back and not ordered again.
func (j *judge) judgeSoftware(r *Request) {
	for _, run := range j.runs[r.ID] {
		if run.Software == "" || run.Software == firstSoftware {
			continue
		}
		order := j.newestOrder(run.Software, run.Began)
		switch {
		case order == nil:
			j.add(r, "ROUTE", "server %s of version %s ran it, which was never ordered", run.Server, run.Software)
		case order.State == rolledBack && r.Sent > order.Ended+j.bounds.Apply && !j.outOfTouch(r):
			j.add(r, "ROUTE", "server %s of version %s ran it, %v after that was rolled back", run.Server, run.Software, r.Sent-order.Ended)
		}
	}
}

// newestOrder finds the last order for a version that was sent before a moment; nil: there was none.
func (j *judge) newestOrder(version string, before time.Duration) *ReleaseOrder {
	for i := len(j.Releases) - 1; i >= 0; i-- {
		if o := &j.Releases[i]; o.Version == version && o.Sent <= before {
			return o
		}
	}
	return nil
}

// judgeReleases looks at whether orders are acknowledged in time, and whether those that were are carried out and shown.
func (j *judge) judgeReleases() {
	for i := range j.Releases {
		o, next := &j.Releases[i], never
		if i+1 < len(j.Releases) {
			next = j.Releases[i+1].Sent
		}
		if o.Acked == 0 {
			if !j.coreStruck(o.Sent-j.bounds.Contact, o.Sent+ackTimeout) {
				j.addRelease(o, "ACKS", "an order for %s was not acknowledged in %v", o.Version, ackTimeout)
			}
			continue
		}
		if o.Ended > o.Acked+releaseDeadline+releaseSlack && j.isTimely(o) {
			j.addRelease(o, "DUTY", "a release to %s ended %v after its order, with a deadline of %v", o.Version, o.Ended-o.Acked, releaseDeadline)
		}
		if o.Ended == 0 {
			j.addRelease(o, "LOST", "an acknowledged order for %s did not end in %v", o.Version, releaseDeadline+releaseEndWithin)
		}
		for _, read := range j.ReleaseReads {
			if read.Sent <= o.Acked || read.Sent >= next {
				continue
			}
			switch {
			case read.Status == http.StatusNotFound, read.Status == http.StatusOK && read.Version != o.Version:
				j.addRelease(o, "LOST", "a read at %.3f s gave status %d, %s of %q behind an acknowledged order for %s", read.Sent.Seconds(), read.Status, read.State, read.Version, o.Version)
			case read.State == rolledBack && read.Sent < o.Acked+beginsWithin:
				j.addRelease(o, "LOST", "a read at %.3f s gave rolled_back right behind the acknowledged order for %s", read.Sent.Seconds(), o.Version)
			default:
				continue
			}
			break
		}
	}
}

// isTimely tells whether a release must end by its deadline: nothing struck a node that counts but one kill of all of them, or a reload.
func (j *judge) isTimely(o *ReleaseOrder) bool {
	first, last := never, time.Duration(0)
	for _, s := range j.Strikes {
		if s.Node >= coreNodes || s.Name == Reload || s.At > o.Ended || s.Until < o.Sent-j.bounds.Contact {
			continue
		}
		if s.Name != KillAll {
			return false
		}
		first, last = min(first, s.At), max(last, s.Until)
	}
	return last-first < releaseSlack+j.bounds.Contact || first == never
}

// coreStruck tells whether anything but a reload struck a node that counts for the quorum.
func (j *judge) coreStruck(from, until time.Duration) bool {
	return slices.ContainsFunc(j.Strikes, func(s Strike) bool {
		return s.Name != Reload && s.Node < coreNodes && s.At < until && s.Until > from
	})
}

// addRelease notes a violation with what struck nodes about the order.
func (j *judge) addRelease(o *ReleaseOrder, rule, format string, args ...any) {
	story := []string{fmt.Sprintf("%9.3f s  order for %s sent first, acknowledged %.3f s, ended %.3f s: %s", o.Sent.Seconds(), o.Version, o.Acked.Seconds(), o.Ended.Seconds(), o.State)}
	for _, s := range j.Strikes {
		if s.At < max(o.Ended, o.Sent+releaseDeadline) && s.Until > o.Sent-j.bounds.Version {
			story = append(story, fmt.Sprintf("%9.3f s  %s to node %d", s.At.Seconds(), s.Name, s.Node))
		}
	}
	j.found = append(j.found, Violation{rule, fmt.Sprintf(format, args...), story})
}

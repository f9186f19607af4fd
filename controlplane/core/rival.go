package core

import (
	"time"

	"moleshift/controlplane/quorum"
)

const (
	yieldPhases = 3                // phases of a round that another proposer is given to end it
	mostYield   = 12 * time.Second // the same, at the most
)

// rival is the highest ballot that was met, and when it was first met. The zero rival is none.
type rival struct {
	ballot quorum.Ballot
	at     time.Time
}

// met gives the rival after a ballot was met.
func (x rival) met(ballot quorum.Ballot) rival {
	if x.ballot.Less(ballot) {
		return rival{ballot, time.Now()}
	}
	return x
}

// left is how much longer the rival may be in the middle of its round, where a phase takes so long; 0 or less: it is not waited for.
func (x rival) left(phase time.Duration) time.Duration {
	return min(yieldPhases*phase, mostYield) - time.Since(x.at)
}

package outlier

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

func TestUnreachableServersAreEjectedForLongerAndLonger(t *testing.T) {
	var s State
	s.Unreachable(0)
	must.Eq(t, Ejected, s.Standing(400*ms))
	s.Unreachable(100 * ms) // at the same time as the first: no longer for that
	must.Eq(t, Good, s.Standing(500*ms))
	s.Unreachable(500 * ms)
	must.Eq(t, Ejected, s.Standing(1400*ms))
	must.Eq(t, Good, s.Standing(1500*ms))
	for now := 2 * time.Second; now < time.Minute; now += 10 * time.Second {
		s.Unreachable(now)
		must.Eq(t, Good, s.Standing(now+longestSpan))
	}
	s.Succeeded()
	s.Unreachable(time.Hour)
	must.Eq(t, Good, s.Standing(time.Hour+firstEjection))
}

func TestOneBrokenAnswerEjectsNobody(t *testing.T) {
	var s State
	s.Broke(0)
	must.Eq(t, Good, s.Standing(0))
	s.Succeeded()
	s.Broke(0)
	must.Eq(t, Good, s.Standing(0))
	s.Broke(0)
	must.Eq(t, Ejected, s.Standing(0))
}

func TestSilenceIsNoted(t *testing.T) {
	var s State
	s.Sent(0)
	must.Eq(t, Good, s.Standing(800*ms))
	must.Eq(t, Stalled, s.Standing(1000*ms))
	s.Byte(1000 * ms)
	must.Eq(t, Good, s.Standing(1100*ms))
	s.Ended()
	must.Eq(t, Good, s.Standing(time.Hour), must.Sprint("nothing is owed"))
	s.Sent(time.Hour)
	must.Eq(t, Good, s.Standing(time.Hour+100*ms))
}

func TestFullServersComeAfterOthersForAMoment(t *testing.T) {
	var s State
	s.Full(0)
	must.Eq(t, Busy, s.Standing(50*ms))
	must.Eq(t, Good, s.Standing(100*ms))
}

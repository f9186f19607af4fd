package soak

// What the stand-in servers do wrong, drawn from the seed: connections that end behind a request or within an answer, answers that come
// once more or in part, failures of their own, and times in which orders to load weights get no answer.

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	breakShare   = 0.04 // of the runs end with a closed connection: half of them before the answer
	deafEvery    = 14 * time.Second
	deafMostly   = 9 * time.Second // of these: longer than the bound on versions
	deafServerOf = 4               // one model server of so many is deaf now and then

	surplusShare  = 0.04 // of the answers of every other server come once more, in the place of the next
	unframedShare = 0.06 // of the streams have no length; half of these are reset on the way
	failureShare  = 0.03 // of the runs for whole answers end with a failure of the server's own
	deafToLeavers = 3    // one server of so many runs what waits although its caller has left
	closesIdleOf  = 4    // one server of so many closes connections that rest, and tells when
	lastShare     = 0.05 // of the answers say that their connection is closed behind them
	earlyShare    = 0.5  // of the requests with long bodies are turned away before these are in
	longBody      = 16 << 10
	brokenShare   = 0.03 // of the answers to runs, orders and questions for a report have a head that is none

	idleTimeout = 2 * time.Second // of servers that close connections that rest
)

// surplus is what a server sends in the place where the next answer is due, beside that.
type surplus int

const (
	noSurplus        surplus = iota
	turnedAway               // says that the earlier request was not run
	misdirected              // the same, in another way
	answered                 // has the earlier request's answer
	turnedAwayNoID           // says that some request was not run
	misdirectedNoID          // the same, in another way
	turnedAwayBegun          // says that the earlier request was not run, and breaks off within its head
	misdirectedBegun         // the same, in another way
	noAnswer                 // bytes that are none
	numSurplus       = iota
)

// framing is how a stream tells its end.
type framing int

const (
	inChunks      framing = iota
	unframed              // by the end of its connection
	unframedReset         // the same, and the connection is reset on the way
)

// breakPoint is where a server closes the connection of a request that it runs.
type breakPoint int

const (
	noBreak      breakPoint = iota
	beforeAnswer            // behind the last byte of the request
	withinAnswer
)

// serverFaults draws one server's faults.
type serverFaults struct {
	on      bool
	deaf    bool
	surplus bool
	goesOn  bool // a request that waits is run although its caller has left
	resets  bool // connections that come while nobody else may wait are reset
	idle    bool // connections that rest are closed

	draw *lockedRand
}

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (l *lockedRand) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// newServerFaults makes the faults of the server with the given number.
func newServerFaults(on bool, number int, random *rand.Rand) serverFaults {
	return serverFaults{
		on: on, deaf: number%deafServerOf == 0, surplus: number%2 == 0, goesOn: on && number%deafToLeavers == 0,
		resets: on && number%2 == 0, idle: on && number%closesIdleOf == 1,
		draw: &lockedRand{random: random},
	}
}

// drawBreak draws whether the server breaks off a run.
func (f *serverFaults) drawBreak() breakPoint {
	if !f.on {
		return noBreak
	}
	switch x := f.draw.float(); {
	case x < breakShare/2:
		return beforeAnswer
	case x < breakShare:
		return withinAnswer
	}
	return noBreak
}

// drawSurplus draws what the server sends once more behind an answer.
func (f *serverFaults) drawSurplus() surplus {
	if !f.on || !f.surplus {
		return noSurplus
	}
	x := f.draw.float() / surplusShare
	if x >= 1 {
		return noSurplus
	}
	return 1 + surplus(x*(numSurplus-1))
}

// drawCut draws where a text that is to break off does, behind its first bytes.
func (f *serverFaults) drawCut(text string, behind int) string {
	return text[:behind+int(f.draw.float()*float64(len(text)-behind))]
}

// ownFailures are statuses of runs that failed. None comes with Moleshift-Not-Executed, so all count as run.
var ownFailures = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout}

// drawFailure draws whether a run ends with a failure of the server's own, and its status.
func (f *serverFaults) drawFailure() (status int, failed bool) {
	if !f.on {
		return 0, false
	}
	x := f.draw.float() / failureShare
	if x >= 1 {
		return 0, false
	}
	return ownFailures[int(x*float64(len(ownFailures)))], true
}

// drawLast draws whether a connection is closed behind an answer.
func (f *serverFaults) drawLast() bool { return f.on && f.draw.float() < lastShare }

// drawEarly draws whether a request with a body of so many bytes is turned away before that is in.
func (f *serverFaults) drawEarly(body int64) bool {
	return f.on && body > longBody && f.draw.float() < earlyShare
}

// drawBrokenHead draws whether an answer's head is none, and how; nil: it is sound.
func (f *serverFaults) drawBrokenHead() *brokenAnswer {
	if !f.on || f.draw.float() >= brokenShare {
		return nil
	}
	return &brokenAnswer{
		head: brokenHeads[int(f.draw.float()*float64(len(brokenHeads)))], byte: noToken[int(f.draw.float()*float64(len(noToken)))],
		lingers: f.draw.float() < 0.5,
	}
}

// drawOddField draws the name and the value of a field that looks odd and is sound.
func (f *serverFaults) drawOddField() (name, value string) {
	if !f.on {
		return oddNames[0], oddValues[0]
	}
	return oddNames[int(f.draw.float()*float64(len(oddNames)))], oddValues[int(f.draw.float()*float64(len(oddValues)))]
}

// drawFraming draws how a stream tells its end.
func (f *serverFaults) drawFraming() framing {
	if !f.on {
		return inChunks
	}
	switch x := f.draw.float(); {
	case x < unframedShare/2:
		return unframedReset
	case x < unframedShare:
		return unframed
	}
	return inChunks
}

// drawBad draws whether an answer of bad software is a failure.
func (f *serverFaults) drawBad() bool { return f.draw.float() < badAnswerShare }

// isDeaf tells whether the server takes no orders at a moment of the run.
func (f *serverFaults) isDeaf(now time.Duration) bool {
	return f.on && f.deaf && now%deafEvery < deafMostly
}

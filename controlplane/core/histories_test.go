package core

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"moleshift/controlplane/quorum"
)

const (
	historyClients    = 3
	operationsEach    = 12
	operationDeadline = 900 * time.Millisecond // virtual; a lost message costs its caller CallTimeout
	mostFaultGap      = 120 * time.Millisecond // virtual; between two kills
	checkWithin       = 20 * time.Second       // of the real clock, for one history: a tenth of a second is usual
)

// Histories of appends and reads by several clients, while messages are lost, processes are killed and start again on their disks,
// are linearizable.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(24) {
		h := play(t, seed)
		must.Eq(t, porcupine.Ok, h.check(), must.Sprintf("seed %d (Unknown: the check took over %v)", seed, checkWithin))
		must.Greater(t, 10, h.certain(), must.Sprintf("seed %d: too little came about", seed))
	}
}

// A seed gives the same history each time, to the nanosecond.
func TestSeedGivesOneHistory(t *testing.T) {
	for seed := range uint64(6) {
		first := play(t, seed)
		must.Eq(t, first, play(t, seed), must.Sprintf("seed %d", seed))
	}
}

// play plays one history in virtual time.
func play(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{}
	inVirtualTime(t, func(t *testing.T) {
		n := 3 + int(seed%4)
		net := newNetwork(t, n, seed)
		net.setLoss(12)
		start := time.Now()
		var clients sync.WaitGroup
		for c := range historyClients {
			clients.Go(func() {
				draw := rand.New(rand.NewPCG(seed, uint64(c)))
				for op := range operationsEach {
					time.Sleep(time.Duration(draw.Int64N(int64(mostDelay))))
					driver, text, read := net.driver(draw.IntN(n)), fmt.Sprintf("%d.%d,", c, op), draw.IntN(3) == 0
					h.note(run(net, driver, start, c, text, read))
				}
			})
		}
		stop := make(chan struct{})
		var faults sync.WaitGroup
		faults.Go(func() { killByLot(t, net, seed, n, stop) })
		clients.Wait()
		close(stop)
		faults.Wait()
		net.setLoss(0)
		final, err := net.driver(0).Refresh(Config, time.Now().Add(time.Minute))
		must.NoError(t, err)
		h.final = string(final.Value.Data)
	})
	h.sort()
	return h
}

// killByLot kills a process now and then and starts it in the same moment: memory is lost, the disk is not.
func killByLot(t *testing.T, net *network, seed uint64, n int, stop <-chan struct{}) {
	draw := rand.New(rand.NewPCG(seed, 99))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(draw.Int64N(int64(mostFaultGap)))):
			net.start(t, net.member(draw.IntN(n)))
		}
	}
}

// operation is an append or a read, as its client saw it.
type operation struct {
	client    int
	call, end int64  // nanoseconds since the start
	text      string // appended; empty: a read
	content   string // that a read gave
	unknown   bool   // an append with no answer: it comes about at any later moment, or never
}

// run has one client do one operation. A read that has no answer says nothing and is nil.
func run(net *network, r *Registers, start time.Time, client int, text string, read bool) *operation {
	op := &operation{client: client, call: time.Since(start).Nanoseconds()}
	deadline := time.Now().Add(operationDeadline)
	var err error
	if read {
		var k Known
		k, err = r.Refresh(Config, deadline)
		op.content = string(k.Value.Data)
	} else {
		op.text = text
		err = appendOnce(r, deadline, text)
	}
	if !net.lives(r) {
		err = errLost // the process was killed meanwhile: nobody got its answer
	}
	op.end = time.Since(start).Nanoseconds()
	if err == nil {
		return op
	}
	if read {
		return nil
	}
	op.unknown, op.end = true, math.MaxInt64
	return op
}

// appendOnce appends a text. One that is sent again must not come about twice: it looks for itself first, as orders of the operator do.
func appendOnce(r *Registers, deadline time.Time, text string) error {
	_, err := r.Change(Config, deadline, func(v quorum.Value) (quorum.Value, error) {
		if strings.Contains(string(v.Data), text) {
			return v, ErrUnchanged
		}
		v.Data = append([]byte(string(v.Data)), text...)
		return v, nil
	})
	if errors.Is(err, ErrUnchanged) {
		return nil
	}
	return err
}

// history is what clients saw, and what was there in the end.
type history struct {
	mu         sync.Mutex
	operations []operation
	final      string
}

func (h *history) note(op *operation) {
	if op == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, *op)
}

func (h *history) sort() {
	slices.SortFunc(h.operations, func(a, b operation) int {
		return cmp.Or(cmp.Compare(a.call, b.call), cmp.Compare(a.client, b.client))
	})
}

// certain counts the operations that had an answer.
func (h *history) certain() int {
	n := 0
	for _, op := range h.operations {
		if !op.unknown {
			n++
		}
	}
	return n
}

// step is an operation by the versions of the content, which are the counts of texts in it: an append leads from the version before
// to the version, a read finds the version.
type step struct {
	read    bool
	version int
}

// versions lets porcupine look for an order of steps. Each version is made by one append alone, so that at each moment no more is
// to be tried than what is under way at once.
var versions = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		version, s := state.(int), input.(step)
		if s.read {
			return s.version == version, version
		}
		return s.version == version+1, s.version
	},
}

// check tells whether the history is linearizable. The final content, read once all had ended, gives each append its place: one with
// no answer that is not in it can come after all that was seen, and is left out; any other has to be in it, once.
func (h *history) check() porcupine.CheckResult {
	places := map[string]int{}
	texts := strings.SplitAfter(h.final, ",")
	for i, text := range texts[:len(texts)-1] {
		if places[text] != 0 {
			return porcupine.Illegal // it came about twice
		}
		places[text] = i + 1
	}
	var steps []porcupine.Operation
	for _, op := range h.operations {
		s := step{read: op.text == "", version: places[op.text]}
		switch {
		case s.read && !strings.HasPrefix(h.final, op.content):
			return porcupine.Illegal // it was seen and is gone
		case s.read:
			s.version = strings.Count(op.content, ",")
		case s.version == 0 && op.unknown:
			continue
		case s.version == 0:
			return porcupine.Illegal // it had an answer and is gone
		}
		steps = append(steps, porcupine.Operation{ClientId: op.client, Input: s, Call: op.call, Return: op.end})
	}
	return porcupine.CheckOperationsTimeout(versions, steps, checkWithin)
}

// The check sees what may not be, and allows what may.
func TestCheckOfHistories(t *testing.T) {
	a := operation{client: 0, call: 0, end: 10, text: "a,"}
	b := operation{client: 0, call: 20, end: 30, text: "b,"}
	unknown := operation{client: 1, call: 5, end: math.MaxInt64, text: "c,", unknown: true}
	read := func(call int64, content string) operation {
		return operation{client: 2, call: call, end: call + 5, content: content}
	}
	cases := []struct {
		name  string
		ops   []operation
		final string
		want  porcupine.CheckResult
	}{
		{"in order", []operation{a, read(12, "a,"), b, read(32, "a,b,")}, "a,b,", porcupine.Ok},
		{"a read beside an append sees it or not", []operation{a, read(8, ""), read(9, "a,")}, "a,", porcupine.Ok},
		{"an unknown append never came", []operation{a, unknown, b}, "a,b,", porcupine.Ok},
		{"an unknown append came late", []operation{a, unknown, read(12, "a,"), b}, "a,b,c,", porcupine.Ok},
		{"an old read", []operation{a, read(12, "")}, "a,", porcupine.Illegal},
		{"a read goes back", []operation{a, read(3, "a,"), read(9, "")}, "a,", porcupine.Illegal},
		{"an append is lost", []operation{a, b}, "b,", porcupine.Illegal},
		{"an append is lost at the end", []operation{a, b, read(32, "a,b,")}, "a,", porcupine.Illegal},
		{"an append came twice", []operation{a, b}, "a,b,a,", porcupine.Illegal},
		{"two appends in the wrong order", []operation{a, b}, "b,a,", porcupine.Illegal},
		{"an unknown append came before it was sent", []operation{unknown, read(-10, "c,")}, "c,", porcupine.Illegal},
	}
	for _, c := range cases {
		h := history{operations: c.ops, final: c.final}
		must.Eq(t, c.want, h.check(), must.Sprint(c.name))
	}
}

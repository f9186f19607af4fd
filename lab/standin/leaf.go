// Package standin is leaves and discovery on loopback sockets, speaking the frames and the list that the
// router speaks. Service times are timers, not burnt CPU, so that dozens of leaves fit on one machine. It
// must never be linked into the daemon.
//
// leaf.go owns what a leaf does: cores, a queue, reports, refusals when it is full.
package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"moleshift/codec"
)

// Leaf is one leaf. Its figures may not be changed while it serves.
type Leaf struct {
	Cores    int
	Speed    float64
	Queue    int                   // parts that may wait
	Overhead float64               // ms of work of a call beside its parts
	Work     time.Duration         // of a part whose query does not say
	Spread   bool                  // that work is drawn, exponentially, with Work as its mean
	OnRun    func(id string)       // a part begins to run; nil: nobody asks
	OnKeys   func(id, keys string) // the same, with the keys that it is asked for
	// Holds tells whether the leaf holds keys by its version of the map; then their name is the answer. nil: it knows no map.
	Holds func(keys string) (version int64, holds bool)
	// Answer is what a part's answer is: its end (200, 500, 503) and value; nil: a value made of the text and
	// the shard.
	Answer func(id, text string, shard int) (end int, value []byte)

	mu      sync.Mutex
	running int
	waiting []*job
	slow    float64
	manner  Manner
	spent   float64 // running mean of service times, ms
	conns   map[net.Conn]bool
	over    bool
	busy    time.Duration
	since   time.Time // busy counts from then
	Served  int
	Refused int
}

type job struct {
	list     map[string]string
	id, text string
	shard    int
	ms       float64
	came     time.Time
	until    time.Time
	gone     bool
	reply    func(letter byte, rest string)
}

const mostCall = 2 << 20

// Begin has it ready to work; Serve does so.
func (l *Leaf) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns, l.slow, l.since = map[net.Conn]bool{}, 1, time.Now()
}

// Serve takes connections until the listener is closed.
func (l *Leaf) Serve(listener net.Listener) {
	l.Begin()
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[c] = true
		over := l.over
		l.mu.Unlock()
		if over {
			c.Close()
			return
		}
		go func() {
			l.talk(c)
			c.Close()
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}()
	}
}

// Stop ends all connections; the listener is whoever's who made it.
func (l *Leaf) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	for c := range l.conns {
		c.Close()
	}
}

// Manner is how a leaf behaves beside being slow.
type Manner int

const (
	Well   Manner = iota
	Fails         // answers 500 at once
	Silent        // takes parts, works on them, and answers nothing
)

// Behave has it behave in a manner from now on.
func (l *Leaf) Behave(m Manner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.manner = m
}

// Slow has it take so many times as long from now on.
func (l *Leaf) Slow(times float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = times
}

// Reset has the counts begin anew.
func (l *Leaf) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy, l.since, l.Served, l.Refused = 0, time.Now(), 0, 0
}

// Utilisation is the share of its cores' time that was used since Reset.
func (l *Leaf) Utilisation() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.busy.Seconds() / max(time.Since(l.since).Seconds(), 1e-9) / float64(max(l.Cores, 1))
}

// talk reads frames from one router.
func (l *Leaf) talk(conn net.Conn) {
	var mu sync.Mutex
	write := func(letter byte, rest string) {
		mu.Lock()
		defer mu.Unlock()
		conn.Write(codec.AppendFrame(nil, letter, rest)) // an error shows in reading
	}
	mine := map[string]*job{}
	defer func() {
		l.mu.Lock()
		for _, j := range mine {
			j.gone = true
		}
		l.mu.Unlock()
	}()
	ring, frames := codec.NewRing(16<<10), codec.FrameReader{Most: mostCall}
	for {
		if _, err := ring.Fill(conn); err != nil {
			return
		}
		for {
			f, whole, err := frames.Next(ring)
			if err != nil {
				write(codec.LetterBroken, err.Error())
				return
			}
			if !whole {
				break
			}
			switch f.Letter {
			case codec.LetterCall:
				jobs, err := parse(f.Rest)
				if err != nil {
					write(codec.LetterBroken, err.Error())
					return
				}
				for i, j := range jobs {
					if i == 0 {
						j.ms += l.Overhead
					}
					if j.ms == 0 {
						if j.ms = l.Work.Seconds() * 1000; l.Spread {
							j.ms *= rand.ExpFloat64()
						}
					}
					j.reply = write
					mine[j.id] = j
					l.come(j)
				}
				if len(mine) > 4096 { // those that are long over
					clear(mine)
				}
			case codec.LetterGiveUp:
				if j := mine[string(f.Rest)]; j != nil {
					l.mu.Lock()
					j.gone = true
					l.mu.Unlock()
					delete(mine, j.id)
				}
			case codec.LetterProbe:
				write(f.Letter, "200")
			case codec.LetterLoad:
				l.mu.Lock()
				rep := l.report()
				l.mu.Unlock()
				write(f.Letter, rep)
			}
		}
	}
}

// parse reads the parts of a call: a line `ID SHARD d=MS LENGTH` and the text, for each.
func parse(rest []byte) (jobs []*job, err error) {
	in := bufio.NewReader(bytes.NewReader(rest))
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if line == "" {
				return jobs, nil
			}
			return nil, fmt.Errorf("a part's line does not end")
		}
		fields := strings.Fields(line)
		if len(fields) != 4 {
			return nil, fmt.Errorf("a part's line is malformed")
		}
		shard, err1 := strconv.Atoi(fields[1])
		list := pairsOf(fields[2])
		wait, err2 := strconv.Atoi(list["d"])
		length, err3 := strconv.Atoi(fields[3])
		if err1 != nil || err2 != nil || err3 != nil || length < 0 || length > codec.MostBody {
			return nil, fmt.Errorf("a part's line is malformed")
		}
		text := make([]byte, length)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, fmt.Errorf("a part's text ends too early")
		}
		jobs = append(
			jobs,
			&job{id: fields[0], list: list, shard: shard, text: string(text), ms: WorkOf(string(text), shard),
				until: time.Now().Add(time.Duration(wait) * time.Millisecond)},
		)
	}
}

// pairsOf are the pairs of a part's list.
func pairsOf(list string) map[string]string {
	m := map[string]string{}
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(pair, "=")
		m[name] = value
	}
	return m
}

// WorkText is a query's text that tells leaves the work of its parts, in ms by shard; WorkOf reads it, 0
// where it does not say.
func WorkText(work map[int]float64, shards []int) string {
	var b strings.Builder
	b.WriteString("work")
	for _, s := range shards {
		fmt.Fprintf(&b, " %d=%.3f", s, work[s])
	}
	return b.String()
}

// WorkOf see WorkText.
func WorkOf(text string, shard int) float64 {
	rest, ok := strings.CutPrefix(text, "work ")
	if !ok {
		return 0
	}
	for pair := range strings.SplitSeq(rest, " ") {
		if name, value, _ := strings.Cut(pair, "="); name == strconv.Itoa(shard) {
			ms, err := strconv.ParseFloat(value, 64)
			if err == nil && ms > 0 && ms < 1e7 {
				return ms
			}
		}
	}
	return 0
}

// ValueOf is how many bytes more than usual the value of a query's parts has, by its text: "value=N" among
// its words.
func ValueOf(text string) int {
	for pair := range strings.SplitSeq(text, " ") {
		if name, value, _ := strings.Cut(pair, "="); name == "value" {
			if n, err := strconv.Atoi(value); err == nil && n > 0 && n <= codec.MostBody {
				return n
			}
		}
	}
	return 0
}

// come takes a part, or turns it away.
func (l *Leaf) come(j *job) {
	l.mu.Lock()
	if l.Holds != nil {
		if version, holds := l.Holds(j.list["k"]); !holds {
			rep := l.report()
			l.mu.Unlock()
			j.reply(codec.LetterAnswer, fmt.Sprintf("%s 409 %d %s\n", j.id, version, rep))
			return
		}
	}
	if l.manner == Fails {
		rep := l.report()
		l.mu.Unlock()
		j.reply(codec.LetterAnswer, fmt.Sprintf("%s 500 0 %s\n", j.id, rep))
		return
	}
	if len(l.waiting) >= l.Queue && l.running >= l.Cores {
		l.Refused++
		rep := l.report()
		l.mu.Unlock()
		j.reply(codec.LetterAnswer, fmt.Sprintf("%s 503 0 %s\n", j.id, rep))
		return
	}
	j.came = time.Now()
	l.waiting = append(l.waiting, j)
	l.next(j.came)
	l.mu.Unlock()
}

// next begins what waits, on cores that are free; the lock is held. A core that came free at a time begins
// what waited by then at that time, however late its timer was: else late timers would make each core slower
// than its speed.
func (l *Leaf) next(free time.Time) {
	for l.running < l.Cores && len(l.waiting) > 0 {
		j := l.waiting[0]
		l.waiting = l.waiting[1:]
		begin := free
		if j.came.After(begin) {
			begin = j.came
		}
		if j.gone || begin.After(j.until) || l.over {
			continue
		}
		l.running++
		if l.OnRun != nil {
			l.OnRun(j.id)
		}
		if l.OnKeys != nil {
			l.OnKeys(j.id, j.list["k"])
		}
		took := time.Duration(j.ms * l.slow / l.Speed * float64(time.Millisecond))
		end := begin.Add(took)
		time.AfterFunc(time.Until(end), func() {
			l.mu.Lock()
			l.running--
			l.busy += took
			l.Served++
			l.spent += 0.1 * (took.Seconds()*1000 - l.spent)
			rep, gone := l.report(), j.gone || l.manner == Silent
			l.next(end)
			l.mu.Unlock()
			if !gone && l.Holds != nil {
				j.reply(codec.LetterAnswer, fmt.Sprintf("%s 200 1 %s\n%s", j.id, rep, j.list["k"]))
			} else if !gone && l.Answer != nil {
				end, value := l.Answer(j.id, j.text, j.shard)
				j.reply(codec.LetterAnswer, fmt.Sprintf("%s %d 1 %s\n%s", j.id, end, rep, value))
			} else if !gone {
				h := fnv.New64a()
				fmt.Fprintf(h, "%s/%d", j.text, j.shard)
				j.reply(codec.LetterAnswer, fmt.Sprintf("%s 200 %d %s\n%016x%s", j.id, h.Sum64()%1000, rep, h.Sum64(),
					strings.Repeat("x", ValueOf(j.text))))
			}
		})
	}
}

// report is what it says of its load; the lock is held.
func (l *Leaf) report() string {
	return fmt.Sprintf(
		"inflight=%d,queue=%d,latency_ms=%.2f",
		l.running+len(l.waiting),
		len(l.waiting),
		l.spent,
	)
}

package capture

// recorder.go owns the recording of what a router serves: a bounded queue, a goroutine that writes files by size, and the
// count of what was left out. It must never make the router wait, and never hold more memory than it may.

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Settings is what a recorder is told at its start.
type Settings struct {
	Dir     string
	Router  string
	Shards  int
	Sample  float64       // share of queries that are recorded
	Memory  int64         // bytes that may wait to be written
	File    int64         // bytes of a file, after which the next is begun
	Files   int           // that are kept; the oldest go
	Flush   time.Duration // at most, after which what was recorded is in a file
	KeyFile string        // secret for the hashes of keys; empty: one of chance, for this process alone
}

const (
	suffix      = ".molecap"
	queueLength = 8192
	leastSecret = 16
	perQuery    = 160 // bytes of a query, its parts and calls in memory, about
	perPart     = 96
	perCall     = 64
)

// Recorder records. Its methods but Run are the router's goroutine's.
type Recorder struct {
	set    Settings
	log    zerolog.Logger
	secret []byte
	queue  chan *Query
	begun  time.Time
	seen   uint64

	held     atomic.Int64 // bytes that wait
	Recorded atomic.Int64
	Dropped  atomic.Int64 // as they did not fit, or could not be written
}

// NewRecorder makes one; nothing is written before Run.
func NewRecorder(set Settings, log zerolog.Logger) (*Recorder, error) {
	r := &Recorder{set: set, log: log, queue: make(chan *Query, queueLength), begun: time.Now()}
	if set.KeyFile != "" {
		secret, err := os.ReadFile(set.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("capture.key_file: %w", err)
		}
		if len(secret) < leastSecret {
			return nil, fmt.Errorf("capture.key_file: %s holds %d bytes: %d at least", set.KeyFile, len(secret), leastSecret)
		}
		r.secret = secret
	} else {
		r.secret = make([]byte, sha256.Size)
		rand.Read(r.secret) // never fails
	}
	if info, err := os.Stat(set.Dir); err != nil || !info.IsDir() {
		return nil, fmt.Errorf("capture.dir: %s is no folder", set.Dir)
	}
	return r, nil
}

// Key is a keyed hash of what a query is about: the same key has the same hash, and nobody without the secret can tell which.
func (r *Recorder) Key(text string) uint64 {
	if text == "" {
		return 0
	}
	mac := hmac.New(sha256.New, r.secret)
	mac.Write([]byte(text))
	return binary.BigEndian.Uint64(mac.Sum(nil))
}

// Wants tells whether the next query is among those that are recorded. The choice hangs on a counter alone, so it is
// blind to what the query is.
func (r *Recorder) Wants() bool {
	r.seen++
	x := r.seen * 0x9e3779b97f4a7c15
	x ^= x >> 31
	return float64(x>>11)/(1<<53) < r.set.Sample
}

// Begun is when the recorder was made: times in a capture count from there.
func (r *Recorder) Begun() time.Time { return r.begun }

// Held is how many bytes wait to be written.
func (r *Recorder) Held() int64 { return r.held.Load() }

func size(q *Query) int64 {
	n := int64(perQuery)
	for i := range q.Parts {
		n += perPart + perCall*int64(len(q.Parts[i].Calls))
	}
	return n
}

// Record takes a query, or drops it. It never waits.
func (r *Recorder) Record(q *Query) {
	n := size(q)
	if r.held.Add(n) > r.set.Memory {
		r.held.Add(-n)
		r.Dropped.Add(1)
		return
	}
	select {
	case r.queue <- q:
	default:
		r.held.Add(-n)
		r.Dropped.Add(1)
	}
}

// Run writes until the context ends, and then what is still queued.
func (r *Recorder) Run(ctx context.Context) error {
	f := &rolling{r: r}
	defer f.close()
	tick := time.NewTicker(r.set.Flush)
	defer tick.Stop()
	for {
		select {
		case q := <-r.queue:
			f.add(q)
		case <-tick.C:
			f.flush()
		case <-ctx.Done():
			for {
				select {
				case q := <-r.queue:
					f.add(q)
				default:
					return nil
				}
			}
		}
	}
}

// rolling is the file that is being written, and the folder it is in. What fails is told once for each file, and what could
// not be written counts as dropped.
type rolling struct {
	r    *Recorder
	file *os.File
	w    *Writer
	n    int
	told bool
}

func (f *rolling) fail(err error) {
	if !f.told {
		f.r.log.Warn().Err(err).Msg("capture can't be written")
	}
	f.told = true
}

func (f *rolling) add(q *Query) {
	f.r.held.Add(-size(q))
	if f.w == nil {
		if err := f.open(); err != nil {
			f.fail(err)
			f.r.Dropped.Add(1)
			return
		}
	}
	if err := f.w.Add(q); err != nil {
		f.fail(err)
		f.r.Dropped.Add(1)
		f.shut()
		return
	}
	f.r.Recorded.Add(1)
	if f.w.Written >= f.r.set.File {
		f.shut()
	}
}

func (f *rolling) open() error {
	name := fmt.Sprintf("%s-%s-%04d%s", clean(f.r.set.Router), f.r.begun.UTC().Format("20060102T150405"), f.n, suffix)
	f.n++
	file, err := os.OpenFile(filepath.Join(f.r.set.Dir, name), os.O_CREATE|os.O_WRONLY|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	f.file = file
	if f.w, err = NewWriter(file, Header{Begun: f.r.begun, Router: f.r.set.Router, Sample: f.r.set.Sample,
		Shards: f.r.set.Shards}); err != nil {
		f.shut()
		return err
	}
	f.told = false
	f.prune()
	return nil
}

// clean makes a router's name fit for a file's.
func clean(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' {
			return c
		}
		return '_'
	}, name)
}

// prune removes this router's oldest files beyond those that are kept.
func (f *rolling) prune() {
	mine, err := filepath.Glob(filepath.Join(f.r.set.Dir, clean(f.r.set.Router)+"-*"+suffix))
	if err != nil {
		return
	}
	slices.Sort(mine) // names hold the time and a number
	for len(mine) > f.r.set.Files {
		if err := os.Remove(mine[0]); err != nil {
			f.fail(err)
			return
		}
		mine = mine[1:]
	}
}

func (f *rolling) flush() {
	if f.w != nil {
		if err := f.w.Flush(); err != nil {
			f.fail(err)
			f.shut()
		}
	}
}

func (f *rolling) shut() {
	if f.w != nil {
		if err := f.w.Flush(); err != nil {
			f.fail(err)
		}
	}
	if f.file != nil {
		f.file.Close()
	}
	f.file, f.w = nil, nil
}

func (f *rolling) close() { f.shut() }

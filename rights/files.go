package rights

// files.go owns jobs that work on files which several instances share, and the fence before them. It must never change a file but
// under the fence, and never leave a file half written under its own name.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"moleshift/capture"
	"moleshift/internal/wholefile"
	"moleshift/lease"
	"moleshift/shardmap"
	"moleshift/work"
)

// ErrOvertaken says that a greater token was met.
var ErrOvertaken = errors.New("a greater token was met")

const (
	fencePrefix = ".fence-"
	fenceRetry  = 20 * time.Millisecond
	mostMerge   = 8        // files in one step
	mostCapture = 64 << 20 // bytes of them together
	mergedName  = "merged-"
	captureName = ".molecap"
	restAge     = time.Minute // a file that was written later may still grow
)

// Fenced does something to the files of a folder under a token. While it does, no other instance can on the same file system, as it
// holds the lock of the fence; and once a greater token has been there, nothing is done any more. An instance that stands still in
// the middle holds up whoever comes next until it goes on or ends, and so does no harm.
func Fenced(ctx context.Context, dir, right string, t lease.Token, do func() error) error {
	f, err := os.OpenFile(filepath.Join(dir, fencePrefix+strings.ReplaceAll(right, "/", "_")), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	defer f.Close() // which lets the lock go
	for {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return fmt.Errorf("fence: %w", err)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fence: another holds it: %w", ctx.Err())
		case <-time.After(fenceRetry):
		}
	}
	text, err := io.ReadAll(io.LimitReader(f, 64))
	if err != nil {
		return err
	}
	var greatest uint64
	if s := strings.TrimSpace(string(text)); s != "" {
		if greatest, err = strconv.ParseUint(s, 10, 64); err != nil { // written in part, as the machine went down: the rest is unknown
			return fmt.Errorf("fence: %s can't be read: %w", f.Name(), err)
		}
	}
	if uint64(t) < greatest {
		return ErrOvertaken
	}
	if uint64(t) > greatest { // always twenty places, so that it is never shorter than what was there
		if _, err := f.WriteAt(fmt.Appendf(nil, "%020d\n", uint64(t)), 0); err != nil {
			return err
		}
		if err := f.Sync(); err != nil {
			return err
		}
	}
	return do()
}

// fenced makes a step of what is done to files.
func fenced(ctx context.Context, dir string, s work.Step, r *work.Result, do func() error) {
	err := Fenced(ctx, dir, s.Job, s.Token, do)
	if r.Overtaken = errors.Is(err, ErrOvertaken); err != nil && !r.Overtaken {
		r.Err = err.Error()
	}
}

// Captures is a task that puts the captures of a folder together, the oldest first, a few in a step. Files are taken away once what
// they held is safely in the new one; that has its name by what it is made of, so a step that runs twice makes the same.
func Captures(dir string) Task {
	return func(ctx context.Context, s work.Step, held Held) (r work.Result) {
		fenced(ctx, dir, s, &r, func() error {
			names, bytes, err := oldest(dir)
			if err != nil || len(names) < 2 {
				r.Done = true
				return err
			}
			r.Cost.Bytes = 2 * bytes
			if err := merge(ctx, dir, names); err != nil {
				return err
			}
			if t, _, is := held(); !is || t != s.Token {
				return errors.New("the right went while files were put together: they stay")
			}
			for _, name := range names {
				if err := os.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
					return err
				}
			}
			return nil
		})
		return r
	}
}

// oldest are the captures that go together next: not those that may still be written to, nor more than a step should hold.
func oldest(dir string) (names []string, bytes int64, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, err
	}
	type file struct {
		name string
		at   time.Time
		size int64
	}
	var files []file
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || !info.Mode().IsRegular() || !strings.HasSuffix(e.Name(), captureName) || time.Since(info.ModTime()) < restAge {
			continue
		}
		files = append(files, file{e.Name(), info.ModTime(), info.Size()})
	}
	slices.SortFunc(files, func(a, b file) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.name, b.name)
	})
	for _, f := range files {
		if f.size > mostCapture/2 {
			continue // large enough
		}
		if len(names) == mostMerge || bytes+f.size > mostCapture {
			break
		}
		names, bytes = append(names, f.name), bytes+f.size
	}
	return names, bytes, nil
}

// merge writes one file of several.
func merge(ctx context.Context, dir string, names []string) error {
	var pieces []capture.Piece
	head := capture.Header{Router: "merged"}
	for _, name := range names {
		if err := ctx.Err(); err != nil {
			return err
		}
		f, err := os.Open(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		r, queries, err := capture.ReadAll(bufio.NewReader(f))
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if h := r.Header; head.Shards != 0 && (h.Shards != head.Shards || h.Sample != head.Sample) {
			return fmt.Errorf("%s: has %d shards and a sample of %g, others %d and %g", name, h.Shards, h.Sample, head.Shards, head.Sample)
		}
		head.Shards, head.Sample = r.Header.Shards, r.Header.Sample
		pieces = append(pieces, capture.Piece{Begun: r.Header.Begun, Queries: queries})
	}
	var all []*capture.Query
	head.Begun, all = capture.Merge(pieces)
	last := strings.TrimSuffix(strings.TrimPrefix(names[len(names)-1], mergedName), captureName)
	return wholefile.Write(filepath.Join(dir, mergedName+last+captureName), func(out io.Writer) error {
		w, err := capture.NewWriter(out, head)
		if err != nil {
			return err
		}
		for _, q := range all {
			if err := w.Add(q); err != nil {
				return err
			}
		}
		return w.Flush()
	})
}

// Checked is what a check of a snapshot found, as its file beside it tells.
type Checked struct {
	At      time.Time `json:"at"`
	File    string    `json:"file"`
	Version int64     `json:"version"`
	Bytes   int       `json:"bytes"`
	Fault   string    `json:"fault,omitempty"`
}

// Snapshot is a task that checks the snapshot of a map of shards, and writes what it found beside it. A snapshot whose version went
// back is a fault, too: somebody has restored an old one.
func Snapshot(path string) Task {
	return func(ctx context.Context, s work.Step, held Held) (r work.Result) {
		r.Done = true
		found := Checked{At: time.Now().UTC().Truncate(time.Millisecond), File: filepath.Base(path)}
		raw, err := os.ReadFile(path)
		if err == nil {
			var m *shardmap.Map
			found.Bytes = len(raw)
			if m, err = shardmap.Decode(raw); err == nil {
				found.Version = m.Version
			}
		}
		before, _ := strconv.ParseInt(string(s.State), 10, 64) // 0 where there is none
		switch {
		case err != nil:
			found.Fault = err.Error()
		case found.Version < before:
			found.Fault = fmt.Sprintf("version %d, it had been %d", found.Version, before)
		}
		r.State = strconv.AppendInt(nil, max(found.Version, before), 10)
		r.Cost.Bytes = int64(len(raw))
		fenced(ctx, filepath.Dir(path), s, &r, func() error {
			return wholefile.Write(path+".checked", func(w io.Writer) error { return json.NewEncoder(w).Encode(found) })
		})
		if r.Err == "" && !r.Overtaken && found.Fault != "" {
			r.Err = found.Fault // the state is as before
		}
		return r
	}
}

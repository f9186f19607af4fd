// Package ringtest is a simulated disk for package ring: one that refuses writes, takes its time, and loses or tears what was not
// synced when power goes. It is for tests and the laboratory.
package ringtest

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"

	"moleshift/storage/ring"
)

// sector is what a torn write keeps or loses as one piece, in bytes.
const sector = 64

// ErrFull is the error of a disk that refuses writes.
var ErrFull = errors.New("no space left on device")

// Disk is a folder on a simulated disk. Its methods may be called from several goroutines.
type Disk struct {
	mu    sync.Mutex
	files map[string]*file
	names map[string]bool // names that last
	fails int             // writes and syncs that are still to fail
	full  bool
	wait  func() // called before each write and sync, with no lock held; nil: the disk takes no time
}

// Attachment is one process's way to the disk. It is a ring.Dir.
type Attachment struct {
	disk     *Disk
	detached bool // guarded by the disk's lock
}

// ErrDetached is the error of a process that was killed.
var ErrDetached = errors.New("the process has ended")

type file struct {
	durable []byte
	pending []piece
	size    int64
}

// handle is a file as one process has it open.
type handle struct {
	*file
	by *Attachment
}

// piece is a write that was not synced.
type piece struct {
	offset int64
	data   []byte
}

var (
	_ ring.Dir = (*Disk)(nil)
	_ ring.Dir = (*Attachment)(nil)
)

// New makes an empty disk.
func New() *Disk { return &Disk{files: map[string]*file{}, names: map[string]bool{}} }

// SetFile puts a synced file onto the disk.
func (d *Disk) SetFile(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = &file{durable: bytes.Clone(data), size: int64(len(data))}
	d.names[name] = true
}

// Fail has the next n writes and syncs refused.
func (d *Disk) Fail(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = n
}

// SetFull has every write refused until it is called with false.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// SetWait has every write and sync call wait first; nil: they take no time.
func (d *Disk) SetWait(wait func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wait = wait
}

// Attach gives a process its way to the disk.
func (d *Disk) Attach() *Attachment { return &Attachment{disk: d} }

// Detach has everything refused that the process still does on the disk: it was killed.
func (a *Attachment) Detach() {
	a.disk.mu.Lock()
	defer a.disk.mu.Unlock()
	a.detached = true
}

// Open opens or makes a file.
func (a *Attachment) Open(name string) (ring.File, int64, error) {
	d := a.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		f = &file{}
		d.files[name] = f
	}
	return &handle{f, a}, f.size, nil
}

// Sync makes the names of all files last.
func (a *Attachment) Sync() error { return a.disk.Sync() }

// Open opens or makes a file for a process that is never killed.
func (d *Disk) Open(name string) (ring.File, int64, error) { return d.Attach().Open(name) }

// Sync makes the names of all files last.
func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.files {
		d.names[name] = true
	}
	return nil
}

// Cut is a loss of power. It gives the disk as it is found afterwards: of what was not synced each sector is kept or lost by lot, or
// all of it is lost. The old disk must not be used any more.
func (d *Disk) Cut(r *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := New()
	all := r.IntN(4) == 0
	for _, name := range d.sortedNames() {
		if !d.names[name] && (all || r.IntN(2) == 0) {
			continue
		}
		after.files[name] = d.files[name].cut(r, all)
		after.names[name] = true
	}
	return after
}

func (d *Disk) sortedNames() []string {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (f *file) cut(r *rand.Rand, all bool) *file {
	b := make([]byte, f.size)
	copy(b, f.durable)
	for _, p := range f.pending {
		for at := 0; at < len(p.data); at += sector {
			if !all && r.IntN(2) == 0 {
				copy(b[p.offset+int64(at):], p.data[at:min(at+sector, len(p.data))])
			}
		}
	}
	return &file{durable: b, size: int64(len(b))}
}

// begin waits as long as the disk takes and tells whether it refuses the write.
func (a *Attachment) begin() error {
	d := a.disk
	d.mu.Lock()
	wait := d.wait
	d.mu.Unlock()
	if wait != nil {
		wait()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.detached {
		return ErrDetached
	}
	if d.full {
		return ErrFull
	}
	if d.fails > 0 {
		d.fails--
		return ErrFull
	}
	return nil
}

// view is what a reader of the running system sees. The lock is held.
func (f *file) view() []byte {
	b := make([]byte, f.size)
	copy(b, f.durable)
	for _, p := range f.pending {
		copy(b[p.offset:], p.data)
	}
	return b
}

// ReadAt reads.
func (f *handle) ReadAt(p []byte, offset int64) (int, error) {
	f.by.disk.mu.Lock()
	defer f.by.disk.mu.Unlock()
	b := f.view()
	if offset >= int64(len(b)) {
		return 0, io.EOF
	}
	n := copy(p, b[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt writes; it lasts with the next sync.
func (f *handle) WriteAt(p []byte, offset int64) (int, error) {
	if err := f.by.begin(); err != nil {
		return 0, err
	}
	f.by.disk.mu.Lock()
	defer f.by.disk.mu.Unlock()
	f.pending = append(f.pending, piece{offset, bytes.Clone(p)})
	f.size = max(f.size, offset+int64(len(p)))
	return len(p), nil
}

// Truncate sets the length.
func (f *handle) Truncate(size int64) error {
	if err := f.by.begin(); err != nil {
		return err
	}
	f.by.disk.mu.Lock()
	defer f.by.disk.mu.Unlock()
	f.size = size
	return nil
}

// Sync makes what was written last.
func (f *handle) Sync() error {
	if err := f.by.begin(); err != nil {
		return err
	}
	f.by.disk.mu.Lock()
	defer f.by.disk.mu.Unlock()
	if int64(len(f.durable)) < f.size {
		f.durable = append(f.durable, make([]byte, f.size-int64(len(f.durable)))...)
	}
	for _, p := range f.pending {
		copy(f.durable[p.offset:], p.data)
	}
	f.pending = nil
	return nil
}

// Close closes the file.
func (f *handle) Close() error { return nil }

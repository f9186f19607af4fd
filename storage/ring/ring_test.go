package ring

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

const sector = 64 // what a torn write keeps or loses as one piece

// disk is a folder that loses what was not synced, in part, when power goes.
type disk struct {
	files  map[string]*diskFile
	names  map[string]bool // names that last
	fails  int             // writes and syncs that are still to fail
	writes int
}

type diskFile struct {
	disk    *disk
	durable []byte
	pending []piece
	size    int64
}

type piece struct {
	offset int64
	data   []byte
}

var errDisk = errors.New("no space left on device")

func newDisk() *disk { return &disk{files: map[string]*diskFile{}, names: map[string]bool{}} }

func (d *disk) Open(name string) (File, int64, error) {
	f := d.files[name]
	if f == nil {
		f = &diskFile{disk: d}
		d.files[name] = f
	}
	return f, f.size, nil
}

func (d *disk) Sync() error {
	for name := range d.files {
		d.names[name] = true
	}
	return nil
}

func (d *disk) fail() bool {
	if d.fails > 0 {
		d.fails--
		return true
	}
	return false
}

func (f *diskFile) view() []byte {
	b := make([]byte, f.size)
	copy(b, f.durable)
	for _, p := range f.pending {
		copy(b[p.offset:], p.data)
	}
	return b
}

func (f *diskFile) ReadAt(p []byte, off int64) (int, error) {
	b := f.view()
	if off >= int64(len(b)) {
		return 0, errors.New("EOF")
	}
	n := copy(p, b[off:])
	if n < len(p) {
		return n, errors.New("EOF")
	}
	return n, nil
}

func (f *diskFile) WriteAt(p []byte, off int64) (int, error) {
	f.disk.writes++
	if f.disk.fail() {
		return 0, errDisk
	}
	f.pending = append(f.pending, piece{off, bytes.Clone(p)})
	f.size = max(f.size, off+int64(len(p)))
	return len(p), nil
}

func (f *diskFile) Truncate(size int64) error {
	if f.disk.fail() {
		return errDisk
	}
	f.size = size
	return nil
}

func (f *diskFile) Sync() error {
	if f.disk.fail() {
		return errDisk
	}
	f.durable, f.pending = f.view(), nil
	f.disk.names[f.name()] = f.disk.names[f.name()] // a name lasts with its folder only
	return nil
}

func (f *diskFile) name() string {
	for name, g := range f.disk.files {
		if g == f {
			return name
		}
	}
	return ""
}

func (f *diskFile) Close() error { return nil }

// cut is a loss of power: of what was not synced each sector is kept or lost by lot, or all is lost.
func (d *disk) cut(r *rand.Rand) *disk {
	after := newDisk()
	all := r.IntN(4) == 0
	for name, f := range d.files {
		if !d.names[name] && (all || r.IntN(2) == 0) {
			continue
		}
		b := make([]byte, f.size)
		copy(b, f.durable)
		for _, p := range f.pending {
			for at := 0; at < len(p.data); at += sector {
				if !all && r.IntN(2) == 0 {
					copy(b[p.offset+int64(at):], p.data[at:min(at+sector, len(p.data))])
				}
			}
		}
		after.files[name] = &diskFile{disk: after, durable: b, size: int64(len(b))}
		after.names[name] = true
	}
	return after
}

// After every cut, at every point of a drawn run with writes that fail, each record is the one acknowledged last or one whose Put
// came later.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := newDisk()
		ring, err := Open(d, 2048)
		must.NoError(t, err)
		acknowledged := map[string]int{} // by record: number of the last acknowledged Put
		for put := 1; put <= 60; put++ {
			name := fmt.Sprint("r", r.IntN(3))
			if r.IntN(6) == 0 {
				d.fails = 1 + r.IntN(3)
			}
			err := ring.Put(name, content(name, put, 20+r.IntN(300)))
			d.fails = 0
			if err == nil {
				acknowledged[name] = put
				must.Eq(t, put, numberOf(ring.Get(name)))
			}
			if r.IntN(5) > 0 {
				continue
			}
			d = d.cut(r)
			ring, err = Open(d, 2048)
			must.NoError(t, err)
			for name, least := range acknowledged {
				got := numberOf(ring.Get(name))
				if got < least || got > put {
					t.Fatalf("seed %d, after put %d: record %s holds put %d, acknowledged was %d", seed, put, name, got, least)
				}
				acknowledged[name] = got
			}
		}
	}
}

func content(name string, put, size int) []byte {
	b := []byte(fmt.Sprintf("%s:%06d:", name, put))
	return append(b, bytes.Repeat([]byte{byte(put)}, size)...)
}

func numberOf(data []byte) int {
	var put int
	if data == nil {
		return 0
	}
	if _, err := fmt.Sscanf(string(data[3:9]), "%d", &put); err != nil {
		return -1
	}
	for _, b := range data[10:] {
		if b != byte(put) {
			return -1
		}
	}
	return put
}

// A disk that refuses writes for a while loses nothing, and takes writes again.
func TestDiskFullForAWhile(t *testing.T) {
	d := newDisk()
	ring, err := Open(d, 1024)
	must.NoError(t, err)
	must.NoError(t, ring.Put("a", []byte("one")))
	for range 7 {
		d.fails = 1
		must.Error(t, ring.Put("a", []byte("two")))
	}
	must.Eq(t, "one", string(ring.Get("a")))
	must.NoError(t, ring.Put("a", []byte("three")))
	again, err := Open(d.cut(rand.New(rand.NewPCG(1, 1))), 1024)
	must.NoError(t, err)
	must.Eq(t, "three", string(again.Get("a")))
}

func TestRecordThatDoesNotFitIsRefused(t *testing.T) {
	ring, err := Open(newDisk(), 1024)
	must.NoError(t, err)
	must.Error(t, ring.Put("a", make([]byte, 2000)))
}

func TestFilesOfTheSystem(t *testing.T) {
	dir, err := Folder(t.TempDir() + "/state")
	must.NoError(t, err)
	ring, err := Open(dir, 4096)
	must.NoError(t, err)
	for put := 1; put <= 50; put++ {
		must.NoError(t, ring.Put("r1", content("r1", put, 200)))
	}
	again, err := Open(dir, 4096)
	must.NoError(t, err)
	must.Eq(t, 50, numberOf(again.Get("r1")))
	must.Zero(t, again.Damaged())
}

// Whatever bytes a file holds, opening it neither fails nor invents a record.
func FuzzScan(f *testing.F) {
	f.Add(encodeRecord("", encodeSnapshot(map[string][]byte{"a": []byte("1")}), 7))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newDisk()
		d.files[fileName(0)] = &diskFile{disk: d, durable: data, size: int64(len(data))}
		ring, err := Open(d, 1024)
		must.NoError(t, err)
		must.NoError(t, ring.Put("b", []byte("2")))
		must.Eq(t, "2", string(ring.Get("b")))
	})
}

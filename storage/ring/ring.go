// Package ring keeps a small set of named records on disk, in a ring of files whose space is taken beforehand.
//
// A record is appended with a checksum and synced before Put returns. Each file begins with all records as they stood, so the
// files before it may be written over. After a loss of power, Open finds the newest state that Put acknowledged, or a newer one.
// It must never acknowledge what is not synced.
package ring

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/sync/semaphore"
)

const (
	numFiles   = 3
	headerSize = 24 // magic, checksum, length of name, length of data, sequence number
	magic      = 0x6d6f6c65
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is what the ring needs of an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Dir is what the ring needs of a folder. Sync makes the names of its files last.
type Dir interface {
	Open(name string) (File, int64, error) // opens or makes a file and tells its size
	Sync() error
}

// Ring is an open ring of files. All methods may be called from several goroutines; writes wait for one another, readers for
// nobody.
type Ring struct {
	dir      Dir
	fileSize int64

	mu      sync.Mutex        // short: guards records
	records map[string][]byte // as they stand on disk; the map is replaced, never changed

	waitingMu sync.Mutex // short: guards waiting
	waiting   []*pendingPut

	writing  *semaphore.Weighted // of one; held across a write, guards what follows
	sequence uint64
	file     File  // the one that is written; nil: the next write begins a new one
	index    int   // which of the ring holds the newest state that was acknowledged
	failed   int   // attempts to begin a new file that failed since
	offset   int64 // where the next record goes
	damaged  int   // records that were not whole when the ring was opened
}

// Open reads the ring in a folder, or makes an empty one. fileSize is the size of each of its files in bytes; a record may take a
// third of it at most.
func Open(dir Dir, fileSize int64) (*Ring, error) {
	r := &Ring{dir: dir, fileSize: fileSize, records: map[string][]byte{}, writing: semaphore.NewWeighted(1)}
	type found struct {
		records map[string][]byte
		last    uint64
		index   int
		damaged int
	}
	var best *found
	for i := range numFiles {
		f, size, err := dir.Open(fileName(i))
		if err != nil {
			return nil, trace.Wrap(trace.ConvertSystemError(err), "storage file %s cannot be opened: see whether the disk is there and writable", fileName(i))
		}
		records, last, damaged, err := scan(f, size)
		f.Close()
		if err != nil {
			return nil, trace.Wrap(trace.ConvertSystemError(err), "storage file %s cannot be read", fileName(i))
		}
		if records != nil && (best == nil || last > best.last) {
			best = &found{records, last, i, damaged}
		}
	}
	if best != nil {
		if err := syncFile(dir, fileName(best.index)); err != nil {
			return nil, trace.Wrap(trace.ConvertSystemError(err), "storage file %s cannot be synced: see whether the disk is writable", fileName(best.index))
		}
		r.records, r.sequence, r.index, r.damaged = best.records, best.last, best.index, best.damaged
	}
	return r, nil
}

// syncFile makes a file that was read last: a process that was killed between the write of a record and its sync leaves a record that can
// be read and is not on the disk yet.
func syncFile(dir Dir, name string) error {
	f, _, err := dir.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return err
	}
	return dir.Sync()
}

func fileName(i int) string { return "ring-" + strconv.Itoa(i) }

// scan reads a file up to its first record that is not whole. The first record of a file is a snapshot; a file without a whole one
// counts as empty (nil). It tells the last sequence number, and whether something that is no record of the run follows.
func scan(f File, size int64) (map[string][]byte, uint64, int, error) {
	var records map[string][]byte
	var last uint64
	offset := int64(0)
	for offset+headerSize <= size {
		name, data, sequence, n, err := readRecord(f, offset, size)
		if err != nil {
			return nil, 0, 0, err
		}
		if n == 0 || (records != nil && sequence != last+1) {
			return records, last, damagedAt(f, offset, n), nil
		}
		if records == nil {
			if name != "" {
				return nil, 0, 1, nil
			}
			if records = decodeSnapshot(data); records == nil {
				return nil, 0, 1, nil
			}
		} else {
			records[name] = data
		}
		last = sequence
		offset += n
	}
	return records, last, 0, nil
}

// damagedAt tells whether what follows the last whole record looks like the beginning of one that was torn.
func damagedAt(f File, offset, n int64) int {
	var mark [4]byte
	if _, err := f.ReadAt(mark[:], offset); n == 0 && err == nil && binary.LittleEndian.Uint32(mark[:]) == magic {
		return 1
	}
	return 0
}

// readRecord reads the record at offset; n is its size, 0 where there is no whole one.
func readRecord(f File, offset, size int64) (name string, data []byte, sequence uint64, n int64, err error) {
	var head [headerSize]byte
	if _, err := f.ReadAt(head[:], offset); err != nil {
		return "", nil, 0, 0, err
	}
	if binary.LittleEndian.Uint32(head[0:]) != magic {
		return "", nil, 0, 0, nil
	}
	nameLen, dataLen := int64(binary.LittleEndian.Uint32(head[8:])), int64(binary.LittleEndian.Uint32(head[12:]))
	n = headerSize + nameLen + dataLen
	if nameLen > 1<<10 || offset+n > size {
		return "", nil, 0, 0, nil
	}
	body := make([]byte, nameLen+dataLen)
	if _, err := f.ReadAt(body, offset+headerSize); err != nil {
		return "", nil, 0, 0, err
	}
	sum := crc32.Update(crc32.Checksum(head[8:], castagnoli), castagnoli, body)
	if sum != binary.LittleEndian.Uint32(head[4:]) {
		return "", nil, 0, 0, nil
	}
	return string(body[:nameLen]), body[nameLen:], binary.LittleEndian.Uint64(head[16:]), n, nil
}

func encodeRecord(name string, data []byte, sequence uint64) []byte {
	b := make([]byte, headerSize+len(name)+len(data))
	binary.LittleEndian.PutUint32(b[0:], magic)
	binary.LittleEndian.PutUint32(b[8:], uint32(len(name)))
	binary.LittleEndian.PutUint32(b[12:], uint32(len(data)))
	binary.LittleEndian.PutUint64(b[16:], sequence)
	copy(b[headerSize:], name)
	copy(b[headerSize+len(name):], data)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return b
}

func encodeSnapshot(records map[string][]byte) []byte {
	var b []byte
	for _, name := range slices.Sorted(maps.Keys(records)) {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(name)))
		b = append(b, name...)
		b = binary.LittleEndian.AppendUint32(b, uint32(len(records[name])))
		b = append(b, records[name]...)
	}
	return b
}

func decodeSnapshot(b []byte) map[string][]byte {
	records := map[string][]byte{}
	next := func() ([]byte, bool) {
		if len(b) < 4 {
			return nil, false
		}
		n := int(binary.LittleEndian.Uint32(b))
		if n > len(b)-4 {
			return nil, false
		}
		piece := b[4 : 4+n]
		b = b[4+n:]
		return piece, true
	}
	for len(b) > 0 {
		name, ok := next()
		if !ok {
			return nil
		}
		data, ok := next()
		if !ok {
			return nil
		}
		records[string(name)] = data
	}
	return records
}

// Get gives a record as it stands on disk, or nil. The bytes must not be changed.
func (r *Ring) Get(name string) []byte { return r.all()[name] }

func (r *Ring) all() map[string][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records
}

func (r *Ring) set(records map[string][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = records
}

// pendingPut is a record that waits to be written.
type pendingPut struct {
	name    string
	data    []byte
	written bool // err is its outcome; guarded by writing
	err     error
}

// with gives the records with some of them replaced.
func (r *Ring) with(puts []*pendingPut) map[string][]byte {
	records := maps.Clone(r.all())
	for _, p := range puts {
		records[p.name] = p.data
	}
	return records
}

// Damaged is how many records were found torn when the ring was opened; they had not been acknowledged.
func (r *Ring) Damaged() int { return r.damaged }

// Put keeps a record and returns when it lasts. Records that come while another write is under way go to disk together with one sync, so
// a Put waits for two writes at the most. After an error the record may or may not last, and the next Put begins a new file.
func (r *Ring) Put(name string, data []byte) error {
	p := &pendingPut{name: name, data: slices.Clone(data)}
	r.enqueue(p)
	_ = r.writing.Acquire(context.Background(), 1) // fails only where the context ends
	defer r.writing.Release(1)
	if !p.written {
		r.commit(r.dequeue())
	}
	return p.err
}

func (r *Ring) enqueue(p *pendingPut) {
	r.waitingMu.Lock()
	defer r.waitingMu.Unlock()
	r.waiting = append(r.waiting, p)
}

func (r *Ring) dequeue() []*pendingPut {
	r.waitingMu.Lock()
	defer r.waitingMu.Unlock()
	puts := r.waiting
	r.waiting = nil
	return puts
}

// commit writes some records and notes the outcome of each. Where they are too large together, each is written by itself.
func (r *Ring) commit(puts []*pendingPut) {
	err := r.writeAll(puts)
	if len(puts) > 1 && trace.IsLimitExceeded(err) {
		for _, p := range puts {
			r.commit([]*pendingPut{p})
		}
		return
	}
	if err != nil {
		err = trace.Wrap(trace.ConvertSystemError(err), "disk refuses writes: free space or replace it; the node goes on without its vote")
	}
	for _, p := range puts {
		p.written, p.err = true, err
	}
}

// writeAll writes some records with one sync, to the file that is written or to a new one.
func (r *Ring) writeAll(puts []*pendingPut) error {
	var records []byte
	for i, p := range puts {
		records = append(records, encodeRecord(p.name, p.data, r.sequence+1+uint64(i))...)
	}
	if r.file == nil || r.offset+int64(len(records)) > r.fileSize {
		return r.turn(puts)
	}
	if err := r.write(records, len(puts)); err != nil {
		r.drop(len(puts))
		return err
	}
	r.set(r.with(puts))
	return nil
}

// write appends and syncs the bytes of so many records.
func (r *Ring) write(records []byte, count int) error {
	if _, err := r.file.WriteAt(records, r.offset); err != nil {
		return err
	}
	if err := r.file.Sync(); err != nil {
		return err
	}
	r.offset += int64(len(records))
	r.sequence += uint64(count)
	return nil
}

// drop closes the file to which a write of so many records failed. They may have lasted, so their numbers are left out: the snapshot of the
// next file has a higher number than any of them, and is never taken for a record of the old file.
func (r *Ring) drop(count int) {
	if r.file != nil {
		r.file.Close()
	}
	r.file = nil
	r.sequence += uint64(count) + 1
}

// turn begins the next file of the ring with a snapshot that holds the new records already.
func (r *Ring) turn(puts []*pendingPut) error {
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
	records := r.with(puts)
	snapshot := encodeRecord("", encodeSnapshot(records), r.sequence+1)
	if int64(len(snapshot)) > r.fileSize {
		return trace.LimitExceeded("records of %d bytes do not fit into a storage file of %d", len(snapshot), r.fileSize)
	}
	// Never the file with the newest acknowledged state: it is all there is until the new one lasts.
	index := (r.index + 1 + r.failed%(numFiles-1)) % numFiles
	f, size, err := r.dir.Open(fileName(index))
	if err != nil {
		r.failed++
		return err
	}
	r.file, r.offset = f, 0
	err = r.takeSpace(size)
	if err == nil {
		err = r.write(snapshot, 1)
	}
	if err != nil {
		r.failed++
		r.drop(1)
		return err
	}
	r.index, r.failed = index, 0
	r.set(records)
	return nil
}

// takeSpace gives the file its full size before anything is written to it, and makes its name last.
func (r *Ring) takeSpace(size int64) error {
	if size < r.fileSize {
		if err := r.file.Truncate(r.fileSize); err != nil {
			return err
		}
		if err := r.file.Sync(); err != nil {
			return err
		}
	}
	return r.dir.Sync()
}

// osDir is a folder of the operating system.
type osDir string

// Folder makes a Dir of a path; the folder is made where it does not exist.
func Folder(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "data-dir %q cannot be made", path)
	}
	return osDir(path), nil
}

// Open opens or makes a file of the folder.
func (d osDir) Open(name string) (File, int64, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, 0, err
	}
	info, err := f.Stat()
	if err != nil {
		f.Close()
		return nil, 0, err
	}
	return f, info.Size(), nil
}

// Sync makes the names of the folder's files last.
func (d osDir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

package rights

// memory.go owns the file in which a seat's promises outlive its process: a journal, each record with its length and checksum, appended
// and on the disk before it counts, written anew now and then with what still matters. (bbolt was tried: it maps the file and trusts its
// pages, and ended the process with a fault on one of the first damaged files that it was given.) It must never say that something is
// recorded before the disk has said so, never read promises of another seat as its own, and never believe a damaged file.

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"moleshift/internal/wholefile"
	"moleshift/lease"
)

const (
	memoryMark   = "moleshift promises 1\n"
	recordHead   = 4 + 8 // length, checksum
	mostRecord   = 8 << 10
	leastRewrite = 256 << 10 // bytes before the file is written anew
	overLive     = 4         // and times what would then be in it
	lockSuffix   = ".lock"
	damagedName  = ".damaged-"
	lockRetry    = 20 * time.Millisecond
)

var openWithin = 2 * time.Second // for another process to let the file go

// record is one line of the journal. The first says whose it is.
type record struct {
	_ struct{} `cbor:",toarray"`

	Whose string
	Floor uint64
	Right string
	Kept  *lease.Kept
}

// memory is the file. Without one nothing outlives the process, and each recording succeeds.
type memory struct {
	path  string
	whose string
	lock  *os.File
	f     *os.File
	size  int64 // of what is whole
	torn  bool  // behind it may be a part of a record
	mem   lease.Memory
}

// openMemory opens the file, or makes it. One that is damaged is set aside and a new one begun: the seat then stands as one that
// has lost its memory, and waits as long as such one does.
func openMemory(path, cluster string, seat int, log zerolog.Logger) (*memory, error) {
	if path == "" {
		return &memory{mem: lease.Memory{Forgot: true}}, nil
	}
	m := &memory{path: path, whose: fmt.Sprintf("%s/%d", cluster, seat)}
	if err := m.open(log); err != nil {
		m.close()
		return nil, fmt.Errorf("leases.state: %w", err)
	}
	return m, nil
}

// errDamaged says that a file can't be what was written.
var errDamaged = errors.New("the file of promises is damaged")

func (m *memory) open(log zerolog.Logger) error {
	var err error
	if m.lock, err = os.OpenFile(m.path+lockSuffix, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return err
	}
	for end := time.Now().Add(openWithin); ; time.Sleep(lockRetry) {
		if err = syscall.Flock(int(m.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(end) {
			return fmt.Errorf("%s: another process has it: %w", m.path, err)
		}
	}
	raw, err := os.ReadFile(m.path)
	if err == nil {
		err = m.read(raw)
	}
	if errors.Is(err, errDamaged) {
		aside := m.path + damagedName + time.Now().UTC().Format("20060102T150405.000000")
		log.Error().Err(err).Str("moved_to", aside).Msg("the file of promises is damaged: this seat begins as one that remembers nothing")
		if err := os.Rename(m.path, aside); err != nil {
			return err
		}
		err = os.ErrNotExist
	}
	if errors.Is(err, os.ErrNotExist) {
		m.mem = lease.Memory{Kept: map[string]lease.Kept{}, Forgot: true}
		return m.rewrite()
	}
	if err != nil {
		return err
	}
	if m.f, err = os.OpenFile(m.path, os.O_RDWR, 0o600); err != nil {
		return err
	}
	return m.mend()
}

// read takes what is there. A record that ends the file and is not whole is cut off, as one that the machine went down in was never
// counted on; but the file may as well have lost its end, so the seat stands as one that has forgotten. Anything else that is not as
// written makes the whole file doubtful.
func (m *memory) read(raw []byte) error {
	m.mem = lease.Memory{Kept: map[string]lease.Kept{}}
	rest, found := bytes.CutPrefix(raw, []byte(memoryMark))
	if !found {
		return fmt.Errorf("%w: it does not begin as one", errDamaged)
	}
	for n := 0; len(rest) > 0; n++ {
		at := len(raw) - len(rest)
		if len(rest) < recordHead {
			break
		}
		length := int(binary.BigEndian.Uint32(rest))
		if length > mostRecord {
			return fmt.Errorf("%w: a record of %d bytes at %d", errDamaged, length, at)
		}
		if len(rest) < recordHead+length {
			break
		}
		body := rest[recordHead : recordHead+length]
		var r record
		if xxhash.Sum64(body) != binary.BigEndian.Uint64(rest[4:]) || cbor.Unmarshal(body, &r) != nil {
			if len(rest) == recordHead+length { // the last one: the disk may have kept a part of it
				break
			}
			return fmt.Errorf("%w: the record at %d is not as written", errDamaged, at)
		}
		switch {
		case n == 0 && r.Whose != m.whose:
			return fmt.Errorf("%s is the file of seat %q, this one is %q: a file must not be copied from one seat to another", m.path, r.Whose,
				m.whose)
		case r.Kept != nil:
			m.mem.Kept[r.Right] = *r.Kept
		}
		m.mem.Floor = max(m.mem.Floor, r.Floor)
		rest = rest[recordHead+length:]
	}
	if m.size = int64(len(raw) - len(rest)); m.size <= int64(len(memoryMark)) {
		return fmt.Errorf("%w: it does not say whose it is", errDamaged)
	}
	m.torn = len(rest) > 0
	m.mem.Forgot = m.torn
	return nil
}

// mend cuts off what is not whole.
func (m *memory) mend() error {
	if !m.torn {
		return nil
	}
	if err := m.f.Truncate(m.size); err != nil {
		return err
	}
	m.torn = false
	return nil
}

func encode(r *record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(body) > mostRecord {
		return nil, fmt.Errorf("a record of %d bytes, %d at most", len(body), mostRecord)
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(body))
	return append(b, body...), nil
}

// live is the file as it would be written anew.
func (m *memory) live() ([]byte, error) {
	all := []byte(memoryMark)
	records := []*record{{Whose: m.whose, Floor: m.mem.Floor}}
	for _, name := range slices.Sorted(maps.Keys(m.mem.Kept)) {
		k := m.mem.Kept[name]
		records = append(records, &record{Right: name, Kept: &k})
	}
	for _, r := range records {
		b, err := encode(r)
		if err != nil {
			return nil, err
		}
		all = append(all, b...)
	}
	return all, nil
}

// rewrite writes the file anew, and goes on in that.
func (m *memory) rewrite() error {
	text, err := m.live()
	if err != nil {
		return err
	}
	err = wholefile.Write(m.path, func(out io.Writer) error {
		_, err := out.Write(text)
		return err
	})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(m.path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if m.f != nil {
		m.f.Close()
	}
	m.f, m.size, m.torn = f, int64(len(text)), false
	return nil
}

func (m *memory) memory() lease.Memory { return m.mem }

func (m *memory) promise(reign uint64) error {
	if err := m.append(&record{Floor: reign}); err != nil {
		return err
	}
	m.mem.Floor = max(m.mem.Floor, reign)
	m.tidy()
	return nil
}

func (m *memory) keep(right string, k lease.Kept) error {
	if err := m.append(&record{Right: right, Kept: &k}); err != nil {
		return err
	}
	if m.f != nil {
		m.mem.Kept[right] = k
	}
	m.tidy()
	return nil
}

// append adds a record, and comes back once it is on the disk.
func (m *memory) append(r *record) error {
	if m.f == nil {
		return nil
	}
	b, err := encode(r)
	if err != nil {
		return err
	}
	if err := m.mend(); err != nil {
		return err
	}
	m.torn = true // until it is known to be whole
	if _, err := m.f.WriteAt(b, m.size); err != nil {
		return err
	}
	if err := m.f.Sync(); err != nil {
		return err
	}
	m.size, m.torn = m.size+int64(len(b)), false
	return nil
}

// tidy writes the file anew where most of it no longer matters. That it can't is no fault of what was just recorded.
func (m *memory) tidy() {
	if m.f == nil || m.size < leastRewrite {
		return
	}
	if text, err := m.live(); err == nil && m.size > overLive*int64(len(text)) {
		m.rewrite()
	}
}

func (m *memory) close() {
	if m == nil {
		return
	}
	if m.f != nil {
		m.f.Close()
	}
	if m.lock != nil {
		m.lock.Close() // which lets it go
	}
}

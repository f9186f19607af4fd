package rights

// memory.go owns the file in which a seat's promises outlive its process: bbolt, as each promise is a small write of its own that
// must be whole or not there, which a file written anew each time would make as long as all that is kept. It must never say that
// something is recorded before the disk has said so, and never read promises of another seat as its own.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"moleshift/lease"
)

var (
	seatBucket  = []byte("seat")
	keptBucket  = []byte("kept")
	whoseKey    = []byte("whose")
	floorKey    = []byte("floor")
	openWithin  = 2 * time.Second // for another process to let the file go
	filePages   = os.FileMode(0o600)
	damagedName = ".damaged-"
)

// memory is the file. Without one nothing outlives the process, and each recording succeeds.
type memory struct {
	db  *bolt.DB
	mem lease.Memory
}

// openMemory opens the file, or makes it. One that is damaged is set aside and a new one begun: the seat then stands as one that
// has lost its memory, and waits as long as such one does.
func openMemory(path, cluster string, seat int, log zerolog.Logger) (*memory, error) {
	if path == "" {
		return &memory{mem: lease.Memory{Forgot: true}}, nil
	}
	whose := fmt.Sprintf("%s/%d", cluster, seat)
	m, err := readMemory(path, whose)
	var damaged *damage
	if errors.As(err, &damaged) {
		aside := path + damagedName + time.Now().UTC().Format("20060102T150405.000")
		log.Error().Err(err).Str("moved_to", aside).Msg("the file of promises is damaged: this seat begins as one that remembers nothing")
		if err := os.Rename(path, aside); err != nil {
			return nil, fmt.Errorf("leases.state: %w", err)
		}
		m, err = readMemory(path, whose)
	}
	if err != nil {
		return nil, fmt.Errorf("leases.state: %w", err)
	}
	return m, nil
}

// damage is a file that can't be what was written.
type damage struct{ what any }

func (d *damage) Error() string { return fmt.Sprintf("damaged: %v", d.what) }

func readMemory(path, whose string) (m *memory, err error) {
	info, statErr := os.Stat(path)
	fresh := errors.Is(statErr, os.ErrNotExist)
	if statErr == nil && info.Size() == 0 { // the disk was full as it was made
		return nil, &damage{"the file is empty"}
	}
	m = &memory{mem: lease.Memory{Kept: map[string]lease.Kept{}, Forgot: fresh}}
	defer func() { // bbolt answers some damage with a panic
		if v := recover(); v != nil {
			m.close()
			m, err = nil, &damage{v}
		}
	}()
	m.db, err = bolt.Open(path, filePages, &bolt.Options{Timeout: openWithin})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: another process has it", path)
	case errors.Is(err, os.ErrPermission), fresh && err != nil:
		return nil, err
	case err != nil:
		return nil, &damage{err}
	}
	err = m.db.View(func(tx *bolt.Tx) error {
		for problem := range tx.Check() {
			return &damage{problem}
		}
		return m.read(tx, whose)
	})
	if err != nil {
		m.close()
		return nil, err
	}
	if fresh {
		err = m.db.Update(func(tx *bolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(seatBucket)
			if err != nil {
				return err
			}
			if _, err := tx.CreateBucketIfNotExists(keptBucket); err != nil {
				return err
			}
			return b.Put(whoseKey, []byte(whose))
		})
		if err != nil {
			m.close()
			os.Remove(path) // made just now
			return nil, err
		}
	}
	return m, nil
}

// read takes what is there.
func (m *memory) read(tx *bolt.Tx, whose string) error {
	b, kept := tx.Bucket(seatBucket), tx.Bucket(keptBucket)
	if b == nil || kept == nil {
		if m.mem.Forgot {
			return nil // just made
		}
		return &damage{"it has no promises"}
	}
	if is := string(b.Get(whoseKey)); is != whose {
		return fmt.Errorf("it is the file of seat %s, this one is %s: a file must not be copied from one seat to another", is, whose)
	}
	if v := b.Get(floorKey); v != nil {
		if len(v) != 8 {
			return &damage{"the promise has no number"}
		}
		m.mem.Floor = binary.BigEndian.Uint64(v)
	}
	return kept.ForEach(func(name, v []byte) error {
		var k lease.Kept
		if err := cbor.Unmarshal(v, &k); err != nil {
			return &damage{err}
		}
		m.mem.Kept[string(name)] = k
		return nil
	})
}

func (m *memory) memory() lease.Memory { return m.mem }

func (m *memory) promise(reign uint64) error {
	return m.put(seatBucket, floorKey, binary.BigEndian.AppendUint64(nil, reign))
}

func (m *memory) keep(right string, k lease.Kept) error {
	if m.db == nil {
		return nil
	}
	b, err := cbor.Marshal(k)
	if err != nil {
		return err
	}
	return m.put(keptBucket, []byte(right), b)
}

func (m *memory) put(bucket, key, value []byte) (err error) {
	if m.db == nil {
		return nil
	}
	defer func() {
		if v := recover(); v != nil {
			err = &damage{v}
		}
	}()
	return m.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucket).Put(key, value) })
}

func (m *memory) close() {
	if m != nil && m.db != nil {
		m.db.Close()
	}
}

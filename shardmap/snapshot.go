package shardmap

// snapshot.go owns the form in which a map outlives the process: one line that says what it is and has the
// checksum of the rest, then the map. It must never give out a map of damaged or doubtful bytes.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	snapshotMark = "moleshift-shardmap 1"
	mostSnapshot = 64 << 20
)

// ErrDamaged says that a snapshot is not what was written.
var ErrDamaged = errors.New("the snapshot is damaged")

// Encode writes a map.
func (m *Map) Encode() ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append(
		fmt.Appendf(nil, "%s %016x %d\n", snapshotMark, xxhash.Sum64(body), len(body)),
		body...), nil
}

// Decode reads a map, and checks it whole.
func Decode(raw []byte) (*Map, error) {
	if len(raw) > mostSnapshot {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrDamaged, len(raw), mostSnapshot)
	}
	head, body, found := bytes.Cut(raw, []byte{'\n'})
	var sum uint64
	var size int
	if n, err := fmt.Sscanf(string(head), snapshotMark+" %x %d", &sum, &size); !found || err != nil ||
		n != 2 {
		return nil, fmt.Errorf("%w: it does not begin as one", ErrDamaged)
	}
	if size != len(body) || xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("%w: %d of %d bytes, or other ones", ErrDamaged, len(body), size)
	}
	m := new(Map)
	if err := json.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := m.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return m, nil
}

// Package directory is what a node knows of the others: the members of the control plane, and who failed to answer lately.
//
// It gives an agreed order of the members for a key, by rendezvous hashing: all nodes that know the same members agree on it.
package directory

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"moleshift/controlplane/quorum"
)

// avoidFor is how long a member that did not answer goes to the end of Try's order.
const avoidFor = 1500 * time.Millisecond

// Directory may be used by several goroutines.
type Directory struct {
	mu      sync.Mutex
	members []quorum.Member
	failed  map[string]time.Time // by address
}

// New makes an empty directory.
func New() *Directory { return &Directory{failed: map[string]time.Time{}} }

// Set replaces the members.
func (d *Directory) Set(members []quorum.Member) {
	if len(members) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = slices.Clone(members)
	for address := range d.failed {
		if !slices.ContainsFunc(members, func(m quorum.Member) bool { return m.Address == address }) {
			delete(d.failed, address)
		}
	}
}

// Members gives the members.
func (d *Directory) Members() []quorum.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.members)
}

// Failed notes that an address did not answer.
func (d *Directory) Failed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[address] = time.Now()
}

// Avoids tells whether an address goes last in Try's order, as it failed lately.
func (d *Directory) Avoids(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.failed[address]
	return ok && time.Since(at) < avoidFor
}

// Answered notes that an address answered.
func (d *Directory) Answered(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.failed, address)
}

// Try gives the members in the order for a key, those that failed lately last.
func (d *Directory) Try(key string) []quorum.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	ranked := Rank(key, d.members)
	slices.SortStableFunc(ranked, func(a, b quorum.Member) int {
		return cmp.Compare(bit(d.avoided(a, now)), bit(d.avoided(b, now)))
	})
	return ranked
}

func (d *Directory) avoided(m quorum.Member, now time.Time) bool {
	at, ok := d.failed[m.Address]
	return ok && now.Sub(at) < avoidFor
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Rank orders members for a key.
func Rank(key string, members []quorum.Member) []quorum.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b quorum.Member) int {
		return cmp.Or(cmp.Compare(Weight(key, b.ID), Weight(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// Weight is the rendezvous weight of a candidate for a key.
func Weight(key, candidate string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(candidate))
	x := h.Sum64()
	// FNV spreads the last bytes poorly over the high bits: mix once more (the finalizer of MurmurHash3).
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

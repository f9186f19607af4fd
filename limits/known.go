package limits

// known.go owns who is known: addresses, and tenants behind them, whose queries were answered lately. What is
// kept is bounded and ages. It must never be possible to flush out those who are known by coming from many
// addresses: a newcomer may take only a place that is worth no more than its own.

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"net/netip"
)

const (
	ways     = 4                    // places in which one key may stand
	mostSeen = 64                   // what a place is worth at most, so that it is gone after a few ages
	age      = 60_000 * Millisecond // after which all places are worth half
	knownAt  = 2                    // answered queries from which a key is known: one may be chance
)

// Known is a table of places, each with a key's mark and what it is worth: the queries answered, halved with
// each age. The table is keyed by a seed, so nobody outside can choose keys that fall on one another.
type Known struct {
	seed   uint64
	marks  []uint64
	worth  []uint8
	aged   Time
	Places int
}

// NewKnown has so many places.
func NewKnown(seed uint64, places int) *Known {
	n := ways
	for n < places {
		n *= 2
	}
	return &Known{seed: seed, marks: make([]uint64, n), worth: make([]uint8, n), Places: n}
}

// key is the mark of an address and a tenant; tenant -1 stands for the address itself.
func (k *Known) key(from netip.Addr, tenant int) uint64 {
	var b [28]byte
	binary.LittleEndian.PutUint64(b[:], k.seed)
	a := from.As16()
	copy(b[8:], a[:])
	binary.LittleEndian.PutUint32(b[24:], uint32(tenant+1))
	h := fnv.New64a()
	h.Write(b[:])
	x := h.Sum64() // the bits of FNV that choose the place are not mixed well by the last bytes
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return max(x^x>>29, 1)
}

// ageing halves what places are worth.
func (k *Known) ageing(now Time) {
	if k.aged == 0 {
		k.aged = now
	}
	n := (now - k.aged) / age
	if n <= 0 {
		return
	}
	k.aged += n * age
	for i := range k.worth {
		k.worth[i] >>= min(n, 8)
		if k.worth[i] == 0 {
			k.marks[i] = 0
		}
	}
}

func (k *Known) place(key uint64) int { return int(key%uint64(len(k.marks)/ways)) * ways }

// Answered notes that a query was answered.
func (k *Known) Answered(now Time, from netip.Addr, tenant int) {
	k.ageing(now)
	key := k.key(from, tenant)
	at := k.place(key)
	least, value := -1, uint8(math.MaxUint8)
	for i := at; i < at+ways; i++ {
		if k.marks[i] == key {
			k.worth[i] = min(k.worth[i]+1, mostSeen)
			return
		}
		if k.worth[i] < value {
			least, value = i, k.worth[i]
		}
	}
	if value <= 1 { // a place that is known has been earned twice: it is not given to one that has come once
		k.marks[least], k.worth[least] = key, 1
	}
}

// Knows tells whether a key is known.
func (k *Known) Knows(now Time, from netip.Addr, tenant int) bool {
	k.ageing(now)
	key := k.key(from, tenant)
	at := k.place(key)
	for i := at; i < at+ways; i++ {
		if k.marks[i] == key {
			return k.worth[i] >= knownAt
		}
	}
	return false
}

// Used is how many places stand for a known key.
func (k *Known) Used() (n int) {
	for _, w := range k.worth {
		if w >= knownAt {
			n++
		}
	}
	return n
}

package peer

import (
	"crypto/rand"
	"encoding/hex"
)

// NewID draws a name that no other process has: of an incarnation, or of a store.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand never fails
	return hex.EncodeToString(b[:])
}

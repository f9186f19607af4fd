package member

// keys.go owns the file of keys, and what memberlist has to say. It must never print a key.

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"
)

const mostKeys = 16

// ReadKeys reads a file of keys: one a line in base64, 16, 24 or 32 bytes each. What is sent is encrypted with the first;
// what comes may be encrypted with any. Empty lines and those that begin with # are passed over.
func ReadKeys(path string) (keys [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("members.key_file: %w", err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: no base64", path, n)
		}
		if err := memberlist.ValidateKey(key); err != nil {
			return nil, fmt.Errorf("%s:%d: a key of %d bytes: must be 16, 24 or 32", path, n, len(key))
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(keys) == 0 || len(keys) > mostKeys {
		return nil, fmt.Errorf("%s: %d keys: must be 1 to %d", path, len(keys), mostKeys)
	}
	return keys, nil
}

// exchange has the ring hold the new keys, the first of them for sending. At no moment is a key missing that is in both.
func exchange(ring *memberlist.Keyring, keys [][]byte) (changed bool, err error) {
	old := ring.GetKeys()
	changed = len(old) != len(keys) || !bytes.Equal(old[0], keys[0])
	for _, k := range keys {
		if err := ring.AddKey(k); err != nil {
			return false, err
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return false, err
	}
	for _, k := range old {
		kept := false
		for _, n := range keys {
			kept = kept || bytes.Equal(k, n)
		}
		if !kept {
			changed = true
			if err := ring.RemoveKey(k); err != nil {
				return true, err
			}
		}
	}
	return changed, nil
}

// fingerprint tells keys apart without telling them.
func fingerprint(key []byte) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:4])
}

// relay turns memberlist's lines into structured ones. Of a kind of trouble one line in a while is written, with the
// number that was left out, as whoever sends nonsense may send much of it.
type relay struct {
	m       *Member
	mu      sync.Mutex
	written map[string]time.Time
	omitted map[string]int
}

const relayEvery = 30 * time.Second

// refusals are what memberlist says of messages that it can't read.
var refusals = []struct{ says, kind string }{
	{"decrypt", "a message could not be decrypted: its sender has another key, or none"},
	{"No installed keys could decrypt", "a message could not be decrypted: its sender has another key, or none"},
	{"Encryption is configured but remote state is not encrypted", "a message was not encrypted"},
	{"label", "a message came of another cluster"},
	{"Label", "a message came of another cluster"},
	{"Failed UDP ping", ""},
	{"Failed to join", ""},
	{"Failed to resolve", "a seed's name could not be resolved"},
	{"msg type", "a message makes no sense"},
	{"Failed to decode", "a message makes no sense"},
	{"too large", "a message is too large"},
}

// Write takes one line.
func (r *relay) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	level := zerolog.DebugLevel
	for word, l := range map[string]zerolog.Level{"[ERR]": zerolog.WarnLevel, "[WARN]": zerolog.WarnLevel,
		"[INFO]": zerolog.DebugLevel} {
		if strings.Contains(line, word) {
			level = l
		}
	}
	if level < zerolog.WarnLevel {
		return len(p), nil
	}
	kind := "other"
	for _, k := range refusals {
		if strings.Contains(line, k.says) {
			if kind = k.kind; kind != "" {
				r.m.Counts.Refused.Add(1)
			}
			break
		}
	}
	if kind == "" {
		return len(p), nil
	}
	if _, rest, found := strings.Cut(line, "memberlist: "); found {
		line = rest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.written == nil {
		r.written, r.omitted = map[string]time.Time{}, map[string]int{}
	}
	if last, known := r.written[kind]; known && time.Since(last) < relayEvery {
		r.omitted[kind]++
		return len(p), nil
	}
	r.written[kind] = time.Now()
	said := r.m.log.Warn()
	if n := r.omitted[kind]; n > 0 {
		said = said.Int("omitted", n)
		r.omitted[kind] = 0
	}
	if kind == "other" {
		said.Str("detail", line).Msg("membership")
	} else {
		said.Str("detail", line).Msg(kind)
	}
	return len(p), nil
}

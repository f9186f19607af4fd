// Package mapfile keeps the latest map of shards in a file, so that a router that starts again neither begins
// with an older map than it has acted on nor waits for discovery. It must never leave half a file under the
// name, and never give out a damaged one: that is put aside, under a name that says so.
//
// An atomic file rather than a database: there is one value, it is replaced whole, and it is read once at a
// start. bbolt would add a lock on the file and pages that must be kept sound for nothing that the rename
// does not give.
package mapfile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"

	"moleshift/internal/wholefile"
	"moleshift/shardmap"
)

// Damaged says that a file was no whole snapshot, and where it was put.
type Damaged struct {
	Aside string
	Why   error
}

func (d *Damaged) Error() string { return fmt.Sprintf("%v; put aside as %s", d.Why, d.Aside) }

func (d *Damaged) Unwrap() error { return d.Why }

const mostAside = 8 // damaged files that are kept; then the last place is used again

// Save replaces the file by a map. It is on the disk when Save returns without an error; with one the old
// file is still there. A map that is older than what the file has is refused, as a process that lags behind
// must not undo what another has written.
func Save(path string, m *shardmap.Map) error {
	if old, err := read(path); err == nil && old.Version > m.Version {
		return fmt.Errorf("%s: holds version %d, not replaced by %d", path, old.Version, m.Version)
	}
	raw, err := m.Encode()
	if err != nil {
		return err
	}
	return wholefile.Write(path, func(out io.Writer) error {
		_, err := out.Write(raw)
		return err
	})
}

func read(path string) (*shardmap.Map, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return shardmap.Decode(raw)
}

// Load reads the file: nil without an error where there is none, and a *Damaged where it was no whole
// snapshot.
func Load(path string) (*shardmap.Map, error) {
	m, err := read(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case err == nil || !errors.Is(err, shardmap.ErrDamaged):
		return m, err
	}
	d := &Damaged{Why: err}
	for i := range mostAside {
		d.Aside = fmt.Sprintf("%s.damaged-%d", path, i)
		if _, err := os.Stat(d.Aside); errors.Is(err, fs.ErrNotExist) {
			break
		}
	}
	if err := os.Rename(path, d.Aside); err != nil {
		return nil, errors.Join(d.Why, err)
	}
	return nil, d
}

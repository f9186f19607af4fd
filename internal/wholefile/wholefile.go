// Package wholefile replaces files as a whole: who reads one finds the old content or the new, also after the machine went down. It
// must never leave a file half written under its name.
package wholefile

import (
	"bufio"
	"errors"
	"io"
	"os"
	"path/filepath"
)

// Write replaces a file by what fill writes. It is on the disk, under its name, when Write returns without an error; with one the old
// file is still there.
func Write(path string, fill func(io.Writer) error) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	out := bufio.NewWriter(f)
	if err = fill(out); err == nil {
		err = out.Flush()
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	d, err := os.Open(dir) // the name is only safe once the directory is
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order in which it was noted.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// now is the time since the start.
func (r *record) now() time.Duration { return time.Since(r.began) }

// note writes a line with its time.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// tell writes a line here and to the terminal.
func (r *record) tell(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

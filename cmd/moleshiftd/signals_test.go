package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// heldStart is a node's process that has begun to read its settings and waits for their text.
type heldStart struct {
	process *exec.Cmd
	pipe    *os.File // the writer's end of the settings file
	ended   chan error
}

// startHeld starts a node whose settings file is a pipe, and returns once the process has opened it.
func startHeld(t *testing.T, program, path string) *heldStart {
	t.Helper()
	must.NoError(t, syscall.Mkfifo(path, 0o600))
	h := &heldStart{process: exec.Command(program, "node"), ended: make(chan error, 1)}
	h.process.Env = append(os.Environ(), "MOLESHIFT_BOOT="+path)
	must.NoError(t, h.process.Start())
	go func() { h.ended <- h.process.Wait() }()
	t.Cleanup(func() { _ = h.process.Process.Kill() })
	var err error
	h.pipe, err = os.OpenFile(path, os.O_WRONLY, 0) // waits for the reader
	must.NoError(t, err)
	return h
}

// Guards against a node that ends at SIGHUP, or without its clean status at SIGTERM, because the signal came during its start: here while it
// reads its settings.
func TestSignalsDuringTheStart(t *testing.T) {
	const endsWithin = 20 * time.Second
	f := newFleet(t, 1)
	f.start(0, true)
	f.Kill(0)
	program := filepath.Join(filepath.Dir(f.Data(0)), "moleshiftd")
	settingsPath := filepath.Join(filepath.Dir(f.Data(0)), "node-0.yaml")
	text, err := os.ReadFile(settingsPath)
	must.NoError(t, err)

	h := startHeld(t, program, settingsPath+".held")
	must.NoError(t, h.process.Process.Signal(syscall.SIGHUP))
	must.NoError(t, h.process.Process.Signal(syscall.SIGTERM))
	must.NoError(t, os.Remove(settingsPath+".held")) // it is read again later, as a file
	must.NoError(t, os.WriteFile(settingsPath+".held", text, 0o600))
	_, err = h.pipe.Write(text)
	must.NoError(t, err)
	must.NoError(t, h.pipe.Close())
	select {
	case err := <-h.ended:
		must.NoError(t, err, must.Sprint("it ends with status 0, once it has started"))
	case <-time.After(endsWithin):
		t.Fatal("SIGTERM during the start was lost")
	}
}

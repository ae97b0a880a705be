package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKilledDaemonsDidNotEndByThemselves guards against kills that count as ends of daemons by themselves when
// the soak notices them late.
func TestKilledDaemonsDidNotEndByThemselves(t *testing.T) {
	tests := map[string]struct {
		end  func(t *testing.T, d *daemon)
		want int
	}{
		"killed by the soak": {end: func(_ *testing.T, d *daemon) { d.kill(true) }},
		"frozen, then killed": {end: func(_ *testing.T, d *daemon) {
			d.signal(syscall.SIGSTOP)
			d.kill(true)
		}},
		"ended by itself": {end: endByItself, want: 1},
		"ended by itself right after it was frozen": {want: 1, end: func(t *testing.T, d *daemon) {
			d.signal(syscall.SIGCONT)
			endByItself(t, d)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			begun, noticed := make(chan struct{}), make(chan struct{})
			d := newIdleDaemon(t, func(*daemon) {
				close(begun)
				<-noticed
			})
			assert.NilError(t, d.start())
			<-begun
			exited := d.exited
			test.end(t, d)
			d.mu.Lock()
			d.disturbedAt = d.disturbedAt.Add(-time.Minute)
			d.mu.Unlock()
			close(noticed)
			<-exited
			assert.Equal(t, d.unexpectedExits, test.want)
		})
	}
}

// endByItself ends the process of a daemon without the soak.
func endByItself(t *testing.T, d *daemon) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restartDisabled = true
	assert.NilError(t, syscall.Kill(d.command.Process.Pid, syscall.SIGINT))
}

// newIdleDaemon returns a daemon whose program says that it leads and then does nothing.
func newIdleDaemon(t *testing.T, onLeading func(*daemon)) *daemon {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	assert.NilError(t, os.WriteFile(program, []byte("#!/bin/sh\necho '\"@message\":\"leading\"'\nexec sleep 60\n"), 0o700))
	d := &daemon{programOf: func(int) string { return program }, onLeading: onLeading}
	assert.NilError(t, d.prepareFiles(dir))
	t.Cleanup(func() { _ = d.log.Close() })
	return d
}

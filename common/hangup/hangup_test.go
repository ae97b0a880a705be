//go:build cgo

package hangup

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// isIgnoredAtStart is read before any test asks for the signal.
var isIgnoredAtStart = signal.Ignored(syscall.SIGHUP)

// TestHangupsAreIgnoredFromTheStart guards against programs that a SIGHUP ends before they ask for it.
func TestHangupsAreIgnoredFromTheStart(t *testing.T) {
	assert.Assert(t, isIgnoredAtStart)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	assert.Equal(t, <-hangups, syscall.SIGHUP)
}

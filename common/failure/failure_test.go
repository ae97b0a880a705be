package failure_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"quartzshelf.dev/common/failure"
)

var errCause = errors.New("cause")

// TestCauses checks that errors.Is finds the cause of a wrapped error, and that the error
// has its outermost type, step and peer.
func TestCauses(t *testing.T) {
	once := failure.Wrap(failure.Remote, "read", "peer", errCause)
	tests := map[string]error{
		"wrapped once":            once,
		"wrapped twice":           failure.Wrap(failure.Remote, "read", "peer", failure.Wrap(failure.Refused, "dial", "other", errCause)),
		"wrapped beside a text":   failure.Wrap(failure.Remote, "read", "peer", fmt.Errorf("in between: %w", errCause)),
		"seen through a wrapping": fmt.Errorf("around: %w", once),
	}
	for name, err := range tests {
		t.Run(name, func(t *testing.T) { checkError(t, err) })
	}
	if failure.Wrap(failure.Remote, "read", "peer", nil) != nil {
		t.Error("a nil cause must give a nil error")
	}
}

// checkError checks that err has type Remote, step "read", peer "peer" and cause errCause.
func checkError(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, errCause) {
		t.Errorf("errors.Is does not find the cause of %v", err)
	}
	if errors.Is(err, context.Canceled) {
		t.Errorf("errors.Is finds a cause of %v that it does not have", err)
	}
	if !failure.Is(err, failure.Remote) || failure.Is(err, failure.Refused) {
		t.Errorf("%v does not have its outermost type", err)
	}
	if failure.Step(err) != "read" || failure.Peer(err) != "peer" {
		t.Errorf("got step %q and peer %q", failure.Step(err), failure.Peer(err))
	}
}

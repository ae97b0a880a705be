package failure_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"quartzshelf.dev/common/failure"
)

var errCause = errors.New("cause")

// TestCauses: a caller finds a known cause behind steps and peers, while the outermost
// type, step and peer tell what the error is.
func TestCauses(t *testing.T) {
	once := failure.At(failure.Remote, "read", "peer", errCause)
	tests := map[string]error{
		"wrapped once":            once,
		"wrapped twice":           failure.At(failure.Remote, "read", "peer", failure.At(failure.Refused, "dial", "other", errCause)),
		"wrapped beside a text":   failure.At(failure.Remote, "read", "peer", fmt.Errorf("in between: %w", errCause)),
		"seen through a wrapping": fmt.Errorf("around: %w", once),
	}
	for name, err := range tests {
		t.Run(name, func(t *testing.T) { checkError(t, err) })
	}
	if failure.At(failure.Remote, "read", "peer", nil) != nil {
		t.Error("no cause is no error")
	}
}

// checkError wants an error of type Remote, of reading at a peer, for errCause.
func checkError(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, errCause) {
		t.Errorf("the cause of %v is not seen", err)
	}
	if errors.Is(err, context.Canceled) {
		t.Errorf("a cause of %v that it does not have", err)
	}
	if !failure.Is(err, failure.Remote) || failure.Is(err, failure.Refused) {
		t.Errorf("the type of %v is not the outermost", err)
	}
	if failure.Step(err) != "read" || failure.Peer(err) != "peer" {
		t.Errorf("step %q and peer %q", failure.Step(err), failure.Peer(err))
	}
}

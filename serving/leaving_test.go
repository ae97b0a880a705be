package serving

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The test below guards against requests being sent to a worker that has signaled in its responses
// that it is leaving, while the worker list does not show it yet. Such requests would be cut off.

const (
	// leaveFrom is when heads start to signal that they are leaving. leaveBound is how soon after
	// a daemon received such a response new requests must no longer be sent there.
	leaveFrom  = 2 * time.Second
	leaveBound = 2 * time.Second
)

// leavingHeads returns eight heads, some of which signal from leaveFrom on that they are leaving.
func leavingHeads(leaving int) []*signalHead {
	signal := func(h http.Header, at time.Duration) bool {
		if at >= leaveFrom {
			h.Set(signalNames.Asks.Leaving, "1")
		}
		return true
	}
	var heads []*signalHead
	for i := range 8 {
		h := &signalHead{id: fmt.Sprint("head-", i), work: 300 * time.Millisecond}
		if i < leaving {
			h.signal = signal
		}
		heads = append(heads, h)
	}
	return heads
}

// TestLeavingSignalIsHonored lets heads signal only in responses that they are leaving, with
// requests of each kind. All daemons must know after leaveBound, in fleets with relays as well.
func TestLeavingSignalIsHonored(t *testing.T) {
	tests := map[string]struct {
		path           string
		halls, perHall int
	}{
		"streams":                  {path: "/stream/", halls: 3, perHall: 2},
		"requests that may repeat": {path: "/safe/", halls: 3, perHall: 2},
		"requests that run once":   {path: "/once/", halls: 3, perHall: 2},
		"streams, with relays":     {path: "/stream/", halls: 3, perHall: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				heads := leavingHeads(3)
				f := newSignalFleet(t, test.halls, test.perHall, heads...)
				f.path = test.path
				f.load(60, leaveFrom+leaveBound+4*time.Second)
				for _, h := range heads[:3] {
					assert.Assert(t, h.arrivalsBetween(0, leaveFrom) > 0)
					late := h.arrivalsBetween(leaveFrom+leaveBound, time.Hour)
					assert.Equal(t, late, 0, "%s got requests long after it signaled that it is leaving", h.id)
				}
				assert.Equal(t, f.served, f.sent)
			})
		})
	}
}

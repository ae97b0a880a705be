package serving

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The test below guards against requests to a worker that has signaled in its responses that it is
// leaving. They would be cut off when the worker stops. The worker list does not yet show that it
// is leaving.

const (
	// leaveSignalStart is when heads start to signal that they are leaving, counted from the start
	// of the fleet. After a further leaveBound no daemon may send them requests.
	leaveSignalStart = 2 * time.Second
	leaveBound       = 2 * time.Second
)

// newLeavingHeads returns eight heads. The first leavingCount of them signal from leaveSignalStart
// on that they are leaving.
func newLeavingHeads(leavingCount int) []*signalHead {
	signal := func(h http.Header, at time.Duration) bool {
		if at >= leaveSignalStart {
			h.Set(signalHeaders.Signals.Leaving, "1")
		}
		return true
	}
	var heads []*signalHead
	for i := range 8 {
		h := &signalHead{id: fmt.Sprint("head-", i), processingTime: 300 * time.Millisecond}
		if i < leavingCount {
			h.signal = signal
		}
		heads = append(heads, h)
	}
	return heads
}

// TestLeavingSignalIsHonored lets three of eight heads signal in their responses that they are
// leaving. After leaveBound no daemon may send requests to them, in fleets with relays as well.
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
				heads := newLeavingHeads(3)
				f := newSignalFleet(t, test.halls, test.perHall, heads...)
				f.path = test.path
				f.sendLoad(60, leaveSignalStart+leaveBound+4*time.Second)
				for _, h := range heads[:3] {
					assert.Assert(t, h.countArrivals(0, leaveSignalStart) > 0)
					late := h.countArrivals(leaveSignalStart+leaveBound, time.Hour)
					assert.Equal(t, late, 0, "%s got requests long after it signaled that it is leaving", h.id)
				}
				assert.Equal(t, f.served, f.sent)
			})
		})
	}
}

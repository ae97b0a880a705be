package serving

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The test below guards against sending more requests to a worker that rejected one with a
// Retry-After header. The header asks for a rest, a time without requests. Requests sent in that
// time would be rejected and repeated elsewhere, which multiplies the load on the workers.

const (
	// requestedRest is the length of the rest that heads ask for. They reject all requests from
	// rejectFrom to rejectTo, counted from the start of the fleet.
	requestedRest        = 3 * time.Second
	rejectFrom, rejectTo = 2 * time.Second, 6 * time.Second
	// maxDuringRest is the number of requests that a daemon may send to a resting head. Requests
	// within restApplyTime after the rejection do not count.
	maxDuringRest = 2
	restApplyTime = 500 * time.Millisecond
)

// assertRest checks that a head that rejected a daemon's request got at most maxDuringRest requests
// from that daemon during the rest.
func assertRest(t *testing.T, h *signalHead) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, rejection := range h.events {
		if !rejection.isRejected {
			continue
		}
		received := 0
		for _, a := range h.events {
			if a.daemon == rejection.daemon && a.at >= rejection.at+restApplyTime && a.at < rejection.at+requestedRest {
				received++
			}
		}
		assert.Assert(t, received <= maxDuringRest, "%s got %d requests from %s after it requested a rest at %s", h.id, received, rejection.daemon, rejection.at)
	}
}

// newRestingHeads returns eight heads. The first restingCount of them reject all requests from
// rejectFrom to rejectTo and ask for a rest.
func newRestingHeads(restingCount int) []*signalHead {
	signal := func(h http.Header, at time.Duration) bool {
		if at < rejectFrom || at >= rejectTo {
			return true
		}
		h.Set("Retry-After", strconv.FormatFloat(requestedRest.Seconds(), 'f', -1, 64))
		return false
	}
	var heads []*signalHead
	for i := range 8 {
		h := &signalHead{id: fmt.Sprint("head-", i), processingTime: 300 * time.Millisecond}
		if i < restingCount {
			h.signal = signal
		}
		heads = append(heads, h)
	}
	return heads
}

// TestRequestedRestHolds checks that daemons keep the rests that heads ask for, with requests of each
// kind. After the rests, all requests must succeed.
func TestRequestedRestHolds(t *testing.T) {
	tests := map[string]struct {
		path         string
		restingCount int
	}{
		"streams":                             {path: "/stream/", restingCount: 2},
		"requests that may repeat":            {path: "/safe/", restingCount: 2},
		"requests that run once":              {path: "/once/", restingCount: 2},
		"streams, and all heads rest":         {path: "/stream/", restingCount: 8},
		"requests that repeat, all rest":      {path: "/safe/", restingCount: 8},
		"requests that run once, all rest":    {path: "/once/", restingCount: 8},
		"streams, and all heads rest but one": {path: "/stream/", restingCount: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				heads := newRestingHeads(test.restingCount)
				f := newSignalFleet(t, 3, 2, heads...)
				f.path = test.path
				f.sendLoad(60, rejectTo+requestedRest)
				for _, h := range heads {
					assertRest(t, h)
				}
				f.sent, f.served = 0, 0
				f.sendLoad(60, requestedRest)
				assert.Equal(t, f.served, f.sent, "all rests are over")
			})
		})
	}
}

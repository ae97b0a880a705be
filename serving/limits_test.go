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

// The test below guards against daemons that ignore a worker's limit. A worker reports the limit in
// its responses, as the rate of requests that it accepts from all daemons together.

const (
	// limitGrace is how long after a worker first reported a limit the daemons may still exceed it.
	// limitApplyTime is how long a daemon may take to apply a limit that it received.
	limitGrace     = 3 * time.Second
	limitApplyTime = 500 * time.Millisecond
	// limitWindow is the length of the periods in which requests are counted.
	limitWindow = 4 * time.Second
)

// maxAllowed returns the number of requests that a worker may get within limitWindow if it reported
// a limit of perSecond.
func maxAllowed(perSecond float64) int {
	const burst, slack = 1.5, 5
	return int(burst*perSecond*limitWindow.Seconds()) + slack
}

// assertLimit checks that daemons that received a head's limit kept it. The head first reported the
// limit at the time reportedAt after the start of the fleet.
func assertLimit(t *testing.T, h *signalHead, reportedAt time.Duration, perSecond float64) {
	t.Helper()
	all, first := h.arrivalsAfterLimit(limitApplyTime), 0
	for i, at := range all {
		for at-all[first] >= limitWindow {
			first++
		}
		if at >= reportedAt+limitGrace {
			assert.Assert(t, i-first+1 <= maxAllowed(perSecond), "%s got %d requests in the %s before %s", h.id, i-first+1, limitWindow, at)
		}
	}
}

// limitedCount is the number of heads that report a limit. They start to do so limitStart after the
// start of the fleet.
const (
	limitedCount = 2
	limitStart   = 2 * time.Second
)

// newLimitedHeads returns eight heads. The first limitedCount of them report a limit of perSecond
// requests per second from limitStart on.
func newLimitedHeads(perSecond float64) []*signalHead {
	signal := func(h http.Header, at time.Duration) bool {
		if at >= limitStart {
			h.Set(signalHeaders.Signals.Limit, strconv.FormatFloat(perSecond, 'f', -1, 64))
		}
		return true
	}
	var heads []*signalHead
	for i := range 8 {
		h := &signalHead{id: fmt.Sprint("head-", i), processingTime: 300 * time.Millisecond}
		if i < limitedCount {
			h.id, h.signal = fmt.Sprint("limited-", i), signal
		}
		heads = append(heads, h)
	}
	return heads
}

// TestReportedLimitHolds checks that daemons keep the limits that two of eight heads report, in
// fleets with and without relays. They must also use at least half of what the limits allow.
func TestReportedLimitHolds(t *testing.T) {
	tests := map[string]struct {
		halls, perHall int
		// sentPerSecond is the rate of requests to all daemons together, limitPerSecond the limit
		// that each limited head reports.
		sentPerSecond  float64
		limitPerSecond float64
	}{
		"six daemons, a low limit":         {halls: 3, perHall: 2, sentPerSecond: 120, limitPerSecond: 1.3},
		"six daemons, a limit below one":   {halls: 3, perHall: 2, sentPerSecond: 120, limitPerSecond: 0.25},
		"six daemons, a limit of zero":     {halls: 3, perHall: 2, sentPerSecond: 120, limitPerSecond: 0},
		"a daemon alone":                   {halls: 1, perHall: 1, sentPerSecond: 120, limitPerSecond: 1.3},
		"sixty daemons, with relays":       {halls: 3, perHall: 20, sentPerSecond: 60, limitPerSecond: 1.6},
		"sixty daemons, a limit below one": {halls: 3, perHall: 20, sentPerSecond: 60, limitPerSecond: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const from, to = 6 * time.Second, 22 * time.Second
				heads := newLimitedHeads(test.limitPerSecond)
				f := newSignalFleet(t, test.halls, test.perHall, heads...)
				f.sendLoad(test.sentPerSecond, to)
				received := 0
				for _, h := range heads[:limitedCount] {
					assertLimit(t, h, limitStart, test.limitPerSecond)
					received += h.countArrivals(from, to)
				}
				allowed := limitedCount * test.limitPerSecond * (to - from).Seconds()
				assert.Assert(t, float64(received) >= allowed/2, "the limited heads got %d requests, their limits allow %.1f", received, allowed)
				assert.Equal(t, f.served, f.sent, "the other heads have free slots")
			})
		})
	}
}

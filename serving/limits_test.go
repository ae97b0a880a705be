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

// The test below guards against ignoring the request rate that a worker reports in its responses
// as its limit for all daemons together.

const (
	// limitGrace is how long after a worker first reported a limit it has to be kept. limitNotice
	// is how long a daemon may take to apply a limit that it received.
	limitGrace  = 3 * time.Second
	limitNotice = 500 * time.Millisecond
	// limitWindow is the period over which requests are counted.
	limitWindow = 4 * time.Second
)

// maxAllowed is the number of requests that a worker that reported a limit may get within
// limitWindow.
func maxAllowed(perSecond float64) int {
	const burst, slack = 1.5, 5
	return int(burst*perSecond*limitWindow.Seconds()) + slack
}

// assertLimit checks that a worker that reported a limit from a given time on got no more than
// that from the daemons that know of it.
func assertLimit(t *testing.T, h *signalHead, named time.Duration, perSecond float64) {
	t.Helper()
	all, first := h.arrivalsAfterSignal(limitNotice), 0
	for i, at := range all {
		for at-all[first] >= limitWindow {
			first++
		}
		if at >= named+limitGrace {
			assert.Assert(t, i-first+1 <= maxAllowed(perSecond), "%s got %d requests in the %s before %s", h.id, i-first+1, limitWindow, at)
		}
	}
}

// limitedCount is the number of heads that report a limit, limitNamed when they start to.
const (
	limitedCount = 2
	limitNamed   = 2 * time.Second
)

// limitedHeads returns eight heads, the first limitedCount of which report a limit.
func limitedHeads(perSecond float64) []*signalHead {
	signal := func(h http.Header, at time.Duration) bool {
		if at >= limitNamed {
			h.Set(signalNames.Asks.Limit, strconv.FormatFloat(perSecond, 'f', -1, 64))
		}
		return true
	}
	var heads []*signalHead
	for i := range 8 {
		h := &signalHead{id: fmt.Sprint("head-", i), work: 300 * time.Millisecond}
		if i < limitedCount {
			h.id, h.signal = fmt.Sprint("limited-", i), signal
		}
		heads = append(heads, h)
	}
	return heads
}

// TestReportedLimitHolds lets two of eight heads report a limit after two seconds, in fleets with
// and without relays.
func TestReportedLimitHolds(t *testing.T) {
	tests := map[string]struct {
		halls, perHall int
		// load is the number of requests per second to all daemons together.
		load      float64
		perSecond float64
	}{
		"six daemons, a low limit":         {halls: 3, perHall: 2, load: 120, perSecond: 1.3},
		"six daemons, a limit below one":   {halls: 3, perHall: 2, load: 120, perSecond: 0.25},
		"six daemons, a limit of zero":     {halls: 3, perHall: 2, load: 120, perSecond: 0},
		"a daemon alone":                   {halls: 1, perHall: 1, load: 120, perSecond: 1.3},
		"sixty daemons, with relays":       {halls: 3, perHall: 20, load: 60, perSecond: 1.6},
		"sixty daemons, a limit below one": {halls: 3, perHall: 20, load: 60, perSecond: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const from, to = 6 * time.Second, 22 * time.Second
				heads := limitedHeads(test.perSecond)
				f := newSignalFleet(t, test.halls, test.perHall, heads...)
				f.load(test.load, to)
				came := 0
				for _, h := range heads[:limitedCount] {
					assertLimit(t, h, limitNamed, test.perSecond)
					came += h.arrivalsBetween(from, to)
				}
				worth := limitedCount * test.perSecond * (to - from).Seconds()
				assert.Assert(t, float64(came) >= worth/2, "the limited heads got %d requests, their limits allow %.1f", came, worth)
				assert.Equal(t, f.served, f.sent, "the other heads have free slots")
			})
		})
	}
}

package serving

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// What users would see: a worker that leaves says so in all its answers, at times there alone,
// and ends some seconds later. Requests that were sent to it until then are cut off.
//
// The order of events: the worker says that it leaves; each daemon passes its answers on to
// the callers, and goes on choosing it, since the worker list shows it as before.
//
// The cause: no code read what workers say of themselves in their answers.
//
// The evidence: on the code before, the test below counts 30 to 34 requests at such a worker in
// four seconds, as many as at the others.

const (
	// leaveFrom is when heads begin to say that they leave, leaveBound how long after a daemon
	// had such an answer requests that are sent to it must not go there any more.
	leaveFrom  = 2 * time.Second
	leaveBound = 2 * time.Second
)

// leavingHeads returns eight heads, of which some say from a time on that they leave.
func leavingHeads(leaving int) []*signalHead {
	says := func(h http.Header, at time.Duration) bool {
		if at >= leaveFrom {
			h.Set(signalNames.Asks.Leaving, "1")
		}
		return true
	}
	var heads []*signalHead
	for i := range 8 {
		h := &signalHead{id: fmt.Sprint("head-", i), work: 300 * time.Millisecond}
		if i < leaving {
			h.says = says
		}
		heads = append(heads, h)
	}
	return heads
}

// TestSaidLeavingIsHeeded lets heads say in their answers alone that they leave, with requests
// of each kind. What all daemons know after leaveBound holds in fleets with relays as well.
func TestSaidLeavingIsHeeded(t *testing.T) {
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
					assert.Assert(t, h.came(0, leaveFrom) > 0)
					late := h.came(leaveFrom+leaveBound, time.Hour)
					assert.Equal(t, late, 0, "%s got requests long after it said that it leaves", h.id)
				}
				assert.Equal(t, f.served, f.sent)
			})
		})
	}
}

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
// Retry-After time. Each would be rejected again and repeated elsewhere, which multiplies the load
// on the workers.

const (
	// restAsked is the rest that heads request; restFrom and restTo limit the period in which they
	// reject all requests.
	restAsked        = 3 * time.Second
	restFrom, restTo = 2 * time.Second, 6 * time.Second
	// maxDuringRest is how many requests may come from a daemon between restNotice after a
	// rejection and the end of the requested rest.
	maxDuringRest = 2
	restNotice    = 500 * time.Millisecond
)

// assertRest checks that a head that rejected a daemon's request got at most maxDuringRest
// requests from it while it rested.
func assertRest(t *testing.T, h *signalHead) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, turned := range h.arrivals {
		if !turned.turnedAway {
			continue
		}
		came := 0
		for _, a := range h.arrivals {
			if a.daemon == turned.daemon && a.at >= turned.at+restNotice && a.at < turned.at+restAsked {
				came++
			}
		}
		assert.Assert(t, came <= maxDuringRest, "%s got %d requests from %s after it requested a rest at %s", h.id, came, turned.daemon, turned.at)
	}
}

// restingHeads returns eight heads, some of which reject all requests for a while and request a
// rest.
func restingHeads(resting int) []*signalHead {
	signal := func(h http.Header, at time.Duration) bool {
		if at < restFrom || at >= restTo {
			return true
		}
		h.Set("Retry-After", strconv.FormatFloat(restAsked.Seconds(), 'f', -1, 64))
		return false
	}
	var heads []*signalHead
	for i := range 8 {
		h := &signalHead{id: fmt.Sprint("head-", i), work: 300 * time.Millisecond}
		if i < resting {
			h.signal = signal
		}
		heads = append(heads, h)
	}
	return heads
}

// TestRequestedRestHolds lets heads reject all requests for four seconds and request a rest, with
// requests of each kind.
func TestRequestedRestHolds(t *testing.T) {
	tests := map[string]struct {
		path    string
		resting int
	}{
		"streams":                             {path: "/stream/", resting: 2},
		"requests that may repeat":            {path: "/safe/", resting: 2},
		"requests that run once":              {path: "/once/", resting: 2},
		"streams, and all heads rest":         {path: "/stream/", resting: 8},
		"requests that repeat, all rest":      {path: "/safe/", resting: 8},
		"requests that run once, all rest":    {path: "/once/", resting: 8},
		"streams, and all heads rest but one": {path: "/stream/", resting: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				heads := restingHeads(test.resting)
				f := newSignalFleet(t, 3, 2, heads...)
				f.path = test.path
				f.load(60, restTo+restAsked)
				for _, h := range heads {
					assertRest(t, h)
				}
				f.sent, f.served = 0, 0
				f.load(60, restAsked)
				assert.Equal(t, f.served, f.sent, "all rests are over")
			})
		})
	}
}

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

// What users saw: a worker turned requests of a daemon away and asked it for three seconds of
// rest, and got four and five requests from it in that time, where two may come. Each of them
// was turned away and sent elsewhere, up to twice, so that workers got a third more requests
// than callers had sent.
//
// The order of events: the worker answers 503 with a time; the daemon sends the request to
// another worker, charges this one a tenth of a second of expected wait for a second, and
// forgets the time.
//
// The cause: a rejection counted for the request that it met alone; what the worker asked for
// was thrown away with the answer.
//
// The evidence: on the code before, the test below counts up to eight requests within a rest, in
// its first second as later, first sends as well as repeats, and of each kind.

const (
	// restAsked is for how long heads want nothing, restFrom and restTo while they turn all
	// requests away.
	restAsked        = 3 * time.Second
	restFrom, restTo = 2 * time.Second, 6 * time.Second
	// restMost is how many requests may come from a daemon between heardAfter and the end of a
	// rest that it was asked for.
	restMost   = 2
	heardAfter = 500 * time.Millisecond
)

// assertRest checks that a head which turned a daemon away got no more than that from it while
// it rested.
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
			if a.daemon == turned.daemon && a.at >= turned.at+heardAfter && a.at < turned.at+restAsked {
				came++
			}
		}
		assert.Assert(t, came <= restMost, "%s got %d requests from %s after it asked for rest at %s", h.id, came, turned.daemon, turned.at)
	}
}

// restingHeads returns eight heads, of which some turn all requests away for a while and ask
// for rest.
func restingHeads(resting int) []*signalHead {
	says := func(h http.Header, at time.Duration) bool {
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
			h.says = says
		}
		heads = append(heads, h)
	}
	return heads
}

// TestAskedRestHolds lets heads turn all requests away for four seconds and ask for rest, with
// requests of each kind.
func TestAskedRestHolds(t *testing.T) {
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
				assert.Equal(t, f.served, f.sent, "all have rested")
			})
		})
	}
}

package proxy

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestSpreadRetryAfter: retry times must stay within a third of the caller's remaining time.
func TestSpreadRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct{ left, least, most time.Duration }{
		"much time left": {left: 6 * time.Second, least: 1140 * time.Millisecond, most: 1980 * time.Millisecond},
		"little":         {left: 1500 * time.Millisecond, least: 390 * time.Millisecond, most: 480 * time.Millisecond},
		"hardly any":     {left: 600 * time.Millisecond, least: 180 * time.Millisecond, most: 180 * time.Millisecond},
		"too little":     {left: 100 * time.Millisecond, least: retrySoon, most: retrySoon},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 100 {
				got := (&Proxy{}).spreadRetryAfter(&request{deadline: now.Add(test.left)}, now)
				assert.Assert(t, got >= test.least && got <= test.most, "%s", got)
			}
		})
	}
}

// TestRefusedCallersAreServedOnRetry simulates a burst of requests, two and a half times as many as
// the replicas have slots. The daemons have no reports of loads yet. Callers retry once, and nearly
// all must be served.
func TestRefusedCallersAreServedOnRetry(t *testing.T) {
	for name, daemons := range map[string]int{"two daemons": 2, "eight daemons": 8} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateBurst(t, daemons) })
		})
	}
}

func simulateBurst(t *testing.T, daemons int) {
	t.Helper()
	p := newSimulation(t, daemons, &simHead{id: "a"}, &simHead{id: "b"})
	const callers = 100
	for i := range callers {
		p.calls.Go(func() { p.callWithRetry(i%daemons, fmt.Sprint("burst", i), 100, fullTimeout) })
		time.Sleep(time.Millisecond)
	}
	p.calls.Wait()
	servedCount := p.count("burst", callers, func(id string) bool { return p.isServed(id) || p.isServed(id+" again") })
	assert.Assert(t, servedCount >= callers*95/100, "%d of %d are served", servedCount, callers)
}

// callWithRetry sends a request and, if it is refused, retries once after Retry-After if that is
// within a third of the remaining time.
func (p *simulation) callWithRetry(daemon int, id string, promptTokens int, timeout time.Duration) {
	began := time.Now()
	p.send(daemon, id, promptTokens, timeout)
	p.mu.Lock()
	got := p.results[id]
	p.mu.Unlock()
	if got.status != 503 {
		return
	}
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	left := timeout - time.Since(began)
	retryAfter := time.Duration(after * float64(time.Second))
	if err != nil || retryAfter > left/3 {
		return
	}
	time.Sleep(retryAfter)
	p.send(daemon, id+" again", promptTokens, timeout-time.Since(began))
}

package proxy

import (
	"net/http"
	"sync"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

const (
	// timeoutWindow is the length of the windows in which the longest timeout of a route's callers
	// is recorded.
	timeoutWindow = 10 * time.Second
	// minTimeoutSamples is the number of requests to a route for which the route's own timeout
	// serves as the estimate of the initial timeout. After that, the longest timeout of its callers
	// is used.
	minTimeoutSamples = 10
	// maxCapacityWait limits how long a late request waits for capacity. capacityWaitShare limits
	// the same wait to a share of the time between the request's arrival and its deadline.
	maxCapacityWait   = time.Second
	capacityWaitShare = 0.25
)

// callerTimeouts estimates the timeout that callers of each route set for their first attempt. A
// caller that sends a shorter one is assumed to have waited for the difference already, at a failed
// daemon or after a refusal.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeouts
}

// routeTimeouts holds the longest timeout of a route's callers in the current and the previous
// window.
type routeTimeouts struct {
	sampleCount              int
	longest, previousLongest time.Duration
	windowEnd                time.Time
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: make(map[string]*routeTimeouts)}
}

// estimateWaited records a caller's remaining time, and returns the estimated time that the caller
// waited before this attempt.
func (t *callerTimeouts) estimateWaited(route *fleet.Route, remaining time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.routes[route.Name]
	if !ok {
		t.forget(now)
		entry = &routeTimeouts{windowEnd: now.Add(timeoutWindow)}
		t.routes[route.Name] = entry
	}
	if now.After(entry.windowEnd) {
		entry.previousLongest, entry.longest, entry.windowEnd = entry.longest, 0, now.Add(timeoutWindow)
	}
	entry.sampleCount++
	entry.longest = max(entry.longest, remaining)
	initial := max(entry.longest, entry.previousLongest)
	if entry.sampleCount <= minTimeoutSamples {
		initial = route.Timeout
	}
	return max(initial-remaining, 0)
}

// forget deletes routes without recent callers, so that renamed routes don't accumulate.
func (t *callerTimeouts) forget(now time.Time) {
	for name, entry := range t.routes {
		if now.Sub(entry.windowEnd) > timeoutWindow {
			delete(t.routes, name)
		}
	}
}

// isLate reports whether the route's objective for the first event is already missed. The time is
// counted from the caller's first attempt.
func (c *request) isLate(now time.Time) bool {
	return c.route.Objective > 0 && c.waitedBefore+now.Sub(c.arrived) > c.route.Objective
}

// mayWait reports whether a request may wait for a replica when none is available. A started stream
// may wait until its caller is expected to disconnect. With ServeLate, a late request may wait
// briefly, because a retry by the caller would be late too.
func (p *Proxy) mayWait(c *request, s *relayedStream, refused *refusal, now time.Time) bool {
	switch {
	case c.isDone():
		return false
	case s.isHeadSent:
		return now.Sub(s.lastEventAt) <= resumeTimeout
	case !p.opts.ServeLate:
		return false
	}
	maxWait := min(maxCapacityWait, time.Duration(capacityWaitShare*float64(c.deadline.Sub(c.arrived))))
	return refused.reason == reason.Overloaded && refused.status == http.StatusServiceUnavailable &&
		c.waitedBefore > 0 && c.isLate(now) && now.Sub(c.arrived) <= maxWait
}

package relay

import (
	"net/http"
	"sync"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

const (
	// timeoutWindow is how long the longest timeout sent by a route's callers is remembered.
	timeoutWindow = 10 * time.Second
	// minTimeoutSamples is the number of callers of a route after which their longest timeout
	// replaces the route's own as the estimate of the initial timeout.
	minTimeoutSamples = 10
	// maxCapacityWait is how long a late request waits for capacity, and capacityWaitShare the
	// largest part of its remaining time that this may take.
	maxCapacityWait   = time.Second
	capacityWaitShare = 0.25
)

// callerTimeouts estimates the timeout with which callers of each route start. A shorter timeout
// shows how long a caller has waited before, at a failed daemon or after a refusal.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeouts
}

// routeTimeouts holds the longest timeout of a route's callers in the current and the previous
// window.
type routeTimeouts struct {
	callers                  int
	longest, previousLongest time.Duration
	windowEnd                time.Time
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: make(map[string]*routeTimeouts)}
}

// estimateWaited records a caller's remaining time and returns how long it has waited before.
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
	entry.callers++
	entry.longest = max(entry.longest, remaining)
	initial := max(entry.longest, entry.previousLongest)
	if entry.callers <= minTimeoutSamples {
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

// isLate reports whether the objective for the first answer is already missed, counted from the
// caller's first attempt.
func (c *request) isLate(now time.Time) bool {
	return c.route.Objective > 0 && c.waitedBefore+now.Sub(c.arrived) > c.route.Objective
}

// mayWait reports whether a request without an available replica may wait for one: a started
// stream until its caller is expected to disconnect and, with ServeLate, a late request for a
// while, since a retry by the caller would be late as well.
func (r *Relay) mayWait(c *request, s *relayedStream, refused *refusal, now time.Time) bool {
	switch {
	case c.isDone():
		return false
	case s.isHeadSent:
		return now.Sub(s.lastEventAt) <= resumeTimeout
	case !r.opts.ServeLate:
		return false
	}
	limit := min(maxCapacityWait, time.Duration(capacityWaitShare*float64(c.deadline.Sub(c.arrived))))
	return refused.reason == reason.Overloaded && refused.status == http.StatusServiceUnavailable &&
		c.waitedBefore > 0 && c.isLate(now) && now.Sub(c.arrived) <= limit
}

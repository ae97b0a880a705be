package relay

import (
	"net/http"
	"sync"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

const (
	// timeoutWindow is for how long the longest time that a caller of a route gave counts.
	timeoutWindow = 10 * time.Second
	// minTimeoutSamples is how many callers of a route must have come before the longest time
	// that they gave is taken for what callers give at first, in place of the time-out.
	minTimeoutSamples = 10
	// maxCapacityWait is how long a late request waits for room, and roomPart which part of the
	// time left to it that may take.
	maxCapacityWait   = time.Second
	capacityWaitShare = 0.25
)

// callerTimeouts holds how long callers of each route give a request at first. A daemon sees
// by it how long a caller has waited before this attempt, at a daemon that is gone or
// where it was refused.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeouts
}

// routeTimeouts is the longest time given by the callers of a route in this span and the last.
type routeTimeouts struct {
	callers                  int
	longest, previousLongest time.Duration
	windowEnd                time.Time
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{routes: make(map[string]*routeTimeouts)}
}

// estimateWaited notes a caller that gives a request a time from now, and returns how long it has
// waited already.
func (p *callerTimeouts) estimateWaited(route *fleet.Route, given time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.routes[route.Name]
	if !ok {
		p.forget(now)
		held = &routeTimeouts{windowEnd: now.Add(timeoutWindow)}
		p.routes[route.Name] = held
	}
	if now.After(held.windowEnd) {
		held.previousLongest, held.longest, held.windowEnd = held.longest, 0, now.Add(timeoutWindow)
	}
	held.callers++
	held.longest = max(held.longest, given)
	first := max(held.longest, held.previousLongest)
	if held.callers <= minTimeoutSamples {
		first = route.Timeout
	}
	return max(first-given, 0)
}

// forget drops routes that nobody called for long: configurations bring others.
func (p *callerTimeouts) forget(now time.Time) {
	for name, held := range p.routes {
		if now.Sub(held.windowEnd) > timeoutWindow {
			delete(p.routes, name)
		}
	}
}

// isLate reports whether the first answer can't be in time any more, by when the caller
// first asked.
func (c *request) isLate(now time.Time) bool {
	return c.route.Objective > 0 && c.waitedBefore+now.Sub(c.arrived) > c.route.Objective
}

// mayWait reports whether a request that found no room may wait for some: one that began
// until its caller leaves, and, where late requests are kept, one that is late for a while,
// since it can't come back in time either.
func (r *Relay) mayWait(c *request, s *relayedStream, none *refusal, now time.Time) bool {
	switch {
	case c.isDone():
		return false
	case s.isHeadSent:
		return now.Sub(s.lastEventAt) <= resumeTimeout
	case !r.opts.ServeLate:
		return false
	}
	most := min(maxCapacityWait, time.Duration(capacityWaitShare*float64(c.deadline.Sub(c.arrived))))
	return none.reason == reason.Overloaded && none.status == http.StatusServiceUnavailable &&
		c.waitedBefore > 0 && c.isLate(now) && now.Sub(c.arrived) <= most
}

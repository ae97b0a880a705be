package relay

import (
	"net/http"
	"sync"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

const (
	// patienceFor is for how long the longest time that a caller of a route gave counts.
	patienceFor = 10 * time.Second
	// patienceAfter is how many callers of a route must have come before the longest time
	// that they gave is taken for what callers give at first, in place of the time-out.
	patienceAfter = 10
	// roomWait is how long a late request waits for room, and roomPart which part of the
	// time left to it that may take.
	roomWait = time.Second
	roomPart = 0.25
)

// patiences holds how long callers of each route give a request at first. A daemon sees
// by it how long a caller has waited before this attempt, at a daemon that is gone or
// where it was refused.
type patiences struct {
	mu     sync.Mutex
	routes map[string]*patience
}

// patience is the longest time given by the callers of a route in this span and the last.
type patience struct {
	callers       int
	newest, older time.Duration
	until         time.Time
}

func newPatiences() *patiences { return &patiences{routes: make(map[string]*patience)} }

// waited notes a caller that gives a request a time from now, and returns how long it has
// waited already.
func (p *patiences) waited(route *fleet.Route, given time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.routes[route.Name]
	if !ok {
		p.forget(now)
		held = &patience{until: now.Add(patienceFor)}
		p.routes[route.Name] = held
	}
	if now.After(held.until) {
		held.older, held.newest, held.until = held.newest, 0, now.Add(patienceFor)
	}
	held.callers++
	held.newest = max(held.newest, given)
	first := max(held.newest, held.older)
	if held.callers <= patienceAfter {
		first = route.Timeout
	}
	return max(first-given, 0)
}

// forget drops routes that nobody called for long: configurations bring others.
func (p *patiences) forget(now time.Time) {
	for name, held := range p.routes {
		if now.Sub(held.until) > patienceFor {
			delete(p.routes, name)
		}
	}
}

// isLate reports whether the first answer can't be in time any more, by when the caller
// first asked.
func (c *request) isLate(now time.Time) bool {
	return c.route.Objective > 0 && c.waited+now.Sub(c.arrived) > c.route.Objective
}

// mayWait reports whether a request that found no room may wait for some: one that began
// until its caller leaves, and, where late requests are kept, one that is late for a while,
// since it can't come back in time either.
func (r *Relay) mayWait(c *request, s *relayed, none *refusal, now time.Time) bool {
	switch {
	case c.gaveUp():
		return false
	case s.begun:
		return now.Sub(s.movedAt) <= resumeWait
	case !r.opts.ServeLate:
		return false
	}
	most := min(roomWait, time.Duration(roomPart*float64(c.deadline.Sub(c.arrived))))
	return none.reason == reason.Overloaded && none.status == http.StatusServiceUnavailable &&
		c.waited > 0 && c.isLate(now) && now.Sub(c.arrived) <= most
}

package relay

import (
	"net/http"
	"sync"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

const (
	// patienceFor is for how long the longest time that a caller of a route gave counts.
	patienceFor = 10 * time.Second
	// patienceAfter is how many callers of a route must have come before the longest time
	// that they gave is taken for what callers give at first, in place of the time-out.
	patienceAfter = 10
	// lateRank is how much less urgent a late request is for a worker: it comes after
	// those that can still be in time, also of less urgent routes.
	lateRank = 3
	// settleMost bounds how long a late request waits at a daemon that has just started.
	// In TestReturnOfAll a longer wait costs requests, 0.6 s up to one in seven of those who
	// waited; none at all leaves a third fewer of the new ones in time.
	settleMost = 300 * time.Millisecond
	// recoverFor is for how long after its start a daemon takes callers that give less time
	// than others for ones that have waited. Later they may simply be in a hurry, and must
	// not come last. After a return of all daemons callers are late for four seconds.
	recoverFor = 5 * time.Second
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

// isLate reports whether the first answer can't be in time any more, by when the caller
// first asked.
func (c *request) isLate(now time.Time) bool {
	since := now.Sub(c.arrived)
	if c.recovering {
		since += c.waited
	}
	return c.route.Objective > 0 && since > c.route.Objective
}

// rank returns the priority of a request at a worker, 0 being the most urgent. A stream
// whose caller has part of it loses more than time if it is not taken up soon.
func (c *request) rank(lastEvent string, now time.Time) int {
	rank := c.route.Priority
	if c.tenant != nil && c.tenant.Ranked {
		rank = c.tenant.Priority
	}
	if lastEvent == "" && c.isLate(now) {
		rank += lateRank
	}
	return min(max(rank, 0), lowestPriority)
}

// settle lets a request that is late already wait for a random while if this daemon has
// just started: all that waited for the daemons comes in one moment.
func (r *Relay) settle(c *request) {
	if c.isLate(c.arrived) && c.arrived.Sub(r.startedAt) < blindFor {
		pause.For(c.ctx, time.Duration(r.random()*float64(settleMost)))
	}
}

// mayWait reports whether a request that found no room may wait for some: one that began
// until its caller leaves, one that is late for a while, since it can't come back in time
// either.
func (c *request) mayWait(s *relayed, none *refusal, now time.Time) bool {
	switch {
	case c.gaveUp():
		return false
	case s.begun:
		return now.Sub(s.movedAt) <= resumeWait
	}
	most := min(roomWait, time.Duration(roomPart*float64(c.deadline.Sub(c.arrived))))
	return none.reason == reason.Overloaded && none.status == http.StatusServiceUnavailable &&
		c.waited > 0 && c.route.Objective > 0 && c.waited+now.Sub(c.arrived) > c.route.Objective && now.Sub(c.arrived) <= most
}

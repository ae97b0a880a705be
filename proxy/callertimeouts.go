package proxy

import (
	"net/http"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

const (
	// minTimeoutSamples is the number of requests to a route for which the route's own timeout
	// serves as the estimate of the initial timeout. After that, the longest timeout of its callers
	// is used.
	minTimeoutSamples = 10
	// maxCapacityWait limits how long a late request waits for capacity. capacityWaitShare limits
	// the same wait to a share of the time between the request's arrival and its deadline.
	maxCapacityWait   = time.Second
	capacityWaitShare = 0.25
)

// estimateWaited records a caller's remaining time, and returns the estimated time that the caller waited
// before this attempt, at a failed daemon or after a refusal. Callers of a route are assumed to set the same
// timeout for their first attempts, which is the longest one that was seen.
func estimateWaited(timeouts *routeDurations, route *fleet.Route, remaining time.Duration, now time.Time) time.Duration {
	seen := timeouts.record(route.Name, remaining, now)
	initial := seen.recent(now)
	if seen.total <= minTimeoutSamples {
		initial = route.Timeout
	}
	return max(initial-remaining, 0)
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
		return !now.After(s.resumeBy)
	case !p.opts.ServeLate:
		return false
	}
	maxWait := min(maxCapacityWait, time.Duration(capacityWaitShare*float64(c.deadline.Sub(c.arrived))))
	return refused.reason == reason.Overloaded && refused.status == http.StatusServiceUnavailable &&
		c.waitedBefore > 0 && c.isLate(now) && now.Sub(c.arrived) <= maxWait
}

package relay

import "time"

const (
	// spreadMost is over how long streams are spread that go on elsewhere when they are
	// late already. All streams of a replica that stands still are noticed at the same
	// moment, and their prompts would hold up the streams of the replicas that take them.
	spreadMost = 600 * time.Millisecond
	// spreadPart is the part of the time left to a request that this may take.
	spreadPart = 0.25
)

// spread returns how long a stream that broke off is to wait before it goes on elsewhere:
// not at all while it can be in time, and for a random while once it is late.
func (r *Relay) spread(c *request, s *relayed, now time.Time) time.Duration {
	since, allowed := c.arrived, c.route.Objective
	if s.begun {
		since, allowed = s.movedAt, c.route.GapTarget
	}
	if allowed <= 0 || now.Sub(since) < allowed {
		return 0
	}
	left := time.Duration(spreadPart * float64(c.deadline.Sub(now)))
	most := min(spreadMost, left, resumeWait-now.Sub(since))
	return time.Duration(r.random() * float64(max(most, 0)))
}

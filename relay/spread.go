package relay

import "time"

const (
	// spreadMost is over how long streams are spread that go on elsewhere when they are
	// late already. All streams of a replica that stands still are noticed at the same
	// moment: 20 prompts of 1,500 tokens that come to four others at once hold up the
	// streams there for 150 ms and more, where pauses of 200 to 300 ms are borne and a
	// pass takes 50. Callers wait for two seconds or longer after the last event, of
	// which half a second went by.
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

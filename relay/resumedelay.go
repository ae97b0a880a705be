package relay

import "time"

const (
	// maxResumeDelay is over how long streams are spread that go on elsewhere when they are
	// late already. All streams of a replica that stands still are noticed at the same
	// moment, and their prompts would hold up the streams of the replicas that take them.
	maxResumeDelay = 600 * time.Millisecond
	// resumeDelayShare is the part of the time left to a request that this may take.
	resumeDelayShare = 0.25
)

// resumeDelay returns how long a stream that broke off is to wait before it goes on elsewhere:
// not at all while it can be in time, and for a random while once it is late.
func (r *Relay) resumeDelay(c *request, s *relayedStream, now time.Time) time.Duration {
	since, allowed := c.arrived, c.route.Objective
	if s.isHeadSent {
		since, allowed = s.lastEventAt, c.route.GapTarget
	}
	if allowed <= 0 || now.Sub(since) < allowed {
		return 0
	}
	left := time.Duration(resumeDelayShare * float64(c.deadline.Sub(now)))
	most := min(maxResumeDelay, left, resumeTimeout-now.Sub(since))
	return time.Duration(r.random() * float64(max(most, 0)))
}

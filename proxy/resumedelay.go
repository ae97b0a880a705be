package proxy

import "time"

const (
	// maxResumeDelay limits the random delay of late streams that resume at another replica.
	// Without it, all streams of a stalled replica would resume at the same moment, and their
	// prompts would delay the other streams of the replicas that take them over.
	maxResumeDelay = 600 * time.Millisecond
	// resumeDelayShare is the largest part of the request's remaining time used for the delay.
	resumeDelayShare = 0.25
)

// resumeDelay returns how long a broken stream waits before it resumes at another replica. The
// delay is zero while the stream can still be on time, and random once it is late.
func (p *Proxy) resumeDelay(c *request, s *relayedStream, now time.Time) time.Duration {
	lastProgress, maxGap := c.arrived, c.route.Objective
	if s.isHeadSent {
		lastProgress, maxGap = s.lastEventAt, c.route.GapTarget
	}
	if maxGap <= 0 || now.Sub(lastProgress) < maxGap {
		return 0
	}
	maxDelay := time.Duration(resumeDelayShare * float64(c.deadline.Sub(now)))
	limit := min(maxResumeDelay, maxDelay, resumeTimeout-now.Sub(lastProgress))
	return time.Duration(p.random() * float64(max(limit, 0)))
}

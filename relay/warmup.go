package relay

import (
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// takeWarmUp takes what an attempt needs to go to a replica that warms up. It reports
// false if another request took it since the replica was judged.
func (r *Relay) takeWarmUp(c *request, replica *fleet.Replica, now time.Time) bool {
	c.sendBy = time.Time{}
	if r.opts.TakeWarmUp == nil {
		return true
	}
	var ok bool
	c.sendBy, ok = r.opts.TakeWarmUp(replica, now)
	return ok
}

// warmingUp returns the refusal of a request that no replica bears yet.
func (r *Relay) warmingUp(c *request, now time.Time) *refusal {
	return unavailable(reason.WarmUp, "the replicas are warming up", r.warmUpWait(c, now))
}

// warmUpWait returns when a caller is to come back whose request no replica bears yet.
func (r *Relay) warmUpWait(c *request, now time.Time) time.Duration {
	wait := retryClosed
	if r.opts.NextWarmUp == nil {
		return retryBusy
	}
	for _, replica := range r.opts.View().Replicas(c.service, c.model) {
		if !c.tried[replica.ID] {
			wait = min(wait, r.opts.NextWarmUp(replica, now).Sub(now))
		}
	}
	return max(wait, retrySoon)
}

// inTime returns an error if a message is about to be sent later than it may be, after the
// opening of its connection took long or the process stood still.
func (m *message) inTime(worker string, now time.Time) error {
	if m.sendBy.IsZero() || !now.After(m.sendBy) {
		return nil
	}
	return &sendError{cause: failure.New(failure.Refused, "send to worker", worker, "%s too late for a replica that warms up", now.Sub(m.sendBy))}
}

package relay

import (
	"errors"
	"time"

	"quartzshelf.dev/common/reason"
)

const (
	// retryAfterShare is the part of the time left to a caller within which it comes back when
	// told; it ignores a later time.
	retryAfterShare = 1.0 / 3
	// retryAfterMargin keeps what is told within that part, since the answer takes a while.
	retryAfterMargin = 20 * time.Millisecond
)

// isForCapacity reports whether the request was refused for want of replicas, or of room at
// them, and may come back.
func (f *refusal) isForCapacity() bool {
	if !f.promisesNotRun() || f.retryAfter <= 0 {
		return false
	}
	return f.reason == reason.Overloaded || f.reason == reason.NoReplica || errors.Is(f.cause, errRejected)
}

// spreadRetryAfter returns after how long a caller that found no room is to come back. It comes
// once, and all that are refused in one moment would meet again if told the same time. How
// much work waits is known late, since loads of peers are, so the times are spread over the
// later half of those that it heeds.
func (r *Relay) spreadRetryAfter(c *request, now time.Time) time.Duration {
	latest := c.maxRetryAfter(now)
	if latest <= retryBusy {
		return max(latest, retrySoon)
	}
	half := float64(latest-retryBusy) / 2
	return latest - time.Duration(r.random()*half)
}

// maxRetryAfter returns after how long a caller comes back at the latest when told.
func (c *request) maxRetryAfter(now time.Time) time.Duration {
	return time.Duration(retryAfterShare*float64(c.deadline.Sub(now))) - retryAfterMargin
}

// spreadRetryFrom returns after how long a caller is to come back that finds room no sooner than
// after a wait: callers that are told the same time meet again.
func (r *Relay) spreadRetryFrom(c *request, wait time.Duration, now time.Time) time.Duration {
	latest := c.maxRetryAfter(now)
	if latest <= wait {
		return max(latest, retrySoon)
	}
	return wait + time.Duration(r.random()*float64(latest-wait))
}

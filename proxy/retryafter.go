package proxy

import (
	"errors"
	"time"

	"quartzshelf.dev/common/reason"
)

const (
	// retryAfterShare is a share of a caller's remaining time. Callers are expected to ignore a
	// Retry-After that is longer than that.
	retryAfterShare = 1.0 / 3
	// retryAfterMargin allows for the time that the refusal takes to arrive.
	retryAfterMargin = 20 * time.Millisecond
)

// isForCapacity reports whether the request was refused for lack of replicas or of capacity, and
// may be retried.
func (f *refusal) isForCapacity() bool {
	if !f.promisesNotRun() || f.retryAfter <= 0 {
		return false
	}
	return f.reason == reason.Overloaded || f.reason == reason.NoReplica || errors.Is(f.cause, errRejected)
}

// spreadRetryAfter returns a random time after which a caller refused for lack of capacity should
// retry. Callers retry once, and would collide again if all were given the same time. Only the
// later half of the possible range is used, because peers' loads are reported with a delay.
func (p *Proxy) spreadRetryAfter(c *request, now time.Time) time.Duration {
	latest := c.maxRetryAfter(now)
	if latest <= retryBusy {
		return max(latest, retrySoon)
	}
	half := float64(latest-retryBusy) / 2
	return latest - time.Duration(p.random()*half)
}

// maxRetryAfter returns the longest retry time that the caller is expected to follow.
func (c *request) maxRetryAfter(now time.Time) time.Duration {
	return time.Duration(retryAfterShare*float64(c.deadline.Sub(now))) - retryAfterMargin
}

// spreadRetryFrom returns a random retry time between wait and maxRetryAfter, so that callers don't
// all return at the same time. If maxRetryAfter is not above wait, it is returned instead, but at
// least retrySoon.
func (p *Proxy) spreadRetryFrom(c *request, wait time.Duration, now time.Time) time.Duration {
	latest := c.maxRetryAfter(now)
	if latest <= wait {
		return max(latest, retrySoon)
	}
	return wait + time.Duration(p.random()*float64(latest-wait))
}

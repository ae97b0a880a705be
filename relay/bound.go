package relay

import (
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// Bound is this daemon's part of a bound on what replicas get from all daemons together. Its
// zero value bounds nothing.
type Bound struct {
	// Scarce returns a check for whether few requests may go to a replica; nil, or a nil
	// result, if that makes no difference to choices.
	Scarce func() func(r *fleet.Replica) bool
	// Check returns what is known at a time, as a check for whether a replica bears one more
	// request; nil, or a nil result, if none is bounded.
	Check func(now time.Time) func(r *fleet.Replica) bool
	// Take takes what a request needs to go to a replica, and returns until when it may be
	// sent; the zero time for any time. It reports false if there is nothing to take.
	Take func(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool)
	// Next returns when there is expected to be something to take.
	Next func(r *fleet.Replica, now time.Time) time.Time
}

func (b Bound) check(now time.Time) func(r *fleet.Replica) bool {
	if b.Check == nil {
		return nil
	}
	return b.Check(now)
}

func (b Bound) tightlyLimited() func(r *fleet.Replica) bool {
	if b.Scarce == nil {
		return nil
	}
	return b.Scarce()
}

func (b Bound) take(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	if b.Take == nil {
		return time.Time{}, true
	}
	return b.Take(r, now)
}

func (b Bound) next(r *fleet.Replica, now time.Time) time.Time {
	if b.Next == nil {
		return now
	}
	return b.Next(r, now)
}

// takeTokens takes what an attempt needs to go to a replica. It reports false if another request
// took it since the replica was judged.
func (r *Relay) takeTokens(c *request, replica *fleet.Replica, now time.Time) bool {
	c.sendBy = time.Time{}
	for _, bound := range []struct {
		Bound
		reason reason.Reason
	}{{r.opts.Rests, reason.Resting}, {r.opts.WarmUp, reason.WarmUp}, {r.opts.Limits, reason.Limited}} {
		sendBy, ok := bound.take(replica, now)
		if !ok {
			c.exhaustedBound = bound.reason
			return false
		}
		if c.sendBy.IsZero() || !sendBy.IsZero() && sendBy.Before(c.sendBy) {
			c.sendBy = sendBy
		}
	}
	return true
}

// boundMessages tell callers which bound leaves no replica.
var boundMessages = map[reason.Reason]string{
	reason.WarmUp:  "the replicas are warming up",
	reason.Limited: "the workers take no more requests now",
	reason.Resting: "the workers want no requests for a while",
}

// boundRefusal returns the refusal of a request that no replica bears yet, by which bound. Limits
// and rests may last, and leave room for few of those that come back, or with other daemons
// sooner than here, so these are spread.
func (r *Relay) boundRefusal(c *request, why reason.Reason, now time.Time) *refusal {
	wait := r.boundRetryAfter(c, now)
	if why == reason.Limited || why == reason.Resting {
		wait = r.spreadRetryFrom(c, wait, now)
	}
	return unavailable(why, boundMessages[why], wait)
}

// boundRetryAfter returns when a caller is to come back whose request no replica bears yet.
func (r *Relay) boundRetryAfter(c *request, now time.Time) time.Duration {
	wait := retryClosed
	for _, replica := range r.opts.View().Replicas(c.service, c.model) {
		if !c.tried[replica.ID] {
			wait = min(wait, r.availableAt(replica, now).Sub(now))
		}
	}
	return max(wait, retrySoon)
}

// availableAt returns when a replica is expected to bear a request of this daemon.
func (r *Relay) availableAt(replica *fleet.Replica, now time.Time) time.Time {
	next := now
	for _, bound := range []Bound{r.opts.Rests, r.opts.WarmUp, r.opts.Limits} {
		if at := bound.next(replica, now); at.After(next) {
			next = at
		}
	}
	return next
}

// hasToken reports whether a message has a token for one send.
func (m *message) hasToken() bool { return !m.sendBy.IsZero() }

// checkSendBy returns an error if a message is about to be sent later than it may be, after the
// opening of its connection took long or the process stood still.
func (m *message) checkSendBy(worker string, now time.Time) error {
	if !m.hasToken() || !now.After(m.sendBy) {
		return nil
	}
	return &sendError{cause: failure.New(failure.Refused, "send to worker", worker, "%s too late for its token", now.Sub(m.sendBy))}
}

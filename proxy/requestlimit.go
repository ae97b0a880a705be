package proxy

import (
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// RequestLimit is this daemon's share of a fleet-wide limit on the requests sent to replicas. The
// zero value limits nothing.
type RequestLimit struct {
	// TightlyLimited returns a function that reports whether a replica accepts only few requests.
	// TightlyLimited or its result may be nil if no replica does.
	TightlyLimited func() func(r *fleet.Replica) bool
	// Check returns a function that reports whether a replica can take one more request at the
	// given time. Check or its result may be nil if no replica is limited.
	Check func(now time.Time) func(r *fleet.Replica) bool
	// Take takes the token that a request needs to be sent to a replica. It returns the time by
	// which the request must be sent; zero for any time. It reports false if no token is left.
	Take func(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool)
	// Next returns when the next token for a replica is expected.
	Next func(r *fleet.Replica, now time.Time) time.Time
}

func (b RequestLimit) checker(now time.Time) func(r *fleet.Replica) bool {
	if b.Check == nil {
		return nil
	}
	return b.Check(now)
}

func (b RequestLimit) tightLimitChecker() func(r *fleet.Replica) bool {
	if b.TightlyLimited == nil {
		return nil
	}
	return b.TightlyLimited()
}

func (b RequestLimit) take(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	if b.Take == nil {
		return time.Time{}, true
	}
	return b.Take(r, now)
}

func (b RequestLimit) nextTokenAt(r *fleet.Replica, now time.Time) time.Time {
	if b.Next == nil {
		return now
	}
	return b.Next(r, now)
}

// takeTokens takes the tokens that an attempt at a replica needs. It reports false if another
// request took the last one since the replica was classified.
func (p *Proxy) takeTokens(c *request, replica *fleet.Replica, now time.Time) bool {
	c.sendBy = time.Time{}
	for _, bound := range []struct {
		RequestLimit
		reason reason.Reason
	}{{p.opts.RestLimit, reason.Resting}, {p.opts.WarmUpLimit, reason.WarmUp}, {p.opts.WorkerLimit, reason.Limited}} {
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

// boundMessages holds the messages to callers for each bound.
var boundMessages = map[reason.Reason]string{
	reason.WarmUp:  "the replicas are warming up",
	reason.Limited: "the workers take no more requests now",
	reason.Resting: "the workers want no requests for a while",
}

// boundRefusal returns the refusal of a request for which no replica has a token left. Callers
// refused because of limits or rests get random retry times. Tokens may stay scarce for long, and
// callers that retry at the same time would be refused again.
func (p *Proxy) boundRefusal(c *request, cause reason.Reason, now time.Time) *refusal {
	wait := p.boundRetryAfter(c, now)
	if cause == reason.Limited || cause == reason.Resting {
		wait = p.spreadRetryFrom(c, wait, now)
	}
	return newUnavailable(cause, boundMessages[cause], wait)
}

// boundRetryAfter returns after how long a caller should retry when no replica has a token left.
func (p *Proxy) boundRetryAfter(c *request, now time.Time) time.Duration {
	retryAfter := retryClosed
	for _, replica := range p.opts.View().Replicas(c.service, c.model) {
		if !c.triedReplicas[replica.ID] {
			retryAfter = min(retryAfter, p.availableAt(replica, now).Sub(now))
		}
	}
	return max(retryAfter, retrySoon)
}

// availableAt returns when a replica is expected to take a request from this daemon.
func (p *Proxy) availableAt(replica *fleet.Replica, now time.Time) time.Time {
	next := now
	for _, bound := range []RequestLimit{p.opts.RestLimit, p.opts.WarmUpLimit, p.opts.WorkerLimit} {
		if at := bound.nextTokenAt(replica, now); at.After(next) {
			next = at
		}
	}
	return next
}

// hasToken reports whether the message uses a token, which allows only one send.
func (m *message) hasToken() bool { return !m.sendBy.IsZero() }

// checkSendBy returns an error if the message's token has expired, for example during a slow
// connect.
func (m *message) checkSendBy(worker string, now time.Time) error {
	if !m.hasToken() || !now.After(m.sendBy) {
		return nil
	}
	return &sendError{cause: failure.New(failure.Refused, "send to worker", worker, "%s too late for its token", now.Sub(m.sendBy))}
}

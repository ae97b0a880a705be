package proxy

import (
	"time"

	"quartzshelf.dev/common/reason"
)

// nearlyFullShare is a share of a replica's slots. If at least that share is taken, a late first
// event is attributed to a lack of slots.
const nearlyFullShare = 0.9

// lateness records whether the events of a stream were on time, and if not, why.
type lateness struct {
	// cause is the first reason for which the stream was late; empty while it is on time.
	cause   reason.Reason
	replica string
	// firstDelay is the time to the first event, longestPause the longest pause after it.
	firstDelay, longestPause time.Duration
	// isResuming reports whether the stream broke off and no event has arrived since.
	isResuming bool
}

// recordFirst records that the first event was forwarded.
func (l *lateness) recordFirst(c *request, replica string, now time.Time) {
	l.firstDelay, l.isResuming = now.Sub(c.arrived), false
	if c.route.Objective <= 0 || l.firstDelay <= c.route.Objective {
		return
	}
	switch {
	case c.sends+c.rejections > 0:
		l.setCause(reason.LateRetried, replica)
	case c.engine != nil && c.chosenInFlight >= nearlyFullShare*float64(c.engine.Slots):
		l.setCause(reason.LateFull, replica)
	default:
		l.setCause(reason.LateFirstEvent, replica)
	}
}

// recordNext records that a further event was forwarded after a pause.
func (l *lateness) recordNext(c *request, replica string, pause time.Duration) {
	l.longestPause = max(l.longestPause, pause)
	if c.route.GapTarget > 0 && pause > c.route.GapTarget {
		cause := reason.LatePaused
		if l.isResuming {
			cause = reason.LateResumed
		}
		l.setCause(cause, replica)
	}
	l.isResuming = false
}

func (l *lateness) setCause(cause reason.Reason, replica string) {
	if l.cause == "" {
		l.cause, l.replica = cause, replica
	}
}

// logLate counts and logs a stream that was late.
func (p *Proxy) logLate(c *request, l *lateness) {
	if l.cause == "" {
		return
	}
	p.opts.Meter.CountLateStream(l.cause)
	p.opts.Logger.Info("stream late", "request", c.id, "reason", string(l.cause), "service", c.service, "model", c.model,
		"replica", l.replica, "first_ms", l.firstDelay.Milliseconds(), "pause_ms", l.longestPause.Milliseconds(), "sends", c.sends,
		"rejections", c.rejections, "busy", int(c.chosenInFlight), "prompt", c.promptTokens, "ms", time.Since(c.arrived).Milliseconds())
}

package relay

import (
	"time"

	"quartzshelf.dev/common/reason"
)

// nearlyFullShare is the part of a replica's slots that were taken, as far as was known, when a
// late first event is put down to want of slots.
const nearlyFullShare = 0.9

// lateness notes whether the events of a stream came in time, and why not.
type lateness struct {
	// reason is the first reason for which the stream is late; empty while it is not.
	reason  reason.Reason
	replica string
	// firstDelay is how long the first event took, pause the longest pause after it.
	firstDelay, longestPause time.Duration
	// isResuming tells that the stream broke off and that no event came since.
	isResuming bool
}

// recordFirst notes that the first event was passed on.
func (l *lateness) recordFirst(c *request, replica string, now time.Time) {
	l.firstDelay, l.isResuming = now.Sub(c.arrived), false
	if c.route.Objective <= 0 || l.firstDelay <= c.route.Objective {
		return
	}
	switch {
	case c.sends+c.rejections > 0:
		l.setReason(reason.LateRetried, replica)
	case c.engine != nil && c.chosenBusy >= nearlyFullShare*float64(c.engine.Slots):
		l.setReason(reason.LateFull, replica)
	default:
		l.setReason(reason.LateFirst, replica)
	}
}

// recordNext notes that a further event was passed on, so long after the one before.
func (l *lateness) recordNext(c *request, replica string, pause time.Duration) {
	l.longestPause = max(l.longestPause, pause)
	if c.route.GapTarget > 0 && pause > c.route.GapTarget {
		why := reason.LatePause
		if l.isResuming {
			why = reason.LateResumed
		}
		l.setReason(why, replica)
	}
	l.isResuming = false
}

func (l *lateness) setReason(why reason.Reason, replica string) {
	if l.reason == "" {
		l.reason, l.replica = why, replica
	}
}

// logLate counts a stream that was late, and logs why.
func (r *Relay) logLate(c *request, l *lateness) {
	if l.reason == "" {
		return
	}
	r.opts.Meter.Late(l.reason)
	r.opts.Logger.Info("stream late", "request", c.id, "reason", string(l.reason), "service", c.service, "model", c.model,
		"replica", l.replica, "first_ms", l.firstDelay.Milliseconds(), "pause_ms", l.longestPause.Milliseconds(), "sends", c.sends,
		"rejections", c.rejections, "busy", int(c.chosenBusy), "prompt", c.promptTokens, "ms", time.Since(c.arrived).Milliseconds())
}

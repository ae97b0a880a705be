package relay

import (
	"time"

	"quartzshelf.dev/common/reason"
)

// nearlyFull is the part of a replica's slots that were taken, as far as was known, when a
// late first event is put down to want of slots.
const nearlyFull = 0.9

// lateness notes whether the events of a stream came in time, and why not.
type lateness struct {
	// why is the first reason for which the stream is late; empty while it is not.
	why     reason.Reason
	replica string
	// first is how long the first event took, pause the longest pause after it.
	first, pause time.Duration
	// moving tells that the stream broke off and that no event came since.
	moving bool
}

// noteFirst notes that the first event was passed on.
func (l *lateness) noteFirst(c *request, replica string, now time.Time) {
	l.first, l.moving = now.Sub(c.arrived), false
	if c.route.Objective <= 0 || l.first <= c.route.Objective {
		return
	}
	switch {
	case c.sends+c.rejections > 0:
		l.note(reason.LateRetried, replica)
	case c.engine != nil && c.chosenBusy >= nearlyFull*float64(c.engine.Slots):
		l.note(reason.LateFull, replica)
	default:
		l.note(reason.LateFirst, replica)
	}
}

// noteNext notes that a further event was passed on, so long after the one before.
func (l *lateness) noteNext(c *request, replica string, pause time.Duration) {
	l.pause = max(l.pause, pause)
	if c.route.GapTarget > 0 && pause > c.route.GapTarget {
		why := reason.LatePause
		if l.moving {
			why = reason.LateResumed
		}
		l.note(why, replica)
	}
	l.moving = false
}

func (l *lateness) note(why reason.Reason, replica string) {
	if l.why == "" {
		l.why, l.replica = why, replica
	}
}

// tellLate counts a stream that was late, and logs why.
func (r *Relay) tellLate(c *request, l *lateness) {
	if l.why == "" {
		return
	}
	r.opts.Meter.Late(l.why)
	r.opts.Logger.Info("stream late", "request", c.id, "reason", string(l.why), "service", c.service, "model", c.model,
		"replica", l.replica, "first_ms", l.first.Milliseconds(), "pause_ms", l.pause.Milliseconds(), "sends", c.sends,
		"rejections", c.rejections, "busy", int(c.chosenBusy), "prompt", c.prompt, "ms", time.Since(c.arrived).Milliseconds())
}

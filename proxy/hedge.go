package proxy

import (
	"context"
	"time"

	"quartzshelf.dev/eligibility"
	"quartzshelf.dev/telemetry"
)

// hedgeRetryInterval is how long a silent stream waits before it looks again for a replica that can
// take a hedge.
const hedgeRetryInterval = 300 * time.Millisecond

// silence is the state of a stream whose current attempt is silent. A silent worker may be dead or only
// pause. The attempt is therefore given up only once a hedge, a second attempt beside it, has received
// an event. The zero value means that the attempt is not silent.
type silence struct {
	// hedgeAt is the earliest time at which a hedge may start.
	hedgeAt time.Time
	// check is the check of this daemon's links, which may be the cause of the silence.
	check *linkCheck
}

// mayHedge reports whether the request may run at one worker more than it does.
func (c *request) mayHedge() bool {
	return !c.isDone() && c.route.Repeatable() && c.sends+1 < c.route.MaxAttempts && c.rejections <= maxRejections
}

// onSilence is called in the goroutine of a stream, within a read, when its current attempt may be
// silent or the state of its hedge has changed. It returns an error if the attempt must be given up.
func (p *Proxy) onSilence(ctx context.Context, c *request, s *relayedStream, a *streamAttempt) error {
	if s.hedge != nil {
		return p.settleHedge(c, s, a)
	}
	now := time.Now()
	if a.watch == nil || !c.mayHedge() {
		return nil
	}
	cause := p.opts.Tracker.Silence(a.chosen.replica, a.watch, now)
	if cause == nil {
		return nil
	}
	if s.silence.check == nil {
		s.silence = silence{hedgeAt: now.Add(p.resumeDelay(c, s, now)), check: p.links.start(c.service, a.chosen.replica.Head.ID, now)}
		p.links.notify(s.silence.check, a.interrupts.interrupt)
	}
	if now.Before(s.silence.hedgeAt) || !s.silence.check.isDone() {
		return nil
	}
	if !p.startHedge(ctx, c, s, a, cause) {
		s.silence.hedgeAt = now.Add(hedgeRetryInterval)
	}
	return nil
}

// startHedge starts a hedge beside a silent attempt. It returns false if there is no destination that is
// likely to answer, or no retry left in the budget.
func (p *Proxy) startHedge(ctx context.Context, c *request, s *relayedStream, a *streamAttempt, cause error) bool {
	if !p.budget.hasRetry(c.service, time.Now()) {
		return false
	}
	c.triedReplicas[a.chosen.replica.ID] = true
	if s.silence.check.isUp {
		c.recordFailedHead(a.chosen.replica, cause)
	}
	chosen, refused := p.chooseWithin(c, eligibility.LastResort)
	if refused != nil || !p.takeFromBudget(c) {
		return false
	}
	h := p.beginAttempt(ctx, c, s, chosen, c.sends+1)
	c.chosenAt, c.chosenInFlight = a.chosenAt, a.inFlight
	s.hedge = h
	h.message.takeRetry = func() bool { return p.budget.takeRetry(c.service, time.Now()) }
	h.interrupts.setHandler(func() error { return nil })
	p.opts.Meter.CountRetry(s.retryReason(true))
	p.opts.Logger.Info("hedge started", "request", c.id, "silent", a.chosen.id(), "at", chosen.id(), "after_event", s.lastEventID,
		"silent_ms", time.Since(s.lastEventAt).Milliseconds(), "error", cause)
	p.hedges.Go(func() {
		h.err = p.openHedge(h)
		close(h.opened)
		a.interrupts.interrupt()
	})
	return true
}

// settleHedge is called while a hedge is under way. If the hedge has received an event, it cancels the
// silent attempt and returns the cause. If the hedge has failed, the attempt goes on without it.
func (p *Proxy) settleHedge(c *request, s *relayedStream, a *streamAttempt) error {
	select {
	case <-s.hedge.opened:
	default:
		return nil
	}
	if s.hedge.err != nil {
		p.recordFailedHedge(c, s)
		s.silence.hedgeAt = time.Now().Add(hedgeRetryInterval)
		return nil
	}
	cause := errStreamSilent
	if a.watch != nil {
		if found := p.opts.Tracker.Silence(a.chosen.replica, a.watch, time.Now()); found != nil {
			cause = found
		}
	}
	a.cancel(cause)
	return cause
}

// waitForHedge waits until the hedge has received an event or failed. If it has failed, waitForHedge
// records that and returns the error.
func (p *Proxy) waitForHedge(c *request, s *relayedStream) error {
	<-s.hedge.opened
	if err := s.hedge.err; err != nil {
		p.recordFailedHedge(c, s)
		return err
	}
	p.opts.Meter.CountHedge(telemetry.HedgeUsed)
	return nil
}

func (p *Proxy) recordFailedHedge(c *request, s *relayedStream) {
	h := s.hedge
	s.hedge = nil
	p.endAttempt(h)
	p.opts.Meter.CountHedge(telemetry.HedgeFailed)
	p.recordFailed(c, h.chosen, h.err)
}

// hasOpenHedge reports whether a hedge has received an event.
func (s *relayedStream) hasOpenHedge() bool {
	if s.hedge == nil {
		return false
	}
	select {
	case <-s.hedge.opened:
		return s.hedge.err == nil
	default:
		return false
	}
}

// recordSilence records that a silent attempt was given up for its hedge.
func (p *Proxy) recordSilence(c *request, s *relayedStream, silent *streamAttempt, err error) {
	p.opts.Meter.CountHedge(telemetry.HedgeUsed)
	p.logResume(c, s, silent, err)
	p.countFailure(c, silent.chosen.replica, err)
	if s.hedge.chosen.peer == nil {
		p.blame(c, silent.chosen.replica, err)
	}
}

// dropHedge ends the hedge, if there is one, because the current attempt goes on or the request has
// ended.
func (p *Proxy) dropHedge(c *request, s *relayedStream) {
	h := s.hedge
	if h == nil {
		return
	}
	s.hedge = nil
	p.endAttempt(h)
	p.opts.Meter.CountHedge(telemetry.HedgeDropped)
	if h.chosen.replica != nil {
		c.triedReplicas[h.chosen.replica.ID] = true
	}
	if p.mayHaveRunHedge(h) {
		c.sends++
	}
	p.opts.Logger.Info("hedge dropped", "request", c.id, "at", h.chosen.id(), "after_event", s.lastEventID)
}

// mayHaveRunHedge reports whether a hedge that was dropped may have run.
func (p *Proxy) mayHaveRunHedge(h *streamAttempt) bool {
	select {
	case <-h.opened:
		return h.err == nil || mayHaveArrived(h.err)
	default:
		return true
	}
}

package proxy

import (
	"context"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/eligibility"
	"quartzshelf.dev/telemetry"
)

// onSilence is called in the goroutine of a stream, within a read, when its current attempt may be
// silent or a hedge has changed. It returns an error if the attempt must be given up for a hedge.
func (p *Proxy) onSilence(ctx context.Context, c *request, s *relayedStream, a *streamAttempt) error {
	p.removeFailedHedges(c, s)
	if !s.hasOpenHedge() {
		p.considerHedge(ctx, c, s)
		return nil
	}
	cause := errStreamSilent
	if a.watch != nil {
		if found := p.opts.Tracker.Silence(a.watch); found != nil {
			cause = found
		}
	}
	a.cancel(cause)
	return cause
}

// considerHedge starts a hedge if the newest attempt is silent and the request may be sent once more.
func (p *Proxy) considerHedge(ctx context.Context, c *request, s *relayedStream) {
	a, underWay := s.newest()
	if a == nil || a.watch == nil || !c.mayHedge(underWay) {
		return
	}
	cause := p.opts.Tracker.Silence(a.watch)
	if cause == nil {
		return
	}
	now := time.Now()
	if s.silence.attempt != a {
		check := p.links.start(c.service, a.chosen.replica.Head.ID, now)
		s.silence = streamSilence{attempt: a, hedgeAt: now.Add(p.resumeDelay(c, s, now)), check: check}
		p.links.notify(check, s.notify)
	}
	if !s.silence.isDue(now) {
		return
	}
	if refusal := p.startHedge(ctx, c, s, a, cause); refusal != "" {
		s.silence.hedgeAt, s.silence.refusal = now.Add(hedgeRetryInterval), refusal
	}
}

// startHedge starts a hedge beside a silent attempt. It returns the reason if there is no destination that
// is likely to answer, or no retry left in the budget.
func (p *Proxy) startHedge(ctx context.Context, c *request, s *relayedStream, silent *streamAttempt, cause error) reason.Reason {
	if !p.budget.hasRetry(c.service, time.Now()) {
		return reason.RetryBudgetExhausted
	}
	c.triedReplicas[silent.chosen.replica.ID] = true
	if s.silence.check.isUp {
		c.recordFailedHead(silent.chosen.replica, cause)
	}
	defer c.useChoice(silent)
	chosen, refused := p.chooseWithin(c, eligibility.LastResort)
	if refused != nil {
		return refused.reason
	}
	if !p.takeFromBudget(c) {
		return reason.RetryBudgetExhausted
	}
	_, underWay := s.newest()
	h := p.beginAttempt(ctx, c, s, chosen, c.sends+underWay)
	h.message.takeRetry = func() bool { return p.budget.takeRetry(c.service, time.Now()) }
	h.interrupts.setHandler(func() error {
		s.notify()
		return nil
	})
	s.hedges = append(s.hedges, h)
	p.opts.Meter.CountRetry(s.retryReason(true))
	p.opts.Logger.Info("hedge started", "request", c.id, "silent", silent.chosen.id(), "at", chosen.id(), "after_event", s.lastEventID,
		"silent_ms", time.Since(s.lastEventAt).Milliseconds(), "error", cause)
	p.hedges.Go(func() {
		defer s.notify()
		defer close(h.opened)
		h.err = p.openHedge(h)
	})
	return ""
}

// notify tells the stream's goroutine that a hedge has changed.
func (s *relayedStream) notify() {
	select {
	case s.hedgeChanged <- struct{}{}:
	default:
	}
	if a := s.current.Load(); a != nil {
		a.interrupts.interrupt()
	}
}

// waitForHedge waits, while there is no current attempt, until a hedge has received an event or failed. It
// starts further hedges beside silent ones. If a hedge has failed, it records that and returns the error.
func (p *Proxy) waitForHedge(ctx context.Context, c *request, s *relayedStream) error {
	for {
		if s.hasOpenHedge() {
			return nil
		}
		if err := p.removeFailedHedges(c, s); err != nil {
			return err
		}
		p.considerHedge(ctx, c, s)
		<-s.hedgeChanged
	}
}

// removeFailedHedges records and removes the hedges that have failed. It returns the error of the last one,
// or nil.
func (p *Proxy) removeFailedHedges(c *request, s *relayedStream) error {
	var failed error
	for _, h := range append([]*streamAttempt(nil), s.hedges...) {
		if !h.hasSettled() || h.err == nil {
			continue
		}
		s.removeHedge(h)
		p.endAttempt(h)
		p.opts.Meter.CountHedge(telemetry.HedgeFailed)
		c.useChoice(h)
		p.recordFailed(c, h.chosen, h.err)
		failed = h.err
	}
	if a, _ := s.newest(); failed != nil && a != nil {
		c.useChoice(a)
	}
	return failed
}

// recordAbandoned records that a silent attempt was given up for a hedge.
func (p *Proxy) recordAbandoned(c *request, s *relayedStream, silent *streamAttempt, err error) {
	p.opts.Meter.CountHedge(telemetry.HedgeUsed)
	p.logResume(c, s, silent, err)
	if silent.chosen.replica == nil {
		p.recordPeerFailure(c, silent.chosen.peer, err)
		return
	}
	p.countFailure(c, silent.chosen.replica, err)
	if !p.links.isDown(c.service) {
		p.blame(c, silent.chosen.replica, err)
	}
}

// dropHedges ends the hedges, because the current attempt goes on or the request has ended. Those that may
// have run count as attempts.
func (p *Proxy) dropHedges(c *request, s *relayedStream) {
	for _, h := range s.hedges {
		p.endAttempt(h)
		p.opts.Meter.CountHedge(telemetry.HedgeDropped)
		if h.chosen.replica != nil {
			c.triedReplicas[h.chosen.replica.ID] = true
		}
		if !h.hasSettled() || mayHaveArrived(h.err) {
			c.sends++
		}
		p.opts.Logger.Info("hedge dropped", "request", c.id, "at", h.chosen.id(), "after_event", s.lastEventID)
	}
	s.hedges = nil
}

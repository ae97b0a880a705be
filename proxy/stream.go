package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/telemetry"
)

const (
	streamBufferBytes = 2 << 10
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// resumeTimeout is how long after it broke a started stream may wait for a replica at which to
	// resume. Callers are expected to disconnect soon after that.
	resumeTimeout      = 1600 * time.Millisecond
	resumePollInterval = 40 * time.Millisecond
)

var errPartialEvent = fmt.Errorf("the stream ended within an event: %w", io.ErrUnexpectedEOF)

// relayedStream is the state of a stream as its caller has received it.
type relayedStream struct {
	w http.ResponseWriter
	// isHeadSent reports whether the header was sent to the caller. After that, only further events
	// of this stream may follow.
	isHeadSent bool
	// lastEventID is the ID of the last complete event forwarded.
	lastEventID string
	// lastEventAt is when the last event was forwarded. Until the first one, it is when the request
	// arrived.
	lastEventAt time.Time
	// resumeBy is until when the stream, whose last attempt broke, may wait for a replica.
	resumeBy time.Time
	// isClientGone reports whether a write to the caller failed.
	isClientGone bool
	timing       lateness
	// current is the attempt whose answer is relayed. Nil between two attempts.
	current atomic.Pointer[streamAttempt]
	// hedges holds the attempts under way beside the current one, in the order of their starts.
	hedges []*streamAttempt
	// hedgeChanged is signaled when a hedge has received an event, has failed or may be silent.
	hedgeChanged chan struct{}
	silence      streamSilence
	// memory accounts for events that do not fit into the initial buffer of an attempt.
	memory *bufferlimit.Memory
}

// serveStream relays a stream, and resumes it at another replica if it breaks.
func (p *Proxy) serveStream(w http.ResponseWriter, c *request) *refusal {
	s := &relayedStream{w: w, lastEventID: c.header.Get(p.opts.Names.LastEventID), lastEventAt: c.arrived, hedgeChanged: make(chan struct{}, 1), memory: c.memory}
	p.opts.Tracker.RecordGapTarget(c.model, c.route.GapTarget, c.arrived)
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	p.waitingStreams.add(c, cancel)
	defer p.waitingStreams.remove(c)
	defer p.dropHedges(c, s)
	for {
		a, refused := p.nextAttempt(ctx, c, s)
		if refused != nil {
			return p.endStream(c, s, refused)
		}
		err := p.relayAttempt(c, s, a)
		s.current.Store(nil)
		p.endAttempt(a)
		if err == nil {
			p.logLate(c, &s.timing)
			return nil
		}
		s.timing.isResuming = true
		if s.isClientGone {
			// Nobody is left to retry for, and the replica is not to blame.
			c.cancel()
		}
		if refused := p.prepareRetry(ctx, c, s, a, err); refused != nil {
			return p.endStream(c, s, refused)
		}
	}
}

// nextAttempt returns a hedge that has received an event if there is one, and starts an attempt otherwise.
func (p *Proxy) nextAttempt(ctx context.Context, c *request, s *relayedStream) (*streamAttempt, *refusal) {
	a := s.takeOpenHedge()
	if a == nil {
		chosen, refused := p.chooseOrWait(c, s)
		if refused != nil {
			return nil, refused
		}
		a = p.beginAttempt(ctx, c, s, chosen, c.sends)
	}
	c.useChoice(a)
	s.current.Store(a)
	a.interrupts.setHandler(func() error { return p.onSilence(ctx, c, s, a) })
	return a, nil
}

// prepareRetry records a failed attempt and prepares the next one. If hedges are under way, it waits for
// the first one that receives an event. It returns a refusal if there may be no further attempt.
func (p *Proxy) prepareRetry(ctx context.Context, c *request, s *relayedStream, failed *streamAttempt, err error) *refusal {
	s.resumeBy = time.Now().Add(resumeTimeout)
	if s.hasOpenHedge() && errors.Is(err, errReplicaSilent) {
		p.recordAbandoned(c, s, failed, err)
		return nil
	}
	mayHaveRun := p.recordFailed(c, failed.chosen, err)
	for len(s.hedges) > 0 {
		if err = p.waitForHedge(ctx, c, s); err == nil {
			p.opts.Meter.CountHedge(telemetry.HedgeUsed)
			p.logResume(c, s, failed, c.lastErr)
			return nil
		}
		mayHaveRun = mayHaveArrived(err)
	}
	if refused := p.checkRetry(c, err, mayHaveRun); refused != nil {
		return refused
	}
	pause.Sleep(c.ctx, p.resumeDelay(c, s, time.Now()))
	if s.isHeadSent {
		p.logResume(c, s, failed, err)
	}
	p.opts.Meter.CountRetry(s.retryReason(mayHaveRun))
	return nil
}

// retryReason returns the reason by which a further attempt of the stream is counted.
func (s *relayedStream) retryReason(mayHaveRun bool) reason.Reason {
	if s.isHeadSent {
		return reason.RetryResumed
	}
	return retryReason(mayHaveRun)
}

func (p *Proxy) logResume(c *request, s *relayedStream, failed *streamAttempt, err error) {
	p.opts.Logger.Info("stream resumes", "request", c.id, "from", failed.chosen.id(), "after_event", s.lastEventID, "error", err)
}

// chooseOrWait chooses where to send an attempt. A stream that has started or is late may wait.
func (p *Proxy) chooseOrWait(c *request, s *relayedStream) (destination, *refusal) {
	for {
		chosen, refused := p.choose(c)
		if refused == nil || !p.mayWait(c, s, refused, time.Now()) {
			return chosen, refused
		}
		pause.Sleep(c.ctx, resumePollInterval)
	}
}

// endStream ends a stream that can't continue. It returns a refusal if the caller has received
// nothing. Otherwise it aborts the connection, so that the incomplete answer doesn't look complete.
func (p *Proxy) endStream(c *request, s *relayedStream, f *refusal) *refusal {
	f = c.correctStatus(f)
	if !s.isHeadSent {
		return f
	}
	p.opts.Meter.CountRefusal(f.reason)
	fields := []any{"request", c.id, "reason", string(f.reason), "after_event", s.lastEventID,
		"sends", c.sends, "retry_budget", c.budgetAtRefusal, "client_gone", s.isClientGone, "ms", time.Since(c.arrived).Milliseconds(),
		"silent_ms", time.Since(s.lastEventAt).Milliseconds(), "no_hedge", s.silence.refusal, "config_begun", c.configVersion, "config", p.configVersion(), "error", c.lastErr}
	p.opts.Logger.Info("stream broken off", append(fields, p.stopFields(c)...)...)
	panic(http.ErrAbortHandler)
}

// relayAttempt relays the answer to an attempt until the stream is complete. It sends the attempt
// unless that was done before.
func (p *Proxy) relayAttempt(c *request, s *relayedStream, a *streamAttempt) error {
	if a.exchange == nil {
		if err := p.openAttempt(a); err != nil {
			return err
		}
	}
	e := a.exchange
	if !p.isSignedStream(e) {
		return p.passOnFailure(c, s, a)
	}
	onForwarded := func() { p.recordForwarded(a) }
	if err := s.copyEvents(e, func(now time.Time) { p.recordEvent(c, s, a, now) }, onForwarded); err != nil {
		e.abort()
		return withCause(a.ctx, a.sender(), &sendError{mayHaveArrived: true, cause: err})
	}
	e.finish()
	p.recordAnswered(c, a)
	return nil
}

// recordAnswered records that a worker or peer answered completely.
func (p *Proxy) recordAnswered(c *request, a *streamAttempt) {
	if a.chosen.peer != nil {
		p.opts.Meter.CountForward(forwardAnswered)
		return
	}
	p.recordCompletion(c, a.exchange)
}

// recordEvent records that an event of the current attempt arrived. Hedges are no longer needed.
func (p *Proxy) recordEvent(c *request, s *relayedStream, a *streamAttempt, now time.Time) {
	if s.isHeadSent {
		s.timing.recordNext(c, a.chosen.id(), now.Sub(s.lastEventAt))
	} else {
		p.opts.Meter.RecordFirstToken(c.arrived)
		p.waitingStreams.remove(c)
		s.timing.recordFirst(c, a.chosen.id(), now)
	}
	p.dropHedges(c, s)
	s.silence = streamSilence{}
	replica := a.chosen.replica
	if replica == nil {
		return
	}
	a.reservation.MarkPromptRead()
	if silence := p.opts.Tracker.RecordEvent(replica, a.watch, now); silence > 0 {
		p.opts.Meter.CountStall(telemetry.StallEnded)
		p.opts.Logger.Info("replica sends events again", "replica", replica.ID, "head", replica.Head.ID, "silent_ms", silence.Milliseconds())
	}
	a.watch.BeginForward()
}

// recordForwarded records that the caller has received the last event.
func (p *Proxy) recordForwarded(a *streamAttempt) {
	if a.watch != nil {
		p.opts.Tracker.EndForward(a.watch, time.Now())
	}
}

// passOnFailure handles an answer that is not a signed stream. An error status is passed on if the
// caller has received nothing yet, but a worker's server error (5xx) only at the last attempt. In all
// other cases it returns an error.
func (p *Proxy) passOnFailure(c *request, s *relayedStream, a *streamAttempt) error {
	got, err := p.readAnswer(a.ctx, c, a.exchange, a.sender())
	if err != nil {
		return err
	}
	isFromPeer := a.chosen.peer != nil
	if !isFromPeer {
		p.recordCompletion(c, a.exchange)
	}
	isLast := isFromPeer || c.sends+1 >= c.route.MaxAttempts
	if s.isHeadSent || got.status < http.StatusBadRequest || got.status >= http.StatusInternalServerError && !isLast {
		return &sendError{mayHaveArrived: true, cause: failure.New(failure.Remote, "read stream", a.sender(), "status %d", got.status)}
	}
	if isFromPeer {
		p.opts.Meter.CountForward(forwardAnswered)
	} else {
		c.sends++
	}
	writeAnswer(s.w, got)
	return nil
}

// copyEvents forwards complete events as they arrive, until the stream ends.
func (s *relayedStream) copyEvents(e *exchange, onEvent func(time.Time), onForwarded func()) error {
	reserved := int64(0)
	defer func() { s.memory.Shrink(reserved) }()
	buffer := make([]byte, 0, streamBufferBytes)
	hasEvents := false
	for {
		if len(buffer) == cap(buffer) {
			if err := growForEvent(e.ctx, s.memory, cap(buffer)); err != nil {
				return err
			}
			reserved += int64(cap(buffer))
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := e.response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		events, rest := splitEvents(buffer)
		if len(events) > 0 {
			hasEvents = true
			onEvent(time.Now())
			err := s.forward(e, events)
			onForwarded()
			if err != nil {
				return err
			}
			buffer = append(buffer[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.finish(e, len(rest) > 0 || !hasEvents && e.isUnframed())
		case err != nil:
			return err
		}
	}
}

// finish ends the stream after the worker's answer has ended. It returns an error if the answer was
// broken off: within an event, or before its first one if only the end of the connection ends it. A
// resumed stream may end without a further event, but only with an answer that has a length or chunks.
func (s *relayedStream) finish(e *exchange, isBroken bool) error {
	if isBroken {
		return errPartialEvent
	}
	s.sendHead(e)
	return nil
}

// sendHead sends the answer's header to the caller, unless a header was sent before.
func (s *relayedStream) sendHead(e *exchange) {
	if s.isHeadSent {
		return
	}
	header := s.w.Header()
	for name, values := range forwardedHeaders(e.response.Header) {
		header[name] = values
	}
	s.w.WriteHeader(http.StatusOK)
	s.isHeadSent = true
}

// forward sends complete events to the caller.
func (s *relayedStream) forward(e *exchange, events []byte) error {
	s.sendHead(e)
	if _, err := s.w.Write(events); err != nil {
		s.isClientGone = true
		return err
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
	if id := lastID(events); id != "" {
		s.lastEventID = id
	}
	s.lastEventAt = time.Now()
	return nil
}

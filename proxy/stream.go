package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/telemetry"
)

const (
	streamBufferBytes = 2 << 10
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// resumeTimeout is how long after its last event a started stream may wait for a replica at
	// which to resume. Callers are expected to disconnect soon after that.
	resumeTimeout      = 1600 * time.Millisecond
	resumePollInterval = 40 * time.Millisecond
)

var (
	errPartialEvent = fmt.Errorf("the stream ended within an event: %w", io.ErrUnexpectedEOF)
	errLongEvent    = fmt.Errorf("an event is longer than %d bytes", maxEventBytes)
)

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
	// isClientGone reports whether a write to the caller failed.
	isClientGone bool
	timing       lateness
}

// serveStream relays a stream, and resumes it at another replica if it breaks.
func (p *Proxy) serveStream(w http.ResponseWriter, c *request) *refusal {
	s := &relayedStream{w: w, lastEventID: c.header.Get(p.opts.Names.LastEventID), lastEventAt: c.arrived}
	p.opts.Tracker.RecordGapTarget(c.model, c.route.GapTarget, c.arrived)
	for {
		chosen, refused := p.chooseOrWait(c, s)
		if refused != nil {
			return p.endStream(c, s, refused)
		}
		err := p.tryStream(c, s, chosen)
		if err == nil {
			p.logLate(c, &s.timing)
			return nil
		}
		s.timing.isResuming = true
		if s.isClientGone {
			// Nobody is left to retry for, and the replica is not to blame.
			c.cancel()
		}
		mayHaveRun, refused := p.recordAttempt(c, chosen, err)
		if refused != nil {
			return p.endStream(c, s, refused)
		}
		pause.Sleep(c.ctx, p.resumeDelay(c, s, time.Now()))
		if s.isHeadSent {
			p.opts.Logger.Info("stream resumes", "request", c.id, "from", chosen.id(), "after_event", s.lastEventID, "error", err)
			p.opts.Meter.CountRetry(reason.RetryResumed)
			continue
		}
		p.opts.Meter.CountRetry(retryReason(mayHaveRun))
	}
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
	p.opts.Logger.Info("stream broken off", "request", c.id, "reason", string(f.reason), "after_event", s.lastEventID,
		"sends", c.sends, "retry_budget", c.budgetAtRefusal, "client_gone", s.isClientGone, "ms", time.Since(c.arrived).Milliseconds(),
		"silent_ms", time.Since(s.lastEventAt).Milliseconds(), "config_begun", c.configVersion, "config", p.configVersion(), "error", c.lastErr)
	panic(http.ErrAbortHandler)
}

// tryStream sends the request to one replica or peer and relays the answer until the stream is
// complete.
func (p *Proxy) tryStream(c *request, s *relayedStream, chosen destination) error {
	if chosen.peer != nil {
		return p.forwardStream(c, s, chosen.peer)
	}
	replica := chosen.replica
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	p.waitingStreams.add(c, cancel)
	defer p.waitingStreams.remove(c)
	reservation := p.opts.Tracker.Reserve(replica, c.promptTokens)
	defer reservation.Release()
	watch := p.opts.Tracker.Watch(replica, costsOf(c.engine, c.model, replica.Head.Slots), cancel)
	defer p.opts.Tracker.Unwatch(replica, watch)
	e, err := p.sendTo(ctx, c, replica.Head, s.lastEventID)
	if err != nil {
		return err
	}
	if err := p.checkRejected(e, replica.Head.ID); err != nil {
		e.discard()
		return err
	}
	if e.response.StatusCode != http.StatusOK || e.response.Header.Get(p.opts.Names.Signature) == "" {
		return p.handleStreamFailure(ctx, c, s, e, replica)
	}
	onEvent := func(now time.Time) {
		if s.isHeadSent {
			s.timing.recordNext(c, replica.ID, now.Sub(s.lastEventAt))
		} else {
			p.opts.Meter.RecordFirstToken(c.arrived)
			p.waitingStreams.remove(c)
			s.timing.recordFirst(c, replica.ID, now)
		}
		reservation.MarkPromptRead()
		if silence := p.opts.Tracker.RecordEvent(replica, watch, now); silence > 0 {
			p.opts.Meter.CountStall(telemetry.StallEnded)
			p.opts.Logger.Info("replica sends events again", "replica", replica.ID, "head", replica.Head.ID, "silent_ms", silence.Milliseconds())
		}
		watch.BeginForward()
	}
	onForwarded := func() { p.opts.Tracker.EndForward(watch, time.Now()) }
	if err := s.copyEvents(e, onEvent, onForwarded); err != nil {
		e.abort()
		return withCause(ctx, replica.Head.ID, &sendError{mayHaveArrived: true, cause: err})
	}
	e.finish()
	p.recordCompletion(c, e)
	return nil
}

// handleStreamFailure handles an answer that is not a signed stream. An error status is forwarded
// if the caller has received nothing yet, but a server error (5xx) only at the last attempt. In all
// other cases handleStreamFailure returns an error.
func (p *Proxy) handleStreamFailure(ctx context.Context, c *request, s *relayedStream, e *exchange, replica *fleet.Replica) error {
	got, err := p.readAnswer(ctx, c, e, replica.Head.ID)
	if err != nil {
		return err
	}
	p.recordCompletion(c, e)
	if s.isHeadSent || got.status < http.StatusBadRequest || got.status >= http.StatusInternalServerError && c.sends+1 < c.route.MaxAttempts {
		return &sendError{mayHaveArrived: true, cause: failure.New(failure.Remote, "read stream", replica.Head.ID, "status %d", got.status)}
	}
	c.sends++
	writeAnswer(s.w, got)
	return nil
}

// copyEvents forwards complete events as they arrive, until the stream ends.
func (s *relayedStream) copyEvents(e *exchange, onEvent func(time.Time), onForwarded func()) error {
	buffer := make([]byte, 0, streamBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxEventBytes {
				return errLongEvent
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := e.response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		events, rest := splitEvents(buffer)
		if len(events) > 0 {
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
			return s.finish(e, len(rest) > 0)
		case err != nil:
			return err
		}
	}
}

// finish ends the stream after the worker's answer has ended. It returns an error if the answer was
// broken off: within an event, or before the first one if only the end of the connection ends it.
func (s *relayedStream) finish(e *exchange, isWithinEvent bool) error {
	if isWithinEvent || !s.isHeadSent && e.isUnframed() {
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

package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

const (
	streamBuffer = 2 << 10
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// resumeWait is how long a stream that has begun waits for a replica to go
	// on at, counted from its last event; callers leave soon after.
	resumeWait = 1600 * time.Millisecond
	resumePoll = 40 * time.Millisecond
)

var errTornStream = errors.New("the stream ended within an event")

// relayed is a stream as its caller has it so far.
type relayed struct {
	w http.ResponseWriter
	// begun tells that the caller has the head, and so only the rest of this
	// very stream may follow.
	begun bool
	// last is the id of the last whole event passed on.
	last string
	// movedAt is when that was.
	movedAt time.Time
	// clientGone tells that the caller does not read any more.
	clientGone bool
	late       lateness
}

// serveStream relays a stream, and goes on at another replica when one breaks.
func (r *Relay) serveStream(w http.ResponseWriter, c *request) *refusal {
	s := &relayed{w: w, last: c.header.Get(r.opts.Names.LastEvent), movedAt: c.arrived}
	r.opts.Tracker.NotePause(c.model, c.route.GapTarget, c.arrived)
	for {
		replica, none := r.chooseOrWait(c, s)
		if none != nil {
			return r.endStream(c, s, none)
		}
		err := r.tryStream(c, s, replica)
		if err == nil {
			r.tellLate(c, &s.late)
			return nil
		}
		s.late.moving = true
		ran := r.note(c, replica, err)
		if c.gaveUp() || s.clientGone || !r.mayRepeat(c, ran) {
			return r.endStream(c, s, r.failed(c))
		}
		pause.For(c.ctx, r.spread(c, s, time.Now()))
		if s.begun {
			r.opts.Logger.Info("stream resumes", "request", c.id, "from", replica.ID, "after_event", s.last, "error", err)
			r.opts.Meter.Retry(reason.RetryResumed)
			continue
		}
		r.opts.Meter.Retry(retryReason(ran))
	}
}

// chooseOrWait chooses a replica. A stream that has begun, or is late, waits a little for
// one.
func (r *Relay) chooseOrWait(c *request, s *relayed) (*fleet.Replica, *refusal) {
	for {
		replica, none := r.choose(c)
		if none == nil || !r.mayWait(c, s, none, time.Now()) {
			return replica, none
		}
		pause.For(c.ctx, resumePoll)
	}
}

// endStream ends a stream that cannot go on: with a refusal if the caller has
// nothing yet, else by breaking the connection off, since what is not whole
// must not look complete.
func (r *Relay) endStream(c *request, s *relayed, f *refusal) *refusal {
	f = c.truthful(f)
	if !s.begun {
		return f
	}
	r.opts.Meter.Refuse(f.reason)
	r.opts.Logger.Info("stream broken off", "request", c.id, "reason", string(f.reason), "after_event", s.last,
		"sends", c.sends, "client_gone", s.clientGone, "ms", time.Since(c.arrived).Milliseconds(), "error", c.lastCause)
	panic(http.ErrAbortHandler)
}

// tryStream relays from one replica until the stream is complete.
func (r *Relay) tryStream(c *request, s *relayed, replica *fleet.Replica) error {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	r.unbegun.add(c, cancel)
	defer r.unbegun.remove(c)
	reserved := r.opts.Tracker.Begin(replica, c.prompt)
	defer reserved.End()
	watch := r.opts.Tracker.Follow(replica, costsOf(c.engine, c.model, replica.Head.Slots), cancel)
	defer r.opts.Tracker.Unfollow(replica, watch)
	e, err := r.sendTo(ctx, c, replica.Head, s.last)
	if err != nil {
		return err
	}
	if err := r.rejected(e, replica.Head.ID); err != nil {
		e.discard()
		return err
	}
	if e.response.StatusCode != http.StatusOK || e.response.Header.Get(r.opts.Names.Signature) == "" {
		return r.streamFailure(c, s, e, replica)
	}
	moved := func(now time.Time) {
		if s.begun {
			s.late.noteNext(c, replica.ID, now.Sub(s.movedAt))
		} else {
			r.opts.Meter.FirstToken(c.arrived)
			r.unbegun.remove(c)
			s.late.noteFirst(c, replica.ID, now)
		}
		reserved.Started()
		r.opts.Tracker.Moved(replica, watch, now)
		watch.Passing()
	}
	passed := func() { r.opts.Tracker.Passed(watch, time.Now()) }
	if err := s.copy(e, moved, passed); err != nil {
		e.abort()
		return withCause(ctx, replica.Head.ID, &sendError{sent: true, cause: err})
	}
	e.finish()
	r.completedBy(c, e)
	return nil
}

// streamFailure deals with an answer that is not a stream: it is passed on
// unless another attempt may follow or the caller has part of a stream.
func (r *Relay) streamFailure(c *request, s *relayed, e *exchange, replica *fleet.Replica) error {
	body, err := io.ReadAll(io.LimitReader(e.response.Body, maxEvent))
	if err != nil {
		e.abort()
		return &sendError{sent: true, cause: err}
	}
	e.finish()
	r.completedBy(c, e)
	got := &answer{status: e.response.StatusCode, header: forwarded(e.response.Header), body: body}
	if s.begun || got.status < http.StatusBadRequest || got.status >= http.StatusInternalServerError && c.sends+1 < c.route.Attempts {
		return &sendError{sent: true, cause: failure.New(failure.Remote, "read stream", replica.Head.ID, "status %d", got.status)}
	}
	c.sends++
	writeAnswer(s.w, got)
	return nil
}

// copy passes whole events on as they come, until the stream is complete.
func (s *relayed) copy(e *exchange, moved func(time.Time), passed func()) error {
	buffer := make([]byte, 0, streamBuffer)
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxEvent {
				return errTornStream
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := e.response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		whole, rest := splitEvents(buffer)
		if len(whole) > 0 {
			moved(time.Now())
			err := s.pass(e, whole)
			passed()
			if err != nil {
				return err
			}
			buffer = append(buffer[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(rest) > 0:
			return errTornStream
		case errors.Is(err, io.EOF):
			s.begin(e)
			return nil
		case err != nil:
			return err
		}
	}
}

// begin sends the head of the first worker's answer, once.
func (s *relayed) begin(e *exchange) {
	if s.begun {
		return
	}
	header := s.w.Header()
	for name, values := range forwarded(e.response.Header) {
		header[name] = values
	}
	s.w.WriteHeader(http.StatusOK)
	s.begun = true
}

// pass sends whole events to the caller.
func (s *relayed) pass(e *exchange, whole []byte) error {
	s.begin(e)
	if _, err := s.w.Write(whole); err != nil {
		s.clientGone = true
		return err
	}
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
	if id := lastID(whole); id != "" {
		s.last = id
	}
	s.movedAt = time.Now()
	return nil
}

package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"quartzshelf.dev/common/failure"
)

// streamAttempt is one sending of a stream request to a replica or a peer.
type streamAttempt struct {
	chosen destination
	ctx    context.Context
	cancel context.CancelCauseFunc
	// reservation and watch are nil at a peer, forward is nil at a replica.
	reservation *Reservation
	watch       *StreamWatch
	forward     *forward
	interrupts  interruptor
	message     *message
	// chosenAt is when the destination was chosen, inFlight the number of requests that were in flight
	// there.
	chosenAt time.Time
	inFlight float64
	// exchange is nil until the header of the answer has arrived.
	exchange *exchange
	// opened is closed when the answer to a hedge has begun, or when the hedge has failed with err.
	opened chan struct{}
	err    error
}

// beginAttempt prepares an attempt at the destination that was chosen last. sends is the number of earlier
// attempts that may have run. The attempt must be ended with endAttempt.
func (p *Proxy) beginAttempt(ctx context.Context, c *request, s *relayedStream, chosen destination, sends int) *streamAttempt {
	a := &streamAttempt{chosen: chosen, chosenAt: c.chosenAt, inFlight: c.chosenInFlight, opened: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if chosen.peer != nil {
		a.forward = p.forwards.add(chosen.peer, a.cancel)
		a.message = p.messageForPeer(c, s.lastEventID, sends)
		return a
	}
	head := chosen.replica.Head
	a.reservation = p.opts.Tracker.Reserve(chosen.replica, c.promptTokens)
	a.watch = p.opts.Tracker.Watch(chosen.replica, costsOf(c.engine, c.model, head.Slots), a.interrupts.interrupt)
	a.message = p.messageFor(c, head, s.lastEventID)
	a.message.onConnected = a.interrupts.attach
	return a
}

// sender returns the ID of the worker or peer that answers the attempt.
func (a *streamAttempt) sender() string {
	if a.chosen.peer != nil {
		return a.chosen.peer.ID
	}
	return a.chosen.replica.Head.ID
}

// endAttempt releases what an attempt holds, and closes its connection unless it was kept.
func (p *Proxy) endAttempt(a *streamAttempt) {
	if a.chosen.peer != nil {
		p.forwards.remove(a.forward)
	} else {
		p.opts.Tracker.Unwatch(a.chosen.replica, a.watch)
		a.reservation.Release()
	}
	a.cancel(nil)
}

// openAttempt sends an attempt and returns when the header of its answer has arrived. It returns an
// error if the attempt was rejected.
func (p *Proxy) openAttempt(a *streamAttempt) error {
	if a.chosen.peer != nil {
		e, err := p.sendToPeer(a.ctx, a.chosen.peer, a.message)
		a.exchange = e
		return err
	}
	head := a.chosen.replica.Head
	e, err := p.sendTo(a.ctx, head, a.message)
	if err != nil {
		return err
	}
	if err := p.checkRejected(e, head.ID); err != nil {
		a.interrupts.detach()
		e.discard()
		return err
	}
	a.exchange = e
	return nil
}

// isSignedStream reports whether an answer is a worker's stream.
func (p *Proxy) isSignedStream(e *exchange) bool {
	return e.response.StatusCode == http.StatusOK && e.response.Header.Get(p.opts.Names.Signature) != ""
}

// openHedge sends a hedge and waits for the first bytes of its stream. Any other answer is an error.
func (p *Proxy) openHedge(h *streamAttempt) error {
	if err := p.openAttempt(h); err != nil {
		return err
	}
	e := h.exchange
	if !p.isSignedStream(e) {
		e.abort()
		return &sendError{mayHaveArrived: true, cause: failure.New(failure.Remote, "read stream", h.sender(), "status %d", e.response.StatusCode)}
	}
	body := bufio.NewReaderSize(e.response.Body, streamBufferBytes)
	if _, err := body.Peek(1); err != nil && !errors.Is(err, io.EOF) {
		e.abort()
		return withCause(h.ctx, h.sender(), &sendError{mayHaveArrived: true, cause: err})
	}
	e.response.Body = bufferedBody{Reader: body, Closer: e.response.Body}
	return nil
}

// bufferedBody is the body of an answer of which a part was read ahead.
type bufferedBody struct {
	io.Reader
	io.Closer
}

package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"quartzshelf.dev/common/failure"
)

// maxHedgeEventBytes limits the first event of a hedge, which is read before its memory is accounted for.
const maxHedgeEventBytes = 64 << 10

var errLongHedgeEvent = fmt.Errorf("the first event is longer than %d bytes", maxHedgeEventBytes)

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
	// opened is closed when a hedge has received its first event, or has failed with err.
	opened chan struct{}
	err    error
}

// isOpen reports whether a hedge has received an event.
func (a *streamAttempt) isOpen() bool { return a.hasSettled() && a.err == nil }

// hasSettled reports whether a hedge has received an event or has failed.
func (a *streamAttempt) hasSettled() bool {
	select {
	case <-a.opened:
		return true
	default:
		return false
	}
}

// beginAttempt prepares an attempt at the destination that was chosen last. sends is the number of earlier
// attempts that may have run. The attempt must be ended with endAttempt.
func (p *Proxy) beginAttempt(ctx context.Context, c *request, s *relayedStream, chosen destination, sends int) *streamAttempt {
	a := &streamAttempt{chosen: chosen, chosenAt: c.chosenAt, inFlight: c.chosenInFlight, opened: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if chosen.peer != nil {
		a.forward = p.forwards.add(chosen.peer, c.mayHedge(1), a.cancel)
		a.message = p.messageForPeer(c, s.lastEventID, sends)
		return a
	}
	head := chosen.replica.Head
	a.reservation = p.opts.Tracker.Reserve(chosen.replica, c.promptTokens)
	var onSilent func()
	if c.mayHedge(1) {
		onSilent = a.interrupts.interrupt
	}
	a.watch = p.opts.Tracker.Watch(chosen.replica, costsOf(c.engine, c.model, head.Slots), onSilent)
	a.message = p.messageForReplica(c, chosen.replica, s.lastEventID)
	a.message.onConnected = a.interrupts.attach
	return a
}

// useChoice makes an attempt the one that the request's log lines and crash reports describe.
func (c *request) useChoice(a *streamAttempt) { c.chosenAt, c.chosenInFlight = a.chosenAt, a.inFlight }

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
	e.interrupts = &a.interrupts
	if err := p.checkRejected(e, head.ID); err != nil {
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

// openHedge sends a hedge and waits for the first event of its stream. Any other answer is an error.
func (p *Proxy) openHedge(h *streamAttempt) error {
	if err := p.openAttempt(h); err != nil {
		return err
	}
	e := h.exchange
	if !p.isSignedStream(e) {
		e.abort()
		return &sendError{mayHaveArrived: true, cause: failure.New(failure.Remote, "read stream", h.sender(), "status %d", e.response.StatusCode)}
	}
	read, err := readFirstEvent(e)
	if err != nil {
		e.abort()
		return withCause(h.ctx, h.sender(), &sendError{mayHaveArrived: true, cause: err})
	}
	body := e.response.Body
	e.response.Body = partlyReadBody{Reader: io.MultiReader(bytes.NewReader(read), body), Closer: body}
	return nil
}

// readFirstEvent reads an answer until it has a whole event, and returns what was read. An answer with a
// length or chunks may end without an event.
func readFirstEvent(e *exchange) ([]byte, error) {
	buffer := make([]byte, 0, streamBufferBytes)
	for {
		if len(buffer) >= maxHedgeEventBytes {
			return nil, errLongHedgeEvent
		}
		buffer = slices.Grow(buffer, 1)
		n, err := e.response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		events, _ := splitEvents(buffer)
		switch {
		case len(events) > 0:
			return buffer, nil
		case errors.Is(err, io.EOF) && len(buffer) == 0 && !e.isUnframed():
			return nil, nil
		case errors.Is(err, io.EOF):
			return nil, errPartialEvent
		case err != nil:
			return nil, err
		}
	}
}

// partlyReadBody is the body of an answer of which a part was read before.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
)

var errRejected = errors.New("turned away")

// answer is a worker's complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// serveBuffered relays a request whose answer is read completely before it is forwarded.
func (p *Proxy) serveBuffered(w http.ResponseWriter, c *request) *refusal {
	for {
		chosen, refused := p.choose(c)
		if refused != nil {
			return c.correctStatus(refused)
		}
		got, err := p.tryBuffered(c, chosen)
		if err == nil && !p.shouldRetryAnswer(c, chosen, got) {
			writeAnswer(w, got)
			return nil
		}
		if err == nil {
			p.opts.Meter.CountRetry(reason.RetryBroken)
			continue
		}
		mayHaveRun, refused := p.recordAttempt(c, chosen, err)
		if refused != nil {
			return refused
		}
		p.opts.Meter.CountRetry(retryReason(mayHaveRun))
	}
}

// retryReason returns the reason by which a retry is counted.
func retryReason(mayHaveRun bool) reason.Reason {
	if mayHaveRun {
		return reason.RetryBroken
	}
	return reason.RetryRefused
}

// shouldRetryAnswer reports whether another worker should be tried because a worker answered with a
// server error (5xx). If so, it takes the retry from the budget. A peer has already tried others.
func (p *Proxy) shouldRetryAnswer(c *request, chosen destination, got *answer) bool {
	if chosen.peer != nil || got.status < http.StatusInternalServerError || !c.route.Repeatable() {
		return false
	}
	c.sends++
	c.triedReplicas[chosen.replica.ID] = true
	if remaining := p.selectReplicas(c, time.Now()); remaining.IsEmpty() {
		return false
	}
	return c.mayRetry(true) && p.takeFromBudget(c)
}

// tryBuffered sends the request to one replica or peer and reads the complete answer.
func (p *Proxy) tryBuffered(c *request, chosen destination) (*answer, error) {
	if chosen.peer != nil {
		return p.forwardBuffered(c, chosen.peer)
	}
	replica := chosen.replica
	reservation := p.opts.Tracker.Reserve(replica, c.promptTokens)
	defer reservation.Release()
	e, err := p.sendTo(c.ctx, replica.Head, p.messageForReplica(c, replica, ""))
	if err != nil {
		return nil, err
	}
	if err := p.checkRejected(e, replica.Head.ID); err != nil {
		e.discard()
		return nil, err
	}
	got, err := p.readAnswer(c.ctx, c, e, replica.Head.ID)
	if err != nil {
		return nil, err
	}
	p.recordCompletion(c, e)
	return got, p.checkSigned(got, replica.Head.ID)
}

// readAnswer reads the complete answer of a worker or peer.
func (p *Proxy) readAnswer(ctx context.Context, c *request, e *exchange, sender string) (*answer, error) {
	held := c.memory.Bytes()
	body, err := readAnswer(ctx, c.memory, e.response)
	if err != nil {
		c.memory.Shrink(c.memory.Bytes() - held)
		e.abort()
		return nil, withCause(ctx, sender, &sendError{mayHaveArrived: true, cause: err})
	}
	e.finish()
	return &answer{status: e.response.StatusCode, header: forwardedHeaders(e.response.Header), body: body}, nil
}

// checkSigned returns an error if an answer with a status below 300 lacks its worker's signature.
func (p *Proxy) checkSigned(got *answer, worker string) error {
	if got.status >= http.StatusMultipleChoices || got.header.Get(p.opts.Names.Signature) != "" {
		return nil
	}
	return &sendError{mayHaveArrived: true, cause: failure.New(failure.Remote, "check answer", worker, "the success is not signed")}
}

// checkRejected returns an error if the worker rejected the request before running it. If the
// request was sent twice, the error says that it may have arrived, because the first copy may have
// run.
func (p *Proxy) checkRejected(e *exchange, worker string) error {
	status := e.response.StatusCode
	if e.response.Header.Get(p.opts.Names.NotRun) == "" && status != http.StatusMisdirectedRequest {
		return nil
	}
	return &sendError{mayHaveArrived: e.isResent, cause: failure.Wrap(failure.Refused, "exchange with worker", worker, fmt.Errorf("%w with status %d", errRejected, status))}
}

// writeAnswer forwards a complete answer.
func writeAnswer(w http.ResponseWriter, got *answer) {
	header := w.Header()
	for name, values := range got.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(got.body)))
	w.WriteHeader(got.status)
	// An error means that the caller has disconnected; nothing is left to do.
	_, _ = w.Write(got.body)
}

package relay

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// maxAnswerBytes bounds the body of an answer that is relayed whole, in bytes.
const maxAnswerBytes = 32 << 20

var errRejected = errors.New("turned away")

// answer is a worker's answer, read whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// serveWhole relays a request whose answer is read whole before it is passed on.
func (r *Relay) serveWhole(w http.ResponseWriter, c *request) *refusal {
	for {
		replica, none := r.choose(c)
		if none != nil {
			return c.correctStatus(none)
		}
		got, err := r.tryWhole(c, replica)
		if err == nil && !r.shouldRetryAnswer(c, replica, got) {
			writeAnswer(w, got)
			return nil
		}
		if err == nil {
			r.opts.Meter.Retry(reason.RetryBroken)
			continue
		}
		ran := r.recordFailure(c, replica, err)
		if !r.mayRetry(c, ran) {
			return r.failureRefusal(c)
		}
		r.opts.Meter.Retry(retryReason(ran))
	}
}

// retryReason names why an attempt is repeated.
func retryReason(ran bool) reason.Reason {
	if ran {
		return reason.RetryBroken
	}
	return reason.RetryRefused
}

// shouldRetryAnswer reports whether a worker's own failure is to be followed by an
// attempt at another worker.
func (r *Relay) shouldRetryAnswer(c *request, replica *fleet.Replica, got *answer) bool {
	if got.status < http.StatusInternalServerError || !c.route.Repeatable() {
		return false
	}
	c.sends++
	c.tried[replica.ID] = true
	if left := r.selectReplicas(c, time.Now()); left.IsEmpty() {
		return false
	}
	return r.mayRetry(c, true)
}

// tryWhole sends the request to one worker and reads the whole answer.
func (r *Relay) tryWhole(c *request, replica *fleet.Replica) (*answer, error) {
	reserved := r.opts.Tracker.Reserve(replica, c.promptTokens)
	defer reserved.Release()
	e, err := r.sendTo(c.ctx, c, replica.Head, "")
	if err != nil {
		return nil, err
	}
	if err := r.checkRejected(e, replica.Head.ID); err != nil {
		e.discard()
		return nil, err
	}
	body, err := c.memory.read(e.response.Body, maxAnswerBytes, waitForMemory(c.ctx))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		e.abort()
		return nil, withCause(c.ctx, replica.Head.ID, &sendError{sent: true, cause: err})
	}
	e.finish()
	r.recordCompletion(c, e)
	got := &answer{status: e.response.StatusCode, header: forwardedHeaders(e.response.Header), body: body}
	return got, r.checkSigned(got, replica.Head.ID)
}

// checkSigned refuses a success that does not carry its worker's signature.
func (r *Relay) checkSigned(got *answer, worker string) error {
	if got.status >= http.StatusMultipleChoices || got.header.Get(r.opts.Names.Signature) != "" {
		return nil
	}
	return &sendError{sent: true, cause: failure.New(failure.Remote, "check answer", worker, "the success is not signed")}
}

// checkRejected returns an error if the worker turned the request away before
// anything ran. One that was sent before may have run then.
func (r *Relay) checkRejected(e *exchange, worker string) error {
	status := e.response.StatusCode
	if e.response.Header.Get(r.opts.Names.NotRun) == "" && status != http.StatusMisdirectedRequest {
		return nil
	}
	return &sendError{sent: e.resent, cause: failure.At(failure.Refused, "exchange with worker", worker, fmt.Errorf("%w with status %d", errRejected, status))}
}

// writeAnswer passes a whole answer on.
func writeAnswer(w http.ResponseWriter, got *answer) {
	header := w.Header()
	for name, values := range got.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(got.body)))
	w.WriteHeader(got.status)
	// A caller that has gone does not get it; there is nobody to tell.
	_, _ = w.Write(got.body)
}

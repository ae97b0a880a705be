package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/fleet"
)

const (
	// maxForeignAnswers is how many answers are read to find the one for this request; others are
	// skipped.
	maxForeignAnswers = 2
	// maxForeignBodyBytes limits the body of a skipped answer.
	maxForeignBodyBytes = 1 << 20
	// maxDiscardBytes limits what is read to free a connection after an answer.
	maxDiscardBytes = 1 << 10
)

var (
	errStalled       = errors.New("the replica fell silent")
	errStreamSilent  = fmt.Errorf("on this stream only: %w", errStalled)
	errForeignAnswer = errors.New("the answer belongs to another request")
)

// sendError is a failed exchange; sent reports whether the request may have reached its worker.
type sendError struct {
	sent  bool
	cause error
}

func (e *sendError) Error() string { return e.cause.Error() }

func (e *sendError) Unwrap() error { return e.cause }

// wasSent reports whether a failed request may have reached its worker.
func wasSent(err error) bool {
	var s *sendError
	return !errors.As(err, &s) || s.sent
}

// exchange is a request in flight whose answer has started.
type exchange struct {
	ctx      context.Context
	conn     *connection
	upstream *upstream
	response *http.Response
	// stopCloseOnCancel cancels the closing of the connection when ctx ends.
	stopCloseOnCancel func() bool
	// resent reports whether the worker may have received the request before, over a
	// connection that broke.
	resent bool
}

// send sends a request and returns once the header of its answer has arrived. The connection is
// closed as soon as ctx ends. If the worker had dropped a kept connection, the request is sent
// again over a new one, unless it may have arrived and must not run twice or has a token for one
// send only.
func (u *upstream) send(ctx context.Context, w *fleet.Worker, m *message) (*exchange, error) {
	c, err := u.get(ctx, w, maxIdleFor(m.runOnce))
	if err != nil {
		return nil, err
	}
	e, err := u.exchange(ctx, c, m)
	sent := wasSent(err)
	if err == nil || c.idleBefore == 0 || ctx.Err() != nil || !isReset(err) || sent && (m.runOnce || m.hasToken()) {
		return e, withCause(ctx, w.ID, err)
	}
	if c, err = u.open(ctx, w); err == nil {
		e, err = u.exchange(ctx, c, m)
	}
	if err != nil {
		return nil, withCause(ctx, w.ID, &sendError{sent: sent || wasSent(err), cause: err})
	}
	e.resent = sent
	return e, nil
}

// exchange sends a request over a connection and reads the header of its answer.
func (u *upstream) exchange(ctx context.Context, c *connection, m *message) (*exchange, error) {
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := c.roundTrip(m)
	if err != nil {
		release()
		_ = c.Close()
		u.recordUnanswered(ctx, c, err)
		return nil, err
	}
	return &exchange{ctx: ctx, conn: c, upstream: u, response: response, stopCloseOnCancel: release}, nil
}

// recordUnanswered records that a request got no answer. A failure on a new connection affects
// others only if the worker fell silent; a disconnected caller means nothing.
func (u *upstream) recordUnanswered(ctx context.Context, c *connection, err error) {
	kept := c.idleBefore > 0
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.Canceled):
	case errors.Is(cause, errStalled):
		u.closeWorker(c.worker)
	case kept:
		u.closeWorker(c.worker)
		if cause == nil && isReset(err) {
			u.recordReset(c, time.Now())
		}
	}
}

// withCause replaces an error caused by the end of the context with the context's cause.
func withCause(ctx context.Context, worker string, err error) error {
	if err == nil {
		return nil
	}
	sent := wasSent(err)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &sendError{sent: sent, cause: failure.At(failure.Remote, "exchange with worker", worker, err)}
}

// roundTrip writes the request and reads the header of its answer. Late answers to earlier
// requests are skipped.
func (c *connection) roundTrip(m *message) (*http.Response, error) {
	if err := m.checkSendBy(c.worker, time.Now()); err != nil {
		return nil, err
	}
	n, err := c.Write(m.encoded)
	if err != nil {
		return nil, &sendError{sent: n > 0, cause: err}
	}
	for range maxForeignAnswers {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: m.method})
		if err != nil {
			return nil, &sendError{sent: true, cause: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if id := response.Header.Get(m.attemptName); id == "" || id == m.attempt {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBodyBytes)); err != nil {
			return nil, &sendError{sent: true, cause: err}
		}
	}
	return nil, &sendError{sent: true, cause: errForeignAnswer}
}

// finish ends an exchange whose answer was read completely, and keeps the connection if the
// worker does.
func (e *exchange) finish() {
	if !e.stopCloseOnCancel() || e.response.Close || e.response.ContentLength < 0 && !chunked(e.response) {
		_ = e.conn.Close()
		return
	}
	e.upstream.put(e.conn, keepAliveFor(e.response.Header.Get("Keep-Alive")))
}

// abort ends an exchange early, which tells the worker to stop.
func (e *exchange) abort() {
	e.stopCloseOnCancel()
	_ = e.conn.Close()
	if errors.Is(context.Cause(e.ctx), errStalled) {
		e.upstream.closeWorker(e.conn.worker)
	}
}

// discard reads the rest of a short answer, so that its connection can be kept.
func (e *exchange) discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(e.response.Body, maxDiscardBytes))
	if err != nil || n >= maxDiscardBytes {
		e.abort()
		return
	}
	e.finish()
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// message is a request as sent to a worker.
type message struct {
	method  string
	encoded []byte
	// attempt is the request's ID, attemptName its header.
	attempt     string
	attemptName string
	// sendBy is until when the message may be sent; zero for any time.
	sendBy time.Time
	// runOnce reports whether the request must not be repeated.
	runOnce bool
}

// encode writes a request's header and body into one buffer.
func encode(method, target, host string, header http.Header, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(len(body) + 1024)
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	// Writing to a buffer does not fail.
	_ = header.Write(&b)
	if len(body) > 0 || method != http.MethodGet && method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

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
	// maxForeignAnswers is how many answers to earlier requests are passed over.
	maxForeignAnswers = 2
	// maxForeignBodyBytes bounds the body of such an answer, in bytes.
	maxForeignBodyBytes = 1 << 20
	// maxDiscardBytes bounds what is read to free a connection after an answer.
	maxDiscardBytes = 1 << 10
)

var (
	errStalled       = errors.New("the replica fell silent")
	errStreamSilent  = fmt.Errorf("its stream alone: %w", errStalled)
	errForeignAnswer = errors.New("the answer belongs to another request")
)

// sendError tells whether a request that failed may have reached its worker.
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

// exchange is a request on its way and the answer that began.
type exchange struct {
	ctx      context.Context
	conn     *connection
	upstream *upstream
	response *http.Response
	// stopCloseOnCancel undoes the closing of the connection on cancellation.
	stopCloseOnCancel func() bool
	// resent tells that the worker may have had the request before, over a
	// connection that broke.
	resent bool
}

// send passes a request on and returns once the head of its answer came. The
// connection is closed as soon as ctx ends. A request is sent again to the same
// worker if that had dropped the kept connection, unless it may have come there and must
// not run twice, or has a token for one send alone.
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

// exchange sends a request over a connection and reads the head of its answer.
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

// recordUnanswered notes that a request got no answer. On a new connection only
// silence says something of the others, and a caller that left says nothing.
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

// withCause adds why the context ended to an error that this brought about.
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

// roundTrip writes the request and reads the head of its answer. Answers to
// earlier requests that come late are passed over.
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

// finish ends an exchange whose answer was read to its end and keeps the
// connection if the worker does.
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

// message is a request as it goes to a worker.
type message struct {
	method  string
	encoded []byte
	// attempt is the request's identity, attemptName its header.
	attempt     string
	attemptName string
	// sendBy is until when it may be sent; the zero time for any time.
	sendBy time.Time
	// runOnce tells that the request must not be repeated.
	runOnce bool
}

// encode writes a request head and body into one buffer.
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

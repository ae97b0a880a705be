package proxy

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
	// maxForeignAnswers limits the answers to other requests that are skipped, maxInterimAnswers the
	// interim (1xx) answers that are skipped before each other answer.
	maxForeignAnswers = 1
	maxInterimAnswers = 5
	// maxForeignBodyBytes limits the body of a skipped answer.
	maxForeignBodyBytes = 1 << 20
	// maxDiscardBytes limits what is read to free a connection after an answer.
	maxDiscardBytes = 1 << 10
)

var (
	errReplicaSilent = errors.New("the replica fell silent")
	errStreamSilent  = fmt.Errorf("on this stream only: %w", errReplicaSilent)
	errForeignAnswer = errors.New("the answer belongs to another request")
	errNotOffered    = errors.New("it takes no more requests")
)

// sendError is the error of a failed exchange. mayHaveArrived reports whether the worker may have
// received the request.
type sendError struct {
	mayHaveArrived bool
	cause          error
}

func (e *sendError) Error() string { return e.cause.Error() }

func (e *sendError) Unwrap() error { return e.cause }

// mayHaveArrived reports whether the worker may have received a request that failed with err. Only
// a sendError can rule that out.
func mayHaveArrived(err error) bool {
	var s *sendError
	return !errors.As(err, &s) || s.mayHaveArrived
}

// exchange is a request that was sent to a worker, from the arrival of the answer's header.
type exchange struct {
	ctx      context.Context
	conn     *connection
	upstream *upstream
	response *http.Response
	// stopCloseOnCancel prevents the connection from being closed when ctx ends. It returns false
	// if ctx has already ended.
	stopCloseOnCancel func() bool
	// interrupts is detached before the connection is kept. Nil if reads are not interrupted.
	interrupts *interruptor
	// isResent reports whether the worker may have received the request before, over a connection
	// that broke.
	isResent bool
}

// send sends a request and returns once the header of its answer has arrived. The connection is
// closed as soon as ctx ends. If the worker resets a kept connection instead of answering, the
// request is sent again over a new one. A request that may have arrived is sent again only if the
// message allows it.
func (u *upstream) send(ctx context.Context, w *fleet.Worker, m *message) (*exchange, error) {
	c, err := u.get(ctx, w, maxIdleFor(m.atMostOnce))
	if err != nil {
		return nil, err
	}
	e, err := u.exchange(ctx, c, m)
	sent := mayHaveArrived(err)
	if err == nil || c.idleBefore == 0 || ctx.Err() != nil || !isReset(err) || sent && !m.takeResend() {
		return e, withCause(ctx, w.ID, err)
	}
	if c, err = u.open(ctx, w); err == nil {
		u.onResend()
		e, err = u.exchange(ctx, c, m)
	}
	if err != nil {
		return nil, withCause(ctx, w.ID, &sendError{mayHaveArrived: sent || mayHaveArrived(err), cause: err})
	}
	e.isResent = sent
	return e, nil
}

// exchange sends a request over a connection and reads the header of its answer.
func (u *upstream) exchange(ctx context.Context, c *connection, m *message) (*exchange, error) {
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	if m.onConnected != nil {
		m.onConnected(c)
	}
	response, err := c.roundTrip(m)
	if err != nil {
		release()
		_ = c.Close()
		u.recordUnanswered(ctx, c, err)
		return nil, err
	}
	return &exchange{ctx: ctx, conn: c, upstream: u, response: response, stopCloseOnCancel: release}, nil
}

// recordUnanswered handles a request that got no answer. It closes the worker's idle connections if
// the worker fell silent or the request used a kept connection. It does nothing if the caller has
// disconnected.
func (u *upstream) recordUnanswered(ctx context.Context, c *connection, err error) {
	isKept := c.idleBefore > 0
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.Canceled):
	case errors.Is(cause, errReplicaSilent):
		u.closeWorkerConnections(c.worker)
	case isKept:
		u.closeWorkerConnections(c.worker)
		if cause == nil && isReset(err) {
			u.recordReset(c, time.Now())
		}
	}
}

// withCause wraps err as a sendError for the worker. If ctx has ended, its cause is wrapped instead
// of err. A nil err stays nil.
func withCause(ctx context.Context, worker string, err error) error {
	if err == nil {
		return nil
	}
	sent := mayHaveArrived(err)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &sendError{mayHaveArrived: sent, cause: failure.Wrap(failure.Remote, "exchange with worker", worker, err)}
}

// roundTrip writes the request and reads the header of its answer. Late answers to earlier
// requests are skipped.
func (c *connection) roundTrip(m *message) (*http.Response, error) {
	if err := m.checkSendBy(c.worker, time.Now()); err != nil {
		return nil, err
	}
	if err := m.checkOffered(c); err != nil {
		return nil, err
	}
	n, err := c.Write(m.encode())
	if err != nil {
		return nil, &sendError{mayHaveArrived: n > 0, cause: err}
	}
	for range 1 + maxForeignAnswers {
		response, err := c.readFinalHead(m.method)
		if err != nil {
			return nil, &sendError{mayHaveArrived: true, cause: err}
		}
		if id := response.Header.Get(m.attemptName); id == "" || id == m.attempt {
			return response, nil
		}
		if err := skipBody(response.Body); err != nil {
			return nil, &sendError{mayHaveArrived: true, cause: err}
		}
	}
	return nil, &sendError{mayHaveArrived: true, cause: errForeignAnswer}
}

// skipBody reads the body of an answer to another request.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBodyBytes+1))
	if err == nil && n > maxForeignBodyBytes {
		return &limitError{part: "skipped body", bytesRead: n}
	}
	return err
}

// readFinalHead reads the header of an answer and skips the interim ones before it.
func (c *connection) readFinalHead(method string) (*http.Response, error) {
	bytesRead := 0
	for range 1 + maxInterimAnswers {
		response, err := c.readHead(method)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		bytesRead += c.head.bytes
	}
	return nil, &limitError{part: "interim answers", bytesRead: int64(bytesRead)}
}

// finish ends an exchange whose answer was read completely. It keeps the connection if the worker
// allows that, and closes it otherwise.
func (e *exchange) finish() {
	if !e.stopCloseOnCancel() || e.response.Close || e.isUnframed() {
		_ = e.conn.Close()
		return
	}
	if e.interrupts != nil {
		e.interrupts.detach()
	}
	e.upstream.put(e.conn, keepAliveFor(e.response.Header.Get("Keep-Alive")))
}

// abort ends an exchange early by closing its connection, so that the worker can stop. If the
// replica fell silent, the idle connections to the worker are closed as well.
func (e *exchange) abort() {
	e.stopCloseOnCancel()
	_ = e.conn.Close()
	if errors.Is(context.Cause(e.ctx), errReplicaSilent) {
		e.upstream.closeWorkerConnections(e.conn.worker)
	}
}

// discard reads the rest of a short answer, so that its connection can be kept. It aborts the
// exchange if the answer is long.
func (e *exchange) discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(e.response.Body, maxDiscardBytes))
	if err != nil || n >= maxDiscardBytes {
		e.abort()
		return
	}
	e.finish()
}

// isUnframed reports whether the answer has neither a length nor chunks, and ends with its connection.
func (e *exchange) isUnframed() bool {
	isChunked := len(e.response.TransferEncoding) > 0 && e.response.TransferEncoding[0] == "chunked"
	return e.response.ContentLength < 0 && !isChunked
}

// message is a request as sent to a worker.
type message struct {
	method string
	// encode returns the request with the time that is left until its deadline. It is called right
	// before each sending.
	encode func() []byte
	// attempt is the request's ID, attemptName the name of the header that carries it.
	attempt     string
	attemptName string
	// sendBy is the time by which the message must be sent; zero for any time.
	sendBy time.Time
	// isOffered reports whether the destination still takes requests; nil if that is not checked.
	isOffered func() bool
	// atMostOnce reports whether the request must not be repeated.
	atMostOnce bool
	// onConnected, if not nil, is called with the connection before the message is sent over it.
	onConnected func(c *connection)
	// takeRetry takes a retry from the budget and reports whether one was left.
	takeRetry func() bool
}

// takeResend reports whether a message that may have arrived may be sent to the same worker again. It
// must not if the request must run at most once, or if its token allows only one send. Otherwise it
// takes a retry from the budget.
func (m *message) takeResend() bool { return !m.atMostOnce && !m.hasToken() && m.takeRetry() }

// checkOffered returns an error if the destination has stopped taking requests while a connection was opened to
// it. A kept connection is used at once.
func (m *message) checkOffered(c *connection) error {
	if m.isOffered == nil || c.idleBefore > 0 || m.isOffered() {
		return nil
	}
	return &sendError{cause: failure.Wrap(failure.Refused, "send to worker", c.worker, errNotOffered)}
}

// encoder returns a function that encodes a request with the time that is left until its deadline.
func (p *Proxy) encoder(c *request, header http.Header) func() []byte {
	return func() []byte {
		remaining := max(time.Until(c.deadline).Milliseconds(), 1)
		header.Set(p.opts.Names.Deadline, strconv.FormatInt(remaining, 10))
		return encode(c.method, c.target, c.host, header, c.body)
	}
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

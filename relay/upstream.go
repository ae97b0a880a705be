package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/fleet"
)

const (
	// dialTimeout bounds the opening of a connection to a worker.
	dialTimeout = 500 * time.Millisecond
	// idleMost is how long a connection without a request is kept, idleMargin
	// how much before the worker's own limit it is given up.
	idleMost   = 4 * time.Second
	idleMargin = time.Second
	// freshIdle is how long a connection may have been idle to carry a request
	// that runs at most once: the worker may have closed it meanwhile.
	freshIdle = 700 * time.Millisecond
	// idlePerWorker bounds the connections kept without a request.
	idlePerWorker = 16
	// surplusMost is how many answers to earlier requests are passed over.
	surplusMost = 2
	// surplusBody bounds the body of such an answer, in bytes.
	surplusBody = 1 << 20
	readBuffer  = 4 << 10
	// lingerMost bounds what is read to free a connection after an answer.
	lingerMost = 1 << 10
)

var (
	errStalled = errors.New("the replica fell silent")
	errQuiet   = fmt.Errorf("its stream alone: %w", errStalled)
	errSurplus = errors.New("the answer belongs to another request")
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

// upstream keeps connections to workers.
type upstream struct {
	// dial opens a connection to a worker's address.
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*connection
}

// connection is a connection to a worker.
type connection struct {
	net.Conn
	worker string
	reader *bufio.Reader
	// idleSince is when it was last used, closeAt until when it may be used.
	idleSince time.Time
	closeAt   time.Time
}

func newUpstream() *upstream {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &upstream{dial: dialer.DialContext, idle: make(map[string][]*connection)}
}

// get returns a connection to a worker: one that has been idle for less than
// idleFor, or a new one.
func (u *upstream) get(ctx context.Context, w *fleet.Worker, idleFor time.Duration) (*connection, error) {
	if c := u.reuse(w.ID, idleFor); c != nil {
		return c, nil
	}
	raw, err := u.dial(ctx, "tcp", w.Address)
	if err != nil {
		return nil, &sendError{cause: failure.At(failure.Refused, "connect to worker", w.ID, err)}
	}
	return &connection{Conn: raw, worker: w.ID, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (u *upstream) reuse(worker string, idleFor time.Duration) *connection {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		all := u.idle[worker]
		if len(all) == 0 {
			return nil
		}
		c := all[len(all)-1]
		u.idle[worker] = all[:len(all)-1]
		if now.Sub(c.idleSince) < idleFor && now.Before(c.closeAt) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// quiet reports whether the worker neither closed the connection nor sent
// anything on it since its last answer.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = socket.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// put keeps a connection whose answer was read to its end.
func (u *upstream) put(c *connection, keep time.Duration) {
	now := time.Now()
	c.idleSince, c.closeAt = now, now.Add(keep)
	u.mu.Lock()
	defer u.mu.Unlock()
	if keep <= 0 || len(u.idle[c.worker]) >= idlePerWorker {
		_ = c.Close()
		return
	}
	u.idle[c.worker] = append(u.idle[c.worker], c)
}

// sweep closes connections that were idle for too long.
func (u *upstream) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for worker, all := range u.idle {
		kept := all[:0]
		for _, c := range all {
			if now.Before(c.closeAt) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(u.idle, worker)
			continue
		}
		u.idle[worker] = kept
	}
}

// exchange is a request on its way and the answer that began.
type exchange struct {
	conn     *connection
	upstream *upstream
	response *http.Response
	// release undoes the closing of the connection on cancellation.
	release func() bool
}

// send passes a request on and returns once the head of its answer came. The
// connection is closed as soon as ctx ends.
func (u *upstream) send(ctx context.Context, w *fleet.Worker, m *message) (*exchange, error) {
	c, err := u.get(ctx, w, m.idleFor())
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := c.roundTrip(m)
	if err != nil {
		release()
		_ = c.Close()
		return nil, withCause(ctx, w.ID, err)
	}
	return &exchange{conn: c, upstream: u, response: response, release: release}, nil
}

// withCause adds why the context ended to an error that this brought about.
func withCause(ctx context.Context, worker string, err error) error {
	sent := wasSent(err)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &sendError{sent: sent, cause: failure.At(failure.Remote, "exchange with worker", worker, err)}
}

// roundTrip writes the request and reads the head of its answer. Answers to
// earlier requests that come late are passed over.
func (c *connection) roundTrip(m *message) (*http.Response, error) {
	n, err := c.Write(m.encoded)
	if err != nil {
		return nil, &sendError{sent: n > 0, cause: err}
	}
	for range surplusMost {
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
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, surplusBody)); err != nil {
			return nil, &sendError{sent: true, cause: err}
		}
	}
	return nil, &sendError{sent: true, cause: errSurplus}
}

// finish ends an exchange whose answer was read to its end and keeps the
// connection if the worker does.
func (e *exchange) finish() {
	if !e.release() || e.response.Close || e.response.ContentLength < 0 && !chunked(e.response) {
		_ = e.conn.Close()
		return
	}
	e.upstream.put(e.conn, keepFor(e.response.Header.Get("Keep-Alive")))
}

// abort ends an exchange early, which tells the worker to stop.
func (e *exchange) abort() {
	e.release()
	_ = e.conn.Close()
}

// discard reads the rest of a short answer, so that its connection can be kept.
func (e *exchange) discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(e.response.Body, lingerMost))
	if err != nil || n >= lingerMost {
		e.abort()
		return
	}
	e.finish()
}

func chunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// keepFor returns for how long a connection may be kept by a Keep-Alive header.
func keepFor(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return min(idleMost, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return idleMost
}

// message is a request as it goes to a worker.
type message struct {
	method  string
	encoded []byte
	// attempt is the request's identity, attemptName its header.
	attempt     string
	attemptName string
	// once tells that the request must not be repeated.
	once bool
}

// idleFor returns how long a connection may have been idle to carry the message.
func (m *message) idleFor() time.Duration {
	if m.once {
		return freshIdle
	}
	return idleMost
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

package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/answercheck"
	"quartzshelf.dev/common/bufferlimit"
	"quartzshelf.dev/common/failure"
)

// Limits of connections and answers.
const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 30 * time.Second
	// maxAnswerHeadBytes limits the head of an answer.
	maxAnswerHeadBytes = 16 << 10
)

// errWrongRequest is returned for an answer that belongs to another request.
var errWrongRequest = errors.New("the answer is of another request")

// upstream sends requests to endpoints. It uses net/http, which closes the connection of a canceled
// request at once. A late answer can therefore not be mistaken for the answer to another request.
type upstream struct {
	reusingClient *http.Client
	// singleUseClient opens a new connection for each request. It is used for requests that must
	// not be repeated. On a reused connection, the endpoint could close the connection while a
	// request is being sent. It would then be unknown whether the endpoint had read the request.
	singleUseClient *http.Client
}

func newUpstream() *upstream {
	dialer := &net.Dialer{Timeout: dialTimeout}
	baseTransport := http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}
	singleUseTransport := baseTransport.Clone()
	singleUseTransport.DisableKeepAlives = true
	return &upstream{reusingClient: answercheck.NewClient(baseTransport.Clone()), singleUseClient: answercheck.NewClient(singleUseTransport)}
}

func (u *upstream) close() {
	u.reusingClient.CloseIdleConnections()
	u.singleUseClient.CloseIdleConnections()
}

// upstreamCall is one request to an endpoint.
type upstreamCall struct {
	method     string
	address    string
	path       string
	header     http.Header
	body       []byte
	repeatable bool
	// requestID identifies the request. An answer with a different request ID is rejected.
	requestID string
}

// sendError is the error of an upstream call. maybeSent is set if the endpoint may have received
// any of the request.
type sendError struct {
	maybeSent bool
	cause     error
}

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// send sends a request and returns the answer with an open body. All errors are of type *sendError.
func (u *upstream) send(ctx context.Context, c upstreamCall) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.address+c.path, bodyReader(c))
	if err != nil {
		return nil, &sendError{cause: failure.Wrap(failure.Invalid, "build request", c.address, err)}
	}
	request.ContentLength = int64(len(c.body))
	request.Header = c.header.Clone()
	request.Header.Set(cluster.HeaderRequest, c.requestID)
	client := u.reusingClient
	if !c.repeatable {
		client = u.singleUseClient
		// Without GetBody and the Idempotency-Key header, http.Transport doesn't retry the request
		// by itself.
		request.GetBody = nil
		request.Header.Del(headerIdempotencyKey)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, &sendError{maybeSent: connected.Load(), cause: failure.Wrap(failure.Remote, "send request", c.address, err)}
	}
	if id := response.Header.Get(cluster.HeaderRequest); id != "" && id != c.requestID {
		closeBody(response)
		return nil, &sendError{maybeSent: true, cause: failure.Wrap(failure.Remote, "check answer", c.address, errWrongRequest)}
	}
	return response, nil
}

func bodyReader(c upstreamCall) io.Reader {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.body))
}

// wasRefusedBeforeStart reports whether the endpoint rejected the request before running any of it.
func wasRefusedBeforeStart(r *http.Response) bool {
	return r.Header.Get(cluster.HeaderStarted) == cluster.StartedNo
}

// closeBody closes the answer's body. If the body wasn't read to its end, this also closes the
// connection.
func closeBody(r *http.Response) {
	// The connection is closed regardless of the error.
	_ = r.Body.Close()
}

// readAll reads the whole answer and closes its body. It reserves memory as data arrives, and waits for
// memory until ctx ends. An answer that is longer than the request's account may hold is an error.
func readAll(ctx context.Context, r *http.Response, address string, memory *bufferlimit.Memory) ([]byte, error) {
	defer closeBody(r)
	limit := memory.AnswerLimit()
	data, err := memory.Read(r.Body, limit, bufferlimit.WaitForMemory(ctx))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("the answer is longer than %d bytes", limit)
	}
	if err != nil {
		memory.Release()
		return nil, &sendError{maybeSent: true, cause: failure.Wrap(failure.Remote, "read answer", address, err)}
	}
	return data, nil
}

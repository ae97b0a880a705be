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
	"quartzshelf.dev/common/failure"
)

// Limits of the connections to endpoints.
const (
	dialTimeout = 2 * time.Second
	idlePerHost = 256
	idleTimeout = 30 * time.Second
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 32 << 20
)

// errMismatch marks an answer that belongs to another request.
var errMismatch = errors.New("the answer is of another request")

// upstream sends requests to endpoints. It uses net/http, whose contexts cut a
// request off at any moment; a connection whose request was cut off is closed
// and never used again, so no late answer can reach another caller.
type upstream struct {
	// shared keeps connections for requests that may be repeated.
	shared *http.Client
	// single uses each connection once: an idle connection that the endpoint
	// is just closing would leave in doubt whether a request was read.
	single *http.Client
}

func newUpstream() *upstream {
	dialer := &net.Dialer{Timeout: dialTimeout}
	base := http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	single := base.Clone()
	single.DisableKeepAlives = true
	return &upstream{shared: newClient(base.Clone()), single: newClient(single)}
}

func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// close ends the idle connections.
func (u *upstream) close() {
	u.shared.CloseIdleConnections()
	u.single.CloseIdleConnections()
}

// call is one request to an endpoint.
type call struct {
	method     string
	address    string
	path       string
	header     http.Header
	body       []byte
	repeatable bool
	// id names the request; the answer must repeat it if it names any.
	id string
}

// sendError is a failure of a call. Sent tells whether any of it may have
// reached the endpoint.
type sendError struct {
	sent  bool
	cause error
}

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// send sends a call and returns the answer's header and an open body. The
// error is a *sendError.
func (u *upstream) send(ctx context.Context, c call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.address+c.path, bodyOf(c))
	if err != nil {
		return nil, &sendError{cause: failure.At(failure.Invalid, "build request", c.address, err)}
	}
	request.ContentLength = int64(len(c.body))
	request.Header = c.header.Clone()
	request.Header.Set(cluster.HeaderRequest, c.id)
	client := u.shared
	if !c.repeatable {
		client = u.single
		// Without GetBody and without this header, the transport has no way
		// and no licence to send the request a second time by itself.
		request.GetBody = nil
		request.Header.Del(headerKey)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, &sendError{sent: connected.Load(), cause: failure.At(failure.Remote, "send request", c.address, err)}
	}
	if id := response.Header.Get(cluster.HeaderRequest); id != "" && id != c.id {
		closeBody(response)
		return nil, &sendError{sent: true, cause: failure.At(failure.Remote, "check answer", c.address, errMismatch)}
	}
	return response, nil
}

func bodyOf(c call) io.Reader {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.body))
}

// notStarted reports whether the endpoint refused before it ran anything.
func notStarted(r *http.Response) bool {
	return r.Header.Get(cluster.HeaderStarted) == cluster.StartedNo
}

// closeBody closes a body; when it was not read to its end, this closes the
// connection too.
func closeBody(r *http.Response) {
	// What Close returns changes nothing: the connection is gone either way.
	_ = r.Body.Close()
}

// readAll reads a whole answer.
func readAll(r *http.Response, address string) ([]byte, error) {
	defer closeBody(r)
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer+1))
	if err != nil {
		return nil, &sendError{sent: true, cause: failure.At(failure.Remote, "read answer", address, err)}
	}
	if len(data) > maxAnswer {
		err := fmt.Errorf("the answer is longer than %d bytes", maxAnswer)
		return nil, &sendError{sent: true, cause: failure.At(failure.Remote, "read answer", address, err)}
	}
	return data, nil
}

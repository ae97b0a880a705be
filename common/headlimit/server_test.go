package headlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessCaller is a caller's connection that sends a beginning, and then a text again and again.
type endlessCaller struct {
	net.Conn
	beginning, repeated string

	mu       sync.Mutex
	read     int
	answer   strings.Builder
	isClosed chan struct{}
}

func (c *endlessCaller) Read(b []byte) (int, error) {
	const sourceBytes = 4 << 20
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read >= sourceBytes {
		return 0, io.EOF
	}
	for i := range b {
		if at := c.read + i; at < len(c.beginning) {
			b[i] = c.beginning[at]
		} else {
			b[i] = c.repeated[(at-len(c.beginning))%len(c.repeated)]
		}
	}
	c.read += len(b)
	return len(b), nil
}

func (c *endlessCaller) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.Write(b)
}

func (c *endlessCaller) Close() error {
	close(c.isClosed)
	return nil
}

func (c *endlessCaller) LocalAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (c *endlessCaller) RemoteAddr() net.Addr { return c.LocalAddr() }

func (c *endlessCaller) SetDeadline(time.Time) error { return nil }

func (c *endlessCaller) SetReadDeadline(time.Time) error { return nil }

func (c *endlessCaller) SetWriteDeadline(time.Time) error { return nil }

// singleListener accepts one connection.
type singleListener struct {
	conns chan net.Conn
}

func (l *singleListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *singleListener) Close() error { return nil }

func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// TestEndlessCallerHeadIsNotReadOn guards against heads of callers and peers that fill the daemon's memory.
func TestEndlessCallerHeadIsNotReadOn(t *testing.T) {
	tests := map[string]struct{ beginning, repeated string }{
		"no line end":            {repeated: "x"},
		"an endless target":      {beginning: "GET /", repeated: "x"},
		"an endless header":      {beginning: "GET / HTTP/1.1\r\nHost: h\r\nA: ", repeated: "b"},
		"headers without an end": {beginning: "GET / HTTP/1.1\r\nHost: h\r\n", repeated: "Header: value\r\n"},
		"tiny headers":           {beginning: "GET / HTTP/1.1\r\nHost: h\r\n", repeated: "a:\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller := &endlessCaller{beginning: test.beginning, repeated: test.repeated, isClosed: make(chan struct{})}
			l := &singleListener{conns: make(chan net.Conn, 1)}
			l.conns <- caller
			server := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request is served") }), time.Minute)
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(l) }()
			<-caller.isClosed
			close(l.conns)
			assert.ErrorIs(t, <-ended, net.ErrClosed)
			const most = 32 << 10
			assert.Assert(t, caller.read <= most, "%d bytes were read, of %d at most", caller.read, most)
		})
	}
}

// TestIncompleteHeadsHoldFewHeaders guards against callers whose heads hold thousands of headers, which take
// far more memory than their bytes.
func TestIncompleteHeadsHoldFewHeaders(t *testing.T) {
	caller := &endlessCaller{beginning: "GET / HTTP/1.1\r\nHost: h\r\n", repeated: "a:\n", isClosed: make(chan struct{})}
	l := &singleListener{conns: make(chan net.Conn, 1)}
	l.conns <- caller
	server := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request is served") }), time.Minute)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	<-caller.isClosed
	close(l.conns)
	assert.ErrorIs(t, <-ended, net.ErrClosed)
	const most = 4 << 10
	assert.Assert(t, caller.read <= most, "%d bytes were read, of %d at most", caller.read, most)
}

// TestOrdinaryRequestsAreServed: requests of usual callers are served, one after the other over one connection.
func TestOrdinaryRequestsAreServed(t *testing.T) {
	front, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }), time.Minute)
	go func() { _ = server.Serve(front) }()
	t.Cleanup(func() { _ = server.Close() })
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	body := strings.Repeat("a:\n", 100_000)
	for range 5 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+front.Addr().String(), strings.NewReader(body))
		assert.NilError(t, err)
		for i := range 100 {
			request.Header.Set(fmt.Sprintf("X%d", i), "value")
		}
		response, err := client.Do(request)
		assert.NilError(t, err)
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(got), body)
	}
}

package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// resettingConn is a connection that is reset after a delay instead of carrying an answer.
type resettingConn struct {
	net.Conn
	delay time.Duration
}

func (c resettingConn) Write(b []byte) (int, error) { return len(b), nil }

func (c resettingConn) Read([]byte) (int, error) {
	time.Sleep(c.delay)
	return 0, syscall.ECONNRESET
}

// TestSentDeadlineIsTheTimeLeft guards against workers that run a request past its deadline because
// it was sent again, or over a slow connection, with the time that was left before.
func TestSentDeadlineIsTheTimeLeft(t *testing.T) {
	const timeout = 5 * time.Second
	worker := &fleet.Worker{ID: "w", Address: "w"}
	toWorker := func(p *Proxy, c *request) *message { return p.messageFor(c, worker, "") }
	toPeer := func(p *Proxy, c *request) *message { return p.messageForPeer(c, "", 0) }
	tests := map[string]struct {
		message     func(p *Proxy, c *request) *message
		resetAfter  time.Duration
		connectTime time.Duration
	}{
		"a worker, sent once":                 {message: toWorker},
		"a worker, sent again":                {message: toWorker, resetAfter: 2 * time.Second},
		"a worker, slow connection":           {message: toWorker, connectTime: time.Second},
		"a worker, again and slow":            {message: toWorker, resetAfter: 2 * time.Second, connectTime: time.Second},
		"a peer, sent again":                  {message: toPeer, resetAfter: 2 * time.Second},
		"a worker, again after the deadline":  {message: toWorker, resetAfter: timeout + time.Second},
		"a peer, sent over a slow connection": {message: toPeer, connectTime: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newUpstream()
				if test.resetAfter > 0 {
					near, _ := net.Pipe()
					kept := resettingConn{Conn: near, delay: test.resetAfter}
					u.put(&connection{Conn: kept, worker: "w", reader: bufio.NewReader(kept)}, time.Minute)
					time.Sleep(time.Millisecond)
				}
				received := make(chan http.Header, 1)
				u.dial = func(context.Context, string, string) (net.Conn, error) {
					time.Sleep(test.connectTime)
					near, far := net.Pipe()
					go answerOnce(far, received)
					return near, nil
				}
				c := &request{
					method: http.MethodPost, target: "/", host: "h", header: http.Header{}, body: []byte("body"),
					deadline: time.Now().Add(timeout), route: &fleet.Route{Kind: fleet.Idempotent},
				}
				m := test.message(&Proxy{opts: Options{Names: testNames}}, c)
				m.takeRetry = func() bool { return true }
				e, err := u.send(t.Context(), worker, m)
				assert.NilError(t, err)
				left := max(timeout-test.resetAfter-test.connectTime, time.Millisecond)
				assert.Equal(t, (<-received).Get(testNames.Deadline), strconv.FormatInt(left.Milliseconds(), 10))
				e.abort()
			})
		})
	}
}

// answerOnce answers one request and passes on its header.
func answerOnce(c net.Conn, received chan<- http.Header) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	received <- r.Header
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

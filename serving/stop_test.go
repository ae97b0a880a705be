package serving

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/drain"
)

// lateListener is a listener that accepts one connection just as it is closed.
type lateListener struct {
	net.Listener
	conn   net.Conn
	closed chan struct{}
	once   sync.Once
}

var errClosed = errors.New("the listener is closed")

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if c := l.conn; c != nil {
		// The server notices the connection late.
		time.Sleep(acceptMargin / 4)
		l.conn = nil
		return c, nil
	}
	return nil, errClosed
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopAnswersTheLastConnection accepts a connection just as the daemon stops. The request on it
// must get a response before stop returns.
func TestStopAnswersTheLastConnection(t *testing.T) {
	s := newServer(t, &fakeStore{})
	s.opts.Bounds.AddressTTL, s.opts.Bounds.StopGracePeriod = time.Millisecond, time.Minute
	caller, daemon := net.Pipe()
	front := &lateListener{conn: daemon, closed: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
	})}
	conns := drain.Track(server)
	listener := conns.Listener(front)
	go func() { _ = server.Serve(listener) }()
	stopped := make(chan struct{})
	go func() {
		s.stop(server, conns, listener)
		close(stopped)
	}()
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(2 * acceptMargin)
	select {
	case <-stopped:
		t.Fatal("it stopped before a request had a response")
	default:
	}
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	<-stopped
}

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
)

// lastMoment is a listener that hands out one connection just when it is closed.
type lastMoment struct {
	net.Listener
	conn   net.Conn
	closed chan struct{}
	once   sync.Once
}

var errClosed = errors.New("the listener is closed")

func (l *lastMoment) Accept() (net.Conn, error) {
	<-l.closed
	if c := l.conn; c != nil {
		// The library is slow to notice the connection.
		time.Sleep(acceptMargin / 4)
		l.conn = nil
		return c, nil
	}
	return nil, errClosed
}

func (l *lastMoment) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *lastMoment) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopAnswersTheLastConnection takes a connection in the moment in which
// the daemon stops: its request must be answered before the process may end.
func TestStopAnswersTheLastConnection(t *testing.T) {
	s := newServer(t, &fakeStore{})
	s.opts.Bounds.KeepEntries, s.opts.Bounds.Grace = time.Millisecond, time.Minute
	caller, daemon := net.Pipe()
	front := &lastMoment{conn: daemon, closed: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = server.Serve(front) }()
	stopped := make(chan struct{})
	go func() {
		s.stop(server, front)
		close(stopped)
	}()
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(2 * acceptMargin)
	select {
	case <-stopped:
		t.Fatal("it stopped while a request was not answered")
	default:
	}
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	<-stopped
}

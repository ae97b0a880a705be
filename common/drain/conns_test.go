package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipeListener accepts connections within the process.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

const workTime = time.Second

// serve starts a server whose requests take workTime.
func serve(t *testing.T) (*Conns, *pipeListener) {
	t.Helper()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(workTime)
		w.WriteHeader(http.StatusNoContent)
	})}
	conns, l := Track(server), newPipeListener()
	go func() { _ = server.Serve(conns.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return conns, l
}

const requestHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func answer(t *testing.T, c net.Conn) error {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	return response.Body.Close()
}

func TestAwaitIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns, l := serve(t)
		start := time.Now()
		c := l.dial()
		_, err := io.WriteString(c, requestHead[:4])
		assert.NilError(t, err)
		synctest.Wait()
		assert.Assert(t, !conns.AwaitIdle(0, start.Add(workTime)), "a request has begun")
		_, err = io.WriteString(c, requestHead[4:])
		assert.NilError(t, err)
		go func() { assert.Check(t, answer(t, c)) }()
		assert.Assert(t, conns.AwaitIdle(workTime, start.Add(time.Minute)))
		assert.Equal(t, time.Since(start), 3*workTime)
	})
}

// TestSealLosesNoRequest guards against connections that close under a request that was read.
func TestSealLosesNoRequest(t *testing.T) {
	begun := requestHead[:5]
	tests := map[string]struct {
		// isUsed makes the connection carry an earlier request. before is sent before reading stops, after when
		// it has stopped.
		isUsed        bool
		before, after string
		isAnswered    bool
	}{
		"a request is served":      {before: requestHead, isAnswered: true},
		"a head has begun":         {before: begun, after: requestHead[len(begun):], isAnswered: true},
		"nothing was sent":         {},
		"two were sent at a time":  {before: requestHead + requestHead, isAnswered: true},
		"one was answered, silent": {isUsed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conns, l := serve(t)
				c := l.dial()
				if test.isUsed {
					_, err := io.WriteString(c, requestHead)
					assert.NilError(t, err)
					assert.NilError(t, answer(t, c))
				}
				go func() { _, _ = io.WriteString(c, test.before) }()
				synctest.Wait()
				conns.SealWhenIdle(time.Now())
				go func() { _, _ = io.WriteString(c, test.after) }()
				err := answer(t, c)
				assert.Equal(t, err == nil, test.isAnswered, "%v", err)
				_ = c.Close()
				assert.Assert(t, conns.AwaitClosed(time.Now().Add(time.Minute)))
			})
		})
	}
}

// TestSealWaitsForRequests guards against connections that are closed while others have requests in flight.
func TestSealWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns, l := serve(t)
		busy, idle := l.dial(), l.dial()
		_, err := io.WriteString(busy, requestHead)
		assert.NilError(t, err)
		synctest.Wait()
		start, sealed := time.Now(), make(chan struct{})
		go func() {
			defer close(sealed)
			conns.SealWhenIdle(start.Add(time.Minute))
		}()
		synctest.Wait()
		_, err = io.WriteString(idle, requestHead)
		assert.NilError(t, err)
		assert.NilError(t, answer(t, busy))
		assert.NilError(t, answer(t, idle))
		<-sealed
		assert.Equal(t, time.Since(start), workTime)
		assert.NilError(t, busy.Close())
		assert.NilError(t, idle.Close())
		assert.Assert(t, conns.AwaitClosed(time.Now().Add(time.Minute)))
	})
}

func TestSealedConnectionsReadNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns, l := serve(t)
		c := l.dial()
		_, err := io.WriteString(c, requestHead)
		assert.NilError(t, err)
		conns.SealWhenIdle(time.Now())
		assert.NilError(t, answer(t, c))
		_, err = io.WriteString(c, requestHead)
		assert.ErrorIs(t, err, io.ErrClosedPipe)
		assert.Assert(t, conns.AwaitClosed(time.Now()))
	})
}

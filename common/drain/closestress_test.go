package drain

import (
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// stressCloses is how often a listener closes, beside stressCallers callers that open connections without a
	// pause and stressLoops busy loops.
	stressCloses  = 5
	stressCallers = 16
	stressLoops   = 16
	// stressDialTimeout limits how long a caller waits for a connection.
	stressDialTimeout = 100 * time.Millisecond
)

// TestCloseResetsNoConnection guards against connections that are reset because their handshakes end while the
// listener closes.
func TestCloseResetsNoConnection(t *testing.T) {
	// The loops delay the other goroutines by the kernel's scheduler, not by that of the runtime.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU() + stressLoops))
	isDone := startBusyLoops(stressLoops)
	defer isDone.Store(true)
	served, resets := 0, 0
	for range stressCloses {
		s, r := closeBesideCallers(t)
		served, resets = served+s, resets+r
	}
	t.Logf("%d closes, %d connections answered, %d reset", stressCloses, served, resets)
	assert.Equal(t, resets, 0)
}

// startBusyLoops starts loops that use processor time until the returned value is set.
func startBusyLoops(count int) *atomic.Bool {
	var isDone atomic.Bool
	for range count {
		go func() {
			for !isDone.Load() {
				runtime.KeepAlive(&isDone)
			}
		}()
	}
	return &isDone
}

// closeBesideCallers closes a listener beside callers. It returns how many connections were answered and how many
// ended without an answer.
func closeBesideCallers(t *testing.T) (served, resets int) {
	raw, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
	})}
	l := Track(server).Listener(raw)
	go func() { _ = server.Serve(l) }()
	defer func() { assert.Check(t, server.Close()) }()
	var answered, unanswered atomic.Int64
	var callers sync.WaitGroup
	begun := make(chan struct{}, stressCallers)
	for range stressCallers {
		callers.Go(func() { callUntilRefused(t, raw.Addr().String(), begun, &answered, &unanswered) })
	}
	for range stressCallers {
		<-begun
	}
	assert.NilError(t, l.Close())
	callers.Wait()
	return int(answered.Load()), int(unanswered.Load())
}

// callUntilRefused sends requests over new connections until one is refused or not established. It reports on
// begun when the first is answered or not.
func callUntilRefused(t *testing.T, address string, begun chan<- struct{}, answered, unanswered *atomic.Int64) {
	for i := 0; ; i++ {
		c, err := net.DialTimeout("tcp", address, stressDialTimeout)
		if err != nil {
			if i == 0 {
				begun <- struct{}{}
			}
			return
		}
		_, err = c.Write([]byte(requestHead))
		if err = errors.Join(err, answer(t, c)); err != nil {
			unanswered.Add(1)
		} else {
			answered.Add(1)
		}
		if i == 0 {
			begun <- struct{}{}
		}
		_ = c.Close()
	}
}

package guard

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestBrokenConnectionsShareOneCheck checks that connections that break at the same time share one
// check of their worker, and that one that breaks later starts a new check.
func TestBrokenConnectionsShareOneCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		checkCount, refusesConnections := 0, false
		e := &endChecker{byWorker: make(map[string]*endCheck), onError: func(Worker, error) {}}
		e.dial = func(context.Context, string, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			checkCount++
			if refusesConnections {
				return nil, syscall.ECONNREFUSED
			}
			conn, _ := net.Pipe()
			return conn, nil
		}
		w := Worker{ID: "w"}
		for range 20 {
			check := e.check(w, time.Now())
			<-check.done
			assert.Assert(t, !check.hasEnded)
		}
		assert.Equal(t, checkCount, 1)
		time.Sleep(resultTTL)
		refusesConnections = true
		check := e.check(w, time.Now())
		<-check.done
		assert.Assert(t, check.hasEnded)
		assert.Equal(t, checkCount, 2)
		e.checks.Wait()
	})
}

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

// TestOneLookForAll: connections that break at one moment share one look at their worker,
// and a later one looks again.
func TestOneLookForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		looks, refuse := 0, false
		e := &endings{held: make(map[string]*ending), unclear: func(Worker, error) {}}
		e.dial = func(context.Context, string, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			looks++
			if refuse {
				return nil, syscall.ECONNREFUSED
			}
			near, _ := net.Pipe()
			return near, nil
		}
		w := Worker{ID: "w"}
		for range 20 {
			look := e.of(w, time.Now())
			<-look.done
			assert.Assert(t, !look.ended)
		}
		assert.Equal(t, looks, 1)
		time.Sleep(endedFor)
		refuse = true
		look := e.of(w, time.Now())
		<-look.done
		assert.Assert(t, look.ended)
		assert.Equal(t, looks, 2)
		e.checks.Wait()
	})
}

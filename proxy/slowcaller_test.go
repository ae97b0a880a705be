package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowWriter is the response writer of a caller that takes delay to read each event.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(w.delay)
	return w.ResponseRecorder.Write(b)
}

// sendSlowly sends a stream request whose caller reads slowly.
func (p *simulation) sendSlowly(daemon int, id string, delay time.Duration) {
	p.calls.Go(func() {
		request := httptest.NewRequest(http.MethodPost, "/stream/", strings.NewReader("body")).WithContext(p.ctx)
		request.Host = "h"
		request.Header.Set(testNames.AttemptID, id)
		request.Header.Set(testNames.Model, "m")
		w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), delay: delay}
		got := simCall{answerSeen: answerSeen{isComplete: true}}
		func() {
			defer func() {
				if recover() != nil {
					got.isComplete = false
				}
			}()
			p.daemons[daemon].ServeHTTP(w, request)
		}()
		got.status, got.body = w.Code, w.Body.String()
		p.mu.Lock()
		p.results[id] = got
		p.mu.Unlock()
	})
}

// TestSlowCallerHarmsNobody: a slow caller with the only stream of a replica must not make the
// replica suspected, and its stream must complete there.
func TestSlowCallerHarmsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSimulation(t, 2, &simHead{id: "a"})
		const delay = nextEventTimeout + 2*sweepInterval
		p.sendSlowly(0, "slow", delay)
		for n := range 10 {
			time.Sleep(200 * time.Millisecond)
			for _, r := range p.daemons {
				assert.Assert(t, !r.opts.Tracker.hasSuspected("a@1", time.Now()), "suspected in step %d", n)
			}
		}
		p.calls.Wait()
		assert.Equal(t, p.timesReceived("slow"), 1)
		assert.Assert(t, p.isServed("slow"), "%+v", p.results["slow"])
	})
}

// TestSilenceBehindSlowCallers: a stalled replica must be detected if at least one of its streams
// has a caller that reads without delay.
func TestSilenceBehindSlowCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Bool
		p := newSimulation(t, 1, &simHead{id: "a", isStalled: func() bool { return stopped.Load() }})
		for i := range 5 {
			p.sendSlowly(0, fmt.Sprint("slow", i), 10*time.Second)
		}
		p.call(0, "reads", 0, fullTimeout)
		time.Sleep(100 * time.Millisecond)
		stopped.Store(true)
		began := time.Now()
		for !p.daemons[0].opts.Tracker.hasSuspected("a@1", time.Now()) {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, time.Since(began) <= nextEventTimeout+2*sweepInterval, "not noticed after %s", time.Since(began))
		}
		stopped.Store(false)
		p.calls.Wait()
	})
}

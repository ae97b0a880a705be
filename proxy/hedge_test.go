package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"quartzshelf.dev/fleet"
)

// withAttempts makes the simulation's route allow a number of attempts.
func withAttempts(p *simulation, attempts int) {
	old := simConfig()
	route, _ := old.Route("h", "/stream/")
	changed := *route
	changed.MaxAttempts = attempts
	config := fleet.NewConfig(fleet.Parts{Version: 1, Routes: []*fleet.Route{&changed}, Services: []*fleet.Service{{Name: "models", Engine: simEngine}}})
	for _, r := range p.daemons {
		r.opts.Config = func() *fleet.Config { return config }
	}
}

// TestSilentHedgeEndsNoStream: three attempts are allowed, two workers stop without a reset (dark), a third is
// sound. The stream must be served by the third one before its caller gives up.
func TestSilentHedgeEndsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Bool
		isStalled := stopped.Load
		p := newSimulation(t, 1, &simHead{id: "a", isStalled: isStalled}, &simHead{id: "b", isStalled: isStalled})
		p.callerPatience = 2 * fullTimeout
		withAttempts(p, 3)
		stopped.Store(true)
		p.call(0, "waits", 0, fullTimeout)
		time.Sleep(950 * time.Millisecond)
		// The second attempt is now under way or about to start at the other of the two.
		time.Sleep(300 * time.Millisecond)
		p.addHead(&simHead{id: "c"})
		p.calls.Wait()
		got := p.results["waits"]
		assert.Assert(t, p.isServed("waits"), "%+v", got)
	})
}

// TestCrashBesideSilentHedgeEndsNoStream: the first attempt is broken off while its hedge is silent; a third replica is
// sound and a third attempt allowed.
func TestCrashBesideSilentHedgeEndsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isStalled := func() bool { return true }
		a, b := &simHead{id: "a", isStalled: isStalled}, &simHead{id: "b", isStalled: isStalled}
		p := newSimulation(t, 1, a, b)
		p.callerPatience = 2 * fullTimeout
		withAttempts(p, 3)
		p.call(0, "waits", 0, fullTimeout)
		time.Sleep(500 * time.Millisecond)
		first := a
		if len(a.received) == 0 {
			first = b
		}
		time.Sleep(time.Second)
		p.addHead(&simHead{id: "c"})
		p.crash(first)
		p.calls.Wait()
		got := p.results["waits"]
		assert.Assert(t, p.isServed("waits"), "%+v", got)
	})
}

// TestHedgeAfterCrashIsCounted guards against hedges that take over from a broken attempt uncounted.
func TestHedgeAfterCrashIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var goesOn atomic.Bool
		isStalled := func() bool { return !goesOn.Load() }
		a, b := &simHead{id: "a", isStalled: isStalled}, &simHead{id: "b", isStalled: isStalled}
		p := newSimulation(t, 1, a, b)
		p.callerPatience = 2 * fullTimeout
		p.call(0, "waits", 0, fullTimeout)
		time.Sleep(500 * time.Millisecond)
		first := a
		if len(a.received) == 0 {
			first = b
		}
		// The hedge starts after a random delay.
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if p.timesReceived("waits") == 2 {
				break
			}
		}
		assert.Equal(t, p.timesReceived("waits"), 2)
		p.crash(first)
		time.Sleep(10 * time.Millisecond)
		goesOn.Store(true)
		p.calls.Wait()
		assert.Assert(t, p.isServed("waits"), "%+v", p.results["waits"])
		w := httptest.NewRecorder()
		p.daemons[0].opts.Meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		assert.Assert(t, cmp.Regexp(`quartzshelf_hedges\S*{\S*outcome="used"\S*} 1\n`, w.Body.String()))
	})
}

// TestBrokenStreamWaitsHoweverLongItWasHeld guards against streams that end as soon as their worker breaks because
// it had been silent before.
func TestBrokenStreamWaitsHoweverLongItWasHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Bool
		a := &simHead{id: "a", isStalled: stopped.Load}
		p := newSimulation(t, 1, a)
		p.call(0, "held", 0, fullTimeout)
		time.Sleep(4 * simPassTime)
		stopped.Store(true)
		time.Sleep(2 * resumeTimeout)
		p.crash(a)
		time.Sleep(resumeTimeout / 2)
		p.addHead(&simHead{id: "b"})
		p.calls.Wait()
		assert.Assert(t, p.isServed("held"), "%+v", p.results["held"])
	})
}

// TestHeldStreamKeepsNoReplicaSuspected: one stream that never gets an event again (its connection is dead) and
// can't be sent elsewhere must not keep a sound replica out of use.
func TestHeldStreamKeepsNoReplicaSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isMuted := func(id string) bool { return id == "dead" }
		a := &simHead{id: "a", isMuted: isMuted}
		p := newSimulation(t, 1, a)
		p.callerPatience = 2 * fullTimeout
		withAttempts(p, 1)
		p.call(0, "dead", 0, fullTimeout)
		time.Sleep(10 * time.Millisecond)
		p.addHead(&simHead{id: "b"})
		time.Sleep(3 * time.Second)
		suspected := 0
		for i := range 60 {
			if p.daemons[0].opts.Tracker.hasSuspected("a@1", time.Now()) {
				suspected++
			}
			p.call(0, fmt.Sprint("call", i), 300, 2*time.Second)
			time.Sleep(20 * time.Millisecond)
		}
		p.calls.Wait()
		assert.Equal(t, p.count("call", 60, p.isServed), 60)
		assert.Equal(t, suspected, 0)
	})
}

// TestCallerThatLeavesEndsBothAttempts: when the caller leaves, both attempts end at once.
func TestCallerThatLeavesEndsBothAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isStalled := func() bool { return true }
		a, b := &simHead{id: "a", isStalled: isStalled}, &simHead{id: "b", isStalled: isStalled}
		p := newSimulation(t, 1, a, b)
		p.callerPatience = 2 * time.Second
		p.call(0, "x", 0, fullTimeout)
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, p.timesReceived("x"), 2)
		time.Sleep(200 * time.Millisecond)
		for _, h := range []*simHead{a, b} {
			h.mu.Lock()
			for _, run := range h.runs {
				assert.Assert(t, run.isCanceled, h.id)
			}
			h.mu.Unlock()
		}
		p.calls.Wait()
		assert.Equal(t, len(p.daemons[0].opts.Tracker.replicas["a@1"].streams), 0)
		assert.Equal(t, p.daemons[0].opts.Tracker.replicas["a@1"].inFlight, 0)
		assert.Equal(t, p.daemons[0].opts.Tracker.replicas["b@1"].inFlight, 0)
	})
}

// TestCrashIsReportedWithTimeOfItsAttempt: a look for a hedge that finds no place must not change the time at
// which the crashed attempt was sent.
func TestCrashIsReportedWithTimeOfItsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isStalled := func() bool { return true }
		a, b := &simHead{id: "a", isStalled: isStalled}, &simHead{id: "b", isStalled: isStalled}
		p := newSimulation(t, 1, a, b)
		p.callerPatience = 2 * fullTimeout
		p.bodyOf = func(id string) string { return id }
		for i := range 2 * simEngine.Slots {
			p.call(0, fmt.Sprint("call", i), 0, fullTimeout)
		}
		time.Sleep(3 * time.Second)
		p.crash(a)
		time.Sleep(600 * time.Millisecond)
		report := p.daemons[0].guard.Table().Report(time.Now(), true)
		p.calls.Wait()
		assert.Equal(t, len(report), simEngine.Slots)
		for _, e := range report {
			assert.Equal(t, e.Crashes[0].Sent, int64(3600))
		}
	})
}

// TestHedgeTakesFromBudgetAndAttempts: a hedge is a retry of the budget and, once dropped, an attempt.
func TestHedgeTakesFromBudgetAndAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := headIDs(3)
		schedule := &pauses{spans: []pauseSpan{
			{from: 100 * time.Millisecond, to: 1300 * time.Millisecond, heads: firstOf(ids, 3)},
			{from: 1330 * time.Millisecond, to: 2500 * time.Millisecond, heads: firstOf(ids, 3)},
		}}
		p := newPausingSimulation(t, 1, ids, schedule)
		time.Sleep(50 * time.Millisecond)
		p.call(0, "waits", 0, fullTimeout)
		p.calls.Wait()
		assert.Assert(t, p.isServed("waits"), "%+v", p.results["waits"])
		assert.Equal(t, p.timesReceived("waits"), 2)
		assert.Equal(t, p.daemons[0].budget.state("models", time.Now()).retries, 1.0)
	})
}

// TestKeptConnectionIsNotInterrupted: a connection that goes back to the pool must not carry an interrupt of its
// last attempt.
func TestKeptConnectionIsNotInterrupted(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	u := newUpstream()
	c := &connection{Conn: near, worker: "w"}
	interrupts := &interruptor{onInterrupt: func() error { return errStreamSilent }}
	interrupts.attach(c)
	interrupts.interrupt()
	e := &exchange{conn: c, upstream: u, interrupts: interrupts, response: &http.Response{}, stopCloseOnCancel: func() bool { return true }}
	e.finish()
	interrupts.interrupt()
	assert.Equal(t, u.idleCount, 1)
	go func() { _, _ = far.Write([]byte("x")) }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
}

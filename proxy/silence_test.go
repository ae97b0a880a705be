package proxy

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// fullTimeout is the timeout of the route.
const fullTimeout = 6 * time.Second

// TestQueuedPromptIsNotLost: a request queued for 1.4 s behind other prompts must not be canceled
// while other streams at its head receive events. Those streams belong to another daemon.
func TestQueuedPromptIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSimulation(t, 2, &simHead{id: "a"})
		// Streams of the other daemon receive events all the time.
		for range 30 {
			p.call(1, "moving", 0, fullTimeout)
			time.Sleep(100 * time.Millisecond)
			if p.timesReceived("moving") == 5 {
				p.call(1, "before", 14_000, fullTimeout)
				time.Sleep(time.Millisecond)
				p.call(0, "queued", 1000, fullTimeout)
			}
		}
		p.calls.Wait()
		assert.Assert(t, p.isServed("queued"), "%+v", p.results["queued"])
		assert.Equal(t, p.timesReceived("queued"), 1)
		assert.Assert(t, p.results["queued"].firstBytesAfter > firstEventTimeout, "it waited only %s", p.results["queued"].firstBytesAfter)
	})
}

// TestStalledReplicaIsDetected: a replica that stalls after a stream has started must be suspected
// by all daemons after nextEventTimeout.
func TestStalledReplicaIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Bool
		p := newSimulation(t, 2, &simHead{id: "a", isStalled: stopped.Load})
		p.call(0, "begun", 0, fullTimeout)
		p.call(1, "other", 0, fullTimeout)
		time.Sleep(100 * time.Millisecond)
		stopped.Store(true)
		began := time.Now()
		p.call(1, "waits", 0, fullTimeout)
		for i, r := range p.daemons {
			for !r.opts.Tracker.hasSuspected("a@1", time.Now()) {
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, time.Since(began) <= nextEventTimeout+2*sweepInterval, "daemon %d after %s", i, time.Since(began))
		}
		stopped.Store(false)
		p.calls.Wait()
	})
}

// TestSilenceIsReported: a request whose replicas stay silent must be held until its deadline. Its refusal
// must say that time ran out, not that an answer was lost.
func TestSilenceIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isStalled := func() bool { return true }
		p := newSimulation(t, 1, &simHead{id: "a", isStalled: isStalled}, &simHead{id: "b", isStalled: isStalled})
		p.callerPatience = 2 * fullTimeout
		p.call(0, "waits", 0, fullTimeout)
		p.calls.Wait()
		got := p.results["waits"]
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Equal(t, got.endedAfter, fullTimeout)
		assert.Assert(t, strings.Contains(got.body, string(reason.EndpointTimeout)), got.body)
	})
}

// TestDeadConnectionIsDetected: if only one of a replica's streams gets no events, it must resume
// elsewhere before its caller disconnects. The replica must not be suspected.
func TestDeadConnectionIsDetected(t *testing.T) {
	for name, prompt := range map[string]int{"after events": 0, "before the first event": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateDeadConnection(t, prompt) })
		})
	}
}

func simulateDeadConnection(t *testing.T, prompt int) {
	t.Helper()
	var silent atomic.Bool
	silent.Store(prompt > 0)
	p := newSimulation(t, 1, &simHead{id: "a", isMuted: func(id string) bool { return id == "dead" && silent.Load() }})
	p.call(0, "dead", prompt, fullTimeout)
	time.Sleep(100 * time.Millisecond)
	silent.Store(true)
	p.addHead(&simHead{id: "b"})
	for range 35 {
		// Several streams are started at once, so that both heads get some.
		for range 3 {
			p.call(0, "moving", 0, fullTimeout)
		}
		time.Sleep(60 * time.Millisecond)
	}
	assert.Assert(t, !p.daemons[0].opts.Tracker.hasSuspected("a@1", time.Now()))
	p.calls.Wait()
	got := p.results["dead"]
	assert.Assert(t, p.isServed("dead"), "%+v", got)
	assert.Assert(t, got.endedAfter < 2*time.Second, "%s", got.endedAfter)
}

// TestPausedProcessDetectsSilence: a process that is paused for 0.3 s again and again must still
// detect a stalled replica.
func TestPausedProcessDetectsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker("", func(*fleet.Replica) {})
		replica := testReplica("a", "")
		isNotified := false
		watch := tracker.Watch(replica, testCosts, func() { isNotified = true })
		tracker.RecordEvent(replica, watch, time.Now())
		const gap = 300 * time.Millisecond
		for range 5 {
			time.Sleep(gap)
			tracker.Sweep(time.Now(), gap)
		}
		assert.Assert(t, isNotified)
		assert.ErrorIs(t, tracker.Silence(watch), errReplicaSilent)
	})
}

// TestPauseRestartsTimers: a pause of this process must not make streams appear silent. Events that
// arrived during the pause have not been read yet.
func TestPauseRestartsTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker("", func(*fleet.Replica) {})
		replica := testReplica("a", "")
		isNotified := false
		watch := tracker.Watch(replica, testCosts, func() { isNotified = true })
		for range 5 {
			tracker.RecordEvent(replica, watch, time.Now())
			time.Sleep(2 * nextEventTimeout)
			tracker.Sweep(time.Now(), 2*nextEventTimeout)
			assert.Assert(t, !isNotified)
		}
	})
}

// TestSuspicionOfPeersNeedsSilence: a peer's suspicion is ignored while a replica sends events.
func TestSuspicionOfPeersNeedsSilence(t *testing.T) {
	tests := map[string]struct {
		msSinceEvent int64
		want         bool
	}{
		"moved a moment ago at another peer": {msSinceEvent: 100},
		"moved there long ago":               {msSinceEvent: 600, want: true},
		"nobody tells":                       {want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := NewTracker("", func(*fleet.Replica) {})
			tracker.Reserve(testReplica("a", ""), 0)
			tracker.SetPeerLoads("peer", peers.Summary{Daemons: 1, Loads: peers.Loads{{Replica: "a", InFlight: 1, EventAgeMillis: test.msSinceEvent}}}, now)
			tracker.MarkSuspected("a", now)
			assert.Equal(t, tracker.hasSuspected("a", now), test.want)
		})
	}
}

// hasSuspected reports whether a replica is suspected.
func (t *Tracker) hasSuspected(replica string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSuspected(replica, now)
}

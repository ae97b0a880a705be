package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestLateStreamsResumeSpreadOut simulates a replica that stalls with 200 streams. Less than a
// quarter of them may resume within the time of one forward pass, and all must resume before
// callers disconnect.
func TestLateStreamsResumeSpreadOut(t *testing.T) {
	const (
		streams        = 200
		pass           = 50 * time.Millisecond
		silentFor      = 500 * time.Millisecond
		callerPatience = 2 * time.Second
	)
	now := time.Unix(1000, 0)
	route := &fleet.Route{Objective: 300 * time.Millisecond, GapTarget: 300 * time.Millisecond}
	r := &Proxy{}
	perPass := make(map[time.Duration]int)
	for range streams {
		s := &relayedStream{isHeadSent: true, lastEventAt: now.Add(-silentFor)}
		wait := r.resumeDelay(&request{route: route, arrived: now.Add(-3 * time.Second), deadline: now.Add(5 * time.Second)}, s, now)
		perPass[wait/pass]++
		assert.Assert(t, silentFor+wait < callerPatience, "%s", wait)
	}
	for passIndex, count := range perPass {
		// Without the delay, all streams would resume in one pass.
		assert.Assert(t, count < streams/4, "%d within pass %d", count, passIndex)
	}
}

// TestResumeDelayEndsBeforeCallersDisconnect: the delay is short if little time is left, or if the
// caller has already waited for long.
func TestResumeDelayEndsBeforeCallersDisconnect(t *testing.T) {
	now := time.Unix(1000, 0)
	route := &fleet.Route{Objective: 300 * time.Millisecond, GapTarget: 300 * time.Millisecond}
	tests := map[string]struct {
		// left is the time to the deadline, pause the time since the last event.
		left, pause, most time.Duration
	}{
		"little time left":     {left: 400 * time.Millisecond, pause: 500 * time.Millisecond, most: 100 * time.Millisecond},
		"a long pause":         {left: 5 * time.Second, pause: 1500 * time.Millisecond, most: 100 * time.Millisecond},
		"too long a pause":     {left: 5 * time.Second, pause: 3 * time.Second},
		"the deadline is past": {left: -time.Second, pause: 500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &request{route: route, arrived: now.Add(-5 * time.Second), deadline: now.Add(test.left)}
			for range 100 {
				wait := (&Proxy{}).resumeDelay(c, &relayedStream{isHeadSent: true, lastEventAt: now.Add(-test.pause)}, now)
				assert.Assert(t, wait >= 0 && wait <= test.most, "%s", wait)
			}
		})
	}
}

// TestStreamsOnTimeResumeAtOnce: a stream that broke off shortly after its last event can still
// be on time, and must not be delayed.
func TestStreamsOnTimeResumeAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	timed := &fleet.Route{Objective: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond}
	tests := map[string]struct {
		route *fleet.Route
		// age is the age of the request, pause the time since the last event.
		age, pause time.Duration
		hasBegun   bool
	}{
		"before the first event":   {route: timed, age: 250 * time.Millisecond},
		"between two events":       {route: timed, age: time.Second, pause: 150 * time.Millisecond, hasBegun: true},
		"a route without times":    {route: &fleet.Route{}, age: time.Second, pause: time.Second, hasBegun: true},
		"the first, without times": {route: &fleet.Route{}, age: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &relayedStream{isHeadSent: test.hasBegun, lastEventAt: now.Add(-test.pause)}
			c := &request{route: test.route, arrived: now.Add(-test.age)}
			assert.Equal(t, (&Proxy{}).resumeDelay(c, s, now), time.Duration(0))
		})
	}
}

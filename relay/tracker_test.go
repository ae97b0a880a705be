package relay

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/eligibility"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// testCosts are the costs of an engine with steps of 10 ms, five in a pass.
var testCosts = costs{
	slots: 20, perToken: 20 * time.Microsecond, pass: 50 * time.Millisecond,
	perRequest: time.Millisecond, service: time.Second,
}

func testReplica(id, zone string) *fleet.Replica {
	return &fleet.Replica{ID: id, Service: "s", Model: "m", Head: &fleet.Worker{ID: id, Zone: zone}}
}

// countChoices chooses many times, as a relay does, and counts the choices by replica.
func countChoices(t *Tracker, replicas []*fleet.Replica, now time.Time, draws int) map[string]int {
	counts := make(map[string]int)
	rules := eligibility.Rules{IsSuspected: t.suspectCheck(now)}
	selection := rules.Select(&eligibility.Request{}, replicas)
	if replicas = selection.InClass(eligibility.Eligible); len(replicas) == 0 {
		replicas = selection.InClass(eligibility.LastResort)
	}
	for range draws {
		if choice, ok := t.Choose(replicas, nil, testCosts, 1000, now); ok {
			counts[choice.Replica.ID]++
		}
	}
	return counts
}

// TestChoicesAreSpread: daemons that know the same outdated loads must not all choose the same
// replica, though one looks slightly better.
func TestChoicesAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("z", func(*fleet.Replica) {})
	tracker.SetRemote("peer", peers.Summary{Daemons: 1, Loads: peers.Loads{{Replica: "b", InFlight: 1}}}, now.Add(-200*time.Millisecond))
	replicas := []*fleet.Replica{testReplica("a", "z"), testReplica("b", "z")}
	counts := countChoices(tracker, replicas, now, 400)
	// The wait at b is 1 ms longer; the noise is at least 10 ms.
	assert.Assert(t, counts["b"] > 100, "%v", counts)
	assert.Assert(t, counts["a"] > 100, "%v", counts)
}

// TestNearReplicasAreChosenFirst: among equal replicas, those in the daemon's own data hall are
// preferred.
func TestNearReplicasAreChosenFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	replicas := []*fleet.Replica{testReplica("a", "far"), testReplica("b", "near")}
	// Without a distance cost half of the draws are expected, with a standard deviation of 16 in
	// a thousand. A cost of 4 ms against the noise of 10 ms of the first draw makes it more than
	// 600; further draws increase the rate and with it the noise, so only ten are drawn at a
	// time.
	near := 0
	for range 100 {
		tracker := NewTracker("near", func(*fleet.Replica) {})
		near += countChoices(tracker, replicas, now, 10)["b"]
	}
	assert.Assert(t, near > 600, "%d of 1000", near)
}

// TestOnceRequestsGetFreshConnections: a worker may just have closed a connection that was idle
// for a while, on which a request that must run at most once would be lost.
func TestOnceRequestsGetFreshConnections(t *testing.T) {
	tests := map[string]struct {
		idle    time.Duration
		idleFor time.Duration
		reused  bool
	}{
		"just used, once":          {idle: -time.Minute, idleFor: maxIdleRunOnce, reused: true},
		"idle for a while, once":   {idle: 2 * maxIdleRunOnce, idleFor: maxIdleRunOnce},
		"idle for a while, may be": {idle: 2 * maxIdleRunOnce, idleFor: maxKeepAlive, reused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w")
			raw, err := net.Dial("tcp", worker.listener.Addr().String())
			assert.NilError(t, err)
			u := newUpstream()
			c := &connection{Conn: raw, worker: "w", reader: bufio.NewReader(raw)}
			u.put(c, maxKeepAlive)
			c.idleSince = time.Now().Add(-test.idle)
			assert.Equal(t, u.reuse(&fleet.Worker{ID: "w"}, test.idleFor) == c, test.reused)
		})
	}
	// Only requests that must run at most once use the shorter time.
	assert.Equal(t, maxIdleFor(true), maxIdleRunOnce)
	assert.Equal(t, maxIdleFor(false), maxKeepAlive)
}

// TestNearlyFullReplicasAreAvoided: if one slot is left, two daemons may take it at the same
// time, and one request would be refused.
func TestNearlyFullReplicasAreAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("z", func(*fleet.Replica) {})
	// The wait for the first event is 21 ms shorter at a.
	tracker.SetRemote("peer", peers.Summary{Daemons: 1, Loads: peers.Loads{{Replica: "a", InFlight: 19}, {Replica: "b", InFlight: 10, Prefill: 1500}}}, now)
	replicas := []*fleet.Replica{testReplica("a", "z"), testReplica("b", "z")}
	counts := countChoices(tracker, replicas, now, 10)
	assert.Equal(t, counts["b"], 10, "%v", counts)
}

// TestWorkIsMeasured: the leader sizes models by the work in flight and the pauses between events
// that callers accept.
func TestWorkIsMeasured(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("z", func(*fleet.Replica) {})
	first := tracker.Reserve(testReplica("a", "z"), 1500)
	tracker.Reserve(testReplica("b", "z"), 500)
	first.PrefillDone()
	busy, prompts := tracker.Demand()
	assert.DeepEqual(t, busy, map[string]float64{"m": 2})
	// Prompts that were read here would have to be read again elsewhere.
	assert.DeepEqual(t, prompts, map[string]float64{"m": 2000})
	first.Release()
	_, prompts = tracker.Demand()
	assert.DeepEqual(t, prompts, map[string]float64{"m": 500})

	assert.Equal(t, tracker.Pause("m", now), time.Duration(0))
	tracker.RecordGapTarget("m", 300*time.Millisecond, now)
	tracker.RecordGapTarget("m", 200*time.Millisecond, now)
	tracker.RecordGapTarget("m", 0, now)
	assert.Equal(t, tracker.Pause("m", now), 200*time.Millisecond)
	tracker.RecordGapTarget("m", 300*time.Millisecond, now.Add(gapTargetTTL))
	assert.Equal(t, tracker.Pause("m", now.Add(gapTargetTTL+time.Second)), 300*time.Millisecond, "an expired gap target")
	assert.Equal(t, tracker.Pause("other", now), time.Duration(0))
}

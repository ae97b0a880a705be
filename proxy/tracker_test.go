package proxy

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
	slots: 20, perToken: 20 * time.Microsecond, passTime: 50 * time.Millisecond,
	perRequest: time.Millisecond, slotTime: time.Second,
}

func testReplica(id, zone string) *fleet.Replica {
	return &fleet.Replica{ID: id, Service: "s", Model: "m", Head: &fleet.Worker{ID: id, Zone: zone}}
}

// countChoices makes a number of choices and counts them by replica. As in a Proxy, suspected
// replicas are used only if there are no others.
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

// TestChoicesAreSpread: daemons with the same outdated loads must not all choose the same replica,
// even if it looks slightly better.
func TestChoicesAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("z", func(*fleet.Replica) {})
	tracker.SetPeerLoads("peer", peers.Summary{Daemons: 1, Loads: peers.Loads{{Replica: "b", InFlight: 1}}}, now.Add(-200*time.Millisecond))
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
	// Without the penalty for replicas in other data halls, each replica would be chosen for about
	// 500 of the 1000 requests. Each tracker makes only ten choices, because the noise grows with
	// the request rate.
	near := 0
	for range 100 {
		tracker := NewTracker("near", func(*fleet.Replica) {})
		near += countChoices(tracker, replicas, now, 10)["b"]
	}
	assert.Assert(t, near > 600, "%d of 1000", near)
}

// TestAtMostOnceRequestsGetFreshConnections: requests that must run at most once must not use
// connections that were idle for a while. The worker may just have closed such a connection, and
// the request would be lost.
func TestAtMostOnceRequestsGetFreshConnections(t *testing.T) {
	tests := map[string]struct {
		idle     time.Duration
		maxIdle  time.Duration
		isReused bool
	}{
		"just used, once":          {idle: -time.Minute, maxIdle: maxIdleAtMostOnce, isReused: true},
		"idle for a while, once":   {idle: 2 * maxIdleAtMostOnce, maxIdle: maxIdleAtMostOnce},
		"idle for a while, may be": {idle: 2 * maxIdleAtMostOnce, maxIdle: maxKeepAlive, isReused: true},
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
			assert.Equal(t, u.reuse(&fleet.Worker{ID: "w"}, test.maxIdle) == c, test.isReused)
		})
	}
	// Only requests that must run at most once use the shorter time.
	assert.Equal(t, maxIdleFor(true), maxIdleAtMostOnce)
	assert.Equal(t, maxIdleFor(false), maxKeepAlive)
}

// TestNearlyFullReplicasAreAvoided: a replica with one slot left must not be chosen if another has
// more. Two daemons may take the slot at the same time, and one request would be refused.
func TestNearlyFullReplicasAreAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("z", func(*fleet.Replica) {})
	// Apart from the lack of slots, the predicted wait is shorter at a.
	tracker.SetPeerLoads("peer", peers.Summary{Daemons: 1, Loads: peers.Loads{{Replica: "a", InFlight: 19}, {Replica: "b", InFlight: 10, PendingPromptTokens: 1500}}}, now)
	replicas := []*fleet.Replica{testReplica("a", "z"), testReplica("b", "z")}
	counts := countChoices(tracker, replicas, now, 10)
	assert.Equal(t, counts["b"], 10, "%v", counts)
}

// TestDemandAndGapTargets checks the demand and the gap targets by model. The leader uses both to
// decide how many replicas each model gets.
func TestDemandAndGapTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("z", func(*fleet.Replica) {})
	first := tracker.Reserve(testReplica("a", "z"), 1500)
	tracker.Reserve(testReplica("b", "z"), 500)
	first.MarkPromptRead()
	inFlight, prompts := tracker.DemandByModel()
	assert.DeepEqual(t, inFlight, map[string]float64{"m": 2})
	// Prompts that were already read count too, since another replica would have to read them
	// again.
	assert.DeepEqual(t, prompts, map[string]float64{"m": 2000})
	first.Release()
	_, prompts = tracker.DemandByModel()
	assert.DeepEqual(t, prompts, map[string]float64{"m": 500})

	assert.Equal(t, tracker.ToleratedPause("m", now), time.Duration(0))
	tracker.RecordGapTarget("m", 300*time.Millisecond, now)
	tracker.RecordGapTarget("m", 200*time.Millisecond, now)
	tracker.RecordGapTarget("m", 0, now)
	assert.Equal(t, tracker.ToleratedPause("m", now), 200*time.Millisecond)
	tracker.RecordGapTarget("m", 300*time.Millisecond, now.Add(gapTargetTTL))
	assert.Equal(t, tracker.ToleratedPause("m", now.Add(gapTargetTTL+time.Second)), 300*time.Millisecond, "an expired gap target")
	assert.Equal(t, tracker.ToleratedPause("other", now), time.Duration(0))
}

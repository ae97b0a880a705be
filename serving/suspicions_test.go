package serving

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/peers"
)

// TestSuspicionsExpire forwards a suspicion back and forth between two daemons. Each must be
// reported only for a limited time after its replica stalled.
func TestSuspicionsExpire(t *testing.T) {
	a, b := newSuspicions(), newSuspicions()
	start := time.Unix(1000, 0)
	assert.Assert(t, a.add(peers.Stall{Replica: "r"}, start))
	now := start
	pass := func(from, to *suspicions) int {
		all := from.current(now)
		for _, stall := range all {
			to.add(stall, now.Add(-time.Duration(stall.Age)*time.Millisecond))
		}
		return len(all)
	}
	passed := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		passed += pass(a, b) + pass(b, a)
	}
	assert.Assert(t, passed > 0)
	assert.Equal(t, len(a.current(now))+len(b.current(now)), 0)
	assert.Assert(t, a.add(peers.Stall{Replica: "r"}, now), "it stalled again")
}

// TestLeaderInspectionsAreLimited reports a suspicion by many daemons at once.
func TestLeaderInspectionsAreLimited(t *testing.T) {
	s := newSuspicions()
	now := time.Unix(1000, 0)
	assert.Assert(t, !s.due("r", now), "it is not suspected")
	looks := 0
	for range 100 {
		s.add(peers.Stall{Replica: "r"}, now)
		if s.due("r", now) {
			looks++
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, looks, 3)
}

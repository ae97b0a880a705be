package serving

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/peers"
)

// TestSuspicionsExpire forwards a suspicion back and forth between two daemons. They must stop
// reporting it some time after the replica stalled.
func TestSuspicionsExpire(t *testing.T) {
	a, b := newSuspicions(), newSuspicions()
	start := time.Unix(1000, 0)
	assert.Assert(t, a.add(peers.Stall{Replica: "r"}, start))
	now := start
	forward := func(from, to *suspicions) int {
		all := from.recentStalls(now)
		for _, stall := range all {
			to.add(stall, now.Add(-time.Duration(stall.Age)*time.Millisecond))
		}
		return len(all)
	}
	forwardedCount := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		forwardedCount += forward(a, b) + forward(b, a)
	}
	assert.Assert(t, forwardedCount > 0)
	assert.Equal(t, len(a.recentStalls(now))+len(b.recentStalls(now)), 0)
	assert.Assert(t, a.add(peers.Stall{Replica: "r"}, now), "it stalled again")
}

// TestLeaderInspectionsAreLimited reports the same suspicion a hundred times within a second. The
// leader must inspect the replica only once per inspectionInterval.
func TestLeaderInspectionsAreLimited(t *testing.T) {
	s := newSuspicions()
	now := time.Unix(1000, 0)
	assert.Assert(t, !s.startInspection("r", now), "it is not suspected")
	inspections := 0
	for range 100 {
		s.add(peers.Stall{Replica: "r"}, now)
		if s.startInspection("r", now) {
			inspections++
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, inspections, 3)
}

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRelaysReadBeforeMembers checks that relays read the source before members do if the leader
// cannot reach it. Members then get a change from their relays in time.
func TestRelaysReadBeforeMembers(t *testing.T) {
	for _, bound := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		assert.Assert(t, MaxStaleness(false, ReadSpread, bound) < MaxStaleness(true, 0, bound), "%s", bound)
		assert.Equal(t, MaxStaleness(false, 0, bound), staleStateAge)
	}
}

// TestMembersLearnOfRemovalsInTime guards against members of a large fleet that rely on peers for
// longer than the bound on workers that left.
func TestMembersLearnOfRemovalsInTime(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		for _, isMember := range []bool{false, true} {
			latest := MaxStaleness(isMember, ReadSpread, bound) + idlePollInterval + readAnswerTime
			assert.Assert(t, latest <= bound, "%s, member %t: %s", bound, isMember, latest)
		}
	}
}

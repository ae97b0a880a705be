package soak

import (
	"math/rand/v2"
	"time"

	"quartzshelf.dev/platform/standin"
)

const (
	// drillAway is how long the store is away before it comes back from a copy.
	drillAway = 300 * time.Millisecond
	// againLeast and againSpread bound how long after that its writers write again.
	againLeast  = 200 * time.Millisecond
	againSpread = time.Second
)

// drills holds the faults of a store that comes back from a copy, which is as old as the
// fault lasts.
var drills = map[string]fault{"store-drill": {blinds: true, strike: (*run).drill}}

// drillSchedule returns when the store comes back from a copy, which is drawn apart from the
// other faults, so that these stay as they are.
func drillSchedule(seed uint64, total time.Duration) []step {
	const stream = 1 << 34
	return draw(rand.New(rand.NewPCG(seed, stream)), []string{"store-drill"}, total)
}

// drill copies the store and lets it come back from that when the fault ends.
func (r *run) drill(random *rand.Rand) func() {
	c := r.store.Copy()
	again := againLeast + time.Duration(random.Int64N(int64(againSpread)))
	return func() {
		r.store.SetFaults(standin.Faults{Silent: true})
		time.Sleep(drillAway)
		r.store.Restore(c, again)
		r.store.SetFaults(standin.Faults{})
		// Until its writers wrote again, daemons cannot know what was lost.
		time.Sleep(again)
	}
}

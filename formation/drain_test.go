package formation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestUnansweredCloseCutsNoRequests guards against replicas that are taken apart under their requests because the
// order to close them is not answered, although their heads are alive.
func TestUnansweredCloseCutsNoRequests(t *testing.T) {
	const drainTime = 3 * time.Second
	tests := map[string]struct {
		// closeDelays are the delays of the attempts to close that are not answered.
		closeDelays []time.Duration
		pause       time.Duration
	}{
		"the order is answered":            {},
		"its first answer is lost":         {closeDelays: []time.Duration{0}},
		"all its answers are lost":         {closeDelays: slices.Repeat([]time.Duration{0}, maxOrderAttempts)},
		"it is carried out seconds later":  {closeDelays: slices.Repeat([]time.Duration{2 * time.Second}, maxOrderAttempts)},
		"the head only pauses for seconds": {pause: 2500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 2, 10)
				w.drainTime = drainTime
				_, g, stop := startServing(w, "big")
				head := g.Members[0]
				w.mu.Lock()
				w.delays["close "+head] = test.closeDelays
				leaving := w.workers[g.Members[1]]
				leaving.isDraining = true
				w.publish(leaving)
				w.mu.Unlock()
				w.pause(head, test.pause)
				begun := time.Now()
				for w.membershipOf(head).SameGroup(fleet.Membership{Group: g.Name, Epoch: g.Epoch}) {
					time.Sleep(10 * time.Millisecond)
				}
				took := time.Since(begun)
				stop()
				w.pending.Wait()
				assert.Assert(t, took >= drainTime, "the group was taken apart after %s", took)
				assert.Assert(t, took <= maxDrainTime+4*time.Second, "the group was taken apart after %s", took)
				assert.DeepEqual(t, w.violations, []string(nil))
			})
		})
	}
}

package formation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestReplicasForLossAreBounded checks that a model with slow replicas, whose prompts accumulate,
// does not get more workers than its share of the fleet.
func TestReplicasForLossAreBounded(t *testing.T) {
	k := NewKeeper(newWorld(1, 1, 0).options(), Term{Epoch: 2}, func() {})
	k.isNewFleet = false
	e := &fleet.Engine{Slots: 30, Stride: 7, PrefillPerSecond: 50000, Step: 6 * time.Millisecond}
	m := fleet.Model{Name: "big", Size: 16, Share: 0.5, Pace: 1}
	for name, test := range map[string]struct {
		work        Work
		least, most float64
	}{
		"usual work":           {work: Work{Busy: 40, Prompts: 60000, Pause: 300 * time.Millisecond}, least: 5, most: 6},
		"accumulated prompts":  {work: Work{Busy: 80, Prompts: 200000, Pause: 300 * time.Millisecond}, least: 6.9, most: 7},
		"more than the share":  {work: Work{Busy: 210, Prompts: 200000, Pause: 300 * time.Millisecond}, least: 11, most: 11},
		"nothing is known yet": {least: 1, most: 1},
	} {
		t.Run(name, func(t *testing.T) {
			k.smoothedWork["big"] = test.work
			got := k.wantedReplicas(e, m, 222)
			assert.Assert(t, test.least <= got && got <= test.most, "%.2f", got)
		})
	}
}

package formation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestReplicasForLossAreBounded checks that a model with slow replicas does not get more workers
// than its share of the fleet, although its prompts accumulate.
func TestReplicasForLossAreBounded(t *testing.T) {
	k := NewReconciler(newWorld(1, 1, 0).options(), Term{Epoch: 2}, func() {})
	k.isNewFleet = false
	e := &fleet.Engine{Slots: 30, Stride: 7, PrefillPerSecond: 50000, Step: 6 * time.Millisecond}
	m := fleet.Model{Name: "big", Size: 16, InitialShare: 0.5, TimeFactor: 1}
	for name, test := range map[string]struct {
		work                     Work
		minReplicas, maxReplicas float64
	}{
		"usual work":           {work: Work{BusySlots: 40, PromptTokens: 60000, ToleratedPause: 300 * time.Millisecond}, minReplicas: 5, maxReplicas: 6},
		"accumulated prompts":  {work: Work{BusySlots: 80, PromptTokens: 200000, ToleratedPause: 300 * time.Millisecond}, minReplicas: 6.9, maxReplicas: 7},
		"more than the share":  {work: Work{BusySlots: 210, PromptTokens: 200000, ToleratedPause: 300 * time.Millisecond}, minReplicas: 11, maxReplicas: 11},
		"nothing is known yet": {minReplicas: 1, maxReplicas: 1},
	} {
		t.Run(name, func(t *testing.T) {
			k.smoothedWork["big"] = test.work
			got := k.wantedReplicas(e, m, 222)
			assert.Assert(t, test.minReplicas <= got && got <= test.maxReplicas, "%.2f", got)
		})
	}
}

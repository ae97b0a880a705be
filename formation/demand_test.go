package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestReplicasForLoss checks that enough replicas are wanted to tolerate the loss of one. The
// others must be able to read its prompts within the pause that callers tolerate.
func TestReplicasForLoss(t *testing.T) {
	const ms = time.Millisecond
	e := &fleet.Engine{
		Slots: 30, Stride: 7, PrefillPerSecond: 50000, Step: 6 * ms, StepPerRequest: 45 * time.Microsecond,
		Models: []fleet.Model{{Name: "big", Size: 16, TimeFactor: 1}, {Name: "small", Size: 4, TimeFactor: 0.5}},
	}
	tests := map[string]struct {
		model                    string
		work                     Work
		minReplicas, maxReplicas float64
	}{
		// Reading 60 prompts of 1,500 tokens takes 1.8 s. A pause of 300 ms, less the duration of
		// two passes, leaves about 200 ms. The other n-1 replicas may use a quarter of that to read
		// the prompts of a lost one.
		"large prompts":       {model: "big", work: Work{BusySlots: 60, PromptTokens: 90000, ToleratedPause: 300 * ms}, minReplicas: 6, maxReplicas: 7},
		"twice the work":      {model: "big", work: Work{BusySlots: 120, PromptTokens: 180000, ToleratedPause: 300 * ms}, minReplicas: 8.5, maxReplicas: 9.5},
		"a faster model":      {model: "small", work: Work{BusySlots: 60, PromptTokens: 90000, ToleratedPause: 300 * ms}, minReplicas: 4, maxReplicas: 5},
		"pauses do not count": {model: "big", work: Work{BusySlots: 60, PromptTokens: 90000}},
		"no pause is enough":  {model: "big", work: Work{BusySlots: 60, PromptTokens: 90000, ToleratedPause: 80 * ms}},
		"nothing to read":     {model: "big", work: Work{ToleratedPause: 300 * ms}, minReplicas: 1, maxReplicas: 1},
		"an unknown model":    {model: "other", work: Work{BusySlots: 60, PromptTokens: 90000, ToleratedPause: 300 * ms}, minReplicas: 6, maxReplicas: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := replicasForLoss(e, test.model, test.work)
			assert.Assert(t, test.minReplicas <= got && got <= test.maxReplicas, "%.2f", got)
		})
	}
	assert.Equal(t, replicasForLoss(&fleet.Engine{}, "big", Work{PromptTokens: 1e6, ToleratedPause: time.Second}), 1.0, "engine without times")
}

// TestLaterLeaderUsesMeasuredDemand checks that a later leader uses the measured work and not the
// models' configured shares. Otherwise, each leader change would make workers switch between
// models.
func TestLaterLeaderUsesMeasuredDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 12)
		w.pending.Go(func() { w.confirmList(60 * time.Second) })
		formAndStop(w)
		w.mu.Lock()
		w.demand = map[string]Work{"big": {BusySlots: 40}, "small": {BusySlots: 2}}
		w.mu.Unlock()
		_, stop := startTerm(w, 2)
		time.Sleep(20 * time.Second)
		stop()
		servingBefore := w.countServing()
		_, stop = startTerm(w, 3)
		time.Sleep(8 * time.Second)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.countServing(), servingBefore)
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

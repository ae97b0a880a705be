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
		Models: []fleet.Model{{Name: "big", Size: 16, Pace: 1}, {Name: "small", Size: 4, Pace: 0.5}},
	}
	tests := map[string]struct {
		model       string
		work        Work
		least, most float64
	}{
		// Reading 60 prompts of 1,500 tokens takes 1.8 s. A pause of 300 ms leaves about 200 ms in
		// addition to two passes. The other n-1 replicas may use a quarter of that to read the
		// prompts of a lost one.
		"large prompts":       {model: "big", work: Work{Busy: 60, Prompts: 90000, Pause: 300 * ms}, least: 6, most: 7},
		"twice the work":      {model: "big", work: Work{Busy: 120, Prompts: 180000, Pause: 300 * ms}, least: 8.5, most: 9.5},
		"a faster model":      {model: "small", work: Work{Busy: 60, Prompts: 90000, Pause: 300 * ms}, least: 4, most: 5},
		"pauses do not count": {model: "big", work: Work{Busy: 60, Prompts: 90000}},
		"no pause is enough":  {model: "big", work: Work{Busy: 60, Prompts: 90000, Pause: 80 * ms}},
		"nothing to read":     {model: "big", work: Work{Pause: 300 * ms}, least: 1, most: 1},
		"an unknown model":    {model: "other", work: Work{Busy: 60, Prompts: 90000, Pause: 300 * ms}, least: 6, most: 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := replicasForLoss(e, test.model, test.work)
			assert.Assert(t, test.least <= got && got <= test.most, "%.2f", got)
		})
	}
	assert.Equal(t, replicasForLoss(&fleet.Engine{}, "big", Work{Prompts: 1e6, Pause: time.Second}), 1.0, "engine without times")
}

// TestLaterLeaderUsesMeasuredDemand checks that a later leader does not apply the models' shares
// again, which would make replicas switch models back and forth.
func TestLaterLeaderUsesMeasuredDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 12)
		w.pending.Go(func() { w.confirmList(60 * time.Second) })
		formAndStop(w)
		w.mu.Lock()
		w.demand = map[string]Work{"big": {Busy: 40}, "small": {Busy: 2}}
		w.mu.Unlock()
		_, stop := startTerm(w, 2)
		time.Sleep(20 * time.Second)
		stop()
		settled := w.countServing()
		_, stop = startTerm(w, 3)
		time.Sleep(8 * time.Second)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.countServing(), settled)
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

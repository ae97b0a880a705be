package formation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestLoadsBeforeTheFirstRequestMayCount lets loads begin shortly before the
// leader learns that requests come.
func TestLoadsBeforeTheFirstRequestMayCount(t *testing.T) {
	tests := map[string]struct {
		before time.Duration
		want   int
	}{
		"long before":        {before: 3 * time.Second, want: 7},
		"just before":        {before: 200 * time.Millisecond, want: 2},
		"at the same moment": {want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			var l loads
			l.limit(Ceiling{Window: 5 * time.Second, Over: 1.1}, 5, 7, true, now)
			l.take(5, false, now.Add(-test.before))
			assert.Equal(t, l.available(now), test.want)
			l.take(1, true, now)
			assert.Equal(t, l.available(now), test.want-1, "what was counted is counted once")
		})
	}
}

// TestRefusedStageGivesNothingBack: before the first request a load takes nothing
// from the bound, so that a stage which is refused must not add to it. A leader of
// a fleet that others led before begins with an empty bound.
func TestRefusedStageGivesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 4)
		k := NewKeeper(w.options(), Term{Epoch: 2}, func() {})
		service, _ := simConfig(w.loadsPerSecond).Service("models")
		now := time.Now()
		worker, _ := w.inventory.View().Worker("w0-0")
		w.workers["w0-0"].staging = true
		budget := k.budget(service, now)
		for range 5 {
			budget.take(1, false, now)
			assert.Assert(t, !k.stage(context.Background(), worker, simModels[0]))
		}
		w.pending.Wait()
		assert.Assert(t, budget.tokens <= 0, "%.1f loads may begin", budget.tokens)
	})
}

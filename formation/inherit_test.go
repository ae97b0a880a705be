package formation

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestDemandSurvivesLeaderChange checks that a new leader starts with the work that its daemon
// tracked before the term, even if the other daemons have not reported yet.
func TestDemandSurvivesLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 8)
		w.hasTraffic = true
		w.demand = map[string]Work{"big": {BusySlots: 10}}
		w.smoothed = func() map[string]Work { return map[string]Work{"big": {BusySlots: 40, PromptTokens: 8000}} }
		k := NewReconciler(w.options(), Term{Epoch: 2}, func() {})
		k.updateSmoothedWork()
		assert.Assert(t, k.smoothedWork["big"].BusySlots > 39 && k.smoothedWork["big"].PromptTokens > 7000, "%v", k.smoothedWork["big"])
	})
}

// TestNewLeaderDelaysTrades checks that a new leader trades no groups in its first second. Some
// daemons may not have reported their work to it by then.
func TestNewLeaderDelaysTrades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 12)
		w.pending.Go(func() { w.confirmList(60 * time.Second) })
		formAndStop(w)
		servingBefore := w.countServing()
		w.mu.Lock()
		w.demand = map[string]Work{"big": {BusySlots: 40}, "small": {}}
		w.mu.Unlock()
		_, stop := startTerm(w, 2)
		time.Sleep(listSettleTime - 100*time.Millisecond)
		servingDuringDelay := w.countServing()
		time.Sleep(10 * time.Second)
		stop()
		assert.DeepEqual(t, servingDuringDelay, servingBefore)
		assert.Assert(t, w.countServing()["big"] > servingBefore["big"])
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestSmootherIsIndependentOfInterval checks that measurements are smoothed equally over a period,
// whatever the interval between them.
func TestSmootherIsIndependentOfInterval(t *testing.T) {
	for name, interval := range map[string]time.Duration{"each tick": tickInterval, "each second": time.Second, "each five seconds": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			var s WorkSmoother
			now := time.Time{}.Add(time.Hour)
			s.Observe(map[string]Work{"big": {BusySlots: 100, ToleratedPause: time.Second}}, now)
			for range 10 * time.Second / interval {
				now = now.Add(interval)
				s.Observe(map[string]Work{"big": {BusySlots: 50, ToleratedPause: time.Second}}, now)
			}
			// After 100 ticks, (1-demandFallWeight)^100 of the difference remains.
			got := s.Work()["big"]
			assert.Assert(t, math.Abs(got.BusySlots-68.3) < 0.1, "%.2f", got.BusySlots)
			assert.Equal(t, got.ToleratedPause, time.Second)
			// A clock that steps back has no effect.
			s.Observe(map[string]Work{"big": {}}, now.Add(-time.Hour))
			assert.Equal(t, s.Work()["big"].BusySlots, got.BusySlots)
		})
	}
	var s WorkSmoother
	assert.Equal(t, len(s.Work()), 0)
}

// TestGroupsOfConcurrentLeaderStayVisible covers two leaders that start almost simultaneously and
// plan the same groups. The second leader abandons its groups before they are opened. It must not
// announce them as closed, because daemons would apply that to the first leader's groups with the
// same heads.
func TestGroupsOfConcurrentLeaderStayVisible(t *testing.T) {
	for _, startDelay := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond} {
		t.Run(startDelay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 2, 10)
				w.pending.Go(func() { w.confirmList(30 * time.Second) })
				_, stopFirst := startTerm(w, 1)
				time.Sleep(startDelay)
				_, stop := startTerm(w, 2)
				time.Sleep(200 * time.Millisecond)
				stopFirst()
				time.Sleep(10 * time.Second)
				servingCounts, view := w.countServing(), w.inventory.View()
				stop()
				w.pending.Wait()
				for model, count := range servingCounts {
					assert.Equal(t, len(view.Replicas("models", model)), count, "%s", model)
				}
				assert.Assert(t, servingCounts["big"] > 0 && servingCounts["small"] > 0)
				assert.DeepEqual(t, w.violations, []string(nil))
			})
		})
	}
}

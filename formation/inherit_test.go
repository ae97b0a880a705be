package formation

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestDemandLivesThroughAChangeOfLeader: a new leader whose peers have yet to report goes
// on with the work it knew before its term.
func TestDemandLivesThroughAChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 8)
		w.traffic = true
		w.demand = map[string]Work{"big": {Busy: 10}}
		w.smoothed = func() map[string]Work { return map[string]Work{"big": {Busy: 40, Prompts: 8000}} }
		k := NewKeeper(w.options(), Term{Epoch: 2}, func() {})
		k.smoothDemand()
		assert.Assert(t, k.smooth["big"].Busy > 39 && k.smooth["big"].Prompts > 7000, "%v", k.smooth["big"])
	})
}

// TestNewLeaderGivesNothingUpAtOnce: in its first second a new leader may not know the
// work of all daemons.
func TestNewLeaderGivesNothingUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 12)
		w.pending.Go(func() { w.readList(60 * time.Second) })
		formed(w)
		settled := w.serving()
		w.mu.Lock()
		w.demand = map[string]Work{"big": {Busy: 40}, "small": {}}
		w.mu.Unlock()
		_, stop := term(w, 2)
		time.Sleep(settleFor - 100*time.Millisecond)
		during := w.serving()
		time.Sleep(10 * time.Second)
		stop()
		assert.DeepEqual(t, during, settled)
		assert.Assert(t, w.serving()["big"] > settled["big"])
		w.pending.Wait()
		assert.DeepEqual(t, w.broken, []string(nil))
	})
}

// TestSmootherIsFedAtAnyInterval: work that is measured each second is smoothed as by a
// leader that looks ten times as often.
func TestSmootherIsFedAtAnyInterval(t *testing.T) {
	for name, every := range map[string]time.Duration{"each tick": tickEvery, "each second": time.Second, "each five seconds": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			var s Smoother
			now := time.Time{}.Add(time.Hour)
			s.Observe(map[string]Work{"big": {Busy: 100, Pause: time.Second}}, now)
			for range 10 * time.Second / every {
				now = now.Add(every)
				s.Observe(map[string]Work{"big": {Busy: 50, Pause: time.Second}}, now)
			}
			// (1-demandFall)^100 of the difference is left.
			got := s.Work()["big"]
			assert.Assert(t, math.Abs(got.Busy-68.3) < 0.1, "%.2f", got.Busy)
			assert.Equal(t, got.Pause, time.Second)
			// A clock that steps back changes nothing.
			s.Observe(map[string]Work{"big": {}}, now.Add(-time.Hour))
			assert.Equal(t, s.Work()["big"].Busy, got.Busy)
		})
	}
	var s Smoother
	assert.Equal(t, len(s.Work()), 0)
}

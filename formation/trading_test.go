package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestTradesKeepPaceWithTheFleet turns the work of a fleet to one model: one that is
// twice as large turns twice as many replicas in the same time.
func TestTradesKeepPaceWithTheFleet(t *testing.T) {
	gained := func(domains int) int {
		w := newWorld(5, domains, 8)
		_, stop := term(w, 1)
		time.Sleep(8 * time.Second)
		before := w.serving()["big"]
		w.mu.Lock()
		w.traffic = true
		w.demand = map[string]Work{"big": {Busy: 100 * float64(domains)}, "small": {Busy: 1}}
		w.mu.Unlock()
		// The shares of the models count for a while beside the measured work.
		time.Sleep(firstFor + 10*time.Second)
		after := w.serving()["big"]
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.broken, []string(nil))
		return after - before
	}
	synctest.Test(t, func(t *testing.T) {
		small, large := gained(12), gained(48)
		assert.Assert(t, small > 0, "nothing was traded")
		assert.Assert(t, large >= 2*small, "%d replicas were gained by a small fleet, %d by one four times as large", small, large)
	})
}

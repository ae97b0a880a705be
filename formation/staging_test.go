package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStagedWorkersAreReusedBeforeTraffic guards against leaving workers idle because of a finished
// load while no request has reached the fleet.
func TestStagedWorkersAreReusedBeforeTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 7)
		w.demand = map[string]Work{"big": {BusySlots: 5}}
		w.pending.Go(func() { w.confirmList(30 * time.Second) })
		k, stop := startTerm(w, 1)
		time.Sleep(8 * time.Second)
		w.mu.Lock()
		g := w.headOf("big").group
		w.mu.Unlock()
		w.kill(g.Members[1])
		k.MarkSuspected(g.Key())
		time.Sleep(6 * time.Second)
		serving := w.countServing()
		stop()
		w.pending.Wait()
		assert.Equal(t, serving["big"], 1, "%v serve", serving)
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestDisplacedWorkersGetNoMoreOrders covers idle workers that were replaced by others at their
// addresses, but are still listed. They must not be put into groups repeatedly.
func TestDisplacedWorkersGetNoMoreOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 10)
		_, stop := startTerm(w, 1)
		time.Sleep(4 * time.Second)
		for _, id := range []string{"w0-10", "w0-11", "w0-12", "w0-13"} {
			w.mu.Lock()
			w.displaced[id] = true
			w.mu.Unlock()
			w.addWorker(id, "d0")
		}
		time.Sleep(5 * time.Second)
		stop()
		// Each worker gets one order to join and one to leave before the leader knows that it is
		// displaced.
		w.mu.Lock()
		assert.Assert(t, w.displacedOrderCount > 0 && w.displacedOrderCount <= 4, "%d orders", w.displacedOrderCount)
		w.mu.Unlock()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestWarmthAfterInterruptedJoin checks which models a worker is assumed to hold after an
// interrupted join, until the worker list has been confirmed.
func TestWarmthAfterInterruptedJoin(t *testing.T) {
	tests := map[string]struct {
		loaded, staged string
		// big and small are the expected warmths for these models after the interrupted join.
		big, small Warmth
	}{
		"it served the model last":      {loaded: "big", staged: "small", big: Hot, small: Staged},
		"it had the model staged":       {loaded: "small", staged: "big", big: Staged, small: ColdOther},
		"it had to load it":             {loaded: "small", staged: "small", big: Cold, small: Cold},
		"it had to load it, new worker": {big: Cold, small: Cold},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 1, 0)
				entry := &fleet.Worker{ID: "a", Service: "models", Domain: "d", Loaded: test.loaded}
				if test.staged != "" {
					entry.Staged = []string{test.staged}
				}
				w.inventory.Apply([]fleet.Change{{ID: "a", Worker: entry}}, 1, time.Now())
				k := NewReconciler(w.options(), Term{Epoch: 1}, func() {})
				k.knownWorkers["a"] = entry
				before := k.asFreeWorker(entry)
				k.recordInterruptedJoins(Group{Model: "big", Members: []string{"a", "unknown"}}, time.Now())
				assert.Equal(t, k.asFreeWorker(entry).warmth("big"), test.big)
				assert.Equal(t, k.asFreeWorker(entry).warmth("small"), test.small)
				time.Sleep(2 * listSettleTime)
				w.inventory.Confirm(1, time.Now())
				assert.DeepEqual(t, k.asFreeWorker(entry), before)
			})
		})
	}
}

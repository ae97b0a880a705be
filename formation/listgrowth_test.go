package formation

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewFleetWaitsForFullList checks that nearly as many replicas of each model are formed when
// workers are listed one after another as when they are all listed at once.
func TestNewFleetWaitsForFullList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains, perDomain, listInterval = 8, 11, 40 * time.Millisecond
		allListed := newWorld(3, domains, perDomain)
		_, stop := startTerm(allListed, 1)
		time.Sleep(8 * time.Second)
		stop()
		allListed.pending.Wait()
		want := allListed.countServing()

		w := unlistedWorld(3, domains, perDomain)
		_, stop = startTerm(w, 1)
		ids := slices.Sorted(maps.Keys(w.workers))
		w.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range ids {
			w.mu.Lock()
			w.publish(w.workers[id])
			w.mu.Unlock()
			time.Sleep(listInterval)
		}
		time.Sleep(5 * time.Second)
		stop()
		w.pending.Wait()
		for model, count := range w.countServing() {
			assert.Assert(t, float64(count) >= 0.88*float64(want[model]), "%d replicas of %s, %v when listed at once", count, model, want)
		}
	})
}

// TestWaitForGrowingListIsBounded checks that groups are formed although workers keep being added,
// with and without traffic.
func TestWaitForGrowingListIsBounded(t *testing.T) {
	tests := map[string]struct {
		traffic bool
		within  time.Duration
	}{
		"before the first request": {within: maxListWait + 3*time.Second},
		"requests come":            {traffic: true, within: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := unlistedWorld(4, 4, 60)
				w.loadsPerSecond = 100
				_, stop := startTerm(w, 1)
				w.mu.Lock()
				w.hasTraffic = test.traffic
				w.mu.Unlock()
				start := time.Now()
				for _, id := range slices.Sorted(maps.Keys(w.workers)) {
					w.mu.Lock()
					w.publish(w.workers[id])
					w.mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					if time.Since(start) > test.within {
						break
					}
				}
				formed := w.countGrouped()
				stop()
				w.pending.Wait()
				assert.Assert(t, formed > 0, "nothing was formed within %s", test.within)
			})
		})
	}
}

// countGrouped counts the workers that are in a group.
func (w *world) countGrouped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, s := range w.workers {
		if s.group.Name != "" {
			count++
		}
	}
	return count
}

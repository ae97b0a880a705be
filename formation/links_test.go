package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeaderWithoutLinksDissolvesNothing guards against a leader that loses its links to all workers and
// takes apart the replicas that other daemons use.
func TestLeaderWithoutLinksDissolvesNothing(t *testing.T) {
	tests := map[string]struct {
		// knownFor is how long the links have been known to be down when the leader's calls fail.
		knownFor time.Duration
	}{
		"known before the calls fail": {knownFor: time.Second},
		"found when the calls fail":   {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 3, 10)
				w.pending.Go(func() { w.confirmList(30 * time.Second) })
				k, _, stop := startServing(w, "big")
				before := w.openGroups()
				w.setNoLinks()
				time.Sleep(test.knownFor)
				w.cutLeader()
				suspectAll(k, before, 4*time.Second)
				after := w.openGroups()
				stop()
				w.pending.Wait()
				assert.Assert(t, len(before) > 2)
				assert.DeepEqual(t, after, before)
				for _, g := range before {
					assert.Assert(t, !w.inventory.IsGroupClosed(g.Name), g.Name)
				}
				assert.DeepEqual(t, w.violations, []string(nil))
			})
		})
	}
}

// setNoLinks lets checks find the leader's links down.
func (w *world) setNoLinks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasNoLinks = true
}

// cutLeader makes all workers unreachable for the leader.
func (w *world) cutLeader() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.workers {
		w.unreachableByLeader[id] = true
	}
}

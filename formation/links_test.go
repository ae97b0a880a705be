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
		// checksFirst is set if the links are found to be down before the leader's calls fail. Otherwise the
		// calls fail first.
		checksFirst bool
	}{
		"the check comes first": {checksFirst: true},
		"the calls fail first":  {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 3, 10)
				w.pending.Go(func() { w.confirmList(30 * time.Second) })
				k, _, stop := startServing(w, "big")
				before := w.openGroups()
				w.cutLeader(test.checksFirst)
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

// cutLeader makes all workers unreachable for the leader.
func (w *world) cutLeader(checksFirst bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasNoLinks = true
	if checksFirst {
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.mu.Lock()
	}
	for id := range w.workers {
		w.unreachableByLeader[id] = true
	}
}

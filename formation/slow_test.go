package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowDown sets the pace of workers.
func (w *world) slowDown(pace float64, ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.workers[id].pace = pace
	}
}

// TestSlowMembersAreReplaced: one slow member makes its whole group slow. Once callers
// report that, the group is formed anew without the member, which comes back later.
func TestSlowMembersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 12)
		w.closing = 5 * time.Second
		w.pending.Go(func() { w.readList(60 * time.Second) })
		k, g, stop := serving(w, "big")
		slow := g.Members[2]
		w.slowDown(4, slow)
		k.Suspect(g.Key())
		time.Sleep(4 * time.Second)
		assert.Assert(t, w.memberOf(g.Members[0]).Group != g.Name, "it serves on slowly")
		assert.Equal(t, len(w.servingWith([]string{slow})), 0, "it serves with the slow member")
		w.slowDown(1, slow)
		time.Sleep(4 * time.Second)
		k.mu.Lock()
		assert.Equal(t, len(k.slow), 0)
		k.mu.Unlock()
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.broken, []string(nil))
	})
}

// TestNothingFastNothingGivenUp: where too few workers of a domain are fast to make any
// group, slow groups serve on.
func TestNothingFastNothingGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 10)
		w.pending.Go(func() { w.readList(30 * time.Second) })
		k, g, stop := serving(w, "big")
		var all []string
		for id := range w.workers {
			all = append(all, id)
		}
		w.slowDown(4, all...)
		before := w.serving()
		k.Suspect(g.Key())
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, w.serving(), before)
		assert.Equal(t, w.memberOf(g.Members[0]).Group, g.Name)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.broken, []string(nil))
	})
}

// TestSlowGroupsAreGivenUpByTurns: most of a model's groups serve on, be it slowly, while
// others are formed anew.
func TestSlowGroupsAreGivenUpByTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 12)
		w.closing = 5 * time.Second
		w.pending.Go(func() { w.readList(60 * time.Second) })
		k, _, stop := serving(w, "small")
		slow := w.membersOfAll("small")
		w.slowDown(4, slow...)
		before := len(w.inventory.View().Replicas("models", "small"))
		assert.Assert(t, before >= 4, "%d", before)
		w.mu.Lock()
		for _, s := range w.workers {
			if s.group.Model == "small" && s.rank == 0 {
				k.Suspect(s.group.Key())
			}
		}
		w.mu.Unlock()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			now := len(w.inventory.View().Replicas("models", "small"))
			assert.Assert(t, 2*now >= before, "%d of %d replicas are left", now, before)
		}
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.broken, []string(nil))
	})
}

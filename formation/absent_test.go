package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// nonHeadMembers returns, for each group of a model, one member that is not the head.
func (w *world) nonHeadMembers(model string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []string
	for id, s := range w.workers {
		if s.group.Model == model && s.rank == 1 {
			all = append(all, id)
		}
	}
	return all
}

// TestUnlistedMembersKeepServing checks that groups are not taken out of service when some of their
// members only lose their connection to the store.
func TestUnlistedMembersKeepServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.pending.Go(func() { w.confirmList(20 * time.Second) })
		_, _, stop := startServing(w, "big")
		unlisted := append(w.nonHeadMembers("big"), w.nonHeadMembers("small")...)
		assert.Equal(t, len(unlisted), 7)
		for _, id := range unlisted {
			w.unlist(id)
		}
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			view := w.inventory.View()
			assert.Equal(t, len(view.Replicas("models", "big")), 2)
			assert.Equal(t, len(view.Replicas("models", "small")), 5)
		}
		for _, id := range unlisted {
			w.relist(id)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.countServing()["big"], 2)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestUnlistedMemberThatDiesIsReplaced covers a member that leaves the worker list, keeps serving
// and dies later. No caller reports its group as suspect.
func TestUnlistedMemberThatDiesIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.pending.Go(func() { w.confirmList(20 * time.Second) })
		_, g, stop := startServing(w, "big")
		w.unlist(g.Members[1])
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.membershipOf(g.Members[0]).Group, g.Name, "the group was dissolved")
		w.mu.Lock()
		w.workers[g.Members[1]].isDead = true
		w.mu.Unlock()
		// The member is queried within half a second. Two queries with a timeout of 0.2 s each are
		// not answered.
		time.Sleep(2 * time.Second)
		assert.Assert(t, w.membershipOf(g.Members[0]).Group != g.Name, "the group was not dissolved")
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestUnlistedHeadDrainsItsRequests checks that a head that left the worker list gets no new
// requests, and that its requests finish before its members are reused.
func TestUnlistedHeadDrainsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.drainTime = 1500 * time.Millisecond
		w.pending.Go(func() { w.confirmList(20 * time.Second) })
		_, g, stop := startServing(w, "big")
		w.unlist(g.Members[0])
		time.Sleep(w.drainTime)
		assert.Equal(t, w.membershipOf(g.Members[0]).Group, g.Name, "requests were cut off")
		assert.Equal(t, len(w.inventory.View().Replicas("models", "big")), 1)
		time.Sleep(3 * time.Second)
		assert.Assert(t, w.membershipOf(g.Members[1]).Group != g.Name, "the members were not freed")
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestDeadUnlistedHeadFreesItsMembers checks that the members of an unlisted head are freed if the
// head does not answer.
func TestDeadUnlistedHeadFreesItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.pending.Go(func() { w.confirmList(20 * time.Second) })
		_, g, stop := startServing(w, "big")
		w.mu.Lock()
		w.workers[g.Members[0]].isDead = true
		w.mu.Unlock()
		w.unlist(g.Members[0])
		time.Sleep(4 * time.Second)
		assert.Assert(t, w.membershipOf(g.Members[1]).Group != g.Name, "the members were not freed")
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestFormingContinuesWithUnlistedMember checks that members of a group being formed are queried
// directly if the worker list does not show them.
func TestFormingContinuesWithUnlistedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 4)
		w.pending.Go(func() { w.confirmList(20 * time.Second) })
		_, stop := startTerm(w, 1)
		time.Sleep(800 * time.Millisecond)
		w.mu.Lock()
		forming, state := w.workers["w0-0"].group, w.workers["w0-0"].state
		w.mu.Unlock()
		assert.Equal(t, state, fleet.Joining)
		w.unlist(forming.Members[1])
		time.Sleep(3 * time.Second)
		head := w.membershipOf(forming.Members[0])
		assert.Equal(t, head.Group, forming.Name, "the group was abandoned")
		assert.Equal(t, head.State, fleet.Open)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestNewlyUnlistedMemberIsNotLost covers a member that leaves the worker list after the last tick,
// while its group is being formed. The member must not be treated as lost.
func TestNewlyUnlistedMemberIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 4)
		w.pending.Go(func() { w.confirmList(2 * time.Second) })
		k, stop := startTerm(w, 1)
		time.Sleep(850 * time.Millisecond)
		w.mu.Lock()
		forming := w.workers["w0-0"].group
		w.mu.Unlock()
		member, listed := w.inventory.View().Worker(forming.Members[1])
		assert.Assert(t, listed)
		w.inventory.Apply([]fleet.Change{{ID: member.ID}}, w.inventory.Position()+1, time.Now())
		assert.Equal(t, len(k.goneMembers([]*fleet.Worker{member})), 0)
		stop()
		w.pending.Wait()
	})
}

// TestRelistedWorkerIsNotMarked guards against treating a worker as gone because of a query that was
// sent before the worker was listed again.
func TestRelistedWorkerIsNotMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 1)
		k := NewReconciler(w.options(), Term{Epoch: 1}, func() {})
		w.workers["w0-0"].isDead = true
		a := &absence{worker: &fleet.Worker{ID: "w0-0"}}
		k.checkAbsent(t.Context(), a)
		assert.Assert(t, a.isGone)
		assert.Assert(t, !k.isUnresponsive("w0-0"))
	})
}

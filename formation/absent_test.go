package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// nonHeadMembers returns a member that is not the head of each group of a model.
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

// TestUnlistedMembersKeepServing: a cut between some workers and the store takes a member
// of each group off the list, while all of them serve. Callers must find every replica
// all the time.
func TestUnlistedMembersKeepServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.pending.Go(func() { w.confirmList(20 * time.Second) })
		_, _, stop := startServing(w, "big")
		cut := append(w.nonHeadMembers("big"), w.nonHeadMembers("small")...)
		assert.Equal(t, len(cut), 7)
		for _, id := range cut {
			w.unlist(id)
		}
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			view := w.inventory.View()
			assert.Equal(t, len(view.Replicas("models", "big")), 2)
			assert.Equal(t, len(view.Replicas("models", "small")), 5)
		}
		for _, id := range cut {
			w.relist(id)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.countServing()["big"], 2)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestUnlistedMemberThatDiesIsReplaced: a member leaves the list without a word,
// serves on, and ends two seconds later, which nobody reports.
func TestUnlistedMemberThatDiesIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.pending.Go(func() { w.confirmList(20 * time.Second) })
		_, g, stop := startServing(w, "big")
		w.unlist(g.Members[1])
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.membershipOf(g.Members[0]).Group, g.Name, "it serves on")
		w.mu.Lock()
		w.workers[g.Members[1]].isDead = true
		w.mu.Unlock()
		// It is asked within half a second, twice for 0.2 s each.
		time.Sleep(2 * time.Second)
		assert.Assert(t, w.membershipOf(g.Members[0]).Group != g.Name, "the group stands still")
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestUnlistedHeadDrainsItsRequests: callers send nothing to a head that left the list,
// but what is under way there ends before its members go elsewhere.
func TestUnlistedHeadDrainsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.drainTime = 1500 * time.Millisecond
		w.pending.Go(func() { w.confirmList(20 * time.Second) })
		_, g, stop := startServing(w, "big")
		w.unlist(g.Members[0])
		time.Sleep(w.drainTime)
		assert.Equal(t, w.membershipOf(g.Members[0]).Group, g.Name, "its requests are cut off")
		assert.Equal(t, len(w.inventory.View().Replicas("models", "big")), 1)
		time.Sleep(3 * time.Second)
		assert.Assert(t, w.membershipOf(g.Members[1]).Group != g.Name, "its members are held")
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestDeadUnlistedHeadFreesItsMembers: one that does not answer is gone.
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
		assert.Assert(t, w.membershipOf(g.Members[1]).Group != g.Name, "its members are held")
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestFormingContinuesWithUnlistedMember: the members of a group that is being formed
// are asked where the list does not tell of them.
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
		assert.Equal(t, head.Group, forming.Name, "it was given up")
		assert.Equal(t, head.State, fleet.Open)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestNewlyUnlistedMemberIsNotLost: a group was given up, 2 times in 300, whose member had
// left the list while it joined.
//
// The order of events: the list loses the member; the forming of the group looks at the new
// list before the leader's next look has noted that the member is off it; not listed and not
// known as off the list, it counts as gone.
//
// The evidence: with the forming's look put right after the change, as here, each run fails.
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

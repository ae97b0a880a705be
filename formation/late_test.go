package formation

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/fleet"
)

// TestNoWorkersUsedTwiceWithoutFences repeats TestNoPartialGroupsAndNoWorkersUsedTwice with workers
// that ignore fences. The protection against late orders and earlier leaders must not depend on
// fences alone.
func TestNoWorkersUsedTwiceWithoutFences(outerT *testing.T) {
	rapid.Check(outerT, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		lateFraction := rapid.SampledFrom([]float64{0, 0.1, 0.4, 0.8}).Draw(t, "late")
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 4, 16).Draw(t, "steps")
		var violations []string
		synctest.Test(outerT, func(*testing.T) {
			w := newWorld(seed, 2, 10)
			w.ignoresFences = true
			violations = runSchedule(w, lateFraction, steps)
		})
		if len(violations) > 0 {
			t.Fatalf("violations: %v", violations)
		}
	})
}

// TestLateLoadsStayWithinTheBound checks that loads stay within the limit when traffic starts in a
// new fleet. Some orders are sent before the first request, when loads do not count, but are
// carried out after it.
func TestLateLoadsStayWithinTheBound(outerT *testing.T) {
	rapid.Check(outerT, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		timeBeforeTraffic := time.Duration(rapid.IntRange(1, 8).Draw(t, "quiet")) * time.Second
		var violations []string
		synctest.Test(outerT, func(*testing.T) {
			w := newWorld(seed, 4, 10)
			w.ignoresFences, w.lateFraction = true, 0.8
			_, stop := startTerm(w, 1)
			time.Sleep(timeBeforeTraffic)
			w.mu.Lock()
			w.hasTraffic = true
			w.mu.Unlock()
			time.Sleep(30 * time.Second)
			stop()
			w.pending.Wait()
			violations = w.violations
		})
		if len(violations) > 0 {
			t.Fatalf("violations: %v", violations)
		}
	})
}

// TestLateOrdersDoNotReviveDissolvedGroup delays a head's first orders to join and to open a group.
// Their retries succeed. The delayed orders arrive after the head has confirmed that the group is
// dissolved, and must have no effect.
func TestLateOrdersDoNotReviveDissolvedGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 2)
		w.ignoresFences = true
		w.delays["join w0-0"] = []time.Duration{8 * time.Second}
		w.delays["open w0-0"] = []time.Duration{8 * time.Second}
		k, stop := startTerm(w, 1)
		time.Sleep(4 * time.Second)
		w.mu.Lock()
		w.hasTraffic = true
		w.mu.Unlock()
		servedMembership := w.membershipOf("w0-0")
		w.kill("w0-1")
		k.MarkSuspected(fleet.GroupKey(servedMembership))
		time.Sleep(2 * time.Second)
		dissolvedMembership := w.membershipOf("w0-0")
		time.Sleep(5 * time.Second)
		laterMembership := w.membershipOf("w0-0")
		w.addWorker("w0-2", "d0")
		time.Sleep(20 * time.Second)
		serving := w.countServing()
		stop()
		w.pending.Wait()
		assert.Equal(t, servedMembership.State, fleet.Open)
		assert.Equal(t, dissolvedMembership.Group, "", "the group is not dissolved")
		assert.Equal(t, laterMembership.Group, "", "the head is in its dissolved group again")
		assert.DeepEqual(t, w.violations, []string(nil))
		assert.Equal(t, serving["small"], 1)
	})
}

// TestGroupIsOpenedOnce checks that a group gets only one order to open, even while the worker list
// does not show yet that it is open. If a second order were sent and got no answer, the group would
// be dissolved.
func TestGroupIsOpenedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		_, stop := startTerm(w, 1)
		w.pending.Go(func() { w.confirmList(8 * time.Second) })
		time.Sleep(8 * time.Second)
		stop()
		w.pending.Wait()
		assert.Assert(t, len(w.openOrdersByGroup) >= 7)
		for group, orders := range w.openOrdersByGroup {
			assert.Equal(t, orders, 1, group)
		}
	})
}

// TestMembersOfDeadHeadAreReusedPromptly checks that the members of a dead head are reused before
// the worker list shows that the head is dead. The list shows this after 3.6 s.
func TestMembersOfDeadHeadAreReusedPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 7)
		w.demand = map[string]Work{"big": {BusySlots: 5}}
		k, oldGroup, stop := startServing(w, "big")
		w.kill(oldGroup.Members[0])
		k.MarkSuspected(oldGroup.Key())
		time.Sleep(3400 * time.Millisecond)
		survivorMembership := w.membershipOf(oldGroup.Members[1])
		stop()
		w.pending.Wait()
		assert.Assert(t, survivorMembership.Group != oldGroup.Name, "a survivor still waits for its dead head")
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestReturningHeadLeavesClosedGroup covers a head that is unreachable for some seconds. Daemons
// never use its group again, since it was announced as closed. It must therefore be dissolved, even
// if all its members are present.
func TestReturningHeadLeavesClosedGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 2)
		k, oldGroup, stop := startServing(w, "small")
		w.setUnreachable(oldGroup.Members[0], true)
		k.MarkSuspected(oldGroup.Key())
		time.Sleep(3 * time.Second)
		w.setUnreachable(oldGroup.Members[0], false)
		time.Sleep(8 * time.Second)
		headMembership := w.membershipOf(oldGroup.Members[0])
		stop()
		w.pending.Wait()
		assert.Assert(t, headMembership.Group != oldGroup.Name, "the closed group still holds its workers")
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestLaterLeaderDissolvesClosedGroup covers a leader whose term ends after it announced a group as
// closed, but before the head left the group.
func TestLaterLeaderDissolvesClosedGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		oldGroup := formAndStop(w).group
		w.inventory.Decide(0, fleet.Announcement{
			Group: oldGroup.Name, Epoch: oldGroup.Epoch, Service: "models", Model: oldGroup.Model, Head: oldGroup.Members[0],
		})
		_, stop := startTerm(w, 2)
		time.Sleep(3 * time.Second)
		headMembership := w.membershipOf(oldGroup.Members[0])
		servingCount := len(w.inventory.View().Replicas("models", "big"))
		stop()
		w.pending.Wait()
		assert.Assert(t, headMembership.Group != oldGroup.Name, "the closed group still holds its workers")
		assert.Equal(t, servingCount, 2)
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestStagingWorkerIsNotRetriedContinuously covers a leader that starts while an idle worker is
// staging a model. The worker list does not show this, and the worker refuses orders to stage
// meanwhile.
func TestStagingWorkerIsNotRetriedContinuously(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 5)
		_, stop := startTerm(w, 1)
		time.Sleep(8 * time.Second)
		stop()
		w.mu.Lock()
		w.hasTraffic = true
		w.mu.Unlock()
		w.addWorker("new", "d0")
		w.mu.Lock()
		w.workers["new"].isStaging = true
		w.mu.Unlock()
		_, stop = startTerm(w, 2)
		time.Sleep(6 * time.Second)
		stop()
		w.pending.Wait()
		assert.Assert(t, w.workers["new"].stageOrderCount >= 1)
		assert.Assert(t, w.workers["new"].stageOrderCount <= 3, "%d orders in six seconds", w.workers["new"].stageOrderCount)
	})
}

// membershipOf returns a worker's group membership.
func (w *world) membershipOf(id string) fleet.Membership {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[id].member()
}

// setUnreachable makes a worker unreachable for the leader and all other daemons, or reachable
// again.
func (w *world) setUnreachable(id string, isUnreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable[id] = isUnreachable
}

// addWorker adds a new worker without any model to the worker list.
func (w *world) addWorker(id, domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &simWorker{id: id, domain: domain}
	w.workers[id] = s
	w.publish(s)
}

package formation

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/fleet"
)

// startTerm runs a reconciler until the returned function is called.
func startTerm(w *world, epoch int64) (k *Reconciler, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	k = NewReconciler(w.options(), Term{Epoch: epoch, IsFirst: epoch == 1}, cancel)
	go k.Run(ctx)
	return k, func() {
		cancel()
		<-k.Done()
	}
}

// formAndStop lets a first leader form a fleet, starts traffic, and stops the leader. It returns
// the head of a group of the model "big".
func formAndStop(w *world) *simWorker {
	_, stop := startTerm(w, 1)
	time.Sleep(8 * time.Second)
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasTraffic = true
	return w.headOf("big")
}

// startServing lets a first leader form a fleet, starts traffic, and returns a group of the model.
// The leader runs until the returned function is called.
func startServing(w *world, model string) (k *Reconciler, g Group, stop func()) {
	k, stop = startTerm(w, 1)
	time.Sleep(8 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasTraffic = true
	return k, w.headOf(model).group, stop
}

func TestFleetIsFormedBeforeTheFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		_, stop := startTerm(w, 1)
		time.Sleep(8 * time.Second)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
		serving := w.countServing()
		// No domain has enough idle workers left for another group.
		assert.Equal(t, serving["big"], 2)
		assert.Equal(t, serving["small"], 5)
	})
}

// TestServingWorkersStageSecondModel checks that serving workers stage another model before the
// first request, while loads are quick. They can then switch to that model later without a load.
func TestServingWorkersStageSecondModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		formAndStop(w)
		w.pending.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		for id, s := range w.workers {
			if s.group.Name != "" {
				assert.Assert(t, s.staged != "" && s.staged != s.lastModel, "%s serves %s and holds %q", id, s.lastModel, s.staged)
			}
		}
	})
}

func TestLostMemberIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		k, g, stop := startServing(w, "big")
		w.kill(g.Members[2])
		k.MarkSuspected(g.Key())
		time.Sleep(4 * time.Second)
		assert.Equal(t, w.countServing()["big"], 2)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestLeavingMembersDoNotStopAllGroups checks that some replica of the large model always serves
// when one member of each of its groups announces at the same moment that it is leaving.
func TestLeavingMembersDoNotStopAllGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		_, stop := startTerm(w, 1)
		time.Sleep(8 * time.Second)
		leaving := w.drainBigMembers()
		assert.Equal(t, len(leaving), 2)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, len(w.inventory.View().Replicas("models", "big")) >= 1, "no replica takes requests")
		}
		stillServing := w.servingMembersOf(leaving)
		stop()
		assert.Equal(t, len(stillServing), 0, "%v still serve", stillServing)
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestGroupsAreRepairedWhileListIsUnavailable checks that a group is replaced if one of its members
// announces that it is leaving just before the worker list stops being updated.
func TestGroupsAreRepairedWhileListIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 12)
		_, oldGroup, stop := startServing(w, "big")
		w.mu.Lock()
		leaving := w.workers[oldGroup.Members[1]]
		leaving.isDraining = true
		w.publish(leaving)
		w.isListFrozen = true
		w.mu.Unlock()
		// Draining takes one second. After that, the head must soon get an order to join a new
		// group. The join need not have completed.
		time.Sleep(2500 * time.Millisecond)
		w.mu.Lock()
		newGroup := w.workers[oldGroup.Members[0]].group.Name
		w.mu.Unlock()
		stop()
		assert.Assert(t, newGroup != oldGroup.Name, "the head still waits for the list")
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestReadyMembersAreQueriedWhileListIsUnavailable checks that groups are formed although the
// worker list is no longer updated.
func TestReadyMembersAreQueriedWhileListIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 12)
		w.isListFrozen = true
		time.Sleep(time.Second)
		_, stop := startTerm(w, 1)
		// Loads before the first request take 1.2 s, and opening takes 0.3 s.
		time.Sleep(3 * time.Second)
		serving := w.countServing()["big"]
		stop()
		assert.Assert(t, serving >= 1)
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestTradesRunOneAtATime checks that only one trade runs at a time when draining is slow and
// several more groups of the large model are wanted.
func TestTradesRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 24)
		w.demand, w.drainTime = map[string]Work{"big": {BusySlots: 40}}, 3*time.Second
		_, stop := startTerm(w, 1)
		time.Sleep(8 * time.Second)
		w.mu.Lock()
		w.hasTraffic = true
		w.mu.Unlock()
		before, maxClosing := w.countServing()["big"], 0
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			closingCount := 0
			w.mu.Lock()
			for _, s := range w.workers {
				if s.state == fleet.Closing && s.rank == 0 {
					closingCount++
				}
			}
			w.mu.Unlock()
			maxClosing = max(maxClosing, closingCount)
		}
		assert.Equal(t, maxClosing, 2, "two small groups make a large one")
		assert.Assert(t, w.countServing()["big"] > before)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

func TestNewLeaderAdoptsExistingGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.hasTraffic = true
		_, stop := startTerm(w, 1)
		time.Sleep(2 * time.Second)
		stop()
		w.mu.Lock()
		names := make(map[string]bool)
		for _, s := range w.workers {
			if s.group.Name != "" {
				names[s.group.Name] = true
			}
		}
		w.mu.Unlock()
		assert.Assert(t, len(names) > 0)
		_, stop = startTerm(w, 2)
		time.Sleep(15 * time.Second)
		stop()
		w.pending.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, s := range w.workers {
			delete(names, s.group.Name)
		}
		assert.Equal(t, len(names), 0, "groups that loaded were dissolved")
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestNoPartialGroupsAndNoWorkersUsedTwice checks the invariants of the world while workers are
// killed, orders are delayed past their timeout and leaders are replaced. Superseded leaders may
// continue for a while.
func TestNoPartialGroupsAndNoWorkersUsedTwice(outerT *testing.T) {
	rapid.Check(outerT, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		lateFraction := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "late")
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 4, 16).Draw(t, "steps")
		var violations []string
		synctest.Test(outerT, func(*testing.T) {
			violations = runSchedule(newWorld(seed, 2, 10), lateFraction, steps)
		})
		if len(violations) > 0 {
			t.Fatalf("violations: %v", violations)
		}
	})
}

// restartListDelays holds the time until the worker list shows a restarted worker, for the steps
// from 6 on. The worker is listed immediately, within a heartbeat, or late because the list lags.
var restartListDelays = []time.Duration{50 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}

// TestNoWorkersUsedTwiceAcrossRestarts repeats TestNoPartialGroupsAndNoWorkersUsedTwice with
// workers that also restart under the same ID.
func TestNoWorkersUsedTwiceAcrossRestarts(outerT *testing.T) {
	rapid.Check(outerT, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		lateFraction := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "late")
		steps := rapid.SliceOfN(rapid.IntRange(0, 5+len(restartListDelays)), 4, 16).Draw(t, "steps")
		var violations []string
		synctest.Test(outerT, func(*testing.T) {
			violations = runSchedule(newWorld(seed, 2, 10), lateFraction, steps)
		})
		if len(violations) > 0 {
			t.Fatalf("violations: %v", violations)
		}
	})
}

// runSchedule carries out the given steps and returns the violated invariants. Each step injects a
// fault or starts traffic.
func runSchedule(w *world, lateFraction float64, steps []int) []string {
	w.lateFraction = lateFraction
	epoch := int64(1)
	k, stop := startTerm(w, epoch)
	var stops []func()
	for i, step := range steps {
		time.Sleep(time.Duration(300+400*step) * time.Millisecond)
		switch {
		case step <= 2:
			id := fmt.Sprintf("w%d-%d", i%2, (i*7+step)%10)
			w.kill(id)
			for _, g := range w.groupsOf(id) {
				k.MarkSuspected(g)
			}
		case step == 3:
			// The old leader does not know that it was superseded.
			stops = append(stops, stop)
			epoch++
			k, stop = startTerm(w, epoch)
		case step == 4:
			stop()
			epoch++
			k, stop = startTerm(w, epoch)
		case step > 5+len(restartListDelays):
			w.pauseSome(k, i, schedulePauses[step-6-len(restartListDelays)])
		case step > 5:
			id := fmt.Sprintf("w%d-%d", i%2, (i*7+step)%10)
			if w.isDead(id) {
				continue
			}
			groups := w.groupsOf(id)
			w.restart(id, restartListDelays[step-6])
			for _, g := range groups {
				k.MarkSuspected(g)
			}
		default:
			w.mu.Lock()
			w.hasTraffic = true
			w.mu.Unlock()
		}
	}
	w.mu.Lock()
	w.lateFraction = 0
	w.mu.Unlock()
	time.Sleep(30 * time.Second)
	for _, stopTerm := range append(stops, stop) {
		stopTerm()
	}
	w.pending.Wait()
	if alive := w.countAlive(); alive >= 14 && len(w.countServing()) == 0 {
		w.violations = append(w.violations, fmt.Sprintf("no group serves although %d workers are alive", alive))
	}
	return w.violations
}

func (w *world) groupsOf(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.workers[id].group; g.Name != "" {
		return []string{g.Key()}
	}
	return nil
}

func (w *world) isDead(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[id].isDead
}

func (w *world) countAlive() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, s := range w.workers {
		if !s.isDead {
			count++
		}
	}
	return count
}

// TestUnlistedHeadKeepsItsMembers checks that a group is not dissolved while its head serves but
// the entries of its workers are missing from the worker list. It must not be dissolved while the
// entries return one by one either.
func TestUnlistedHeadKeepsItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 10)
		_, stop := startTerm(w, 1)
		time.Sleep(8 * time.Second)
		stop()
		_, stop = startTerm(w, 2)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.hasTraffic = true
		g := w.headOf("big").group
		w.mu.Unlock()
		for _, id := range g.Members {
			w.unlist(id)
		}
		time.Sleep(5 * time.Second)
		for i := len(g.Members) - 1; i >= 0; i-- {
			w.relist(g.Members[i])
			time.Sleep(7 * time.Second)
		}
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestHeadUnlistedBeforeTermKeepsItsMembers checks that a leader does not free the members of a
// head that still serves, even if the head was never in the worker list during the term.
func TestHeadUnlistedBeforeTermKeepsItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		head := formAndStop(w)
		w.pending.Go(func() { w.confirmList(25 * time.Second) })
		time.Sleep(4 * time.Second)
		w.unlist(head.id)
		_, stop := startTerm(w, 2)
		time.Sleep(15 * time.Second)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestHeadReachableOnlyByOtherDaemonsKeepsItsMembers covers a head that is not listed. The leader
// cannot reach it, but other daemons can.
func TestHeadReachableOnlyByOtherDaemonsKeepsItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		_, stop := startTerm(w, 1)
		time.Sleep(8 * time.Second)
		w.pending.Go(func() { w.confirmList(25 * time.Second) })
		time.Sleep(4 * time.Second)
		w.mu.Lock()
		w.hasTraffic = true
		head := w.headOf("big")
		w.unreachableByLeader[head.id] = true
		w.mu.Unlock()
		w.unlist(head.id)
		time.Sleep(15 * time.Second)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// confirmList confirms at regular intervals that the worker list is current, for the given
// duration.
func (w *world) confirmList(duration time.Duration) {
	const interval = 100 * time.Millisecond
	for range duration / interval {
		time.Sleep(interval)
		w.mu.Lock()
		w.inventory.Apply(nil, w.listPosition, time.Now())
		w.mu.Unlock()
	}
}

// headOf returns the head of a group of a model. The caller must hold w.mu.
func (w *world) headOf(model string) *simWorker {
	for _, s := range w.workers {
		if s.group.Model == model && s.rank == 0 {
			return s
		}
	}
	return nil
}

// unlist removes a running worker's entry from the worker list.
func (w *world) unlist(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listPosition++
	w.inventory.Apply([]fleet.Change{{ID: id}}, w.listPosition, time.Now())
}

// relist restores a worker's entry in the worker list.
func (w *world) relist(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish(w.workers[id])
}

// TestLaterLeaderBoundsLoads covers a second leader in a fleet where a group serves. The leader
// does not know of any requests, but must not treat the fleet as new.
func TestLaterLeaderBoundsLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 4, 10)
		w.mu.Lock()
		w.openSmallGroup("w0-0", "w0-1")
		w.mu.Unlock()
		_, stop := startTerm(w, 2)
		time.Sleep(time.Second)
		assert.Assert(t, w.countJoining() <= 7, "%d loads run at once", w.countJoining())
		stop()
		w.pending.Wait()
	})
}

// TestLaterLeaderOfUsedFleetBoundsLoads covers a restart of all daemons while no replica is open.
// Afterwards, no process knows of earlier requests. Staged models show that the fleet is not new,
// so the loads must stay within the limit.
func TestLaterLeaderOfUsedFleetBoundsLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 4, 10)
		w.stageSmallOnEveryFourthWorker()
		_, stop := startTerm(w, 3)
		time.Sleep(time.Second)
		loads := w.countLoading()
		stop()
		w.pending.Wait()
		assert.Assert(t, loads <= 7, "%d loads run at once", loads)
	})
}

// TestLeaderRunningSinceFleetStartDoesNotBoundLoads covers a second leader that starts while loads
// of the first one run. Its process has been running since the fleet was started for the first
// time. It therefore knows that there were no requests.
func TestLeaderRunningSinceFleetStartDoesNotBoundLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 4, 10)
		w.stageSmallOnEveryFourthWorker()
		ctx, stop := context.WithCancel(context.Background())
		k := NewReconciler(w.options(), Term{Epoch: 2, RunningSinceFleetStart: true}, stop)
		go k.Run(ctx)
		time.Sleep(time.Second)
		assert.Assert(t, w.countJoining() > 7, "only %d loads run at once", w.countJoining())
		stop()
		<-k.Done()
		w.pending.Wait()
	})
}

// TestLaterLeaderOfNewFleetDoesNotBoundLoads covers a second leader that starts before any replica
// serves.
func TestLaterLeaderOfNewFleetDoesNotBoundLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 4, 10)
		_, stop := startTerm(w, 2)
		time.Sleep(time.Second)
		assert.Assert(t, w.countJoining() > 7, "only %d loads run at once", w.countJoining())
		stop()
		w.pending.Wait()
	})
}

// openSmallGroup makes an open group of two workers. Their state is the same as after orders to
// join and open. The caller must hold w.mu.
func (w *world) openSmallGroup(head, other string) {
	g := Group{Name: fleet.GroupName("small", 1, nil), Epoch: 1, Model: "small", Members: []string{head, other}}
	for rank, id := range g.Members {
		s := w.workers[id]
		s.group, s.epoch, s.rank, s.state = g, 1, rank, fleet.Ready
		s.orderCount++
		if rank == 0 {
			s.state = fleet.Open
			s.orderCount++
		}
		w.publish(s)
	}
}

// stageSmallOnEveryFourthWorker stages the small model on the host of every fourth worker.
func (w *world) stageSmallOnEveryFourthWorker() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, id := range slices.Sorted(maps.Keys(w.workers)) {
		if i%4 == 0 {
			w.workers[id].staged = "small"
			w.publish(w.workers[id])
		}
	}
}

// countLoading returns the number of workers that load weights from the store. A worker that joins
// a group does not load if it served the group's model last or has it staged on its host.
func (w *world) countLoading() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, s := range w.workers {
		if s.state == fleet.Joining && s.staged != s.group.Model && s.lastModel != s.group.Model || s.isStaging {
			count++
		}
	}
	return count
}

func (w *world) countJoining() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, s := range w.workers {
		if s.state == fleet.Joining {
			count++
		}
	}
	return count
}

// TestLateJoinsOfLaterLeaderDoNotStealWorkers runs two concurrent leaders in a new fleet. All
// orders of the later leader are carried out some seconds late. By then, the earlier leader has
// opened its groups.
func TestLateJoinsOfLaterLeaderDoNotStealWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.lateFromEpoch = 2
		_, stopLater := startTerm(w, 2)
		_, stopEarlier := startTerm(w, 1)
		time.Sleep(20 * time.Second)
		stopLater()
		stopEarlier()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestWorkerTakenByEarlierLeaderIsNotStolen covers a worker that an earlier leader has just put
// into an open group. Even if the worker list does not show that group yet, no other group may be
// formed with the worker.
func TestWorkerTakenByEarlierLeaderIsNotStolen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 4)
		view := w.inventory.View()
		w.mu.Lock()
		w.openSmallGroup("w0-0", "w0-1")
		w.mu.Unlock()
		k := NewReconciler(w.options(), Term{Epoch: 2}, func() {})
		taken, _ := view.Worker("w0-1")
		free, _ := view.Worker("w0-2")
		members := []*fleet.Worker{taken, free}
		g := Group{Name: "small-r2", Epoch: int64(NewFence(2, 0, 1)), Model: "small", Members: []string{taken.ID, free.ID}}
		assert.Assert(t, !k.join(context.Background(), g, members))
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestNewProcessRepairsKnownBrokenGroup checks that a leader repairs a group with a dead member
// even if its process received the worker list only recently. The leader must not wait until the
// list has settled.
func TestNewProcessRepairsKnownBrokenGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		g := formAndStop(w).group
		w.hasYoungList = true
		k, stop := startTerm(w, 2)
		time.Sleep(200 * time.Millisecond)
		w.kill(g.Members[2])
		k.MarkSuspected(g.Key())
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.countServing()["big"], 2)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

package formation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// restart restarts a worker under the same ID. The worker keeps only what is staged on its host.
// The worker list shows the restart after the given delay.
func (w *world) restart(id string, listedAfter time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.workers[id]
	s.startedAt++
	s.group, s.state, s.epoch, s.rank, s.fence, s.orderCount, s.lastModel = Group{}, "", 0, 0, 0, 0, ""
	s.isStaging, s.reports, s.entryNumber = false, nil, 0
	w.recordState(s)
	// The new incarnation reports its current state from its start, without the usual lag.
	s.reports[0].from = time.Now()
	w.pending.Go(func() {
		time.Sleep(listedAfter)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.publish(s)
	})
}

// TestRestartedWorkersAreReused covers a member of an open group that restarts under its ID. The
// worker stays in the worker list, but no longer belongs to the group. The group must be repaired
// and the worker reused.
func TestRestartedWorkersAreReused(t *testing.T) {
	tests := map[string]restartCase{
		"a member":                         {rank: 2, listedAfter: 50 * time.Millisecond},
		"the head":                         {listedAfter: 50 * time.Millisecond},
		"a member, within a heartbeat":     {rank: 1, listedAfter: 1200 * time.Millisecond},
		"a member, twice":                  {rank: 1, listedAfter: 50 * time.Millisecond, restartsTwice: true},
		"a member, list unavailable":       {rank: 1, listedAfter: 3 * time.Second},
		"the head, list unavailable":       {listedAfter: 3 * time.Second},
		"a member, and the leader":         {rank: 3, listedAfter: 300 * time.Millisecond, changesLeader: true},
		"a member whose clock is set back": {rank: 1, listedAfter: 50 * time.Millisecond, setsClockBack: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, test.run)
		})
	}
}

// restartCase describes the restart of a worker in an open group.
type restartCase struct {
	// rank is the worker's rank in its group. Rank 0 is the head.
	rank int
	// listedAfter is the time until the worker list shows the restart.
	listedAfter time.Duration
	// restartsTwice reports whether the worker restarts a second time. changesLeader reports
	// whether the leader is replaced afterwards.
	restartsTwice, changesLeader bool
	// setsClockBack reports whether the worker's clock is set back before the restart.
	setsClockBack bool
}

func (r restartCase) run(t *testing.T) {
	w := newWorld(5, 2, 10)
	w.pending.Go(func() { w.confirmList(60 * time.Second) })
	group := formAndStop(w).group
	want := countServingWorkers(w.countServing())
	k, stop := startTerm(w, 2)
	time.Sleep(time.Second)
	id := group.Members[r.rank]
	if r.setsClockBack {
		w.workers[id].startedAt -= 1000
	}
	w.restart(id, r.listedAfter)
	if r.restartsTwice {
		time.Sleep(20 * time.Millisecond)
		w.restart(id, r.listedAfter)
	}
	k.MarkSuspected(group.Key())
	if r.changesLeader {
		stop()
		_, stop = startTerm(w, 3)
	}
	// This is less than the six seconds after which the head breaks the group by itself.
	time.Sleep(repairTimeout)
	got := countServingWorkers(w.countServing())
	w.mu.Lock()
	newGroup := w.workers[id].group.Name
	w.mu.Unlock()
	stop()
	w.pending.Wait()
	assert.Assert(t, got >= want, "%d workers serve, %d before", got, want)
	assert.Assert(t, newGroup != group.Name)
	assert.DeepEqual(t, w.violations, []string(nil))
}

// repairTimeout is the maximum time from a crash until the worker list shows the repaired group.
const repairTimeout = 5 * time.Second

// countServingWorkers returns the number of workers in serving groups.
func countServingWorkers(serving map[string]int) int {
	count := 0
	for _, m := range simModels {
		count += serving[m.Name] * m.Size
	}
	return count
}

// TestPastIncarnationIsIgnored covers a worker that has reported a new incarnation itself, while
// the worker list still shows the previous one.
func TestPastIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 4)
		k := NewReconciler(w.options(), Term{Epoch: 2}, func() {})
		m := fleet.Membership{Group: "g", Epoch: 5, Rank: 1, State: fleet.Open}
		listedWorker := &fleet.Worker{ID: "w0-1", Service: "models", Domain: "d0", Loaded: "big", StartedAt: 1000, Member: m}
		k.recordListedIncarnation(listedWorker)
		assert.Equal(t, k.membershipOf(listedWorker), m)
		k.recordState("w0-1", WorkerState{StartedAt: 2000, StagedModels: []string{"big"}})
		assert.Equal(t, k.membershipOf(listedWorker), fleet.Membership{}, "the list shows a past incarnation")
		assert.Equal(t, k.asFreeWorker(listedWorker).LoadedModel, "")
		k.recordState("w0-1", WorkerState{StartedAt: 1000, Membership: m})
		assert.Equal(t, k.membershipOf(listedWorker), fleet.Membership{}, "late report of a past incarnation")
		next := *listedWorker
		next.StartedAt, next.Member = 2000, fleet.Membership{Group: "h", Epoch: 7, State: fleet.Joining}
		k.recordListedIncarnation(&next)
		assert.Equal(t, k.membershipOf(&next).Group, "h")
		for n, born := range []int64{0, 0, 1500, 1500} {
			other := next
			other.StartedAt = born
			k.recordListedIncarnation(&other)
			assert.Equal(t, k.membershipOf(&other).Group, "h", fmt.Sprint("entry ", n))
		}
	})
}

package formation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// hallLossWeight is the weight, in these tests, of requests that are lost with a hall.
const hallLossWeight = 0.2

// newHallWorld returns a world of listed workers whose domains alternate between the halls "h0" and
// "h1". Hall "h1" is closed while the returned flag is set.
func newHallWorld(domainCount, workersPerDomain int) (*world, *atomic.Bool) {
	w := newUnlistedWorld(1, domainCount, workersPerDomain)
	closed := new(atomic.Bool)
	w.isHallOpen = func(hall string) bool { return hall != "h1" || !closed.Load() }
	for _, s := range w.workers {
		var domain int
		if _, err := fmt.Sscanf(s.domain, "d%d", &domain); err != nil {
			panic(err)
		}
		s.zone = fmt.Sprintf("h%d", domain%2)
		w.publish(s)
	}
	return w, closed
}

// groupsByHall returns the names of the groups that are not dissolved, by hall and model.
func (w *world) groupsByHall() map[string]map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string]map[string]bool)
	for _, s := range w.workers {
		if s.isDead || s.group.Name == "" || s.rank != 0 {
			continue
		}
		key := s.zone + " " + s.group.Model
		if all[key] == nil {
			all[key] = make(map[string]bool)
		}
		all[key][s.group.Name] = true
	}
	return all
}

// TestGroupsOfClosedHallAreReplaced checks that the wanted replicas are formed in the other hall
// when a data hall is closed. The groups of the closed hall must not be dissolved.
func TestGroupsOfClosedHallAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, closed := newHallWorld(4, 8)
		w.demand = map[string]Work{"big": {BusySlots: 14}, "small": {BusySlots: 3}}
		_, _, stop := startServing(w, "big")
		w.pending.Go(func() { w.confirmList(80 * time.Second) })
		time.Sleep(sharePeriod + 20*time.Second)
		before := w.groupsByHall()
		assert.Assert(t, len(before["h0 big"]) < 3, "%v", before)
		closed.Store(true)
		time.Sleep(20 * time.Second)
		after := w.groupsByHall()
		assert.Equal(t, len(after["h0 big"]), 3)
		assert.Assert(t, len(after["h0 small"]) >= 1)
		assert.DeepEqual(t, after["h1 big"], before["h1 big"])
		assert.DeepEqual(t, after["h1 small"], before["h1 small"])
		closed.Store(false)
		time.Sleep(10 * time.Second)
		stop()
		assert.DeepEqual(t, w.groupsByHall(), after)
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestBrieflyClosedHallKeepsGroups checks that no groups change when a hall is closed and opened
// again within a second.
func TestBrieflyClosedHallKeepsGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, closed := newHallWorld(4, 8)
		w.demand = map[string]Work{"big": {BusySlots: 14}, "small": {BusySlots: 3}}
		_, _, stop := startServing(w, "big")
		w.pending.Go(func() { w.confirmList(60 * time.Second) })
		time.Sleep(sharePeriod + 20*time.Second)
		before := w.groupsByHall()
		for range 3 {
			closed.Store(true)
			time.Sleep(700 * time.Millisecond)
			closed.Store(false)
			time.Sleep(700 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		stop()
		assert.DeepEqual(t, w.groupsByHall(), before)
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestAllHallsClosed checks that groups are repaired as usual when no hall is open.
func TestAllHallsClosed(t *testing.T) {
	servingAfterLoss := func(open func(string) bool) map[string]int {
		w, _ := newHallWorld(2, 10)
		w.isHallOpen = open
		_, g, stop := startServing(w, "big")
		w.kill(g.Members[2])
		time.Sleep(8 * time.Second)
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
		return w.countServing()
	}
	synctest.Test(t, func(t *testing.T) {
		assert.DeepEqual(t, servingAfterLoss(func(string) bool { return false }), servingAfterLoss(nil))
	})
}

// newBlankWorkers returns workers without any model, in domains that alternate between two halls.
func newBlankWorkers(domainCount, workersPerDomain int) []FreeWorker {
	var all []FreeWorker
	for d := range domainCount {
		for i := range workersPerDomain {
			all = append(all, FreeWorker{ID: fmt.Sprintf("w%d-%02d", d, i), Domain: fmt.Sprint("d", d), Hall: fmt.Sprint("h", d%2)})
		}
	}
	return all
}

// TestReplicasAreSpreadOverHalls checks that, in a new fleet, no hall gets all replicas of a model
// if the loss of a hall must be tolerated.
func TestReplicasAreSpreadOverHalls(t *testing.T) {
	big, small := fleet.Model{Name: "big", Size: 16}, fleet.Model{Name: "small", Size: 4}
	tests := map[string]struct {
		maxLost       int
		isListGrowing bool
		// maxLargeGroups is the maximum number of large groups in one hall. There are two large
		// groups.
		maxLargeGroups int
	}{
		"no tolerated loss":  {maxLargeGroups: 2},
		"the loss of a hall": {maxLost: 1, maxLargeGroups: 1},
		"the loss of a hall, while workers are yet to come": {maxLost: 1, isListGrowing: true, maxLargeGroups: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := Input{
				Needs: []Need{{Model: big, Want: 2}, {Model: small, Want: 9}}, Free: newBlankWorkers(2, 37),
				MaxLoads: unlimitedLoads, MaxStagings: unlimitedLoads, HallLoss: HallLossPolicy{MaxLost: test.maxLost, Weight: hallLossWeight}, IsListGrowing: test.isListGrowing,
			}
			formations, _ := Plan(in)
			halls := make(map[string]string)
			for _, f := range in.Free {
				halls[f.ID] = f.Hall
			}
			counts := make(map[string]map[string]int)
			for _, f := range formations {
				if counts[f.Model.Name] == nil {
					counts[f.Model.Name] = make(map[string]int)
				}
				counts[f.Model.Name][halls[f.Members[0]]]++
			}
			assert.Equal(t, counts["big"]["h0"]+counts["big"]["h1"], 2)
			assert.Equal(t, max(counts["big"]["h0"], counts["big"]["h1"]), test.maxLargeGroups, "%v", counts)
		})
	}
}

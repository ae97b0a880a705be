package formation

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestLoadsBeforeTheFirstRequestMayCount checks that loads count against the limit if they began
// shortly before the leader learned of the first request.
func TestLoadsBeforeTheFirstRequestMayCount(t *testing.T) {
	tests := map[string]struct {
		loadAge time.Duration
		want    int
	}{
		"long before":        {loadAge: 3 * time.Second, want: 7},
		"just before":        {loadAge: 200 * time.Millisecond, want: 2},
		"at the same moment": {want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			var l loadBudget
			l.configure(LoadLimit{Window: 5 * time.Second, RateFactor: 1.1}, 5, 7, true, now)
			l.record(5, false, now.Add(-test.loadAge))
			assert.Equal(t, l.availableLoads(now), test.want)
			l.record(1, true, now)
			assert.Equal(t, l.availableLoads(now), test.want-1, "a load must be counted once")
		})
	}
}

// TestRefusedStagingDoesNotRefundBudget checks that a refused staging does not increase the load
// budget. Before the first request, the leader takes no token for a load, so there is none to
// return. A later leader starts with an empty budget.
func TestRefusedStagingDoesNotRefundBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1, 4)
		k := NewReconciler(w.options(), Term{Epoch: 2}, func() {})
		service, _ := simConfig(w.loadsPerSecond).Service("models")
		now := time.Now()
		worker, _ := w.inventory.View().Worker("w0-0")
		w.workers["w0-0"].isStaging = true
		budget := k.budgetOf(service, now)
		for range 5 {
			budget.record(1, false, now)
			assert.Assert(t, !k.stage(context.Background(), worker, simModels[0]))
		}
		w.pending.Wait()
		assert.Assert(t, budget.tokens <= 0, "%.1f loads may begin", budget.tokens)
	})
}

// TestAllowedLoads checks that workers that join a group without loading do not count as loads. It
// also checks that loads for idle workers leave capacity for groups.
func TestAllowedLoads(t *testing.T) {
	joining := func(id, loaded, staged string) *fleet.Worker {
		w := &fleet.Worker{
			ID: id, Service: "models", Domain: "d", Loaded: loaded,
			Member: fleet.Membership{Group: fleet.GroupName("big", 9, nil), Epoch: 9, State: fleet.Joining},
		}
		if staged != "" {
			w.Staged = []string{staged}
		}
		return w
	}
	tests := map[string]struct {
		workers []*fleet.Worker
		// stagingCount is the number of workers that are staging a model.
		stagingCount                  int
		wantGroupLoads, wantIdleLoads int
	}{
		"nothing loads": {wantGroupLoads: 10, wantIdleLoads: 3},
		"members that join warm": {
			workers:        []*fleet.Worker{joining("a", "big", ""), joining("b", "small", "big"), joining("c", "", "big")},
			wantGroupLoads: 10, wantIdleLoads: 3,
		},
		"members that an earlier leader made load": {
			workers:        []*fleet.Worker{joining("a", "", ""), joining("b", "small", "small")},
			wantGroupLoads: 8, wantIdleLoads: 1,
		},
		"as many as run well side by side": {stagingCount: 7, wantGroupLoads: 3, wantIdleLoads: -3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, 0)
			w.hasTraffic = true
			var changes []fleet.Change
			for _, worker := range test.workers {
				changes = append(changes, fleet.Change{ID: worker.ID, Worker: worker})
			}
			for i := range test.stagingCount {
				id := fmt.Sprintf("s%d", i)
				changes = append(changes, fleet.Change{ID: id, Worker: &fleet.Worker{ID: id, Service: "models", Domain: "d"}})
			}
			w.inventory.Apply(changes, 1, time.Now())
			options := w.options()
			k := NewReconciler(options, Term{Epoch: 1, IsFirst: true}, func() {})
			k.isNewFleet = false
			for i := range test.stagingCount {
				k.activeLoads[fmt.Sprintf("s%d", i)] = activeLoad{model: "big", expiresAt: time.Now().Add(time.Hour)}
			}
			service, _ := options.Config().Service("models")
			now := time.Now()
			budget := &loadBudget{burst: 100, tokens: 100, refilledAt: now}
			allowedForGroups, allowedForIdle := k.allowedLoads(service, w.inventory.View(), budget, now)
			assert.Equal(t, allowedForGroups, test.wantGroupLoads)
			assert.Equal(t, allowedForIdle, test.wantIdleLoads)
		})
	}
}

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

// TestTradeRateScalesWithFleet shifts the demand to one model. A fleet that is four times as large
// must gain at least twice as many replicas of the model in the same time.
func TestTradeRateScalesWithFleet(t *testing.T) {
	countGained := func(domains int) int {
		w := newWorld(5, domains, 8)
		_, stop := startTerm(w, 1)
		time.Sleep(8 * time.Second)
		before := w.countServing()["big"]
		w.mu.Lock()
		w.hasTraffic = true
		w.demand = map[string]Work{"big": {BusySlots: 100 * float64(domains)}, "small": {BusySlots: 1}}
		w.mu.Unlock()
		// During sharePeriod, the models' shares are considered in addition to the measured work.
		time.Sleep(sharePeriod + 10*time.Second)
		after := w.countServing()["big"]
		stop()
		w.pending.Wait()
		assert.DeepEqual(t, w.violations, []string(nil))
		return after - before
	}
	synctest.Test(t, func(t *testing.T) {
		smallFleetGain, largeFleetGain := countGained(12), countGained(48)
		assert.Assert(t, smallFleetGain > 0, "nothing was traded")
		assert.Assert(t, largeFleetGain >= 2*smallFleetGain, "%d replicas were gained by a small fleet, %d by one four times as large", smallFleetGain, largeFleetGain)
	})
}

// TestSurplusTradesDoNotWait checks that surplus groups are traded without waiting for
// tradeInterval. Other groups must wait for it.
func TestSurplusTradesDoNotWait(t *testing.T) {
	tests := map[string]struct {
		// neededReplicas is the number of small groups that are needed. Four exist.
		neededReplicas float64
		// wantTrades is the expected number of trades.
		wantTrades int
	}{
		"beyond what is wanted":   {neededReplicas: 1, wantTrades: 1},
		"some of what is wanted":  {neededReplicas: 3, wantTrades: 0},
		"nothing could be spared": {neededReplicas: 9, wantTrades: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 1, 8)
				w.demand = map[string]Work{}
				config := simConfig(w.loadsPerSecond)
				service, _ := config.Service("models")
				w.mu.Lock()
				for i, id := range []string{"w0-0", "w0-2", "w0-4", "w0-6"} {
					w.openTradableGroup(id, fmt.Sprintf("w0-%d", 2*i+1), int64(i+1))
				}
				w.mu.Unlock()
				ctx, cancel := context.WithCancel(context.Background())
				k := NewReconciler(w.options(), Term{Epoch: 9}, func() {})
				now := time.Now()
				k.tradesAllowedAt, k.nextTrade = now, now.Add(time.Hour)
				k.mu.Lock()
				groups := k.observeGroups(service, w.inventory.View())
				needs := []Need{{Model: simModels[0], Want: 20, Have: 1}, {Model: simModels[1], Want: test.neededReplicas, Have: 4}}
				k.startTrades(ctx, Input{Needs: needs, MaxLoads: 9}, groups, now)
				tradeCount := len(k.activeTrades)
				k.mu.Unlock()
				cancel()
				k.tasks.Wait()
				w.pending.Wait()
				assert.Equal(t, len(groups), 4)
				assert.Equal(t, tradeCount, test.wantTrades)
			})
		})
	}
}

// openTradableGroup makes an open group of the small model with two workers that have the big model
// staged. The caller must hold w.mu.
func (w *world) openTradableGroup(head, other string, epoch int64) {
	g := Group{Name: fleet.GroupName("small", epoch, nil), Epoch: epoch, Model: "small", Members: []string{head, other}}
	for rank, id := range g.Members {
		s := w.workers[id]
		s.group, s.epoch, s.rank, s.state, s.lastModel, s.staged = g, epoch, rank, fleet.Ready, "small", "big"
		if rank == 0 {
			s.state = fleet.Open
		}
		w.publish(s)
	}
}

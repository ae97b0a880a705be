package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestWaitingReadDuringSuspension checks that a read confirms nothing new if the machine was
// suspended while the read waited for changes.
func TestWaitingReadDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		source := (&fakeSource{version: 3}).source()
		next := source.NextWorkers
		source.NextWorkers = func(ctx context.Context, position int64, wait time.Duration) (WorkerUpdate, error) {
			suspended.Add(int64(time.Minute))
			return next(ctx, position, wait)
		}
		inventory := NewInventory(InventoryOptions{Heartbeat: time.Second})
		f := NewFollower(FollowerOptions{
			Source: source, ConfigCache: NewConfigCache(), Inventory: inventory, ShouldRead: func(time.Time) bool { return true },
			Suspended: func() time.Duration { return time.Duration(suspended.Load()) }, Logger: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		confirmedBefore := inventory.Confirmed()
		time.Sleep(30 * time.Second)
		assert.Equal(t, inventory.Confirmed(), confirmedBefore, "a read confirmed data from before a suspension")
		cancel()
		<-f.Done()
	})
}

// TestReadsDuringSuspension checks reads during which the machine was suspended. They must confirm
// their results only as of a time before the suspension.
func TestReadsDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		source := (&fakeSource{version: 3}).source()
		readConfig, readWorkers := source.ReadConfig, source.ReadWorkers
		source.ReadConfig = func(ctx context.Context) (ConfigUpdate, error) {
			suspended.Add(int64(time.Minute))
			return readConfig(ctx)
		}
		source.ReadWorkers = func(ctx context.Context, after string) (WorkerUpdate, error) {
			suspended.Add(int64(time.Minute))
			return readWorkers(ctx, after)
		}
		configCache, inventory := NewConfigCache(), NewInventory(InventoryOptions{Heartbeat: time.Second})
		f := NewFollower(FollowerOptions{
			Source: source, ConfigCache: configCache, Inventory: inventory, ShouldRead: func(time.Time) bool { return true },
			Suspended: func() time.Duration { return time.Duration(suspended.Load()) }, Logger: hclog.NewNullLogger(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, configCache.Version(), int64(3))
		assert.Assert(t, time.Since(configCache.Confirmed()) >= time.Minute, "confirmed %s ago", time.Since(configCache.Confirmed()))
		assert.Equal(t, len(inventory.View().Workers()), 1)
		assert.Assert(t, time.Since(inventory.Confirmed()) >= time.Minute, "confirmed %s ago", time.Since(inventory.Confirmed()))
		time.Sleep(4 * time.Second)
		assert.Assert(t, time.Since(configCache.Confirmed()) < 4*time.Second, "uninterrupted reads confirm")
		cancel()
		<-f.Done()
	})
}

// TestSuspensionCountsForMissingEntries guards against workers that are kept for longer by the time
// for which the machine was suspended.
func TestSuspensionCountsForMissingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := NewInventory(InventoryOptions{Heartbeat: time.Second, LeaveBound: 2 * time.Second, SettleTime: 3 * time.Second})
		i.Apply([]Change{{ID: "w", Worker: headWorker("w", "g", 1, Open)}}, 1, time.Now())
		failReads(i, 5*time.Second)
		i.Apply([]Change{{ID: "w"}}, 2, time.Now())
		assert.Equal(t, len(i.View().Replicas("s", "m")), 1)
		i.AddSuspension(postOutageWindow)
		i.Confirm(2, time.Now())
		assert.Equal(t, len(i.View().Replicas("s", "m")), 0)
	})
}

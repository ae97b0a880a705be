package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// outageSource is a source of which all reads fail until it returns. It counts the reads.
type outageSource struct {
	returnsAt time.Time
	// failureTime is how long a read takes to fail.
	failureTime  time.Duration
	calls        int
	workersAt    time.Time
	configReadAt time.Time
}

// read fails a read while the source is out. Otherwise it sets at if that is zero.
func (s *outageSource) read(at *time.Time) error {
	s.calls++
	if time.Now().Before(s.returnsAt) {
		time.Sleep(s.failureTime)
		return errUnavailable
	}
	if at.IsZero() {
		*at = time.Now()
	}
	return nil
}

func (s *outageSource) source() Source {
	readConfig := func() (ConfigUpdate, error) {
		return ConfigUpdate{Config: NewConfig(Parts{Version: 3}), Next: 3}, s.read(&s.configReadAt)
	}
	readWorkers := func() (WorkerUpdate, error) { return WorkerUpdate{Next: 1}, s.read(&s.workersAt) }
	return Source{
		ReadConfig: func(context.Context) (ConfigUpdate, error) { return readConfig() },
		NextConfig: func(_ context.Context, _ int64, wait time.Duration) (ConfigUpdate, error) {
			defer time.Sleep(wait)
			return readConfig()
		},
		ReadWorkers: func(context.Context, string) (WorkerUpdate, error) { return readWorkers() },
		NextWorkers: func(_ context.Context, _ int64, wait time.Duration) (WorkerUpdate, error) {
			defer time.Sleep(wait)
			return readWorkers()
		},
	}
}

// TestDaemonsReadSoonAfterOutage guards against daemons of a large fleet that are bound by what the
// source says before their next retry.
func TestDaemonsReadSoonAfterOutage(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		outage := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "outage ms")) * time.Millisecond
		settleTime := time.Duration(rapid.SampledFrom([]int{3, 4, 5, 6}).Draw(t, "settle s")) * time.Second
		spread := time.Duration(rapid.SampledFrom([]int{0, 45, 350, 1500, 4850}).Draw(t, "spread ms")) * time.Millisecond
		s := &outageSource{}
		if rapid.Bool().Draw(t, "silent") {
			s.failureTime = silentReadTime
		}
		synctest.Test(outer, func(*testing.T) {
			s.returnsAt = time.Now().Add(outage)
			f := NewFollower(FollowerOptions{
				Source: s.source(), ConfigCache: NewConfigCache(), Inventory: NewInventory(InventoryOptions{Heartbeat: time.Second}),
				ShouldRead: func(time.Time) bool { return true }, MinRetryDelay: func() time.Duration { return spread },
				SettleTime: settleTime, Logger: hclog.NewNullLogger(),
			})
			ctx, cancel := context.WithCancel(context.Background())
			go f.Run(ctx)
			time.Sleep(outage + settleTime)
			cancel()
			<-f.Done()
		})
		for name, at := range map[string]time.Time{"workers": s.workersAt, "configuration": s.configReadAt} {
			assert.Assert(t, !at.IsZero() && at.Sub(s.returnsAt) < settleTime-leaveMargin, "%s: read %s after the return", name, at.Sub(s.returnsAt))
		}
	})
}

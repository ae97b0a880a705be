package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// slowSource is a source that answers slowly and returns at most slowPageSize changes at once.
type slowSource struct {
	mu sync.Mutex
	// published holds the publication times of the versions, starting with version 1.
	published []time.Time
}

const (
	slowAnswerDelay = 1300 * time.Millisecond
	// slowPageSize is the maximum number of changes in an answer.
	slowPageSize = 6
)

// publish publishes a version at each interval until ctx ends.
func (s *slowSource) publish(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.published = append(s.published, time.Now())
		s.mu.Unlock()
		time.Sleep(interval)
	}
}

// newestBefore returns the newest version published before the given time.
func (s *slowSource) newestBefore(before time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.published) && s.published[n].Before(before) {
		n++
	}
	return int64(n)
}

// readNewestSlowly waits for slowAnswerDelay and returns the version that was the newest before the
// wait.
func (s *slowSource) readNewestSlowly() int64 {
	newest := s.newestBefore(time.Now())
	time.Sleep(slowAnswerDelay)
	return newest
}

func (s *slowSource) readConfig(context.Context) (ConfigUpdate, error) {
	newest := s.readNewestSlowly()
	return ConfigUpdate{Config: NewConfig(Parts{Version: newest}), Next: newest, Halls: HallUpdate{IsComplete: true}}, nil
}

func (s *slowSource) nextConfig(_ context.Context, position int64, _ time.Duration) (ConfigUpdate, error) {
	newest := s.readNewestSlowly()
	next := min(position+slowPageSize, newest)
	if next == position {
		return ConfigUpdate{Next: next}, nil
	}
	return ConfigUpdate{Config: NewConfig(Parts{Version: next}), Next: next, More: next < newest}, nil
}

func (s *slowSource) readWorkers(context.Context, string) (WorkerUpdate, error) {
	return WorkerUpdate{Next: s.readNewestSlowly()}, nil
}

func (s *slowSource) nextWorkers(_ context.Context, position int64, _ time.Duration) (WorkerUpdate, error) {
	newest := s.readNewestSlowly()
	next := min(position+slowPageSize, newest)
	return WorkerUpdate{Next: next, More: next < newest}, nil
}

// TestSlowReaderConfirmsOnlyWhatItRead checks that outdated data is not confirmed while changes are
// published faster than a slow source returns them.
func TestSlowReaderConfirmsOnlyWhatItRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{}
		ctx, cancel := context.WithCancel(context.Background())
		go source.publish(ctx, 100*time.Millisecond)
		time.Sleep(time.Second)
		configCache, inventory, halls := NewConfigCache(), NewInventory(InventoryOptions{Heartbeat: time.Second}), NewHalls(5*time.Second)
		f := NewFollower(FollowerOptions{
			Source: Source{
				ReadConfig: source.readConfig, NextConfig: source.nextConfig,
				ReadWorkers: source.readWorkers, NextWorkers: source.nextWorkers,
			},
			ConfigCache: configCache, Inventory: inventory, Halls: halls, ShouldRead: func(time.Time) bool { return true },
			Logger: hclog.NewNullLogger(),
		})
		go f.Run(ctx)
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			version, confirmed := configCache.State()
			assert.Assert(t, source.newestBefore(confirmed) <= version, "version %d was confirmed, %d was published", version, source.newestBefore(confirmed))
			report := halls.Report(time.Now())
			confirmedAt := time.Now().Add(-time.Duration(report.AgeMillis) * time.Millisecond)
			assert.Assert(t, report.Position == 0 || source.newestBefore(confirmedAt) <= report.Position, "halls of %d were confirmed, %d was published", report.Position, source.newestBefore(confirmedAt))
			assert.Assert(t, source.newestBefore(inventory.Confirmed()) <= inventory.Position(), "workers of %d were confirmed, %d was published", inventory.Position(), source.newestBefore(inventory.Confirmed()))
		}
		// Two answers are enough to skip to the newest version.
		const answers = 2
		assert.Assert(t, configCache.Version() >= source.newestBefore(time.Now().Add(-answers*slowAnswerDelay)), "%d of %d is known", configCache.Version(), source.newestBefore(time.Now()))
		cancel()
		<-f.Done()
		time.Sleep(time.Second)
	})
}

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

// slowSource is a source with slow answers that return a few changes each.
type slowSource struct {
	mu sync.Mutex
	// published holds when each version was published; the first one is version 1. A worker is
	// added with each version.
	published []time.Time
}

const (
	slowAnswerDelay = 1300 * time.Millisecond
	// slowPageSize is the maximum number of changes in an answer.
	slowPageSize = 6
)

// publish publishes versions until ctx ends.
func (s *slowSource) publish(ctx context.Context, every time.Duration) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.published = append(s.published, time.Now())
		s.mu.Unlock()
		time.Sleep(every)
	}
}

// newest returns the newest version published before the given time.
func (s *slowSource) newest(before time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.published) && s.published[n].Before(before) {
		n++
	}
	return int64(n)
}

// delayedNewest waits for slowAnswerDelay and returns the version that was the newest before the
// wait.
func (s *slowSource) delayedNewest() int64 {
	newest := s.newest(time.Now())
	time.Sleep(slowAnswerDelay)
	return newest
}

func (s *slowSource) readConfig(context.Context) (ConfigNews, error) {
	newest := s.delayedNewest()
	return ConfigNews{Config: NewConfig(Parts{Version: newest}), Next: newest, Halls: HallNews{Whole: true}}, nil
}

func (s *slowSource) nextConfig(_ context.Context, position int64, _ time.Duration) (ConfigNews, error) {
	newest := s.delayedNewest()
	next := min(position+slowPageSize, newest)
	if next == position {
		return ConfigNews{Next: next}, nil
	}
	return ConfigNews{Config: NewConfig(Parts{Version: next}), Next: next, More: next < newest}, nil
}

func (s *slowSource) readWorkers(context.Context, string) (WorkerNews, error) {
	return WorkerNews{Next: s.delayedNewest()}, nil
}

func (s *slowSource) nextWorkers(_ context.Context, position int64, _ time.Duration) (WorkerNews, error) {
	newest := s.delayedNewest()
	next := min(position+slowPageSize, newest)
	return WorkerNews{Next: next, More: next < newest}, nil
}

// TestSlowReaderConfirmsOnlyWhatItRead guards against confirming outdated data while changes are
// published faster than a slow source returns them.
func TestSlowReaderConfirmsOnlyWhatItRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{}
		ctx, cancel := context.WithCancel(context.Background())
		go source.publish(ctx, 100*time.Millisecond)
		time.Sleep(time.Second)
		beliefs, inventory, halls := NewBeliefs(), NewInventory(time.Second, 0), NewHalls(5*time.Second)
		f := NewFollower(FollowerOptions{
			Source: Source{
				ReadConfig: source.readConfig, NextConfig: source.nextConfig,
				ReadWorkers: source.readWorkers, NextWorkers: source.nextWorkers,
			},
			Beliefs: beliefs, Inventory: inventory, Halls: halls, Reads: func(time.Time) bool { return true },
			Logger: hclog.NewNullLogger(),
		})
		go f.Run(ctx)
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			version, confirmed := beliefs.State()
			assert.Assert(t, source.newest(confirmed) <= version, "version %d was confirmed, %d was published", version, source.newest(confirmed))
			report := halls.Report(time.Now())
			asOf := time.Now().Add(-time.Duration(report.Age) * time.Millisecond)
			assert.Assert(t, report.Position == 0 || source.newest(asOf) <= report.Position, "halls of %d were confirmed, %d was published", report.Position, source.newest(asOf))
			assert.Assert(t, source.newest(inventory.Confirmed()) <= inventory.Position(), "workers of %d were confirmed, %d was published", inventory.Position(), source.newest(inventory.Confirmed()))
		}
		// A reader that skips to the newest version has it after two answers.
		const answers = 2
		assert.Assert(t, beliefs.Version() >= source.newest(time.Now().Add(-answers*slowAnswerDelay)), "%d of %d is known", beliefs.Version(), source.newest(time.Now()))
		cancel()
		<-f.Done()
		time.Sleep(time.Second)
	})
}

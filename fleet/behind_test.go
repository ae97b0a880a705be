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

// slowSource is a source whose answers are slow and tell a few changes each.
type slowSource struct {
	mu sync.Mutex
	// published holds when each version came; the first is version 1. A worker comes with each.
	published []time.Time
}

const (
	slowAnswer = 1300 * time.Millisecond
	// slowPart is how many changes an answer tells.
	slowPart = 6
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

// newest returns the newest version that was published before a time.
func (s *slowSource) newest(before time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.published) && s.published[n].Before(before) {
		n++
	}
	return int64(n)
}

// answer returns the newest version once an answer has come, of how it was when it was asked
// for.
func (s *slowSource) answer() int64 {
	newest := s.newest(time.Now())
	time.Sleep(slowAnswer)
	return newest
}

func (s *slowSource) readConfig(context.Context) (ConfigNews, error) {
	newest := s.answer()
	return ConfigNews{Config: NewConfig(Parts{Version: newest}), Next: newest, Halls: HallNews{Whole: true}}, nil
}

func (s *slowSource) nextConfig(_ context.Context, position int64, _ time.Duration) (ConfigNews, error) {
	newest := s.answer()
	next := min(position+slowPart, newest)
	if next == position {
		return ConfigNews{Next: next}, nil
	}
	return ConfigNews{Config: NewConfig(Parts{Version: next}), Next: next, More: next < newest}, nil
}

func (s *slowSource) readWorkers(context.Context, string) (WorkerNews, error) {
	return WorkerNews{Next: s.answer()}, nil
}

func (s *slowSource) nextWorkers(_ context.Context, position int64, _ time.Duration) (WorkerNews, error) {
	newest := s.answer()
	next := min(position+slowPart, newest)
	return WorkerNews{Next: next, More: next < newest}, nil
}

// TestWhoIsBehindKnowsIt: the operator changed the configuration ten times a second while the
// store's answers took 1.3 s. Its readers took a few changes by each answer and counted them
// as the newest ones: the fleet fell further behind with each second, rejected keys of new
// client accounts, and served with routes and keys that had been taken away long before, as if
// that had just been confirmed. Evidence: versions in the lines of rejected requests rose by
// six each 1.3 s, while 25 came.
func TestWhoIsBehindKnowsIt(t *testing.T) {
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
			assert.Assert(t, source.newest(confirmed) <= version, "version %d was confirmed, %d was there", version, source.newest(confirmed))
			report := halls.Report(time.Now())
			asOf := time.Now().Add(-time.Duration(report.Age) * time.Millisecond)
			assert.Assert(t, report.Position == 0 || source.newest(asOf) <= report.Position, "halls of %d were confirmed, %d was there", report.Position, source.newest(asOf))
			assert.Assert(t, source.newest(inventory.Confirmed()) <= inventory.Position(), "workers of %d were confirmed, %d were there", inventory.Position(), source.newest(inventory.Confirmed()))
		}
		// Whoever comes to read anew knows by the second answer what was there before the first.
		const answers = 2
		assert.Assert(t, beliefs.Version() >= source.newest(time.Now().Add(-answers*slowAnswer)), "%d of %d is known", beliefs.Version(), source.newest(time.Now()))
		cancel()
		<-f.Done()
		time.Sleep(time.Second)
	})
}

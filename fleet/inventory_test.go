package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

func headWorker(id, group string, epoch int64, state GroupState) *Worker {
	return &Worker{ID: id, Service: "s", Domain: "d", Loaded: "m", Member: Membership{Group: group, Epoch: epoch, State: state}}
}

func TestReplicas(t *testing.T) {
	open := Announcement{Group: "g", Epoch: 5, Service: "s", Model: "m", Head: "h", Open: true}
	closed := open
	closed.Open = false
	draining := headWorker("x", "g", 5, Ready)
	draining.Draining, draining.Member.Rank = true, 1
	leaving := headWorker("h", "g", 5, Open)
	leaving.Draining = true
	tests := map[string]struct {
		workers   []*Worker
		announced []Announcement
		want      int
	}{
		"an open head":                        {workers: []*Worker{headWorker("h", "g", 5, Open)}, want: 1},
		"a ready head":                        {workers: []*Worker{headWorker("h", "g", 5, Ready)}},
		"announced before the list shows it":  {workers: []*Worker{headWorker("h", "g", 5, Ready)}, announced: []Announcement{open}, want: 1},
		"closed before the list shows it":     {workers: []*Worker{headWorker("h", "g", 5, Open)}, announced: []Announcement{open, closed}},
		"once closed it stays closed":         {workers: []*Worker{headWorker("h", "g", 5, Open)}, announced: []Announcement{open, closed, open}},
		"the list shows a later group":        {workers: []*Worker{headWorker("h", "later", 6, Joining)}, announced: []Announcement{open}},
		"a broken head is not opened by word": {workers: []*Worker{headWorker("h", "g", 5, Broken)}, announced: []Announcement{open}},
		"the head drains":                     {workers: []*Worker{leaving}},
		"another member drains":               {workers: []*Worker{headWorker("h", "g", 5, Open), draining}, want: 1},
		"closed since a member drains":        {workers: []*Worker{headWorker("h", "g", 5, Open), draining}, announced: []Announcement{closed}},
		"a head that is not listed":           {announced: []Announcement{open}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
			var changes []Change
			for _, w := range test.workers {
				changes = append(changes, Change{ID: w.ID, Worker: w})
			}
			i.Apply(changes, 1, time.Now())
			for _, a := range test.announced {
				i.Decide(0, a)
			}
			assert.Equal(t, len(i.View().Replicas("s", "m")), test.want)
		})
	}
}

// TestClosedGroupsStayClosed checks that a closed group is not reopened by its head, which
// disappeared from the list and returns with an entry from before the group was closed.
func TestClosedGroupsStayClosed(t *testing.T) {
	tests := map[string]struct {
		returnsWith Membership
		want        int
	}{
		"as it was before the cut": {returnsWith: Membership{Group: "g", Epoch: 5, State: Open}},
		"in a later group":         {returnsWith: Membership{Group: "later", Epoch: 6, State: Open}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
				i.Apply([]Change{{ID: "h", Worker: headWorker("h", "g", 5, Open)}}, 1, time.Now())
				i.Apply([]Change{{ID: "h"}}, 2, time.Now())
				i.Decide(0, Announcement{Group: "g", Epoch: 5, Service: "s", Model: "m", Head: "h"})
				time.Sleep(closedRetention - time.Second)
				i.Apply([]Change{{ID: "h", Worker: headWorker("h", test.returnsWith.Group, test.returnsWith.Epoch, test.returnsWith.State)}}, 3, time.Now())
				assert.Equal(t, len(i.View().Replicas("s", "m")), test.want)
				time.Sleep(closedRetention)
				i.Apply([]Change{{ID: "x", Worker: headWorker("x", "", 0, "")}}, 4, time.Now())
				assert.Equal(t, len(i.View().Replicas("s", "m")), test.want)
				i.Apply([]Change{{ID: "h", Worker: headWorker("h", "", 0, "")}}, 5, time.Now())
				assert.Equal(t, len(i.announcements), 0, "a closed group that is not listed is forgotten")
			})
		})
	}
}

// TestModelIsRememberedAfterLeaving checks that a worker that left its group still counts as having
// the group's model loaded, although its entry names no model.
func TestModelIsRememberedAfterLeaving(t *testing.T) {
	member, entryAfterLeaving := headWorker("h", "g", 5, Open), headWorker("h", "", 0, "")
	entryAfterLeaving.Loaded = ""
	restarted := headWorker("other life", "", 0, "")
	restarted.Loaded = ""
	list := func(workers ...*Worker) []Change {
		var changes []Change
		for _, w := range workers {
			changes = append(changes, Change{ID: w.ID, Worker: w})
		}
		return changes
	}
	tests := map[string]func(i *Inventory){
		"by a change":     func(i *Inventory) { i.Apply(list(entryAfterLeaving, restarted), 2, time.Now()) },
		"by a whole list": func(i *Inventory) { i.Replace(list(entryAfterLeaving, restarted), 2, time.Now()) },
		"by a peer's delta": func(i *Inventory) {
			i.Follow(Delta{From: 1, To: 2, Changes: list(entryAfterLeaving, restarted)}, time.Now())
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			i := NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
			i.Apply(list(member), 1, time.Now())
			leave(i)
			w, ok := i.View().Worker("h")
			assert.Assert(t, ok)
			assert.Equal(t, w.Loaded, "m")
			assert.Equal(t, entryAfterLeaving.Loaded, "", "the entry itself was changed")
			w, _ = i.View().Worker("other life")
			assert.Equal(t, w.Loaded, "")
		})
	}
}

// TestPeersReachTheSameList checks a chain of three inventories of which each follows the previous
// one. They receive random parts of deltas, whole deltas or whole lists. All must end with the same
// workers, and none may have a higher position than the first one.
func TestPeersReachTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, relay := NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond}), NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
		follower := NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
		position := int64(0)
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(t, "steps")
		for n, step := range steps {
			now := time.Now()
			switch step {
			case 0, 1, 2:
				// A read may return several changes; invalid entries take positions without a
				// change.
				var changes []Change
				for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
					id := fmt.Sprint((n + i) % 7)
					changes = append(changes, Change{ID: id, Worker: headWorker(id, "g", int64(10*n+i), Open)})
				}
				position += int64(len(changes) + max(step-1, 0))
				source.Apply(changes, position, now)
			case 3:
				position++
				source.Apply([]Change{{ID: fmt.Sprint(n % 7)}}, position, now)
			case 4, 5:
				deliverSomeParts(t, source, relay, now)
			case 6, 7:
				deliverSomeParts(t, relay, follower, now)
			case 8:
				catchUp(source, relay, now)
			default:
				catchUp(relay, follower, now)
			}
			if relay.Position() > position || follower.Position() > position {
				t.Fatalf("positions %d and %d after %d", relay.Position(), follower.Position(), position)
			}
		}
		catchUp(source, relay, time.Now())
		catchUp(relay, follower, time.Now())
		checkSameWorkers(t, source.View(), relay.View())
		checkSameWorkers(t, source.View(), follower.View())
	})
}

// deliverSomeParts delivers a random selection of the missing parts to a follower.
func deliverSomeParts(t *rapid.T, source, follower *Inventory, now time.Time) {
	d, whole := source.Since(follower.Position())
	if whole {
		return
	}
	parts, _ := d.Split(rapid.IntRange(1, 3).Draw(t, "most"))
	for _, part := range parts {
		if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
			follower.Follow(part, now)
		}
	}
}

func checkSameWorkers(t *rapid.T, a, b *View) {
	for id, w := range a.Workers() {
		if other, ok := b.Worker(id); !ok || other != w {
			t.Fatalf("worker %s differs", id)
		}
	}
	if len(a.Workers()) != len(b.Workers()) {
		t.Fatalf("%d workers and %d", len(a.Workers()), len(b.Workers()))
	}
}

func catchUp(source, follower *Inventory, now time.Time) {
	d, whole := source.Since(follower.Position())
	if whole {
		follower.Replace(d.Changes, d.To, now)
		return
	}
	follower.Follow(d, now)
}

func TestConfigCacheOnlyMovesForwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewConfigCache()
		start := time.Now()
		highest, confirmed := int64(0), time.Time{}
		for _, version := range rapid.SliceOfN(rapid.Int64Range(1, 9), 1, 40).Draw(t, "versions") {
			at := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")))
			b.Offer(NewConfig(Parts{Version: version}), at)
			highest = max(highest, version)
			if b.Version() != highest {
				t.Fatalf("version %d after %d", b.Version(), highest)
			}
			if version == highest && at.After(confirmed) {
				confirmed = at
			}
			b.Confirm(version-1, at.Add(time.Hour))
			if b.Confirmed().After(confirmed) && version != highest+1 {
				t.Fatalf("an old version confirmed the newest")
			}
		}
	})
}

var errUnavailable = errors.New("down")

// fakeSource is a source with a configuration and one worker. Its configuration reads fail while it
// is down.
type fakeSource struct {
	mu      sync.Mutex
	version int64
	isDown  bool
	// positionLost makes the next call of nextConfig report that the position is lost.
	positionLost bool
	// era is how often the source was restored from a copy.
	era int64
	// invalidErr is the error of the newest configuration, nil if it is valid.
	invalidErr error
	// configCalls counts the reads of the configuration.
	configCalls int
	// listReads counts the reads of whole lists.
	listReads int
}

func (s *fakeSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeSource) source() Source {
	return Source{ReadConfig: s.readConfig, NextConfig: s.nextConfig, ReadWorkers: s.readWorkers, NextWorkers: s.nextWorkers}
}

func (s *fakeSource) readConfig(context.Context) (ConfigUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configCalls++
	if s.isDown {
		return ConfigUpdate{}, errUnavailable
	}
	if s.version == 0 {
		return ConfigUpdate{}, nil
	}
	if s.invalidErr != nil {
		// The version before the newest one is valid.
		return ConfigUpdate{Config: NewConfig(Parts{Version: s.version - 1}), ConfigErr: s.invalidErr, Next: s.version}, nil
	}
	return ConfigUpdate{Config: NewConfig(Parts{Version: s.version}), Next: PositionOf(s.era, s.version)}, nil
}

func (s *fakeSource) nextConfig(ctx context.Context, position int64, wait time.Duration) (ConfigUpdate, error) {
	s.mu.Lock()
	down, lost, version := s.isDown, s.positionLost, s.version
	s.positionLost = false
	s.configCalls++
	s.mu.Unlock()
	switch {
	case lost:
		return ConfigUpdate{PositionLost: true}, nil
	case !down && version > OffsetOf(position):
		return s.readConfig(ctx)
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	if down {
		return ConfigUpdate{}, errUnavailable
	}
	return ConfigUpdate{Next: position}, nil
}

func (s *fakeSource) readWorkers(context.Context, string) (WorkerUpdate, error) {
	s.set(func() { s.listReads++ })
	// The delay stands for the latency of the store.
	time.Sleep(4 * time.Millisecond)
	return WorkerUpdate{Next: 1, Changes: []Change{{ID: "w", Worker: headWorker("w", "g", 1, Open)}}}, nil
}

func (s *fakeSource) nextWorkers(ctx context.Context, position int64, wait time.Duration) (WorkerUpdate, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return WorkerUpdate{Next: position}, nil
}

// startFollower runs a follower of a source until the returned function stop is called.
func startFollower(source *fakeSource, configCache *ConfigCache, inventory *Inventory) (stop func()) {
	f := NewFollower(FollowerOptions{
		Source: source.source(), ConfigCache: configCache, Inventory: inventory,
		ShouldRead: func(time.Time) bool { return true }, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	return func() {
		cancel()
		<-f.Done()
	}
}

func TestFollowerKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3}
		configCache, inventory := NewConfigCache(), NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
		stop := startFollower(source, configCache, inventory)
		time.Sleep(time.Second)
		assert.Equal(t, configCache.Version(), int64(3))
		assert.Equal(t, len(inventory.View().Workers()), 1)
		assert.Assert(t, time.Since(configCache.Confirmed()) <= time.Second)

		source.set(func() { source.isDown = true })
		time.Sleep(10 * time.Second)
		assert.Assert(t, time.Since(configCache.Confirmed()) > 8*time.Second, "a failed read confirms nothing")

		source.set(func() { source.isDown, source.version, source.positionLost = false, 5, true })
		time.Sleep(4 * time.Second)
		assert.Equal(t, configCache.Version(), int64(5))
		stop()
	})
}

// TestInvalidConfigurationConfirmsNothing checks that an invalid configuration does not come into
// force. It must not confirm the one in force either, since it may revoke keys.
func TestInvalidConfigurationConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{version: 3}
		configCache := NewConfigCache()
		stop := startFollower(source, configCache, NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond}))
		time.Sleep(time.Second)
		source.set(func() { source.version, source.invalidErr = 5, errUnavailable })
		time.Sleep(10 * time.Second)
		ageWhileInvalid, version := time.Since(configCache.Confirmed()), configCache.Version()
		source.set(func() { source.version, source.invalidErr = 6, nil })
		time.Sleep(2 * time.Second)
		ageAfterwards := time.Since(configCache.Confirmed())
		stop()
		assert.Equal(t, version, int64(4), "the last valid one")
		assert.Assert(t, ageWhileInvalid > 8*time.Second, "an invalid configuration confirms nothing")
		assert.Equal(t, configCache.Version(), int64(6))
		assert.Assert(t, ageAfterwards < time.Second)
	})
}

// TestFollowerWaitsForTheFirstConfiguration checks that a follower started before the first
// configuration is published reads the source rarely, and finds the configuration once published.
func TestFollowerWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		configCache := NewConfigCache()
		stop := startFollower(source, configCache, NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond}))
		time.Sleep(10 * time.Second)
		source.set(func() {
			assert.Assert(t, source.configCalls <= 10, "%d calls without a configuration", source.configCalls)
			source.version = 1
		})
		time.Sleep(3 * time.Second)
		assert.Equal(t, configCache.Version(), int64(1))
		stop()
	})
}

// failReads lets the given time pass, in which reads fail at a regular interval.
func failReads(i *Inventory, span time.Duration) {
	const interval = 500 * time.Millisecond
	for range span / interval {
		time.Sleep(interval)
		i.BeginRead(time.Now())
		i.EndRead(errUnavailable)
	}
}

// TestMissingWorkerIsDroppedWithinLeaveBound checks that a worker that leaves right after an outage
// of the list gets no more requests once the leave bound has passed.
func TestMissingWorkerIsDroppedWithinLeaveBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const heartbeat, bound = 1200 * time.Millisecond, 2 * time.Second
		i := NewInventory(InventoryOptions{Heartbeat: heartbeat, LeaveBound: bound})
		i.Apply([]Change{{ID: "a", Worker: headWorker("a", "g", 1, Open)}}, 1, time.Now())
		failReads(i, 6*time.Second)
		i.Confirm(1, time.Now())
		time.Sleep(100 * time.Millisecond)
		i.Apply([]Change{{ID: "a"}}, 2, time.Now())
		leftAt := time.Now()
		for time.Since(leftAt) < bound-100*time.Millisecond {
			time.Sleep(100 * time.Millisecond)
			i.Confirm(2, time.Now())
		}
		assert.Equal(t, len(i.View().Replicas("s", "m")), 0, "a worker that left still gets requests")
	})
}

func TestMissingEntriesAreToleratedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const heartbeat = time.Second
		i := NewInventory(InventoryOptions{Heartbeat: heartbeat})
		i.Apply([]Change{{ID: "a", Worker: headWorker("a", "g", 1, Open)}, {ID: "b", Worker: headWorker("b", "h", 2, Open)}}, 2, time.Now())
		failReads(i, 5*time.Second)
		i.Apply([]Change{{ID: "a"}, {ID: "b"}}, 4, time.Now())
		assert.Equal(t, len(i.View().Replicas("s", "m")), 2, "no worker is dropped right after an outage")
		time.Sleep(heartbeat)
		i.Apply([]Change{{ID: "a", Worker: headWorker("a", "g", 1, Open)}}, 5, time.Now())
		for range heartbeatsUntilExpiry {
			time.Sleep(heartbeat)
			i.Confirm(5, time.Now())
		}
		_, listed := i.View().Worker("b")
		assert.Assert(t, !listed, "a worker that does not write again is dropped")
		i.Apply([]Change{{ID: "a"}}, 6, time.Now())
		_, listed = i.View().Worker("a")
		assert.Assert(t, !listed, "a removed entry is dropped without an outage")
	})
}

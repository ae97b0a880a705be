package leadership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
	"quartzshelf.dev/peers"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var errUnavailable = errors.New("the store is unavailable")

// fakeFleet connects electors by heartbeats and a registry, both of which can fail.
type fakeFleet struct {
	mu        sync.Mutex
	grants    []storedGrant
	era       int64
	storeIsUp bool
	// isolated contains the IDs of the daemons that can reach neither the others nor the store.
	isolated map[string]bool
	dead     map[string]bool
	daemons  []*fakeDaemon
	// claims maps every claim ever made to the daemon that made it.
	claims map[peers.Claim]string
	// noneReady means that no daemon is ready yet. registryCalls counts the reads of the registry.
	noneReady     bool
	registryCalls int
	// capacity maps the IDs of daemons to their capacities.
	capacity map[string]int
	// readyAt maps the IDs of daemons to the times at which they become ready and able to lead.
	// Daemons without an entry are ready from the start.
	readyAt map[string]time.Time
	// duplicates lists claims that were made by two daemons.
	duplicates []string
}

type fakeDaemon struct {
	fleet          *fakeFleet
	self           peers.Holder
	elector        *Elector
	lastHeartbeats map[string]*peers.Peer
	stop           context.CancelFunc
	// era is the store's era as last reported to this daemon.
	era int64
}

func newFakeFleet(daemons int) *fakeFleet {
	f := &fakeFleet{storeIsUp: true, isolated: make(map[string]bool), dead: make(map[string]bool), claims: make(map[peers.Claim]string)}
	for i := range daemons {
		f.start(fmt.Sprintf("d%d", i), 1)
	}
	return f
}

func (f *fakeFleet) start(id string, incarnation int64) {
	d := &fakeDaemon{fleet: f, self: peers.Holder{ID: id, Incarnation: incarnation}, lastHeartbeats: make(map[string]*peers.Peer)}
	d.elector = NewElector(Options{
		Self: d.identity(), Registry: Registry{Newest: d.newest, Add: d.add}, Alive: d.alive, Known: d.countKnown,
		AliveTimeout: func() time.Duration { return 800 * time.Millisecond },
		IsSettled:    func(time.Time) bool { return true }, CanLead: d.canLead,
		Era: d.reportedEra, LastStoreAnswer: d.lastStoreAnswer, Lead: d.lead, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	f.mu.Lock()
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	go d.elector.Run(ctx)
	go d.report(ctx)
}

func (d *fakeDaemon) canLead() bool { return !time.Now().Before(d.fleet.readyAt[d.self.ID]) }

func (d *fakeDaemon) lead(_ context.Context, claim peers.Claim, _ bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if other, ok := d.fleet.claims[claim]; ok {
		d.fleet.duplicates = append(d.fleet.duplicates, fmt.Sprintf("%v by %s and %s", claim, other, d.self.ID))
	}
	d.fleet.claims[claim] = d.self.ID
}

func (f *fakeFleet) areConnected(a, b string) bool {
	return !f.isolated[a] && !f.isolated[b] && !f.dead[a] && !f.dead[b]
}

func (d *fakeDaemon) identity() peers.Identity {
	return peers.Identity{ID: d.self.ID, Incarnation: d.self.Incarnation, Capacity: d.fleet.capacity[d.self.ID]}
}

func (f *fakeFleet) isUnready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noneReady
}

// report sends a heartbeat to all reachable daemons five times a second, until ctx ends.
func (d *fakeDaemon) report(ctx context.Context) {
	for ctx.Err() == nil {
		p := &peers.Peer{Heartbeat: peers.Heartbeat{Identity: d.identity(), Ready: !d.fleet.isUnready() && d.canLead(), Complete: true}, LastHeartbeatAt: time.Now()}
		p.OwnClaim, p.HighestClaim, p.Grant = d.elector.State()
		d.fleet.mu.Lock()
		all := slices.Clone(d.fleet.daemons)
		d.fleet.mu.Unlock()
		for _, other := range all {
			d.fleet.mu.Lock()
			reachable := other != d && d.fleet.areConnected(d.self.ID, other.self.ID)
			if reachable {
				other.lastHeartbeats[d.self.ID] = p
			}
			d.fleet.mu.Unlock()
			if reachable {
				other.elector.HandleHeartbeat(p)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (d *fakeDaemon) alive(now time.Time) []*peers.Peer {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var all []*peers.Peer
	for _, p := range d.lastHeartbeats {
		if now.Sub(p.LastHeartbeatAt) < 800*time.Millisecond {
			all = append(all, p)
		}
	}
	return all
}

func (d *fakeDaemon) countKnown(since time.Time) int {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	n := 0
	for _, p := range d.lastHeartbeats {
		if p.LastHeartbeatAt.After(since) {
			n++
		}
	}
	return n
}

func (d *fakeDaemon) lastStoreAnswer() time.Time {
	if d.reachesStore() {
		return time.Now()
	}
	return time.Time{}
}

func (d *fakeDaemon) reachesStore() bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.fleet.storeIsUp && !d.fleet.isolated[d.self.ID] && !d.fleet.dead[d.self.ID]
}

func (d *fakeDaemon) newest(context.Context) (RegistryState, error) {
	if !d.reachesStore() {
		return RegistryState{}, errUnavailable
	}
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.fleet.registryCalls++
	d.era = d.fleet.era
	n := len(d.fleet.grants)
	found := RegistryState{Position: int64(n), MaxEpoch: d.fleet.era * maxLostGrants}
	if n > 0 {
		found.Grant = d.fleet.grants[n-1].Grant
		found.MaxEpoch = found.Grant.Epoch + (d.fleet.era-d.fleet.grants[n-1].era)*maxLostGrants
	}
	return found, nil
}

func (d *fakeDaemon) add(_ context.Context, grant peers.Grant, position int64) (bool, error) {
	if !d.reachesStore() {
		return false, errUnavailable
	}
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if position != int64(len(d.fleet.grants)) || d.era != d.fleet.era {
		return false, nil
	}
	d.fleet.grants = append(d.fleet.grants, storedGrant{Grant: grant, era: d.fleet.era})
	return true, nil
}

// reportedEra returns the era of the store that it last reported to this daemon. Each restore from
// a backup begins a new era.
func (d *fakeDaemon) reportedEra() int64 {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.era
}

// maxLostGrants is the maximum number of grants that one restore of the store loses.
const maxLostGrants = 3

// storedGrant is a grant with the era in which it was added.
type storedGrant struct {
	peers.Grant
	era int64
}

// restoreStore simulates a restore from a backup that lacks the last grants.
func (f *fakeFleet) restoreStore(lost int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants = f.grants[:max(len(f.grants)-lost, 0)]
	f.era++
}

// reportEra reports the current era to all daemons that reach the store, as reads from the store
// do.
func (f *fakeFleet) reportEra() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		if f.storeIsUp && !f.isolated[d.self.ID] && !f.dead[d.self.ID] {
			d.era = f.era
		}
	}
}

// TestStoreThatLosesGrants restores the store without its newest grants at arbitrary moments,
// besides kills, restarts, partitions and outages. It checks that no claim is made twice, and that
// one daemon leads in the end.
func TestStoreThatLosesGrants(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 3, 14).Draw(t, "steps")
		targets := rapid.SliceOfN(rapid.IntRange(0, 4), 14, 14).Draw(t, "which")
		var duplicates, leaders []string
		synctest.Test(outer, func(*testing.T) { duplicates, leaders = simulateRestores(steps, targets) })
		if len(duplicates) > 0 {
			t.Fatalf("claimed twice: %v", duplicates)
		}
		if len(leaders) != 1 {
			t.Fatalf("after recovery, %v lead", leaders)
		}
	})
}

// simulateRestores runs the steps on a fleet. It returns the claims that were made twice, and the
// daemons that lead after everything has recovered.
func simulateRestores(steps, targets []int) (duplicates, leaders []string) {
	f := newFakeFleet(5)
	defer f.stopAll()
	for i, step := range steps {
		time.Sleep(time.Duration(400+150*step) * time.Millisecond)
		if step > 5 {
			f.restoreStore(step - 5)
		} else {
			f.disrupt(step, fmt.Sprintf("d%d", targets[i]), int64(i+2))
		}
		if targets[i]%2 == 0 {
			f.reportEra()
		}
	}
	f.update(func() { f.storeIsUp, f.isolated = true, make(map[string]bool) })
	f.reportEra()
	time.Sleep(10 * time.Second)
	return f.duplicates, f.leaders()
}

// TestFleetStartNeedsFewAttempts starts many daemons that are not ready, and checks that one leads
// in the end and that few of them tried to.
func TestFleetStartNeedsFewAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(0)
		f.noneReady = true
		for i := range 40 {
			f.start(fmt.Sprintf("d%02d", i), 1)
		}
		time.Sleep(5 * time.Second)
		leaders := len(f.leaders())
		f.stopAll()
		assert.Equal(t, leaders, 1)
		assert.Assert(t, f.registryCalls <= 6, "%d reads of the registry", f.registryCalls)
	})
}

// TestNewFleetHasOneElection checks that a new fleet elects one leader when its daemons become
// able to lead one after the other, the largest last.
func TestNewFleetHasOneElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(0)
		f.capacity = map[string]int{"d3": 800, "d7": 800}
		f.readyAt = map[string]time.Time{"d3": time.Now().Add(startupDelay + 3*tickInterval), "d7": time.Now().Add(startupDelay + 4*tickInterval)}
		for i := range 10 {
			f.start(fmt.Sprintf("d%d", i), 1)
		}
		time.Sleep(5 * time.Second)
		leaders := f.leaders()
		f.stopAll()
		assert.Equal(t, len(f.grants), 1, "one election")
		assert.DeepEqual(t, f.claims, map[peers.Claim]string{{Epoch: 1}: "d3"})
		assert.Equal(t, len(leaders), 1)
	})
}

// TestLargerMachinesLead kills two leaders in turn, and checks that the daemons with the highest
// capacity led, the largest first.
func TestLargerMachinesLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(0)
		f.capacity = map[string]int{"d3": 800, "d5": 400}
		for i := range 7 {
			f.start(fmt.Sprintf("d%d", i), 1)
		}
		var leaders []string
		for range 2 {
			time.Sleep(3 * time.Second)
			leaders = append(leaders, f.leaders()...)
			f.kill(leaders[len(leaders)-1])
		}
		f.stopAll()
		assert.DeepEqual(t, leaders, []string{"d3", "d5"})
	})
}

// leaders returns the running daemons that lead.
func (f *fakeFleet) leaders() []string {
	f.mu.Lock()
	all := slices.Clone(f.daemons)
	f.mu.Unlock()
	var names []string
	for _, d := range all {
		own, _, _ := d.elector.State()
		if own != nil {
			names = append(names, d.self.ID)
		}
	}
	return names
}

func (f *fakeFleet) find(id string) *fakeDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		if d.self.ID == id {
			return d
		}
	}
	return nil
}

func (f *fakeFleet) kill(id string) {
	d := f.find(id)
	f.mu.Lock()
	f.dead[id] = true
	f.daemons = slices.DeleteFunc(f.daemons, func(o *fakeDaemon) bool { return o == d })
	f.mu.Unlock()
	d.stop()
}

// update calls change while it holds the lock.
func (f *fakeFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFleet) stopAll() {
	f.mu.Lock()
	all := slices.Clone(f.daemons)
	f.mu.Unlock()
	for _, d := range all {
		d.stop()
	}
	// Wait until all goroutines have returned.
	time.Sleep(time.Second)
}

func TestOneDaemonLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(5)
		time.Sleep(3 * time.Second)
		first := f.leaders()
		assert.Equal(t, len(first), 1)
		f.kill(first[0])
		time.Sleep(3 * time.Second)
		second := f.leaders()
		assert.Equal(t, len(second), 1)
		assert.Assert(t, second[0] != first[0])
		f.stopAll()
	})
}

// TestDeputiesFollowWithoutTheStore kills two leaders while the store is unavailable, and checks
// that a deputy takes over each time. A majority of the daemons stays alive, which is needed to
// lead without the store.
func TestDeputiesFollowWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(5)
		time.Sleep(3 * time.Second)
		f.update(func() { f.storeIsUp = false })
		for range 2 {
			f.kill(f.leaders()[0])
			time.Sleep(5 * time.Second)
			assert.Equal(t, len(f.leaders()), 1)
		}
		f.stopAll()
	})
}

// TestDeputiesAreReplaced checks that daemons that join after a single daemon began to lead can
// succeed it without the store.
func TestDeputiesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1)
		time.Sleep(3 * time.Second)
		leader := f.leaders()[0]
		for i := range 4 {
			f.start(fmt.Sprintf("late%d", i), 1)
		}
		time.Sleep(4 * time.Second)
		f.update(func() { f.storeIsUp = false })
		f.kill(leader)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(f.leaders()), 1)
		f.stopAll()
	})
}

func TestCutOffLeaderYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(5)
		time.Sleep(3 * time.Second)
		old := f.leaders()[0]
		f.update(func() { f.isolated[old] = true })
		time.Sleep(8 * time.Second)
		assert.Equal(t, len(f.leaders()), 1)
		assert.Assert(t, f.leaders()[0] != old)
		f.update(func() { f.isolated[old] = false })
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(f.leaders()), 1)
		f.stopAll()
	})
}

// TestNoClaimIsMadeTwice checks that no two daemons make the same claim and that one daemon leads
// in the end, after arbitrary kills, restarts, partitions and outages.
func TestNoClaimIsMadeTwice(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 3, 14).Draw(t, "steps")
		targets := rapid.SliceOfN(rapid.IntRange(0, 4), 14, 14).Draw(t, "which")
		var duplicates, leaders []string
		synctest.Test(outer, func(*testing.T) {
			f := newFakeFleet(5)
			incarnation := int64(1)
			for i, step := range steps {
				time.Sleep(time.Duration(400+350*step) * time.Millisecond)
				incarnation++
				f.disrupt(step, fmt.Sprintf("d%d", targets[i]), incarnation)
			}
			f.update(func() { f.storeIsUp, f.isolated = true, make(map[string]bool) })
			time.Sleep(10 * time.Second)
			duplicates, leaders = f.duplicates, f.leaders()
			f.stopAll()
		})
		if len(duplicates) > 0 {
			t.Fatalf("claimed twice: %v", duplicates)
		}
		if len(leaders) != 1 {
			t.Fatalf("after recovery, %v lead", leaders)
		}
	})
}

// disrupt causes a disturbance that depends on the step. It restarts the daemon id or the leader,
// changes the connections of daemons, or starts or ends an outage of the store.
func (f *fakeFleet) disrupt(step int, id string, incarnation int64) {
	switch step {
	case 0, 1:
		f.kill(id)
		f.update(func() { f.dead[id] = false })
		f.start(id, incarnation)
	case 2:
		f.update(func() { f.isolated[id] = !f.isolated[id] })
	case 3:
		f.update(func() { f.storeIsUp = !f.storeIsUp })
	case 4:
		if leaders := f.leaders(); len(leaders) > 0 {
			f.kill(leaders[0])
			f.update(func() { f.dead[leaders[0]] = false })
			f.start(leaders[0], incarnation)
		}
	default:
		f.update(func() { f.isolated = make(map[string]bool) })
	}
}

// TestNoClaimAfterSuspension checks that a daemon does not claim a term if it was suspended
// between its call to the store and the answer. Others may have led meanwhile.
func TestNoClaimAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1)
		d := f.daemons[0]
		suspendedFor := time.Duration(0)
		d.elector.opts.Suspended = func() time.Duration { return suspendedFor }
		add := d.elector.opts.Registry.Add
		d.elector.opts.Registry.Add = func(ctx context.Context, grant peers.Grant, position int64) (bool, error) {
			if suspendedFor == 0 {
				suspendedFor = time.Minute
			}
			return add(ctx, grant, position)
		}
		d.elector.tryToLead(context.Background())
		own, _, _ := d.elector.State()
		assert.Assert(t, own == nil, "it claims a grant that was won before the suspension")
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(f.leaders()), 1, "it leads by a new answer of the store")
		f.stopAll()
	})
}

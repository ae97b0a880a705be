package serving

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/leadership"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/quarantine"
	"quartzshelf.dev/quarantine/guard"
)

// replacedFleet is a fleet whose daemons are all replaced within seconds, in virtual time. Only the
// store outlives them.
type replacedFleet struct {
	t       *testing.T
	network *fakeNetwork
	marks   *fakeMarks
	grants  fakeGrants
	daemons []*replaceableDaemon
	random  *rand.Rand
	// crashing sums up the requests that crash workers, and the crashes.
	crashing arrivals
}

// replaceableDaemon is one life of a daemon.
type replaceableDaemon struct {
	*Server
	end func()
}

// fakeGrants is a registry of grants in memory.
type fakeGrants struct {
	mu       sync.Mutex
	newest   peers.Grant
	position int64
}

func (f *fakeGrants) registry() leadership.Registry {
	return leadership.Registry{Newest: f.read, Add: f.add}
}

func (f *fakeGrants) read(context.Context) (leadership.RegistryState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return leadership.RegistryState{Grant: f.newest, Position: f.position, MaxEpoch: f.newest.Epoch}, nil
}

func (f *fakeGrants) add(_ context.Context, g peers.Grant, position int64) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position != f.position {
		return false, nil
	}
	f.newest, f.position = g, position+1
	return true, nil
}

func newReplacedFleet(t *testing.T, count int) *replacedFleet {
	f := &replacedFleet{
		t: t, marks: &fakeMarks{stored: make(map[quarantine.Fingerprint]quarantine.Mark)}, random: rand.New(rand.NewPCG(7, 7)),
		network: &fakeNetwork{random: rand.New(rand.NewPCG(1, 1)), inboxes: make(map[string]chan []byte)},
	}
	f.daemons = make([]*replaceableDaemon, count)
	for i := range count {
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range count {
			f.kill(i)
		}
		// Wait until the datagrams in transit have arrived.
		time.Sleep(time.Second)
	})
	return f
}

// start starts the next life of a daemon.
func (f *replacedFleet) start(i int) {
	incarnation := time.Now().UnixMilli()
	address := fmt.Sprintf("daemon-%d at %d", i, incarnation)
	store := &fakeStore{}
	s, err := New(Options{
		Self:   peers.Identity{ID: fmt.Sprintf("daemon-%d", i), Incarnation: incarnation, Zone: "z", Address: address},
		Bounds: Bounds{WorkerHeartbeatInterval: time.Second, AddressTTL: time.Second}, Transport: f.network.transport(address),
		Source: store.source(), MemberList: MemberList{Register: store.register, Read: store.read},
		QuarantineMarks: f.marks.store(), Registry: f.grants.registry(), Logger: hclog.NewNullLogger(),
	})
	assert.NilError(f.t, err)
	now := time.Now()
	s.membersReadAt.Store(&now)
	for _, other := range f.daemons {
		if other != nil {
			s.agent.Table().Learn(other.opts.Self, now)
			other.agent.Table().Learn(s.opts.Self, now)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { s.agent.Run(ctx) })
	tasks.Go(func() { s.elector.Run(ctx) })
	tasks.Go(func() { s.proxy.Run(ctx) })
	tasks.Go(func() { s.syncMarks(ctx) })
	tasks.Go(func() { s.readMarksAtStart(ctx) })
	tasks.Go(func() {
		// From then on, it reads its configuration and serves.
		pause.Sleep(ctx, roleSettleTime)
		setState(s, time.Now())
	})
	f.daemons[i] = &replaceableDaemon{Server: s, end: func() {
		cancel()
		tasks.Wait()
	}}
}

// kill ends a daemon at once, if it runs.
func (f *replacedFleet) kill(i int) {
	if d := f.daemons[i]; d != nil {
		f.daemons[i] = nil
		d.end()
	}
}

// replaceAll ends all daemons at once, and starts them again.
func (f *replacedFleet) replaceAll() {
	for i := range f.daemons {
		f.kill(i)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range f.daemons {
		f.start(i)
	}
}

// sendCrashing sends a request that crashes workers to a random daemon, unless none runs or the daemon
// knows better.
func (f *replacedFleet) sendCrashing(isPart bool) {
	d := f.daemons[f.random.IntN(len(f.daemons))]
	if d == nil || !d.hasState() {
		return
	}
	now := time.Now()
	request := guard.Request{Fingerprint: func() quarantine.Fingerprint { return quarantine.FingerprintOf("a", "POST", "h", "/", nil) }}
	if isPart {
		id := fmt.Sprint("/", now.UnixNano())
		request.Fingerprint = func() quarantine.Fingerprint { return quarantine.FingerprintOf("a", "POST", "h", id, nil) }
		request.Parts = func() []quarantine.Part { return []quarantine.Part{quarantine.PartOf("a", "crashing")} }
	}
	g := d.proxy.Guard()
	if g.State(request, now).Quarantined {
		return
	}
	f.crashing.recordSent()
	f.crashing.recordCrash()
	crash := quarantine.Crash{Worker: fmt.Sprint("worker that ran it at ", now.UnixNano()), Sent: now, Ended: now}
	if isPart {
		g.PartTable().BlameParts(request.Parts(), crash, now)
	}
	g.Blame(request.Fingerprint(), crash)
}

// sendCrashingFor sends requests that crash workers for the given time.
func (f *replacedFleet) sendCrashingFor(d time.Duration, isPart bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.sendCrashing(isPart)
	}
}

// TestReplacedDaemonsKnowStoredMarks guards against daemons that all start together and send requests that
// crash workers until one of them leads, although the store knows better.
func TestReplacedDaemonsKnowStoredMarks(t *testing.T) {
	for name, isPart := range map[string]bool{"a request": false, "a part of prompts": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const maxSendsAfter = 1
				f := newReplacedFleet(t, 4)
				f.sendCrashingFor(5*time.Second, isPart)
				before := f.crashing.crashCount()
				assert.Equal(t, len(f.marks.stored), 1)
				f.replaceAll()
				f.sendCrashingFor(10*time.Second, isPart)
				after := f.crashing.crashCount() - before
				assert.Assert(t, after <= maxSendsAfter, "%d workers crashed before, %d after", before, after)
				for _, d := range f.daemons {
					assert.Equal(t, len(d.proxy.Guard().Marks(time.Now())), 1)
				}
			})
		})
	}
}

// TestStartingDaemonLeavesMarksToPeers guards against reads of the store by each daemon that starts while
// others tell it of the marks.
func TestStartingDaemonLeavesMarksToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReplacedFleet(t, 4)
		f.sendCrashingFor(5*time.Second, false)
		readsBefore := f.marks.reads
		f.kill(3)
		f.start(3)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.marks.reads, readsBefore)
		assert.Equal(t, len(f.daemons[3].proxy.Guard().Marks(time.Now())), 1)
	})
}

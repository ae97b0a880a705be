package serving

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/suspension"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/leadership"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/proxy"
)

// suspendableMachine holds the total time for which a simulated machine was suspended.
type suspendableMachine struct{ total atomic.Int64 }

func (s *suspendableMachine) suspended() time.Duration { return time.Duration(s.total.Load()) }

func (s *suspendableMachine) add(suspended time.Duration) { s.total.Add(int64(suspended)) }

// newSuspendableServer returns a daemon with a configuration and an empty worker list, and the
// machine that it runs on.
func newSuspendableServer(t *testing.T) (*Server, *suspendableMachine) {
	t.Helper()
	machine := &suspendableMachine{}
	opts := optionsOf(t, &fakeStore{})
	opts.Suspended, opts.Names = machine.suspended, crashingHeaders
	s, err := New(opts)
	assert.NilError(t, err)
	s.configCache.Offer(newCrashingConfig(), time.Now())
	s.inventory.Replace(nil, 1, time.Now())
	s.isSettled.Store(true)
	return s, machine
}

// statusFor sends a request with a valid key to a daemon and returns the status of the response.
func statusFor(s *Server) int {
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/safe/", nil)
	request.Host = "h"
	request.Header.Set(crashingHeaders.AttemptID, "request")
	request.Header.Set(crashingHeaders.Key, "key")
	s.proxy.ServeHTTP(answer, request)
	return answer.Code
}

// TestKeysRevokedDuringSuspension checks that a daemon rejects requests after a long suspension
// until its configuration is confirmed again. Keys may have been revoked in the meantime.
func TestKeysRevokedDuringSuspension(t *testing.T) {
	s, machine := newSuspendableServer(t)
	assert.Assert(t, !s.proxy.IsConfigStale(time.Now()))
	machine.add(time.Minute)
	assert.Equal(t, statusFor(s), http.StatusServiceUnavailable)
	assert.Assert(t, s.proxy.IsConfigStale(time.Now()), "keys were checked against an outdated configuration")
	assert.Assert(t, time.Since(s.inventory.Confirmed()) > time.Minute)
	s.configCache.ConfirmRead(time.Now())
	assert.Assert(t, !s.proxy.IsConfigStale(time.Now()))
}

// TestShortSuspensionKeepsState checks that the configuration stays valid after a suspension that
// is shorter than Bounds.RevocationBound, the time after which revoked keys must be rejected.
func TestShortSuspensionKeepsState(t *testing.T) {
	s, machine := newSuspendableServer(t)
	machine.add(time.Second)
	s.suspensionWatch.Check()
	assert.Assert(t, !s.proxy.IsConfigStale(time.Now()))
}

// TestHallsCloseDuringSuspension checks that a closing hall counts as closed after a suspension
// that lasted longer than the bound for closing it.
func TestHallsCloseDuringSuspension(t *testing.T) {
	s, machine := newSuspendableServer(t)
	s.halls = fleet.NewHalls(5 * time.Second)
	s.halls.ApplyRead(fleet.HallUpdate{IsComplete: true}, 4, time.Now())
	s.halls.ApplyRead(fleet.HallUpdate{IsComplete: true, Changes: []fleet.HallChange{{Hall: "z", Closed: true}}}, 5, time.Now())
	assert.Equal(t, s.halls.View().State("z", time.Now()), fleet.HallClosing)
	machine.add(time.Minute)
	s.suspensionWatch.Check()
	assert.Equal(t, s.halls.View().State("z", time.Now()), fleet.HallClosed)
}

// TestFetchInterruptedBySuspension checks that a fetch of the configuration fails if the machine
// was suspended during it. The peer's confirmation is then out of date.
func TestFetchInterruptedBySuspension(t *testing.T) {
	requester, machine := newSuspendableServer(t)
	requester.opts.Decode = func([]byte) (*fleet.Config, error) { return fleet.NewConfig(fleet.Parts{Version: 2}), nil }
	provider := newServerWithState(t, time.Now())
	heardAt := time.Now()
	p := &peers.Peer{
		Heartbeat:       peers.Heartbeat{Identity: peers.Identity{ID: "giver", Address: servePeer(t, provider)}, ConfigVersion: 2},
		LastHeartbeatAt: heardAt, SentAfter: heardAt,
	}
	request := fetchRequest{Peer: p, requestedAt: suspension.NewStamp(machine.suspended)}
	machine.add(time.Minute)
	assert.ErrorContains(t, requester.fetcher.fetchConfig(context.Background(), request), "suspended")
	assert.Equal(t, requester.configCache.Version(), int64(1))
	request.requestedAt = suspension.NewStamp(machine.suspended)
	assert.NilError(t, requester.fetcher.fetchConfig(context.Background(), request))
	assert.Equal(t, requester.configCache.Version(), int64(2))
}

// gate blocks the callers of waitUntilOpen while it is closed.
type gate struct {
	mu       sync.Mutex
	isClosed bool
	opened   *sync.Cond
}

func newGate() *gate {
	g := &gate{}
	g.opened = sync.NewCond(&g.mu)
	return g
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isClosed = closed
	g.opened.Broadcast()
}

func (g *gate) waitUntilOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.isClosed {
		g.opened.Wait()
	}
}

// startPair starts two daemons that exchange heartbeats, and returns the first one. That one runs
// on the given machine, and its incoming datagrams pass inboxGate.
func startPair(t *testing.T, machine *suspendableMachine, inboxGate *gate) *Server {
	t.Helper()
	network := &fakeNetwork{random: rand.New(rand.NewPCG(1, 1)), inboxes: make(map[string]chan []byte)}
	optionsFor := func(id string) Options {
		return Options{
			Self: peers.Identity{ID: id, Incarnation: 1, Zone: "z", Address: id}, Bounds: Bounds{WorkerHeartbeatInterval: time.Second, AddressTTL: time.Second},
			Transport: network.transport(id), Source: (&fakeStore{}).source(), Logger: hclog.NewNullLogger(),
			Registry: leadership.Registry{Newest: noGrant, Add: addGrant},
		}
	}
	opts := optionsFor("sleeper")
	opts.Suspended = machine.suspended
	receive := opts.Transport.Receive
	opts.Transport.Receive = func(buffer []byte) (int, error) {
		n, err := receive(buffer)
		inboxGate.waitUntilOpen()
		return n, err
	}
	suspendableDaemon, err := New(opts)
	assert.NilError(t, err)
	other, err := New(optionsFor("other"))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	now := time.Now()
	for _, s := range []*Server{suspendableDaemon, other} {
		setState(s, now)
		s.membersReadAt.Store(&now)
		s.agent.Table().Learn(suspendableDaemon.opts.Self, now)
		s.agent.Table().Learn(other.opts.Self, now)
		tasks.Go(func() { s.agent.Run(ctx) })
	}
	tasks.Go(func() { suspendableDaemon.elector.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		// Wait until the datagrams in transit have arrived.
		time.Sleep(time.Second)
	})
	return suspendableDaemon
}

// TestQueuedHeartbeatsAfterSuspension checks that a leader steps down after a suspension.
// Heartbeats that arrived before the suspension and are read after it must count as old.
func TestQueuedHeartbeatsAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine, inboxGate := &suspendableMachine{}, newGate()
		s := startPair(t, machine, inboxGate)
		time.Sleep(6 * time.Second)
		own, _, _ := s.elector.State()
		assert.Assert(t, own != nil, "the daemon does not lead")
		inboxGate.setClosed(true)
		time.Sleep(350 * time.Millisecond)
		machine.add(time.Minute)
		inboxGate.setClosed(false)
		synctest.Wait()
		own, _, _ = s.elector.State()
		assert.Assert(t, own == nil, "the leader did not step down")
		assert.Assert(t, !s.agent.Table().HasCaughtUp(time.Now()), "peers are judged by outdated heartbeats")
		alive := s.agent.Table().Alive(time.Now())
		assert.Equal(t, len(alive), 1)
		sentAgo := time.Since(alive[0].SentAfter)
		assert.Assert(t, sentAgo >= time.Minute && sentAgo < time.Minute+time.Second, "the queued heartbeat counts as sent %s ago", sentAgo)
	})
}

func noGrant(context.Context) (leadership.RegistryState, error) {
	return leadership.RegistryState{}, nil
}

func addGrant(context.Context, peers.Grant, int64) (bool, error) { return true, nil }

// TestHeartbeatAgesAfterSuspension checks that the first heartbeat after a suspension reports ages
// that include it.
func TestHeartbeatAgesAfterSuspension(t *testing.T) {
	s, machine := newSuspendableServer(t)
	machine.add(time.Minute)
	var h peers.Heartbeat
	s.fillHeartbeat(&h, time.Now())
	assert.Assert(t, h.ConfigAge >= time.Minute.Milliseconds(), "%d ms", h.ConfigAge)
	assert.Assert(t, h.WorkersAge >= time.Minute.Milliseconds(), "%d ms", h.WorkersAge)
}

// TestSuspendedLeaderSendsNoOrders checks that a leader detects a suspension before it sends an
// order.
func TestSuspendedLeaderSendsNoOrders(t *testing.T) {
	s, machine := newSuspendableServer(t)
	opts := s.formationOptions(peers.Claim{Epoch: 1})
	machine.add(time.Minute)
	opts.CheckSuspension()
	assert.Assert(t, s.proxy.IsConfigStale(time.Now()))
}

// TestGrantsAfterSuspension checks that the elector takes suspensions into account; its behavior
// is tested in package leadership.
func TestGrantsAfterSuspension(t *testing.T) {
	machine := &suspendableMachine{}
	opts := optionsOf(t, &fakeStore{})
	opts.Suspended = machine.suspended
	s, err := New(opts)
	assert.NilError(t, err)
	machine.add(time.Minute)
	assert.Equal(t, s.electorOptions().Suspended(), time.Minute)
}

// TestReadsAfterSuspension checks that the follower takes suspensions into account; its behavior
// is tested in package fleet.
func TestReadsAfterSuspension(t *testing.T) {
	machine := &suspendableMachine{}
	opts := optionsOf(t, &fakeStore{})
	opts.Suspended = machine.suspended
	read := make(chan struct{}, 16)
	opts.Source.ReadConfig = func(context.Context) (fleet.ConfigUpdate, error) {
		machine.add(time.Minute)
		read <- struct{}{}
		return fleet.ConfigUpdate{Config: newCrashingConfig(), Next: 1}, nil
	}
	s, err := New(opts)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go s.follower.Run(ctx)
	<-read
	<-s.configCache.Changed()
	assert.Assert(t, time.Since(s.configCache.Confirmed()) >= time.Minute)
	cancel()
	<-s.follower.Done()
}

// TestRetriesAfterSuspension suspends a machine during the first attempt of a request. There must
// be no second attempt, because the key may have been revoked. Connections to workers from before a
// suspension must not be used again.
func TestRetriesAfterSuspension(t *testing.T) {
	f := newCrashingFleet(t, 0, 2)
	machine := &suspendableMachine{}
	opts := optionsOf(t, &fakeStore{})
	opts.Suspended, opts.Names, opts.Bounds.Budget = machine.suspended, crashingHeaders, proxy.RetryBudget{Ratio: 1, Window: 10 * time.Second, ExtraRetries: 100}
	var dials, suspendDuringDial atomic.Int64
	opts.DialWorker = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		if suspendDuringDial.Load() > 0 {
			machine.add(time.Duration(suspendDuringDial.Load()))
			return nil, errClosed
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	s, err := New(opts)
	assert.NilError(t, err)
	now := time.Now()
	s.configCache.Offer(newCrashingConfig(), now)
	s.isSettled.Store(true)
	var changes []fleet.Change
	for _, w := range f.heads {
		changes = append(changes, fleet.Change{ID: w.ID, Worker: w})
	}
	s.inventory.Replace(changes, 1, now)
	const count = 8
	for range count {
		assert.Equal(t, statusFor(s), http.StatusOK)
	}
	dialsBefore := dials.Load()
	assert.Assert(t, dialsBefore <= int64(len(f.heads)))
	machine.add(time.Second)
	assert.Equal(t, statusFor(s), http.StatusOK)
	assert.Equal(t, dials.Load(), dialsBefore+1, "a connection from before the suspension was used")
	s.proxy.CloseIdleConnections()
	suspendDuringDial.Store(int64(time.Minute))
	assert.Equal(t, statusFor(s), http.StatusServiceUnavailable)
	assert.Equal(t, dials.Load(), dialsBefore+2, "the request was sent again with an unconfirmed key")
}

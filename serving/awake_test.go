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

	"quartzshelf.dev/common/awake"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/leadership"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/relay"
)

// slumber is the suspensions of a test's machine.
type slumber struct{ total atomic.Int64 }

func (s *slumber) suspended() time.Duration { return time.Duration(s.total.Load()) }

func (s *slumber) add(asleep time.Duration) { s.total.Add(int64(asleep)) }

// newSleeper returns a daemon that knows a configuration with one key, and its machine.
func newSleeper(t *testing.T) (*Server, *slumber) {
	t.Helper()
	machine := &slumber{}
	opts := optionsOf(t, &fakeStore{})
	opts.Suspended, opts.Names = machine.suspended, crashingNames
	s, err := New(opts)
	assert.NilError(t, err)
	s.beliefs.Offer(crashingConfig(), time.Now())
	s.inventory.Replace(nil, 1, time.Now())
	s.settledOnce.Store(true)
	return s, machine
}

// statusFor returns what a caller with the key is answered.
func statusFor(s *Server) int {
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/safe/", nil)
	request.Host = "h"
	request.Header.Set(crashingNames.Attempt, "request")
	request.Header.Set(crashingNames.Key, "key")
	s.relay.ServeHTTP(answer, request)
	return answer.Code
}

// TestKeysTakenAwayDuringASuspension: a machine was suspended for a minute, in which the key
// was taken away. Its daemon served the key until its first read of the store came back: the
// steady clock stood still, by which the configuration seemed fresh. It is to reject requests
// until the configuration is confirmed again.
func TestKeysTakenAwayDuringASuspension(t *testing.T) {
	s, machine := newSleeper(t)
	assert.Assert(t, !s.relay.BeliefTooOld(time.Now()))
	machine.add(time.Minute)
	assert.Equal(t, statusFor(s), http.StatusServiceUnavailable)
	assert.Assert(t, s.relay.BeliefTooOld(time.Now()), "keys were judged by the configuration of before")
	assert.Assert(t, time.Since(s.inventory.Confirmed()) > time.Minute)
	s.beliefs.ConfirmRead(time.Now())
	assert.Assert(t, !s.relay.BeliefTooOld(time.Now()))
}

// TestAShortSuspensionChangesNothing: what is known stays in force within its bounds.
func TestAShortSuspensionChangesNothing(t *testing.T) {
	s, machine := newSleeper(t)
	machine.add(time.Second)
	s.awake.Check()
	assert.Assert(t, !s.relay.BeliefTooOld(time.Now()))
}

// TestHallsCloseOverASuspension: a hall was closing when the machine was suspended beyond the
// time by which it had to be empty.
func TestHallsCloseOverASuspension(t *testing.T) {
	s, machine := newSleeper(t)
	s.halls = fleet.NewHalls(5 * time.Second)
	s.halls.Take(fleet.HallNews{Whole: true}, 4, time.Now())
	s.halls.Take(fleet.HallNews{Whole: true, Changes: []fleet.HallChange{{Hall: "z", Closed: true}}}, 5, time.Now())
	assert.Equal(t, s.halls.View().State("z", time.Now()), fleet.HallClosing)
	machine.add(time.Minute)
	s.awake.Check()
	assert.Equal(t, s.halls.View().State("z", time.Now()), fleet.HallClosed)
}

// TestFetchesOverASuspension: a daemon asked a peer for the configuration that the peer had
// shown as confirmed a moment before, and was suspended before it had the answer. That it was
// the newest is then long ago.
func TestFetchesOverASuspension(t *testing.T) {
	taker, machine := newSleeper(t)
	taker.opts.Decode = func([]byte) (*fleet.Config, error) { return fleet.NewConfig(fleet.Parts{Version: 2}), nil }
	giver := newServerThatKnows(t, time.Now())
	heard := time.Now()
	p := &peers.Peer{
		Heartbeat: peers.Heartbeat{Identity: peers.Identity{ID: "giver", Address: servePeer(t, giver)}, ConfigVersion: 2},
		HeardAt:   heard, SentAfter: heard,
	}
	w := wish{Peer: p, wanted: awake.NewStamp(machine.suspended)}
	machine.add(time.Minute)
	assert.ErrorContains(t, taker.fetcher.fetchConfig(context.Background(), w), "suspended")
	assert.Equal(t, taker.beliefs.Version(), int64(1))
	w.wanted = awake.NewStamp(machine.suspended)
	assert.NilError(t, taker.fetcher.fetchConfig(context.Background(), w))
	assert.Equal(t, taker.beliefs.Version(), int64(2))
}

// gate holds back what comes to a daemon while it is closed.
type gate struct {
	mu     sync.Mutex
	closed bool
	opened *sync.Cond
}

func newGate() *gate {
	g := &gate{}
	g.opened = sync.NewCond(&g.mu)
	return g
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	g.opened.Broadcast()
}

func (g *gate) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.closed {
		g.opened.Wait()
	}
}

// startPair starts the reporting of a daemon on a machine that can be suspended and of another
// one, and returns the first. What comes to it has to pass the gate.
func startPair(t *testing.T, machine *slumber, inbox *gate) *Server {
	t.Helper()
	network := &fakeNetwork{random: rand.New(rand.NewPCG(1, 1)), inboxes: make(map[string]chan []byte)}
	optionsFor := func(id string) Options {
		return Options{
			Self: peers.Identity{ID: id, Incarnation: 1, Zone: "z", Address: id}, Bounds: Bounds{Heartbeat: time.Second, KeepEntries: time.Second},
			Transport: network.transport(id), Source: (&fakeStore{}).source(), Logger: hclog.NewNullLogger(),
			Registry: leadership.Registry{Newest: noGrant, Add: addsGrants},
		}
	}
	opts := optionsFor("sleeper")
	opts.Suspended = machine.suspended
	receive := opts.Transport.Receive
	opts.Transport.Receive = func(buffer []byte) (int, error) {
		n, err := receive(buffer)
		inbox.pass()
		return n, err
	}
	sleeper, err := New(opts)
	assert.NilError(t, err)
	other, err := New(optionsFor("other"))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var duties conc.WaitGroup
	now := time.Now()
	for _, s := range []*Server{sleeper, other} {
		learn(s, now)
		s.metAt.Store(&now)
		s.agent.Table().Learn(sleeper.opts.Self, now)
		s.agent.Table().Learn(other.opts.Self, now)
		duties.Go(func() { s.agent.Run(ctx) })
	}
	duties.Go(func() { sleeper.elector.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		duties.Wait()
		// Datagrams that are on their way arrive.
		time.Sleep(time.Second)
	})
	return sleeper
}

// TestHeartbeatsThatWaitedConfirmNothing: heartbeats reached a machine just before it was
// suspended for a minute, and were read when it woke. The leader that ran there went on, and
// its peers' word of that time counted as fresh.
func TestHeartbeatsThatWaitedConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine, inbox := &slumber{}, newGate()
		s := startPair(t, machine, inbox)
		time.Sleep(6 * time.Second)
		own, _, _ := s.elector.State()
		assert.Assert(t, own != nil, "the daemon does not lead")
		inbox.set(true)
		time.Sleep(350 * time.Millisecond)
		machine.add(time.Minute)
		inbox.set(false)
		synctest.Wait()
		own, _, _ = s.elector.State()
		assert.Assert(t, own == nil, "the leader goes on")
		assert.Assert(t, !s.agent.Table().HasCaughtUp(time.Now()), "others are judged by heartbeats of before")
		alive := s.agent.Table().Alive(time.Now())
		assert.Equal(t, len(alive), 1)
		ago := time.Since(alive[0].SentAfter)
		assert.Assert(t, ago >= time.Minute && ago < time.Minute+time.Second, "%s ago by what waited", ago)
	})
}

func noGrant(context.Context) (leadership.Found, error) { return leadership.Found{}, nil }

func addsGrants(context.Context, peers.Grant, int64) (bool, error) { return true, nil }

// TestASuspendedDaemonTellsTheAgeOfWhatItKnows: its first heartbeat after a suspension told its
// peers that a configuration of a minute ago was the newest.
func TestASuspendedDaemonTellsTheAgeOfWhatItKnows(t *testing.T) {
	s, machine := newSleeper(t)
	machine.add(time.Minute)
	var h peers.Heartbeat
	s.compose(&h, time.Now())
	assert.Assert(t, h.ConfigAge >= time.Minute.Milliseconds(), "%d ms", h.ConfigAge)
	assert.Assert(t, h.WorkersAge >= time.Minute.Milliseconds(), "%d ms", h.WorkersAge)
}

// TestASuspendedLeaderGivesNoOrder: what its term was based on is of before.
func TestASuspendedLeaderGivesNoOrder(t *testing.T) {
	s, machine := newSleeper(t)
	opts := s.formationOptions(peers.Claim{Epoch: 1})
	machine.add(time.Minute)
	opts.Awake()
	assert.Assert(t, s.relay.BeliefTooOld(time.Now()))
}

// TestGrantsOverASuspension: see the test of the same name of package leadership.
func TestGrantsOverASuspension(t *testing.T) {
	machine := &slumber{}
	opts := optionsOf(t, &fakeStore{})
	opts.Suspended = machine.suspended
	s, err := New(opts)
	assert.NilError(t, err)
	machine.add(time.Minute)
	assert.Equal(t, s.electorOptions().Suspended(), time.Minute)
}

// TestReadsOverASuspension: see the test of the same name of package fleet.
func TestReadsOverASuspension(t *testing.T) {
	machine := &slumber{}
	opts := optionsOf(t, &fakeStore{})
	opts.Suspended = machine.suspended
	read := make(chan struct{}, 16)
	opts.Source.ReadConfig = func(context.Context) (fleet.ConfigNews, error) {
		machine.add(time.Minute)
		read <- struct{}{}
		return fleet.ConfigNews{Config: crashingConfig(), Next: 1}, nil
	}
	s, err := New(opts)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go s.follower.Run(ctx)
	<-read
	<-s.beliefs.Changed()
	assert.Assert(t, time.Since(s.beliefs.Confirmed()) >= time.Minute)
	cancel()
	<-s.follower.Done()
}

// TestRetriesAfterASuspension: a machine was suspended while a request's first attempt was
// under way, and the key was taken away meanwhile. The second attempt was made by it. The
// connections kept to workers are opened anew.
func TestRetriesAfterASuspension(t *testing.T) {
	f := newCrashingFleet(t, 0, 2)
	machine := &slumber{}
	opts := optionsOf(t, &fakeStore{})
	opts.Suspended, opts.Names, opts.Bounds.Budget = machine.suspended, crashingNames, relay.BudgetOptions{Ratio: 1, Window: 10 * time.Second, Extra: 100}
	var dials, asleep atomic.Int64
	opts.DialWorker = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		if asleep.Load() > 0 {
			machine.add(time.Duration(asleep.Load()))
			return nil, errClosed
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	s, err := New(opts)
	assert.NilError(t, err)
	now := time.Now()
	s.beliefs.Offer(crashingConfig(), now)
	s.settledOnce.Store(true)
	var changes []fleet.Change
	for _, w := range f.heads {
		changes = append(changes, fleet.Change{ID: w.ID, Worker: w})
	}
	s.inventory.Replace(changes, 1, now)
	const several = 8
	for range several {
		assert.Equal(t, statusFor(s), http.StatusOK)
	}
	opened := dials.Load()
	assert.Assert(t, opened <= int64(len(f.heads)))
	machine.add(time.Second)
	assert.Equal(t, statusFor(s), http.StatusOK)
	assert.Equal(t, dials.Load(), opened+1, "a connection of before was used")
	s.relay.Slept()
	asleep.Store(int64(time.Minute))
	assert.Equal(t, statusFor(s), http.StatusServiceUnavailable)
	assert.Equal(t, dials.Load(), opened+2, "the request was sent again by the key of before")
}

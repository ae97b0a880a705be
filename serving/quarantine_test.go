package serving

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/formation"
	"quartzshelf.dev/leadership"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/quarantine"
)

// TestStartingDaemonLearnsQuarantine checks that a starting daemon learns from its peers which
// requests are quarantined, and refuses them.
func TestStartingDaemonLearnsQuarantine(t *testing.T) {
	f := newCrashingFleet(t, 2, 12)
	for i := range 4 {
		assert.Assert(t, f.send(f.daemons[i%2], "/safe/", "key", crashingBody) != http.StatusOK)
	}
	crashesBefore := f.crashCount.Load()
	startingDaemon := f.startDaemon()
	for range 20 {
		if len(startingDaemon.proxy.Guard().Table().Marks(time.Now())) > 0 {
			break
		}
		time.Sleep(heartbeatWait / 2)
	}
	assert.Equal(t, f.send(startingDaemon, "/safe/", "key", crashingBody), http.StatusServiceUnavailable)
	assert.Equal(t, f.crashCount.Load(), crashesBefore)
	assert.Equal(t, f.send(startingDaemon, "/safe/", "other", "another body"), http.StatusOK)
}

// TestQuarantineCutsOffPendingStreams checks that a stream waiting at a head is cut off when
// another daemon quarantines its request.
func TestQuarantineCutsOffPendingStreams(t *testing.T) {
	f := newCrashingFleet(t, 2, 2)
	status := make(chan int)
	go func() { status <- f.send(f.daemons[0], "/stream/", "key", waitingBody) }()
	for range 100 {
		if f.waitingCount.Load() > 0 {
			break
		}
		time.Sleep(heartbeatWait / 100)
	}
	waiting := quarantine.FingerprintOf("account", http.MethodPost, "h", "/stream/", []byte(waitingBody))
	now := time.Now()
	for i := range 3 {
		ended := now.Add(time.Duration(i-3) * time.Second)
		f.daemons[1].proxy.Guard().Blame(waiting, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended})
	}
	assert.Equal(t, <-status, http.StatusBadGateway, "it may have run")
	assert.Equal(t, f.daemons[0].meter.Refusals()[reason.Quarantined], int64(1))
}

// TestWorkerAddressReused checks that a worker counts as crashed if another worker responds at its
// address.
func TestWorkerAddressReused(t *testing.T) {
	tests := map[string]struct {
		err      error
		isBlamed bool
	}{
		"the worker is alive":            {},
		"another worker has its address": {err: formation.ErrWrongWorker, isBlamed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashingFleet(t, 1, 2)
			d := f.daemons[0]
			d.opts.Orders.QueryState = func(context.Context, *fleet.Worker) (formation.WorkerState, error) {
				return formation.WorkerState{}, test.err
			}
			assert.Equal(t, f.send(d, "/once/", "key", breakingBody), http.StatusBadGateway)
			assert.Equal(t, !d.proxy.Guard().Table().Empty(), test.isBlamed)
		})
	}
}

// TestLeaderReadsMarks checks that a daemon that becomes leader reads the stored marks.
func TestLeaderReadsMarks(t *testing.T) {
	f, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), time.Now()
	marks := &fakeMarks{stored: map[quarantine.Fingerprint]quarantine.Mark{
		f: {Fingerprint: f, MarkedAt: now, Until: now.Add(time.Hour), Rounds: 1},
	}}
	s := newServer(t, &fakeStore{})
	s.opts.QuarantineMarks = marks.store()
	s.opts.Registry = leadership.Registry{
		Newest: func(context.Context) (leadership.RegistryState, error) { return leadership.RegistryState{}, nil },
		Add:    func(context.Context, peers.Grant, int64) (bool, error) { return true, nil },
	}
	s.elector = leadership.NewElector(s.electorOptions())
	front, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx, front) }()
	for range 200 {
		if s.proxy.Guard().Table().State(f, time.Now()).Quarantined {
			break
		}
		time.Sleep(heartbeatWait / 10)
	}
	assert.Assert(t, s.proxy.Guard().Table().State(f, time.Now()).Quarantined)
	cancel()
	<-s.Done()
}

// fakeNetwork carries datagrams between daemons in virtual time. It loses the share lossRate of
// them at random.
type fakeNetwork struct {
	mu       sync.Mutex
	random   *rand.Rand
	lossRate float64
	inboxes  map[string]chan []byte
}

func (n *fakeNetwork) inbox(address string) chan []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inboxes[address] == nil {
		n.inboxes[address] = make(chan []byte, 1<<12)
	}
	return n.inboxes[address]
}

func (n *fakeNetwork) drawsLoss() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.lossRate
}

// transport returns the transport of a daemon at an address.
func (n *fakeNetwork) transport(address string) peers.Transport {
	inbox, closed := n.inbox(address), make(chan struct{})
	return peers.Transport{
		Send: func(to string, datagram []byte) error {
			const delay = 1400 * time.Microsecond
			copied := slices.Clone(datagram)
			if !n.drawsLoss() {
				time.AfterFunc(delay, func() { n.inbox(to) <- copied })
			}
			return nil
		},
		Receive: func(buffer []byte) (int, error) {
			select {
			case datagram := <-inbox:
				return copy(buffer, datagram), nil
			case <-closed:
				return 0, errClosed
			}
		},
		Close: func() error {
			close(closed)
			return nil
		},
	}
}

// TestQuarantineReachesAllDaemons lets one daemon in each of three halls detect a crash. Every
// daemon must know of the resulting quarantine within a second, also with relays and packet loss.
func TestQuarantineReachesAllDaemons(t *testing.T) {
	tests := map[string]struct {
		perHall  int
		lossRate float64
	}{
		"a small fleet":                   {perHall: 2},
		"a small fleet that loses 3 %":    {perHall: 2, lossRate: 0.03},
		"a fleet with relays":             {perHall: 20},
		"a fleet with relays, 3 % losses": {perHall: 20, lossRate: 0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const halls = 3
				all := startFakeFleet(t, halls, test.perHall, test.lossRate)
				time.Sleep(5 * time.Second)
				f, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), time.Now()
				for hall := range halls {
					s := all[(hall+1)*test.perHall-1]
					ended := now.Add(time.Duration(hall-halls) * time.Second)
					s.proxy.Guard().Blame(f, quarantine.Crash{Worker: fmt.Sprint(hall), Sent: ended, Ended: ended})
				}
				time.Sleep(time.Second)
				for _, s := range all {
					assert.Assert(t, s.proxy.Guard().Table().State(f, time.Now()).Quarantined, "%s does not know of the quarantine", s.opts.Self.ID)
				}
			})
		})
	}
}

// TestPartQuarantineReachesAllDaemons guards against daemons of which each knows only some of the
// crashes that a part of prompts caused, or only some of the parts that were there.
func TestPartQuarantineReachesAllDaemons(t *testing.T) {
	for name, perHall := range map[string]int{"a small fleet": 2, "a fleet with relays": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const halls, crashCount = 3, 6
				all := startFakeFleet(t, halls, perHall, 0.03)
				time.Sleep(5 * time.Second)
				first, crashing := quarantine.PartOf("a", "first"), quarantine.PartOf("a", "crashing")
				for i := range crashCount {
					now := time.Now()
					s := all[(i%halls+1)*perHall-1-i/halls]
					s.proxy.Guard().PartTable().BlameParts([]quarantine.Part{first, crashing}, quarantine.Crash{Worker: fmt.Sprint(i), Sent: now.Add(-time.Millisecond), Ended: now}, now)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(time.Second)
				for _, s := range all {
					s.proxy.Guard().Sweep(time.Now())
					assert.Assert(t, s.proxy.Guard().IsQuarantined(crashing.Fingerprint, time.Now()), "%s does not know of the quarantine", s.opts.Self.ID)
					assert.Assert(t, !s.proxy.Guard().IsQuarantined(first.Fingerprint, time.Now()), "%s holds the first part responsible", s.opts.Self.ID)
				}
			})
		})
	}
}

// TestMarkIsSentAtOnce checks that daemons report a quarantine to their peers at once, rather than
// with the next regular heartbeat. Relays must forward it at once, too.
func TestMarkIsSentAtOnce(t *testing.T) {
	tests := map[string]int{"a small fleet": 2, "a fleet with relays": 20}
	for name, perHall := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startFakeFleet(t, 3, perHall, 0)
				time.Sleep(5 * time.Second)
				f, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), time.Now()
				for i := range 3 {
					ended := now.Add(time.Duration(i-3) * time.Second)
					all[len(all)-1].proxy.Guard().Blame(f, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended})
				}
				const threeHops = 20 * time.Millisecond
				time.Sleep(threeHops)
				for _, s := range all {
					assert.Assert(t, s.proxy.Guard().Table().State(f, time.Now()).Quarantined, "%s does not know of the quarantine", s.opts.Self.ID)
				}
			})
		})
	}
}

// startFakeFleet starts daemons that know of each other and exchange heartbeats.
func startFakeFleet(t *testing.T, halls, perHall int, lossRate float64) []*Server {
	t.Helper()
	network := &fakeNetwork{random: rand.New(rand.NewPCG(1, 1)), lossRate: lossRate, inboxes: make(map[string]chan []byte)}
	var all []*Server
	var tasks conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for i := range halls * perHall {
		id := fmt.Sprintf("daemon-%d", i)
		store := &fakeStore{}
		s, err := New(Options{
			Self:   peers.Identity{ID: id, Incarnation: 1, Zone: fmt.Sprintf("hall-%d", i/perHall), Address: id},
			Bounds: Bounds{WorkerHeartbeatInterval: time.Second, AddressTTL: time.Second}, Transport: network.transport(id),
			Source: store.source(), MemberList: MemberList{Register: store.register, Read: store.read}, Logger: hclog.NewNullLogger(),
		})
		assert.NilError(t, err)
		all = append(all, s)
	}
	for _, s := range all {
		for _, other := range all {
			s.agent.Table().Learn(other.opts.Self, time.Now())
		}
		tasks.Go(func() { s.agent.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		// Wait until the datagrams in transit have arrived.
		time.Sleep(time.Second)
	})
	return all
}

// TestReceivedCrashesAreNotRepeated checks that a daemon that is neither leader nor relay reports
// only crashes that it detected itself.
func TestReceivedCrashesAreNotRepeated(t *testing.T) {
	s, now := newServer(t, &fakeStore{}), time.Now()
	entry := quarantine.Entry{
		Fingerprint: quarantine.FingerprintOf("a", "POST", "h", "/", nil),
		Crashes:     []quarantine.CrashReport{{Worker: "w", Sent: 20, Ended: 10}},
	}
	s.onHeartbeat(&peers.Peer{Heartbeat: peers.Heartbeat{Identity: peers.Identity{ID: "b"}, Quarantine: []quarantine.Entry{entry}}, LastHeartbeatAt: now})
	assert.Equal(t, s.proxy.Guard().Table().State(entry.Fingerprint, now).Crashes, 1)
	var h peers.Heartbeat
	s.fillHeartbeat(&h, now)
	assert.Equal(t, len(h.Quarantine), 0)
}

// fakeMarks is a store of marks in memory.
type fakeMarks struct {
	mu            sync.Mutex
	stored        map[quarantine.Fingerprint]quarantine.Mark
	isUnavailable bool
	reads         int
	// invalid holds the errors that read returns for invalid records.
	invalid []error
}

func (f *fakeMarks) store() QuarantineMarkStore {
	return QuarantineMarkStore{Read: f.read, Write: f.write}
}

func (f *fakeMarks) read(context.Context) ([]quarantine.Mark, []error, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.isUnavailable {
		return nil, nil, errUnavailable
	}
	var all []quarantine.Mark
	for _, m := range f.stored {
		all = append(all, m)
	}
	return all, f.invalid, nil
}

func (f *fakeMarks) write(_ context.Context, m quarantine.Mark) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isUnavailable {
		return errUnavailable
	}
	if m.Until.IsZero() {
		delete(f.stored, m.Fingerprint)
		return nil
	}
	f.stored[m.Fingerprint] = m
	return nil
}

// quarantineRequest quarantines a request in a daemon.
func quarantineRequest(s *Server, f quarantine.Fingerprint, now time.Time) {
	for i := range 3 {
		ended := now.Add(time.Duration(i-3) * time.Second)
		s.proxy.Guard().Table().Blame(f, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended}, now)
	}
}

// TestMarksSurviveRestartOfAllDaemons checks that a leader stores the marks of quarantined
// requests. After a restart of all daemons, the next leader must read them and report them to its
// peers.
func TestMarksSurviveRestartOfAllDaemons(t *testing.T) {
	marks := &fakeMarks{stored: make(map[quarantine.Fingerprint]quarantine.Mark)}
	f, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), time.Now()
	newSyncer := func() (*Server, *markSyncer) {
		s := newServer(t, &fakeStore{})
		s.opts.QuarantineMarks = marks.store()
		return s, &markSyncer{server: s, stored: make(map[quarantine.Fingerprint]storedMark)}
	}
	before, k := newSyncer()
	quarantineRequest(before, f, now)
	marks.isUnavailable = true
	k.sync(context.Background(), now)
	assert.Equal(t, len(marks.stored), 0)
	marks.isUnavailable = false
	k.sync(context.Background(), now.Add(marksRetryDelay))
	k.sync(context.Background(), now.Add(2*marksRetryDelay))
	assert.Equal(t, len(marks.stored), 1)
	assert.Equal(t, marks.reads, 2, "known marks are not read again")

	after, k := newSyncer()
	assert.Assert(t, !after.proxy.Guard().Table().State(f, now).Quarantined)
	k.sync(context.Background(), now)
	assert.Assert(t, after.proxy.Guard().Table().State(f, now).Quarantined)
	var h peers.Heartbeat
	after.fillHeartbeat(&h, now)
	assert.Equal(t, len(h.Quarantine), 1)
}

// TestInvalidMarkRecords checks that marks are read and written although the store holds an invalid
// record. The invalid record must be logged only once.
func TestInvalidMarkRecords(t *testing.T) {
	marks := &fakeMarks{stored: make(map[quarantine.Fingerprint]quarantine.Mark), invalid: []error{errors.New("no mark")}}
	var lines bytes.Buffer
	s, now := newServer(t, &fakeStore{}), time.Now()
	s.opts.QuarantineMarks, s.logger = marks.store(), hclog.New(&hclog.LoggerOptions{Output: &lines})
	k := &markSyncer{server: s, stored: make(map[quarantine.Fingerprint]storedMark)}
	quarantineRequest(s, quarantine.FingerprintOf("a", "POST", "h", "/", nil), now)
	k.sync(context.Background(), now)
	k.sync(context.Background(), now.Add(marksReadInterval))
	assert.Equal(t, marks.reads, 2)
	assert.Equal(t, len(marks.stored), 1)
	assert.Equal(t, strings.Count(lines.String(), "invalid records of quarantined requests"), 1)
}

// TestOperatorLiftsMark checks that a mark is lifted some time after an operator removed it from
// the store. A mark that daemons clear after a successful run must be removed from the store.
func TestOperatorLiftsMark(t *testing.T) {
	marks := &fakeMarks{stored: make(map[quarantine.Fingerprint]quarantine.Mark)}
	s := newServer(t, &fakeStore{})
	s.opts.QuarantineMarks = marks.store()
	k := &markSyncer{server: s, stored: make(map[quarantine.Fingerprint]storedMark)}
	f, other, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), quarantine.FingerprintOf("b", "POST", "h", "/", nil), time.Now()
	quarantineRequest(s, f, now)
	quarantineRequest(s, other, now)
	syncAfter := func(after time.Duration) { k.sync(context.Background(), now.Add(after)) }
	syncAfter(0)
	assert.Equal(t, len(marks.stored), 2)

	removed := marks.stored[f]
	delete(marks.stored, f)
	syncAfter(marksReadInterval)
	assert.Assert(t, s.proxy.Guard().Table().State(f, now).Quarantined, "a stale read lifts nothing")
	marks.stored[f] = removed
	syncAfter(2 * marksReadInterval)
	delete(marks.stored, f)
	marks.isUnavailable = true
	syncAfter(3 * marksReadInterval)
	assert.Assert(t, s.proxy.Guard().Table().State(f, now).Quarantined, "a failed read lifts nothing")
	marks.isUnavailable = false
	syncAfter(4 * marksReadInterval)
	assert.Assert(t, !s.proxy.Guard().Table().State(f, now).Quarantined)
	assert.Assert(t, s.proxy.Guard().Table().State(other, now).Quarantined)

	s.proxy.Guard().Table().Clear(other, now.Add(4*marksReadInterval))
	syncAfter(4 * marksReadInterval)
	assert.Equal(t, len(marks.stored), 0)
}

func TestReplacedWorker(t *testing.T) {
	tests := map[string]struct {
		err                    error
		isReplaced, wantsError bool
	}{
		"it responds":                    {},
		"another worker has its address": {err: formation.ErrWrongWorker, isReplaced: true},
		"a wrapped error":                {err: fmt.Errorf("ask: %w", formation.ErrWrongWorker), isReplaced: true},
		"the state is unknown":           {err: errors.New("no answer"), wantsError: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, &fakeStore{})
			s.opts.Orders.QueryState = func(context.Context, *fleet.Worker) (formation.WorkerState, error) {
				return formation.WorkerState{}, test.err
			}
			replaced, err := s.isReplaced(context.Background(), &fleet.Worker{ID: "w"})
			assert.Equal(t, replaced, test.isReplaced)
			assert.Equal(t, err != nil, test.wantsError)
		})
	}
}

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

// TestDaemonThatStartsLaterKnows: a daemon that starts when a request is quarantined hears of
// it from its peers, and refuses the request.
func TestDaemonThatStartsLaterKnows(t *testing.T) {
	f := newCrashingFleet(t, 2, 12)
	for i := range 4 {
		assert.Assert(t, f.send(f.daemons[i%2], "/safe/", "key", crashingBody) != http.StatusOK)
	}
	ended := f.ended.Load()
	young := f.startDaemon()
	for range 20 {
		if len(young.relay.Guard().Table().Marks(time.Now())) > 0 {
			break
		}
		time.Sleep(heartbeats / 2)
	}
	assert.Equal(t, f.send(young, "/safe/", "key", crashingBody), http.StatusServiceUnavailable)
	assert.Equal(t, f.ended.Load(), ended)
	assert.Equal(t, f.send(young, "/safe/", "other", "another body"), http.StatusOK)
}

// TestReportsCutOffWhatWaits: a stream that waits at a head is cut off when another daemon
// quarantines its request.
func TestReportsCutOffWhatWaits(t *testing.T) {
	f := newCrashingFleet(t, 2, 2)
	answered := make(chan int)
	go func() { answered <- f.send(f.daemons[0], "/stream/", "key", waitingBody) }()
	for range 100 {
		if f.waiting.Load() > 0 {
			break
		}
		time.Sleep(heartbeats / 100)
	}
	waiting := quarantine.FingerprintOf("account", http.MethodPost, "h", "/stream/", []byte(waitingBody))
	now := time.Now()
	for i := range 3 {
		ended := now.Add(time.Duration(i-3) * time.Second)
		f.daemons[1].relay.Guard().Blame(waiting, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended})
	}
	assert.Equal(t, <-answered, http.StatusBadGateway, "it may have run")
	assert.Equal(t, f.daemons[0].meter.Refusals()[reason.Quarantined], int64(1))
}

// TestAnotherLifeAtTheAddress: a worker whose address another life has by the time that
// anybody looks has ended.
func TestAnotherLifeAtTheAddress(t *testing.T) {
	tests := map[string]struct {
		err    error
		blamed bool
	}{
		"it lives":                {},
		"another has its address": {err: formation.ErrElsewhere, blamed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashingFleet(t, 1, 2)
			d := f.daemons[0]
			d.opts.Orders.Ask = func(context.Context, *fleet.Worker) (formation.State, error) { return formation.State{}, test.err }
			assert.Equal(t, f.send(d, "/once/", "key", breakingBody), http.StatusBadGateway)
			assert.Equal(t, !d.relay.Guard().Table().Empty(), test.blamed)
		})
	}
}

// TestLeaderKeepsMarks runs a whole daemon that comes to lead: it reads what is kept.
func TestLeaderKeepsMarks(t *testing.T) {
	f, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), time.Now()
	marks := &fakeMarks{kept: map[quarantine.Fingerprint]quarantine.Mark{
		f: {Fingerprint: f, MarkedAt: now, Until: now.Add(time.Hour), Rounds: 1},
	}}
	s := newServer(t, &fakeStore{})
	s.opts.Marks = marks.store()
	s.opts.Registry = leadership.Registry{
		Newest: func(context.Context) (leadership.Found, error) { return leadership.Found{}, nil },
		Add:    func(context.Context, peers.Grant, int64) (bool, error) { return true, nil },
	}
	s.elector = leadership.NewElector(s.electorOptions())
	front, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx, front) }()
	for range 200 {
		if s.relay.Guard().Table().State(f, time.Now()).Quarantined {
			break
		}
		time.Sleep(heartbeats / 10)
	}
	assert.Assert(t, s.relay.Guard().Table().State(f, time.Now()).Quarantined)
	cancel()
	<-s.Done()
}

// fakeNetwork carries datagrams between daemons in a test's own time.
type fakeNetwork struct {
	mu      sync.Mutex
	random  *rand.Rand
	loss    float64
	inboxes map[string]chan []byte
}

func (n *fakeNetwork) inbox(address string) chan []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inboxes[address] == nil {
		n.inboxes[address] = make(chan []byte, 1<<12)
	}
	return n.inboxes[address]
}

func (n *fakeNetwork) lost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.loss
}

// transport returns what a daemon at an address sends and receives with.
func (n *fakeNetwork) transport(address string) peers.Transport {
	inbox, closed := n.inbox(address), make(chan struct{})
	return peers.Transport{
		Send: func(to string, datagram []byte) error {
			const delay = 1400 * time.Microsecond
			copied := slices.Clone(datagram)
			if !n.lost() {
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

// TestQuarantineReachesAllDaemons: three daemons of different halls see a crash each. Every
// daemon knows within a second, also where relays pass reports on and links lose packets;
// the bound is three seconds.
func TestQuarantineReachesAllDaemons(t *testing.T) {
	tests := map[string]struct {
		perHall int
		loss    float64
	}{
		"a small fleet":                   {perHall: 2},
		"a small fleet that loses 3 %":    {perHall: 2, loss: 0.03},
		"a fleet with relays":             {perHall: 20},
		"a fleet with relays, 3 % losses": {perHall: 20, loss: 0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const halls = 3
				all := fakeFleet(t, halls, test.perHall, test.loss)
				time.Sleep(5 * time.Second)
				f, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), time.Now()
				for hall := range halls {
					s := all[(hall+1)*test.perHall-1]
					ended := now.Add(time.Duration(hall-halls) * time.Second)
					s.relay.Guard().Blame(f, quarantine.Crash{Worker: fmt.Sprint(hall), Sent: ended, Ended: ended})
				}
				time.Sleep(time.Second)
				for _, s := range all {
					assert.Assert(t, s.relay.Guard().Table().State(f, time.Now()).Quarantined, "%s does not know", s.opts.Self.ID)
				}
			})
		})
	}
}

// TestMarkIsToldAtOnce: what quarantines a request does not wait for heartbeats, by way of
// relays neither.
func TestMarkIsToldAtOnce(t *testing.T) {
	tests := map[string]int{"a small fleet": 2, "a fleet with relays": 20}
	for name, perHall := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := fakeFleet(t, 3, perHall, 0)
				time.Sleep(5 * time.Second)
				f, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), time.Now()
				for i := range 3 {
					ended := now.Add(time.Duration(i-3) * time.Second)
					all[len(all)-1].relay.Guard().Blame(f, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended})
				}
				const threeHops = 20 * time.Millisecond
				time.Sleep(threeHops)
				for _, s := range all {
					assert.Assert(t, s.relay.Guard().Table().State(f, time.Now()).Quarantined, "%s does not know", s.opts.Self.ID)
				}
			})
		})
	}
}

// fakeFleet starts the reporting of daemons that know of each other.
func fakeFleet(t *testing.T, halls, perHall int, loss float64) []*Server {
	t.Helper()
	network := &fakeNetwork{random: rand.New(rand.NewPCG(1, 1)), loss: loss, inboxes: make(map[string]chan []byte)}
	var all []*Server
	var duties conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for i := range halls * perHall {
		id := fmt.Sprintf("daemon-%d", i)
		store := &fakeStore{}
		s, err := New(Options{
			Self:   peers.Identity{ID: id, Incarnation: 1, Zone: fmt.Sprintf("hall-%d", i/perHall), Address: id},
			Bounds: Bounds{Heartbeat: time.Second, KeepEntries: time.Second}, Transport: network.transport(id),
			Source: store.source(), MemberList: MemberList{Register: store.register, Read: store.read}, Logger: hclog.NewNullLogger(),
		})
		assert.NilError(t, err)
		all = append(all, s)
	}
	for _, s := range all {
		for _, other := range all {
			s.agent.Table().Learn(other.opts.Self, time.Now())
		}
		duties.Go(func() { s.agent.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		duties.Wait()
		// Datagrams that are on their way arrive.
		time.Sleep(time.Second)
	})
	return all
}

// TestHeardOnlyIsNotToldAgain: a daemon that passes nothing on tells what it saw alone.
func TestHeardOnlyIsNotToldAgain(t *testing.T) {
	s, now := newServer(t, &fakeStore{}), time.Now()
	entry := quarantine.Entry{
		Fingerprint: quarantine.FingerprintOf("a", "POST", "h", "/", nil),
		Crashes:     []quarantine.CrashReport{{Worker: "w", Sent: 20, Ended: 10}},
	}
	s.heard(&peers.Peer{Heartbeat: peers.Heartbeat{Identity: peers.Identity{ID: "b"}, Quarantine: []quarantine.Entry{entry}}, HeardAt: now})
	assert.Equal(t, s.relay.Guard().Table().State(entry.Fingerprint, now).Crashes, 1)
	var h peers.Heartbeat
	s.compose(&h, now)
	assert.Equal(t, len(h.Quarantine), 0)
}

// fakeMarks keeps marks as a test sets them.
type fakeMarks struct {
	mu    sync.Mutex
	kept  map[quarantine.Fingerprint]quarantine.Mark
	away  bool
	reads int
	// refused is what is said of records that are no marks.
	refused []error
}

func (f *fakeMarks) store() MarkStore { return MarkStore{Read: f.read, Write: f.write} }

func (f *fakeMarks) read(context.Context) ([]quarantine.Mark, []error, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.away {
		return nil, nil, errAway
	}
	var all []quarantine.Mark
	for _, m := range f.kept {
		all = append(all, m)
	}
	return all, f.refused, nil
}

func (f *fakeMarks) write(_ context.Context, m quarantine.Mark) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return errAway
	}
	if m.Until.IsZero() {
		delete(f.kept, m.Fingerprint)
		return nil
	}
	f.kept[m.Fingerprint] = m
	return nil
}

// quarantineIn quarantines a request in a daemon.
func quarantineIn(s *Server, f quarantine.Fingerprint, now time.Time) {
	for i := range 3 {
		ended := now.Add(time.Duration(i-3) * time.Second)
		s.relay.Guard().Table().Blame(f, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended}, now)
	}
}

// TestMarksOutliveAllDaemons: a leader keeps what is quarantined; when all daemons have ended
// at once, the next leader knows of it, and tells its peers.
func TestMarksOutliveAllDaemons(t *testing.T) {
	marks := &fakeMarks{kept: make(map[quarantine.Fingerprint]quarantine.Mark)}
	f, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), time.Now()
	keeper := func() (*Server, *markKeeper) {
		s := newServer(t, &fakeStore{})
		s.opts.Marks = marks.store()
		return s, &markKeeper{server: s, kept: make(map[quarantine.Fingerprint]keptMark)}
	}
	before, k := keeper()
	quarantineIn(before, f, now)
	marks.away = true
	k.look(context.Background(), now)
	assert.Equal(t, len(marks.kept), 0)
	marks.away = false
	k.look(context.Background(), now.Add(readMarksAgain))
	k.look(context.Background(), now.Add(2*readMarksAgain))
	assert.Equal(t, len(marks.kept), 1)
	assert.Equal(t, marks.reads, 2, "what is known is not read again and again")

	after, k := keeper()
	assert.Assert(t, !after.relay.Guard().Table().State(f, now).Quarantined)
	k.look(context.Background(), now)
	assert.Assert(t, after.relay.Guard().Table().State(f, now).Quarantined)
	var h peers.Heartbeat
	after.compose(&h, now)
	assert.Equal(t, len(h.Quarantine), 1)
}

// TestRecordsThatAreNoMarks: what another writer put beside the marks keeps none from being
// read or kept, and is told once.
func TestRecordsThatAreNoMarks(t *testing.T) {
	marks := &fakeMarks{kept: make(map[quarantine.Fingerprint]quarantine.Mark), refused: []error{errors.New("no mark")}}
	var lines bytes.Buffer
	s, now := newServer(t, &fakeStore{}), time.Now()
	s.opts.Marks, s.logger = marks.store(), hclog.New(&hclog.LoggerOptions{Output: &lines})
	k := &markKeeper{server: s, kept: make(map[quarantine.Fingerprint]keptMark)}
	quarantineIn(s, quarantine.FingerprintOf("a", "POST", "h", "/", nil), now)
	k.look(context.Background(), now)
	k.look(context.Background(), now.Add(readMarksEvery))
	assert.Equal(t, marks.reads, 2)
	assert.Equal(t, len(marks.kept), 1)
	assert.Equal(t, strings.Count(lines.String(), "not understood"), 1)
}

// TestOperatorLiftsAMark: a mark that is removed from where it is kept is lifted at the next
// reading, and one that ended by a completed run is removed there.
func TestOperatorLiftsAMark(t *testing.T) {
	marks := &fakeMarks{kept: make(map[quarantine.Fingerprint]quarantine.Mark)}
	s := newServer(t, &fakeStore{})
	s.opts.Marks = marks.store()
	k := &markKeeper{server: s, kept: make(map[quarantine.Fingerprint]keptMark)}
	f, other, now := quarantine.FingerprintOf("a", "POST", "h", "/", nil), quarantine.FingerprintOf("b", "POST", "h", "/", nil), time.Now()
	quarantineIn(s, f, now)
	quarantineIn(s, other, now)
	look := func(after time.Duration) { k.look(context.Background(), now.Add(after)) }
	look(0)
	assert.Equal(t, len(marks.kept), 2)

	held := marks.kept[f]
	delete(marks.kept, f)
	look(readMarksEvery)
	assert.Assert(t, s.relay.Guard().Table().State(f, now).Quarantined, "an answer that is behind lifts nothing")
	marks.kept[f] = held
	look(2 * readMarksEvery)
	delete(marks.kept, f)
	marks.away = true
	look(3 * readMarksEvery)
	assert.Assert(t, s.relay.Guard().Table().State(f, now).Quarantined, "what can't be read lifts nothing")
	marks.away = false
	look(4 * readMarksEvery)
	assert.Assert(t, !s.relay.Guard().Table().State(f, now).Quarantined)
	assert.Assert(t, s.relay.Guard().Table().State(other, now).Quarantined)

	s.relay.Guard().Table().Clear(other, now.Add(4*readMarksEvery))
	look(4 * readMarksEvery)
	assert.Equal(t, len(marks.kept), 0)
}

func TestReplacedWorker(t *testing.T) {
	tests := map[string]struct {
		err            error
		replaced, fail bool
	}{
		"it answers":                   {},
		"another has its address":      {err: formation.ErrElsewhere, replaced: true},
		"a wrapped word of another":    {err: fmt.Errorf("ask: %w", formation.ErrElsewhere), replaced: true},
		"nothing is known for certain": {err: errors.New("no answer"), fail: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, &fakeStore{})
			s.opts.Orders.Ask = func(context.Context, *fleet.Worker) (formation.State, error) { return formation.State{}, test.err }
			replaced, err := s.replaced(context.Background(), &fleet.Worker{ID: "w"})
			assert.Equal(t, replaced, test.replaced)
			assert.Equal(t, err != nil, test.fail)
		})
	}
}

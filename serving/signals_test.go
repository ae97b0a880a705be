package serving

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/proxy"
)

var signalHeaders = proxy.HeaderNames{
	AttemptID: "X-Attempt", Deadline: "X-Deadline", Key: "X-Key", Tenant: "X-Tenant", Instance: "X-Instance",
	NotRun: "X-Not-Run", Signature: "X-Signature", Model: "X-Model", Usage: "X-Usage",
	LastEventID: "Last-Event-Id", Priority: "X-Priority",
	Signals: backpressure.HeaderNames{Limit: "X-Limit", Leaving: "X-Leaving"},
}

var errHeadClosed = errors.New("the head is closed")

// signalHead is the head of a replica, or a worker that serves alone, in virtual time.
type signalHead struct {
	id string
	// signal sets headers of a response, given the time since the start of the fleet. If it returns
	// false, the head rejects the request. It may be nil.
	signal         func(h http.Header, at time.Duration) bool
	processingTime time.Duration
	// process, if not nil, processes a request before its response.
	process func(r *http.Request)

	start  time.Time
	conns  chan net.Conn
	mu     sync.Mutex
	events []headEvent
}

// headEvent is a request that arrived at a head, or a response with a limit that a daemon received.
// Times count from the start of the fleet.
type headEvent struct {
	at     time.Duration
	daemon string
	// limitReceivedAt is when the daemon received a response with a limit. It is never if the event
	// is a request.
	limitReceivedAt time.Duration
	// isRejected reports that the head rejected the request.
	isRejected bool
}

const never = time.Duration(1<<63 - 1)

// daemonConn is a connection from the daemon with a given id.
type daemonConn struct {
	net.Conn
	daemon string
}

// daemonAddr is the id of a daemon or head, used as a network address.
type daemonAddr string

func (daemonAddr) Network() string  { return "test" }
func (a daemonAddr) String() string { return string(a) }

func (c daemonConn) RemoteAddr() net.Addr { return daemonAddr(c.daemon) }

// Accept, Close and Addr implement net.Listener, so that an http.Server can serve the head.
func (h *signalHead) Accept() (net.Conn, error) {
	c, ok := <-h.conns
	if !ok {
		return nil, errHeadClosed
	}
	return c, nil
}

func (h *signalHead) Close() error {
	close(h.conns)
	return nil
}

func (h *signalHead) Addr() net.Addr { return daemonAddr(h.id) }

// ServeHTTP responds with a stream of one event, or rejects the request.
func (h *signalHead) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	at := time.Since(h.start)
	isRejected := h.signal != nil && !h.signal(w.Header(), at)
	h.mu.Lock()
	h.events = append(h.events, headEvent{at: at, daemon: r.RemoteAddr, limitReceivedAt: never, isRejected: isRejected})
	h.mu.Unlock()
	w.Header().Set(signalHeaders.AttemptID, r.Header.Get(signalHeaders.AttemptID))
	if isRejected {
		w.Header().Set(signalHeaders.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		h.recordLimit(r.RemoteAddr, w.Header())
		return
	}
	time.Sleep(h.processingTime)
	if h.process != nil {
		h.process(r)
	}
	w.Header().Set(signalHeaders.Signature, h.id)
	_, _ = io.WriteString(w, "id: 1\ndata: whole\n\n")
	h.recordLimit(r.RemoteAddr, w.Header())
}

// recordLimit records that a daemon received a response, if the response holds a limit.
func (h *signalHead) recordLimit(daemon string, header http.Header) {
	if header.Get(signalHeaders.Signals.Limit) == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, headEvent{at: never, daemon: daemon, limitReceivedAt: time.Since(h.start)})
}

// arrivalsAfterLimit returns the arrival times of the requests from daemons that had received a
// limit at least delay before, in ascending order.
func (h *signalHead) arrivalsAfterLimit(delay time.Duration) []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	firstLimitAt := make(map[string]time.Duration)
	var all []time.Duration
	for _, a := range h.events {
		limitReceivedAt, known := firstLimitAt[a.daemon]
		switch {
		case a.limitReceivedAt != never && !known:
			firstLimitAt[a.daemon] = a.limitReceivedAt
		case a.limitReceivedAt == never && known && a.at-limitReceivedAt >= delay:
			all = append(all, a.at)
		}
	}
	slices.Sort(all)
	return all
}

// countArrivals returns the number of requests that arrived within a period.
func (h *signalHead) countArrivals(from, to time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.events {
		if from <= a.at && a.at < to {
			n++
		}
	}
	return n
}

// pipeListener accepts connections within the process.
type pipeListener struct {
	id     string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener(id string) *pipeListener {
	return &pipeListener{id: id, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// dial connects a daemon to the listener.
func (l *pipeListener) dial(daemon string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- daemonConn{Conn: far, daemon: daemon}:
		return near, nil
	case <-l.closed:
		return nil, errHeadClosed
	}
}

// Accept, Close and Addr implement net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, errHeadClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return daemonAddr(l.id) }

// slotsPerHead is the number of requests that a head processes at once.
const slotsPerHead = 17

// signalEngine has steps of 40 ms, plus 2 ms per request.
var signalEngine = &fleet.Engine{
	Slots: slotsPerHead, PrefillPerSecond: 45_900, Step: 8 * time.Millisecond, StepPerRequest: 400 * time.Microsecond,
	Stride: 5, MeanAnswerTokens: 50,
}

// signalTimeout is the timeout of the routes of newSignalFleet.
const signalTimeout = 5 * time.Second

// newSignalConfig returns a configuration whose routes have the given timeout.
func newSignalConfig(version int64, timeout time.Duration) *fleet.Config {
	models, plain := []fleet.Target{{Service: "models", Weight: 1}}, []fleet.Target{{Service: "plain", Weight: 1}}
	return fleet.NewConfig(fleet.Parts{
		Version: version,
		Routes: []*fleet.Route{
			{Host: "h", Prefix: "/stream/", Kind: fleet.Stream, Timeout: timeout, MaxAttempts: 2, Resumable: true, Public: true, Targets: models},
			{Host: "h", Prefix: "/once/", Kind: fleet.NonIdempotent, Timeout: timeout, MaxAttempts: 2, Public: true, Targets: plain},
			{Host: "h", Prefix: "/safe/", Kind: fleet.Idempotent, Timeout: timeout, MaxAttempts: 2, Public: true, Targets: plain},
		},
		Services: []*fleet.Service{{Name: "models", Engine: signalEngine}, {Name: "plain"}},
	})
}

// signalFleet is a group of daemons that exchange heartbeats in virtual time. They send requests to
// the heads.
type signalFleet struct {
	t       *testing.T
	start   time.Time
	daemons []*Server
	heads   map[string]*signalHead
	random  *rand.Rand
	// path is the path of the requests; empty for streams.
	path string
	// fronts accept the connections of peers. isCut reports whether a daemon reaches no head.
	fronts map[string]*pipeListener
	isCut  func(daemon string) bool

	mu sync.Mutex
	// conns holds the connections of each daemon to heads.
	conns map[string][]net.Conn
	// sent is the number of requests sent. served and refused are the numbers of those with status
	// 200 and 503.
	sent, served, refused int
}

// newSignalFleet starts perHall daemons in each hall, in front of heads.
func newSignalFleet(t *testing.T, halls, perHall int, heads ...*signalHead) *signalFleet {
	t.Helper()
	f := &signalFleet{
		t: t, start: time.Now(), heads: make(map[string]*signalHead), random: rand.New(rand.NewPCG(1, 2)),
		fronts: make(map[string]*pipeListener), conns: make(map[string][]net.Conn), isCut: func(string) bool { return false },
	}
	network := &fakeNetwork{random: rand.New(rand.NewPCG(1, 1)), inboxes: make(map[string]chan []byte)}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	var servers []*http.Server
	for _, h := range heads {
		h.start, h.conns = f.start, make(chan net.Conn)
		f.heads[h.id] = h
		server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
		tasks.Go(func() { _ = server.Serve(h) })
		servers = append(servers, server)
	}
	regions := make(map[string]string)
	for hall := range halls {
		regions[fmt.Sprintf("hall-%d", hall)] = ""
	}
	for i := range halls * perHall {
		f.daemons = append(f.daemons, f.newDaemon(network, fmt.Sprintf("daemon-%d", i), fmt.Sprintf("hall-%d", i/perHall), regions))
	}
	for _, s := range f.daemons {
		f.startTasks(ctx, &tasks, s)
		front := newPipeListener(s.opts.Self.ID)
		f.fronts[s.opts.Self.ID] = front
		server := &http.Server{Handler: s.proxy, ReadHeaderTimeout: time.Minute}
		tasks.Go(func() { _ = server.Serve(front) })
		servers = append(servers, server)
	}
	t.Cleanup(func() {
		cancel()
		for _, server := range servers {
			_ = server.Close()
		}
		tasks.Wait()
		// Wait until the datagrams in transit have arrived.
		time.Sleep(time.Second)
	})
	return f
}

func (f *signalFleet) newDaemon(network *fakeNetwork, id, hall string, regions map[string]string) *Server {
	store := &fakeStore{}
	s, err := New(Options{
		Self:      peers.Identity{ID: id, Incarnation: 1, Zone: hall, Address: id, ServingAddress: id},
		Regions:   regions,
		Bounds:    Bounds{WorkerHeartbeatInterval: time.Second, AddressTTL: time.Second, LimitBound: backpressure.Bound{Burst: 1.5, Slack: 5, Window: limitWindow}, Budget: proxy.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: 100}},
		Names:     signalHeaders,
		Transport: network.transport(id),
		Source:    store.source(), MemberList: MemberList{Register: store.register, Read: store.read},
		DialWorker: func(_ context.Context, _, address string) (net.Conn, error) { return f.dial(id, address) },
		DialPeer:   func(_ context.Context, _, address string) (net.Conn, error) { return f.fronts[address].dial(id) },
		Logger:     hclog.NewNullLogger(),
	})
	assert.NilError(f.t, err)
	return s
}

// startTasks gives a daemon the configuration, the worker list and the identities of the fleet's
// daemons, and starts the tasks that are needed to route requests.
func (f *signalFleet) startTasks(ctx context.Context, tasks *conc.WaitGroup, s *Server) {
	now := time.Now()
	s.configCache.Offer(newSignalConfig(1, signalTimeout), now)
	var changes []fleet.Change
	for id := range f.heads {
		plain := id + "-plain"
		changes = append(changes,
			fleet.Change{ID: id, Worker: &fleet.Worker{
				ID: id, Service: "models", Address: id, Domain: "d", Slots: slotsPerHead, Loaded: "m",
				Member: fleet.Membership{Group: id, Epoch: 1, State: fleet.Open},
			}},
			fleet.Change{ID: plain, Worker: &fleet.Worker{ID: plain, Service: "plain", Address: id, Slots: slotsPerHead}})
	}
	s.inventory.Replace(changes, 1, now)
	s.isSettled.Store(true)
	s.membersReadAt.Store(&now)
	s.hasReadAllMembers.Store(true)
	for _, other := range f.daemons {
		s.agent.Table().Learn(other.opts.Self, now)
	}
	tasks.Go(func() { s.agent.Run(ctx) })
	tasks.Go(func() { s.proxy.Run(ctx) })
	tasks.Go(func() { s.watchSignals(ctx) })
}

// dial connects a daemon to a head.
func (f *signalFleet) dial(daemon, address string) (net.Conn, error) {
	if f.isCut(daemon) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	f.mu.Lock()
	f.conns[daemon] = append(f.conns[daemon], near)
	f.mu.Unlock()
	f.heads[address].conns <- daemonConn{Conn: far, daemon: daemon}
	return near, nil
}

// closeConns closes the connections of a daemon to heads.
func (f *signalFleet) closeConns(daemon string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns[daemon] {
		_ = c.Close()
	}
	delete(f.conns, daemon)
}

// call sends a request to a daemon and counts its response.
func (f *signalFleet) call(s *Server, id string) {
	request := httptest.NewRequest(http.MethodPost, cmp.Or(f.path, "/stream/"), strings.NewReader("body "+id))
	request.Host = "h"
	request.Header.Set(signalHeaders.AttemptID, id)
	request.Header.Set(signalHeaders.Model, "m")
	request.Header.Set(signalHeaders.Usage, "674,50")
	w := httptest.NewRecorder()
	s.proxy.ServeHTTP(w, request)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	switch w.Code {
	case http.StatusOK:
		f.served++
	case http.StatusServiceUnavailable:
		f.refused++
	}
}

// sendLoad sends requests at an average rate for a period, each to a random daemon.
func (f *signalFleet) sendLoad(perSecond float64, period time.Duration) {
	var calls sync.WaitGroup
	for end := time.Now().Add(period); time.Now().Before(end); {
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		s, id := f.daemons[f.random.IntN(len(f.daemons))], strconv.Itoa(f.random.Int())
		calls.Go(func() { f.call(s, id) })
	}
	calls.Wait()
}

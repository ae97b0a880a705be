package serving

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/proxy"
)

// linkState is the state of all links between a daemon and the workers.
type linkState int32

const (
	// linksUp delivers everything.
	linksUp linkState = iota
	// linksRefuse resets open connections and refuses new ones.
	linksRefuse
	// linksHang delivers nothing, and new connections are never accepted.
	linksHang
	// linksKept refuses new connections, while open ones go on.
	linksKept
)

// daemonLinks connects a daemon with the workers.
type daemonLinks struct {
	state atomic.Int32
	// refused holds the addresses at which no worker accepts connections; nil for none.
	refused atomic.Pointer[map[string]bool]

	mu    sync.Mutex
	conns []*linkConn
	// restored is closed when a hanging link delivers again.
	restored chan struct{}
}

// linkConn is a connection of a daemon to a worker.
type linkConn struct {
	net.Conn
	links *daemonLinks
}

func (l *daemonLinks) current() linkState { return linkState(l.state.Load()) }

// set changes the state of the links.
func (l *daemonLinks) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Store(int32(s))
	if l.restored != nil {
		close(l.restored)
	}
	l.restored = make(chan struct{})
	if s != linksRefuse {
		return
	}
	for _, c := range l.conns {
		if raw, ok := c.Conn.(*net.TCPConn); ok {
			_ = raw.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	l.conns = nil
}

func (l *daemonLinks) changed() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.restored == nil {
		l.restored = make(chan struct{})
	}
	return l.restored
}

// dial opens a connection to a worker. Like a dialer of the daemon, it gives up after a while.
func (l *daemonLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	const timeout = 500 * time.Millisecond
	refusal := &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	if all := l.refused.Load(); all != nil && (*all)[address] {
		return nil, refusal
	}
	switch l.current() {
	case linksRefuse, linksKept:
		return nil, refusal
	case linksHang:
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		case <-time.After(timeout):
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
	}
	raw, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: raw, links: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// Read delivers nothing while the links hang. Like a connection of the kernel, it ends at its deadline and
// when it is closed.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.links.current() == linksHang && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		changed := c.links.changed()
		if c.links.current() == linksHang {
			<-changed
		}
	}
	return n, err
}

// Write loses what is written while the links hang.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.links.current() == linksHang {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// linkFleet is a group of daemons on real ports, in front of workers.
type linkFleet struct {
	t       *testing.T
	daemons []*linkDaemon
	workers []*fleet.Worker
	// runsByRequest counts the runs of each request.
	mu            sync.Mutex
	runsByRequest map[string]int
	sentCount     atomic.Int64
}

// linkDaemon is a daemon whose links to all workers can be cut.
type linkDaemon struct {
	*Server
	links *daemonLinks
	url   string
}

// linkEvents is the number of events of a stream, which are linkEventInterval apart.
const (
	linkEvents        = 10
	linkEventInterval = 20 * time.Millisecond
)

func newLinkFleet(t *testing.T, daemonCount, workerCount int) *linkFleet {
	t.Helper()
	f := &linkFleet{t: t, runsByRequest: make(map[string]int)}
	for i := range workerCount {
		f.startWorker(fmt.Sprintf("w%d", i), i)
	}
	for i := range daemonCount {
		f.startDaemon(i)
	}
	return f
}

// startWorker starts a worker that heads a replica and serves the plain service.
func (f *linkFleet) startWorker(id string, index int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		request := r.Header.Get(crashingHeaders.AttemptID)
		f.mu.Lock()
		f.runsByRequest[request]++
		f.mu.Unlock()
		w.Header().Set(crashingHeaders.AttemptID, request)
		w.Header().Set(crashingHeaders.Signature, id)
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			_, _ = io.WriteString(w, "whole")
			return
		}
		first := 0
		// A missing header counts as 0. The stream then begins with the first event.
		_, _ = fmt.Sscan(r.Header.Get(crashingHeaders.LastEventID), &first)
		for n := first + 1; n <= linkEvents && r.Context().Err() == nil; n++ {
			time.Sleep(linkEventInterval)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, request)
			_ = http.NewResponseController(w).Flush()
		}
	})}
	plainListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	go func() { _ = server.Serve(listener) }()
	go func() { _ = server.Serve(plainListener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	hall := fmt.Sprintf("hall-%d", index%3)
	f.workers = append(f.workers,
		&fleet.Worker{ID: id, Service: "plain", Address: plainListener.Addr().String(), Zone: hall, Slots: 4},
		&fleet.Worker{
			ID: id + "-model", Service: "models", Address: listener.Addr().String(), Zone: hall, Domain: fmt.Sprintf("d%d", index/2), Slots: 17, Loaded: "m",
			Member: fleet.Membership{Group: id, Epoch: 1, State: fleet.Open},
		})
}

// startDaemon starts a daemon that knows the workers and the earlier daemons.
func (f *linkFleet) startDaemon(index int) {
	front, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(f.t, err)
	address := c.LocalAddr().String()
	assert.NilError(f.t, c.Close())
	store := &fakeStore{}
	links := &daemonLinks{}
	self := peers.Identity{ID: fmt.Sprintf("daemon-%d", index), Incarnation: 1, Zone: fmt.Sprintf("hall-%d", index/2), Address: address, ServingAddress: front.Addr().String()}
	s, err := New(Options{
		Self: self, Names: crashingHeaders, Source: store.source(), MemberList: MemberList{Register: store.register, Read: store.read},
		Bounds: Bounds{
			WorkerHeartbeatInterval: time.Second, RevocationBound: time.Hour, AddressTTL: time.Second,
			Budget: proxy.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: 100},
		},
		DialWorker: links.dial,
		Logger:     hclog.New(&hclog.LoggerOptions{Name: self.ID, Output: testLog{f.t}, Level: hclog.Warn}),
	})
	assert.NilError(f.t, err)
	now := time.Now()
	s.configCache.Offer(newCrashingConfig(), now)
	s.isSettled.Store(true)
	s.membersReadAt.Store(&now)
	s.hasReadAllMembers.Store(true)
	var changes []fleet.Change
	for _, w := range f.workers {
		changes = append(changes, fleet.Change{ID: w.ID, Worker: w})
	}
	s.inventory.Replace(changes, 1, now)
	for _, other := range f.daemons {
		s.agent.Table().Learn(other.opts.Self, now)
		other.agent.Table().Learn(self, now)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: s.proxy, ReadHeaderTimeout: time.Minute}
	var tasks conc.WaitGroup
	tasks.Go(func() { s.agent.Run(ctx) })
	tasks.Go(func() { s.proxy.Run(ctx) })
	tasks.Go(func() { _ = server.Serve(front) })
	f.t.Cleanup(func() {
		links.set(linksUp)
		_ = server.Close()
		cancel()
		tasks.Wait()
	})
	f.daemons = append(f.daemons, &linkDaemon{Server: s, links: links, url: "http://" + self.ServingAddress})
}

// call sends a request to a daemon over a new connection, and reports whether it was served whole
// and not run more often than its kind allows.
func (f *linkFleet) call(d *linkDaemon, path string) bool {
	id := fmt.Sprintf("request-%d", f.sentCount.Add(1))
	request, err := http.NewRequest(http.MethodPost, d.url+path, strings.NewReader("body of "+id))
	if err != nil {
		return false
	}
	request.Host = "h"
	request.Header.Set(crashingHeaders.AttemptID, id)
	request.Header.Set(crashingHeaders.Key, "key")
	request.Header.Set(crashingHeaders.Model, "m")
	request.Header.Set(crashingHeaders.Usage, "100,10")
	request.Header.Set(crashingHeaders.Deadline, "4000")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	f.mu.Lock()
	runs := f.runsByRequest[id]
	f.mu.Unlock()
	if path == "/once/" {
		assert.Check(f.t, runs <= 1, "%s ran %d times", id, runs)
		assert.Check(f.t, runs == 0 || response.StatusCode != http.StatusServiceUnavailable, "%s ran, but 503 promised the opposite", id)
	}
	isWhole := strings.Count(string(body), id) == linkEvents || path != "/stream/" && string(body) == "whole"
	return err == nil && response.StatusCode == http.StatusOK && isWhole
}

// callAll sends requests of all kinds to the given daemons for a while, and returns how many were
// sent and served.
func (f *linkFleet) callAll(daemons []*linkDaemon, period time.Duration) (sent, served int64) {
	var sentCount, servedCount atomic.Int64
	var calls conc.WaitGroup
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, d := range daemons {
			path := []string{"/stream/", "/safe/", "/stream/", "/once/"}[sentCount.Load()%4]
			sentCount.Add(1)
			calls.Go(func() {
				if f.call(d, path) {
					servedCount.Add(1)
				}
			})
		}
	}
	calls.Wait()
	return sentCount.Load(), servedCount.Load()
}

// countStalls counts the reports of stalled replicas at all daemons until the returned function is
// called.
func (f *linkFleet) countStalls(count *atomic.Int64) (stop func()) {
	const pollInterval = 50 * time.Millisecond
	stopped := make(chan struct{})
	var polling conc.WaitGroup
	polling.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(pollInterval):
			}
			for _, d := range f.daemons {
				count.Add(int64(len(d.suspicions.recentStalls(time.Now()))))
			}
		}
	})
	return func() {
		close(stopped)
		polling.Wait()
	}
}

// maxFailedFirstTries is the number of first attempts that may fail while daemons are cut off.
func maxFailedFirstTries(sent int64) int64 { return 10 + sent/50 }

// contactTime is the time that daemons have to adapt to a partition.
const contactTime = 3 * time.Second

// TestDaemonsCutOffFromWorkersServe guards against daemons that refuse requests which a peer could
// serve, because their own links to all workers are down.
func TestDaemonsCutOffFromWorkersServe(t *testing.T) {
	tests := map[string]struct {
		state linkState
		cut   []int
	}{
		"one of six, refused":               {state: linksRefuse, cut: []int{2}},
		"one of six, silent":                {state: linksHang, cut: []int{2}},
		"three of six, refused":             {state: linksRefuse, cut: []int{0, 2, 3}},
		"three of six, silent":              {state: linksHang, cut: []int{0, 2, 3}},
		"three of six, old connections run": {state: linksKept, cut: []int{0, 2, 3}},
		"a whole hall and more, refused":    {state: linksRefuse, cut: []int{0, 1, 2, 3, 4}},
		"a whole hall and more, silent":     {state: linksHang, cut: []int{0, 1, 2, 3, 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLinkFleet(t, 6, 12)
			f.callAll(f.daemons, heartbeatWait)
			var cut, others []*linkDaemon
			for i, d := range f.daemons {
				if slices.Contains(test.cut, i) {
					d.links.set(test.state)
					cut = append(cut, d)
					continue
				}
				others = append(others, d)
			}
			f.callAll(f.daemons, contactTime)
			sent, served := f.callAll(cut, time.Second)
			assert.Assert(t, sent-served <= maxFailedFirstTries(sent), "daemons that are cut off served %d of %d", served, sent)
			sent, served = f.callAll(others, time.Second)
			assert.Assert(t, sent-served <= maxFailedFirstTries(sent), "the others served %d of %d", served, sent)
			for _, d := range cut {
				d.links.set(linksUp)
			}
			time.Sleep(contactTime)
			sent, served = f.callAll(cut, time.Second)
			assert.Assert(t, sent-served <= maxFailedFirstTries(sent), "after the cut served %d of %d", served, sent)
			for _, d := range f.daemons {
				assert.Assert(t, d.IsReady(), "%s is not ready after the cut", d.opts.Self.ID)
			}
		})
	}
}

// TestDaemonsCutOffFromWorkersWithdraw guards against a directory that sends callers to daemons
// which reach no worker, and against peers that suspect replicas because of such a daemon's links.
func TestDaemonsCutOffFromWorkersWithdraw(t *testing.T) {
	for name, state := range map[string]linkState{"refused": linksRefuse, "silent": linksHang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLinkFleet(t, 6, 12)
			f.callAll(f.daemons, heartbeatWait)
			cut, other := f.daemons[3], f.daemons[0]
			cut.links.set(state)
			var stalls atomic.Int64
			stop := f.countStalls(&stalls)
			f.callAll(f.daemons, contactTime)
			stop()
			assert.Assert(t, !cut.IsReady())
			assert.Assert(t, !slices.Contains(other.AddressesFor(Caller{Host: "h"}), cut.opts.Self.ServingAddress))
			assert.Equal(t, len(other.AddressesFor(Caller{Host: "h"})), len(f.daemons)-1)
			assert.Equal(t, stalls.Load(), int64(0), "daemons report replicas as stalled")
			for _, d := range f.daemons {
				assert.Assert(t, d.proxy.Guard().Table().Empty(), "%s holds requests responsible", d.opts.Self.ID)
			}
		})
	}
}

// TestCutHallServesInALargerFleet guards against a data hall whose daemons refuse everything because
// none of them reaches a worker, and against callers that are turned to a single daemon instead.
func TestCutHallServesInALargerFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const halls, perHall, headCount = 5, 12, 60
		var heads []*signalHead
		for i := range headCount {
			heads = append(heads, &signalHead{id: fmt.Sprint("head-", i), processingTime: 50 * time.Millisecond})
		}
		f := newSignalFleet(t, halls, perHall, heads...)
		isCutOff := func(daemon string) bool {
			var index int
			_, err := fmt.Sscanf(daemon, "daemon-%d", &index)
			return err == nil && index < perHall
		}
		var cut atomic.Bool
		f.isCut = func(daemon string) bool { return cut.Load() && isCutOff(daemon) }
		f.sendLoad(300, 2*time.Second)
		cut.Store(true)
		for _, s := range f.daemons[:perHall] {
			f.closeConns(s.opts.Self.ID)
		}
		f.sendLoad(300, contactTime)
		sent, served := f.sent, f.served
		f.sendLoad(300, 5*time.Second)
		assert.Equal(t, f.served-served, f.sent-sent)
		for _, s := range f.daemons {
			assert.Equal(t, s.isFullyReady(), !isCutOff(s.opts.Self.ID), s.opts.Self.ID)
			assert.Assert(t, !slices.ContainsFunc(s.AddressesFor(Caller{Host: "h"}), isCutOff), s.opts.Self.ID)
			assert.Assert(t, len(s.AddressesFor(Caller{Host: "h"})) >= halls-1, s.opts.Self.ID)
			assert.Equal(t, len(s.suspicions.recentStalls(time.Now())), 0)
		}
		cut.Store(false)
		time.Sleep(contactTime)
		for _, s := range f.daemons {
			assert.Assert(t, slices.ContainsFunc(s.AddressesFor(Caller{Host: "h"}), isCutOff), s.opts.Self.ID)
		}
	})
}

// TestLeaderStaysWhenAPlainServiceIsGone guards against leaders that give up one after the other because
// no worker of a service without an engine accepts connections.
func TestLeaderStaysWhenAPlainServiceIsGone(t *testing.T) {
	f := newLinkFleet(t, 6, 12)
	refused := make(map[string]bool)
	for _, w := range f.workers {
		refused[w.Address] = w.Service == "plain"
	}
	d := f.daemons[0]
	d.links.refused.Store(&refused)
	time.Sleep(heartbeatWait)
	assert.Assert(t, f.call(d, "/once/"), "a peer serves it")
	assert.Assert(t, d.proxy.IsPartlyCutOff())
	assert.Assert(t, !d.isFullyReady())
	assert.Assert(t, d.IsReady(), "it serves the other service")
	assert.Assert(t, !d.isWorseLinked(), "it may lead")
	assert.Assert(t, f.call(d, "/stream/"))
	for _, other := range f.daemons[1:] {
		other.links.set(linksRefuse)
	}
	assert.Assert(t, !f.call(d, "/safe/"), "no daemon reaches a worker of the service")
}

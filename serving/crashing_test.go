package serving

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/proxy"
)

// The tests below guard against a request that crashes every worker that runs it and that the
// client sends repeatedly, under new ids and to different daemons. Limits that count by request id
// or by daemon would start again with each copy. Daemons must therefore share their records of
// crashes by the fingerprint of the request.

// crashingBody is the body of a request that crashes each worker that runs it. The worker closes
// the connection of a request with breakingBody, and never responds to one with waitingBody.
const (
	crashingBody = "ends each worker"
	breakingBody = "ends its connection"
	waitingBody  = "gets no answer"
)

var crashingHeaders = proxy.HeaderNames{
	AttemptID: "X-Attempt", Deadline: "X-Deadline", Key: "X-Key", Tenant: "X-Tenant", Instance: "X-Instance",
	NotRun: "X-Not-Run", Signature: "X-Signature", Model: "X-Model", Usage: "X-Usage",
	LastEventID: "Last-Event-Id", Priority: "X-Priority", Prefix: "X-Prefix",
}

// crashingFleet is a group of daemons that exchange heartbeats, in front of heads that crash when
// they run the crashing request.
type crashingFleet struct {
	t *testing.T

	mu      sync.Mutex
	daemons []*crashingDaemon
	heads   []*fleet.Worker
	// crashCount is the number of heads that crashed, sentCount the number of requests sent.
	crashCount, sentCount atomic.Int64
	// waitingCount is the number of requests with waitingBody that have reached a head.
	waitingCount atomic.Int64
	// restartsHeads makes heads restart, under new IDs, after they crashed. crashing records the requests
	// with the crashing part of a prompt, which crash them as well.
	restartsHeads atomic.Bool
	crashing      arrivals
}

// crashingDaemon is a daemon of a crashingFleet. It runs only the tasks that are needed to route
// requests.
type crashingDaemon struct {
	*Server
	frontServer *httptest.Server
}

func newCrashingFleet(t *testing.T, daemonCount, headCount int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{t: t}
	for i := range headCount {
		f.startHead(fmt.Sprintf("w%d", i))
	}
	for range daemonCount {
		f.startDaemon()
	}
	return f
}

// startHead starts a worker that is the head of an open replica. It also serves the service
// "plain".
func (f *crashingFleet) startHead(id string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	crash := sync.OnceFunc(func() {
		f.crashCount.Add(1)
		_ = server.Close()
		f.removeFromLists(id)
		if f.restartsHeads.Load() {
			time.AfterFunc(restartTime, func() { f.restartHead(id) })
		}
	})
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		parts := strings.Split(r.Header.Get(crashingHeaders.Prefix), ",")
		isCrashing := func(part string) bool { return strings.HasPrefix(part, crashingPart+":") }
		if slices.ContainsFunc(parts[:len(parts)-1], isCrashing) {
			f.crashing.recordSent()
			time.Sleep(crashDelay)
			f.crashing.recordCrash()
			crash()
			panic(http.ErrAbortHandler)
		}
		switch string(body) {
		case crashingBody:
			crash()
			panic(http.ErrAbortHandler)
		case breakingBody:
			panic(http.ErrAbortHandler)
		case waitingBody:
			f.waitingCount.Add(1)
			<-r.Context().Done()
			return
		}
		w.Header().Set(crashingHeaders.AttemptID, r.Header.Get(crashingHeaders.AttemptID))
		w.Header().Set(crashingHeaders.Signature, id)
		_, _ = io.WriteString(w, "id: 1\ndata: whole\n\n")
	})
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	address := listener.Addr().String()
	f.heads = append(f.heads,
		&fleet.Worker{ID: id, Service: "plain", Address: address, Slots: 4},
		&fleet.Worker{
			ID: id + "-model", Service: "models", Address: address, Domain: "d", Slots: 4, Loaded: "m",
			Member: fleet.Membership{Group: id, Epoch: 1, State: fleet.Open},
		})
}

// crashDelay is the time until a head crashes under a request with the crashing part.
const crashDelay = 50 * time.Millisecond

// stopRestarts stops the restarts of heads.
func (f *crashingFleet) stopRestarts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restartsHeads.Store(false)
}

// restartHead starts a head in place of one that crashed, and adds it to the lists of all daemons.
func (f *crashingFleet) restartHead(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.restartsHeads.Load() {
		return
	}
	known := len(f.heads)
	f.startHead(id + "'")
	var changes []fleet.Change
	for _, w := range f.heads[known:] {
		changes = append(changes, fleet.Change{ID: w.ID, Worker: w})
	}
	for _, d := range f.daemons {
		d.inventory.Apply(changes, d.inventory.Position()+1, time.Now())
	}
}

// removeFromLists removes a crashed head from the worker lists of all daemons.
func (f *crashingFleet) removeFromLists(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	isRemoved := func(w *fleet.Worker) bool { return w.ID == id || w.ID == id+"-model" }
	f.heads = slices.DeleteFunc(f.heads, isRemoved)
	for _, d := range f.daemons {
		d.inventory.Apply([]fleet.Change{{ID: id}, {ID: id + "-model"}}, d.inventory.Position()+1, time.Now())
	}
}

// startDaemon starts a daemon that knows the heads and the earlier daemons.
func (f *crashingFleet) startDaemon() *crashingDaemon {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(f.t, err)
	address := c.LocalAddr().String()
	assert.NilError(f.t, c.Close())
	store := &fakeStore{}
	self := peers.Identity{ID: fmt.Sprintf("daemon-%d", len(f.daemons)), Incarnation: 1, Zone: "z", Address: address, ServingAddress: address}
	s, err := New(Options{
		Self: self, Names: crashingHeaders, Source: store.source(), MemberList: MemberList{Register: store.register, Read: store.read},
		Bounds: Bounds{
			WorkerHeartbeatInterval: time.Second, RevocationBound: time.Hour, AddressTTL: time.Second,
			Budget: proxy.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: 1000},
		},
		Logger: hclog.New(&hclog.LoggerOptions{Name: self.ID, Output: testLog{f.t}, Level: hclog.Info}),
	})
	assert.NilError(f.t, err)
	s.configCache.Offer(newCrashingConfig(), time.Now())
	s.isSettled.Store(true)
	var changes []fleet.Change
	for _, w := range f.heads {
		changes = append(changes, fleet.Change{ID: w.ID, Worker: w})
	}
	s.inventory.Replace(changes, 1, time.Now())
	for _, other := range f.daemons {
		s.agent.Table().Learn(other.opts.Self, time.Now())
		other.agent.Table().Learn(self, time.Now())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { s.agent.Run(ctx) })
	tasks.Go(func() { s.proxy.Run(ctx) })
	d := &crashingDaemon{Server: s, frontServer: httptest.NewServer(s.proxy)}
	f.t.Cleanup(func() {
		d.frontServer.Close()
		cancel()
		tasks.Wait()
	})
	f.daemons = append(f.daemons, d)
	return d
}

// testLog writes a daemon's log lines to the log of its test.
type testLog struct{ t *testing.T }

func (l testLog) Write(line []byte) (int, error) {
	l.t.Log(strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}

func newCrashingConfig() *fleet.Config {
	plain, models := []fleet.Target{{Service: "plain", Weight: 1}}, []fleet.Target{{Service: "models", Weight: 1}}
	return fleet.NewConfig(fleet.Parts{
		Version: 1,
		Routes: []*fleet.Route{
			{Host: "h", Prefix: "/once/", Kind: fleet.NonIdempotent, Timeout: 5 * time.Second, MaxAttempts: 2, Targets: plain},
			{Host: "h", Prefix: "/safe/", Kind: fleet.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2, Targets: plain},
			{Host: "h", Prefix: "/stream/", Kind: fleet.Stream, Timeout: 5 * time.Second, MaxAttempts: 2, Resumable: true, Targets: models},
		},
		Services: []*fleet.Service{{Name: "plain"}, {Name: "models", Engine: &fleet.Engine{Slots: 4, PrefillPerSecond: 1000}}},
		Keys:     map[string]*fleet.Tenant{"key": {Name: "account"}, "other": {Name: "other account"}},
	})
}

// send sends a request to a daemon under a new id and returns the status, 0 if there is no
// response.
func (f *crashingFleet) send(d *crashingDaemon, path, key, body string) int {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, d.frontServer.URL+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Host = "h"
	request.Header.Set(crashingHeaders.AttemptID, fmt.Sprintf("request-%d", f.sentCount.Add(1)))
	request.Header.Set(crashingHeaders.Key, key)
	request.Header.Set(crashingHeaders.Model, "m")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// heartbeatWait is long enough for each daemon to receive a heartbeat from the others.
const heartbeatWait = 500 * time.Millisecond

// maxCrashes is the maximum number of workers that a repeated request may crash. Three crashes
// quarantine it, and attempts already in flight may cause three more.
const maxCrashes = 6

// TestRequestThatCrashesWorkers sends copies of the crashing request to daemons in turn. They may
// crash at most maxCrashes workers, and other requests must succeed in the meantime.
func TestRequestThatCrashesWorkers(t *testing.T) {
	tests := map[string]string{
		"a stream":                      "/stream/",
		"a request that is repeated":    "/safe/",
		"a request that runs only once": "/once/",
	}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const copies = 12
			f := newCrashingFleet(t, 3, 36)
			for i := range copies {
				d := f.daemons[i%len(f.daemons)]
				assert.Assert(t, f.send(d, path, "key", crashingBody) != http.StatusOK)
				assert.Equal(t, f.send(d, path, "key", "another body"), http.StatusOK)
				time.Sleep(heartbeatWait)
			}
			assert.Assert(t, f.crashCount.Load() <= maxCrashes, "%d workers ended", f.crashCount.Load())
		})
	}
}

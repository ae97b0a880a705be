package proxy

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

func (w *fakeWorker) connections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connectionCount
}

// withHeader makes the worker add a header to each answer.
func (w *fakeWorker) withHeader(header string) *fakeWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	if header != "" {
		w.extraHeader = header + "\r\n"
	}
	return w
}

// TestKeepAliveHeaders: each request must be answered, whatever a worker states about its
// connections. A connection must be reused if the worker keeps it, and only then.
func TestKeepAliveHeaders(t *testing.T) {
	const requests = 8
	tests := map[string]struct {
		header string
		opened int
	}{
		"says nothing":                        {opened: 1},
		"keeps for some seconds":              {header: "Keep-Alive: timeout=5", opened: 1},
		"keeps for a year":                    {header: "Keep-Alive: timeout=31536000", opened: 1},
		"keeps for longer than a clock tells": {header: "Keep-Alive: timeout=99999999999999999999", opened: 1},
		"keeps for no time":                   {header: "Keep-Alive: timeout=0", opened: requests},
		"keeps for less than no time":         {header: "Keep-Alive: timeout=-9999999999", opened: requests},
		"says what is no number":              {header: "Keep-Alive: timeout=NaN", opened: 1},
		"closes each connection":              {header: "Connection: close", opened: requests},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w").withHeader(test.header)
			_, server := newTestProxy(t, worker)
			for i := range requests {
				for _, path := range []string{"/safe/", "/stream/"} {
					got := sendRequest(t, server, path, strconv.Itoa(i)+path, nil)
					assert.Equal(t, got.status, 200, path)
					assert.Assert(t, got.isComplete, path)
				}
			}
			opened := test.opened
			if opened == requests {
				opened *= 2
			}
			assert.Equal(t, worker.connections(), opened)
		})
	}
}

// TestDroppedConnections: if a worker resets a kept connection, a request that may be repeated must
// be sent to it again. No answer may promise that the request did not run.
func TestDroppedConnections(t *testing.T) {
	tests := map[string]struct {
		path   string
		script []behaviour
		status int
		runs   int
	}{
		"may be repeated":    {path: "/safe/", script: []behaviour{answers, drops}, status: 200, runs: 1},
		"a stream":           {path: "/stream/", script: []behaviour{answers, drops}, status: 200, runs: 1},
		"must not run twice": {path: "/once/", script: []behaviour{answers, drops}, status: 502},
		"dropped again":      {path: "/safe/", script: []behaviour{answers, drops, drops}, status: 502},
		"turned away then, though it may have run": {path: "/safe/", script: []behaviour{answers, drops, rejects}, status: 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w", test.script...)
			_, server := newTestProxy(t, worker)
			assert.Equal(t, sendRequest(t, server, test.path, "first", nil).status, 200)
			assert.Equal(t, sendRequest(t, server, test.path, "second", nil).status, test.status)
			assert.Equal(t, worker.runs("second"), test.runs)
		})
	}
}

// TestResendsAreCounted checks that a request sent to the same worker again is exported as a retry.
func TestResendsAreCounted(t *testing.T) {
	r, server := newTestProxy(t, newFakeWorker(t, "w", answers, drops))
	assert.Equal(t, sendRequest(t, server, "/safe/", "first", nil).status, 200)
	assert.Equal(t, sendRequest(t, server, "/safe/", "second", nil).status, 200)
	assert.DeepEqual(t, r.opts.Meter.Retries(), map[reason.Reason]int64{reason.RetryResent: 1})
}

// TestResendsTakeFromBudget guards against requests that are sent to the same worker again although
// the retry budget is used up.
func TestResendsTakeFromBudget(t *testing.T) {
	tests := map[string]struct {
		extra  float64
		status int
		runs   int
	}{
		"a retry is left":  {extra: 2, status: 200, runs: 1},
		"no retry is left": {extra: 0, status: 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w", answers, drops)
			r, server := newTestProxy(t, worker)
			r.budget.opts.Ratio, r.budget.opts.ExtraRetries = 0, test.extra
			assert.Equal(t, sendRequest(t, server, "/safe/", "first", nil).status, 200)
			assert.Equal(t, sendRequest(t, server, "/safe/", "second", nil).status, test.status)
			assert.Equal(t, worker.runs("second"), test.runs)
			assert.Equal(t, r.budget.state("plain", time.Now()).retries, float64(test.runs))
		})
	}
}

// TestRefusedConnectionsTakeNoRetry guards against a retry budget that is used up by attempts which reached
// no worker.
func TestRefusedConnectionsTakeNoRetry(t *testing.T) {
	gone, sound := newFakeWorker(t, "gone"), newFakeWorker(t, "sound")
	assert.NilError(t, gone.listener.Close())
	r, server := newTestProxy(t, gone, sound)
	r.budget.opts.Ratio, r.budget.opts.ExtraRetries = 0, 0
	for i := range 20 {
		assert.Equal(t, sendRequest(t, server, "/once/", strconv.Itoa(i), nil).status, 200)
	}
	assert.Equal(t, r.budget.state("plain", time.Now()).retries, 0.0)
}

func TestKeepAliveFor(t *testing.T) {
	tests := map[string]struct {
		header string
		want   time.Duration
	}{
		"none":            {"", defaultKeepAlive},
		"seconds":         {"timeout=9", 8 * time.Second},
		"with a count":    {"max=100, timeout=9", 8 * time.Second},
		"the margin":      {"timeout=1", 0},
		"zero":            {"timeout=0", -keepAliveMargin},
		"a year":          {"timeout=31536000", maxKeepAlive},
		"beyond a clock":  {"timeout=99999999999999999999", maxKeepAlive},
		"not a number":    {"timeout=NaN", defaultKeepAlive},
		"negative beyond": {"timeout=-99999999999999999999", -keepAliveMargin},
		"words":           {"timeout=long", defaultKeepAlive},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, keepAliveFor(test.header), test.want)
		})
	}
}

// testConnection returns an open connection to a worker.
func testConnection(t *testing.T, worker *fakeWorker, service string) *connection {
	t.Helper()
	raw, err := net.Dial("tcp", worker.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return &connection{Conn: raw, worker: worker.id, service: service, reader: bufio.NewReader(raw)}
}

// TestIdleShareShrinks: each daemon keeps fewer connections as daemons join.
func TestIdleShareShrinks(t *testing.T) {
	worker := newFakeWorker(t, "w")
	u := newUpstream()
	share := 3
	u.idleShare = func(string) int { return share }
	for range 5 {
		u.put(testConnection(t, worker, "s"), time.Minute)
	}
	assert.Equal(t, len(u.idle["w"]), 3)
	share = 1
	u.sweep(time.Now())
	assert.Equal(t, len(u.idle["w"]), 1)
	share = 0
	u.sweep(time.Now())
	assert.Equal(t, u.idleCount, 0)
	u.put(testConnection(t, worker, "s"), time.Minute)
	assert.Equal(t, u.idleCount, 0)
	assert.Equal(t, len(u.idle), 0)
}

// TestIdleShare: all daemons together keep at most half of the connections that a worker accepts.
func TestIdleShare(t *testing.T) {
	tests := map[string]struct {
		maxConns, daemons, want int
	}{
		"a small fleet":                    {maxConns: 400, daemons: 3, want: maxIdlePerWorker},
		"a large fleet":                    {maxConns: 400, daemons: 100, want: 2},
		"more daemons than connections":    {maxConns: 100, daemons: 300, want: 0},
		"the worker's bound is not known":  {daemons: 300, want: maxIdlePerWorker},
		"the number of daemons is unknown": {maxConns: 100, want: maxIdlePerWorker},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			config := fleet.NewConfig(fleet.Parts{Services: []*fleet.Service{{Name: "s", MaxConns: test.maxConns}}})
			r := &Proxy{opts: Options{
				Config: func() *fleet.Config { return config },
				Budget: RetryBudget{Daemons: func() int { return test.daemons }},
			}}
			assert.Equal(t, r.idleShare("s"), test.want)
		})
	}
}

// TestSilentConnectionClosesTheOthers: after a connection fell silent, the idle connections to the
// same worker must be closed, so that they don't fail further requests.
func TestSilentConnectionClosesTheOthers(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	worker := &fakeWorker{id: "w", listener: silent}
	u := newUpstream()
	for range 3 {
		u.put(testConnection(t, worker, "s"), time.Minute)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(10*time.Millisecond, func() { cancel(errReplicaSilent) })
	_, err = u.send(ctx, &fleet.Worker{ID: "w", Service: "s", Address: silent.Addr().String()}, &message{encode: func() []byte { return []byte("GET / HTTP/1.1\r\n\r\n") }})
	assert.ErrorContains(t, err, errReplicaSilent.Error())
	assert.Equal(t, u.idleCount, 0)
}

// TestCallerDisconnectKeepsConnections: a disconnected caller must not close the worker's other
// connections.
func TestCallerDisconnectKeepsConnections(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	worker := &fakeWorker{id: "w", listener: silent}
	u := newUpstream()
	for range 3 {
		u.put(testConnection(t, worker, "s"), time.Minute)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = u.send(ctx, &fleet.Worker{ID: "w", Service: "s", Address: silent.Addr().String()}, &message{encode: func() []byte { return []byte("GET / HTTP/1.1\r\n\r\n") }})
	assert.ErrorContains(t, err, context.Canceled.Error())
	assert.Equal(t, u.idleCount, 2)
}

// TestEarlyDrops: a service counts as dropping connections early only after two of its workers have
// reset idle connections. A single worker may have restarted.
func TestEarlyDrops(t *testing.T) {
	now := time.Now()
	second := time.Second
	u := newUpstream()
	u.recordReset(&connection{worker: "a", service: "s", idleBefore: 2 * second}, now)
	u.recordReset(&connection{worker: "a", service: "s", idleBefore: 2 * second}, now)
	assert.Assert(t, !u.dropsEarly("s", 2*second, now), "one worker")
	u.recordReset(&connection{worker: "b", service: "s", idleBefore: 3 * second}, now)
	assert.Assert(t, u.dropsEarly("s", second, now))
	assert.Assert(t, !u.dropsEarly("s", second-1, now))
	assert.Assert(t, !u.dropsEarly("other", 3*second, now))
	u.recordReset(&connection{worker: "b", service: "s", idleBefore: second / 2}, now.Add(second))
	assert.Assert(t, u.dropsEarly("s", second, now.Add(earlyDropTTL)), "another reset extends it")
	assert.Assert(t, !u.dropsEarly("s", 3*second, now.Add(earlyDropTTL+second)), "it expires")
	assert.Assert(t, isReset(&sendError{cause: syscall.ECONNRESET}))
}

// pipedConnection returns a connection without a network.
func pipedConnection(worker string) *connection {
	near, _ := net.Pipe()
	return &connection{Conn: near, worker: worker, service: "s", reader: bufio.NewReader(near)}
}

// TestIdleConnectionsAreBounded: no sequence of operations exceeds a limit or returns a
// connection that was not idle.
func TestIdleConnectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := newUpstream()
		share := 2
		u.idleShare = func(string) int { return share }
		worker := rapid.SampledFrom([]string{"a", "b", "c"})
		idle := make(map[*connection]bool)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				c := pipedConnection(worker.Draw(t, "worker"))
				u.put(c, rapid.SampledFrom([]time.Duration{-time.Second, 0, time.Minute}).Draw(t, "keep"))
				idle[c] = true
			},
			"reuse": func(t *rapid.T) {
				id := worker.Draw(t, "worker")
				c := u.reuse(&fleet.Worker{ID: id}, rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "idleFor"))
				if c != nil {
					assert.Assert(t, idle[c] && c.worker == id)
					delete(idle, c)
				}
			},
			"distrust": func(t *rapid.T) { u.closeWorkerConnections(worker.Draw(t, "worker")) },
			"sweep":    func(*rapid.T) { u.sweep(time.Now()) },
			"share": func(t *rapid.T) {
				share = rapid.IntRange(0, 4).Draw(t, "share")
				u.sweep(time.Now())
			},
			"": func(t *rapid.T) {
				total := 0
				for id, all := range u.idle {
					total += len(all)
					assert.Assert(t, len(all) <= share, "%d at %s", len(all), id)
				}
				assert.Equal(t, u.idleCount, total)
			},
		})
	})
}

// TestIdleConnectionsOfADaemonAreBounded: the total limit holds over many workers.
func TestIdleConnectionsOfADaemonAreBounded(t *testing.T) {
	u := newUpstream()
	for i := range maxIdleTotal + 10 {
		u.put(pipedConnection(strconv.Itoa(i)), time.Minute)
	}
	assert.Equal(t, u.idleCount, maxIdleTotal)
	u.sweep(time.Now().Add(time.Hour))
	assert.Equal(t, u.idleCount, 0)
	u.put(pipedConnection("w"), time.Minute)
	assert.Equal(t, u.idleCount, 1)
}

// TestSuspensionClosesConnections: workers may close connections unnoticed while this machine is
// suspended, and requests that must not be repeated would be lost on them.
func TestSuspensionClosesConnections(t *testing.T) {
	worker := newFakeWorker(t, "w")
	r, server := newTestProxy(t, worker)
	for i := range 3 {
		assert.Equal(t, sendRequest(t, server, "/safe/", strconv.Itoa(i), nil).status, 200)
	}
	assert.Equal(t, worker.connections(), 1)
	r.CloseIdleConnections()
	assert.Equal(t, sendRequest(t, server, "/safe/", "after", nil).status, 200)
	assert.Equal(t, worker.connections(), 2)
}

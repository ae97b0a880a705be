package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
)

// refuseDial fails like a connection that is refused.
func refuseDial(_ context.Context, network, _ string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
}

// newCutProxy starts a proxy that reaches no worker, with the given peers.
func newCutProxy(t *testing.T, peers ...Peer) (*testProxy, *httptest.Server) {
	t.Helper()
	p, server := newTestProxy(t, newFakeWorker(t, "unreached-1"), newFakeWorker(t, "unreached-2"))
	p.isCut.Store(true)
	p.peers.Store(&peers)
	for _, service := range []string{"plain", "models"} {
		assert.Assert(t, !p.links.verify(t.Context(), &fleet.Worker{Service: service}))
	}
	return p, server
}

// peerAt returns a ready peer that serves at the address of a listener.
func peerAt(id string, l net.Listener) Peer {
	return Peer{ID: id, Incarnation: 1, Address: l.Addr().String(), IsReady: true}
}

// TestCutDaemonForwards guards against requests that are refused although a peer reaches workers.
func TestCutDaemonForwards(t *testing.T) {
	tests := map[string]struct{ path, body string }{
		"a stream":                      {"/stream/", wholeStream()},
		"a request that is repeated":    {"/safe/", "answer to a"},
		"a request that runs only once": {"/once/", "answer to a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w")
			peer, peerServer := newTestProxy(t, worker)
			_, server := newCutProxy(t, peerAt("peer", peerServer.Listener))
			got := sendRequest(t, server, test.path, "a", nil)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, got.isComplete)
			assert.Equal(t, got.body, test.body)
			assert.Equal(t, worker.runs("a"), 1)
			assert.Equal(t, worker.received[0].Get(forwardedHeader), "", "the mark is not for workers")
			assert.Equal(t, worker.received[0].Get(testNames.Tenant), "tenant")
			assert.Equal(t, countBudgetRequests(peer.budget), 0.0, "only the first daemon counts the request")
		})
	}
}

// countBudgetRequests returns how many requests were added to a retry budget.
func countBudgetRequests(b *budget) float64 {
	total := 0.0
	for _, service := range []string{"plain", "models"} {
		counts, _ := b.countsAt(service, time.Now())
		for _, n := range counts.requests {
			total += n
		}
	}
	return total
}

// TestForwardedRequestMakesOneHop guards against requests that go round between daemons which all
// reach no worker.
func TestForwardedRequestMakesOneHop(t *testing.T) {
	second, secondServer := newCutProxy(t)
	third := newFakeWorker(t, "third")
	second.peers.Store(&[]Peer{peerAt("third", third.listener)})
	_, server := newCutProxy(t, peerAt("second", secondServer.Listener))
	got := sendRequest(t, server, "/safe/", "a", nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(got.body, "endpoint_unreachable"), got.body)
	assert.Equal(t, third.runs("a"), 0)
}

// TestFailuresOfPeers guards against a request that runs twice, or a refusal that is not true, when
// the peer fails to which it was forwarded.
func TestFailuresOfPeers(t *testing.T) {
	tests := map[string]struct {
		path   string
		script []behaviour
		status int
		body   string
		// first and second are how often the request runs at the two peers.
		first, second int
	}{
		"a refusal goes to another":               {path: "/once/", script: []behaviour{rejects}, status: 200, body: "answer to a", second: 1},
		"a lost answer is not asked for again":    {path: "/once/", script: []behaviour{loses}, status: 502, first: 1},
		"a cut answer is not asked for again":     {path: "/once/", script: []behaviour{cuts}, status: 502, first: 1},
		"a lost answer is asked for again":        {path: "/safe/", script: []behaviour{loses}, status: 200, body: "answer to a", first: 1, second: 1},
		"a failure of the worker is passed on":    {path: "/safe/", script: []behaviour{fails}, status: 500, first: 1},
		"an unsigned success is none":             {path: "/once/", script: []behaviour{unsigned}, status: 502, first: 1},
		"a broken stream goes on elsewhere":       {path: "/stream/", script: []behaviour{cuts}, status: 200, body: wholeStream(), first: 1, second: 1},
		"a failure of a stream is passed on":      {path: "/stream/", script: []behaviour{fails}, status: 500, first: 1},
		"a peer that ended is no lost request":    {path: "/once/", script: []behaviour{drops}, status: 502},
		"a torn event of a stream is not sent on": {path: "/stream/", script: []behaviour{tears}, status: 200, body: wholeStream(), first: 1, second: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeWorker(t, "first", test.script...), newFakeWorker(t, "second")
			far := peerAt("second", second.listener)
			far.Distance = 1
			_, server := newCutProxy(t, peerAt("first", first.listener), far)
			got := sendRequest(t, server, test.path, "a", nil)
			assert.Equal(t, got.status, test.status)
			assert.Assert(t, got.body == test.body || test.status != http.StatusOK, got.body)
			assert.Equal(t, first.runs("a"), test.first)
			assert.Equal(t, second.runs("a"), test.second)
		})
	}
}

// TestRefusalsOfPeersArePassedOn guards against a refusal for lack of capacity that is repeated at
// one peer after the other, or that loses its retry time.
func TestRefusalsOfPeersArePassedOn(t *testing.T) {
	tests := map[string]struct {
		reason string
		passes bool
	}{
		"no capacity":          {reason: "overloaded", passes: true},
		"quarantined":          {reason: "quarantined", passes: true},
		"the peer is starting": {reason: "starting"},
		"an unknown reason":    {reason: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "0.7")
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(`{"reason":"` + test.reason + `"}`))
			}))
			t.Cleanup(peer.Close)
			other := newFakeWorker(t, "other")
			far := peerAt("other", other.listener)
			far.Distance = 1
			_, server := newCutProxy(t, peerAt("peer", peer.Listener), far)
			got := sendRequest(t, server, "/safe/", "a", nil)
			assert.Equal(t, got.status == http.StatusServiceUnavailable, test.passes)
			if test.passes {
				assert.Equal(t, got.header.Get("Retry-After"), "0.700")
			}
			assert.Equal(t, other.runs("a") == 0, test.passes)
		})
	}
}

// TestRejectionsBehindPeersTakeFromBudget guards against requests that workers behind one peer after the
// other reject although the retry budget is used up.
func TestRejectionsBehindPeersTakeFromBudget(t *testing.T) {
	tests := map[string]struct {
		reason string
		asked  int
	}{
		"a worker rejected it":           {reason: "endpoint_refused", asked: 1},
		"an unknown reason":              {reason: "", asked: 1},
		"the peer reached no worker":     {reason: "endpoint_unreachable", asked: 3},
		"the peer is starting":           {reason: "starting", asked: 3},
		"the peer is leaving":            {reason: "stopping", asked: 3},
		"the peer's memory is used up":   {reason: "memory_bound", asked: 3},
		"the peer may hold revoked keys": {reason: "isolated", asked: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			asked := 0
			refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				asked++
				newUnavailable(reason.Reason(test.reason), "", 0).write(w)
			})
			var peers []Peer
			for _, id := range []string{"a", "b", "c", "d"} {
				peer := httptest.NewServer(refuse)
				defer peer.Close()
				peers = append(peers, peerAt(id, peer.Listener))
			}
			p, server := newCutProxy(t, peers...)
			p.budget.opts.Ratio, p.budget.opts.ExtraRetries = 0, 0
			assert.Equal(t, sendRequest(t, server, "/safe/", "a", nil).status, http.StatusServiceUnavailable)
			assert.Equal(t, asked, test.asked)
		})
	}
}

// TestRefusalOfPeerIsNotFinal guards against callers that get the refusal of a peer which did not run their
// request, although another peer would serve it, because an earlier attempt may have run.
func TestRefusalOfPeerIsNotFinal(t *testing.T) {
	tests := map[string]struct{ path, body string }{
		"a request that is repeated": {"/safe/", "answer to a"},
		"a stream":                   {"/stream/", wholeStream()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lost, last := newFakeWorker(t, "lost", loses), newFakeWorker(t, "last")
			_, refusing := newCutProxy(t)
			near, second, third := peerAt("lost", lost.listener), peerAt("refusing", refusing.Listener), peerAt("last", last.listener)
			second.Distance, third.Distance = 1, 2
			_, server := newCutProxy(t, near, second, third)
			got := sendRequest(t, server, test.path, "a", nil)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, test.body)
			assert.Equal(t, lost.runs("a")+last.runs("a"), 2)
		})
	}
}

// TestRefusalOfPeerHidesNoEarlierRun guards against a promise that a request did not run because the peer that was
// asked last did not run it.
func TestRefusalOfPeerHidesNoEarlierRun(t *testing.T) {
	for _, path := range []string{"/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			lost := newFakeWorker(t, "lost", loses)
			refusing, refusingServer := newCutProxy(t)
			refusing.shutdown = NewShutdown(time.Now(), time.Now(), time.Now(), time.Now())
			near, second := peerAt("lost", lost.listener), peerAt("refusing", refusingServer.Listener)
			second.Distance = 1
			_, server := newCutProxy(t, near, second)
			assert.Equal(t, sendRequest(t, server, path, "a", nil).status, http.StatusBadGateway)
			assert.Equal(t, lost.runs("a"), 1)
		})
	}
}

// TestQuarantinedRequestIsNotForwarded guards against a way around the quarantine.
func TestQuarantinedRequestIsNotForwarded(t *testing.T) {
	peer := newFakeWorker(t, "peer")
	p, server := newCutProxy(t, peerAt("peer", peer.listener))
	now := time.Now()
	f := quarantine.FingerprintOf("tenant", http.MethodPost, "h", "/safe/", []byte("body"))
	for i := range 3 {
		p.guard.Table().Blame(f, quarantine.Crash{Worker: strconv.Itoa(i), Sent: now.Add(time.Duration(i) * time.Millisecond), Ended: now.Add(time.Duration(i)*time.Millisecond + time.Microsecond)}, now)
	}
	assert.Equal(t, sendRequest(t, server, "/safe/", "a", nil).status, http.StatusServiceUnavailable)
	assert.Equal(t, peer.runs("a"), 0)
}

// TestLostPeerEndsForward guards against a stream that waits for a peer which is no longer alive.
func TestLostPeerEndsForward(t *testing.T) {
	first, second := newFakeWorker(t, "first", stalls), newFakeWorker(t, "second")
	near, far := peerAt("first", first.listener), peerAt("second", second.listener)
	far.Distance = 1
	p, server := newCutProxy(t, near, far)
	first.onRequest = func() { p.peers.Store(&[]Peer{far}) }
	got := sendRequest(t, server, "/stream/", "a", nil)
	assert.Equal(t, got.body, wholeStream())
	assert.Equal(t, second.runs("a"), 1)
}

// TestForgedForwardMark guards against callers that gain something by the mark of forwarded requests.
func TestForgedForwardMark(t *testing.T) {
	for name, value := range map[string]string{"a number": "7", "no number": "x", "negative": "-1", "huge": "99999999999999999999"} {
		t.Run(name, func(t *testing.T) {
			worker := newFakeWorker(t, "w")
			_, server := newTestProxy(t, worker)
			got := sendRequest(t, server, "/once/", "a", func(r *http.Request) { r.Header.Set(forwardedHeader, value) })
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, worker.runs("a"), 1)
			assert.Equal(t, worker.received[0].Get(forwardedHeader), "")
		})
	}
}

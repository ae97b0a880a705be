package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/quarantine"
)

// TestFailuresThatAreNoCrash: attempts that fail at live workers, or at workers that had announced
// that they would stop, must not count as crashes.
func TestFailuresThatAreNoCrash(t *testing.T) {
	tests := map[string]struct {
		path   string
		script behaviour
		// prepare changes the worker or its entry before the request.
		prepare func(r *testProxy, w *fakeWorker)
		change  func(*http.Request)
		isCrash bool
	}{
		"a reset connection":                    {path: "/safe/", script: drops},
		"a lost answer":                         {path: "/safe/", script: loses},
		"a cut answer":                          {path: "/safe/", script: cuts},
		"a torn stream":                         {path: "/stream/", script: tears},
		"bytes that are no answer":              {path: "/safe/", script: garbles},
		"an answer without signature":           {path: "/safe/", script: unsigned},
		"a rejection":                           {path: "/safe/", script: rejects},
		"a failure of the worker":               {path: "/safe/", script: fails},
		"a silent stream":                       {path: "/stream/", script: stalls},
		"our own patience":                      {path: "/stream/", script: stalls, change: func(h *http.Request) { h.Header.Set(testNames.Deadline, "100") }},
		"a worker that ends":                    {path: "/safe/", script: ends, isCrash: true},
		"a stream whose worker ends":            {path: "/stream/", script: ends, isCrash: true},
		"a worker that said it leaves":          {path: "/safe/", script: ends, prepare: (*testProxy).drain},
		"an address that is not there any more": {path: "/safe/", prepare: func(_ *testProxy, w *fakeWorker) { _ = w.listener.Close() }},
		"another life at the address": {
			path: "/safe/", script: loses, isCrash: true,
			prepare: func(r *testProxy, _ *fakeWorker) {
				r.opts.IsReplaced = func(context.Context, *fleet.Worker) (bool, error) { return true, nil }
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w", test.script)
			r, server := newTestProxy(t, w)
			if test.prepare != nil {
				test.prepare(r, w)
			}
			sendRequest(t, server, test.path, "a", test.change)
			assert.Equal(t, !r.guard.Table().Empty(), test.isCrash)
		})
	}
}

// drain lists a worker as draining as soon as it gets a request.
func (r *testProxy) drain(w *fakeWorker) {
	w.onRequest = func() {
		entry := w.entry()
		entry.Draining = true
		r.inventory.Apply([]fleet.Change{{ID: w.id, Worker: entry}}, 2, time.Now())
	}
}

// quarantineRequest records so many crashes of a request that it is quarantined.
func quarantineRequest(r *testProxy, target, account, body string) quarantine.Fingerprint {
	f := quarantine.FingerprintOf(account, http.MethodPost, "h", target, []byte(body))
	recordCrashes(r.guard.Table(), f, 3, time.Now())
	return f
}

// recordCrashes records crashes of a request. They are one second apart, the last one a second ago.
func recordCrashes(table *quarantine.Table, f quarantine.Fingerprint, crashes int, now time.Time) {
	for i := range crashes {
		ended := now.Add(time.Duration(i-crashes) * time.Second)
		table.Blame(f, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended}, now)
	}
}

// TestQuarantinedRequest: a request must be refused without running if it has the account, path and
// body of a quarantined one. Other requests must be served.
func TestQuarantinedRequest(t *testing.T) {
	tests := map[string]struct {
		account, path, body string
		status              int
	}{
		"the same":        {account: "tenant", path: "/safe/", body: "body", status: http.StatusServiceUnavailable},
		"another account": {account: "other", path: "/safe/", body: "body", status: http.StatusOK},
		"another path":    {account: "tenant", path: "/safe/other", body: "body", status: http.StatusOK},
		"another body":    {account: "tenant", path: "/safe/", body: "other", status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w")
			r, server := newTestProxy(t, w)
			quarantineRequest(r, test.path, test.account, test.body)
			got := sendRequest(t, server, "/safe/", "a", nil)
			assert.Equal(t, got.status, test.status)
			if test.status == http.StatusOK {
				return
			}
			assert.Equal(t, w.runs("a"), 0)
			assert.Assert(t, strings.Contains(got.body, string(reason.Quarantined)))
			seconds, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
			assert.NilError(t, err)
			assert.Assert(t, seconds > 9*time.Minute, "Retry-After is %s", seconds)
			assert.Equal(t, r.opts.Meter.Refusals()[reason.Quarantined], int64(1))
		})
	}
}

// TestCompletedRunClears: a completed answer or stream clears the crashes recorded for its request.
func TestCompletedRunClears(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			r, server := newTestProxy(t, newFakeWorker(t, "w"))
			f := quarantine.FingerprintOf("tenant", http.MethodPost, "h", path, []byte("body"))
			recordCrashes(r.guard.Table(), f, 2, time.Now())
			assert.Equal(t, r.guard.Table().State(f, time.Now()).Crashes, 2)
			assert.Equal(t, sendRequest(t, server, path, "a", nil).status, http.StatusOK)
			assert.Equal(t, r.guard.Table().State(f, time.Now()).Crashes, 0)
		})
	}
}

// TestQuarantineTableExpires: old crashes are removed from the table.
func TestQuarantineTableExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSimulation(t, 1, &simHead{id: "a"})
		table := p.daemons[0].guard.Table()
		recordCrashes(table, quarantine.FingerprintOf("", http.MethodPost, "h", "/", nil), 1, time.Now())
		assert.Assert(t, !table.Empty())
		time.Sleep(6 * time.Minute)
		assert.Assert(t, table.Empty())
	})
}

// TestSuspectedRequestsPreferIdleReplicas: a request that crashed two workers goes to the replica
// with the fewest requests in flight, whatever the predicted wait.
func TestSuspectedRequestsPreferIdleReplicas(t *testing.T) {
	tracker := NewTracker("here", func(*fleet.Replica) {})
	near, far := testReplica("near", "here"), testReplica("far", "there")
	tracker.Reserve(near, 0)
	tracker.Reserve(far, 5000)
	tracker.Reserve(near, 0)
	now := time.Now()
	for range 20 {
		choice, ok := tracker.Choose([]*fleet.Replica{near, far}, nil, testCosts, 10, now)
		assert.Assert(t, ok && choice.Replica == near)
		fewest := testCosts
		fewest.preferIdle = true
		choice, ok = tracker.Choose([]*fleet.Replica{near, far}, nil, fewest, 10, now)
		assert.Assert(t, ok && choice.Replica == far)
	}
}

// TestSuspectedRequestGoesToIdleReplica: a request that crashed two workers goes to the replica
// with the fewest requests in flight. A request that crashed a single worker does not.
func TestSuspectedRequestGoesToIdleReplica(t *testing.T) {
	tests := map[string]int{"one crash": 1, "two crashes": 2}
	for name, crashes := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near := &simHead{id: "near"}
				far := &simHead{id: "far"}
				p := newSimulation(t, 1, near, far)
				tracker, now := p.daemons[0].opts.Tracker, time.Now()
				for _, replica := range p.inventory.View().Replicas("models", "m") {
					// The far head has long prompts to read. The near one has more requests.
					tracker.Reserve(replica, 0)
					if replica.Head.ID == near.id {
						tracker.Reserve(replica, 0)
					} else {
						tracker.loadOf(replica).unreadTokens = 20_000
					}
				}
				f := quarantine.FingerprintOf("", http.MethodPost, "h", "/stream/", []byte("body"))
				recordCrashes(p.daemons[0].guard.Table(), f, crashes, now)
				p.send(0, "a", 10, 6*time.Second)
				assert.Equal(t, len(far.received) > 0, crashes > 1)
			})
		})
	}
}

// TestQuarantineCancelsWaitingStreams: a copy that waits for its first event must be canceled,
// since it would crash its head. A stream that has received events continues, and its completion
// lifts the quarantine.
func TestQuarantineCancelsWaitingStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSimulation(t, 1, &simHead{id: "a", isMuted: func(id string) bool { return id == "waits" }})
		r := p.daemons[0]
		p.call(0, "runs", 10, 6*time.Second)
		p.call(0, "waits", 10, 6*time.Second)
		time.Sleep(150 * time.Millisecond)
		f := quarantine.FingerprintOf("", http.MethodPost, "h", "/stream/", []byte("body"))
		now := time.Now()
		for i := range 3 {
			ended := now.Add(time.Duration(i-3) * time.Second)
			r.guard.Blame(f, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended})
		}
		p.calls.Wait()
		assert.Assert(t, p.isServed("runs"))
		waits := p.results["waits"]
		assert.Equal(t, waits.status, http.StatusBadGateway, "it may have run")
		assert.Assert(t, waits.endedAfter < time.Second, "it is answered after %s", waits.endedAfter)
		assert.Assert(t, !r.guard.Table().State(f, time.Now()).Quarantined)
	})
}

// TestCrashingRequestIsQuarantined simulates copies of a request that crashes every head it runs
// at, beside other requests. Few heads may crash, and the other requests must be served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := simulateCrashes(t, func(p *simulation) {
			for i := range 80 {
				time.Sleep(125 * time.Millisecond)
				p.call(i%len(p.daemons), fmt.Sprint("crash", i), 100, 6*time.Second)
			}
		})
		servedCount := p.count("other", otherRequests, p.isServed)
		t.Logf("%d heads ended, %d of %d others served", p.crashes, servedCount, otherRequests)
		assert.Assert(t, p.crashes <= 6, "%d heads ended", p.crashes)
		assert.Assert(t, servedCount >= otherRequests*98/100, "%d others are served", servedCount)
	})
}

// TestPopularRequestBesideCrashes repeats one request while heads crash for other reasons. The
// request must not be quarantined.
func TestPopularRequestBesideCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const copies = 50
		p := simulateCrashes(t, func(p *simulation) {
			for i := range copies {
				time.Sleep(200 * time.Millisecond)
				p.call(i%len(p.daemons), fmt.Sprint("popular", i), 100, 6*time.Second)
				if i%7 == 6 {
					p.background.Go(func() { p.crashOne() })
				}
			}
		})
		popularServed, othersServed := p.count("popular", copies, p.isServed), p.count("other", otherRequests, p.isServed)
		t.Logf("%d heads ended; served: %d of %d copies, %d of %d others", p.crashes, popularServed, copies, othersServed, otherRequests)
		for _, r := range p.daemons {
			assert.Equal(t, r.opts.Meter.Refusals()[reason.Quarantined], int64(0))
		}
		assert.Assert(t, popularServed >= copies*96/100, "%d copies are served", popularServed)
		assert.Assert(t, othersServed >= otherRequests*98/100, "%d others are served", othersServed)
	})
}

// otherRequests is the number of other requests in simulations of crashes.
const otherRequests = 400

// simulateCrashes simulates ten seconds of requests with distinct bodies. It calls parallel at the
// same time.
func simulateCrashes(t *testing.T, parallel func(p *simulation)) *simulation {
	t.Helper()
	const daemons, heads = 4, 12
	var p *simulation
	onRun := func(h *simHead, body string) {
		if body == "crash" {
			p.background.Go(func() { p.crash(h) })
		}
	}
	var all []*simHead
	for i := range heads {
		all = append(all, &simHead{id: fmt.Sprint("h", i), onRun: onRun})
	}
	p = newSimulation(t, daemons, all...)
	p.bodyOf = func(id string) string {
		kind := strings.TrimRight(id, "0123456789")
		if kind == "other" {
			return id
		}
		return kind
	}
	p.calls.Go(func() { parallel(p) })
	for i := range otherRequests {
		time.Sleep(25 * time.Millisecond)
		p.call(i%daemons, fmt.Sprint("other", i), 100, 6*time.Second)
	}
	p.calls.Wait()
	return p
}

// crashOne crashes the head with the lowest ID.
func (p *simulation) crashOne() {
	p.mu.Lock()
	var first *simHead
	for _, h := range p.heads {
		if first == nil || h.id < first.id {
			first = h
		}
	}
	p.mu.Unlock()
	p.crash(first)
}

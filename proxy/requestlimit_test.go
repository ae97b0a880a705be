package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/allowance"
	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/telemetry"
)

// fakeTokens limits requests to workers by tokens, one for each request.
type fakeTokens struct {
	mu sync.Mutex
	// left holds the remaining tokens by worker. Workers that are not in it are not limited.
	left map[string]int
	// isStale makes tokens expire before they are used.
	isStale bool
}

func (f *fakeTokens) check(time.Time) func(r *fleet.Replica) bool {
	return func(r *fleet.Replica) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		left, isLimited := f.left[r.Head.ID]
		return !isLimited || left > 0
	}
}

func (f *fakeTokens) take(r *fleet.Replica, now time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left, isLimited := f.left[r.Head.ID]
	switch {
	case !isLimited:
		return time.Time{}, true
	case left == 0:
		return time.Time{}, false
	}
	f.left[r.Head.ID]--
	if f.isStale {
		return now.Add(-time.Millisecond), true
	}
	return now.Add(time.Minute), true
}

func (f *fakeTokens) next(_ *fleet.Replica, now time.Time) time.Time {
	return now.Add(120 * time.Millisecond)
}

// setWarmUp makes the tokens the proxy's warm-up bound.
func (f *fakeTokens) setWarmUp(r *testProxy) {
	r.opts.WarmUpLimit = RequestLimit{Check: f.check, Take: f.take, Next: f.next}
}

// allRuns returns the number of runs of all requests at a worker.
func (w *fakeWorker) allRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0
	for _, n := range w.runsByRequest {
		sum += n
	}
	return sum
}

// TestNoMoreThanTokens: a worker must not get more requests than it has tokens. Many requests are
// sent at once, so that other requests often take the last token between the check and the choice.
func TestNoMoreThanTokens(t *testing.T) {
	cold, warm := newFakeWorker(t, "cold"), newFakeWorker(t, "warm")
	r, server := newTestProxy(t, cold, warm)
	tokens := &fakeTokens{left: map[string]int{"cold": 5}}
	tokens.setWarmUp(r)
	const requests = 40
	results := make([]answerSeen, requests)
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() { results[i] = sendRequest(t, server, "/safe/", fmt.Sprint("r", i), nil) })
	}
	all.Wait()
	servedCount := 0
	for _, result := range results {
		if result.status == http.StatusOK {
			servedCount++
		}
	}
	assert.Assert(t, cold.allRuns() <= 5)
	assert.Equal(t, cold.allRuns()+warm.allRuns(), servedCount)
	assert.Assert(t, servedCount > 5)
}

// TestOutdatedChecks lets the check pass for every replica, whether it has a token or not. The
// choice must skip replicas without tokens, and must not loop forever.
func TestOutdatedChecks(t *testing.T) {
	tests := map[string]struct {
		left   map[string]int
		status int
		reason string
	}{
		"one has none":      {map[string]int{"a": 0}, http.StatusOK, ""},
		"none has one":      {map[string]int{"a": 0, "b": 0}, http.StatusServiceUnavailable, "warm_up"},
		"the other has one": {map[string]int{"b": 0, "a": 1}, http.StatusOK, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeWorker(t, "a"), newFakeWorker(t, "b")
			r, server := newTestProxy(t, a, b)
			tokens := &fakeTokens{left: test.left}
			tokens.setWarmUp(r)
			r.opts.WarmUpLimit.Check = func(time.Time) func(*fleet.Replica) bool { return nil }
			got := sendRequest(t, server, "/once/", "x", nil)
			assert.Equal(t, got.status, test.status)
			assert.Assert(t, strings.Contains(got.body, test.reason))
		})
	}
}

// TestRetriesAndResumptionsTakeTokens checks that attempts after a failure take tokens too.
func TestRetriesAndResumptionsTakeTokens(t *testing.T) {
	tests := map[string]struct {
		path  string
		first behaviour
		left  map[string]int
		want  int
	}{
		"a stream that breaks has no token left":  {"/stream/", cuts, map[string]int{"a": 1, "b": 0}, 1},
		"a stream goes on with a token":           {"/stream/", cuts, map[string]int{"a": 1, "b": 1}, 2},
		"a retry has no token left":               {"/safe/", loses, map[string]int{"a": 1, "b": 0}, 1},
		"a retry takes a token":                   {"/safe/", loses, map[string]int{"a": 1, "b": 1}, 2},
		"a request that may run once has a token": {"/once/", answers, map[string]int{"a": 1, "b": 0}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeWorker(t, "a", test.first), newFakeWorker(t, "b", test.first)
			r, server := newTestProxy(t, a, b)
			(&fakeTokens{left: test.left}).setWarmUp(r)
			sendRequest(t, server, test.path, "x", nil)
			assert.Equal(t, a.allRuns()+b.allRuns(), test.want)
		})
	}
}

func TestNoTokenIsRefused(t *testing.T) {
	cold := newFakeWorker(t, "cold")
	r, server := newTestProxy(t, cold)
	(&fakeTokens{left: map[string]int{"cold": 0}}).setWarmUp(r)
	got := sendRequest(t, server, "/once/", "x", nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "0.120")
	assert.Assert(t, cold.allRuns() == 0)
}

// TestExpiredTokenIsNotSent: an attempt whose token expired before the write is not sent, and the
// request goes to another worker.
func TestExpiredTokenIsNotSent(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			cold, warm := newFakeWorker(t, "cold"), newFakeWorker(t, "warm")
			r, server := newTestProxy(t, cold, warm)
			(&fakeTokens{left: map[string]int{"cold": 100}, isStale: true}).setWarmUp(r)
			for i := range 10 {
				got := sendRequest(t, server, path, fmt.Sprint("r", i), nil)
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, cold.allRuns(), 0)
			assert.Equal(t, warm.allRuns(), 10)
		})
	}
}

// newChoiceProxy returns a proxy with the given number of replicas, and a request to them. The
// first ones are warming up or have limits.
func newChoiceProxy(b *testing.B, replicas, warming, limited int) (*Proxy, *request) {
	b.Helper()
	inventory := fleet.NewInventory(fleet.InventoryOptions{Heartbeat: time.Second})
	service := &fleet.Service{Name: "models", Engine: &fleet.Engine{Slots: 30}, WarmUp: fleet.WarmUp{PerSecond: 14, For: time.Second}}
	config := fleet.NewConfig(fleet.Parts{Version: 1, Services: []*fleet.Service{service}})
	changes := make([]fleet.Change, replicas)
	for i := range changes {
		id := fmt.Sprintf("i-%08x", i)
		changes[i] = fleet.Change{ID: id, Worker: &fleet.Worker{
			ID: id, Service: "models", Zone: "hall", Domain: "d", Slots: 30, Loaded: "m",
			Member: fleet.Membership{Group: "g" + id, Epoch: 1, State: fleet.Open},
		}}
	}
	for _, c := range changes[:warming] {
		c.Worker.ColdRemainingMillis = time.Hour.Milliseconds()
	}
	inventory.Apply(changes, 1, time.Now())
	members := make([]string, 90)
	for i := range members {
		members[i] = fmt.Sprint("daemon-", i)
	}
	tokens := allowance.New(allowance.Options{
		Self: "daemon-1", Members: func() []string { return members }, Bound: allowance.Bound{Burst: 1.5, Slack: 5},
		View: inventory.View, Halls: func() *fleet.HallView { return nil }, Config: func() *fleet.Config { return config },
		Changed: func(*fleet.Worker, bool) {},
	})
	meter, err := telemetry.NewMeter()
	assert.NilError(b, err)
	limits := backpressure.NewTable(backpressure.Options{
		Self: "daemon-1", Hall: "hall", Halls: []string{"hall"}, Members: func() []string { return members[:8] },
		Bound: backpressure.Bound{Burst: 1.5, Slack: 5, Window: 4 * time.Second}, Changed: func(backpressure.Change) {},
	})
	for _, c := range changes[:limited] {
		limits.Observe(c.Worker, backpressure.Signal{Limited: true, PerSecond: 1.3}, time.Now(), time.Now())
	}
	r := New(Options{
		View: inventory.View, Tracker: NewTracker("hall", func(*fleet.Replica) {}), Meter: meter,
		WarmUpLimit: RequestLimit{Check: tokens.Check, Take: tokens.Take, Next: tokens.Next},
		WorkerLimit: RequestLimit{TightlyLimited: limits.HasLimit, Check: limits.Check, Take: limits.Take, Next: limits.Next},
	})
	return r, &request{service: "models", model: "m", engine: service.Engine, route: &fleet.Route{}, triedReplicas: make(map[string]bool)}
}

// BenchmarkChoice measures the choice among 400 replicas of which some are warming up or have
// limits.
func BenchmarkChoice(b *testing.B) {
	for _, load := range []struct{ warming, limited int }{{0, 0}, {100, 0}, {0, 100}, {0, 399}} {
		b.Run(fmt.Sprintf("warming=%d/limited=%d", load.warming, load.limited), func(b *testing.B) {
			r, c := newChoiceProxy(b, 400, load.warming, load.limited)
			for b.Loop() {
				if _, none := r.choose(c); none != nil {
					b.Fatal(none.message)
				}
			}
		})
	}
}

package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/telemetry"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// newTestProxy starts a proxy for the workers, and a server for it.
func newTestProxy(t *testing.T, workers ...*fakeWorker) (*testProxy, *httptest.Server) {
	t.Helper()
	meter, err := telemetry.NewMeter()
	assert.NilError(t, err)
	r := &testProxy{inventory: fleet.NewInventory(fleet.InventoryOptions{Heartbeat: 1200 * time.Millisecond}), confirmedAt: time.Now()}
	config := testConfig()
	r.Proxy = New(Options{
		Names: testNames, Config: func() *fleet.Config { return config },
		ConfigConfirmedAt: func() time.Time { return r.confirmedAt }, MaxConfigAge: time.Minute,
		View: r.inventory.View, Tracker: NewTracker("", func(*fleet.Replica) {}),
		Budget:   RetryBudget{Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: 1000, Daemons: func() int { return 1 }, Share: wholeShare},
		Shutdown: func() *Shutdown { return r.shutdown }, Meter: meter, Logger: hclog.NewNullLogger(),
		Peers: r.currentPeers, Dial: r.dialWorker,
	})
	r.budget.youngUntil = time.Time{}
	var changes []fleet.Change
	for _, w := range workers {
		changes = append(changes,
			fleet.Change{ID: w.id, Worker: w.entry()},
			fleet.Change{ID: w.id + "-model", Worker: w.modelEntry()})
	}
	r.inventory.Apply(changes, 1, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	server := httptest.NewServer(r)
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-r.Done()
	})
	return r, server
}

// answerSeen is an answer as received by the caller.
type answerSeen struct {
	status int
	header http.Header
	body   string
	// isComplete reports whether the answer ended properly.
	isComplete bool
}

func sendRequest(t assert.TestingT, server *httptest.Server, path, id string, change func(*http.Request)) answerSeen {
	request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set(testNames.AttemptID, id)
	request.Header.Set(testNames.Key, "key")
	request.Header.Set(testNames.Model, "m")
	if change != nil {
		change(request)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return answerSeen{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answerSeen{status: response.StatusCode, header: response.Header, body: string(body), isComplete: err == nil}
}

func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= fakeEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

func TestProxy(t *testing.T) {
	tests := map[string]struct {
		path   string
		script []behaviour
		change func(*http.Request)
		status int
		body   string
		runs   int
		// isCut means that the answer must be broken off, so that it does not look complete.
		isCut bool
	}{
		"a whole answer":                         {path: "/safe/", status: 200, body: "answer to a", runs: 1},
		"a rejected request goes to another":     {path: "/once/", script: []behaviour{rejects}, status: 200, body: "answer to a", runs: 1},
		"a lost answer is not asked for again":   {path: "/once/", script: []behaviour{loses}, status: 502, runs: 1},
		"bytes that are no answer":               {path: "/once/", script: []behaviour{garbles}, status: 502, runs: 1},
		"a cut answer is not asked for again":    {path: "/once/", script: []behaviour{cuts}, status: 502, runs: 1},
		"a lost answer is asked for again":       {path: "/safe/", script: []behaviour{loses}, status: 200, body: "answer to a", runs: 2},
		"a cut answer is asked for again":        {path: "/safe/", script: []behaviour{cuts}, status: 200, body: "answer to a", runs: 2},
		"a failure is passed on":                 {path: "/once/", script: []behaviour{fails}, status: 500, runs: 1},
		"a failure is asked for again":           {path: "/safe/", script: []behaviour{fails}, status: 200, body: "answer to a", runs: 2},
		"no more attempts than allowed":          {path: "/safe/", script: []behaviour{loses, loses, loses}, status: 502, runs: 2},
		"an unsigned success is none":            {path: "/once/", script: []behaviour{unsigned}, status: 502, runs: 1},
		"an answer to another is passed over":    {path: "/once/", script: []behaviour{surplus}, status: 200, body: "answer to a", runs: 1},
		"all reject":                             {path: "/once/", script: []behaviour{rejects, rejects, rejects, rejects}, status: 503},
		"a whole stream":                         {path: "/stream/", status: 200, body: wholeStream(), runs: 1},
		"a broken stream goes on elsewhere":      {path: "/stream/", script: []behaviour{cuts}, status: 200, body: wholeStream(), runs: 2},
		"a long failure in place of a stream":    {path: "/stream/", script: []behaviour{explains}, status: 400, body: longExplanation, runs: 1},
		"an unframed stream without events":      {path: "/stream/", script: []behaviour{vanishes}, status: 200, body: wholeStream(), runs: 2},
		"a resumed unframed one without events":  {path: "/stream/", script: []behaviour{cuts, vanishes}, status: 200, body: wholeStream(), runs: 3},
		"only unframed ones without events":      {path: "/stream/", script: []behaviour{cuts, vanishes, vanishes}, status: 200, runs: 3, isCut: true},
		"all events without their end":           {path: "/stream/", script: []behaviour{losesEnd}, status: 200, body: wholeStream(), runs: 2},
		"their end is unframed":                  {path: "/stream/", script: []behaviour{losesEnd, vanishes}, status: 200, body: wholeStream(), runs: 3},
		"a torn event is not passed on":          {path: "/stream/", script: []behaviour{tears}, status: 200, body: wholeStream(), runs: 2},
		"a silent stream goes on elsewhere":      {path: "/stream/", script: []behaviour{stalls}, status: 200, body: wholeStream(), runs: 2},
		"a stream that breaks too often is cut":  {path: "/stream/", script: []behaviour{cuts, cuts, cuts}, status: 200, runs: 3, isCut: true},
		"a lost stream begins anew":              {path: "/stream/", script: []behaviour{loses}, status: 200, body: wholeStream(), runs: 2},
		"no route":                               {path: "/nowhere/", status: 404},
		"an unknown key":                         {path: "/safe/", change: func(h *http.Request) { h.Header.Set(testNames.Key, "x") }, status: 401},
		"a public route needs no key":            {path: "/open/", change: func(h *http.Request) { h.Header.Del(testNames.Key) }, status: 200, body: "answer to a", runs: 1},
		"a model that nobody serves is not held": {path: "/stream/", change: func(h *http.Request) { h.Header.Set(testNames.Model, "x") }, status: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// The workers share the script. The first one to get a request plays its first
			// behaviour.
			w := newFakeWorker(t, "w1", test.script...)
			workers := []*fakeWorker{w}
			for i := 2; i <= 4; i++ {
				workers = append(workers, workerAtSameAddress(w, fmt.Sprintf("w%d", i)))
			}
			_, server := newTestProxy(t, workers...)
			got := sendRequest(t, server, test.path, "a", test.change)
			assert.Equal(t, got.status, test.status)
			assert.Equal(t, got.isComplete, !test.isCut)
			if test.body != "" {
				assert.Equal(t, got.body, test.body)
			}
			assert.Equal(t, w.runs("a"), test.runs)
			if test.status == 503 {
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
		})
	}
}

// workerAtSameAddress returns another worker entry at the address of w, so that w answers its
// requests.
func workerAtSameAddress(w *fakeWorker, id string) *fakeWorker {
	return &fakeWorker{id: id, listener: w.listener}
}

// TestPromises checks the guarantees to callers for random requests and worker behaviours.
func TestPromises(outer *testing.T) {
	all := []behaviour{answers, rejects, fails, loses, cuts, tears, unsigned, surplus, garbles}
	rapid.Check(outer, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom(all), 0, 12).Draw(t, "script")
		paths := rapid.SliceOfN(rapid.SampledFrom([]string{"/once/", "/safe/", "/stream/"}), 1, 5).Draw(t, "paths")
		w := newFakeWorker(outer, "w1", script...)
		_, server := newTestProxy(outer, w, workerAtSameAddress(w, "w2"), workerAtSameAddress(w, "w3"))
		for i, path := range paths {
			id := fmt.Sprintf("r%d", i)
			checkPromises(t, path, id, sendRequest(t, server, path, id, nil), w.runs(id))
		}
	})
}

func checkPromises(t *rapid.T, path, id string, got answerSeen, runs int) {
	want := "answer to " + id
	if path == "/stream/" {
		want = wholeStream()
	}
	switch {
	case got.status == http.StatusOK && got.isComplete && got.body != want:
		t.Fatalf("%s %s: a complete answer is %q", path, id, got.body)
	case got.status == http.StatusServiceUnavailable && runs > 0:
		t.Fatalf("%s %s: answered that it did not run, ran %d times", path, id, runs)
	case path == "/once/" && runs > 1:
		t.Fatalf("%s %s: ran %d times", path, id, runs)
	case path == "/safe/" && runs > 2 || runs > 3:
		t.Fatalf("%s %s: ran at %d workers", path, id, runs)
	case got.status == 0:
		t.Fatalf("%s %s: no answer at all", path, id)
	}
}

func TestForwardedHeaders(t *testing.T) {
	w := newFakeWorker(t, "w1")
	_, server := newTestProxy(t, w)
	sendRequest(t, server, "/safe/", "a", func(h *http.Request) {
		h.Header.Set(testNames.Tenant, "forged")
		h.Header.Set(testNames.Instance, "forged")
		h.Header.Set(testNames.Deadline, "400")
		h.Header.Set("Connection", "X-Hop")
		h.Header.Set("X-Hop", "1")
		h.Header.Set("X-Kept", "1")
	})
	head := w.received[0]
	assert.Equal(t, head.Get(testNames.Tenant), "tenant")
	assert.Equal(t, head.Get(testNames.Instance), "w1")
	assert.Equal(t, head.Get(testNames.Key), "")
	assert.Equal(t, head.Get("X-Hop"), "")
	assert.Equal(t, head.Get("X-Kept"), "1")
	var left int
	_, err := fmt.Sscan(head.Get(testNames.Deadline), &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 400)
}

func TestKeysExpireWithoutConfirmation(t *testing.T) {
	w := newFakeWorker(t, "w1")
	r, server := newTestProxy(t, w)
	r.confirmedAt = time.Now().Add(-time.Hour)
	assert.Equal(t, sendRequest(t, server, "/safe/", "a", nil).status, 503)
	assert.Equal(t, sendRequest(t, server, "/open/", "b", nil).status, 200)
	assert.Equal(t, w.runs("a"), 0)
}

func TestLeavingDaemonClosesConnections(t *testing.T) {
	r, server := newTestProxy(t, newFakeWorker(t, "w1"))
	r.shutdown = NewShutdown(time.Now(), time.Now().Add(time.Minute), time.Now().Add(time.Minute), time.Now().Add(time.Hour))
	request, err := http.NewRequest(http.MethodPost, server.URL+"/open/", nil)
	assert.NilError(t, err)
	request.Host = "h"
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, 200)
	assert.Assert(t, response.Close)
}

func TestBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	b := newBudget(RetryBudget{Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: 20, Daemons: func() int { return 2 }, Share: func() float64 { return 0.5 }}, start)
	b.youngUntil = start
	retries := 0
	for b.takeRetry("s", start) {
		retries++
	}
	assert.Equal(t, retries, 8, "0.8 of half of the extra")
	for range 100 {
		b.addRequest("s", start.Add(time.Second))
	}
	assert.Assert(t, b.takeRetry("s", start.Add(time.Second)), "requests allow repeats")
	assert.Assert(t, b.takeRetry("other", start), "services are counted separately")
	later := start.Add(time.Minute)
	retries = 0
	for b.takeRetry("s", later) {
		retries++
	}
	assert.Equal(t, retries, 8, "old retries are not counted")
}

func TestLastID(t *testing.T) {
	tests := map[string]struct{ whole, want string }{
		"one event":           {"id: 4\ndata: x\n\n", "4"},
		"the last one counts": {"id: 4\ndata: x\n\nid: 5\ndata: y\n\n", "5"},
		"no id":               {"data: x\n\n", ""},
		"id after data":       {"data: x\nid:6\n\n", "6"},
		"nothing":             {"", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, lastID([]byte(test.whole)), test.want) })
	}
}

// FuzzEvents checks that splitting loses no bytes and that IDs are found safely.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, rest := splitEvents(data)
		if string(whole)+string(rest) != string(data) {
			t.Fatalf("bytes were lost: %q and %q of %q", whole, rest, data)
		}
		lastID(whole)
	})
}

// TestFirstTokensAreMeasured: the first token of a resumed stream must be measured once. One of the
// two requests is sent to the worker that breaks off its first stream.
func TestFirstTokensAreMeasured(t *testing.T) {
	r, server := newTestProxy(t, newFakeWorker(t, "w1", cuts), newFakeWorker(t, "w2"))
	for _, id := range []string{"a", "b"} {
		got := sendRequest(t, server, "/stream/", id, nil)
		assert.Equal(t, got.body, wholeStream())
	}
	shown := httptest.NewRecorder()
	r.opts.Meter.Handler().ServeHTTP(shown, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Assert(t, strings.Contains(shown.Body.String(), "quartzshelf_first_token_seconds_count 2\n"), shown.Body.String())
}

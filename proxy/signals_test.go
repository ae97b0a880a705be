package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/fleet"
)

// signalRecorder collects the signals of workers.
type signalRecorder struct {
	mu  sync.Mutex
	all []backpressure.Signal
}

func (h *signalRecorder) record(_ *fleet.Worker, s backpressure.Signal, _, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, s)
}

// TestSignalsAreRead: signals are read from all answers, rejections included, except those of
// another worker.
func TestSignalsAreRead(t *testing.T) {
	const limit = "X-Limit: 1.5\r\n"
	limited := []backpressure.Signal{{Limited: true, PerSecond: 1.5}}
	tests := map[string]struct {
		path   string
		script []behaviour
		header string
		want   []backpressure.Signal
	}{
		"a request that runs once":   {path: "/once/", header: limit, want: limited},
		"a request that may repeat":  {path: "/safe/", header: limit, want: limited},
		"a stream":                   {path: "/stream/", header: limit, want: limited},
		"a failure of the worker":    {path: "/once/", script: []behaviour{fails}, header: limit, want: limited},
		"a rejection":                {path: "/once/", script: []behaviour{rejects}, header: "Retry-After: 3\r\n", want: []backpressure.Signal{{Rest: 3 * time.Second}}},
		"it leaves":                  {path: "/once/", header: "X-Leaving: 1\r\n", want: []backpressure.Signal{{Unlimited: true, Leaving: true}}},
		"an answer of another":       {path: "/once/", script: []behaviour{misdirects}, header: "X-Leaving: 1\r\n"},
		"an answer without a limit":  {path: "/safe/", want: []backpressure.Signal{{Unlimited: true}}},
		"an answer without a signer": {path: "/once/", script: []behaviour{unsigned}, want: []backpressure.Signal{{}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w", test.script...)
			w.extraHeader = test.header
			r, server := newTestProxy(t, w)
			var recorder signalRecorder
			r.opts.Names.Signals, r.opts.OnSignal = backpressure.HeaderNames{Limit: "X-Limit", Leaving: "X-Leaving"}, recorder.record
			sendRequest(t, server, test.path, "x", nil)
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			assert.DeepEqual(t, recorder.all, test.want)
		})
	}
}

// TestBoundedIsRefused: if all workers are limited or resting, a request is refused at once, with
// a retry time that its caller follows.
func TestBoundedIsRefused(t *testing.T) {
	bounds := map[string]func(o *Options, b RequestLimit){
		"limited": func(o *Options, b RequestLimit) { o.WorkerLimit = b },
		"resting": func(o *Options, b RequestLimit) { o.RestLimit = b },
	}
	for why, bound := range bounds {
		for _, path := range []string{"/once/", "/safe/", "/stream/"} {
			t.Run(why+path, func(t *testing.T) {
				w := newFakeWorker(t, "w")
				r, server := newTestProxy(t, w)
				tokens := &fakeTokens{left: map[string]int{"w": 0, "w-model": 0}}
				bound(&r.opts, RequestLimit{Check: tokens.check, Take: tokens.take, Next: tokens.next})
				got := sendRequest(t, server, path, "x", nil)
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, strings.Contains(got.body, why), got.body)
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after >= 0.12 && after <= 5.0/3, "%.3f s", after)
				assert.Equal(t, w.allRuns(), 0)
			})
		}
	}
}

// TestOneTokenSendsOnce: a request with a token is not sent again on a new connection, since it
// may have arrived the first time.
func TestOneTokenSendsOnce(t *testing.T) {
	w := newFakeWorker(t, "w", answers, drops)
	r, server := newTestProxy(t, w)
	tokens := &fakeTokens{left: map[string]int{"w": 2}}
	r.opts.WorkerLimit = RequestLimit{Check: tokens.check, Take: tokens.take, Next: tokens.next}
	assert.Equal(t, sendRequest(t, server, "/safe/", "first", nil).status, http.StatusOK)
	assert.Equal(t, sendRequest(t, server, "/safe/", "second", nil).status, http.StatusBadGateway)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.received), 2)
}

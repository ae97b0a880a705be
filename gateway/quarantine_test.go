package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/quarantine"
)

// TestCrashingRequestIsQuarantined checks that a request is refused as not run after it has crashed
// three endpoints, and that other requests are served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const (
		whole  = `{"model":"chat","prompt":"ends endpoints"}`
		stream = `{"model":"chat","prompt":"ends endpoints","stream":true}`
	)
	tests := map[string]struct {
		body string
		ends behaviour
	}{
		"a whole answer":                {body: whole, ends: crashes},
		"a whole answer that has begun": {body: whole, ends: crashesInAnswer},
		"a stream":                      {body: stream, ends: crashes},
		"a stream that has some tokens": {body: stream, ends: crashesInAnswer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, body := newHarness(t), test.body
			for range 3 {
				h.endpoints = append(h.endpoints, newEndpoint(t))
			}
			for _, e := range h.endpoints {
				e.setScript([]behaviour{test.ends})
			}
			h.publish()
			h.gateway.retryBudget.available = maxRetryBudget
			got, err := h.post(body, nil)
			assert.NilError(t, err)
			ran, _ := got.refusal()
			assert.Assert(t, ran != reason.RanNo)
			assert.Equal(t, h.runCount(), 3)
			for _, e := range h.endpoints {
				e.script = nil
			}
			got, err = h.post(body, nil)
			assert.NilError(t, err)
			ran, why := got.refusal()
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Equal(t, why, reason.Quarantined)
			assert.Equal(t, ran, reason.RanNo)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Equal(t, h.runCount(), 3, "no request may be sent while quarantined")
			// Crashed endpoints are still tried until the catalog drops them.
			served, last := false, outcome{}
			for range 10 {
				h.gateway.retryBudget.available = maxRetryBudget
				other, err := h.post(strings.Replace(body, "ends", "spares", 1), nil)
				assert.NilError(t, err)
				served, last = served || other.status == http.StatusOK, other
			}
			assert.Assert(t, served, "%s", last.body)
		})
	}
}

// TestBrokenConnectionsOfLiveEndpoints checks that a request isn't blamed for broken connections if
// the endpoints are still alive.
func TestBrokenConnectionsOfLiveEndpoints(t *testing.T) {
	h := newHarness(t)
	for _, b := range []behaviour{resets, truncates} {
		for _, e := range h.endpoints {
			e.setScript([]behaviour{b})
		}
		_, err := h.post(`{"model":"chat","prompt":"prompt"}`, nil)
		assert.NilError(t, err)
		assert.Assert(t, h.gateway.Guard().Table().Empty(), "%s", b)
	}
}

// TestCompletedRunClearsCrashes checks that a completed run clears the crashes recorded for a
// request.
func TestCompletedRunClearsCrashes(t *testing.T) {
	tests := map[string]string{
		"a whole answer": `{"model":"chat","prompt":"prompt"}`,
		"a stream":       `{"model":"chat","prompt":"prompt","stream":true}`,
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			h, now := newHarness(t), time.Now()
			f := quarantine.FingerprintOf("demo", http.MethodPost, "", "/v1/completions", []byte(body))
			table := h.gateway.Guard().Table()
			for i := range 2 {
				ended := now.Add(time.Duration(i-2) * time.Second)
				table.Blame(f, quarantine.Crash{Worker: fmt.Sprint(i), Sent: ended, Ended: ended}, now)
			}
			assert.Equal(t, table.State(f, now).Crashes, 2)
			got, err := h.post(body, nil)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if crashes := table.State(f, time.Now()).Crashes; crashes > 0 {
					return poll.Continue("%d crashes are still recorded", crashes)
				}
				return poll.Success()
			}, poll.WithTimeout(time.Minute))
		})
	}
}

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
		unstreamedBody = `{"model":"chat","prompt":"ends endpoints"}`
		streamBody     = `{"model":"chat","prompt":"ends endpoints","stream":true}`
	)
	tests := map[string]struct {
		body  string
		crash behaviour
	}{
		"a whole answer":                {body: unstreamedBody, crash: crashes},
		"a whole answer that has begun": {body: unstreamedBody, crash: crashesInAnswer},
		"a stream":                      {body: streamBody, crash: crashes},
		"a stream that has some tokens": {body: streamBody, crash: crashesInAnswer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, body := newHarness(t), test.body
			for range 3 {
				h.endpoints = append(h.endpoints, newEndpoint(t))
			}
			for _, e := range h.endpoints {
				e.setScript([]behaviour{test.crash})
			}
			h.publishReport()
			h.gateway.retryBudget.availableRetries = maxRetryBudget
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
			// The catalog still lists the crashed endpoints, so some requests fail.
			anyServed, lastAnswer := false, receivedAnswer{}
			for range 10 {
				h.gateway.retryBudget.availableRetries = maxRetryBudget
				other, err := h.post(strings.Replace(body, "ends", "spares", 1), nil)
				assert.NilError(t, err)
				anyServed, lastAnswer = anyServed || other.status == http.StatusOK, other
			}
			assert.Assert(t, anyServed, "%s", lastAnswer.body)
		})
	}
}

// TestBrokenConnectionsOfLiveEndpoints checks that no crash is recorded for a request if its
// connections broke but the endpoints are still running.
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
				crashedAt := now.Add(time.Duration(i-2) * time.Second)
				table.Blame(f, quarantine.Crash{Worker: fmt.Sprint(i), Sent: crashedAt, Ended: crashedAt}, now)
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

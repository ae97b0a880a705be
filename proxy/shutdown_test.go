package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/fleet"
)

// TestStoppingDaemonAcceptsWhatItCanFinish guards against requests that are accepted although they may take longer
// than a stopping daemon has left.
func TestStoppingDaemonAcceptsWhatItCanFinish(t *testing.T) {
	const left = 5 * time.Second
	tests := map[string]struct {
		timeout        time.Duration
		isBinding      bool
		addressExpired bool
		isAlone        bool
		isRefused      bool
	}{
		"its deadline fits":                    {isBinding: true, timeout: 4 * time.Second},
		"its deadline does not fit":            {isBinding: true, timeout: 6 * time.Second, isRefused: true},
		"nobody uses the address":              {isBinding: true, timeout: time.Millisecond, addressExpired: true, isRefused: true},
		"nobody else is ready":                 {isBinding: true, timeout: time.Millisecond, addressExpired: true, isAlone: true},
		"nobody else is ready, may be cut":     {isBinding: true, timeout: 6 * time.Second, isAlone: true, isRefused: true},
		"the same, nobody uses the address":    {isBinding: true, timeout: 6 * time.Second, addressExpired: true, isAlone: true, isRefused: true},
		"early, its deadline fits":             {timeout: 4 * time.Second},
		"early, its deadline does not fit":     {timeout: 6 * time.Second, isRefused: true},
		"early, nobody else is ready":          {timeout: 6 * time.Second, isAlone: true},
		"early, nobody else is ready, it fits": {timeout: 4 * time.Second, isAlone: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := newTestProxy(t)
			now := time.Now()
			r.shutdown = NewShutdown(now, passedOrLater(test.isBinding, now), passedOrLater(test.addressExpired, now), now.Add(left))
			if !test.isAlone {
				r.peers.Store(&[]Peer{{ID: "b", IsReady: true}})
			}
			c := &request{route: &fleet.Route{Name: "route"}, arrived: now, deadline: now.Add(test.timeout)}
			refused := r.checkShutdown(c)
			assert.Equal(t, refused != nil, test.isRefused)
			if refused != nil {
				assert.Assert(t, refused.promisesNotRun())
				assert.Equal(t, refused.retryAfter == retryNoDaemon, test.isAlone, "%s", refused.retryAfter)
				assert.Assert(t, refused.retryAfter > 0)
			}
		})
	}
}

// TestStopIsCheckedBeforeARequestIsSent guards against requests that wait at a stopping daemon and are sent to a
// worker when it can no longer finish them.
func TestStopIsCheckedBeforeARequestIsSent(t *testing.T) {
	w := newFakeWorker(t, "w1")
	r, _ := newTestProxy(t, w)
	now := time.Now()
	c := &request{route: &fleet.Route{Name: "route"}, arrived: now, deadline: now.Add(time.Minute), ctx: t.Context(), triedReplicas: make(map[string]bool)}
	r.shutdown = NewShutdown(now, now.Add(time.Hour), now.Add(time.Hour), now.Add(time.Second))
	assert.Assert(t, r.checkShutdown(c) == nil, "nobody else is ready")
	r.peers.Store(&[]Peer{{ID: "b", IsReady: true}})
	_, refused := r.choose(c)
	assert.Assert(t, refused != nil && refused.reason == reason.Stopping && refused.promisesNotRun())
	c.sends = 1
	_, refused = r.choose(c)
	assert.Assert(t, refused == nil || refused.reason != reason.Stopping, "it may have run")
}

// TestStopIsCheckedForForwardedRequests guards against requests that ran for a peer before and that a stopping
// daemon sends to a worker although it can't finish them.
func TestStopIsCheckedForForwardedRequests(t *testing.T) {
	r, _ := newTestProxy(t, newFakeWorker(t, "w1"))
	now := time.Now()
	c := &request{
		route: &fleet.Route{Name: "route"}, arrived: now, deadline: now.Add(time.Minute), ctx: t.Context(), triedReplicas: make(map[string]bool),
		header: http.Header{forwardedHeader: {"1"}},
	}
	c.readForwarded()
	r.shutdown = NewShutdown(now, now, now, now.Add(time.Second))
	_, refused := r.choose(c)
	assert.Assert(t, refused != nil && refused.reason == reason.Stopping)
	assert.Assert(t, c.correctStatus(refused).promisesNotRun(), "it did not run here")
	c.sends++
	_, refused = r.choose(c)
	assert.Assert(t, refused == nil || refused.reason != reason.Stopping, "it may have run here")
}

// passedOrLater returns a time that has passed, or a later one.
func passedOrLater(isPassed bool, now time.Time) time.Time {
	if isPassed {
		return now
	}
	return now.Add(time.Minute)
}

// TestRefusedByStopDoesNotRun guards against refusals of a stopping daemon that come late or are not true.
func TestRefusedByStopDoesNotRun(t *testing.T) {
	w := newFakeWorker(t, "w1")
	r, server := newTestProxy(t, w)
	r.shutdown = NewShutdown(time.Now(), time.Now(), time.Now(), time.Now())
	got := sendRequest(t, server, "/safe/", "a", nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, string(reason.Stopping)), got.body)
	assert.Equal(t, w.runs("a"), 0)
}

func TestRecentDurations(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		at   time.Duration
		want time.Duration
	}{
		"in the same window":      {at: durationWindow / 2, want: 5 * time.Second},
		"in the next window":      {at: durationWindow + 1, want: 5 * time.Second},
		"two windows later":       {at: 2*durationWindow + 2},
		"after a long quiet time": {at: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := recentDurations{windowEnd: start.Add(durationWindow)}
			r.record(5*time.Second, start)
			r.record(time.Second, start)
			assert.Equal(t, r.recent(start.Add(test.at)), test.want)
			assert.Equal(t, r.total, 2)
		})
	}
}

// TestStopFieldsTellHowARequestWasAccepted guards against requests cut by a stop whose log lines don't tell why
// they were accepted.
func TestStopFieldsTellHowARequestWasAccepted(t *testing.T) {
	r, _ := newTestProxy(t)
	now := time.Now()
	c := &request{route: &fleet.Route{Name: "route"}, arrived: now, deadline: now.Add(2 * time.Second)}
	assert.Equal(t, len(r.stopFields(c)), 0)
	begin := now.Add(-time.Second)
	r.shutdown = NewShutdown(begin, now.Add(time.Minute), now.Add(time.Minute), now.Add(time.Minute))
	fields := []any{"stop_arrived_ms", int64(1000), "stop_deadline_ms", int64(3000)}
	assert.DeepEqual(t, r.stopFields(c), fields)
	assert.Assert(t, r.checkShutdown(c) == nil && c.stopCheck != nil, "the fields describe the last check")
	c.stopCheck = &stopCheck{at: now.Add(time.Millisecond), hasAlternative: true}
	assert.DeepEqual(t, r.stopFields(c), append(fields, "stop_checked_ms", int64(1001), "stop_others_ready", true))
}

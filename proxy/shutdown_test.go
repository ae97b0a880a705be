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

// TestStoppingDaemonAcceptsWhatItCanFinish guards against requests that are accepted although they take longer
// than a stopping daemon has left.
func TestStoppingDaemonAcceptsWhatItCanFinish(t *testing.T) {
	const left = 5 * time.Second
	many, few := minAnswerSamples, minAnswerSamples-1
	tests := map[string]struct {
		samples        int
		longest        time.Duration
		timeout        time.Duration
		isBinding      bool
		addressExpired bool
		isAlone        bool
		isRefused      bool
	}{
		"its deadline fits":                    {isBinding: true, timeout: 4 * time.Second},
		"its deadline does not fit":            {isBinding: true, timeout: 6 * time.Second, isRefused: true},
		"all such requests are short":          {isBinding: true, timeout: 6 * time.Second, samples: many, longest: 3 * time.Second},
		"few such requests are known":          {isBinding: true, timeout: 6 * time.Second, samples: few, longest: 3 * time.Second, isRefused: true},
		"one such request was nearly too long": {isBinding: true, timeout: 6 * time.Second, samples: many, longest: 4500 * time.Millisecond, isRefused: true},
		"they end by their deadline":           {isBinding: true, timeout: 4 * time.Second, samples: many, longest: 20 * time.Second},
		"nobody uses the address":              {isBinding: true, timeout: time.Millisecond, addressExpired: true, isRefused: true},
		"nobody else is ready":                 {isBinding: true, timeout: time.Millisecond, addressExpired: true, isAlone: true},
		"nobody else is ready, may be cut":     {isBinding: true, timeout: 6 * time.Second, addressExpired: true, isAlone: true, isRefused: true},
		"early, it may be cut":                 {timeout: 6 * time.Second, isRefused: true},
		"early, all are short":                 {timeout: 6 * time.Second, samples: many, longest: 3 * time.Second},
		"early, nobody else is ready":          {timeout: 6 * time.Second, isAlone: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := newTestProxy(t)
			now := time.Now()
			for range test.samples {
				r.answerTimes.record("route", test.longest, now)
			}
			r.shutdown = NewShutdown(now, passedOrLater(test.isBinding, now), passedOrLater(test.addressExpired, now), now.Add(left))
			if !test.isAlone {
				r.peers.Store(&[]Peer{{ID: "b", IsReady: true}})
			}
			c := &request{route: &fleet.Route{Name: "route"}, arrived: now, deadline: now.Add(test.timeout)}
			refused := r.checkShutdown(c)
			assert.Equal(t, refused != nil, test.isRefused)
			if refused != nil {
				assert.Assert(t, refused.promisesNotRun() && refused.retryAfter > 0)
			}
		})
	}
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

// TestAnswerTimesAreOfRequestsThatRan guards against estimates from refusals, which take no time.
func TestAnswerTimesAreOfRequestsThatRan(t *testing.T) {
	tests := map[string]struct {
		script []behaviour
		want   int
	}{
		"answered":     {want: 1},
		"broken":       {script: []behaviour{loses, loses}, want: 1},
		"not taken on": {script: []behaviour{rejects, rejects, rejects, rejects}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server := newTestProxy(t, newFakeWorker(t, "w1", test.script...))
			sendRequest(t, server, "/safe/", "a", nil)
			server.Close()
			total := 0
			for _, m := range r.answerTimes.routes {
				total += m.total
			}
			assert.Equal(t, total, test.want)
		})
	}
}

func TestRecentDurations(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		at        time.Duration
		want      time.Duration
		wantCount int
	}{
		"in the same window":      {at: durationWindow / 2, want: 5 * time.Second, wantCount: 2},
		"in the next window":      {at: durationWindow + 1, want: 5 * time.Second, wantCount: 2},
		"two windows later":       {at: 2*durationWindow + 2},
		"after a long quiet time": {at: time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := recentDurations{windowEnd: start.Add(durationWindow)}
			r.record(5*time.Second, start)
			r.record(time.Second, start)
			got, count := r.recent(start.Add(test.at))
			assert.Equal(t, got, test.want)
			assert.Equal(t, count, test.wantCount)
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
	assert.DeepEqual(t, r.stopFields(c), []any{"stop_arrived_ms", int64(1000)})
	assert.Assert(t, r.checkShutdown(c) == nil)
	assert.DeepEqual(t, r.stopFields(c), []any{
		"stop_arrived_ms", int64(1000), "stop_expected_ms", int64(3000), "stop_expected_by", "deadline", "stop_others_ready", false,
	})
}

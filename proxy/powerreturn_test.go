package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

const (
	// waitingCallers is the number of callers that waited during the power loss, newCallers the
	// number that arrive in the three seconds after it.
	waitingCallers = 210
	newCallers     = 270
	// restartPromptTokens is the length of each prompt. A head reads it in 25 ms.
	restartPromptTokens = 250
)

// TestReturnAfterPowerLoss simulates all daemons returning at once after a power loss of 1.3 s. The
// daemons know no loads when the waiting callers arrive, and new callers keep arriving. Streams
// that only wait in a queue must not be canceled, and nearly all callers must be served.
func TestReturnAfterPowerLoss(t *testing.T) {
	const rounds = 4
	waitingServed, newServed, newInTime := 0, 0, 0
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			p := simulatePowerReturn(t)
			waitingServed += p.count("waited", waitingCallers, p.isServed)
			newServed += p.count("new", newCallers, func(id string) bool { return p.isServed(id) || p.isServed(id+" again") })
			newInTime += p.count("new", newCallers, func(id string) bool {
				return p.isServed(id) && p.results[id].firstBytesAfter < 300*time.Millisecond
			})
		})
	}
	t.Logf("served: %d who waited, %d new ones; in time %d", waitingServed, newServed, newInTime)
	assert.Assert(t, waitingServed >= rounds*waitingCallers*97/100, "%d who waited are served", waitingServed)
	assert.Assert(t, newServed >= rounds*newCallers*98/100, "%d new ones are served", newServed)
	assert.Assert(t, newInTime >= rounds*newCallers*15/100, "%d new ones are in time", newInTime)
}

func simulatePowerReturn(t *testing.T) *simulation {
	t.Helper()
	const (
		daemons, heads = 24, 8
		outage         = 1300 * time.Millisecond
		timeout        = 6 * time.Second
	)
	var all []*simHead
	for i := range heads {
		all = append(all, &simHead{id: fmt.Sprint("h", i), passTime: 100 * time.Millisecond})
	}
	p := newSimulation(t, daemons, all...)
	for i := range waitingCallers {
		waited := outage * time.Duration(i) / waitingCallers
		p.calls.Go(func() {
			time.Sleep(time.Duration(i%50) * 2 * time.Millisecond)
			p.send(i%daemons, fmt.Sprint("waited", i), restartPromptTokens, timeout-waited)
		})
	}
	for i := range newCallers {
		p.calls.Go(func() { p.callWithRetry(i%daemons, fmt.Sprint("new", i), restartPromptTokens, timeout) })
		time.Sleep(3 * time.Second / newCallers)
	}
	p.calls.Wait()
	return p
}

// TestEstimateWaited: the estimate must be right whether callers start with the route's timeout or
// a shorter one.
func TestEstimateWaited(t *testing.T) {
	now := time.Unix(1000, 0)
	route, _ := simConfig().Route("h", "/stream/")
	tests := map[string]struct {
		// earlierTimeout is the remaining time of each earlier caller, earlierCallers their number.
		// timeout is the remaining time of the tested caller. If later is set, one more caller with
		// that timeout arrives between them.
		earlierTimeout time.Duration
		earlierCallers int
		timeout        time.Duration
		later          time.Duration
		want           time.Duration
	}{
		"the first caller, who waited":           {timeout: 4700 * time.Millisecond, want: 1300 * time.Millisecond},
		"one of many who give all":               {earlierTimeout: 6 * time.Second, earlierCallers: 50, timeout: 5 * time.Second, want: time.Second},
		"callers who give less than the route":   {earlierTimeout: 3 * time.Second, earlierCallers: 50, timeout: 3 * time.Second},
		"one of them who waited":                 {earlierTimeout: 3 * time.Second, earlierCallers: 50, timeout: 2 * time.Second, want: time.Second},
		"what was given long ago does not count": {earlierTimeout: 6 * time.Second, earlierCallers: 50, timeout: 3 * time.Second, later: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newRouteDurations()
			for range test.earlierCallers {
				estimateWaited(p, route, test.earlierTimeout, now)
			}
			if test.later > 0 {
				// Two windows pass.
				estimateWaited(p, route, test.timeout, now.Add(test.later))
				now := now.Add(2 * test.later)
				assert.Equal(t, estimateWaited(p, route, test.timeout, now), test.want)
				return
			}
			assert.Equal(t, estimateWaited(p, route, test.timeout, now), test.want)
		})
	}
}

// TestOldRoutesAreForgotten: routes that were renamed must not accumulate.
func TestOldRoutesAreForgotten(t *testing.T) {
	p, now := newRouteDurations(), time.Unix(1000, 0)
	for i := range 50 {
		estimateWaited(p, &fleet.Route{Name: fmt.Sprint(i)}, time.Second, now.Add(time.Duration(i)*durationWindow))
	}
	assert.Assert(t, len(p.routes) <= 4, "%d routes are held", len(p.routes))
}

package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

const (
	// waitingCallers waited during the power loss, newCallers arrive in the three seconds after
	// it.
	waitingCallers = 210
	newCallers     = 270
	// restartPromptTokens are read in 25 ms.
	restartPromptTokens = 250
)

// TestReturnAfterPowerLoss simulates all daemons returning at once after a power loss of 1.3 s.
// They know no loads, while the waiting callers arrive within 100 ms beside new ones. It guards
// against canceling streams that only wait in a queue, and against refusing late callers at the
// cost of new ones.
func TestReturnAfterPowerLoss(t *testing.T) {
	const rounds = 4
	waited, fresh, inTime := 0, 0, 0
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			p := simulatePowerReturn(t)
			waited += p.count("waited", waitingCallers, p.served)
			fresh += p.count("new", newCallers, func(id string) bool { return p.served(id) || p.served(id+" again") })
			inTime += p.count("new", newCallers, func(id string) bool {
				return p.served(id) && p.results[id].first < 300*time.Millisecond
			})
		})
	}
	t.Logf("served: %d who waited, %d new ones; in time %d", waited, fresh, inTime)
	assert.Assert(t, waited >= rounds*waitingCallers*97/100, "%d who waited are served", waited)
	assert.Assert(t, fresh >= rounds*newCallers*98/100, "%d new ones are served", fresh)
	assert.Assert(t, inTime >= rounds*newCallers*15/100, "%d new ones are in time", inTime)
}

func simulatePowerReturn(t *testing.T) *simulation {
	t.Helper()
	const (
		daemons, heads = 24, 8
		outage         = 1300 * time.Millisecond
		given          = 6 * time.Second
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
			p.send(i%daemons, fmt.Sprint("waited", i), restartPromptTokens, given-waited)
		})
	}
	for i := range newCallers {
		p.calls.Go(func() { p.callWithRetry(i%daemons, fmt.Sprint("new", i), restartPromptTokens, given) })
		time.Sleep(3 * time.Second / newCallers)
	}
	p.calls.Wait()
	return p
}

// TestEstimateWaited: the remaining time sent by a caller shows how long it has waited, whether a
// route's callers start with the route's timeout or a shorter one.
func TestEstimateWaited(t *testing.T) {
	now := time.Unix(1000, 0)
	route, _ := simConfig().Route("h", "/stream/")
	tests := map[string]struct {
		// usual is the remaining time of earlier callers, before how many there were.
		usual  time.Duration
		before int
		given  time.Duration
		later  time.Duration
		want   time.Duration
	}{
		"the first caller, who waited":           {given: 4700 * time.Millisecond, want: 1300 * time.Millisecond},
		"one of many who give all":               {usual: 6 * time.Second, before: 50, given: 5 * time.Second, want: time.Second},
		"callers who give less than the route":   {usual: 3 * time.Second, before: 50, given: 3 * time.Second},
		"one of them who waited":                 {usual: 3 * time.Second, before: 50, given: 2 * time.Second, want: time.Second},
		"what was given long ago does not count": {usual: 6 * time.Second, before: 50, given: 3 * time.Second, later: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newCallerTimeouts()
			for range test.before {
				p.estimateWaited(route, test.usual, now)
			}
			if test.later > 0 {
				// Two windows pass.
				p.estimateWaited(route, test.given, now.Add(test.later))
				now := now.Add(2 * test.later)
				assert.Equal(t, p.estimateWaited(route, test.given, now), test.want)
				return
			}
			assert.Equal(t, p.estimateWaited(route, test.given, now), test.want)
		})
	}
}

// TestOldRoutesAreForgotten: routes that were renamed must not accumulate.
func TestOldRoutesAreForgotten(t *testing.T) {
	p, now := newCallerTimeouts(), time.Unix(1000, 0)
	for i := range 50 {
		p.estimateWaited(&fleet.Route{Name: fmt.Sprint(i)}, time.Second, now.Add(time.Duration(i)*timeoutWindow))
	}
	assert.Assert(t, len(p.routes) <= 4, "%d routes are held", len(p.routes))
}

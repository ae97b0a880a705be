package proof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/intent"
	"quartzshelf.dev/standin"
)

// keyOptions describes a fleet without replica controllers.
var keyOptions = fleetOptions{daemons: 3, withoutControllers: true}

// keyCall is a caller's request with an idempotency key.
type keyCall struct {
	delay time.Duration
	host  int
	key   int
	// outcome is what the test simulates if this call wins the claim: answered, lost or not sent.
	outcome string
}

// String describes the call in the message of a failed test.
func (c keyCall) String() string {
	return fmt.Sprintf("+%v host=%d key=%d %s", c.delay, c.host, c.key, c.outcome)
}

var outcomes = []string{"answered", "lost", "not sent"}

func drawCalls(t *rapid.T) []keyCall {
	generator := rapid.Custom(func(t *rapid.T) keyCall {
		return keyCall{
			delay:   rapid.SampledFrom(delays).Draw(t, "delay"),
			host:    rapid.SampledFrom(indices(keyOptions.daemons)).Draw(t, "host"),
			key:     rapid.SampledFrom(indices(3)).Draw(t, "key"),
			outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
		}
	})
	return rapid.SliceOfN(generator, 5, 25).Draw(t, "calls")
}

// executionChecker records the executions of each key and the answers that callers got.
type executionChecker struct {
	mu sync.Mutex
	// runs holds the number of executions by key.
	runs map[int]int
	// maybeRan holds the keys for which some caller got anything but the answer "not run". A lost
	// answer counts too.
	maybeRan map[int]bool
	// answered holds the keys for which some caller got the result of the request.
	answered map[int]bool
}

func (e *executionChecker) record(key int, isNotRun, isAnswered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maybeRan[key] = e.maybeRan[key] || !isNotRun
	e.answered[key] = e.answered[key] || isAnswered
}

// callWithKey handles a request that must run at most once as the gateway does.
func (e *executionChecker) callWithKey(h *host, c keyCall) {
	ledger, net := h.ledger, h.fleet.net
	kills := net.killCount(h.id)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	claim, err := ledger.ClaimKey(ctx, intent.Key(fmt.Sprint("key", c.key)), "body")
	switch {
	case err != nil:
		e.record(c.key, true, false)
		return
	case !claim.Won():
		outcome := ledger.Outcome(ctx, claim.Entry())
		if outcome.Phase() == intent.PhaseReleased {
			ledger.ReleaseFor(intent.Key(fmt.Sprint("key", c.key)), claim.Entry().Attempt())
		}
		e.record(c.key, outcome.Phase() == intent.PhaseReleased, outcome.Phase() == intent.PhaseDone)
		return
	case c.outcome == "not sent" || !claim.MaySend(time.Now()):
		ledger.Release(ctx, claim)
		e.record(c.key, true, false)
		return
	}
	// The daemon may freeze right after the check.
	net.waitWhileFrozen(h.id)
	if net.killCount(h.id) != kills {
		// The daemon was killed before it sent the request. Its caller sees a broken connection.
		e.record(c.key, false, false)
		return
	}
	e.mu.Lock()
	e.runs[c.key]++
	e.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	net.waitWhileFrozen(h.id)
	if c.outcome == "lost" {
		ledger.MarkUnknown(claim)
		e.record(c.key, false, false)
		return
	}
	ledger.Finish(claim, intent.NewAnswer(200, "", []byte("ok")))
	e.record(c.key, false, true)
}

// findProblem returns a contradiction between the executions and the answers, or an empty
// string.
func (e *executionChecker) findProblem() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, n := range e.runs {
		if n > 1 {
			return fmt.Sprintf("key %d ran %d times", key, n)
		}
		if n > 0 && !e.maybeRan[key] {
			return fmt.Sprintf("key %d ran, but all its callers got the answer that it did not", key)
		}
	}
	for key := range e.answered {
		if e.answered[key] && e.runs[key] == 0 {
			return fmt.Sprintf("key %d was answered, but it did not run", key)
		}
	}
	return ""
}

// runKeyCalls runs calls and faults concurrently and returns a problem, or an empty string.
func runKeyCalls(t *testing.T, calls []keyCall, schedule []fault) string {
	problem := ""
	synctest.Test(t, func(*testing.T) {
		f := newFleet(keyOptions)
		e := &executionChecker{runs: make(map[int]int), maybeRan: make(map[int]bool), answered: make(map[int]bool)}
		time.Sleep(2 * time.Second)
		var faults, callers conc.WaitGroup
		faults.Go(func() { f.injectFaults(schedule, keyOptions) })
		for _, c := range calls {
			time.Sleep(c.delay)
			if h := f.hosts[c.host]; h.isAlive() {
				callers.Go(func() { e.callWithKey(h, c) })
			}
		}
		faults.Wait()
		f.net.heal()
		f.log.SetFaults(standin.LogFaults{})
		callers.Wait()
		time.Sleep(time.Minute)
		problem = e.findProblem()
		f.stop()
	})
	return problem
}

// replaceNodeFaults replaces the faults that need nodes, for tests without nodes. Each of them
// becomes a freeze of a daemon before that daemon's next append to the log.
func replaceNodeFaults(schedule []fault) []fault {
	var replaced []fault
	for _, f := range schedule {
		switch f.name {
		case "kill node", "restart node", "stick node", "unstick node", "node leaves", "node stays", "freeze on order":
			f.name = "freeze on append"
		}
		replaced = append(replaced, f)
	}
	return replaced
}

// TestKeyRunsAtMostOnce checks that a request with a key runs at most once over all daemons. It
// also checks that a request did not run if all its callers got the answer "not run".
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		calls := drawCalls(rt)
		schedule := replaceNodeFaults(drawSchedule(rt, keyOptions.daemons, 1, 3, 25))
		if problem := runKeyCalls(t, calls, schedule); problem != "" {
			rt.Fatalf("%s\ncalls: %v\nschedule: %v", problem, calls, schedule)
		}
	})
}

// TestKeyAfterAbandonedClaim abandons a claim while the log is unavailable, so the log may
// contain only the release of the claim. The next caller must be able to claim the key.
func TestKeyAfterAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(keyOptions)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.log.SetFaults(standin.LogFaults{Outage: true})
		_, err := f.hosts[1].ledger.ClaimKey(t.Context(), "key", "body")
		assert.Assert(t, err != nil)
		time.Sleep(time.Second)
		f.log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		claim, err := f.hosts[2].ledger.ClaimKey(t.Context(), "key", "body")
		assert.NilError(t, err)
		assert.Assert(t, claim.Won(), "the key is held: %+v", claim.Entry())
	})
}

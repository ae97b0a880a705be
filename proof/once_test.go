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

// onceOptions is a fleet whose controllers are left out.
var onceOptions = fleetOptions{daemons: 3, withoutControllers: true}

// keyCall is a caller's request for a key.
type keyCall struct {
	wait time.Duration
	host int
	key  int
	// ending is what becomes of the request if it is sent.
	ending string
}

// String describes the call for a failed test.
func (c keyCall) String() string {
	return fmt.Sprintf("+%v host=%d key=%d %s", c.wait, c.host, c.key, c.ending)
}

var endings = []string{"answered", "lost", "not sent"}

func drawCalls(t *rapid.T) []keyCall {
	one := rapid.Custom(func(t *rapid.T) keyCall {
		return keyCall{
			wait:   rapid.SampledFrom(waits).Draw(t, "wait"),
			host:   rapid.SampledFrom(numbers(onceOptions.daemons)).Draw(t, "host"),
			key:    rapid.SampledFrom(numbers(3)).Draw(t, "key"),
			ending: rapid.SampledFrom(endings).Draw(t, "ending"),
		}
	})
	return rapid.SliceOfN(one, 5, 25).Draw(t, "calls")
}

// endpoint counts how often each key ran and what callers were told.
type endpoint struct {
	mu sync.Mutex
	// runs counts, by key, the requests that were sent.
	runs map[int]int
	// said holds, by key, whether some caller was not told "not run".
	said map[int]bool
	// done holds the keys whose answer some caller got.
	done map[int]bool
}

func (e *endpoint) note(key int, notRun, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.said[key] = e.said[key] || !notRun
	e.done[key] = e.done[key] || done
}

// call does what the gateway does with a request that must not be repeated.
func (e *endpoint) call(h *host, c keyCall) {
	ledger, net := h.ledger, h.fleet.net
	deaths := net.deathsOf(h.id)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	claim, err := ledger.Take(ctx, intent.Key(fmt.Sprint("key", c.key)), "body")
	switch {
	case err != nil:
		e.note(c.key, true, false)
		return
	case !claim.Won():
		outcome := ledger.Outcome(ctx, claim.Entry())
		if outcome.Phase() == intent.PhaseReleased {
			ledger.ReleaseFor(intent.Key(fmt.Sprint("key", c.key)), claim.Entry().Attempt())
		}
		e.note(c.key, outcome.Phase() == intent.PhaseReleased, outcome.Phase() == intent.PhaseDone)
		return
	case c.ending == "not sent" || !claim.MaySend(time.Now()):
		ledger.Release(ctx, claim)
		e.note(c.key, true, false)
		return
	}
	// A freeze may come right after the check.
	net.gate(h.id)
	if net.deathsOf(h.id) != deaths {
		// The daemon died before it sent; its caller sees a broken connection.
		e.note(c.key, false, false)
		return
	}
	e.mu.Lock()
	e.runs[c.key]++
	e.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	net.gate(h.id)
	if c.ending == "lost" {
		ledger.Lose(claim)
		e.note(c.key, false, false)
		return
	}
	ledger.Finish(claim, intent.NewAnswer(200, "", []byte("ok")))
	e.note(c.key, false, true)
}

// verdict returns what is wrong with what ran and what was said.
func (e *endpoint) verdict() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, n := range e.runs {
		if n > 1 {
			return fmt.Sprintf("key %d ran %d times", key, n)
		}
		if n > 0 && !e.said[key] {
			return fmt.Sprintf("key %d ran, but all its callers were told that it was not", key)
		}
	}
	for key := range e.done {
		if e.done[key] && e.runs[key] == 0 {
			return fmt.Sprintf("key %d was answered, but it did not run", key)
		}
	}
	return ""
}

// callKeys runs calls and faults side by side and returns what is wrong.
func callKeys(t *testing.T, calls []keyCall, schedule []fault) string {
	problem := ""
	synctest.Test(t, func(*testing.T) {
		f := newFleet(onceOptions)
		e := &endpoint{runs: make(map[int]int), said: make(map[int]bool), done: make(map[int]bool)}
		time.Sleep(2 * time.Second)
		var all, callers conc.WaitGroup
		all.Go(func() { f.hitAll(schedule, onceOptions) })
		for _, c := range calls {
			time.Sleep(c.wait)
			if h := f.hosts[c.host]; h.alive() {
				callers.Go(func() { e.call(h, c) })
			}
		}
		all.Wait()
		f.net.heal()
		f.log.SetFaults(standin.LogFaults{})
		callers.Wait()
		time.Sleep(time.Minute)
		problem = e.verdict()
		f.stop()
	})
	return problem
}

// onceFaults leaves out the faults of nodes, which play no part.
func onceFaults(schedule []fault) []fault {
	var kept []fault
	for _, x := range schedule {
		switch x.name {
		case "kill node", "restart node", "stick node", "unstick node", "node leaves", "node stays", "freeze on order":
			x.name = "freeze on append"
		}
		kept = append(kept, x)
	}
	return kept
}

// TestKeyRunsAtMostOnce covers two promises: a request with a key runs at most
// once over all daemons, and what callers were told was not run did not run.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		calls := drawCalls(rt)
		schedule := onceFaults(drawSchedule(rt, onceOptions.daemons, 1, 3, 25))
		if problem := callKeys(t, calls, schedule); problem != "" {
			rt.Fatalf("%s\ncalls: %v\nschedule: %v", problem, calls, schedule)
		}
	})
}

// TestKeyAfterAbandonedClaim lets a claim be given up while the log is out. Its
// release may be all that the log ever shows of the key; the next caller must
// be able to claim it.
func TestKeyAfterAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(onceOptions)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.log.SetFaults(standin.LogFaults{Outage: true})
		_, err := f.hosts[1].ledger.Take(t.Context(), "key", "body")
		assert.Assert(t, err != nil)
		time.Sleep(time.Second)
		f.log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		claim, err := f.hosts[2].ledger.Take(t.Context(), "key", "body")
		assert.NilError(t, err)
		assert.Assert(t, claim.Won(), "the key is held: %+v", claim.Entry())
	})
}

package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// budgetStart is when the simulations of budgets start.
var budgetStart = time.Unix(1_700_000_000, 0)

// wholeShare is the share of a daemon that is alone.
func wholeShare() float64 { return 1 }

// fleetBudgets returns the budgets of all daemons of a fleet.
func fleetBudgets(daemons int, extra float64) []*budget {
	var all []*budget
	for i := range daemons {
		b := newBudget(RetryBudget{
			Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: extra, Self: fmt.Sprint("front-", i),
			Daemons: func() int { return daemons }, Share: func() float64 { return 1 / float64(daemons) },
		}, budgetStart)
		b.youngUntil = budgetStart
		all = append(all, b)
	}
	return all
}

// budgetLoad is a load of requests to one service, spread over the daemons of a fleet.
type budgetLoad struct {
	daemons   int
	extra     float64
	perSecond int
	// failedShare is the share of requests that fail, minAllowedShare the minimum share of
	// retries that must be allowed.
	failedShare, minAllowedShare float64
}

// budgetSteps is the length of the simulation, budgetWindow that of the budget's window. Both are
// in steps of 0.1 s.
const (
	budgetSteps  = 600
	budgetWindow = 100
)

// budgetCounts holds the requests and retries by step. retriesAsked is the number of retries that
// were requested, retriesAllowed the number that were allowed.
type budgetCounts struct {
	requests, retries            [budgetSteps]int
	retriesAsked, retriesAllowed int
}

// simulate spreads the requests over the daemons for a minute.
func (l budgetLoad) simulate() budgetCounts {
	all, random := fleetBudgets(l.daemons, l.extra), rand.New(rand.NewPCG(3, 3))
	var counts budgetCounts
	for step := range counts.requests {
		now := budgetStart.Add(time.Duration(step) * time.Second / 10)
		for range l.perSecond / 10 {
			b := all[random.IntN(len(all))]
			b.addRequest("s", now)
			counts.requests[step]++
			if random.Float64() >= l.failedShare {
				continue
			}
			counts.retriesAsked++
			if b.takeRetry("s", now) {
				counts.retriesAllowed++
				counts.retries[step]++
			}
		}
	}
	return counts
}

// TestBudgetOfALargeFleet checks that the fleet uses its retry budget even if each daemon sees
// few requests, and that no window exceeds it.
func TestBudgetOfALargeFleet(t *testing.T) {
	tests := map[string]budgetLoad{
		"986 daemons, a seventh fails":     {daemons: 986, extra: 1040, perSecond: 67, failedShare: 0.14, minAllowedShare: 0.9},
		"986 daemons, all fail":            {daemons: 986, extra: 1040, perSecond: 630, failedShare: 1},
		"1,970 daemons, a seventh fails":   {daemons: 1970, extra: 1040, perSecond: 134, failedShare: 0.14, minAllowedShare: 0.4},
		"1,970 daemons, all fail":          {daemons: 1970, extra: 1040, perSecond: 1260, failedShare: 1},
		"295 daemons, all fail":            {daemons: 295, extra: 400, perSecond: 300, failedShare: 1},
		"9 daemons, all fail":              {daemons: 9, extra: 109, perSecond: 100, failedShare: 1},
		"9 daemons, few repeats, all fail": {daemons: 9, extra: 5, perSecond: 100, failedShare: 1},
		"986 daemons, few repeats":         {daemons: 986, extra: 20, perSecond: 630, failedShare: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			counts := test.simulate()
			assert.Assert(t, float64(counts.retriesAllowed) >= test.minAllowedShare*float64(counts.retriesAsked), "%d of %d allowed", counts.retriesAllowed, counts.retriesAsked)
			for first := range budgetSteps - budgetWindow {
				requests, retries := 0, 0
				for i := first; i < first+budgetWindow; i++ {
					requests, retries = requests+counts.requests[i], retries+counts.retries[i]
				}
				assert.Assert(t, float64(retries) <= 0.2*float64(requests)+test.extra, "%d repeats of %d requests from step %d", retries, requests, first)
			}
		})
	}
}

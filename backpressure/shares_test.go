package backpressure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
	"quartzshelf.dev/fleet"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// TestDivide checks the number of shares of a limit, the total rate of the shares, and that the
// bound is kept even with one additional share.
func TestDivide(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		members   int
		shares    int
		// minUse is the minimum fraction of the limit that is used on average.
		minUse float64
	}{
		"a low limit":            {perSecond: 1.3, members: 40, shares: 4, minUse: 1},
		"a limit below one":      {perSecond: 0.25, members: 40, shares: 1, minUse: 1},
		"a limit of zero":        {perSecond: 0, members: 40, shares: 1},
		"a usual rate":           {perSecond: 6, members: 40, shares: 12, minUse: 1},
		"a high limit":           {perSecond: 100, members: 40, shares: 40, minUse: 1},
		"a daemon that is alone": {perSecond: 1.3, members: 1, shares: 1, minUse: 0.9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := testBound.divide(test.perSecond, test.members)
			assert.Equal(t, d.shares, test.shares)
			assert.Assert(t, d.rate*float64(d.shares) >= test.minUse*test.perSecond, "%.2f a second are used", d.rate*float64(d.shares))
			sent := float64(d.shares+1) * testBound.maxSentPerShare(d.rate)
			assert.Assert(t, sent <= testBound.maxRequests(test.perSecond), "%.1f sent", sent)
			single := testBound.singleShare(test.perSecond)
			assert.Assert(t, 2*testBound.maxSentPerShare(single.rate) <= testBound.maxRequests(test.perSecond)+1e-9)
		})
	}
}

// TestEachShareHasOneHolder checks that every share is held by exactly one daemon, for any number
// of halls and daemons.
func TestEachShareHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := namesOf("hall", rapid.IntRange(1, 6).Draw(t, "halls"))
		shares := rapid.IntRange(1, 30).Draw(t, "shares")
		worker := rapid.StringMatching(`i-[0-9a-f]{4}`).Draw(t, "worker")
		held := 0
		for _, hall := range halls {
			members := namesOf(hall, rapid.IntRange(1, MaxShareholders).Draw(t, hall))
			for _, self := range members {
				held += shareholders{self: self, hall: hall, halls: halls, members: members}.countShares(worker, shares)
			}
		}
		assert.Equal(t, held, shares)
	})
}

func namesOf(prefix string, count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("%s-%d", prefix, i))
	}
	return all
}

// TestDaemonsWithoutShares checks that a daemon holds no shares if it does not know the members of
// its hall or is not one of them.
func TestDaemonsWithoutShares(t *testing.T) {
	p := shareholders{self: "a", hall: "hall", halls: []string{"hall"}}
	assert.Equal(t, p.countShares("w", 3), 0)
	p.members = []string{"b", "c"}
	assert.Equal(t, p.countShares("w", 3), 0)
}

const (
	// simStep is the time between two attempts of a simulated daemon to send. simSteps is the
	// number of steps of a simulation.
	simStep  = 20 * time.Millisecond
	simSteps = 1500
	// joinDelay is the time until all daemons of a hall have learned of an added one.
	joinDelay = time.Second
)

// simDaemon is a simulated daemon that sends all requests it may to the limited worker.
type simDaemon struct {
	id, hall string
	table    *Table
	// joinsAt is when the daemon is added, and learnsAt when it learns of the limit. From
	// frozenFrom to frozenUntil its process does not run. At the times in restarts it restarts
	// without state.
	joinsAt, learnsAt       time.Duration
	frozenFrom, frozenUntil time.Duration
	restarts                []time.Duration
	// delay is the network delay of its requests.
	delay time.Duration
}

func (s *simDaemon) restart(all []*simDaemon, halls []string, now *time.Duration) {
	s.table = NewTable(Options{
		Self: s.id, Hall: s.hall, Halls: halls, Bound: testBound, Changed: func(Change) {},
		Members: func() []string {
			var members []string
			for _, other := range all {
				if other.hall == s.hall && (other == s || other.joinsAt == 0 || *now >= other.joinsAt+joinDelay || s.joinsAt >= other.joinsAt && *now >= s.joinsAt) {
					members = append(members, other.id)
				}
			}
			return members[:min(len(members), MaxShareholders)]
		},
	})
}

func drawDaemon(t *rapid.T, i int, halls []string) *simDaemon {
	drawSteps := func(name string, maxSteps int) time.Duration {
		return time.Duration(rapid.IntRange(0, maxSteps).Draw(t, name)) * simStep
	}
	s := &simDaemon{id: fmt.Sprintf("daemon-%02d", i), hall: rapid.SampledFrom(halls).Draw(t, "hall"), learnsAt: drawSteps("hears", 100), delay: drawSteps("delay", 3)}
	s.frozenFrom = drawSteps("frozen", simSteps)
	s.frozenUntil = s.frozenFrom + drawSteps("froze", 200)
	for range rapid.IntRange(0, 3).Draw(t, "restarts") {
		s.restarts = append(s.restarts, drawSteps("restart", simSteps))
	}
	return s
}

// runStep runs one step of the daemon and reports whether it sends a request.
func (s *simDaemon) runStep(step int, now time.Duration, r *fleet.Replica, perSecond float64) bool {
	at, restarted := start.Add(now), slices.Contains(s.restarts, now)
	if now < s.joinsAt || s.frozenFrom <= now && now < s.frozenUntil || now < s.learnsAt {
		return false
	}
	if step%50 == 0 || now == s.learnsAt || restarted {
		s.table.Observe(r.Head, limitSignal(perSecond), at, at)
		s.table.Refresh(at)
	}
	_, ok := s.table.Take(r, at)
	return ok && s.table.HasLimit() != nil
}

// simulate runs a simulation in which the daemons send all requests that they may. It returns the
// sorted arrival times of the requests at the worker.
func simulate(all []*simDaemon, halls []string, perSecond float64) []time.Duration {
	var now time.Duration
	for _, s := range all {
		s.restart(all, halls, &now)
	}
	r := &fleet.Replica{ID: "g", Head: &fleet.Worker{ID: "w"}}
	var arrivals []time.Duration
	for step := range simSteps {
		now = time.Duration(step) * simStep
		for _, s := range all {
			if slices.Contains(s.restarts, now) {
				s.restart(all, halls, &now)
			}
			if s.runStep(step, now, r, perSecond) {
				arrivals = append(arrivals, now+s.delay)
			}
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// TestSumStaysBelowLimit checks that no more requests arrive within a window than the bound allows.
// Daemons may learn of the limit late, freeze or restart, and one is added during the simulation.
func TestSumStaysBelowLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0, 0.25, 1, 1.3, 1.6, 3, 10}).Draw(t, "limit")
		halls := namesOf("hall", rapid.IntRange(1, 5).Draw(t, "halls"))
		var all []*simDaemon
		for i := range rapid.IntRange(1, 24).Draw(t, "daemons") {
			all = append(all, drawDaemon(t, i, halls))
		}
		all[len(all)-1].joinsAt = time.Duration(rapid.IntRange(1, simSteps).Draw(t, "joins")) * simStep
		first := 0
		arrivals := simulate(all, halls, perSecond)
		for i, at := range arrivals {
			for at-arrivals[first] >= testBound.Window {
				first++
			}
			allowed := testBound.Burst*perSecond*testBound.Window.Seconds() + testBound.Slack
			assert.Assert(t, float64(i-first+1) <= allowed, "%d requests in the %s before %s, %.1f allowed", i-first+1, testBound.Window, at, allowed)
		}
	})
}

// daemonsOf returns daemons that have learned of the limit.
func daemonsOf(halls, perHall int, perSecond float64) []*simDaemon {
	names := namesOf("hall", halls)
	var all []*simDaemon
	for i := range halls * perHall {
		all = append(all, &simDaemon{id: fmt.Sprintf("daemon-%03d", i), hall: names[i%halls]})
	}
	var now time.Duration
	for _, s := range all {
		s.restart(all, names, &now)
		s.table.Observe(&fleet.Worker{ID: "w"}, limitSignal(perSecond), start, start)
	}
	return all
}

// TestSumOfLargeFleets checks for fleets of several sizes that all daemons together send no more
// than the limit, and at least half of it.
func TestSumOfLargeFleets(t *testing.T) {
	tests := map[string]struct{ halls, perHall int }{
		"6 daemons":   {3, 2},
		"70 daemons":  {3, 24},
		"300 daemons": {3, 100},
		"986 daemons": {5, 197},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const perSecond, seconds = 1.3, 9
			all := daemonsOf(test.halls, test.perHall, perSecond)
			r, arrivals := &fleet.Replica{ID: "g", Head: &fleet.Worker{ID: "w"}}, 0
			for step := range seconds * 10 * len(all) {
				at := start.Add(time.Duration(step/len(all)) * 100 * time.Millisecond)
				if _, ok := all[step%len(all)].table.Take(r, at); ok {
					arrivals++
				}
			}
			assert.Assert(t, float64(arrivals) <= perSecond*seconds, "%d requests arrived", arrivals)
			assert.Assert(t, float64(arrivals) >= perSecond*seconds/2, "%d requests arrived", arrivals)
		})
	}
}

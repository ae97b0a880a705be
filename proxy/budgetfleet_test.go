package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/peers"
)

// The simulation of a fleet's retry budgets runs in steps of fleetStep.
const (
	fleetStep   = 100 * time.Millisecond
	fleetWindow = 10 * time.Second
	fleetSteps  = 450
	windowSteps = int(fleetWindow / fleetStep)
	// stepsPerSecond is the number of steps in a second.
	stepsPerSecond = int(time.Second / fleetStep)
)

// budgetFleet is a fleet of daemons that share a retry budget. It counts what they send.
type budgetFleet struct {
	start    time.Time
	random   *rand.Rand
	extra    float64
	daemons  []*budgetDaemon
	requests [fleetSteps]int
	retries  [fleetSteps]int
	// refused is the number of retries that budgets refused.
	refused int
}

// budgetDaemon is a daemon of a budgetFleet. Its process may end and start again.
type budgetDaemon struct {
	fleet  *budgetFleet
	id     string
	budget *budget
	// side is the side of a network partition that the daemon is on.
	side int
	// startsAt is the step at which a killed daemon starts again, resumesAt the step at which a
	// frozen one goes on.
	startsAt, resumesAt int
	// clockOffset is how far the time of day is off at this daemon.
	clockOffset time.Duration
	shares      *peers.Shares
}

const budgetRatio = 0.2

func newBudgetFleet(random *rand.Rand, daemons int, extra float64) *budgetFleet {
	f := &budgetFleet{start: time.Now(), random: random, extra: extra}
	for range daemons {
		f.join(0, true)
	}
	return f
}

// join adds a daemon. isFirst reports whether the fleet starts for the first time.
func (f *budgetFleet) join(step int, isFirst bool) {
	d := &budgetDaemon{fleet: f, id: fmt.Sprint("front-", len(f.daemons))}
	f.daemons = append(f.daemons, d)
	d.startProcess(step, isFirst)
}

func (d *budgetDaemon) startProcess(step int, isFirst bool) {
	d.shares = peers.NewShares(d.now(step))
	d.budget = newBudget(RetryBudget{
		Ratio: budgetRatio, Window: fleetWindow, ExtraRetries: d.fleet.extra, Self: d.id,
		Daemons: func() int { return len(d.fleet.daemons) }, Share: d.shares.Usable,
	}, d.now(step))
	if isFirst {
		d.budget.youngUntil = d.now(step)
	}
}

// now returns the time of a step by the daemon's clock.
func (d *budgetDaemon) now(step int) time.Time {
	return stepClock(d.fleet.start.Add(time.Duration(step)*fleetStep), d.clockOffset)
}

func (d *budgetDaemon) isRunning(step int) bool { return step >= d.startsAt && step >= d.resumesAt }

// kill ends the daemon's process. It starts again after some steps.
func (d *budgetDaemon) kill(step, steps int) {
	d.startsAt = step + steps
	d.resumesAt = 0
	d.startProcess(d.startsAt, false)
}

// updateShares lets the daemons of each side hear each other and recompute their shares. All know the
// IDs of all daemons from the store.
func (f *budgetFleet) updateShares(step int) {
	sides, lowest := make(map[int][]string), make(map[int]float64)
	var known []string
	for _, d := range f.daemons {
		known = append(known, d.id)
		if d.isRunning(step) {
			sides[d.side] = append(sides[d.side], d.id)
		}
	}
	for _, d := range f.daemons {
		share := d.shares.Reported(len(sides[d.side]))
		if d.isRunning(step) && share > 0 && (lowest[d.side] == 0 || share < lowest[d.side]) {
			lowest[d.side] = share
		}
	}
	for _, d := range f.daemons {
		if d.isRunning(step) {
			view := peers.ShareView{Heard: sides[d.side], Known: known, Size: len(sides[d.side]), LowestReported: lowest[d.side]}
			d.shares.Update(d.id, view, d.now(step))
		}
	}
}

// updateEvery returns the number of steps between updates. It is larger for large fleets, to limit the
// run time.
func (f *budgetFleet) updateEvery() int { return 2 + len(f.daemons)/70 }

// send sends requests to random daemons. Of each request, retries are wanted.
func (f *budgetFleet) send(step, requests, retries int) {
	for range requests {
		d := f.daemons[f.random.IntN(len(f.daemons))]
		f.requests[step]++
		if !d.isRunning(step) {
			continue
		}
		now := d.now(step)
		d.budget.addRequest("s", now)
		for range retries {
			if !d.budget.takeRetry("s", now) {
				f.refused++
				break
			}
			f.retries[step]++
		}
	}
}

// checkWindows checks that no window has more retries than the budget allows. Requests are counted
// in that window, the one before it, or the one half a window before, whichever has the most.
func (f *budgetFleet) checkWindows(t assert.TestingT) {
	requestsFrom := func(first int) int {
		sum := 0
		for i := max(first, 0); i < first+windowSteps; i++ {
			sum += f.requests[i]
		}
		return sum
	}
	for first := range fleetSteps - windowSteps {
		retries := 0
		for i := first; i < first+windowSteps; i++ {
			retries += f.retries[i]
		}
		requests := max(requestsFrom(first), requestsFrom(first-windowSteps/2), requestsFrom(first-windowSteps))
		allowed := budgetRatio*float64(requests) + f.extra
		assert.Assert(t, float64(retries) <= allowed, "%d retries from step %d, %g allowed", retries, first, allowed)
	}
}

// stepClock returns a time whose time of day is off by offset, while its monotonic reading is
// unchanged. Package time offers no way to make one.
func stepClock(t time.Time, offset time.Duration) time.Time {
	const secondsShift = 30
	stepped := t
	// The first word holds the seconds of the time of day above its nanoseconds.
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(int64(offset/time.Second) << secondsShift)
	if stepped.Sub(t) != 0 || stepped.Round(0).Sub(t.Round(0)) != offset {
		panic("the layout of time.Time has changed")
	}
	return stepped
}

// budgetEvents are the disruptions of a budgetFleet. Each strikes the given daemons.
var budgetEvents = map[string]func(struck []*budgetDaemon, step, steps int){
	"kill": func(struck []*budgetDaemon, step, steps int) {
		for _, d := range struck {
			d.kill(step, steps)
		}
	},
	"freeze": func(struck []*budgetDaemon, step, steps int) {
		for _, d := range struck {
			d.resumesAt = step + steps
		}
	},
	"cut": func(struck []*budgetDaemon, _, steps int) {
		for i, d := range struck {
			d.side = 1 + i%steps
		}
	},
	"heal": func(struck []*budgetDaemon, _, _ int) {
		for _, d := range struck[:1] {
			for _, other := range d.fleet.daemons {
				other.side = 0
			}
		}
	},
	"clock ahead": func(struck []*budgetDaemon, _, steps int) {
		for _, d := range struck {
			d.clockOffset = time.Duration(steps) * 10 * time.Second
		}
	},
	"clock back": func(struck []*budgetDaemon, _, steps int) {
		for _, d := range struck {
			d.clockOffset = -time.Duration(steps) * 10 * time.Second
		}
	},
	"join": func(struck []*budgetDaemon, step, _ int) {
		f := struck[0].fleet
		for range max(len(struck)/4, 1) {
			f.join(step, false)
		}
	},
}

// budgetSecond is what happens in one second of a play.
type budgetSecond struct {
	// retries is the number of retries that are wanted of each request.
	retries int
	// event is the disruption at its start; empty for none. It strikes a share of the daemons, and
	// lasts for some steps.
	event string
	share float64
	steps int
}

// budgetPlay is a drawn play of a fleet.
type budgetPlay struct {
	seed            uint64
	extra           float64
	requestsPerStep int
	seconds         []budgetSecond
}

// drawPlay draws a play with disruptions of the given kinds.
func drawPlay(t *rapid.T, kinds []string) budgetPlay {
	play := budgetPlay{
		seed:            rapid.Uint64().Draw(t, "seed"),
		extra:           rapid.SampledFrom([]float64{5, 109, 132, 400, 1040}).Draw(t, "extra"),
		requestsPerStep: rapid.IntRange(1, 40).Draw(t, "requests per step"),
	}
	for range fleetSteps / stepsPerSecond {
		var second budgetSecond
		if rapid.IntRange(0, 2).Draw(t, "failing") > 0 {
			second.retries = rapid.IntRange(1, 3).Draw(t, "retries")
		}
		if rapid.IntRange(0, 3).Draw(t, "quiet") == 0 {
			second.event = rapid.SampledFrom(kinds).Draw(t, "event")
			second.share = rapid.SampledFrom([]float64{0, 0.3, 0.6, 1}).Draw(t, "share")
			second.steps = rapid.IntRange(1, 40).Draw(t, "steps")
		}
		play.seconds = append(play.seconds, second)
	}
	return play
}

// run plays on a fleet of some daemons and returns it.
func (p budgetPlay) run(daemons int) *budgetFleet {
	f := newBudgetFleet(rand.New(rand.NewPCG(p.seed, 1)), daemons, p.extra)
	for step := range fleetSteps {
		second := p.seconds[step/stepsPerSecond]
		if step > 0 && step%stepsPerSecond == 0 && second.event != "" {
			budgetEvents[second.event](f.draw(second.share), step, second.steps)
		}
		if step%f.updateEvery() == 0 {
			f.updateShares(step)
		}
		f.send(step, p.requestsPerStep, second.retries)
	}
	return f
}

// draw returns a random share of the daemons, at least one.
func (f *budgetFleet) draw(share float64) []*budgetDaemon {
	var drawn []*budgetDaemon
	for _, i := range f.random.Perm(len(f.daemons))[:max(int(share*float64(len(f.daemons))), 1)] {
		drawn = append(drawn, f.daemons[i])
	}
	return drawn
}

// disruptionsOfFleets are the kinds of disruptions played together.
var disruptionsOfFleets = map[string][]string{
	"restarts":    {"kill"},
	"clocks":      {"clock ahead", "clock back"},
	"partitions":  {"cut", "heal"},
	"freezes":     {"freeze"},
	"joins":       {"join"},
	"all of them": {"kill", "clock ahead", "clock back", "cut", "heal", "freeze", "join"},
}

// TestFleetStaysWithinRetryBudget guards against fleets that send more retries than their budget
// allows while daemons restart, join, freeze and are cut off, and clocks are set.
func TestFleetStaysWithinRetryBudget(t *testing.T) {
	for name, kinds := range disruptionsOfFleets {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				daemons := rapid.SampledFrom([]int{3, 7, 9, 20}).Draw(t, "daemons")
				drawPlay(t, kinds).run(daemons).checkWindows(t)
			})
		})
	}
}

// TestLargeFleetStaysWithinRetryBudget checks the same for larger fleets, in few plays because each
// takes long.
func TestLargeFleetStaysWithinRetryBudget(t *testing.T) {
	for name, kinds := range disruptionsOfFleets {
		plays := rapid.Custom(func(t *rapid.T) budgetPlay { return drawPlay(t, kinds) })
		t.Run(name, func(t *testing.T) {
			for seed := range 3 {
				plays.Example(seed).run(70).checkWindows(t)
			}
		})
	}
	all := rapid.Custom(func(t *rapid.T) budgetPlay { return drawPlay(t, disruptionsOfFleets["all of them"]) })
	all.Example(1).run(986).checkWindows(t)
}

// TestWindowsOfAnyStartStayWithinRetryBudget guards against retries that are forgotten before the window
// has passed.
func TestWindowsOfAnyStartStayWithinRetryBudget(t *testing.T) {
	for offset := range int(fleetWindow / budgetBuckets / time.Millisecond) {
		start := time.Now()
		b := newBudget(RetryBudget{Ratio: budgetRatio, Window: fleetWindow, ExtraRetries: 10, Daemons: func() int { return 1 }, Share: wholeShare}, start)
		b.youngUntil = start
		at := start.Add(time.Duration(offset) * time.Millisecond)
		for b.takeRetry("s", at) {
		}
		assert.Assert(t, !b.takeRetry("s", at.Add(fleetWindow-1)), "%d ms after the start of a bucket", offset)
	}
}

// TestBudgetIgnoresClockSteps guards against retries that are forgotten, or requests that never
// expire, when the time of day is set.
func TestBudgetIgnoresClockSteps(t *testing.T) {
	for name, offset := range map[string]time.Duration{"ahead": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			b := newBudget(RetryBudget{Ratio: budgetRatio, Window: fleetWindow, ExtraRetries: 10, Daemons: func() int { return 1 }, Share: wholeShare}, start)
			b.youngUntil = start
			for b.takeRetry("s", start) {
			}
			used := b.state("s", start).retries
			for second := range 30 {
				at := stepClock(start.Add(time.Duration(second)*time.Second), offset)
				b.addRequest("s", at)
				want := used
				if at.Sub(start) > fleetWindow {
					want = 0
				}
				assert.Equal(t, b.state("s", at).retries, want, "second %d", second)
				assert.Assert(t, b.state("s", at).requests <= 10)
			}
		})
	}
}

// TestRestartedDaemonsShareNoExtraRetriesTwice guards against daemons that use their share of the
// extra retries again after each restart.
func TestRestartedDaemonsShareNoExtraRetriesTwice(t *testing.T) {
	start := time.Now()
	restarted := newBudget(RetryBudget{Ratio: budgetRatio, Window: fleetWindow, ExtraRetries: 10, Daemons: func() int { return 1 }, Share: wholeShare}, start)
	assert.Assert(t, !restarted.takeRetry("s", start.Add(fleetWindow-1)), "the process before may have used them")
	assert.Assert(t, restarted.takeRetry("s", start.Add(fleetWindow)))
	for range 25 {
		restarted.addRequest("other", start)
	}
	assert.Assert(t, restarted.takeRetry("other", start), "requests of this process allow some retries")
	assert.Assert(t, !restarted.takeRetry("other", start))
}

// TestBudgetCountsSuspensions guards against requests from before a suspension that allow retries after it.
func TestBudgetCountsSuspensions(t *testing.T) {
	start := time.Now()
	b := newBudget(RetryBudget{Ratio: budgetRatio, Window: fleetWindow, Daemons: func() int { return 1 }, Share: wholeShare}, start)
	b.addRequest("s", start)
	b.addSuspension(2 * fleetWindow)
	assert.Equal(t, b.state("s", start).requests, 0.0)
}

// TestBudgetForgetsServices guards against counts of services that are no longer requested.
func TestBudgetForgetsServices(t *testing.T) {
	start := time.Now()
	b := newBudget(RetryBudget{Ratio: budgetRatio, Window: fleetWindow, Daemons: func() int { return 1 }, Share: wholeShare}, start)
	b.addRequest("old", start)
	b.addRequest("used", start.Add(fleetWindow))
	b.sweep(start.Add(fleetWindow))
	assert.Equal(t, len(b.services), 2)
	b.sweep(start.Add(fleetWindow + time.Second))
	assert.DeepEqual(t, b.knownServices(), []string{"used"})
}

package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"quartzshelf.dev/platform/standin"
)

// Shares of the model workers that pause at the same time.
const (
	allWorkers  = 1.0
	mostWorkers = 0.75
	someWorkers = 0.25
)

const (
	// The operator draws the timeout of streams and the idle limit of connections from these minimums
	// up to twice as much. The timeout is never below the deadline that callers send.
	minStreamTimeout = standin.RouteTimeoutMS * time.Millisecond
	minIdleTimeout   = 10 * time.Second
	// unusedPathCount is the number of path prefixes from which the operator draws the route that no
	// caller uses.
	unusedPathCount = 1000
)

// pauseFaults maps names to faults in which model workers fall silent and then go on where they
// stopped. In those with reports, the workers still answer reports and orders.
var pauseFaults = map[string]fault{
	"pause-all":          {inject: pauseWorkers(standin.PauseEverything, allWorkers)},
	"pause-all-reports":  {inject: pauseWorkers(standin.PauseRequests, allWorkers)},
	"pause-most":         {inject: pauseWorkers(standin.PauseEverything, mostWorkers)},
	"pause-most-reports": {inject: pauseWorkers(standin.PauseRequests, mostWorkers)},
	"pause-some":         {inject: pauseWorkers(standin.PauseEverything, someWorkers)},
	"pause-some-reports": {inject: pauseWorkers(standin.PauseRequests, someWorkers)},
}

func pauseFaultNames() []string { return slices.Sorted(maps.Keys(pauseFaults)) }

// pauseWorkers returns a function that pauses a share of the model workers, and changes the
// configuration meanwhile.
func pauseWorkers(scope standin.PauseScope, share float64) injectFunc {
	return func(r *run, random *rand.Rand) func() {
		paused := r.pickShare(random, share)
		for _, w := range paused {
			w.Pause(scope)
		}
		r.adjustConfig(random)
		return func() {
			for _, w := range paused {
				w.Resume()
			}
		}
	}
}

// pickShare returns a random share of the model workers.
func (r *run) pickShare(random *rand.Rand, share float64) []*standin.Worker {
	all := r.shuffledWorkers(random)
	return all[:int(share*float64(len(all)))]
}

// adjustConfig publishes a configuration that differs from the one before, but not for the requests of
// callers.
func (r *run) adjustConfig(random *rand.Rand) {
	r.operator.Adjust(standin.Adjustment{
		StreamTimeout: minStreamTimeout + time.Duration(random.Int64N(int64(minStreamTimeout))),
		IdleTimeout:   minIdleTimeout + time.Duration(random.Int64N(int64(minIdleTimeout))),
		UnusedPath:    fmt.Sprintf("/unused-%d/", random.IntN(unusedPathCount)),
	})
	r.operator.Publish()
}

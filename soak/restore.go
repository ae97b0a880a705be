package soak

import (
	"math/rand/v2"
	"time"

	"quartzshelf.dev/platform/standin"
)

const (
	// restoreOutage is how long the store is unavailable before it is restored from a copy.
	restoreOutage = 300 * time.Millisecond
	// minResumeDelay and resumeDelaySpread bound the random time after a restore until the operator
	// and the workers write to the store again.
	minResumeDelay    = 200 * time.Millisecond
	resumeDelaySpread = time.Second
)

// restoreFaults contains only the fault that restores the store from a copy.
var restoreFaults = map[string]fault{"store-drill": {blocksUpdates: true, inject: (*run).restoreFromCopy}}

// restoreSchedule returns the faults that restore the store. It draws from a separate random
// stream, so that it does not change the other schedules of a seed.
func restoreSchedule(seed uint64, total time.Duration) []scheduledFault {
	const randomStream = 1 << 34
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream)), []string{"store-drill"}, defaultPauses, faultDurations, total)
}

// restoreFromCopy copies the store. When the fault ends, it restores the store from the copy.
func (r *run) restoreFromCopy(random *rand.Rand) func() {
	c := r.store.Snapshot()
	resumeDelay := minResumeDelay + time.Duration(random.Int64N(int64(resumeDelaySpread)))
	return func() {
		r.store.SetFaults(standin.StoreFaults{Silent: true})
		time.Sleep(restoreOutage)
		r.store.Restore(c, resumeDelay)
		r.store.SetFaults(standin.StoreFaults{})
		// Until the writers resume, daemons cannot detect which updates were lost.
		time.Sleep(resumeDelay)
	}
}

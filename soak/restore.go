package soak

import (
	"math/rand/v2"
	"time"

	"quartzshelf.dev/platform/standin"
)

const (
	// restoreOutage is how long the store is unavailable before it is restored from a copy.
	restoreOutage = 300 * time.Millisecond
	// minResumeDelay and resumeDelaySpread bound the time until writers resume after a restore.
	minResumeDelay    = 200 * time.Millisecond
	resumeDelaySpread = time.Second
)

// restoreFaults holds the fault that restores the store from a copy. The copy is made when the fault
// starts and restored when it ends.
var restoreFaults = map[string]fault{"store-drill": {blocksUpdates: true, inject: (*run).restoreFromCopy}}

// restoreSchedule returns the restores of the store. They use a random stream of their own, so that
// they don't change the other schedules of a seed.
func restoreSchedule(seed uint64, total time.Duration) []scheduledFault {
	const randomStream = 1 << 34
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream)), []string{"store-drill"}, total)
}

// restoreFromCopy copies the store and restores the copy when the fault ends.
func (r *run) restoreFromCopy(random *rand.Rand) func() {
	c := r.store.Copy()
	resumeDelay := minResumeDelay + time.Duration(random.Int64N(int64(resumeDelaySpread)))
	return func() {
		r.store.SetFaults(standin.Faults{Silent: true})
		time.Sleep(restoreOutage)
		r.store.Restore(c, resumeDelay)
		r.store.SetFaults(standin.Faults{})
		// Daemons cannot detect what was lost before the writers resume.
		time.Sleep(resumeDelay)
	}
}

package soak

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"quartzshelf.dev/platform/standin"
)

const (
	// requestedRestPeriod is the time for which a worker asks daemons to send it no requests.
	requestedRestPeriod = 3 * time.Second
	// minLimitDuration is the minimum time for which workers announce a limit. It is long enough to
	// detect that daemons exceed the limit.
	minLimitDuration = 9 * time.Second
	// minRestDuration is the minimum time for which workers ask for rest. It exceeds
	// requestedRestPeriod, so that a worker can ask more than once.
	minRestDuration = 4 * time.Second
)

// announcedLimits are the limits that workers announce, in requests per second. Each is below the
// rate that a replica usually gets.
var announcedLimits = []float64{0, 0.25, 1.3, 3}

// announcementFaults maps names to faults in which workers announce a request limit, a period in
// which they take no requests, or that they are about to leave.
var announcementFaults = map[string]fault{
	"worker-limits": {inject: (*run).announceWorkerLimits, minDuration: minLimitDuration},
	"worker-rests":  {inject: (*run).makeWorkersRest, minDuration: minRestDuration},
	"worker-parts":  {inject: (*run).announceWorkerLeaving},
}

func announcementFaultNames() []string { return slices.Sorted(maps.Keys(announcementFaults)) }

// isLinkHealthySince reports whether a worker's proxy has had no faults since a time.
func (r *run) isLinkHealthySince(worker string, since time.Time) bool {
	r.mu.Lock()
	workerProxy := r.workerProxies[worker]
	r.mu.Unlock()
	return workerProxy != nil && workerProxy.isHealthySince(since)
}

// pickHeads returns up to three random heads. Heads are the workers that requests are sent to.
func (r *run) pickHeads(random *rand.Rand) []*standin.Worker {
	const maxHeads = 3
	heads := r.fabric.RequestTargets()
	slices.SortFunc(heads, func(a, b *standin.Worker) int { return cmp.Compare(a.ID(), b.ID()) })
	random.Shuffle(len(heads), func(i, j int) { heads[i], heads[j] = heads[j], heads[i] })
	return heads[:min(len(heads), 1+random.IntN(maxHeads))]
}

// announceWorkerLimits makes a few workers announce limits on their request rate.
func (r *run) announceWorkerLimits(random *rand.Rand) func() {
	affected := r.pickHeads(random)
	for _, w := range affected {
		w.AnnounceLimit(announcedLimits[random.IntN(len(announcedLimits))])
	}
	return func() {
		for _, w := range affected {
			w.ClearLimit()
		}
	}
}

// makeWorkersRest makes a few workers reject all requests and ask for a rest period.
func (r *run) makeWorkersRest(random *rand.Rand) func() {
	affected := r.pickHeads(random)
	for _, w := range affected {
		w.SetRetryAfter(requestedRestPeriod)
	}
	return func() {
		for _, w := range affected {
			w.SetRetryAfter(0)
		}
	}
}

// announceWorkerLeaving starts a replacement for a worker and makes the worker announce that it
// leaves. The worker announces this in its responses but not in the store.
func (r *run) announceWorkerLeaving(random *rand.Rand) func() {
	heads := r.pickHeads(random)
	for _, w := range heads[:min(len(heads), 1)] {
		r.replaceWorker(w)
		w.AnnounceLeaving()
	}
	return noRevert
}

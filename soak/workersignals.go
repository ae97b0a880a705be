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
	// requestedRest is the rest period that workers ask for in their answers.
	requestedRest = 3 * time.Second
	// minLimitDuration gives callers time to exceed a limit and the checks time to detect it.
	minLimitDuration = 9 * time.Second
	// minRestDuration exceeds requestedRest, so that workers can ask for rest more than once.
	minRestDuration = 4 * time.Second
)

// announcedLimits are the limits that workers announce, in requests per second. Each is below the
// rate that a replica usually gets.
var announcedLimits = []float64{0, 0.25, 1.3, 3}

// signalFaults holds the faults in which workers signal limits, rest or leaving, by name.
var signalFaults = map[string]fault{
	"worker-limits": {inject: (*run).limitWorkers, minDuration: minLimitDuration},
	"worker-rests":  {inject: (*run).restWorkers, minDuration: minRestDuration},
	"worker-parts":  {inject: (*run).announceWorkerLeaving},
}

func signalFaultNames() []string { return slices.Sorted(maps.Keys(signalFaults)) }

// linkHealthySince reports whether a worker's proxy has had no faults since a time.
func (r *run) linkHealthySince(worker string, since time.Time) bool {
	r.mu.Lock()
	workerProxy := r.workerProxies[worker]
	r.mu.Unlock()
	return workerProxy != nil && workerProxy.healthySince(since)
}

// pickHeads picks one to three of the heads, which are the workers that requests are sent to.
func (r *run) pickHeads(random *rand.Rand) []*standin.Worker {
	const maxHeads = 3
	all := r.fabric.Heads()
	slices.SortFunc(all, func(a, b *standin.Worker) int { return cmp.Compare(a.ID(), b.ID()) })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+random.IntN(maxHeads))]
}

// limitWorkers makes a few workers announce limits.
func (r *run) limitWorkers(random *rand.Rand) func() {
	affected := r.pickHeads(random)
	for _, w := range affected {
		w.NameLimit(announcedLimits[random.IntN(len(announcedLimits))])
	}
	return func() {
		for _, w := range affected {
			w.DropLimit()
		}
	}
}

// restWorkers makes a few workers reject all requests and ask for rest.
func (r *run) restWorkers(random *rand.Rand) func() {
	affected := r.pickHeads(random)
	for _, w := range affected {
		w.AskRest(requestedRest)
	}
	return func() {
		for _, w := range affected {
			w.AskRest(0)
		}
	}
}

// announceWorkerLeaving makes a worker announce that it leaves, only in its answers, and starts a
// replacement.
func (r *run) announceWorkerLeaving(random *rand.Rand) func() {
	heads := r.pickHeads(random)
	for _, w := range heads[:min(len(heads), 1)] {
		r.replaceWorker(w)
		w.SayLeaving()
	}
	return noRevert
}

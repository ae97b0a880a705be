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
	// restAsked is how long a rest is that workers ask for.
	restAsked = 3 * time.Second
	// longLimited is long enough for a limit to bind, and to be counted.
	longLimited = 9 * time.Second
	// longResting is long enough for rest to be asked for more than once.
	longResting = 4 * time.Second
)

// limitsNamed are the limits that workers name, in requests a second: with some nine replicas
// and 50 requests a second, six come to each.
var limitsNamed = []float64{0, 0.25, 1.3, 3}

// askFaults holds what workers ask for by name.
var askFaults = map[string]fault{
	"worker-limits": {strike: (*run).limitWorkers, least: longLimited},
	"worker-rests":  {strike: (*run).restWorkers, least: longResting},
	"worker-parts":  {strike: (*run).partWithWorker},
}

func askNames() []string { return slices.Sorted(maps.Keys(askFaults)) }

// linkSound reports whether nothing has harmed the link before a worker since a time.
func (r *run) linkSound(worker string, since time.Time) bool {
	r.mu.Lock()
	link := r.links[worker]
	r.mu.Unlock()
	return link != nil && link.soundSince(since)
}

// someHeads picks a few workers that requests go to.
func (r *run) someHeads(random *rand.Rand) []*standin.Worker {
	const most = 3
	all := r.fabric.Heads()
	slices.SortFunc(all, func(a, b *standin.Worker) int { return cmp.Compare(a.ID(), b.ID()) })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+random.IntN(most))]
}

// limitWorkers lets a few workers name limits.
func (r *run) limitWorkers(random *rand.Rand) func() {
	struck := r.someHeads(random)
	for _, w := range struck {
		w.NameLimit(limitsNamed[random.IntN(len(limitsNamed))])
	}
	return func() {
		for _, w := range struck {
			w.DropLimit()
		}
	}
}

// restWorkers lets a few workers turn all requests away and ask for rest.
func (r *run) restWorkers(random *rand.Rand) func() {
	struck := r.someHeads(random)
	for _, w := range struck {
		w.AskRest(restAsked)
	}
	return func() {
		for _, w := range struck {
			w.AskRest(0)
		}
	}
}

// partWithWorker lets a worker say in its answers alone that it leaves; another one takes its
// place.
func (r *run) partWithWorker(random *rand.Rand) func() {
	heads := r.someHeads(random)
	for _, w := range heads[:min(len(heads), 1)] {
		r.replace(w)
		w.SayLeaving()
	}
	return nothing
}

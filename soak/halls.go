package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"quartzshelf.dev/platform/standin"
)

const (
	// hallCount is the number of data halls. The last hall is in a separate region.
	hallCount = 3
	// hallEmptyBound is the time within which a closed hall must stop getting requests.
	hallEmptyBound = 3 * time.Second
	// minClosedDuration is the minimum time for which a hall is closed. It exceeds hallEmptyBound,
	// so that requests that come too late are detected.
	minClosedDuration = hallEmptyBound + 4*time.Second
)

// warmUp limits the request rate of cold workers. A worker is cold for a while after it has started
// or its hall has been opened.
var warmUp = standin.WarmUp{Duration: 1500 * time.Millisecond, PerSecond: 10, Burst: 1.5, Slack: 5}

// hallFaults maps names to the faults of data halls.
var hallFaults = map[string]fault{
	"hall-closed":       {inject: closeHalls(1), minDuration: minClosedDuration},
	"halls-closed":      {inject: closeHalls(hallCount - 1), minDuration: minClosedDuration},
	"halls-all-closed":  {inject: closeHalls(hallCount), minDuration: minClosedDuration},
	"hall-flips":        {inject: (*run).toggleHall},
	"hall-lost":         {blocksUpdates: true, inject: (*run).failHall},
	"hall-cold":         {inject: (*run).replaceHallWorkers},
	"hall-unclear":      {inject: (*run).writeInvalidHallEntry},
	"hall-name-unknown": {inject: (*run).closeUnknownHall},
}

func hallFaultNames() []string { return slices.Sorted(maps.Keys(hallFaults)) }

func hallName(i int) string { return fmt.Sprintf("zone-%d", i) }

// hallForIndex returns the data hall of the ith fabric domain or plain worker. It returns "" if the
// soak injects no faults of data halls.
func (r *run) hallForIndex(i int) string {
	if !r.opts.HallFaults {
		return ""
	}
	return hallName(i % hallCount)
}

func (r *run) hallOfDaemon(i int) string {
	if r.opts.HallFaults {
		return hallName(i % hallCount)
	}
	return hallName(i % 2)
}

// daemonHalls returns the names of the data halls in which daemons run.
func (r *run) daemonHalls() []string {
	var all []string
	for i := range r.opts.Daemons {
		if hall := r.hallOfDaemon(i); !slices.Contains(all, hall) {
			all = append(all, hall)
		}
	}
	return all
}

// hallRules returns the rules that daemons must follow for data halls. They include the region of
// each hall, the regions that each tenant may use, and limits for closed and newly opened halls.
func (r *run) hallRules() standin.HallRules {
	if !r.opts.HallFaults {
		return standin.HallRules{}
	}
	h := standin.HallRules{
		Regions: make(map[string]string), Allowed: map[string][]string{tenantName(0): {"region-0"}},
		EmptyBound: hallEmptyBound, WarmUp: warmUp,
	}
	for i := range hallCount {
		h.Regions[hallName(i)] = "region-0"
	}
	h.Regions[hallName(hallCount-1)] = "region-1"
	return h
}

func (r *run) closeHall(hall string) {
	r.operator.CloseHall(hall)
	r.fabric.HallClosed(hall)
}

func (r *run) openHall(hall string) {
	r.fabric.MarkHallOpen(hall)
	r.operator.OpenHall(hall)
}

// closeHalls returns a function that closes count random halls until the fault ends.
func closeHalls(count int) injectFunc {
	return func(r *run, random *rand.Rand) func() {
		halls := random.Perm(hallCount)[:count]
		for _, i := range halls {
			r.closeHall(hallName(i))
		}
		return func() {
			for _, i := range halls {
				r.openHall(hallName(i))
			}
		}
	}
}

// toggleHall closes a hall, opens it and closes it again within a second. The hall opens when the
// fault ends.
func (r *run) toggleHall(random *rand.Rand) func() {
	const toggleInterval = 300 * time.Millisecond
	hall := hallName(random.IntN(hallCount))
	r.closeHall(hall)
	time.Sleep(toggleInterval)
	r.openHall(hall)
	time.Sleep(toggleInterval)
	r.closeHall(hall)
	return func() { r.openHall(hall) }
}

// modelWorkersIn returns the model workers of a hall.
func (r *run) modelWorkersIn(hall string) []*standin.Worker {
	return slices.DeleteFunc(r.fabric.Workers(standin.ModelService), func(w *standin.Worker) bool { return w.Spec().Zone != hall })
}

// failHall crashes all model workers of a hall and kills its daemons. When the fault ends, the
// workers are restarted or replaced and the daemons are restarted.
func (r *run) failHall(random *rand.Rand) func() {
	hall := hallName(random.IntN(hallCount))
	crashed := r.modelWorkersIn(hall)
	for _, w := range crashed {
		w.Crash()
	}
	var down []*daemon
	for _, d := range r.daemons {
		if d.settings.Zone == hall {
			d.kill(true)
			down = append(down, d)
		}
	}
	return func() {
		for _, w := range crashed {
			r.restartWorker(w)
		}
		for _, d := range down {
			r.recordError(d.enableRestart())
		}
	}
}

// replaceHallWorkers crashes all model workers of a hall and replaces them with new, cold workers.
func (r *run) replaceHallWorkers(random *rand.Rand) func() {
	for _, w := range r.modelWorkersIn(hallName(random.IntN(hallCount))) {
		w.Crash()
		r.replaceWorker(w)
	}
	return noRevert
}

// writeInvalidHallEntry publishes an invalid entry for a hall, which daemons must ignore.
func (r *run) writeInvalidHallEntry(random *rand.Rand) func() {
	hall := hallName(random.IntN(hallCount))
	r.operator.PublishHallRecord(hall, []byte("no entry"))
	return func() { r.operator.OpenHall(hall) }
}

// closeUnknownHall closes a hall that does not exist.
func (r *run) closeUnknownHall(*rand.Rand) func() {
	r.operator.CloseHall("nowhere")
	return func() { r.operator.OpenHall("nowhere") }
}

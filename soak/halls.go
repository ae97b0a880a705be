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
	// hallCount is how many data halls there are; the last one is in a region of its own.
	hallCount = 3
	// emptyBound is the time after which a closed hall must be empty.
	emptyBound = 3 * time.Second
	// longClosed is long enough for a closed hall to be checked, and its opening.
	longClosed = emptyBound + 4*time.Second
)

// warmUp is what cold workers bear: with some nine replicas and 50 requests a second, six
// a second come to each on average.
var warmUp = standin.WarmUp{For: 1500 * time.Millisecond, PerSecond: 10, Burst: 1.5, Slack: 5}

// hallFaults holds the kinds of faults of data halls by name.
var hallFaults = map[string]fault{
	"hall-closed":       {strike: closeHalls(1), least: longClosed},
	"halls-closed":      {strike: closeHalls(hallCount - 1), least: longClosed},
	"halls-all-closed":  {strike: closeHalls(hallCount), least: longClosed},
	"hall-flips":        {strike: (*run).flipHall},
	"hall-lost":         {blinds: true, strike: (*run).loseHall},
	"hall-cold":         {strike: (*run).renewHall},
	"hall-unclear":      {strike: (*run).unclearHall},
	"hall-name-unknown": {strike: (*run).unknownHall},
}

func hallFaultNames() []string { return slices.Sorted(maps.Keys(hallFaults)) }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// hallOf returns the hall of a domain or a plain worker; empty where halls are not told
// apart by domain.
func (r *run) hallOf(i int) string {
	if !r.opts.Halls {
		return ""
	}
	return zoneName(i % hallCount)
}

func (r *run) zoneOfDaemon(i int) string {
	if r.opts.Halls {
		return zoneName(i % hallCount)
	}
	return zoneName(i % 2)
}

// zones returns the names of all data halls, which daemons know by their settings.
func (r *run) zones() []string {
	var all []string
	for i := range r.opts.Daemons {
		if zone := r.zoneOfDaemon(i); !slices.Contains(all, zone) {
			all = append(all, zone)
		}
	}
	return all
}

// halls returns what is demanded of data halls.
func (r *run) halls() standin.Halls {
	if !r.opts.Halls {
		return standin.Halls{}
	}
	h := standin.Halls{
		Regions: make(map[string]string), Allowed: map[string][]string{tenantName(0): {"region-0"}},
		Empty: emptyBound, WarmUp: warmUp,
	}
	for i := range hallCount {
		h.Regions[zoneName(i)] = "region-0"
	}
	h.Regions[zoneName(hallCount-1)] = "region-1"
	return h
}

func (r *run) closeHall(hall string) {
	r.operator.CloseHall(hall)
	r.fabric.HallClosed(hall)
}

func (r *run) openHall(hall string) {
	r.fabric.HallOpens(hall)
	r.operator.OpenHall(hall)
}

// closeHalls returns a fault that closes some halls.
func closeHalls(count int) strike {
	return func(r *run, random *rand.Rand) func() {
		halls := random.Perm(hallCount)[:count]
		for _, i := range halls {
			r.closeHall(zoneName(i))
		}
		return func() {
			for _, i := range halls {
				r.openHall(zoneName(i))
			}
		}
	}
}

// flipHall closes and opens a hall within a second, and closes it again.
func (r *run) flipHall(random *rand.Rand) func() {
	const moment = 300 * time.Millisecond
	hall := zoneName(random.IntN(hallCount))
	r.closeHall(hall)
	time.Sleep(moment)
	r.openHall(hall)
	time.Sleep(moment)
	r.closeHall(hall)
	return func() { r.openHall(hall) }
}

// workersIn returns the model workers of a hall.
func (r *run) workersIn(hall string) []*standin.Worker {
	return slices.DeleteFunc(r.fabric.Workers(standin.ModelService), func(w *standin.Worker) bool { return w.Spec().Zone != hall })
}

// loseHall ends all workers and daemons of a hall at once; all come back together.
func (r *run) loseHall(random *rand.Rand) func() {
	hall := zoneName(random.IntN(hallCount))
	lost := r.workersIn(hall)
	for _, w := range lost {
		w.Crash()
	}
	var off []*daemon
	for _, d := range r.daemons {
		if d.settings.Zone == hall {
			d.kill(true)
			off = append(off, d)
		}
	}
	return func() {
		for _, w := range lost {
			r.restart(w)
		}
		for _, d := range off {
			r.check(d.revive())
		}
	}
}

// renewHall ends all workers of a hall and starts empty, cold ones in their places.
func (r *run) renewHall(random *rand.Rand) func() {
	for _, w := range r.workersIn(zoneName(random.IntN(hallCount))) {
		w.Crash()
		r.replace(w)
	}
	return nothing
}

// unclearHall writes an entry of a hall that is not one; it must change nothing.
func (r *run) unclearHall(random *rand.Rand) func() {
	hall := zoneName(random.IntN(hallCount))
	r.operator.PutHall(hall, []byte("no entry"))
	return func() { r.operator.OpenHall(hall) }
}

// unknownHall closes a hall that does not exist.
func (r *run) unknownHall(*rand.Rand) func() {
	r.operator.CloseHall("nowhere")
	return func() { r.operator.OpenHall("nowhere") }
}

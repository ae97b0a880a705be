package backpressure

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// RestPeriods records the rest periods that workers asked this daemon for. It is safe for
// concurrent use; reads take no lock.
type RestPeriods struct {
	// entries maps worker IDs to rest periods. The map is replaced on change, never modified.
	entries atomic.Pointer[map[string]rest]
	mu      sync.Mutex
}

// rest is a rest period of one incarnation of a worker.
type rest struct {
	born  int64
	until time.Time
}

// isActive reports whether the rest period belongs to the given incarnation and has not ended.
func (o rest) isActive(born int64, now time.Time) bool { return o.born == born && now.Before(o.until) }

// NewRestPeriods returns an empty set of rest periods.
func NewRestPeriods() *RestPeriods {
	r := &RestPeriods{}
	r.entries.Store(&map[string]rest{})
	return r
}

// Add records that an incarnation of a worker asked for a rest period from now on. It reports
// whether the worker was not resting before. A rest period that is still running is extended if
// the new one ends later, and kept otherwise.
func (r *RestPeriods) Add(worker string, born int64, duration time.Duration, now time.Time) (started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, next := (*r.entries.Load())[worker], rest{born: born, until: now.Add(duration)}
	wasResting := previous.isActive(born, now)
	if wasResting && !next.until.After(previous.until) {
		return false
	}
	updated := maps.Clone(*r.entries.Load())
	updated[worker] = next
	r.entries.Store(&updated)
	return !wasResting
}

// Any reports whether rest periods are recorded, including those that have ended but were not
// removed yet.
func (r *RestPeriods) Any() bool { return len(*r.entries.Load()) > 0 }

// Until returns when the rest period of a worker's incarnation ends, and false if it is not
// resting.
func (r *RestPeriods) Until(worker string, born int64, now time.Time) (until time.Time, isResting bool) {
	entry := (*r.entries.Load())[worker]
	return entry.until, entry.isActive(born, now)
}

// Count returns the number of resting workers.
func (r *RestPeriods) Count(now time.Time) int {
	count := 0
	for _, entry := range *r.entries.Load() {
		if now.Before(entry.until) {
			count++
		}
	}
	return count
}

// Sweep removes the rest periods that have ended.
func (r *RestPeriods) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := maps.Clone(*r.entries.Load())
	maps.DeleteFunc(remaining, func(_ string, o rest) bool { return !now.Before(o.until) })
	if len(remaining) < len(*r.entries.Load()) {
		r.entries.Store(&remaining)
	}
}

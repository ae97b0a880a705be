package proxy

import (
	"sync"
	"time"
)

// durationWindow is the length of the windows in which durations are recorded.
const durationWindow = 10 * time.Second

// recentDurations are the durations that were recorded in the current and the previous window.
type recentDurations struct {
	longest, previousLongest time.Duration
	// total counts all durations that were ever recorded.
	total     int
	windowEnd time.Time
}

// advance begins a new window if the current one has ended.
func (r *recentDurations) advance(now time.Time) {
	if !now.After(r.windowEnd) {
		return
	}
	r.previousLongest = r.longest
	if now.After(r.windowEnd.Add(durationWindow)) {
		r.previousLongest = 0
	}
	r.longest, r.windowEnd = 0, now.Add(durationWindow)
}

func (r *recentDurations) record(d time.Duration, now time.Time) {
	r.advance(now)
	r.longest = max(r.longest, d)
	r.total++
}

// recent returns the longest duration of both windows.
func (r *recentDurations) recent(now time.Time) time.Duration {
	r.advance(now)
	return max(r.longest, r.previousLongest)
}

// routeDurations holds recent durations by the name of a route. It is safe for concurrent use.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]*recentDurations
}

func newRouteDurations() *routeDurations {
	return &routeDurations{routes: make(map[string]*recentDurations)}
}

// record records a duration and returns those of its route.
func (r *routeDurations) record(route string, d time.Duration, now time.Time) recentDurations {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.routes[route]
	if !ok {
		r.forget(now)
		entry = &recentDurations{windowEnd: now.Add(durationWindow)}
		r.routes[route] = entry
	}
	entry.record(d, now)
	return *entry
}

// forget deletes routes without recent requests, so that renamed routes don't accumulate.
func (r *routeDurations) forget(now time.Time) {
	for name, entry := range r.routes {
		if now.Sub(entry.windowEnd) > durationWindow {
			delete(r.routes, name)
		}
	}
}

package proxy

import (
	"sync"
	"time"
)

// durationWindow is the length of the windows in which durations are recorded.
const durationWindow = 10 * time.Second

// durationStats summarizes durations.
type durationStats struct {
	count        int
	sum, longest time.Duration
}

func (s durationStats) mean() time.Duration { return s.sum / time.Duration(max(s.count, 1)) }

// recentDurations are the durations that were recorded in the current and the previous window.
type recentDurations struct {
	current, previous durationStats
	// total counts all durations that were ever recorded.
	total     int
	windowEnd time.Time
}

// advance begins a new window if the current one has ended.
func (r *recentDurations) advance(now time.Time) {
	if !now.After(r.windowEnd) {
		return
	}
	r.previous = r.current
	if now.After(r.windowEnd.Add(durationWindow)) {
		r.previous = durationStats{}
	}
	r.current, r.windowEnd = durationStats{}, now.Add(durationWindow)
}

func (r *recentDurations) record(d time.Duration, now time.Time) {
	r.advance(now)
	r.current.count++
	r.current.sum += d
	r.current.longest = max(r.current.longest, d)
	r.total++
}

// stats summarizes the durations of both windows.
func (r *recentDurations) stats(now time.Time) durationStats {
	r.advance(now)
	return durationStats{
		count: r.current.count + r.previous.count, sum: r.current.sum + r.previous.sum,
		longest: max(r.current.longest, r.previous.longest),
	}
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

// stats summarizes the recent durations of a route.
func (r *routeDurations) stats(route string, now time.Time) durationStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry, ok := r.routes[route]; ok {
		return entry.stats(now)
	}
	return durationStats{}
}

// forget deletes routes without recent requests, so that renamed routes don't accumulate.
func (r *routeDurations) forget(now time.Time) {
	for name, entry := range r.routes {
		if now.Sub(entry.windowEnd) > durationWindow {
			delete(r.routes, name)
		}
	}
}

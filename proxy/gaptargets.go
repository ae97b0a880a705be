package proxy

import "time"

// gapTargetTTL is how long a gap target is used after the last request that had it. It expires
// because routes change.
const gapTargetTTL = 10 * time.Second

// gapTargets holds the gap targets of recent requests by model, with the time at which each
// expires. A gap target is the longest pause between events that a route allows.
type gapTargets map[string]map[time.Duration]time.Time

func (g gapTargets) record(model string, target time.Duration, now time.Time) {
	if target <= 0 {
		return
	}
	if g[model] == nil {
		g[model] = make(map[time.Duration]time.Time)
	}
	g[model][target] = now.Add(gapTargetTTL)
}

// shortest returns the shortest gap target that has not expired; zero if there is none.
func (g gapTargets) shortest(model string, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for target, until := range g[model] {
		switch {
		case now.After(until):
			delete(g[model], target)
		case shortest == 0 || target < shortest:
			shortest = target
		}
	}
	return shortest
}

// RecordGapTarget records the longest pause between events that a caller of a model accepts.
func (t *Tracker) RecordGapTarget(model string, target time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gapTargets.record(model, target, now)
}

// ToleratedPause returns the longest pause between events that all recent callers of a model
// accept; zero if there were none.
func (t *Tracker) ToleratedPause(model string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gapTargets.shortest(model, now)
}

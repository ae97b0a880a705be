package relay

import "time"

// gapTargetTTL is how long a gap target counts after the last request with it. Routes change, and
// every daemon gets requests of each kind within seconds.
const gapTargetTTL = 10 * time.Second

// gapTargets holds, by model, the longest pauses between events that routes allow, each with its
// expiry.
type gapTargets map[string]map[time.Duration]time.Time

func (g gapTargets) record(model string, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	if g[model] == nil {
		g[model] = make(map[time.Duration]time.Time)
	}
	g[model][pause] = now.Add(gapTargetTTL)
}

// shortest returns the shortest gap target that has not expired; zero if there is none.
func (g gapTargets) shortest(model string, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for pause, until := range g[model] {
		switch {
		case now.After(until):
			delete(g[model], pause)
		case shortest == 0 || pause < shortest:
			shortest = pause
		}
	}
	return shortest
}

// RecordGapTarget records the longest pause between events that a caller of a model accepts.
func (t *Tracker) RecordGapTarget(model string, pause time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gapTargets.record(model, pause, now)
}

// Pause returns the longest pause between events that all recent callers of a model accept; zero
// if there were none.
func (t *Tracker) Pause(model string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gapTargets.shortest(model, now)
}

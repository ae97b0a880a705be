package relay

import "time"

// gapTargetTTL is how long a pause that callers of a model bear counts after it was asked
// for last: routes change, and every daemon gets requests of each kind within seconds.
const gapTargetTTL = 10 * time.Second

// gapTargets holds, by model, the pauses that routes allow between events, with until when
// they count.
type gapTargets map[string]map[time.Duration]time.Time

func (p gapTargets) record(model string, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	if p[model] == nil {
		p[model] = make(map[time.Duration]time.Time)
	}
	p[model][pause] = now.Add(gapTargetTTL)
}

// shortest returns the shortest pause that counts; zero if none does.
func (p gapTargets) shortest(model string, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for pause, until := range p[model] {
		switch {
		case now.After(until):
			delete(p[model], pause)
		case shortest == 0 || pause < shortest:
			shortest = pause
		}
	}
	return shortest
}

// RecordGapTarget notes that a caller of a model bears a pause between events.
func (t *Tracker) RecordGapTarget(model string, pause time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gapTargets.record(model, pause, now)
}

// Pause returns the longest pause that all callers of a model bear who came here of late;
// zero if none came.
func (t *Tracker) Pause(model string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gapTargets.shortest(model, now)
}

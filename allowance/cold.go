package allowance

import (
	"time"

	"quartzshelf.dev/fleet"
)

// warmUpEnd returns when a worker finishes warming up, and the warm-up settings of its service.
// Both are zero if its service has no limit.
func (a *Allowance) warmUpEnd(previous, next *snapshot, w *fleet.Worker) (time.Time, fleet.WarmUp) {
	if next.config == nil {
		return time.Time{}, fleet.WarmUp{}
	}
	service, ok := next.config.Service(w.Service)
	if !ok || service.WarmUp.PerSecond <= 0 {
		return time.Time{}, fleet.WarmUp{}
	}
	until := w.ColdUntil
	opened := next.halls.OpenedAt(w.Zone)
	if opened.IsZero() || service.WarmUp.For <= 0 {
		return until, service.WarmUp
	}
	if a.coversOpening(previous, w, opened, service.WarmUp.For) {
		next.coveredOpenings[w.ID] = opened
		return until, service.WarmUp
	}
	return later(until, opened.Add(service.WarmUp.For+a.opts.Settle)), service.WarmUp
}

// coversOpening reports whether a worker's entry accounts for the warm-up since its hall was
// opened, or did so in the previous snapshot. Such an entry was written after the opening, with
// Settle as tolerance. Its remaining time must be at least half the warm-up time, because a shorter
// one may belong to an earlier warm-up.
func (a *Allowance) coversOpening(previous *snapshot, w *fleet.Worker, opened time.Time, warmUp time.Duration) bool {
	if at, ok := previous.coveredOpenings[w.ID]; ok && at.Equal(opened) {
		return true
	}
	remaining := time.Duration(w.ColdRemainingMillis) * time.Millisecond
	writtenAt := w.ColdUntil.Add(-remaining)
	return remaining >= warmUp/2 && writtenAt.After(opened.Add(-a.opts.Settle))
}

package allowance

import (
	"time"

	"quartzshelf.dev/fleet"
)

// warmsUntil returns until when a worker warms up, and what its service says of that.
func (a *Allowance) warmsUntil(held, s *snapshot, w *fleet.Worker) (time.Time, fleet.WarmUp) {
	if s.config == nil {
		return time.Time{}, fleet.WarmUp{}
	}
	service, ok := s.config.Service(w.Service)
	if !ok || service.WarmUp.PerSecond <= 0 {
		return time.Time{}, fleet.WarmUp{}
	}
	until := w.ColdUntil
	opened := s.halls.OpenedAt(w.Zone)
	if opened.IsZero() || service.WarmUp.For <= 0 {
		return until, service.WarmUp
	}
	if a.tells(held, w, opened, service.WarmUp.For) {
		s.told[w.ID] = opened
		return until, service.WarmUp
	}
	return later(until, opened.Add(service.WarmUp.For+a.opts.Settle)), service.WarmUp
}

// tells reports whether a worker's entry tells how long it is cold since its hall was
// opened, or did so before: one that came no earlier than the worker may have turned cold
// for it, and tells more than the rest of an earlier time.
func (a *Allowance) tells(held *snapshot, w *fleet.Worker, opened time.Time, usual time.Duration) bool {
	if at, ok := held.told[w.ID]; ok && at.Equal(opened) {
		return true
	}
	left := time.Duration(w.ColdLeft) * time.Millisecond
	came := w.ColdUntil.Add(-left)
	return left >= usual/2 && came.After(opened.Add(-a.opts.Settle))
}

package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

// hallSettleTime is the time after a data hall was closed or opened in which no group is traded for
// another model. Thus, a hall that is closed briefly by mistake causes no trades. Groups are still
// formed from idle workers during this time.
const hallSettleTime = time.Second

// hallStates records which data halls may be used for new groups.
type hallStates struct {
	// closedHalls holds the closed halls. It is empty if all halls that have workers are closed.
	closedHalls map[string]bool
}

// isUsable reports whether a hall's workers may be used for new groups and its replicas counted as
// available.
func (h *hallStates) isUsable(hall string) bool { return !h.closedHalls[hall] }

// refreshHalls updates which halls are closed. If all halls with workers are closed, none is
// treated as closed. The caller must hold rc.mu.
func (rc *Reconciler) refreshHalls(s *fleet.Service, view *fleet.View, now time.Time) {
	closed := rc.closedHalls(s, view)
	for hall := range closed {
		if !rc.halls.closedHalls[hall] {
			rc.opts.Logger.Info("data hall is closed for new replicas", "hall", hall)
			rc.tradesAllowedAt = now.Add(hallSettleTime)
		}
	}
	for hall := range rc.halls.closedHalls {
		if !closed[hall] {
			rc.opts.Logger.Info("data hall is open for new replicas", "hall", hall)
			rc.tradesAllowedAt = now.Add(hallSettleTime)
		}
	}
	rc.halls.closedHalls = closed
}

func (rc *Reconciler) closedHalls(s *fleet.Service, view *fleet.View) map[string]bool {
	if rc.opts.IsHallOpen == nil {
		return nil
	}
	closed, open := make(map[string]bool), make(map[string]bool)
	for _, w := range view.Workers() {
		if w.Service != s.Name || closed[w.Zone] || open[w.Zone] {
			continue
		}
		if rc.opts.IsHallOpen(w.Zone) {
			open[w.Zone] = true
		} else {
			closed[w.Zone] = true
		}
	}
	if len(open) == 0 {
		return nil
	}
	return closed
}

// hallLossPolicy returns how plans account for the loss of data halls. If no weight is configured,
// plans do not account for it.
func (rc *Reconciler) hallLossPolicy() HallLossPolicy {
	if rc.opts.HallLossWeight <= 0 {
		return HallLossPolicy{}
	}
	return HallLossPolicy{MaxLost: rc.opts.ToleratedHallLosses, Weight: rc.opts.HallLossWeight}
}

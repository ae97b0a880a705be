package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

// hallSettleTime is how long after a data hall was closed or opened no group is given up for
// another model: one that is closed by mistake and opened again within a second must not
// cost any. New groups of idle workers are formed at once.
const hallSettleTime = time.Second

// hallStates is which data halls may be used for new groups.
type hallStates struct {
	// closed holds the halls that are closed while an open one has workers.
	closed map[string]bool
}

// isUsable reports whether workers of a hall may be used, and its replicas count.
func (h *hallStates) isUsable(hall string) bool { return !h.closed[hall] }

// refreshHalls notes which halls are closed. If all that have workers are, what is there
// is kept as it is. The keeper's mutex is held.
func (k *Keeper) refreshHalls(s *fleet.Service, view *fleet.View, now time.Time) {
	closed := k.closedHalls(s, view)
	for hall := range closed {
		if !k.halls.closed[hall] {
			k.opts.Logger.Info("data hall is closed for new replicas", "hall", hall)
			k.tradesAllowedAt = now.Add(hallSettleTime)
		}
	}
	for hall := range k.halls.closed {
		if !closed[hall] {
			k.opts.Logger.Info("data hall is open for new replicas", "hall", hall)
			k.tradesAllowedAt = now.Add(hallSettleTime)
		}
	}
	k.halls.closed = closed
}

func (k *Keeper) closedHalls(s *fleet.Service, view *fleet.View) map[string]bool {
	if k.opts.HallOpen == nil {
		return nil
	}
	closed, open := make(map[string]bool), make(map[string]bool)
	for _, w := range view.Workers() {
		if w.Service != s.Name || closed[w.Zone] || open[w.Zone] {
			continue
		}
		if k.opts.HallOpen(w.Zone) {
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

// hallLossPolicy returns what a plan weighs for the loss of data halls: nothing without a weight.
func (k *Keeper) hallLossPolicy() HallLossPolicy {
	if k.opts.HallWeight <= 0 {
		return HallLossPolicy{}
	}
	return HallLossPolicy{MaxLost: k.opts.BearHalls, Weight: k.opts.HallWeight}
}

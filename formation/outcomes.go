package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

// unanswered is the outcome counted for an order that got no answer in time.
const unanswered = "unanswered"

// recordAttempt counts one attempt of an order. It logs rejections, and answers after unanswered
// attempts, which may still be carried out.
func (k *Keeper) recordAttempt(order string, w *fleet.Worker, attempts int, verdict Verdict, err error) {
	if err != nil {
		k.opts.Counted(order, unanswered)
		k.opts.Logger.Debug("order got no answer", "order", order, "worker", w.ID, "try", attempts, "error", err)
		return
	}
	k.opts.Counted(order, verdict.String())
	if attempts > 1 || !verdict.Accepted() {
		k.opts.Logger.Info("order answered", "order", order, "worker", w.ID, "tries", attempts, "verdict", verdict.String())
	}
}

// dissolution describes a group whose head confirmed that it left.
type dissolution struct {
	at time.Time
	// lastState is the last state that the head reported in the group.
	lastState fleet.GroupState
}

// detectReturn logs and counts each new state that a head reports in a group that it confirmed to
// have left. A lagging list may repeat the old state once; a head that reports "joining", "ready"
// and "open" in turn has returned. The caller must hold k.mu.
func (k *Keeper) detectReturn(o *observedGroup, now time.Time) {
	d, ok := k.dissolutions[o.key]
	if !ok || o.head == nil || o.state == d.lastState {
		return
	}
	first := d.lastState == ""
	d.lastState = o.state
	k.dissolutions[o.key] = d
	if first && o.state != fleet.Open {
		// The state before the dissolution, which a group that could not be formed shows late.
		return
	}
	k.opts.Counted("leave", "returned")
	k.opts.Logger.Warn("dissolved replica reported again", "replica", o.key, "head", o.head.ID,
		"state", string(o.state), "after_ms", now.Sub(d.at).Milliseconds())
}

package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

// outcomeUnanswered is the outcome that is counted for an order without an answer in time.
const outcomeUnanswered = "unanswered"

// recordAttempt counts the outcome of one attempt of an order. It also logs answers that are
// rejections, and answers that follow unanswered attempts, since those may still be carried out.
func (k *Keeper) recordAttempt(order string, w *fleet.Worker, attempts int, verdict Verdict, err error) {
	if err != nil {
		k.opts.Counted(order, outcomeUnanswered)
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
	confirmedAt time.Time
	// lastState is the last state that the head reported in the group.
	lastState fleet.GroupState
}

// detectReturn logs and counts each new state that a head reports for a group after confirming that
// it left. A lagging list may show the old state once more. A head that reports further states has
// returned to the group. The caller must hold k.mu.
func (k *Keeper) detectReturn(o *observedGroup, now time.Time) {
	d, ok := k.dissolutions[o.key]
	if !ok || o.head == nil || o.state == d.lastState {
		return
	}
	isFirstState := d.lastState == ""
	d.lastState = o.state
	k.dissolutions[o.key] = d
	if isFirstState && o.state != fleet.Open {
		// This may be the state before the dissolution, which a lagging list shows late for a group
		// that was never opened.
		return
	}
	k.opts.Counted("leave", "returned")
	k.opts.Logger.Warn("dissolved replica reported again", "replica", o.key, "head", o.head.ID,
		"state", string(o.state), "after_ms", now.Sub(d.confirmedAt).Milliseconds())
}

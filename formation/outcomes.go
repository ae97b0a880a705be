package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

// outcomeUnanswered is the outcome of an order that is not answered in time.
const outcomeUnanswered = "unanswered"

// recordAttempt counts the outcome of one attempt of an order. It logs an answer if it is a
// rejection or follows unanswered attempts, since those attempts may still be carried out.
func (rc *Reconciler) recordAttempt(order string, w *fleet.Worker, attempts int, verdict Verdict, err error) {
	if err != nil {
		rc.opts.OnOrderOutcome(order, outcomeUnanswered)
		rc.opts.Logger.Debug("order got no answer", "order", order, "worker", w.ID, "try", attempts, "error", err)
		return
	}
	rc.opts.OnOrderOutcome(order, verdict.String())
	if attempts > 1 || !verdict.IsAccepted() {
		rc.opts.Logger.Info("order answered", "order", order, "worker", w.ID, "tries", attempts, "verdict", verdict.String())
	}
}

// dissolution describes a group whose head confirmed that it left.
type dissolution struct {
	confirmedAt time.Time
	// lastState is the last state that the head reported in the group.
	lastState fleet.GroupState
}

// detectReturn logs and counts each new state that a head reports for a group after confirming that
// it left. Such a head has returned to the group. States from before the dissolution are ignored,
// since a lagging worker list may still show them. The caller must hold rc.mu.
func (rc *Reconciler) detectReturn(o *observedGroup, now time.Time) {
	d, ok := rc.dissolutions[o.key]
	if !ok || o.head == nil || o.state == d.lastState {
		return
	}
	isFirstState := d.lastState == ""
	d.lastState = o.state
	rc.dissolutions[o.key] = d
	if isFirstState && o.state != fleet.Open {
		// This may be the state from before the dissolution of a group that was never opened. A
		// lagging worker list may still show it.
		return
	}
	rc.opts.OnOrderOutcome("leave", "returned")
	rc.opts.Logger.Warn("dissolved replica reported again", "replica", o.key, "head", o.head.ID,
		"state", string(o.state), "after_ms", now.Sub(d.confirmedAt).Milliseconds())
}

package formation

import (
	"time"

	"quartzshelf.dev/fleet"
)

// unanswered is the outcome of an order, as counted, that got no answer in time.
const unanswered = "unanswered"

// recordAttempt counts one try of an order. What does not go as usual is logged: an
// answer after tries without one, any of which may be carried out later, and a
// refusal.
func (k *Keeper) recordAttempt(order string, w *fleet.Worker, tries int, verdict Verdict, err error) {
	if err != nil {
		k.opts.Counted(order, unanswered)
		k.opts.Logger.Debug("order got no answer", "order", order, "worker", w.ID, "try", tries, "error", err)
		return
	}
	k.opts.Counted(order, verdict.String())
	if tries > 1 || !verdict.Accepted() {
		k.opts.Logger.Info("order answered", "order", order, "worker", w.ID, "tries", tries, "verdict", verdict.String())
	}
}

// dissolution is what is remembered of a group whose head confirmed that it left.
type dissolution struct {
	at time.Time
	// lastState is the state that the head showed last in the group.
	lastState fleet.GroupState
}

// detectReturn logs and counts each new state that a head shows in a group which
// it left by its own word. The list may lag and repeat the old state once; a
// head that shows "joining", "ready" and "open" in turn has come back. The
// keeper's mutex is held.
func (k *Keeper) detectReturn(o *observedGroup, now time.Time) {
	d, ok := k.dissolutions[o.key]
	if !ok || o.head == nil || o.state == d.lastState {
		return
	}
	first := d.lastState == ""
	d.lastState = o.state
	k.dissolutions[o.key] = d
	if first && o.state != fleet.Open {
		// What it was dissolved from; a group that could not be formed shows it late.
		return
	}
	k.opts.Counted("leave", "returned")
	k.opts.Logger.Warn("dissolved replica shown again", "replica", o.key, "head", o.head.ID,
		"state", string(o.state), "after_ms", now.Sub(d.at).Milliseconds())
}

package formation

import (
	"context"
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// sendOrder sends an order until it is answered, at most maxOrderAttempts times, and reports
// whether an answer arrived. Each attempt has a new fence, so that workers reject earlier attempts
// that arrive late. If no attempt is answered, the worker's state is queried. If that is not
// answered either, the worker is recorded as silent or marked as unresponsive.
func (rc *Reconciler) sendOrder(ctx context.Context, order string, w *fleet.Worker, send func(context.Context, Fence) (Verdict, error)) (Verdict, bool) {
	since := time.Now()
	fencedCount, maxAttempts := 0, maxOrderAttempts
	if rc.isUnresponsive(w.ID) {
		maxAttempts = unresponsiveAttempts
	}
	for attempt := range maxAttempts {
		verdict, err := rc.sendOrderOnce(ctx, send)
		rc.recordAttempt(order, w, attempt+1, verdict, err)
		switch {
		case err == nil && verdict == Fenced && fencedCount == 0:
			// The worker may have received a later order of the same term first.
			fencedCount++
			continue
		case err == nil:
			rc.endTermIfFenced(order, w, verdict)
			if verdict == WrongWorker {
				rc.recordDisplaced(w)
			}
			return verdict, true
		}
		rc.forgetOrderState(w.ID)
		if ctx.Err() != nil {
			return StateMismatch, false
		}
	}
	rc.opts.Logger.Warn("order not answered", "order", order, "worker", w.ID, "tries", maxAttempts)
	if _, err := rc.query(ctx, w); ctx.Err() == nil {
		rc.recordContact(w, rc.contactOf(ctx, w, err), since)
	}
	return StateMismatch, false
}

// sendOrderOnce sends an order once, after waiting for a free call slot.
func (rc *Reconciler) sendOrderOnce(ctx context.Context, send func(context.Context, Fence) (Verdict, error)) (Verdict, error) {
	rc.callSlots <- struct{}{}
	defer func() { <-rc.callSlots }()
	if rc.opts.CheckSuspension != nil {
		rc.opts.CheckSuspension()
	}
	if err := ctx.Err(); err != nil {
		return StateMismatch, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return send(ctx, rc.nextFence())
}

// endTermIfFenced ends the term if a worker rejected an order because it had seen a higher fence.
func (rc *Reconciler) endTermIfFenced(order string, w *fleet.Worker, verdict Verdict) {
	if verdict != Fenced {
		return
	}
	rc.opts.Logger.Warn("order refused: another leader has a higher term", "order", order, "worker", w.ID)
	rc.onSuperseded()
}

// queryState queries a worker's state, records it, and reports whether the worker answered.
func (rc *Reconciler) queryState(ctx context.Context, w *fleet.Worker) (WorkerState, bool) {
	state, err := rc.query(ctx, w)
	return state, err == nil
}

// query queries a worker's state and records it.
func (rc *Reconciler) query(ctx context.Context, w *fleet.Worker) (WorkerState, error) {
	rc.callSlots <- struct{}{}
	defer func() { <-rc.callSlots }()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	state, err := rc.opts.Orders.QueryState(ctx, w)
	if errors.Is(err, ErrWrongWorker) {
		rc.recordDisplaced(w)
	}
	if err != nil {
		return WorkerState{}, err
	}
	rc.recordState(w.ID, state)
	return state, nil
}

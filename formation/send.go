package formation

import (
	"context"
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// sendOrder sends an order until it is answered, at most maxOrderAttempts times, and reports
// whether an answer arrived. Each attempt has a new fence, so that workers reject earlier attempts
// that arrive late. An attempt that another order of the same term overtook is repeated. If no attempt
// is answered, the worker's state is queried. If that is not answered either, the worker is recorded as
// silent or marked as unresponsive.
func (rc *Reconciler) sendOrder(ctx context.Context, order string, w *fleet.Worker, send func(context.Context, Fence) (Verdict, error)) (Verdict, bool) {
	since := time.Now()
	fencedCount, maxAttempts := 0, maxOrderAttempts
	if rc.isUnresponsive(w.ID) {
		maxAttempts = unresponsiveAttempts
	}
	for attempt := range maxAttempts {
		verdict, fence, err := rc.sendOrderOnce(ctx, w, send)
		rc.recordAttempt(order, w, attempt+1, verdict, err)
		isFenced := err == nil && verdict == Fenced
		isOvertaken := isFenced && rc.isOvertaken(w.ID, fence)
		switch {
		case isOvertaken && attempt+1 < maxAttempts:
			continue
		case isFenced && !isOvertaken && fencedCount == 0:
			fencedCount++
			continue
		case err == nil:
			rc.endTermIfFenced(order, w, verdict, fence)
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

// sendOrderOnce sends an order once, after waiting for a free call slot, and returns its fence.
func (rc *Reconciler) sendOrderOnce(ctx context.Context, w *fleet.Worker, send func(context.Context, Fence) (Verdict, error)) (Verdict, Fence, error) {
	rc.callSlots <- struct{}{}
	defer func() { <-rc.callSlots }()
	if rc.opts.CheckSuspension != nil {
		rc.opts.CheckSuspension()
	}
	if err := ctx.Err(); err != nil {
		return StateMismatch, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fence := rc.nextFenceFor(w.ID)
	verdict, err := send(ctx, fence)
	return verdict, fence, err
}

// nextFenceFor returns the fence of the next order to a worker.
func (rc *Reconciler) nextFenceFor(id string) Fence {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	fence := rc.nextFenceLocked()
	rc.lastFences[id] = fence
	return fence
}

// isOvertaken reports whether this term has sent a worker another order after the one with the given
// fence. The worker may have received that one first, and then rejects the earlier order although no
// other leader is active.
func (rc *Reconciler) isOvertaken(id string, fence Fence) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.lastFences[id] > fence
}

// endTermIfFenced ends the term if a worker rejected an order because it had seen the higher fence of
// another leader.
func (rc *Reconciler) endTermIfFenced(order string, w *fleet.Worker, verdict Verdict, fence Fence) {
	if verdict != Fenced || rc.isOvertaken(w.ID, fence) {
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

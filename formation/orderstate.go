package formation

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

const (
	// maxJoinAttempts is the maximum number of attempts to let a worker join a group. More than one
	// is needed if the worker must first leave a dissolved group, or has begun an order that the
	// leader does not know of.
	maxJoinAttempts = 4
	// joinRetryPause is the pause after an attempt that the worker answered with StateMismatch. A
	// worker's reports lag by up to 200 ms (report_lag_ms in the settings), so all pauses together
	// must be longer than that.
	joinRetryPause = 100 * time.Millisecond
	// reportSettleTime is the time after an answered order in which the worker's reports may still
	// show the state before the order. It is twice the lag of the reports.
	reportSettleTime = 400 * time.Millisecond
)

// orderState holds the number of orders that a worker has begun, and its group. It is based on the
// worker's last report and its answers since then.
//
// A worker carries out a join only if it has begun exactly as many orders as the join specifies.
// This holds even for a worker that does not check fences. Therefore, at most one of several
// attempts of a join is carried out, and none after the worker has begun another order.
type orderState struct {
	orderCount int64
	member     fleet.Membership
	// trustReportsFrom is the time from which reports include the last answered order.
	trustReportsFrom time.Time
}

// joinMember orders a worker to join a group, and reports whether it accepted. A worker that is
// still in a dissolved group must leave that group first. A worker in any other group does not
// join, since that group may serve.
func (rc *Reconciler) joinMember(ctx context.Context, g Group, w *fleet.Worker) bool {
	wanted := fleet.Membership{Group: g.Name, Epoch: g.Epoch}
	for range maxJoinAttempts {
		current, ok := rc.orderStateOf(ctx, w)
		switch {
		case !ok:
			return false
		case current.member.SameGroup(wanted):
			// An unanswered attempt was carried out.
			return true
		case current.member.Group != "":
			if !rc.leaveDissolved(ctx, w, current.member) {
				return false
			}
			continue
		}
		verdict, ok := rc.sendOrder(ctx, "join", w, func(ctx context.Context, fence Fence) (Verdict, error) {
			return rc.opts.Orders.Join(ctx, w, fence, current.orderCount, g)
		})
		switch {
		case ok && verdict == Started:
			rc.setOrderState(w.ID, current.orderCount+1, wanted)
			return true
		case !ok || verdict != StateMismatch:
			return ok && verdict.IsAccepted()
		}
		rc.forgetOrderState(w.ID)
		pause.Sleep(ctx, joinRetryPause)
	}
	return false
}

// leaveDissolved orders a worker to leave its group if that group was dissolved, and reports
// whether it left. It returns false for any other group, since another leader put the worker into
// it.
func (rc *Reconciler) leaveDissolved(ctx context.Context, w *fleet.Worker, m fleet.Membership) bool {
	rc.mu.Lock()
	dissolved := rc.retirements[fleet.GroupKey(m)] != 0
	rc.mu.Unlock()
	if !dissolved {
		rc.opts.Logger.Info("worker belongs to another group", "worker", w.ID, "replica", fleet.GroupKey(m))
		return false
	}
	verdict, ok := rc.leaveDirectly(ctx, Group{Name: m.Group, Epoch: m.Epoch}, w)
	return ok && verdict.IsAccepted()
}

// orderStateOf returns a worker's order state. If the state is not known, it queries the worker.
func (rc *Reconciler) orderStateOf(ctx context.Context, w *fleet.Worker) (orderState, bool) {
	rc.mu.Lock()
	current, ok := rc.orderStates[w.ID]
	rc.mu.Unlock()
	if ok {
		return current, true
	}
	state, ok := rc.queryState(ctx, w)
	return orderState{orderCount: state.OrderCount, member: state.Membership}, ok
}

// recordReport records the order state that a worker reported. It ignores the report if an order
// was answered so recently that the report may not include it. The caller must hold rc.mu.
func (rc *Reconciler) recordReport(id string, s WorkerState, now time.Time) {
	if current, ok := rc.orderStates[id]; ok && now.Before(current.trustReportsFrom) {
		return
	}
	rc.orderStates[id] = orderState{orderCount: s.OrderCount, member: s.Membership}
}

// setOrderState sets a worker's order state after an answered order.
func (rc *Reconciler) setOrderState(id string, orderCount int64, membership fleet.Membership) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.setOrderStateLocked(id, orderCount, membership)
}

// setOrderStateLocked is setOrderState for callers that hold rc.mu.
func (rc *Reconciler) setOrderStateLocked(id string, orderCount int64, m fleet.Membership) {
	rc.orderStates[id] = orderState{orderCount: orderCount, member: m, trustReportsFrom: time.Now().Add(reportSettleTime)}
}

// recordBegun increments a worker's order count if the worker began an order that does not change
// its group. Orders that a worker does not begin are not counted.
func (rc *Reconciler) recordBegun(id string, verdict Verdict) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if current, ok := rc.orderStates[id]; ok && verdict == Started {
		rc.setOrderStateLocked(id, current.orderCount+1, current.member)
	}
}

// recordLeft records that a worker accepted an order to leave a group. It has no effect if the
// worker was not in that group.
func (rc *Reconciler) recordLeft(id string, g Group, verdict Verdict) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	current, ok := rc.orderStates[id]
	if ok && verdict.IsAccepted() && current.member.SameGroup(fleet.Membership{Group: g.Name, Epoch: g.Epoch}) {
		rc.setOrderStateLocked(id, current.orderCount+1, fleet.Membership{})
	}
}

// forgetOrderState discards a worker's order state. It is called when the worker may have begun an
// order that the leader does not know of, or may still begin one.
func (rc *Reconciler) forgetOrderState(id string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	delete(rc.orderStates, id)
}

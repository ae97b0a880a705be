package formation

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

const (
	// maxJoinAttempts is how often a join is attempted per worker. One attempt is enough unless an
	// order that the leader does not know of came first.
	maxJoinAttempts = 4
	// joinRetryPause is the pause between attempts. Reports lag by up to 200 ms (report_lag_ms in
	// the settings), so that all attempts together outlast the lag.
	joinRetryPause = 100 * time.Millisecond
	// reportSettleTime is how long a worker's reports may still describe the time before an
	// answered order: twice the lag.
	reportSettleTime = 400 * time.Millisecond
)

// orderState is a worker's order count and group, as known from its last report or its answers
// since.
//
// A worker carries out a join only if it has begun exactly as many orders as the join says,
// whether or not workers check fences. Therefore at most one of several attempts of a join is ever
// carried out, and none after an order of another leader or a later order of this one.
type orderState struct {
	orders int64
	member fleet.Membership
	// trustReportsFrom is when reports can be trusted to include the last answered order.
	trustReportsFrom time.Time
}

// joinMember orders a worker into a group and reports whether it accepted. A worker joins only if
// it is in no group: if it is still in a dissolved one it leaves that first, so that it is never
// taken out of a group that serves, even if a dissolved group should serve again.
func (k *Keeper) joinMember(ctx context.Context, g Group, w *fleet.Worker) bool {
	wanted := fleet.Membership{Group: g.Name, Epoch: g.Epoch}
	for range maxJoinAttempts {
		current, ok := k.orderStateOf(ctx, w)
		switch {
		case !ok:
			return false
		case current.member.Same(wanted):
			// An unanswered attempt was carried out.
			return true
		case current.member.Group != "":
			if !k.leaveDissolved(ctx, w, current.member) {
				return false
			}
			continue
		}
		verdict, ok := k.sendOrder(ctx, "join", w, func(ctx context.Context, fence Fence) (Verdict, error) {
			return k.opts.Orders.Join(ctx, w, fence, current.orders, g)
		})
		switch {
		case ok && verdict == Begun:
			k.setOrderState(w.ID, current.orders+1, wanted)
			return true
		case !ok || verdict != Unfit:
			return ok && verdict.Accepted()
		}
		k.forgetOrderState(w.ID)
		pause.For(ctx, joinRetryPause)
	}
	return false
}

// leaveDissolved orders a worker to leave its group if that was dissolved, and reports whether it
// left. A worker in any other group was taken by another leader.
func (k *Keeper) leaveDissolved(ctx context.Context, w *fleet.Worker, m fleet.Membership) bool {
	k.mu.Lock()
	dissolved := k.retirements[fleet.GroupKey(m)] != 0
	k.mu.Unlock()
	if !dissolved {
		k.opts.Logger.Info("worker belongs to another group", "worker", w.ID, "replica", fleet.GroupKey(m))
		return false
	}
	verdict, ok := k.leaveDirectly(ctx, Group{Name: m.Group, Epoch: m.Epoch}, w)
	return ok && verdict.Accepted()
}

// orderStateOf returns a worker's order state, querying the worker if it is not known.
func (k *Keeper) orderStateOf(ctx context.Context, w *fleet.Worker) (orderState, bool) {
	k.mu.Lock()
	known, ok := k.orderStates[w.ID]
	k.mu.Unlock()
	if ok {
		return known, true
	}
	state, ok := k.queryState(ctx, w)
	return orderState{orders: state.Orders, member: state.Member}, ok
}

// recordReport records the order state that a worker reported, unless an order was answered so
// recently that the report may not include it. The caller must hold k.mu.
func (k *Keeper) recordReport(id string, s State, now time.Time) {
	if current, ok := k.orderStates[id]; ok && now.Before(current.trustReportsFrom) {
		return
	}
	k.orderStates[id] = orderState{orders: s.Orders, member: s.Member}
}

// setOrderState sets a worker's order state after an answered order.
func (k *Keeper) setOrderState(id string, orders int64, membership fleet.Membership) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setOrderStateLocked(id, orders, membership)
}

// setOrderStateLocked is setOrderState for callers that hold k.mu.
func (k *Keeper) setOrderStateLocked(id string, orders int64, m fleet.Membership) {
	k.orderStates[id] = orderState{orders: orders, member: m, trustReportsFrom: time.Now().Add(reportSettleTime)}
}

// recordBegun records an accepted order that does not change the worker's group. Workers count
// only orders that they begin.
func (k *Keeper) recordBegun(id string, verdict Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current, ok := k.orderStates[id]; ok && verdict == Begun {
		k.setOrderStateLocked(id, current.orders+1, current.member)
	}
}

// recordLeft records an accepted order to leave a group. It counts only if the worker was in that
// group.
func (k *Keeper) recordLeft(id string, g Group, verdict Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	current, ok := k.orderStates[id]
	if ok && verdict.Accepted() && current.member.Same(fleet.Membership{Group: g.Name, Epoch: g.Epoch}) {
		k.setOrderStateLocked(id, current.orders+1, fleet.Membership{})
	}
}

// forgetOrderState discards a worker's order state because it may have begun an order, or may yet.
func (k *Keeper) forgetOrderState(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.orderStates, id)
}

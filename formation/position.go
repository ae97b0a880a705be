package formation

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

const (
	// maxJoinAttempts is how often a worker is looked at for one join: once as a rule,
	// again if an order that the leader did not know of came before.
	maxJoinAttempts = 4
	// joinRetryPause is the pause before the next look. Reports lag by some hundred
	// milliseconds (report_lag_ms of the settings is 200), so that three of them
	// show what the last order changed.
	joinRetryPause = 100 * time.Millisecond
	// reportSettleTime is how long after an answered order a worker's reports may
	// still tell of the time before it: twice the lag.
	reportSettleTime = 400 * time.Millisecond
)

// orderState is what is known of a worker from its last report, or from its
// answers since: how many orders it has begun, and the group it is in.
//
// A worker carries a join out only if it has begun no other order since the
// position that the join names. This holds at every deployment, whether or not
// workers look at fences. Of all tries of a join at most one is therefore ever
// carried out, and none after an order of another leader or a later order of
// this one.
type orderState struct {
	orders int64
	member fleet.Membership
	// trustReportsFrom is from when reports are newer than the last answered order.
	trustReportsFrom time.Time
}

// joinMember orders one worker into a group and reports whether it took the
// order. A worker joins only out of no group: if it is still in one that was
// dissolved it leaves that first, so that it is never taken out of a group that
// serves, even if a dissolved group should serve again.
func (k *Keeper) joinMember(ctx context.Context, g Group, w *fleet.Worker) bool {
	wanted := fleet.Membership{Group: g.Name, Epoch: g.Epoch}
	for range maxJoinAttempts {
		at, ok := k.orderStateOf(ctx, w)
		switch {
		case !ok:
			return false
		case at.member.Same(wanted):
			// A try that got no answer was carried out.
			return true
		case at.member.Group != "":
			if !k.leaveDissolved(ctx, w, at.member) {
				return false
			}
			continue
		}
		verdict, ok := k.sendOrder(ctx, "join", w, func(ctx context.Context, fence Fence) (Verdict, error) {
			return k.opts.Orders.Join(ctx, w, fence, at.orders, g)
		})
		switch {
		case ok && verdict == Begun:
			k.setOrderState(w.ID, at.orders+1, wanted)
			return true
		case !ok || verdict != Unfit:
			return ok && verdict.Accepted()
		}
		k.forgetOrderState(w.ID)
		pause.For(ctx, joinRetryPause)
	}
	return false
}

// leaveDissolved lets a worker leave the group it is in if that was dissolved,
// and reports whether it left. Who is in another group was taken by another
// leader.
func (k *Keeper) leaveDissolved(ctx context.Context, w *fleet.Worker, m fleet.Membership) bool {
	k.mu.Lock()
	dissolved := k.retirements[fleet.GroupKey(m)] != 0
	k.mu.Unlock()
	if !dissolved {
		k.opts.Logger.Info("worker is taken", "worker", w.ID, "replica", fleet.GroupKey(m))
		return false
	}
	verdict, ok := k.leaveDirectly(ctx, Group{Name: m.Group, Epoch: m.Epoch}, w)
	return ok && verdict.Accepted()
}

// orderStateOf returns a worker's position, and asks for it if it is not known.
func (k *Keeper) orderStateOf(ctx context.Context, w *fleet.Worker) (orderState, bool) {
	k.mu.Lock()
	held, ok := k.orderStates[w.ID]
	k.mu.Unlock()
	if ok {
		return held, true
	}
	state, ok := k.queryState(ctx, w)
	return orderState{orders: state.Orders, member: state.Member}, ok
}

// recordReport takes the position that a worker reported, unless an order was
// answered so shortly before that the report may not tell of it. The keeper's
// mutex is held.
func (k *Keeper) recordReport(id string, s State, now time.Time) {
	if held, ok := k.orderStates[id]; ok && now.Before(held.trustReportsFrom) {
		return
	}
	k.orderStates[id] = orderState{orders: s.Orders, member: s.Member}
}

// setOrderState notes a worker's position after an answered order.
func (k *Keeper) setOrderState(id string, orders int64, membership fleet.Membership) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setOrderStateLocked(id, orders, membership)
}

// setOrderStateLocked does the same while the keeper's mutex is held.
func (k *Keeper) setOrderStateLocked(id string, orders int64, m fleet.Membership) {
	k.orderStates[id] = orderState{orders: orders, member: m, trustReportsFrom: time.Now().Add(reportSettleTime)}
}

// recordBegun notes an order that a worker took without changing its group. Workers
// count only what they begin.
func (k *Keeper) recordBegun(id string, verdict Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if held, ok := k.orderStates[id]; ok && verdict == Begun {
		k.setOrderStateLocked(id, held.orders+1, held.member)
	}
}

// recordLeft notes that a worker took an order to leave a group. It counts only if the
// worker was in it.
func (k *Keeper) recordLeft(id string, g Group, verdict Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, ok := k.orderStates[id]
	if ok && verdict.Accepted() && held.member.Same(fleet.Membership{Group: g.Name, Epoch: g.Epoch}) {
		k.setOrderStateLocked(id, held.orders+1, fleet.Membership{})
	}
}

// forgetOrderState notes that a worker may have begun an order, or may yet.
func (k *Keeper) forgetOrderState(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.orderStates, id)
}

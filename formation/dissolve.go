package formation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

// dissolve announces that a group is closed, and then frees its members. If the head does not
// respond, they are freed without its confirmation. This is safe because daemons no longer send
// requests to the head, and the group makes no progress without its members.
func (rc *Reconciler) dissolve(ctx context.Context, o *observedGroup, head *fleet.Worker) {
	rc.announceClosed(o, head)
	rc.releaseMembers(ctx, o, head)
}

// dissolveBroken dissolves a group that does not serve, unless all members that were lost answer
// again, or this daemon's own links are down. Nothing has been announced until then, so that callers can
// use the group at once.
func (rc *Reconciler) dissolveBroken(ctx context.Context, o *observedGroup) {
	if rc.hasRecovered(ctx, o) || !rc.areLinksUp(ctx, o.head) || ctx.Err() != nil {
		return
	}
	rc.dissolve(ctx, o, o.head)
}

// hasRecovered reports whether an open group lost members only because they were silent, and all of
// them answer as its members again. It queries each of them once.
func (rc *Reconciler) hasRecovered(ctx context.Context, o *observedGroup) bool {
	isWhole := o.isModelKnown && len(o.members)+len(o.silentMembers) == o.model.Size
	if len(o.silentMembers) == 0 || !isWhole || o.state != fleet.Open {
		return false
	}
	var returnedCount atomic.Int32
	p := pool.New()
	for _, w := range o.silentMembers {
		p.Go(func() {
			if state, ok := rc.queryState(ctx, w); ok && fleet.GroupKey(state.Membership) == o.key {
				returnedCount.Add(1)
			}
		})
	}
	p.Wait()
	return int(returnedCount.Load()) == len(o.silentMembers)
}

// releaseMembers orders the head to leave a group that takes no requests. It frees the members once
// the head has confirmed or is presumed dead.
func (rc *Reconciler) releaseMembers(ctx context.Context, o *observedGroup, head *fleet.Worker) {
	unreachableSince := time.Time{}
	for ctx.Err() == nil {
		verdict, ok := rc.leave(ctx, o.group, head)
		now := time.Now()
		switch {
		case ok && verdict == Fenced:
			return
		case ok:
			rc.retire(o, head, retiredConfirmed)
			return
		case unreachableSince.IsZero():
			unreachableSince = now.Add(-maxOrderAttempts * orderTimeout)
		}
		if rc.isUnresponsive(head.ID) || rc.isPresumedGone(head, unreachableSince, now) {
			rc.retire(o, head, retiredAssumed)
			return
		}
		pause.Sleep(ctx, tickInterval)
	}
}

// leave orders the head of a group to leave it, and reports whether the head answered. If this
// daemon cannot reach the head, it sends the order through other daemons. The group may still serve
// requests of those daemons.
func (rc *Reconciler) leave(ctx context.Context, g Group, head *fleet.Worker) (Verdict, bool) {
	verdict, ok := rc.leaveDirectly(ctx, g, head)
	if ok || ctx.Err() != nil {
		return verdict, ok
	}
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	fence := rc.nextFenceFor(head.ID)
	verdict, err := rc.opts.IndirectLeave(ctx, head, fence, g)
	if err != nil {
		return StateMismatch, false
	}
	rc.opts.Logger.Info("order sent through another daemon", "order", "leave", "worker", head.ID)
	rc.endTermIfFenced("leave", head, verdict, fence)
	return verdict, true
}

// leaveDirectly orders a worker to leave a group, and reports whether it answered.
func (rc *Reconciler) leaveDirectly(ctx context.Context, g Group, w *fleet.Worker) (Verdict, bool) {
	verdict, ok := rc.sendOrder(ctx, "leave", w, func(ctx context.Context, fence Fence) (Verdict, error) {
		return rc.opts.Orders.Leave(ctx, w, fence, g)
	})
	if ok {
		rc.recordLeft(w.ID, g, verdict)
	}
	return verdict, ok
}

// isPresumedGone reports whether a head that has been unreachable since the given time is presumed
// dead. If the worker list is recent, the head must also be missing from it. Otherwise, the head
// must have been unreachable for so long that its group has broken.
func (rc *Reconciler) isPresumedGone(head *fleet.Worker, unreachableSince, now time.Time) bool {
	_, isListed := rc.opts.Inventory.View().Worker(head.ID)
	isListRecent := now.Sub(rc.opts.Inventory.Confirmed()) < maxListAge
	unreachableFor := now.Sub(unreachableSince)
	if isListRecent {
		return !isListed && unreachableFor > lostHeadTimeout
	}
	return unreachableFor > rc.opts.StallTimeout+lostHeadTimeout
}

func (rc *Reconciler) retire(o *observedGroup, head *fleet.Worker, reason retirement) {
	rc.opts.Logger.Info("replica dissolved", "replica", o.key, "head", head.ID, "confirmed", reason == retiredConfirmed)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.retirements[o.key] = reason
	if reason == retiredConfirmed {
		rc.dissolutions[o.key] = dissolution{confirmedAt: time.Now(), lastState: o.state}
	}
	delete(rc.headlessSince, o.key)
}

func (rc *Reconciler) announceClosed(o *observedGroup, head *fleet.Worker) {
	rc.opts.OnAnnouncement(fleet.Announcement{
		Group: o.group.Name, Epoch: o.group.Epoch, Service: head.Service, Model: o.group.Model, Head: head.ID,
	})
}

// drainOrDissolve drains a group if all its members are present, since it may have requests in
// flight. Otherwise, it dissolves the group immediately.
func (rc *Reconciler) drainOrDissolve(ctx context.Context, o *observedGroup) {
	if o.isComplete() {
		rc.drain(ctx, o)
		return
	}
	rc.dissolve(ctx, o, o.head)
}

// drain closes a group and waits up to maxDrainTime for its requests to finish. It then dissolves
// the group.
func (rc *Reconciler) drain(ctx context.Context, o *observedGroup) {
	rc.opts.Logger.Info("draining replica", "replica", o.key)
	rc.announceClosed(o, o.head)
	deadline := time.Now().Add(maxDrainTime)
	hasRequests := rc.close(ctx, o, deadline)
	nextQuery := time.Now().Add(queryInterval)
	for hasRequests && ctx.Err() == nil && time.Now().Before(deadline) && !rc.isDrained(ctx, o, &nextQuery) {
		pause.Sleep(ctx, tickInterval)
	}
	rc.dissolve(ctx, o, o.head)
}

// close orders the head of a group to take no more requests, and reports whether earlier ones may be in flight. A
// head that does not answer may only pause, and may have carried the order out, so the order is repeated until the
// deadline, or until the head is treated as gone.
func (rc *Reconciler) close(ctx context.Context, o *observedGroup, deadline time.Time) (hasRequests bool) {
	for ctx.Err() == nil && time.Now().Before(deadline) && !rc.isUnresponsive(o.head.ID) {
		verdict, ok := rc.sendOrder(ctx, "close", o.head, func(ctx context.Context, fence Fence) (Verdict, error) {
			return rc.opts.Orders.Close(ctx, o.head, fence, o.group)
		})
		rc.recordBegun(o.head.ID, verdict)
		switch {
		case ok && verdict == StateMismatch:
			return rc.mayHaveRequests(ctx, o)
		case ok:
			return verdict.IsAccepted()
		}
		pause.Sleep(ctx, tickInterval)
	}
	return false
}

// mayHaveRequests reports whether a group may have requests, although its head answered that an order to close it does
// not fit. An earlier attempt, or an earlier leader, may have closed it.
func (rc *Reconciler) mayHaveRequests(ctx context.Context, o *observedGroup) bool {
	latest := fleet.Membership{Group: o.group.Name, Epoch: o.group.Epoch, State: o.state}
	if state, ok := rc.queryState(ctx, o.head); ok {
		latest = state.Membership
	}
	isMember := latest.SameGroup(fleet.Membership{Group: o.group.Name, Epoch: o.group.Epoch})
	// The report may be from before the close.
	return isMember && (latest.State == fleet.Open || latest.State == fleet.Closing)
}

// isDrained reports whether a closed group's requests have finished. It uses the worker list. If
// the list is stale or does not show the head, it queries the head, but not before nextQuery.
func (rc *Reconciler) isDrained(ctx context.Context, o *observedGroup, nextQuery *time.Time) bool {
	membership := fleet.Membership{Group: o.group.Name, Epoch: o.group.Epoch}
	headEntry, isListed := rc.opts.Inventory.View().Worker(o.head.ID)
	if isListed && headEntry.Member.SameGroup(membership) && headEntry.Member.State == fleet.Ready {
		return true
	}
	if !isListed && !rc.mayBeAlive(o.head.ID) {
		return true
	}
	now := time.Now()
	isEntryCurrent := isListed && now.Sub(rc.opts.Inventory.Confirmed()) <= listStaleAge
	if isEntryCurrent || now.Before(*nextQuery) {
		return false
	}
	*nextQuery = now.Add(queryInterval)
	state, ok := rc.queryState(ctx, o.head)
	return ok && (!state.Membership.SameGroup(membership) || state.Membership.State == fleet.Ready)
}

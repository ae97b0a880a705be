package formation

import (
	"context"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

// dissolve makes certain that the head takes no more requests for the group,
// and by then frees its members. A head that answers neither orders nor questions
// may still live, but daemons have been told to send it nothing, and what its
// members leave does not move: they are freed without its word.
func (k *Keeper) dissolve(ctx context.Context, o *observed, head *fleet.Worker) {
	k.announceClosed(o, head)
	k.release(ctx, o, head)
}

// release frees the members of a group that takes no requests.
func (k *Keeper) release(ctx context.Context, o *observed, head *fleet.Worker) {
	unreachableSince := time.Time{}
	for ctx.Err() == nil {
		verdict, ok := k.leave(ctx, o.group, head)
		now := time.Now()
		switch {
		case ok && verdict == Fenced:
			return
		case ok:
			k.retire(o, head, confirmed)
			return
		case unreachableSince.IsZero():
			unreachableSince = now.Add(-orderTries * orderTimeout)
		}
		if k.isSilent(head.ID) || k.gone(head, unreachableSince, now) {
			k.retire(o, head, assumed)
			return
		}
		pause.For(ctx, tickEvery)
	}
}

// leave lets a head leave its group, and reports whether it answered. A head
// that this daemon does not reach may still serve others, so they try too.
func (k *Keeper) leave(ctx context.Context, g Group, head *fleet.Worker) (Verdict, bool) {
	verdict, ok := k.leaveDirectly(ctx, g, head)
	if ok || ctx.Err() != nil {
		return verdict, ok
	}
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	verdict, err := k.opts.IndirectLeave(ctx, head, k.fence(), g)
	if err != nil {
		return Unfit, false
	}
	k.opts.Logger.Info("order given through another daemon", "order", "leave", "worker", head.ID)
	k.checkTerm("leave", head, verdict)
	return verdict, true
}

// leaveDirectly orders a worker to leave a group, and reports whether it answered.
func (k *Keeper) leaveDirectly(ctx context.Context, g Group, w *fleet.Worker) (Verdict, bool) {
	verdict, ok := k.order(ctx, "leave", w, func(ctx context.Context, fence Fence) (Verdict, error) {
		return k.opts.Orders.Leave(ctx, w, fence, g)
	})
	if ok {
		k.left(w.ID, g, verdict)
	}
	return verdict, ok
}

// gone reports whether a head that does not answer is taken to have ended: it is
// not listed although the list is fresh, or it had time to break while nobody
// could read the list.
func (k *Keeper) gone(head *fleet.Worker, since, now time.Time) bool {
	_, listed := k.opts.Inventory.View().Worker(head.ID)
	fresh := now.Sub(k.opts.Inventory.Confirmed()) < listFresh
	silence := now.Sub(since)
	if fresh {
		return !listed && silence > lostHead
	}
	return silence > k.opts.StallAfter+lostHead
}

func (k *Keeper) retire(o *observed, head *fleet.Worker, how retirement) {
	k.opts.Logger.Info("replica dissolved", "replica", o.key, "head", head.ID, "confirmed", how == confirmed)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired[o.key] = how
	if how == confirmed {
		k.dissolved[o.key] = dissolution{at: time.Now(), shown: o.state}
	}
	delete(k.headless, o.key)
}

func (k *Keeper) announceClosed(o *observed, head *fleet.Worker) {
	k.opts.Announced(fleet.Announcement{
		Group: o.group.Name, Epoch: o.group.Epoch, Service: head.Service, Model: o.group.Model, Head: head.ID,
	})
}

// end dissolves a group that is closed already; one whose members are all there
// may have requests to end.
func (k *Keeper) end(ctx context.Context, o *observed) {
	if o.whole() {
		k.drain(ctx, o)
		return
	}
	k.dissolve(ctx, o, o.head)
}

// drain lets a group's requests end before it is dissolved.
func (k *Keeper) drain(ctx context.Context, o *observed) {
	k.opts.Logger.Info("draining replica", "replica", o.key)
	k.announceClosed(o, o.head)
	deadline := time.Now().Add(drainMost)
	verdict, ok := k.order(ctx, "close", o.head, func(ctx context.Context, fence Fence) (Verdict, error) {
		return k.opts.Orders.Close(ctx, o.head, fence, o.group)
	})
	k.began(o.head.ID, verdict)
	nextAsk := time.Now().Add(askEvery)
	// An earlier leader may have closed it.
	closing := ok && (verdict.Accepted() || o.state == fleet.Closing)
	for closing && ctx.Err() == nil && time.Now().Before(deadline) && !k.drained(ctx, o, &nextAsk) {
		pause.For(ctx, tickEvery)
	}
	k.dissolve(ctx, o, o.head)
}

// drained reports whether a closed group's requests have ended, by the list or,
// while that is stale or does not show the head, by the head itself.
func (k *Keeper) drained(ctx context.Context, o *observed, nextAsk *time.Time) bool {
	closed := fleet.Membership{Group: o.group.Name, Epoch: o.group.Epoch}
	listed, there := k.opts.Inventory.View().Worker(o.head.ID)
	if there && listed.Member.Same(closed) && listed.Member.State == fleet.Ready {
		return true
	}
	if !there && !k.mayLive(o.head.ID) {
		return true
	}
	now := time.Now()
	told := there && now.Sub(k.opts.Inventory.Confirmed()) <= listStale
	if told || now.Before(*nextAsk) {
		return false
	}
	*nextAsk = now.Add(askEvery)
	state, ok := k.ask(ctx, o.head)
	return ok && (!state.Member.Same(closed) || state.Member.State == fleet.Ready)
}

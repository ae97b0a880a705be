package formation

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/fleet"
)

// unresponsiveAttempts is the number of unanswered queries after which a worker is considered
// unresponsive. It is also the maximum number of attempts to send an order to such a worker.
const unresponsiveAttempts = 2

// examineReplica queries the members of a suspected replica. It marks those that do not answer as
// unresponsive, so that the next tick repairs the group.
func (k *Reconciler) examineReplica(ctx context.Context, replica string) {
	members := k.startExamination(replica)
	if members == nil {
		return
	}
	k.tasks.Go(func() {
		p := pool.New()
		for _, w := range members {
			p.Go(func() { k.examineMember(ctx, w, replica) })
		}
		p.Wait()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.examinedReplicas, replica)
	})
}

// startExamination marks a replica as being examined and returns its members. It returns nil if the
// replica is already being examined, has a running operation or is known to be broken.
func (k *Reconciler) startExamination(replica string) []*fleet.Worker {
	view := k.opts.Inventory.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.examinedReplicas[replica] || k.busyGroups[replica] || k.retirements[replica] != 0 {
		return nil
	}
	var members []*fleet.Worker
	for w := range k.presentWorkers(view) {
		m := k.membershipOf(w)
		if m.Group == "" || fleet.GroupKey(m) != replica {
			continue
		}
		if k.isUnresponsiveLocked(w.ID) {
			// The group is known to be broken.
			return nil
		}
		members = append(members, w)
	}
	if members != nil {
		k.examinedReplicas[replica] = true
	}
	return members
}

func (k *Reconciler) examineMember(ctx context.Context, w *fleet.Worker, replica string) {
	if k.isResponsive(ctx, w) || ctx.Err() != nil {
		return
	}
	k.opts.Logger.Warn("worker does not answer", "worker", w.ID, "replica", replica)
	k.markUnresponsive(w.ID)
}

// isResponsive reports whether a worker answers a query within unresponsiveAttempts attempts.
func (k *Reconciler) isResponsive(ctx context.Context, w *fleet.Worker) bool {
	for range unresponsiveAttempts {
		if _, ok := k.queryState(ctx, w); ok {
			return true
		}
	}
	return false
}

// markUnresponsive records that a worker does not answer, and treats it as gone if it is absent.
func (k *Reconciler) markUnresponsive(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unresponsive[id] = time.Now().Add(unresponsiveQueryInterval)
	if a, ok := k.absent[id]; ok {
		a.isGone = true
	}
}

// isUnresponsive reports whether a worker is treated as gone. Either it does not answer, or another
// worker answers at its address.
func (k *Reconciler) isUnresponsive(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isUnresponsiveLocked(id)
}

// isUnresponsiveLocked is isUnresponsive for callers that hold k.mu.
func (k *Reconciler) isUnresponsiveLocked(id string) bool {
	_, isUnresponsive := k.unresponsive[id]
	a, isAbsent := k.absent[id]
	return isUnresponsive || isAbsent && a.isGone || k.displaced[id]
}

// queryUnresponsive queries each unresponsive worker once per unresponsiveQueryInterval. The caller
// must hold k.mu.
func (k *Reconciler) queryUnresponsive(ctx context.Context, view *fleet.View, now time.Time) {
	for id, nextQuery := range k.unresponsive {
		w, listed := view.Worker(id)
		if !listed || now.Before(nextQuery) {
			continue
		}
		k.unresponsive[id] = now.Add(unresponsiveQueryInterval)
		k.tasks.Go(func() { k.queryState(ctx, w) })
	}
}

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

// examineReplica queries the members of a suspected replica. It marks those that cannot be reached
// as unresponsive, so that the next tick repairs the group. Those that are only silent may answer
// later.
func (rc *Reconciler) examineReplica(ctx context.Context, replica string) {
	members := rc.startExamination(replica)
	if members == nil {
		return
	}
	rc.tasks.Go(func() {
		p := pool.New()
		for _, w := range members {
			p.Go(func() { rc.examineMember(ctx, w, replica) })
		}
		p.Wait()
		rc.mu.Lock()
		defer rc.mu.Unlock()
		delete(rc.examinedReplicas, replica)
	})
}

// startExamination marks a replica as being examined and returns its members. It returns nil if the
// replica is already being examined, has a running operation or is known to be broken.
func (rc *Reconciler) startExamination(replica string) []*fleet.Worker {
	view := rc.opts.Inventory.View()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.examinedReplicas[replica] || rc.busyGroups[replica] || rc.retirements[replica] != 0 {
		return nil
	}
	var members []*fleet.Worker
	for w := range rc.presentWorkers(view) {
		m := rc.membershipOf(w)
		if m.Group == "" || fleet.GroupKey(m) != replica {
			continue
		}
		if rc.isUnresponsiveLocked(w.ID) {
			// The group is known to be broken.
			return nil
		}
		if rc.silences[w.ID] == nil {
			// A silent worker is already being queried.
			members = append(members, w)
		}
	}
	if members != nil {
		rc.examinedReplicas[replica] = true
	}
	return members
}

func (rc *Reconciler) examineMember(ctx context.Context, w *fleet.Worker, replica string) {
	since := time.Now()
	outcome := rc.probe(ctx, w)
	if ctx.Err() != nil {
		return
	}
	if outcome == unreachable {
		rc.opts.Logger.Warn("worker does not answer", "worker", w.ID, "replica", replica)
	}
	rc.recordContact(w, outcome, since)
}

// markUnresponsive records that a worker does not answer, and treats it as gone if it is absent.
func (rc *Reconciler) markUnresponsive(id string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	delete(rc.silences, id)
	rc.markUnresponsiveLocked(id)
}

// markUnresponsiveLocked is markUnresponsive for callers that hold rc.mu.
func (rc *Reconciler) markUnresponsiveLocked(id string) {
	rc.unresponsive[id] = time.Now().Add(unresponsiveQueryInterval)
	if a, ok := rc.absent[id]; ok {
		a.isGone = true
	}
}

// isUnresponsive reports whether a worker is treated as gone. Either it does not answer, or another
// worker answers at its address.
func (rc *Reconciler) isUnresponsive(id string) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.isUnresponsiveLocked(id)
}

// isUnresponsiveLocked is isUnresponsive for callers that hold rc.mu.
func (rc *Reconciler) isUnresponsiveLocked(id string) bool {
	_, isUnresponsive := rc.unresponsive[id]
	a, isAbsent := rc.absent[id]
	return isUnresponsive || isAbsent && a.isGone || rc.displaced[id]
}

// queryUnresponsive queries each unresponsive worker once per unresponsiveQueryInterval. The caller
// must hold rc.mu.
func (rc *Reconciler) queryUnresponsive(ctx context.Context, view *fleet.View, now time.Time) {
	for id, nextQuery := range rc.unresponsive {
		w, listed := view.Worker(id)
		if !listed || now.Before(nextQuery) {
			continue
		}
		rc.unresponsive[id] = now.Add(unresponsiveQueryInterval)
		rc.tasks.Go(func() { rc.queryState(ctx, w) })
	}
}

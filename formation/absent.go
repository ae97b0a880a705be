package formation

import (
	"context"
	"iter"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// absentQueryInterval is the time between queries to a worker that left the worker list while
	// its group serves. The crash of such a worker is detected within this time plus the timeouts
	// of two queries. Callers may report it sooner.
	absentQueryInterval = 500 * time.Millisecond
	// maxAbsence is the time after which a worker that left the worker list while its group serves
	// is treated as gone, even if it answers. A worker that only lost its connection to the store
	// is usually listed again sooner.
	maxAbsence = 30 * time.Second
)

// absence describes a worker that left the worker list while it belonged to a group that may serve.
// The list does not show whether the worker crashed, is about to shut down or only lost its
// connection to the store. The worker is therefore queried directly.
type absence struct {
	worker        *fleet.Worker
	unlistedSince time.Time
	// nextQuery is the time of the next query to the worker. After queryUntil, the worker is no
	// longer queried.
	nextQuery  time.Time
	queryUntil time.Time
	// hasAnswered reports whether the worker has answered a query since it left the worker list.
	hasAnswered bool
	// isGone reports whether the worker is treated as dead. It did not answer, was replaced by
	// another worker at its address, or has been unlisted for longer than maxAbsence.
	isGone bool
}

// refreshAbsent records the workers that left the worker list while in a group that may serve. It
// removes the records of workers that are listed again. The caller must hold rc.mu.
func (rc *Reconciler) refreshAbsent(view *fleet.View, now time.Time) {
	if view == rc.lastView {
		return
	}
	for id := range rc.absent {
		if _, listed := view.Worker(id); listed {
			delete(rc.absent, id)
		}
	}
	for id, w := range rc.lastView.Workers() {
		if _, listed := view.Worker(id); !listed {
			rc.recordAbsent(w, now)
		}
	}
	rc.lastView = view
}

func (rc *Reconciler) recordAbsent(w *fleet.Worker, now time.Time) {
	m := rc.membershipOf(w)
	if m.Group == "" || rc.retirements[fleet.GroupKey(m)] != 0 || rc.isUnresponsiveLocked(w.ID) {
		return
	}
	rc.absent[w.ID] = &absence{worker: w, unlistedSince: now, nextQuery: now, queryUntil: now.Add(maxAbsence)}
}

// isAbsent reports whether an unlisted worker is still treated as a member of its group. The
// caller must hold rc.mu.
func (rc *Reconciler) isAbsent(id string) bool {
	a, ok := rc.absent[id]
	return ok && !a.isGone
}

// mayBeAlive reports the same as isAbsent, for callers that do not hold rc.mu.
func (rc *Reconciler) mayBeAlive(id string) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.isAbsent(id)
}

// presentWorkers iterates over the listed workers and the unlisted ones that are still treated as
// members of their groups. The caller must hold rc.mu.
func (rc *Reconciler) presentWorkers(view *fleet.View) iter.Seq[*fleet.Worker] {
	return func(yield func(*fleet.Worker) bool) {
		for _, w := range view.Workers() {
			if !yield(w) {
				return
			}
		}
		for id, a := range rc.absent {
			if rc.isAbsent(id) && !yield(a.worker) {
				return
			}
		}
	}
}

// repairAbsentHead drains a group whose head left the worker list but still answers. Callers send
// the group no new requests, and requests in flight may finish. Nothing is done until the head has
// answered once. The caller must hold rc.mu.
func (rc *Reconciler) repairAbsentHead(ctx context.Context, o *observedGroup) {
	if !rc.absent[o.head.ID].hasAnswered {
		return
	}
	rc.startOperation(ctx, o.key, o.members, func(ctx context.Context) { rc.drainOrDissolve(ctx, o) })
}

// queryAbsent queries workers that left the worker list, each at its next query time. Workers that
// have been absent for too long are marked as gone instead. The caller must hold rc.mu.
func (rc *Reconciler) queryAbsent(ctx context.Context, now time.Time) {
	for _, a := range rc.absent {
		if a.isGone || now.Before(a.nextQuery) {
			continue
		}
		if now.After(a.queryUntil) {
			a.isGone = true
			continue
		}
		a.nextQuery = now.Add(absentQueryInterval + unresponsiveAttempts*queryTimeout)
		rc.tasks.Go(func() { rc.checkAbsent(ctx, a) })
	}
}

// checkAbsent queries one worker that left the worker list, and marks it as gone if it cannot be
// reached. A silent worker is marked once it has been silent for too long.
func (rc *Reconciler) checkAbsent(ctx context.Context, a *absence) {
	since := time.Now()
	outcome := rc.probe(ctx, a.worker)
	if ctx.Err() != nil {
		return
	}
	if outcome == silent {
		rc.recordSilent(a.worker, since)
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if outcome == unreachable {
		// The worker may have been listed again meanwhile, as a new incarnation.
		a.isGone = true
		rc.opts.Logger.Info("worker that left the list does not answer", "worker", a.worker.ID,
			"ms", time.Since(a.unlistedSince).Milliseconds())
		return
	}
	a.hasAnswered = a.hasAnswered || outcome == answered
	a.nextQuery = time.Now().Add(absentQueryInterval)
}

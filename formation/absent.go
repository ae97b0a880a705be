package formation

import (
	"context"
	"iter"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// absentQueryInterval is how often a worker that left the list while its group serves
	// is asked whether it lives. One that has ended keeps its group standing still for
	// that long and its two unanswered questions, unless callers report it sooner.
	absentQueryInterval = 500 * time.Millisecond
	// maxAbsence bounds how long such a worker is asked. One that is only cut off
	// from the store is usually listed again within this time.
	maxAbsence = 30 * time.Second
)

// absence is what is known of a worker that left the list while it belonged to a
// group that may serve. The list does not tell whether such a worker crashed, is about
// to end, or merely does not reach the store; its own answers do.
type absence struct {
	worker *fleet.Worker
	since  time.Time
	// nextQuery is when it is asked next, endAt until when it is.
	nextQuery  time.Time
	queryUntil time.Time
	// hasAnswered tells that it answered since it left the list.
	hasAnswered bool
	// isGone tells that it does not answer: it counts as gone.
	isGone bool
}

// refreshAbsent notes who left the list while in a group that may serve, and who came
// back. The keeper's mutex is held.
func (k *Keeper) refreshAbsent(view *fleet.View, now time.Time) {
	if view == k.lastView {
		return
	}
	for id := range k.absent {
		if _, listed := view.Worker(id); listed {
			delete(k.absent, id)
		}
	}
	for id, w := range k.lastView.Workers() {
		if _, listed := view.Worker(id); !listed {
			k.recordAbsent(w, now)
		}
	}
	k.lastView = view
}

func (k *Keeper) recordAbsent(w *fleet.Worker, now time.Time) {
	m := k.membershipOf(w)
	if m.Group == "" || k.retirements[fleet.GroupKey(m)] != 0 || k.isUnresponsiveLocked(w.ID) {
		return
	}
	k.absent[w.ID] = &absence{worker: w, since: now, nextQuery: now, queryUntil: now.Add(maxAbsence)}
}

// isAbsent reports whether a worker that the list does not show counts as a member of
// its group all the same. The keeper's mutex is held.
func (k *Keeper) isAbsent(id string) bool {
	a, ok := k.absent[id]
	return ok && !a.isGone
}

// mayBeAlive does the same for callers that do not hold the mutex.
func (k *Keeper) mayBeAlive(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isAbsent(id)
}

// presentWorkers iterates over the workers that are listed, and those that left the list but count
// as members of their groups. The keeper's mutex is held.
func (k *Keeper) presentWorkers(view *fleet.View) iter.Seq[*fleet.Worker] {
	return func(yield func(*fleet.Worker) bool) {
		for _, w := range view.Workers() {
			if !yield(w) {
				return
			}
		}
		for id, a := range k.absent {
			if k.isAbsent(id) && !yield(a.worker) {
				return
			}
		}
	}
}

// repairAbsentHead ends a group whose head left the list but may live: callers send it
// nothing more, and what is under way there may end first. Until the head has answered
// once, nothing is done. The keeper's mutex is held.
func (k *Keeper) repairAbsentHead(ctx context.Context, o *observedGroup) {
	if !k.absent[o.head.ID].hasAnswered {
		return
	}
	k.startOperation(ctx, o.key, o.members, func(ctx context.Context) { k.drainOrDissolve(ctx, o) })
}

// queryAbsent asks the workers that left the list whether they live. The keeper's mutex
// is held.
func (k *Keeper) queryAbsent(ctx context.Context, now time.Time) {
	for _, a := range k.absent {
		if a.isGone || now.Before(a.nextQuery) {
			continue
		}
		if now.After(a.queryUntil) {
			a.isGone = true
			continue
		}
		a.nextQuery = now.Add(absentQueryInterval + unresponsiveAttempts*queryTimeout)
		k.tasks.Go(func() { k.checkAbsent(ctx, a) })
	}
}

// checkAbsent asks one worker that left the list, and notes that it ended if it does
// not answer.
func (k *Keeper) checkAbsent(ctx context.Context, a *absence) {
	answers := k.isResponsive(ctx, a.worker)
	if ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if answers {
		a.hasAnswered = true
		a.nextQuery = time.Now().Add(absentQueryInterval)
		return
	}
	a.isGone = true
	k.opts.Logger.Info("worker that left the list does not answer", "worker", a.worker.ID,
		"ms", time.Since(a.since).Milliseconds())
}

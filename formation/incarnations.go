package formation

import "quartzshelf.dev/fleet"

// incarnation holds the start times of a worker's process, in Unix milliseconds. A worker may
// restart under the same ID. Its new process keeps only what is staged on the host. It belongs to
// no group and counts orders from zero.
type incarnation struct {
	// listedStart is the start time in the worker list. newestStart is the start time of the latest
	// incarnation that the list or the worker itself has reported.
	listedStart, newestStart int64
}

// recordListedIncarnation records the incarnation in an entry of the worker list. Entries arrive in
// the order in which they were written. A different incarnation is therefore a later one, even if
// the worker's clock was set back. The caller must hold k.mu.
func (k *Reconciler) recordListedIncarnation(w *fleet.Worker) {
	if w.StartedAt == 0 {
		return
	}
	l, known := k.incarnations[w.ID]
	if known && w.StartedAt == l.listedStart {
		return
	}
	if known && w.StartedAt != l.newestStart {
		k.forgetIncarnation(w.ID)
	}
	k.incarnations[w.ID] = incarnation{listedStart: w.StartedAt, newestStart: w.StartedAt}
}

// recordReportedIncarnation records the incarnation in a worker's own answer. It returns false if
// the answer comes from an earlier incarnation. The caller must hold k.mu.
func (k *Reconciler) recordReportedIncarnation(id string, born int64) bool {
	l, known := k.incarnations[id]
	switch {
	case born == 0 || known && born == l.newestStart:
		return true
	case known && born < l.newestStart:
		return false
	case known:
		k.forgetIncarnation(id)
	}
	k.incarnations[id] = incarnation{listedStart: l.listedStart, newestStart: born}
	return true
}

// isPastIncarnation reports whether an entry of the worker list belongs to an earlier incarnation.
// The caller must hold k.mu.
func (k *Reconciler) isPastIncarnation(w *fleet.Worker) bool {
	l, known := k.incarnations[w.ID]
	return known && w.StartedAt != 0 && w.StartedAt != l.newestStart
}

// forgetIncarnation discards the state of a worker's earlier incarnation. The caller must hold
// k.mu.
func (k *Reconciler) forgetIncarnation(id string) {
	k.opts.Logger.Info("worker restarted under its ID", "worker", id)
	delete(k.observations, id)
	delete(k.orderStates, id)
	delete(k.unresponsive, id)
	delete(k.absent, id)
	delete(k.displaced, id)
	delete(k.interruptedJoins, id)
	delete(k.activeLoads, id)
	delete(k.stageRetryAt, id)
	delete(k.unreliableUntil, id)
}

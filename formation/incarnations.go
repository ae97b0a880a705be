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
// the worker's clock was set back. The caller must hold rc.mu.
func (rc *Reconciler) recordListedIncarnation(w *fleet.Worker) {
	if w.StartedAt == 0 {
		return
	}
	l, known := rc.incarnations[w.ID]
	if known && w.StartedAt == l.listedStart {
		return
	}
	if known && w.StartedAt != l.newestStart {
		rc.forgetIncarnation(w.ID)
	}
	rc.incarnations[w.ID] = incarnation{listedStart: w.StartedAt, newestStart: w.StartedAt}
}

// recordReportedIncarnation records the incarnation in a worker's own answer. It returns false if
// the answer comes from an earlier incarnation. The caller must hold rc.mu.
func (rc *Reconciler) recordReportedIncarnation(id string, born int64) bool {
	l, known := rc.incarnations[id]
	switch {
	case born == 0 || known && born == l.newestStart:
		return true
	case known && born < l.newestStart:
		return false
	case known:
		rc.forgetIncarnation(id)
	}
	rc.incarnations[id] = incarnation{listedStart: l.listedStart, newestStart: born}
	return true
}

// isPastIncarnation reports whether an entry of the worker list belongs to an earlier incarnation.
// The caller must hold rc.mu.
func (rc *Reconciler) isPastIncarnation(w *fleet.Worker) bool {
	l, known := rc.incarnations[w.ID]
	return known && w.StartedAt != 0 && w.StartedAt != l.newestStart
}

// forgetIncarnation discards the state of a worker's earlier incarnation. The caller must hold
// rc.mu.
func (rc *Reconciler) forgetIncarnation(id string) {
	rc.opts.Logger.Info("worker restarted under its ID", "worker", id)
	delete(rc.observations, id)
	delete(rc.orderStates, id)
	delete(rc.unresponsive, id)
	delete(rc.silences, id)
	delete(rc.absent, id)
	delete(rc.displaced, id)
	delete(rc.interruptedJoins, id)
	delete(rc.activeLoads, id)
	delete(rc.stageRetryAt, id)
	delete(rc.unreliableUntil, id)
}

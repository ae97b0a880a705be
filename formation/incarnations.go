package formation

import "quartzshelf.dev/fleet"

// incarnation records when a worker's current process started, in Unix milliseconds. A worker may
// restart under its ID; it then keeps only what is staged on its host, belongs to no group, and
// counts orders from zero.
type incarnation struct {
	// listed is the incarnation in the list; newest is the latest one known from the list or the
	// worker itself, whichever is first to report it.
	listed, newest int64
}

// recordListedIncarnation records the incarnation in a list entry. Entries arrive in the order in
// which they were written, so a different incarnation is a later one, even if the worker's clock
// was set back. The caller must hold k.mu.
func (k *Keeper) recordListedIncarnation(w *fleet.Worker) {
	if w.Born == 0 {
		return
	}
	l, known := k.incarnations[w.ID]
	if known && w.Born == l.listed {
		return
	}
	if known && w.Born != l.newest {
		k.forgetIncarnation(w.ID)
	}
	k.incarnations[w.ID] = incarnation{listed: w.Born, newest: w.Born}
}

// recordReportedIncarnation records the incarnation in a worker's own answer, and reports whether
// the answer is current. A late answer of an earlier incarnation is not. The caller must hold
// k.mu.
func (k *Keeper) recordReportedIncarnation(id string, born int64) bool {
	l, known := k.incarnations[id]
	switch {
	case born == 0 || known && born == l.newest:
		return true
	case known && born < l.newest:
		return false
	case known:
		k.forgetIncarnation(id)
	}
	k.incarnations[id] = incarnation{listed: l.listed, newest: born}
	return true
}

// isPastIncarnation reports whether a list entry belongs to an earlier incarnation. The caller
// must hold k.mu.
func (k *Keeper) isPastIncarnation(w *fleet.Worker) bool {
	l, known := k.incarnations[w.ID]
	return known && w.Born != 0 && w.Born != l.newest
}

// forgetIncarnation discards the state of a worker's earlier incarnation. The caller must hold
// k.mu.
func (k *Keeper) forgetIncarnation(id string) {
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

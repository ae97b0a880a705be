package formation

import "quartzshelf.dev/fleet"

// incarnation tells when the present life of a worker began, in Unix milliseconds. A worker may end
// and start again under its id; it then holds nothing of before but what lies on its host, is
// a member of no group, and counts orders anew.
type incarnation struct {
	// listed is what the list shows, newest the present life as far as the list or the worker
	// itself told: whichever tells first is believed.
	listed, newest int64
}

// recordListedIncarnation takes the life that the list shows. Entries of the list come in the order in
// which they were written, so a life that differs is a later one, also if the worker's clock
// was set back meanwhile. The keeper's mutex is held.
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

// recordReportedIncarnation takes the life that a worker's own answer tells, and reports whether the answer
// counts. One of a life before came late. The keeper's mutex is held.
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

// isPastIncarnation reports whether an entry of the list is of a life that is over. The keeper's mutex
// is held.
func (k *Keeper) isPastIncarnation(w *fleet.Worker) bool {
	l, known := k.incarnations[w.ID]
	return known && w.Born != 0 && w.Born != l.newest
}

// forgetIncarnation forgets what was known of a worker's life that is over: its part in groups, its
// position, its loads, and its silence. The keeper's mutex is held.
func (k *Keeper) forgetIncarnation(id string) {
	k.opts.Logger.Info("worker has started again under its id", "worker", id)
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

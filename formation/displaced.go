package formation

import (
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// ErrWrongWorker means that another worker answered at a worker's address.
var ErrWrongWorker = errors.New("another worker answered at the address")

// recordDisplaced records that another worker answered at a worker's address. The original worker
// no longer runs, but the worker list may still show it while the store is unavailable. The record
// keeps the original worker out of new groups.
func (rc *Reconciler) recordDisplaced(w *fleet.Worker) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.displaced[w.ID] {
		return
	}
	rc.displaced[w.ID] = true
	if a, ok := rc.absent[w.ID]; ok {
		a.isGone = true
	}
	rc.opts.Logger.Info("worker replaced: another one answers at its address", "worker", w.ID)
}

// interruptedJoin is the assumed state of a worker whose join was abandoned at abandonedAt. The
// worker has no loaded model, and its host holds only the models in staged.
type interruptedJoin struct {
	staged      []string
	abandonedAt time.Time
}

// recordInterruptedJoins records that the members of an abandoned group may have lost their
// previous model without having loaded the new one. Without this record, they would be assumed to
// be warm, and their loads would not be counted. Members that already served the group's model are
// not affected. The caller must hold rc.mu.
func (rc *Reconciler) recordInterruptedJoins(g Group, now time.Time) {
	for _, id := range g.Members {
		w, ok := rc.knownWorkers[id]
		if !ok {
			continue
		}
		switch rc.asFreeWorker(w).warmth(g.Model) {
		case Hot:
		case Staged:
			rc.interruptedJoins[id] = interruptedJoin{staged: []string{g.Model}, abandonedAt: now}
		default:
			rc.interruptedJoins[id] = interruptedJoin{abandonedAt: now}
		}
	}
}

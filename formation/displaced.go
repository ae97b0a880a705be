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
func (k *Reconciler) recordDisplaced(w *fleet.Worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.displaced[w.ID] {
		return
	}
	k.displaced[w.ID] = true
	if a, ok := k.absent[w.ID]; ok {
		a.isGone = true
	}
	k.opts.Logger.Info("worker replaced: another one answers at its address", "worker", w.ID)
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
// not affected. The caller must hold k.mu.
func (k *Reconciler) recordInterruptedJoins(g Group, now time.Time) {
	for _, id := range g.Members {
		w, ok := k.knownWorkers[id]
		if !ok {
			continue
		}
		switch k.asFreeWorker(w).warmth(g.Model) {
		case Hot:
		case Staged:
			k.interruptedJoins[id] = interruptedJoin{staged: []string{g.Model}, abandonedAt: now}
		default:
			k.interruptedJoins[id] = interruptedJoin{abandonedAt: now}
		}
	}
}

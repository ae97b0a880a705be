package formation

import (
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// ErrElsewhere reports that another worker answered at a worker's address.
var ErrElsewhere = errors.New("another worker answered at the address")

// recordDisplaced records that another worker answered at a worker's address, so the original has
// ended. The list may show it for some time, and indefinitely while the store is unavailable;
// without this record it would be put into new groups again and again.
func (k *Keeper) recordDisplaced(w *fleet.Worker) {
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

// interruptedJoin is the known state of a worker whose join was abandoned: no loaded model, and
// what is staged on its host.
type interruptedJoin struct {
	staged []string
	at     time.Time
}

// recordInterruptedJoins records that the members of an abandoned group may have been interrupted
// while joining: they may have lost the previous model without having the new one. If they were
// assumed warm, their loads would not be counted. Members that already served the model are not
// affected. The caller must hold k.mu.
func (k *Keeper) recordInterruptedJoins(g Group, now time.Time) {
	for _, id := range g.Members {
		w, ok := k.knownWorkers[id]
		if !ok {
			continue
		}
		switch k.asFreeWorker(w).warmth(g.Model) {
		case Hot:
		case Staged:
			k.interruptedJoins[id] = interruptedJoin{staged: []string{g.Model}, at: now}
		default:
			k.interruptedJoins[id] = interruptedJoin{at: now}
		}
	}
}

package formation

import (
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// ErrElsewhere tells that another worker answered at a worker's address.
var ErrElsewhere = errors.New("another worker has the address")

// recordDisplaced notes that a worker's life has ended: another one answered at its address. The
// list may show it for some time yet, and does so all the while the store is away. Formed
// into groups again and again, a few such workers made a leader begin 450 groups a second,
// none of which came to serve.
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
	k.opts.Logger.Info("worker has ended: another one has its address", "worker", w.ID)
}

// interruptedJoin is what a worker holds for certain after a group that it was to join was
// given up: no model of its own, and what is staged on its host.
type interruptedJoin struct {
	staged []string
	at     time.Time
}

// recordInterruptedJoins notes that the members of a group may have been cut off while they
// joined it: they may have lost what they served before and not have the new model. Taken
// for warm, they would load without being counted. Those that served the model last have
// nothing to lose. The keeper's mutex is held.
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

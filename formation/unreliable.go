package formation

import (
	"context"
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// unreliablePeriod is how long a worker that prevented a group from forming is used only where
// there are too few others. It is about twice the time until a failed forming is abandoned.
const unreliablePeriod = 9 * time.Second

// unreliablePause is how long such a worker is not used at all. Without it, a worker that fails
// immediately would be put into a new group at every tick, and its partners might start a load
// each time.
const unreliablePause = time.Second

// markUnreliable records the workers that prevented a group from forming. If the context is
// canceled because the term ends, they are not at fault.
func (k *Keeper) markUnreliable(ctx context.Context, g Group, workers ...*fleet.Worker) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	preferOthersUntil := time.Now().Add(unreliablePeriod)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range workers {
		k.unreliableUntil[w.ID] = preferOthersUntil
		k.opts.Logger.Warn("member did not become ready", "worker", w.ID, "domain", w.Domain, "replica", g.Key())
	}
}

// clearUnreliable clears the unreliable mark of workers that became ready.
func (k *Keeper) clearUnreliable(workers []*fleet.Worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range workers {
		delete(k.unreliableUntil, w.ID)
	}
}

// isPaused reports whether a worker is temporarily excluded from new groups. The caller must hold
// k.mu.
func (k *Keeper) isPaused(id string) bool {
	until, ok := k.unreliableUntil[id]
	return ok && time.Now().Before(until.Add(unreliablePause-unreliablePeriod))
}

// isUnreliable reports whether other workers are preferred over this one. The caller must hold
// k.mu.
func (k *Keeper) isUnreliable(id string) bool {
	until, ok := k.unreliableUntil[id]
	if !ok {
		return false
	}
	if time.Now().After(until) {
		delete(k.unreliableUntil, id)
		return false
	}
	return true
}

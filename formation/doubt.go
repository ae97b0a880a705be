package formation

import (
	"context"
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// unreliablePeriod is how long a worker that kept a group from being formed is used only where
// others are too few. A forming that is given up took joinSlack and a warm join; twice
// that spares the second try, and a worker that
// has to load is through with it.
const unreliablePeriod = 9 * time.Second

// unreliablePause is how long such a worker is not used at all. One that fails at once would be
// ordered into a new group in each look, ten times a second, and its partners may begin a
// load each time.
const unreliablePause = time.Second

// markUnreliable notes the workers because of which a group was not formed. A term that ends,
// which cancels the context, proves nothing about them.
func (k *Keeper) markUnreliable(ctx context.Context, g Group, workers ...*fleet.Worker) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	until := time.Now().Add(unreliablePeriod)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range workers {
		k.unreliableUntil[w.ID] = until
		k.opts.Logger.Warn("member did not become ready", "worker", w.ID, "domain", w.Domain, "replica", g.Key())
	}
}

// clearUnreliable forgets the doubts about workers that became ready.
func (k *Keeper) clearUnreliable(workers []*fleet.Worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range workers {
		delete(k.unreliableUntil, w.ID)
	}
}

// isPaused reports whether a worker kept a group from being formed a moment ago. The
// keeper's mutex is held.
func (k *Keeper) isPaused(id string) bool {
	until, ok := k.unreliableUntil[id]
	return ok && time.Now().Before(until.Add(unreliablePause-unreliablePeriod))
}

// isUnreliable reports whether others are preferred to a worker. The keeper's mutex is held.
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

package formation

import (
	"context"
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// unreliableDuration is the time for which a worker that prevented a group from forming is avoided.
// It is then used only if there are too few other workers.
const unreliableDuration = 9 * time.Second

// exclusionPeriod is the time for which a worker that prevented a group from forming is not used at
// all. Otherwise, a worker that fails immediately would be put into a new group at every tick. The
// other members of that group might start a load each time.
const exclusionPeriod = time.Second

// markUnreliable records the workers that prevented a group from forming. It records nothing if the
// context was canceled, since the group then failed because the term ended.
func (rc *Reconciler) markUnreliable(ctx context.Context, g Group, workers ...*fleet.Worker) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	preferOthersUntil := time.Now().Add(unreliableDuration)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, w := range workers {
		rc.unreliableUntil[w.ID] = preferOthersUntil
		rc.opts.Logger.Warn("member did not become ready", "worker", w.ID, "domain", w.Domain, "replica", g.Key())
	}
}

// clearUnreliable records that workers became ready and are no longer unreliable.
func (rc *Reconciler) clearUnreliable(workers []*fleet.Worker) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, w := range workers {
		delete(rc.unreliableUntil, w.ID)
	}
}

// isExcluded reports whether a worker is temporarily excluded from new groups. The caller must hold
// rc.mu.
func (rc *Reconciler) isExcluded(id string) bool {
	until, ok := rc.unreliableUntil[id]
	return ok && time.Now().Before(until.Add(exclusionPeriod-unreliableDuration))
}

// isUnreliable reports whether a worker recently prevented a group from forming, so that other
// workers are preferred to it. The caller must hold rc.mu.
func (rc *Reconciler) isUnreliable(id string) bool {
	until, ok := rc.unreliableUntil[id]
	if !ok {
		return false
	}
	if time.Now().After(until) {
		delete(rc.unreliableUntil, id)
		return false
	}
	return true
}

package formation

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/fleet"
)

// silentTries is how often a worker must not answer to count as silent, and how
// often a silent one is given an order.
const silentTries = 2

// examine asks the members of a suspected replica whether they live. Those
// that do not answer count as lost, which makes the next tick mend the group.
func (k *Keeper) examine(ctx context.Context, replica string) {
	members := k.membersOf(replica)
	if members == nil {
		return
	}
	k.group.Go(func() {
		p := pool.New()
		for _, w := range members {
			p.Go(func() { k.check(ctx, w, replica) })
		}
		p.Wait()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.examining, replica)
	})
}

// membersOf returns the members of a replica that is not being looked at yet.
func (k *Keeper) membersOf(replica string) []*fleet.Worker {
	view := k.opts.Inventory.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.examining[replica] || k.operating[replica] || k.retired[replica] != 0 {
		return nil
	}
	var members []*fleet.Worker
	for w := range k.present(view) {
		m := k.member(w)
		if m.Group == "" || fleet.GroupKey(m) != replica {
			continue
		}
		if k.silentNow(w.ID) {
			// The group is known to be broken.
			return nil
		}
		members = append(members, w)
	}
	if members != nil {
		k.examining[replica] = true
	}
	return members
}

func (k *Keeper) check(ctx context.Context, w *fleet.Worker, replica string) {
	if k.answers(ctx, w) || ctx.Err() != nil {
		return
	}
	k.opts.Logger.Warn("worker does not answer", "worker", w.ID, "replica", replica)
	k.fellSilent(w.ID)
}

// answers reports whether a worker answers one of as many questions as it may leave
// unanswered.
func (k *Keeper) answers(ctx context.Context, w *fleet.Worker) bool {
	for range silentTries {
		if _, ok := k.ask(ctx, w); ok {
			return true
		}
	}
	return false
}

// fellSilent notes that a worker does not answer.
func (k *Keeper) fellSilent(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent[id] = time.Now().Add(reviveEvery)
	if a, ok := k.absent[id]; ok {
		a.ended = true
	}
}

// isSilent reports whether a worker does not answer.
func (k *Keeper) isSilent(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silentNow(id)
}

// silentNow does the same while the keeper's mutex is held.
func (k *Keeper) silentNow(id string) bool {
	_, silent := k.silent[id]
	a, absent := k.absent[id]
	return silent || absent && a.ended || k.ended[id]
}

// revive asks silent workers again now and then. The keeper's mutex is held.
func (k *Keeper) revive(ctx context.Context, view *fleet.View, now time.Time) {
	for id, at := range k.silent {
		w, listed := view.Worker(id)
		if !listed || now.Before(at) {
			continue
		}
		k.silent[id] = now.Add(reviveEvery)
		k.group.Go(func() { k.ask(ctx, w) })
	}
}

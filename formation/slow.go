package formation

import (
	"context"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// slowPace is the pace from which a worker counts as slow. A group runs at the pace of
	// its slowest member: with a fifth of the workers slow, every group of 16 is.
	slowPace = 2.0
	// slowAskEvery is how often a slow worker is asked whether it still is.
	slowAskEvery = time.Second
	// slowDrain bounds how long a group with slow members may end its requests, which
	// then go on elsewhere: they take several times as long as planned where they are.
	slowDrain = time.Second
	// slowAtOnce is the part of a model's open groups that may be given up at the same
	// time for slow members, so that the rest serve meanwhile, be it slowly.
	slowAtOnce = 1.0 / 3
	// slowForm is how long a group takes to be formed anew of warm workers.
	slowForm = 2 * time.Second
)

// notePace takes the pace that a worker told. The keeper's mutex is held.
func (k *Keeper) notePace(id string, pace float64, now time.Time) {
	if pace < slowPace {
		delete(k.slow, id)
		return
	}
	if _, known := k.slow[id]; !known {
		k.opts.Logger.Info("worker is slow", "worker", id, "pace", pace)
	}
	k.slow[id] = now.Add(slowAskEvery)
}

// isSlow reports whether a worker is slow. The keeper's mutex is held.
func (k *Keeper) isSlow(id string) bool {
	_, slow := k.slow[id]
	return slow
}

// askSlow asks slow workers again now and then, and forgets those that left the list. The
// keeper's mutex is held.
func (k *Keeper) askSlow(ctx context.Context, view *fleet.View, now time.Time) {
	for id, at := range k.slow {
		w, listed := view.Worker(id)
		if !listed {
			delete(k.slow, id)
			continue
		}
		if now.Before(at) {
			continue
		}
		k.slow[id] = now.Add(slowAskEvery)
		k.group.Go(func() { k.ask(ctx, w) })
	}
}

// mendSlow gives up groups that run slowly, where the workers of their domain that are
// not slow make a group without them. The keeper's mutex is held.
func (k *Keeper) mendSlow(ctx context.Context, e *fleet.Engine, groups []*observed, free []Free, now time.Time) {
	if len(k.slow) == 0 {
		return
	}
	open, fast := make(map[string]int), make(map[string]int)
	for _, f := range free {
		fast[f.Domain]++
	}
	var slow []*observed
	for _, o := range groups {
		if o.state != fleet.Open || !o.whole() || k.retired[o.key] != 0 || k.operating[o.key] {
			continue
		}
		open[o.model.Name]++
		if members := k.fastMembers(o); members < len(o.members) {
			slow = append(slow, o)
			fast[o.head.Domain] += members
		}
	}
	for _, o := range slow {
		if fast[o.head.Domain] >= smallest(e) && !k.anyBusy(o.members) && k.slowTurn(o.model.Name, open[o.model.Name], now) {
			k.opts.Logger.Info("replica given up for slow members", "replica", o.key, "slow", len(o.members)-k.fastMembers(o))
			k.begin(ctx, o.key, o.members, func(ctx context.Context) { k.drain(ctx, o, slowDrain) })
		}
	}
}

// slowTurn reports whether another group of a model may be given up now for slow members,
// and notes that it is. So many are open still. The keeper's mutex is held.
func (k *Keeper) slowTurn(model string, open int, now time.Time) bool {
	under := slices.DeleteFunc(k.slowTurns[model], func(until time.Time) bool { return now.After(until) })
	k.slowTurns[model] = under
	if len(under) >= max(int(slowAtOnce*float64(open+len(under))), 1) {
		return false
	}
	k.slowTurns[model] = append(under, now.Add(slowDrain+slowForm))
	return true
}

// fastMembers counts the members of a group that are not slow. The keeper's mutex is held.
func (k *Keeper) fastMembers(o *observed) int {
	count := 0
	for _, w := range o.members {
		if !k.isSlow(w.ID) {
			count++
		}
	}
	return count
}

// smallest returns the size of the smallest group of any model.
func smallest(e *fleet.Engine) int {
	size := 0
	for _, m := range e.Models {
		if size == 0 || m.Size < size {
			size = m.Size
		}
	}
	return max(size, 1)
}

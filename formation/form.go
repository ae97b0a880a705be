package formation

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

// startForming begins the forming of a group. The keeper's mutex is held.
func (k *Keeper) startForming(ctx context.Context, s *fleet.Service, f Formation) {
	epoch := int64(k.nextFenceLocked())
	head := k.knownWorkers[f.Members[0]]
	g := Group{Name: fleet.GroupName(f.Model.Name, epoch, head), Epoch: epoch, Model: f.Model.Name, Members: f.Members}
	var members []*fleet.Worker
	for _, id := range f.Members {
		members = append(members, k.knownWorkers[id])
	}
	k.formedGroups[g.Key()] = g
	k.headIDs[g.Key()] = g.Members[0]
	for _, w := range members {
		k.recordLoad(w, f.Model)
	}
	k.opts.Logger.Info("forming replica", "replica", g.Key(), "model", g.Model, "members", g.Members, "loads", f.Loads)
	k.startOperation(ctx, g.Key(), members, func(ctx context.Context) { k.form(ctx, s, f, g, members) })
}

// form joins the members, waits until each was seen ready under this name,
// epoch and list, and only then opens the head.
func (k *Keeper) form(termCtx context.Context, s *fleet.Service, f Formation, g Group, members []*fleet.Worker) {
	start := time.Now()
	expected := joinGracePeriod + f.Model.Warm
	if f.Loads > 0 {
		expected += loadTimeFactor * f.Model.Load
	}
	defer k.clearLoads(f.Members)
	ctx, cancel := context.WithDeadline(termCtx, start.Add(expected))
	defer cancel()
	if !k.join(ctx, g, members) || !k.awaitReady(ctx, g, members) {
		// Nobody was told to open it, so that it is not announced as closed: its head may serve
		// in another group, against which daemons would hold that.
		k.abandon(termCtx, g, "a member did not become ready", func(o *observedGroup) { k.releaseMembers(termCtx, o, members[0]) })
		return
	}
	k.clearUnreliable(members)
	if !k.open(ctx, s.Name, g, members[0]) {
		k.abandon(termCtx, g, "the head was not opened", func(o *observedGroup) { k.dissolve(termCtx, o, members[0]) })
		return
	}
	k.opts.Logger.Info("replica opened", "replica", g.Key(), "model", g.Model,
		"head", g.Members[0], "ms", time.Since(start).Milliseconds())
}

// abandon ends a group that could not be formed: end makes certain that it is never opened by a
// late order, and frees its members. When the term has ended, the group is left to the next
// leader.
func (k *Keeper) abandon(termCtx context.Context, g Group, reason string, dissolve func(o *observedGroup)) {
	if termCtx.Err() != nil {
		return
	}
	k.opts.Logger.Warn("forming given up", "replica", g.Key(), "model", g.Model, "reason", reason)
	k.mu.Lock()
	k.recordInterruptedJoins(g, time.Now())
	k.mu.Unlock()
	dissolve(&observedGroup{key: g.Key(), group: g})
}

// join orders each member into the group, side by side, and reports whether all
// took it.
func (k *Keeper) join(ctx context.Context, g Group, members []*fleet.Worker) bool {
	p := pool.NewWithResults[bool]()
	for _, w := range members {
		p.Go(func() bool {
			joined := k.joinMember(ctx, g, w)
			if !joined {
				k.markUnreliable(ctx, g, w)
			}
			return joined
		})
	}
	return !slices.Contains(p.Wait(), false)
}

// awaitReady waits until every member was seen ready in the group. If it gives up, it
// doubts those that are gone, or else all that were not seen ready in time.
func (k *Keeper) awaitReady(ctx context.Context, g Group, members []*fleet.Worker) bool {
	seen := make(map[string]bool)
	nextAsk := time.Now().Add(queryInterval)
	for ctx.Err() == nil {
		view := k.opts.Inventory.View()
		for _, w := range members {
			if listed, ok := view.Worker(w.ID); ok && isReadyIn(listed.Member, g) {
				seen[w.ID] = true
			}
		}
		if len(seen) == len(members) {
			return true
		}
		if now := time.Now(); now.After(nextAsk) {
			nextAsk = now.Add(queryInterval)
			k.queryReady(ctx, g, k.unlistedMembers(members, view, now), seen)
		}
		if lost := k.goneMembers(members); len(lost) > 0 {
			k.markUnreliable(ctx, g, lost...)
			return false
		}
		pause.For(ctx, tickInterval/4)
	}
	k.markUnreliable(ctx, g, slices.DeleteFunc(slices.Clone(members), func(w *fleet.Worker) bool { return seen[w.ID] })...)
	return false
}

func isReadyIn(m fleet.Membership, g Group) bool {
	return m.Group == g.Name && m.Epoch == g.Epoch && m.State == fleet.Ready
}

// unlistedMembers returns the members of which the list does not tell now: all while it is old,
// else those that left it.
func (k *Keeper) unlistedMembers(members []*fleet.Worker, view *fleet.View, now time.Time) []*fleet.Worker {
	if now.Sub(k.opts.Inventory.Confirmed()) > listStaleAge {
		return members
	}
	var left []*fleet.Worker
	for _, w := range members {
		if _, listed := view.Worker(w.ID); !listed {
			left = append(left, w)
		}
	}
	return left
}

// queryReady asks the members that were not seen ready.
func (k *Keeper) queryReady(ctx context.Context, g Group, members []*fleet.Worker, seen map[string]bool) {
	for _, w := range members {
		if seen[w.ID] {
			continue
		}
		if state, ok := k.queryState(ctx, w); ok && isReadyIn(state.Member, g) {
			seen[w.ID] = true
		}
	}
}

// goneMembers returns the members that are gone or leaving. One that left the list but answers
// is neither: who has just left it is noted first, which the next look would do too late.
func (k *Keeper) goneMembers(members []*fleet.Worker) []*fleet.Worker {
	k.mu.Lock()
	defer k.mu.Unlock()
	view := k.opts.Inventory.View()
	k.refreshAbsent(view, time.Now())
	var all []*fleet.Worker
	for _, w := range members {
		listed, ok := view.Worker(w.ID)
		switch {
		case !ok && !k.isAbsent(w.ID), ok && listed.Draining, k.isUnresponsiveLocked(w.ID):
			all = append(all, w)
		}
	}
	return all
}

// open opens a group whose members are all ready, and announces it.
func (k *Keeper) open(ctx context.Context, service string, g Group, head *fleet.Worker) bool {
	verdict, ok := k.sendOrder(ctx, "open", head, func(ctx context.Context, fence Fence) (Verdict, error) {
		return k.opts.Orders.Open(ctx, head, fence, g)
	})
	if !ok || !verdict.Accepted() {
		return false
	}
	k.recordBegun(head.ID, verdict)
	opening := k.openingTime(service)
	k.recordOpened(head.ID, g, time.Now().Add(opening+listSettleTime))
	pause.For(ctx, opening)
	k.opts.Announced(fleet.Announcement{
		Group: g.Name, Epoch: g.Epoch, Service: service, Model: g.Model, Head: head.ID, Open: true,
	})
	return true
}

// recordOpened notes that a head took the order to open. The list, and the head's
// reports, show it ready for some time yet.
func (k *Keeper) recordOpened(head string, g Group, listedBy time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observations[head] = observation{at: listedBy, state: State{
		Member: fleet.Membership{Group: g.Name, Epoch: g.Epoch, State: fleet.Open}, Loaded: g.Model, Staged: []string{g.Model},
	}}
}

// openingTime returns how long the opening of a group takes.
func (k *Keeper) openingTime(service string) time.Duration {
	if c := k.opts.Config(); c != nil {
		if s, ok := c.Service(service); ok && s.Engine != nil {
			return s.Engine.Form
		}
	}
	return 0
}

// openInherited opens a group that an earlier leader formed.
func (k *Keeper) openInherited(ctx context.Context, o *observedGroup) {
	g := o.group
	if len(g.Members) == 0 {
		g.Members = []string{o.head.ID}
	}
	head := o.head
	if !k.open(ctx, head.Service, g, head) {
		k.abandon(ctx, g, "a group of an earlier leader was not opened", func(o *observedGroup) { k.dissolve(ctx, o, head) })
	}
}

package formation

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

// startForming starts forming a group. The caller must hold rc.mu.
func (rc *Reconciler) startForming(ctx context.Context, s *fleet.Service, f Formation) {
	epoch := int64(rc.nextFenceLocked())
	head := rc.knownWorkers[f.Members[0]]
	g := Group{Name: fleet.GroupName(f.Model.Name, epoch, head), Epoch: epoch, Model: f.Model.Name, Members: f.Members}
	var members []*fleet.Worker
	for _, id := range f.Members {
		members = append(members, rc.knownWorkers[id])
	}
	rc.formedGroups[g.Key()] = g
	rc.headIDs[g.Key()] = g.Members[0]
	for _, w := range members {
		rc.recordLoad(w, f.Model)
	}
	rc.opts.Logger.Info("forming replica", "replica", g.Key(), "model", g.Model, "members", g.Members, "loads", f.LoadCount)
	rc.startOperation(ctx, g.Key(), members, func(ctx context.Context) { rc.form(ctx, s, f, g, members) })
}

// form orders the members to join, and waits until each of them is ready in the group. It then
// opens the group. If any of this fails, it abandons the group.
func (rc *Reconciler) form(termCtx context.Context, s *fleet.Service, f Formation, g Group, members []*fleet.Worker) {
	start := time.Now()
	timeout := joinGracePeriod + f.Model.WarmLoad
	if f.LoadCount > 0 {
		timeout += loadTimeFactor * f.Model.Load
	}
	defer rc.clearLoads(f.Members)
	ctx, cancel := context.WithDeadline(termCtx, start.Add(timeout))
	defer cancel()
	if !rc.join(ctx, g, members) || !rc.awaitReady(ctx, g, members) {
		// The group was never opened, so it must not be announced as closed. Its head may already
		// serve in another group, and daemons would apply the announcement to that one.
		rc.abandon(termCtx, g, "a member did not become ready", func(o *observedGroup) { rc.releaseMembers(termCtx, o, members[0]) })
		return
	}
	rc.clearUnreliable(members)
	if !rc.open(ctx, s.Name, g, members[0]) {
		rc.abandon(termCtx, g, "the head was not opened", func(o *observedGroup) { rc.dissolve(termCtx, o, members[0]) })
		return
	}
	rc.opts.Logger.Info("replica opened", "replica", g.Key(), "model", g.Model,
		"head", g.Members[0], "ms", time.Since(start).Milliseconds())
}

// abandon logs that a group could not be formed, and calls the dissolve function. That function
// must free the members and ensure that a late order cannot open the group. If the term has ended,
// abandon does nothing, and the next leader handles the group.
func (rc *Reconciler) abandon(termCtx context.Context, g Group, reason string, dissolve func(o *observedGroup)) {
	if termCtx.Err() != nil {
		return
	}
	rc.opts.Logger.Warn("forming given up", "replica", g.Key(), "model", g.Model, "reason", reason)
	rc.mu.Lock()
	rc.recordInterruptedJoins(g, time.Now())
	rc.mu.Unlock()
	dissolve(&observedGroup{key: g.Key(), group: g})
}

// join orders all members concurrently to join the group, and reports whether all of them accepted.
func (rc *Reconciler) join(ctx context.Context, g Group, members []*fleet.Worker) bool {
	p := pool.NewWithResults[bool]()
	for _, w := range members {
		p.Go(func() bool {
			joined := rc.joinMember(ctx, g, w)
			if !joined {
				rc.markUnreliable(ctx, g, w)
			}
			return joined
		})
	}
	return !slices.Contains(p.Wait(), false)
}

// awaitReady waits until every member is ready in the group. It fails if a member is gone or ctx is
// done. It then marks the members that caused the failure as unreliable.
func (rc *Reconciler) awaitReady(ctx context.Context, g Group, members []*fleet.Worker) bool {
	readyMembers := make(map[string]bool)
	nextQuery := time.Now().Add(queryInterval)
	for ctx.Err() == nil {
		view := rc.opts.Inventory.View()
		for _, w := range members {
			if listed, ok := view.Worker(w.ID); ok && isReadyIn(listed.Member, g) {
				readyMembers[w.ID] = true
			}
		}
		if len(readyMembers) == len(members) {
			return true
		}
		if now := time.Now(); now.After(nextQuery) {
			nextQuery = now.Add(queryInterval)
			rc.queryReady(ctx, g, rc.membersToQuery(members, view, now), readyMembers)
		}
		if lost := rc.goneMembers(members); len(lost) > 0 {
			rc.markUnreliable(ctx, g, lost...)
			return false
		}
		pause.Sleep(ctx, tickInterval/4)
	}
	rc.markUnreliable(ctx, g, slices.DeleteFunc(slices.Clone(members), func(w *fleet.Worker) bool { return readyMembers[w.ID] })...)
	return false
}

func isReadyIn(m fleet.Membership, g Group) bool {
	return m.Group == g.Name && m.Epoch == g.Epoch && m.State == fleet.Ready
}

// membersToQuery returns the members whose current state the worker list does not show. If the list
// is stale, these are all members. Otherwise, these are the unlisted ones.
func (rc *Reconciler) membersToQuery(members []*fleet.Worker, view *fleet.View, now time.Time) []*fleet.Worker {
	if now.Sub(rc.opts.Inventory.Confirmed()) > listStaleAge {
		return members
	}
	var unlisted []*fleet.Worker
	for _, w := range members {
		if _, listed := view.Worker(w.ID); !listed {
			unlisted = append(unlisted, w)
		}
	}
	return unlisted
}

// queryReady queries the members that are not in readyMembers, and adds those that are ready in the
// group to it.
func (rc *Reconciler) queryReady(ctx context.Context, g Group, members []*fleet.Worker, readyMembers map[string]bool) {
	for _, w := range members {
		if readyMembers[w.ID] {
			continue
		}
		if state, ok := rc.queryState(ctx, w); ok && isReadyIn(state.Membership, g) {
			readyMembers[w.ID] = true
		}
	}
}

// goneMembers returns the members that are gone, unresponsive or draining. It updates the absences
// first, since a member that left the worker list after the last tick may still answer.
func (rc *Reconciler) goneMembers(members []*fleet.Worker) []*fleet.Worker {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	view := rc.opts.Inventory.View()
	rc.refreshAbsent(view, time.Now())
	var gone []*fleet.Worker
	for _, w := range members {
		listed, ok := view.Worker(w.ID)
		switch {
		case !ok && !rc.isAbsent(w.ID), ok && listed.Draining, rc.isUnresponsiveLocked(w.ID):
			gone = append(gone, w)
		}
	}
	return gone
}

// open orders the head to open a group whose members are all ready, and announces the group as
// open. It reports whether the head accepted the order.
func (rc *Reconciler) open(ctx context.Context, service string, g Group, head *fleet.Worker) bool {
	verdict, ok := rc.sendOrder(ctx, "open", head, func(ctx context.Context, fence Fence) (Verdict, error) {
		return rc.opts.Orders.Open(ctx, head, fence, g)
	})
	if !ok || !verdict.IsAccepted() {
		return false
	}
	rc.recordBegun(head.ID, verdict)
	openingTime := rc.openingDuration(service)
	rc.recordOpened(head.ID, g, time.Now().Add(openingTime+listSettleTime))
	pause.Sleep(ctx, openingTime)
	rc.opts.OnAnnouncement(fleet.Announcement{
		Group: g.Name, Epoch: g.Epoch, Service: service, Model: g.Model, Head: head.ID, Open: true,
	})
	return true
}

// recordOpened records that a head accepted the order to open its group. For a while, the worker
// list and the head's reports still show the group as ready. The record takes precedence until the
// list has been confirmed after confirmedAfter.
func (rc *Reconciler) recordOpened(head string, g Group, confirmedAfter time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.observations[head] = observation{at: confirmedAfter, state: WorkerState{
		Membership: fleet.Membership{Group: g.Name, Epoch: g.Epoch, State: fleet.Open}, LoadedModel: g.Model, StagedModels: []string{g.Model},
	}}
}

// openingDuration returns how long opening a group takes.
func (rc *Reconciler) openingDuration(service string) time.Duration {
	if c := rc.opts.Config(); c != nil {
		if s, ok := c.Service(service); ok && s.Engine != nil {
			return s.Engine.OpenDuration
		}
	}
	return 0
}

// openInherited opens a group that an earlier leader formed but did not open.
func (rc *Reconciler) openInherited(ctx context.Context, o *observedGroup) {
	g := o.group
	if len(g.Members) == 0 {
		g.Members = []string{o.head.ID}
	}
	head := o.head
	if !rc.open(ctx, head.Service, g, head) {
		rc.abandon(ctx, g, "a group of an earlier leader was not opened", func(o *observedGroup) { rc.dissolve(ctx, o, head) })
	}
}

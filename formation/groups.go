package formation

import (
	"cmp"
	"context"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

// observedGroup is a group as reported by its members.
type observedGroup struct {
	key   string
	group Group
	model fleet.Model
	// isModelKnown reports whether the model is in the service's configuration.
	isModelKnown bool
	head         *fleet.Worker
	state        fleet.GroupState
	members      []*fleet.Worker
	// readyCount is the number of members that are no longer joining, including the head.
	readyCount int
	isDraining bool
	// hasLostMember reports whether some member is unresponsive. silentMembers holds those that
	// are unresponsive only because of their silence.
	hasLostMember bool
	silentMembers []*fleet.Worker
	// absentCount is the number of members that left the worker list but are still treated as
	// members.
	absentCount int
}

// isComplete reports whether every member is present.
func (o *observedGroup) isComplete() bool {
	return o.isModelKnown && o.head != nil && len(o.members) == o.model.Size
}

// settleTime returns how long an incomplete group is left unchanged after it was first seen. It is
// longer shortly after the process started, because the worker list itself may be incomplete then.
func (rc *Reconciler) settleTime(now time.Time) time.Duration {
	if now.Sub(rc.opts.FirstListAt()) < youngListAge {
		return youngListSettleTime
	}
	return listSettleTime
}

// isForming reports whether the group is being formed and some members are not ready yet.
func (o *observedGroup) isForming() bool {
	return o.readyCount < len(o.members) && (o.state == fleet.Joining || o.state == fleet.Ready)
}

// firstSeen returns the time when a group was first seen, and records it for a new group.
func (rc *Reconciler) firstSeen(o *observedGroup, now time.Time) time.Time {
	since, ok := rc.groupSeenSince[o.key]
	if !ok {
		since = now
		rc.groupSeenSince[o.key] = now
	}
	return since
}

// observeGroups returns the groups of a service as reported by its workers, sorted by key.
func (rc *Reconciler) observeGroups(s *fleet.Service, view *fleet.View) []*observedGroup {
	byKey := make(map[string]*observedGroup)
	for w := range rc.presentWorkers(view) {
		m := rc.membershipOf(w)
		if w.Service != s.Name || m.Group == "" {
			continue
		}
		key := fleet.GroupKey(m)
		o, ok := byKey[key]
		if !ok {
			o = &observedGroup{key: key, group: Group{Name: m.Group, Epoch: m.Epoch}}
			byKey[key] = o
		}
		rc.addMember(o, w, m)
	}
	all := make([]*observedGroup, 0, len(byKey))
	for _, o := range byKey {
		rc.resolveModel(s.Engine, o)
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b *observedGroup) int { return cmp.Compare(a.key, b.key) })
	return all
}

func (rc *Reconciler) addMember(o *observedGroup, w *fleet.Worker, m fleet.Membership) {
	if rc.isUnresponsiveLocked(w.ID) {
		o.hasLostMember = true
		if rc.isLostToSilence(w.ID) {
			o.silentMembers = append(o.silentMembers, w)
		}
	} else {
		o.members = append(o.members, w)
	}
	if rc.isAbsent(w.ID) {
		o.absentCount++
	}
	o.isDraining = o.isDraining || w.Draining
	if m.State != fleet.Joining {
		o.readyCount++
	}
	if m.Rank == 0 {
		o.head, o.state = w, m.State
		rc.headIDs[o.key] = w.ID
	}
}

// resolveModel sets the group's model. If the group was formed in this term, it also sets the
// members.
func (rc *Reconciler) resolveModel(e *fleet.Engine, o *observedGroup) {
	if formed, ok := rc.formedGroups[o.key]; ok {
		o.group = formed
	}
	name := o.group.Model
	if name == "" {
		name = fleet.ModelOf(o.group.Name)
	}
	o.model, o.isModelKnown = e.Model(name)
	o.group.Model = name
}

// repair starts the operation that a group needs, if any. The caller must hold rc.mu.
func (rc *Reconciler) repair(ctx context.Context, o *observedGroup, now time.Time) {
	age := now.Sub(rc.firstSeen(o, now))
	rc.detectReturn(o, now)
	if o.head != nil && o.state != fleet.Broken && !rc.isUnresponsiveLocked(o.head.ID) && rc.retirements[o.key] == retiredAssumed {
		// The head answers again.
		delete(rc.retirements, o.key)
	}
	if rc.busyGroups[o.key] || rc.retirements[o.key] != 0 || rc.hasBusyWorker(o.members) {
		return
	}
	switch {
	case o.head == nil:
		rc.repairHeadless(ctx, o, now)
	case rc.opts.Inventory.IsGroupClosed(o.group.Name):
		// Daemons never send requests to a closed group again, whatever its head reports. Earlier
		// requests may still be in flight.
		rc.startOperation(ctx, o.key, o.members, func(ctx context.Context) { rc.drainOrDissolve(ctx, o) })
	case rc.isAbsent(o.head.ID):
		rc.repairAbsentHead(ctx, o)
	case o.state == fleet.Open && o.isComplete() && !o.isDraining:
		// The group is healthy, even if a member left the worker list, because a group works
		// without the list. Dissolving such groups would take many replicas out of service whenever
		// workers lose their connection to the store.
	case o.state == fleet.Open && o.isComplete():
		rc.dissolveLeaving(ctx, o, now)
	case age < rc.settleTime(now) && !o.hasLostMember:
		// The worker list may show the members one after another, so the group is left unchanged
		// for now.
	case o.isComplete() && !o.isDraining && o.isForming() && age < joinGracePeriod+loadTimeFactor*o.model.Load:
		// An earlier leader started to form the group, and its members are still loading.
	case o.isComplete() && !o.isDraining && o.readyCount == o.model.Size && o.state == fleet.Ready:
		// An earlier leader formed the group but did not open it.
		rc.startOperation(ctx, o.key, o.members, func(ctx context.Context) { rc.openInherited(ctx, o) })
	default:
		rc.startOperation(ctx, o.key, o.members, func(ctx context.Context) { rc.dissolveBroken(ctx, o) })
	}
}

// repairHeadless frees the members of a group whose head is not listed. It contacts the head first,
// because a head that lost its connection to the store may still serve. The head is unknown only if
// an operator created the group by hand. The members of such a group are freed after StallTimeout,
// because the group has broken by then.
func (rc *Reconciler) repairHeadless(ctx context.Context, o *observedGroup, now time.Time) {
	since, ok := rc.headlessSince[o.key]
	if !ok {
		rc.headlessSince[o.key] = now
		since = now
	}
	head, isKnown := rc.knownWorkers[rc.headIDs[o.key]]
	if !isKnown && now.Sub(since) < rc.settleTime(now) {
		// The worker list may still show the head.
		return
	}
	if !isKnown {
		head = headFromName(o)
	}
	if head != nil {
		rc.startOperation(ctx, o.key, nil, func(ctx context.Context) { rc.dissolve(ctx, o, head) })
		return
	}
	if now.Sub(since) > rc.opts.StallTimeout {
		rc.retirements[o.key] = retiredAssumed
	}
}

// headFromName returns the head that is encoded in the group's name, or nil.
func headFromName(o *observedGroup) *fleet.Worker {
	id, address, ok := fleet.HeadOf(o.group.Name)
	if !ok || len(o.members) == 0 {
		return nil
	}
	return &fleet.Worker{ID: id, Address: address, Service: o.members[0].Service, Domain: o.members[0].Domain}
}

func (rc *Reconciler) hasBusyWorker(members []*fleet.Worker) bool {
	return slices.ContainsFunc(members, func(w *fleet.Worker) bool {
		return rc.busyWorkers[w.ID]
	})
}

// startOperation runs an operation in the background. It marks the group and the members as busy
// until the operation ends. The caller must hold rc.mu.
func (rc *Reconciler) startOperation(ctx context.Context, key string, members []*fleet.Worker, operation func(context.Context)) {
	rc.busyGroups[key] = true
	for _, w := range members {
		rc.busyWorkers[w.ID] = true
	}
	rc.tasks.Go(func() {
		operation(ctx)
		rc.mu.Lock()
		defer rc.mu.Unlock()
		delete(rc.busyGroups, key)
		for _, w := range members {
			delete(rc.busyWorkers, w.ID)
		}
	})
}

// freeWorkers returns the workers of a service that can be put into a new group.
func (rc *Reconciler) freeWorkers(s *fleet.Service, groups []*observedGroup, view *fleet.View) []FreeWorker {
	isInGroup := make(map[string]bool)
	for _, o := range groups {
		if rc.retirements[o.key] != 0 {
			continue
		}
		for _, w := range o.members {
			isInGroup[w.ID] = true
		}
	}
	var all []FreeWorker
	for id, w := range view.Workers() {
		if w.Service != s.Name || w.Draining || rc.busyWorkers[id] || rc.isUnresponsiveLocked(id) || rc.silences[id] != nil || rc.isExcluded(id) || isInGroup[id] || !rc.halls.isUsable(w.Zone) {
			continue
		}
		if _, isLoading := rc.activeLoads[id]; isLoading {
			continue
		}
		all = append(all, rc.asFreeWorker(w))
	}
	slices.SortFunc(all, func(a, b FreeWorker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// asFreeWorker returns a worker in the form that the planner uses. An interrupted join and the
// worker's own reports take precedence over the worker list until a later list has been received.
func (rc *Reconciler) asFreeWorker(w *fleet.Worker) FreeWorker {
	if i, ok := rc.interruptedJoins[w.ID]; ok {
		if !rc.opts.Inventory.Confirmed().After(i.abandonedAt.Add(listSettleTime)) {
			return FreeWorker{ID: w.ID, Domain: w.Domain, StagedModels: i.staged, Hall: w.Zone, IsUnreliable: rc.isUnreliable(w.ID)}
		}
		delete(rc.interruptedJoins, w.ID)
	}
	return FreeWorker{ID: w.ID, Domain: w.Domain, LoadedModel: rc.loadedModel(w), StagedModels: w.Staged, Hall: w.Zone, IsUnreliable: rc.isUnreliable(w.ID)}
}

// loadedModel returns the model that a worker served last, according to its own report or the
// worker list.
func (rc *Reconciler) loadedModel(w *fleet.Worker) string {
	if rc.isPastIncarnation(w) {
		return rc.observations[w.ID].state.LoadedModel
	}
	if o, ok := rc.observations[w.ID]; ok && o.state.LoadedModel != "" && o.at.After(rc.opts.Inventory.Confirmed()) {
		return o.state.LoadedModel
	}
	return w.Loaded
}

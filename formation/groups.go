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
	// hasLostMember reports whether some member is unresponsive.
	hasLostMember bool
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
func (k *Reconciler) settleTime(now time.Time) time.Duration {
	if now.Sub(k.opts.FirstListAt()) < youngListAge {
		return youngListSettleTime
	}
	return listSettleTime
}

// isForming reports whether the group is being formed and some members are not ready yet.
func (o *observedGroup) isForming() bool {
	return o.readyCount < len(o.members) && (o.state == fleet.Joining || o.state == fleet.Ready)
}

// firstSeen returns the time when a group was first seen, and records it for a new group.
func (k *Reconciler) firstSeen(o *observedGroup, now time.Time) time.Time {
	since, ok := k.groupSeenSince[o.key]
	if !ok {
		since = now
		k.groupSeenSince[o.key] = now
	}
	return since
}

// observeGroups returns the groups of a service as reported by its workers, sorted by key.
func (k *Reconciler) observeGroups(s *fleet.Service, view *fleet.View) []*observedGroup {
	byKey := make(map[string]*observedGroup)
	for w := range k.presentWorkers(view) {
		m := k.membershipOf(w)
		if w.Service != s.Name || m.Group == "" {
			continue
		}
		key := fleet.GroupKey(m)
		o, ok := byKey[key]
		if !ok {
			o = &observedGroup{key: key, group: Group{Name: m.Group, Epoch: m.Epoch}}
			byKey[key] = o
		}
		k.addMember(o, w, m)
	}
	all := make([]*observedGroup, 0, len(byKey))
	for _, o := range byKey {
		k.resolveModel(s.Engine, o)
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b *observedGroup) int { return cmp.Compare(a.key, b.key) })
	return all
}

func (k *Reconciler) addMember(o *observedGroup, w *fleet.Worker, m fleet.Membership) {
	if k.isUnresponsiveLocked(w.ID) {
		o.hasLostMember = true
	} else {
		o.members = append(o.members, w)
	}
	if k.isAbsent(w.ID) {
		o.absentCount++
	}
	o.isDraining = o.isDraining || w.Draining
	if m.State != fleet.Joining {
		o.readyCount++
	}
	if m.Rank == 0 {
		o.head, o.state = w, m.State
		k.headIDs[o.key] = w.ID
	}
}

// resolveModel sets the group's model. If the group was formed in this term, it also sets the
// members.
func (k *Reconciler) resolveModel(e *fleet.Engine, o *observedGroup) {
	if formed, ok := k.formedGroups[o.key]; ok {
		o.group = formed
	}
	name := o.group.Model
	if name == "" {
		name = fleet.ModelOf(o.group.Name)
	}
	o.model, o.isModelKnown = e.Model(name)
	o.group.Model = name
}

// repair starts the operation that a group needs, if any. The caller must hold k.mu.
func (k *Reconciler) repair(ctx context.Context, o *observedGroup, now time.Time) {
	age := now.Sub(k.firstSeen(o, now))
	k.detectReturn(o, now)
	if o.head != nil && o.state != fleet.Broken && !k.isUnresponsiveLocked(o.head.ID) && k.retirements[o.key] == retiredAssumed {
		// The head answers again.
		delete(k.retirements, o.key)
	}
	if k.busyGroups[o.key] || k.retirements[o.key] != 0 || k.hasBusyWorker(o.members) {
		return
	}
	switch {
	case o.head == nil:
		k.repairHeadless(ctx, o, now)
	case k.opts.Inventory.IsGroupClosed(o.group.Name):
		// Daemons never send requests to a closed group again, whatever its head reports. Earlier
		// requests may still be in flight.
		k.startOperation(ctx, o.key, o.members, func(ctx context.Context) { k.drainOrDissolve(ctx, o) })
	case k.isAbsent(o.head.ID):
		k.repairAbsentHead(ctx, o)
	case o.state == fleet.Open && o.isComplete() && !o.isDraining:
		// The group is healthy, even if a member left the worker list, because a group works
		// without the list. Dissolving such groups would take many replicas out of service whenever
		// workers lose their connection to the store.
	case o.state == fleet.Open && o.isComplete():
		k.dissolveLeaving(ctx, o, now)
	case age < k.settleTime(now) && !o.hasLostMember:
		// The worker list may show the members one after another, so the group is left unchanged
		// for now.
	case o.isComplete() && !o.isDraining && o.isForming() && age < joinGracePeriod+loadTimeFactor*o.model.Load:
		// An earlier leader started to form the group, and its members are still loading.
	case o.isComplete() && !o.isDraining && o.readyCount == o.model.Size && o.state == fleet.Ready:
		// An earlier leader formed the group but did not open it.
		k.startOperation(ctx, o.key, o.members, func(ctx context.Context) { k.openInherited(ctx, o) })
	default:
		k.startOperation(ctx, o.key, o.members, func(ctx context.Context) { k.dissolve(ctx, o, o.head) })
	}
}

// repairHeadless frees the members of a group whose head is not listed. It contacts the head first,
// because a head that lost its connection to the store may still serve. The head is unknown only if
// an operator created the group by hand. The members of such a group are freed after StallTimeout,
// because the group has broken by then.
func (k *Reconciler) repairHeadless(ctx context.Context, o *observedGroup, now time.Time) {
	since, ok := k.headlessSince[o.key]
	if !ok {
		k.headlessSince[o.key] = now
		since = now
	}
	head, isKnown := k.knownWorkers[k.headIDs[o.key]]
	if !isKnown && now.Sub(since) < k.settleTime(now) {
		// The worker list may still show the head.
		return
	}
	if !isKnown {
		head = headFromName(o)
	}
	if head != nil {
		k.startOperation(ctx, o.key, nil, func(ctx context.Context) { k.dissolve(ctx, o, head) })
		return
	}
	if now.Sub(since) > k.opts.StallTimeout {
		k.retirements[o.key] = retiredAssumed
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

func (k *Reconciler) hasBusyWorker(members []*fleet.Worker) bool {
	return slices.ContainsFunc(members, func(w *fleet.Worker) bool {
		return k.busyWorkers[w.ID]
	})
}

// startOperation runs an operation in the background. It marks the group and the members as busy
// until the operation ends. The caller must hold k.mu.
func (k *Reconciler) startOperation(ctx context.Context, key string, members []*fleet.Worker, operation func(context.Context)) {
	k.busyGroups[key] = true
	for _, w := range members {
		k.busyWorkers[w.ID] = true
	}
	k.tasks.Go(func() {
		operation(ctx)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.busyGroups, key)
		for _, w := range members {
			delete(k.busyWorkers, w.ID)
		}
	})
}

// freeWorkers returns the workers of a service that can be put into a new group.
func (k *Reconciler) freeWorkers(s *fleet.Service, groups []*observedGroup, view *fleet.View) []FreeWorker {
	isInGroup := make(map[string]bool)
	for _, o := range groups {
		if k.retirements[o.key] != 0 {
			continue
		}
		for _, w := range o.members {
			isInGroup[w.ID] = true
		}
	}
	var all []FreeWorker
	for id, w := range view.Workers() {
		if w.Service != s.Name || w.Draining || k.busyWorkers[id] || k.isUnresponsiveLocked(id) || k.isExcluded(id) || isInGroup[id] || !k.halls.isUsable(w.Zone) {
			continue
		}
		if _, isLoading := k.activeLoads[id]; isLoading {
			continue
		}
		all = append(all, k.asFreeWorker(w))
	}
	slices.SortFunc(all, func(a, b FreeWorker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// asFreeWorker returns a worker in the form that the planner uses. An interrupted join and the
// worker's own reports take precedence over the worker list until a later list has been received.
func (k *Reconciler) asFreeWorker(w *fleet.Worker) FreeWorker {
	if i, ok := k.interruptedJoins[w.ID]; ok {
		if !k.opts.Inventory.Confirmed().After(i.abandonedAt.Add(listSettleTime)) {
			return FreeWorker{ID: w.ID, Domain: w.Domain, StagedModels: i.staged, Hall: w.Zone, IsUnreliable: k.isUnreliable(w.ID)}
		}
		delete(k.interruptedJoins, w.ID)
	}
	return FreeWorker{ID: w.ID, Domain: w.Domain, LoadedModel: k.loadedModel(w), StagedModels: w.Staged, Hall: w.Zone, IsUnreliable: k.isUnreliable(w.ID)}
}

// loadedModel returns the model that a worker served last, according to its own report or the
// worker list.
func (k *Reconciler) loadedModel(w *fleet.Worker) string {
	if k.isPastIncarnation(w) {
		return k.observations[w.ID].state.LoadedModel
	}
	if o, ok := k.observations[w.ID]; ok && o.state.LoadedModel != "" && o.at.After(k.opts.Inventory.Confirmed()) {
		return o.state.LoadedModel
	}
	return w.Loaded
}

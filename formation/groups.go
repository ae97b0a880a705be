package formation

import (
	"cmp"
	"context"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

// observed is a group as its members show it.
type observed struct {
	key   string
	group Group
	model fleet.Model
	// known tells that the model is one of the service's.
	known   bool
	head    *fleet.Worker
	state   fleet.GroupState
	members []*fleet.Worker
	// ready counts the members that were seen ready, the head included.
	ready    int
	draining bool
	// lost tells that a listed member does not answer.
	lost bool
	// absent counts the members that left the list but still answer.
	absent int
}

// whole reports whether every member is there.
func (o *observed) whole() bool { return o.known && o.head != nil && len(o.members) == o.model.Size }

// settle returns how long a group that lacks members is left alone after it was
// first seen. In a young process the list may yet be incomplete.
func (k *Keeper) settle(now time.Time) time.Duration {
	if now.Sub(k.opts.ListSince()) < youngFor {
		return settleYoung
	}
	return settleFor
}

// isForming reports whether members have yet to become ready.
func (o *observed) isForming() bool {
	return o.ready < len(o.members) && (o.state == fleet.Joining || o.state == fleet.Ready)
}

// seenSince returns since when a group has been known.
func (k *Keeper) seenSince(o *observed, now time.Time) time.Time {
	since, ok := k.seen[o.key]
	if !ok {
		since = now
		k.seen[o.key] = now
	}
	return since
}

// groups returns the groups of a service as its workers show them, sorted by key.
func (k *Keeper) groups(s *fleet.Service, view *fleet.View) []*observed {
	byKey := make(map[string]*observed)
	for w := range k.present(view) {
		m := k.member(w)
		if w.Service != s.Name || m.Group == "" {
			continue
		}
		key := fleet.GroupKey(m)
		o, ok := byKey[key]
		if !ok {
			o = &observed{key: key, group: Group{Name: m.Group, Epoch: m.Epoch}}
			byKey[key] = o
		}
		k.addMember(o, w, m)
	}
	all := make([]*observed, 0, len(byKey))
	for _, o := range byKey {
		k.complete(s.Engine, o)
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b *observed) int { return cmp.Compare(a.key, b.key) })
	return all
}

func (k *Keeper) addMember(o *observed, w *fleet.Worker, m fleet.Membership) {
	if k.silentNow(w.ID) {
		o.lost = true
	} else {
		o.members = append(o.members, w)
	}
	if k.isAbsent(w.ID) {
		o.absent++
	}
	o.draining = o.draining || w.Draining
	if m.State != fleet.Joining {
		o.ready++
	}
	if m.Rank == 0 {
		o.head, o.state = w, m.State
		k.heads[o.key] = w.ID
	}
}

// complete works out the group's model and members.
func (k *Keeper) complete(e *fleet.Engine, o *observed) {
	if formed, ok := k.formed[o.key]; ok {
		o.group = formed
	}
	name := o.group.Model
	if name == "" {
		name = fleet.ModelOf(o.group.Name)
	}
	o.model, o.known = e.Model(name)
	o.group.Model = name
}

// mend begins what has to be done about a group. The keeper's mutex is held.
func (k *Keeper) mend(ctx context.Context, o *observed, now time.Time) {
	age := now.Sub(k.seenSince(o, now))
	k.noteReturn(o, now)
	if o.head != nil && o.state != fleet.Broken && !k.silentNow(o.head.ID) && k.retired[o.key] == assumed {
		// The head is back after all.
		delete(k.retired, o.key)
	}
	if k.operating[o.key] || k.retired[o.key] != 0 || k.anyBusy(o.members) {
		return
	}
	switch {
	case o.head == nil:
		k.mendHeadless(ctx, o, now)
	case k.opts.Inventory.Closed(o.group.Name):
		// Daemons were told so, by this leader or an earlier one, and never use it
		// again, whatever its head shows. Requests may still be under way there.
		k.begin(ctx, o.key, o.members, func(ctx context.Context) { k.end(ctx, o) })
	case k.isAbsent(o.head.ID):
		k.mendAbsentHead(ctx, o)
	case o.state == fleet.Open && o.whole() && !o.draining:
		// All is well, also if a member left the list: what it does for the group does
		// not pass through the list. Dissolving all such groups when a tenth of the
		// workers lost the store took half of the replicas out for two seconds.
	case o.state == fleet.Open && o.whole():
		k.mendLeaving(ctx, o, now)
	case age < k.settle(now) && !o.lost:
		// The list may show its members one after the other.
	case o.whole() && !o.draining && o.isForming() && age < joinSlack+slowLoads*o.model.Load:
		// An earlier leader began it; its members still load.
	case o.whole() && !o.draining && o.ready == o.model.Size && o.state == fleet.Ready:
		// An earlier leader formed it and did not come to open it.
		k.begin(ctx, o.key, o.members, func(ctx context.Context) { k.reopen(ctx, o) })
	default:
		k.begin(ctx, o.key, o.members, func(ctx context.Context) { k.dissolve(ctx, o, o.head) })
	}
}

// mendHeadless frees the members of a group whose head is not listed: at once
// when the head confirms, else when it must be gone. A head that is cut off
// from the list may still serve, so it is asked first. Only a group that an
// operator made by hand may not tell where its head is; it is left to break.
func (k *Keeper) mendHeadless(ctx context.Context, o *observed, now time.Time) {
	since, ok := k.headless[o.key]
	if !ok {
		k.headless[o.key] = now
		since = now
	}
	head, seen := k.former[k.heads[o.key]]
	if !seen && now.Sub(since) < k.settle(now) {
		// The list may yet show it.
		return
	}
	if !seen {
		head = headByName(o)
	}
	if head != nil {
		k.begin(ctx, o.key, nil, func(ctx context.Context) { k.dissolve(ctx, o, head) })
		return
	}
	if now.Sub(since) > k.opts.StallAfter {
		k.retired[o.key] = assumed
	}
}

// headByName returns the head that a group's name tells, or nil.
func headByName(o *observed) *fleet.Worker {
	id, address, ok := fleet.HeadOf(o.group.Name)
	if !ok || len(o.members) == 0 {
		return nil
	}
	return &fleet.Worker{ID: id, Address: address, Service: o.members[0].Service, Domain: o.members[0].Domain}
}

func (k *Keeper) anyBusy(members []*fleet.Worker) bool {
	return slices.ContainsFunc(members, func(w *fleet.Worker) bool {
		return k.busy[w.ID]
	})
}

// begin runs an operation about a group and its members. The keeper's mutex is
// held.
func (k *Keeper) begin(ctx context.Context, key string, members []*fleet.Worker, operation func(context.Context)) {
	k.operating[key] = true
	for _, w := range members {
		k.busy[w.ID] = true
	}
	k.group.Go(func() {
		operation(ctx)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.operating, key)
		for _, w := range members {
			delete(k.busy, w.ID)
		}
	})
}

// free returns the workers of a service that can be ordered into a new group.
func (k *Keeper) free(s *fleet.Service, groups []*observed, view *fleet.View) []Free {
	held := make(map[string]bool)
	for _, o := range groups {
		if k.retired[o.key] != 0 {
			continue
		}
		for _, w := range o.members {
			held[w.ID] = true
		}
	}
	var all []Free
	for id, w := range view.Workers() {
		if w.Service != s.Name || w.Draining || k.busy[id] || k.silentNow(id) || k.pausedNow(id) || held[id] || !k.halls.usable(w.Zone) {
			continue
		}
		if _, loading := k.loading[id]; loading {
			continue
		}
		all = append(all, k.freeOf(w))
	}
	slices.SortFunc(all, func(a, b Free) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// freeOf returns a worker as the planner sees it: by the list, once that was confirmed
// after what the keeper knows better.
func (k *Keeper) freeOf(w *fleet.Worker) Free {
	if i, ok := k.interrupted[w.ID]; ok {
		if !k.opts.Inventory.Confirmed().After(i.at.Add(settleFor)) {
			return Free{ID: w.ID, Domain: w.Domain, Staged: i.staged, Hall: w.Zone, Doubted: k.doubted(w.ID)}
		}
		delete(k.interrupted, w.ID)
	}
	return Free{ID: w.ID, Domain: w.Domain, Loaded: k.loaded(w), Staged: w.Staged, Hall: w.Zone, Doubted: k.doubted(w.ID)}
}

// loaded returns the model that a worker was set up for last.
func (k *Keeper) loaded(w *fleet.Worker) string {
	if k.isOver(w) {
		return k.known[w.ID].state.Loaded
	}
	if o, ok := k.known[w.ID]; ok && o.state.Loaded != "" && o.at.After(k.opts.Inventory.Confirmed()) {
		return o.state.Loaded
	}
	return w.Loaded
}

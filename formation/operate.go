package formation

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
)

// beginForm begins the forming of a group. The keeper's mutex is held.
func (k *Keeper) beginForm(ctx context.Context, s *fleet.Service, f Formation) {
	epoch := int64(k.next())
	head := k.former[f.Members[0]]
	g := Group{Name: fleet.GroupName(f.Model.Name, epoch, head), Epoch: epoch, Model: f.Model.Name, Members: f.Members}
	var members []*fleet.Worker
	for _, id := range f.Members {
		members = append(members, k.former[id])
	}
	k.formed[g.Key()] = g
	k.heads[g.Key()] = g.Members[0]
	for _, w := range members {
		k.noteLoad(w, f.Model)
	}
	k.opts.Logger.Info("forming replica", "replica", g.Key(), "model", g.Model, "members", g.Members, "loads", f.Loads)
	k.begin(ctx, g.Key(), members, func(ctx context.Context) { k.form(ctx, s, f, g, members) })
}

// form joins the members, waits until each was seen ready under this name,
// epoch and list, and only then opens the head.
func (k *Keeper) form(term context.Context, s *fleet.Service, f Formation, g Group, members []*fleet.Worker) {
	start := time.Now()
	expected := joinSlack + f.Model.Warm
	if f.Loads > 0 {
		expected += slowLoads * f.Model.Load
	}
	defer k.loadsEnded(f.Members)
	ctx, cancel := context.WithDeadline(term, start.Add(expected))
	defer cancel()
	if !k.join(ctx, g, members) || !k.awaitReady(ctx, g, members) {
		k.giveUp(term, g, members[0], "a member did not become ready")
		return
	}
	if !k.open(ctx, s.Name, g, members[0]) {
		k.giveUp(term, g, members[0], "the head was not opened")
		return
	}
	k.opts.Logger.Info("replica opened", "replica", g.Key(), "model", g.Model,
		"head", g.Members[0], "ms", time.Since(start).Milliseconds())
}

// giveUp makes certain that a group which could not be formed is never opened
// by a late order, then frees its members. When the term has ended, the group
// is left to the next leader.
func (k *Keeper) giveUp(term context.Context, g Group, head *fleet.Worker, why string) {
	if term.Err() != nil {
		return
	}
	k.opts.Logger.Warn("forming given up", "replica", g.Key(), "model", g.Model, "reason", why)
	k.dissolve(term, &observed{key: g.Key(), group: g}, head)
}

// join orders each member into the group, side by side, and reports whether all
// took it.
func (k *Keeper) join(ctx context.Context, g Group, members []*fleet.Worker) bool {
	p := pool.NewWithResults[bool]()
	for _, w := range members {
		p.Go(func() bool { return k.joinMember(ctx, g, w) })
	}
	for _, ok := range p.Wait() {
		if !ok {
			return false
		}
	}
	return true
}

// awaitReady waits until every member was seen ready in the group.
func (k *Keeper) awaitReady(ctx context.Context, g Group, members []*fleet.Worker) bool {
	seen := make(map[string]bool)
	nextAsk := time.Now().Add(askEvery)
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
		if now := time.Now(); now.After(nextAsk) && now.Sub(k.opts.Inventory.Confirmed()) > listStale {
			nextAsk = now.Add(askEvery)
			k.askReady(ctx, g, members, seen)
		}
		if k.lost(members, view) {
			return false
		}
		pause.For(ctx, tickEvery/4)
	}
	return false
}

func isReadyIn(m fleet.Membership, g Group) bool {
	return m.Group == g.Name && m.Epoch == g.Epoch && m.State == fleet.Ready
}

// askReady asks the members that were not seen ready, while the list is old.
func (k *Keeper) askReady(ctx context.Context, g Group, members []*fleet.Worker, seen map[string]bool) {
	for _, w := range members {
		if seen[w.ID] {
			continue
		}
		if state, ok := k.ask(ctx, w); ok && isReadyIn(state.Member, g) {
			seen[w.ID] = true
		}
	}
}

// lost reports whether a member left the list or is leaving.
func (k *Keeper) lost(members []*fleet.Worker, view *fleet.View) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range members {
		listed, ok := view.Worker(w.ID)
		if !ok || listed.Draining {
			return true
		}
		if _, silent := k.silent[w.ID]; silent {
			return true
		}
	}
	return false
}

// open opens a group whose members are all ready, and announces it.
func (k *Keeper) open(ctx context.Context, service string, g Group, head *fleet.Worker) bool {
	verdict, ok := k.order(ctx, "open", head, func(ctx context.Context, fence Fence) (Verdict, error) {
		return k.opts.Orders.Open(ctx, head, fence, g)
	})
	if !ok || !verdict.Accepted() {
		return false
	}
	k.began(head.ID, verdict)
	opening := k.openingTime(service)
	k.noteOpened(head.ID, g, time.Now().Add(opening+settleFor))
	pause.For(ctx, opening)
	k.opts.Announced(fleet.Announcement{
		Group: g.Name, Epoch: g.Epoch, Service: service, Model: g.Model, Members: g.Members, Open: true,
	})
	return true
}

// noteOpened notes that a head took the order to open. The list, and the head's
// reports, show it ready for some time yet.
func (k *Keeper) noteOpened(head string, g Group, listedBy time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known[head] = observation{at: listedBy, state: State{
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

// reopen opens a group that an earlier leader formed.
func (k *Keeper) reopen(ctx context.Context, o *observed) {
	g := o.group
	if len(g.Members) == 0 {
		g.Members = []string{o.head.ID}
	}
	if !k.open(ctx, o.head.Service, g, o.head) {
		k.giveUp(ctx, g, o.head, "a group of an earlier leader was not opened")
	}
}

// dissolve makes certain that the head takes no more requests for the group,
// and by then frees its members.
func (k *Keeper) dissolve(ctx context.Context, o *observed, head *fleet.Worker) {
	k.announceClosed(o, head)
	unreachableSince := time.Time{}
	for ctx.Err() == nil {
		verdict, ok := k.leave(ctx, o.group, head)
		now := time.Now()
		switch {
		case ok && verdict == Fenced:
			return
		case ok:
			k.retire(o, head, confirmed)
			return
		case unreachableSince.IsZero():
			unreachableSince = now.Add(-orderTries * orderTimeout)
		}
		if k.gone(head, unreachableSince, now) {
			k.retire(o, head, assumed)
			return
		}
		pause.For(ctx, tickEvery)
	}
}

// leave lets a head leave its group, and reports whether it answered. A head
// that this daemon does not reach may still serve others, so they try too.
func (k *Keeper) leave(ctx context.Context, g Group, head *fleet.Worker) (Verdict, bool) {
	verdict, ok := k.order(ctx, "leave", head, func(ctx context.Context, fence Fence) (Verdict, error) {
		return k.opts.Orders.Leave(ctx, head, fence, g)
	})
	if ok {
		k.left(head.ID, g, verdict)
	}
	if ok || ctx.Err() != nil {
		return verdict, ok
	}
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	verdict, err := k.opts.IndirectLeave(ctx, head, k.fence(), g)
	if err != nil {
		return Unfit, false
	}
	k.opts.Logger.Info("order given through another daemon", "order", "leave", "worker", head.ID)
	k.checkTerm("leave", head, verdict)
	return verdict, true
}

// gone reports whether a head that does not answer must be gone: it is not
// listed although the list is fresh, or it had time to break while nobody could
// read the list.
func (k *Keeper) gone(head *fleet.Worker, since, now time.Time) bool {
	_, listed := k.opts.Inventory.View().Worker(head.ID)
	fresh := now.Sub(k.opts.Inventory.Confirmed()) < listFresh
	silence := now.Sub(since)
	if fresh {
		return !listed && silence > lostHead
	}
	return silence > k.opts.StallAfter+lostHead
}

func (k *Keeper) retire(o *observed, head *fleet.Worker, how retirement) {
	k.opts.Logger.Info("replica dissolved", "replica", o.key, "head", head.ID, "confirmed", how == confirmed)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired[o.key] = how
	if how == confirmed {
		k.dissolved[o.key] = dissolution{at: time.Now(), shown: o.state}
	}
	delete(k.headless, o.key)
}

func (k *Keeper) announceClosed(o *observed, head *fleet.Worker) {
	members := o.group.Members
	if len(members) == 0 {
		members = []string{head.ID}
	}
	k.opts.Announced(fleet.Announcement{
		Group: o.group.Name, Epoch: o.group.Epoch, Service: head.Service, Model: o.group.Model, Members: members,
	})
}

// drain lets a group's requests end before it is dissolved.
func (k *Keeper) drain(ctx context.Context, o *observed) {
	k.opts.Logger.Info("draining replica", "replica", o.key)
	k.announceClosed(o, o.head)
	deadline := time.Now().Add(drainMost)
	verdict, ok := k.order(ctx, "close", o.head, func(ctx context.Context, fence Fence) (Verdict, error) {
		return k.opts.Orders.Close(ctx, o.head, fence, o.group)
	})
	k.began(o.head.ID, verdict)
	nextAsk := time.Now().Add(askEvery)
	for ok && verdict.Accepted() && ctx.Err() == nil && time.Now().Before(deadline) && !k.drained(ctx, o, &nextAsk) {
		pause.For(ctx, tickEvery)
	}
	k.dissolve(ctx, o, o.head)
}

// drained reports whether a closed group's requests have ended, by the list or,
// while that is stale, by the head itself.
func (k *Keeper) drained(ctx context.Context, o *observed, nextAsk *time.Time) bool {
	closed := fleet.Membership{Group: o.group.Name, Epoch: o.group.Epoch}
	listed, there := k.opts.Inventory.View().Worker(o.head.ID)
	if !there || listed.Member.Same(closed) && listed.Member.State == fleet.Ready {
		return true
	}
	now := time.Now()
	if now.Before(*nextAsk) || now.Sub(k.opts.Inventory.Confirmed()) <= listStale {
		return false
	}
	*nextAsk = now.Add(askEvery)
	state, ok := k.ask(ctx, o.head)
	return ok && (!state.Member.Same(closed) || state.Member.State == fleet.Ready)
}

// order gives an order until it is answered, each time with a new fence so
// that an earlier one that comes late is void. It reports whether an answer
// came.
func (k *Keeper) order(ctx context.Context, what string, w *fleet.Worker, give func(context.Context, Fence) (Verdict, error)) (Verdict, bool) {
	refused := 0
	for tries := range orderTries {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		verdict, err := give(bounded, k.fence())
		cancel()
		k.noteTry(what, w, tries+1, verdict, err)
		switch {
		case err == nil && verdict == Fenced && refused == 0:
			// Another order of this term may have overtaken it.
			refused++
			continue
		case err == nil:
			k.checkTerm(what, w, verdict)
			return verdict, true
		}
		k.forgetPosition(w.ID)
		if ctx.Err() != nil {
			return Unfit, false
		}
	}
	k.opts.Logger.Warn("order not answered", "order", what, "worker", w.ID, "tries", orderTries)
	if _, lives := k.ask(ctx, w); !lives && ctx.Err() == nil {
		k.fellSilent(w.ID)
	}
	return Unfit, false
}

// checkTerm ends the term if a worker refused an order for its fence.
func (k *Keeper) checkTerm(what string, w *fleet.Worker, verdict Verdict) {
	if verdict != Fenced {
		return
	}
	k.opts.Logger.Warn("order refused: another leader has a higher term", "order", what, "worker", w.ID)
	k.outdone()
}

// ask asks a worker for its state.
func (k *Keeper) ask(ctx context.Context, w *fleet.Worker) (State, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, err := k.opts.Orders.Ask(ctx, w)
	if err != nil {
		return State{}, false
	}
	k.learn(w.ID, state)
	return state, true
}

// noteLoad counts a load if the worker has to make one for the model. The
// keeper's mutex is held.
func (k *Keeper) noteLoad(w *fleet.Worker, m fleet.Model) {
	if k.freeOf(w).warmth(m.Name) > Staged {
		k.loading[w.ID] = load{model: m.Name, until: time.Now().Add(slowLoads * m.Load)}
	}
}

// loadsEnded ends the count of the loads of workers.
func (k *Keeper) loadsEnded(ids []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		delete(k.loading, id)
	}
}

// beginStage begins to bring a model to the host of an idle worker. The
// keeper's mutex is held.
func (k *Keeper) beginStage(ctx context.Context, w *fleet.Worker, m fleet.Model) {
	k.noteLoad(w, m)
	k.opts.Logger.Info("staging", "worker", w.ID, "model", m.Name)
	k.group.Go(func() {
		if k.stage(ctx, w, m) {
			return
		}
		k.loadsEnded([]string{w.ID})
		if ctx.Err() == nil {
			k.opts.Logger.Warn("staging not taken", "worker", w.ID, "model", m.Name)
		}
	})
}

// stage orders a worker to bring a model to its host, and reports whether it
// took the order. It takes it once at most, so that no load begins that was not
// counted.
func (k *Keeper) stage(ctx context.Context, w *fleet.Worker, m fleet.Model) bool {
	at, ok := k.positionOf(ctx, w)
	if !ok {
		return false
	}
	verdict, ok := k.order(ctx, "stage", w, func(ctx context.Context, fence Fence) (Verdict, error) {
		return k.opts.Orders.Stage(ctx, w, fence, at.orders, m.Name)
	})
	switch {
	case !ok:
		return false
	case verdict == Unfit:
		k.forgetPosition(w.ID)
	}
	k.began(w.ID, verdict)
	return verdict.Accepted()
}

package formation

import (
	"context"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// tradeInterval is the time between two rounds of trades.
	tradeInterval = 2 * time.Second
	// groupsPerTrade is the number of groups per concurrent trade. Fleets of any size thus switch
	// models at the same relative rate, and most of the fleet keeps serving.
	groupsPerTrade = 32
)

// startTrades dissolves groups of one model in favor of another that is short. The effects of
// ongoing trades are already counted. Trades that complete the survivors of a group with one other
// group, and trades that only give surplus groups, are not rate limited.
func (k *Keeper) startTrades(ctx context.Context, in Input, groups []*observedGroup, now time.Time) {
	needs, free := slices.Clone(in.Needs), in.Free
	if now.Before(k.tradesAllowedAt) {
		return
	}
	byKey, servingGroups := k.tradableGroups(groups)
	maxTrades := max(len(servingGroups)/groupsPerTrade, 1)
	nextTrade := k.nextTrade
	defer func() { k.nextTrade = nextTrade }()
	down := k.applyActiveTrades(needs)
	for {
		t := newTradeFinder(needs, free, servingGroups)
		t.down, t.maxLoads = down, in.MaxLoads
		t.value.hallLoss, t.value.serving = in.HallLoss, in.Serving
		x, ok := t.bestTrade()
		isRateLimited := now.Before(k.nextTrade) || len(k.activeTrades) >= maxTrades
		if !ok || isRateLimited && !t.completesSurvivors(x) && !x.isSurplus(needs) {
			return
		}
		k.activeTrades = append(k.activeTrades, x)
		nextTrade = now.Add(tradeInterval)
		x.apply(needs)
		x.countDown(down)
		free = slices.DeleteFunc(slices.Clone(free), func(f FreeWorker) bool { return f.Domain == x.Domain })
		servingGroups = slices.DeleteFunc(servingGroups, func(s ServingGroup) bool { return s.Domain == x.Domain })
		k.startTrade(ctx, x, byKey)
	}
}

// clearFinishedTrades removes the trades whose groups are dissolved, and returns the recipient
// models of the others by domain.
func (k *Keeper) clearFinishedTrades() map[string]string {
	k.activeTrades = slices.DeleteFunc(k.activeTrades, func(x Trade) bool {
		return !slices.ContainsFunc(x.GroupKeys, func(key string) bool { return k.busyGroups[key] })
	})
	recipients := make(map[string]string)
	for _, x := range k.activeTrades {
		recipients[x.Domain] = x.Model
	}
	return recipients
}

// applyActiveTrades applies the ongoing trades to needs, and returns how many groups of each model
// they take down.
func (k *Keeper) applyActiveTrades(needs []Need) map[string]int {
	down := make(map[string]int)
	for _, x := range k.activeTrades {
		x.apply(needs)
		x.countDown(down)
	}
	return down
}

// replaceLoadsByTrades returns the planned groups, except for those that would wait for loads and
// are replaced by a trade in their domain. A trade must provide warm members and have a higher
// value; it takes much less time than a load, for which all members wait.
func (k *Keeper) replaceLoadsByTrades(ctx context.Context, in Input, planned []Formation, groups []*observedGroup, now time.Time) []Formation {
	needsLoads := slices.ContainsFunc(planned, func(f Formation) bool { return f.Loads > 0 })
	if !needsLoads || now.Before(k.tradesAllowedAt) {
		return planned
	}
	byKey, servingGroups := k.tradableGroups(groups)
	needs := slices.Clone(in.Needs)
	down := k.applyActiveTrades(needs)
	var kept []Formation
	for i, f := range planned {
		t := newTradeFinder(needs, withoutMembers(in.Free, kept, planned[i+1:]), servingGroups)
		t.down = down
		x, ok := t.tradeInsteadOf(f)
		if !ok || k.isTrading(x.Domain) {
			kept = append(kept, f)
			continue
		}
		k.activeTrades = append(k.activeTrades, x)
		x.apply(needs)
		x.countDown(down)
		servingGroups = slices.DeleteFunc(servingGroups, func(s ServingGroup) bool { return s.Domain == x.Domain })
		k.startTrade(ctx, x, byKey)
	}
	return kept
}

// withoutMembers returns the workers that are in none of the groups.
func withoutMembers(free []FreeWorker, groups ...[]Formation) []FreeWorker {
	taken := make(map[string]bool)
	for _, list := range groups {
		for _, f := range list {
			for _, id := range f.Members {
				taken[id] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(free), func(f FreeWorker) bool { return taken[f.ID] })
}

// startTrade dissolves the groups of a trade.
func (k *Keeper) startTrade(ctx context.Context, x Trade, byKey map[string]*observedGroup) {
	for _, key := range x.GroupKeys {
		o := byKey[key]
		k.opts.Logger.Info("replica given up for another model", "replica", key, "for", x.Model, "domain", x.Domain, "gets", x.Formed)
		k.startOperation(ctx, key, o.members, func(ctx context.Context) { k.drain(ctx, o) })
	}
}

// tradableGroups returns the groups that serve and may be traded, by key and as the planner sees
// them.
func (k *Keeper) tradableGroups(groups []*observedGroup) (map[string]*observedGroup, []ServingGroup) {
	byKey := make(map[string]*observedGroup)
	var all []ServingGroup
	for _, o := range groups {
		if o.isComplete() && o.absentCount == 0 && o.state == fleet.Open && !k.busyGroups[o.key] && k.retirements[o.key] == 0 && k.halls.isUsable(o.head.Zone) {
			byKey[o.key] = o
			all = append(all, ServingGroup{
				Key: o.key, Domain: o.head.Domain, Model: o.model.Name, Members: len(o.members), Hall: o.head.Zone, Cold: k.countColdMembers(o),
			})
		}
	}
	return byKey, all
}

// countColdMembers counts, by model, the members of a group that would have to load it.
func (k *Keeper) countColdMembers(o *observedGroup) map[string]int {
	counts := make(map[string]int)
	for _, s := range k.opts.Config().Services() {
		if s.Name != o.head.Service || s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			for _, w := range o.members {
				if k.asFreeWorker(w).warmth(m.Name) > Staged {
					counts[m.Name]++
				}
			}
		}
	}
	return counts
}

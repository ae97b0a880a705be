package formation

import (
	"context"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// tradeInterval is the minimum time between two rounds of trades that are rate limited.
	tradeInterval = 2 * time.Second
	// groupsPerTrade is the number of serving groups per concurrent trade. The maximum number of
	// concurrent trades is thus proportional to the size of the fleet.
	groupsPerTrade = 32
)

// startTrades dissolves groups so that groups of models with too few replicas can be formed. It
// takes the effects of ongoing trades into account. Trades are rate limited, except for those that
// dissolve only surplus groups and those that complete a broken group (see completesSurvivors).
func (rc *Reconciler) startTrades(ctx context.Context, in Input, groups []*observedGroup, now time.Time) {
	needs, free := slices.Clone(in.Needs), in.Free
	if now.Before(rc.tradesAllowedAt) {
		return
	}
	byKey, servingGroups := rc.tradableGroups(groups)
	maxTrades := max(len(servingGroups)/groupsPerTrade, 1)
	nextTrade := rc.nextTrade
	defer func() { rc.nextTrade = nextTrade }()
	downCounts := rc.applyActiveTrades(needs)
	for {
		t := newTradeFinder(needs, free, servingGroups)
		t.downCounts, t.maxLoads = downCounts, in.MaxLoads
		t.planValuation.hallLoss, t.planValuation.replicasByHall = in.HallLoss, in.ReplicasByHall
		x, ok := t.bestTrade()
		isRateLimited := now.Before(rc.nextTrade) || len(rc.activeTrades) >= maxTrades
		if !ok || isRateLimited && !t.completesSurvivors(x) && !x.takesOnlySurplus(needs) {
			return
		}
		rc.activeTrades = append(rc.activeTrades, x)
		nextTrade = now.Add(tradeInterval)
		x.applyTo(needs)
		x.addDownCounts(downCounts)
		free = slices.DeleteFunc(slices.Clone(free), func(f FreeWorker) bool { return f.Domain == x.Domain })
		servingGroups = slices.DeleteFunc(servingGroups, func(s ServingGroup) bool { return s.Domain == x.Domain })
		rc.startTrade(ctx, x, byKey)
	}
}

// clearFinishedTrades removes the trades whose groups are dissolved, and returns the recipients of
// the remaining ones by domain.
func (rc *Reconciler) clearFinishedTrades() map[string]string {
	rc.activeTrades = slices.DeleteFunc(rc.activeTrades, func(x Trade) bool {
		return !slices.ContainsFunc(x.GroupKeys, func(key string) bool { return rc.busyGroups[key] })
	})
	recipients := make(map[string]string)
	for _, x := range rc.activeTrades {
		recipients[x.Domain] = x.Recipient
	}
	return recipients
}

// applyActiveTrades applies the ongoing trades to needs, and returns how many groups of each model
// they take out of service.
func (rc *Reconciler) applyActiveTrades(needs []Need) map[string]int {
	downCounts := make(map[string]int)
	for _, x := range rc.activeTrades {
		x.applyTo(needs)
		x.addDownCounts(downCounts)
	}
	return downCounts
}

// replaceLoadsByTrades starts trades in place of planned groups whose members would have to load,
// and returns the other planned groups. A group is replaced only by a trade in its domain that
// provides warm members and has a higher value.
func (rc *Reconciler) replaceLoadsByTrades(ctx context.Context, in Input, planned []Formation, groups []*observedGroup, now time.Time) []Formation {
	needsLoads := slices.ContainsFunc(planned, func(f Formation) bool { return f.LoadCount > 0 })
	if !needsLoads || now.Before(rc.tradesAllowedAt) {
		return planned
	}
	byKey, servingGroups := rc.tradableGroups(groups)
	needs := slices.Clone(in.Needs)
	downCounts := rc.applyActiveTrades(needs)
	var kept []Formation
	for i, f := range planned {
		t := newTradeFinder(needs, excludeMembers(in.Free, kept, planned[i+1:]), servingGroups)
		t.downCounts = downCounts
		x, ok := t.tradeInsteadOf(f)
		if !ok || rc.isTrading(x.Domain) {
			kept = append(kept, f)
			continue
		}
		rc.activeTrades = append(rc.activeTrades, x)
		x.applyTo(needs)
		x.addDownCounts(downCounts)
		servingGroups = slices.DeleteFunc(servingGroups, func(s ServingGroup) bool { return s.Domain == x.Domain })
		rc.startTrade(ctx, x, byKey)
	}
	return kept
}

// excludeMembers returns the workers that are in none of the groups.
func excludeMembers(free []FreeWorker, groups ...[]Formation) []FreeWorker {
	isMember := make(map[string]bool)
	for _, list := range groups {
		for _, f := range list {
			for _, id := range f.Members {
				isMember[id] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(free), func(f FreeWorker) bool { return isMember[f.ID] })
}

// startTrade starts to dissolve the groups of a trade.
func (rc *Reconciler) startTrade(ctx context.Context, x Trade, byKey map[string]*observedGroup) {
	for _, key := range x.GroupKeys {
		o := byKey[key]
		rc.opts.Logger.Info("replica given up for another model", "replica", key, "for", x.Recipient, "domain", x.Domain, "gets", x.FormedCount)
		rc.startOperation(ctx, key, o.members, func(ctx context.Context) { rc.drain(ctx, o) })
	}
}

// tradableGroups returns the serving groups that may be traded. The first result holds them by key.
// The second one holds them in the form that the planner uses.
func (rc *Reconciler) tradableGroups(groups []*observedGroup) (map[string]*observedGroup, []ServingGroup) {
	byKey := make(map[string]*observedGroup)
	var all []ServingGroup
	for _, o := range groups {
		if o.isComplete() && o.absentCount == 0 && o.state == fleet.Open && !rc.busyGroups[o.key] && rc.retirements[o.key] == 0 && rc.halls.isUsable(o.head.Zone) {
			byKey[o.key] = o
			all = append(all, ServingGroup{
				Key: o.key, Domain: o.head.Domain, Model: o.model.Name, MemberCount: len(o.members), Hall: o.head.Zone, ColdCounts: rc.countColdMembers(o),
			})
		}
	}
	return byKey, all
}

// countColdMembers returns the number of a group's members that would have to load a model, by
// model.
func (rc *Reconciler) countColdMembers(o *observedGroup) map[string]int {
	counts := make(map[string]int)
	for _, s := range rc.opts.Config().Services() {
		if s.Name != o.head.Service || s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			for _, w := range o.members {
				if rc.asFreeWorker(w).warmth(m.Name) > Staged {
					counts[m.Name]++
				}
			}
		}
	}
	return counts
}

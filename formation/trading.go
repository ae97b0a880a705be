package formation

import (
	"context"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// tradeEvery is the time between two rounds of trades.
	tradeEvery = 2 * time.Second
	// groupsPerTrade is how many groups a fleet has for each trade under way, so that
	// a fleet of any size turns to another model at the same pace, and most of it
	// serves meanwhile: a trade takes one or two groups out for some two seconds.
	groupsPerTrade = 32
)

// trade dissolves surplus groups of one model in favour of another that is
// short. What trades under way give and get is counted already. Those that complete
// the survivors of a group with one other group don't wait for their turn, nor do
// those that give no more than is there beyond what is wanted.
func (k *Keeper) trade(ctx context.Context, in Input, groups []*observed, now time.Time) {
	needs, free := slices.Clone(in.Needs), in.Free
	if now.Before(k.settledAt) {
		return
	}
	byKey, standing := k.standing(groups)
	most := max(len(standing)/groupsPerTrade, 1)
	next := k.tradeNext
	defer func() { k.tradeNext = next }()
	down := k.applyTrades(needs)
	for {
		t := newTrader(needs, free, standing)
		t.down, t.maxLoads = down, in.MaxLoads
		t.value.halls, t.value.serving = in.Halls, in.Serving
		x, ok := t.best()
		paced := now.Before(k.tradeNext) || len(k.trades) >= most
		if !ok || paced && !t.completes(x) && !x.surplus(needs) {
			return
		}
		k.trades = append(k.trades, x)
		next = now.Add(tradeEvery)
		x.apply(needs)
		x.hold(down)
		free = slices.DeleteFunc(slices.Clone(free), func(f Free) bool { return f.Domain == x.Domain })
		standing = slices.DeleteFunc(standing, func(s Standing) bool { return s.Domain == x.Domain })
		k.giveGroups(ctx, x, byKey)
	}
}

// endTrades forgets the exchanges whose groups are dissolved, and returns the domains of
// the others with the models that get their members.
func (k *Keeper) endTrades() map[string]string {
	k.trades = slices.DeleteFunc(k.trades, func(x Exchange) bool {
		return !slices.ContainsFunc(x.Keys, func(key string) bool { return k.operating[key] })
	})
	under := make(map[string]string)
	for _, x := range k.trades {
		under[x.Domain] = x.Model
	}
	return under
}

// applyTrades counts in needs what trades under way give and get, and returns how many
// groups of each model they hold down.
func (k *Keeper) applyTrades(needs []Need) map[string]int {
	down := make(map[string]int)
	for _, x := range k.trades {
		x.apply(needs)
		x.hold(down)
	}
	return down
}

// insteadOfLoads returns the planned groups but for those that would wait for the loads of
// some members, where giving up groups of the domain gives them warm ones and earns more:
// a load, in which all members wait, takes many times as long as an exchange.
func (k *Keeper) insteadOfLoads(ctx context.Context, in Input, planned []Formation, groups []*observed, now time.Time) []Formation {
	loads := slices.ContainsFunc(planned, func(f Formation) bool { return f.Loads > 0 })
	if !loads || now.Before(k.settledAt) {
		return planned
	}
	byKey, standing := k.standing(groups)
	needs := slices.Clone(in.Needs)
	down := k.applyTrades(needs)
	var kept []Formation
	for i, f := range planned {
		t := newTrader(needs, without(in.Free, kept, planned[i+1:]), standing)
		t.down = down
		x, ok := t.instead(f)
		if !ok || k.trading(x.Domain) {
			kept = append(kept, f)
			continue
		}
		k.trades = append(k.trades, x)
		x.apply(needs)
		x.hold(down)
		standing = slices.DeleteFunc(standing, func(s Standing) bool { return s.Domain == x.Domain })
		k.giveGroups(ctx, x, byKey)
	}
	return kept
}

// without returns the workers that are in none of the groups.
func without(free []Free, groups ...[]Formation) []Free {
	taken := make(map[string]bool)
	for _, list := range groups {
		for _, f := range list {
			for _, id := range f.Members {
				taken[id] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(free), func(f Free) bool { return taken[f.ID] })
}

// giveGroups dissolves the groups of an exchange.
func (k *Keeper) giveGroups(ctx context.Context, x Exchange, byKey map[string]*observed) {
	for _, key := range x.Keys {
		o := byKey[key]
		k.opts.Logger.Info("replica given up for another model", "replica", key, "for", x.Model, "domain", x.Domain, "gets", x.Gets)
		k.begin(ctx, key, o.members, func(ctx context.Context) { k.drain(ctx, o) })
	}
}

// standing returns the groups that serve and may be given up, by key and as the
// planner sees them.
func (k *Keeper) standing(groups []*observed) (map[string]*observed, []Standing) {
	byKey := make(map[string]*observed)
	var all []Standing
	for _, o := range groups {
		if o.whole() && o.absent == 0 && o.state == fleet.Open && !k.operating[o.key] && k.retired[o.key] == 0 && k.halls.usable(o.head.Zone) {
			byKey[o.key] = o
			all = append(all, Standing{
				Key: o.key, Domain: o.head.Domain, Model: o.model.Name, Members: len(o.members), Hall: o.head.Zone, Cold: k.cold(o),
			})
		}
	}
	return byKey, all
}

// cold counts, by model, the members of a group that would have to load it.
func (k *Keeper) cold(o *observed) map[string]int {
	counts := make(map[string]int)
	for _, s := range k.opts.Config().Services() {
		if s.Name != o.head.Service || s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			for _, w := range o.members {
				if k.freeOf(w).warmth(m.Name) > Staged {
					counts[m.Name]++
				}
			}
		}
	}
	return counts
}

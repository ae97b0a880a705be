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
// short. What trades under way give and get is counted already.
func (k *Keeper) trade(ctx context.Context, needs []Need, free []Free, groups []*observed, now time.Time) {
	k.trades = slices.DeleteFunc(k.trades, func(x Exchange) bool {
		return !slices.ContainsFunc(x.Keys, func(key string) bool { return k.operating[key] })
	})
	if now.Before(k.tradeNext) {
		return
	}
	byKey, standing := k.standing(groups)
	most := max(len(standing)/groupsPerTrade, 1)
	needs = slices.Clone(needs)
	for _, x := range k.trades {
		x.apply(needs)
	}
	for len(k.trades) < most {
		x, ok := Trade(needs, free, standing)
		if !ok {
			return
		}
		k.tradeNext = now.Add(tradeEvery)
		k.trades = append(k.trades, x)
		x.apply(needs)
		free = slices.DeleteFunc(slices.Clone(free), func(f Free) bool { return f.Domain == x.Domain })
		standing = slices.DeleteFunc(standing, func(s Standing) bool { return s.Domain == x.Domain })
		for _, key := range x.Keys {
			o := byKey[key]
			k.opts.Logger.Info("replica given up for another model", "replica", key, "for", x.Model)
			k.begin(ctx, key, o.members, func(ctx context.Context) { k.drain(ctx, o) })
		}
	}
}

// standing returns the groups that serve and may be given up, by key and as the
// planner sees them.
func (k *Keeper) standing(groups []*observed) (map[string]*observed, []Standing) {
	byKey := make(map[string]*observed)
	var all []Standing
	for _, o := range groups {
		if o.whole() && o.absent == 0 && o.state == fleet.Open && !k.operating[o.key] && k.retired[o.key] == 0 {
			byKey[o.key] = o
			all = append(all, Standing{Key: o.key, Domain: o.head.Domain, Model: o.model.Name, Members: len(o.members)})
		}
	}
	return byKey, all
}

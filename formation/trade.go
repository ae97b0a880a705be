package formation

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// tradeMargin is by how much a model that gives must be better off afterwards
	// than the one that gets, lest replicas go back and forth.
	tradeMargin = 1.1
	// loadPenalty is what a second of a load costs, as a part of a model's requests, beside
	// what its group doesn't serve meanwhile: the loads of others take longer. It is small
	// against what one group of a dozen earns, so that it only chooses among exchanges.
	loadPenalty = 1e-5
	// coldTradeShare is the part of what is wanted at or below which a model gets groups
	// whose members have yet to load it. At fillTarget of it all its slots are busy; at
	// half of it requests are refused for longer than a load takes. Groups
	// beyond what is wanted are given for such members at any share.
	coldTradeShare = 0.5
	// downPart is the part of a model's groups that trades may hold down at once. One
	// exchange is always allowed; beside it the rest of the model carries a third more
	// at most, which the slots that fillTarget leaves free take.
	downPart = 0.25
)

// Standing is a group that serves.
type Standing struct {
	Key     string
	Domain  string
	Model   string
	Members int
	// Hall is the data hall of its head.
	Hall string
	// Cold counts, by model, the members that would have to load it.
	Cold map[string]int
}

// warm returns how many members need no load for a model.
func (s Standing) warm(model string) int { return s.Members - s.Cold[model] }

// Exchange is groups of one domain to give up so that a group of a model that is
// short can be formed.
type Exchange struct {
	Model  string
	Domain string
	Keys   []string
	// Given counts the groups by their models, Gets is how many are formed of Model.
	Given map[string]int
	Gets  int
}

// apply counts in needs what the exchange gives and gets.
func (x Exchange) apply(needs []Need) {
	for i, n := range needs {
		needs[i].Have -= x.Given[n.Model.Name]
		if n.Model.Name == x.Model {
			needs[i].Have += x.Gets
		}
	}
}

// surplus reports whether the models that give keep what is wanted of them.
func (x Exchange) surplus(needs []Need) bool {
	for _, n := range needs {
		if given := x.Given[n.Model.Name]; given > 0 && n.share(-given) < 1 {
			return false
		}
	}
	return true
}

// hold counts the groups that the exchange holds down.
func (x Exchange) hold(down map[string]int) {
	for model, count := range x.Given {
		down[model] += count
	}
}

// Trade returns the groups to dissolve so that a model that is short can be
// formed: groups, within one domain, of models that stay better off than it. It
// returns false when nothing is short or nothing can be done. Members that need no
// load are taken, unless the model lacks half of what is wanted, or others have more
// than that.
func Trade(needs []Need, free []Free, standing []Standing) (Exchange, bool) {
	return newTrader(needs, free, standing).best()
}

// trader finds exchanges.
type trader struct {
	needs    []Need
	value    *valuation
	free     map[string][]Free
	standing map[string][]Standing
	// down counts, by model, the groups that earlier exchanges hold down.
	down map[string]int
	// maxLoads is how many loads may begin.
	maxLoads int
}

func newTrader(needs []Need, free []Free, standing []Standing) *trader {
	t := &trader{
		needs: needs, value: &valuation{needs: needs}, free: byDomain(free),
		standing: make(map[string][]Standing), maxLoads: math.MaxInt,
	}
	for _, s := range standing {
		t.standing[s.Domain] = append(t.standing[s.Domain], s)
	}
	return t
}

// best returns the exchange for the shortest model that can be helped.
func (t *trader) best() (Exchange, bool) {
	short := slices.Clone(t.needs)
	slices.SortStableFunc(short, func(a, b Need) int { return cmp.Compare(b.short(), a.short()) })
	for _, n := range short {
		if n.met() || n.Model.Size <= 0 {
			continue
		}
		if x, ok := t.bestFor(n); ok {
			return x, true
		}
	}
	return Exchange{}, false
}

// bestFor returns the exchange for a model that earns the most over all domains; of
// equal ones that with the fewest groups.
func (t *trader) bestFor(n Need) (Exchange, bool) {
	var best *gift
	for _, domain := range slices.Sorted(maps.Keys(t.standing)) {
		for _, cold := range []bool{false, true} {
			g := t.newGift(n, domain, cold)
			g.from(0)
			if g.found && (best == nil || g.better(best)) {
				best = g
			}
		}
	}
	if best == nil {
		return Exchange{}, false
	}
	return best.exchange(), true
}

// instead returns an exchange of the domain of a planned group whose members load, if it
// gives them warm members and earns more.
func (t *trader) instead(f Formation) (Exchange, bool) {
	i := slices.IndexFunc(t.needs, func(n Need) bool { return n.Model.Name == f.Model.Name })
	if f.Loads == 0 || i < 0 {
		return Exchange{}, false
	}
	for domain, workers := range t.free {
		if !slices.ContainsFunc(workers, func(w Free) bool { return w.ID == f.Members[0] }) {
			continue
		}
		n := t.needs[i]
		g := t.newGift(n, domain, false)
		g.from(0)
		waiting := t.value.model(n, float64(n.Have)+part(n.Model, true), 0) - t.value.model(n, float64(n.Have), 0)
		return g.exchange(), g.found && g.gain > waiting
	}
	return Exchange{}, false
}

// completes reports whether an exchange gives one group to at least as many idle workers
// as it has members: the survivors of a group that lost some.
func (t *trader) completes(x Exchange) bool {
	if len(x.Keys) != 1 {
		return false
	}
	i := slices.IndexFunc(t.standing[x.Domain], func(s Standing) bool { return s.Key == x.Keys[0] })
	return len(t.free[x.Domain]) >= t.standing[x.Domain][i].Members
}

// gift is the search for the groups of one domain that a model gets the members of:
// over how many groups each other model gives.
type gift struct {
	*trader
	to     Need
	domain string
	cold   bool
	// idle is how many idle workers of the domain can be members.
	idle int
	// givers holds the models that can give, groups by giver what they can give, the
	// best first; counts is how many of them are given.
	givers []Need
	groups [][]Standing
	counts []int
	// found, gain, keys, given and gets are those of the best exchange so far.
	found bool
	gain  float64
	keys  []string
	given map[string]int
	gets  int
}

func (t *trader) newGift(n Need, domain string, cold bool) *gift {
	g := &gift{trader: t, to: n, domain: domain, cold: cold}
	for _, f := range t.free[domain] {
		if !f.Doubted && (cold || f.warmth(n.Model.Name) <= Staged) {
			g.idle++
		}
	}
	for _, o := range t.needs {
		groups := t.givenBy(o, n, domain)
		if len(groups) > 0 {
			g.givers = append(g.givers, o)
			g.groups = append(g.groups, groups)
		}
	}
	g.counts = make([]int, len(g.givers))
	return g
}

// givenBy returns the groups of a domain that a model can give to another one and stay
// better off, within the budget of what is held down. Those with the most warm members
// come first.
func (t *trader) givenBy(from, to Need, domain string) []Standing {
	if from.Model.Name == to.Model.Name {
		return nil
	}
	var all []Standing
	for _, s := range t.standing[domain] {
		if s.Model == from.Model.Name {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(b.warm(to.Model.Name), a.warm(to.Model.Name)), cmp.Compare(a.Key, b.Key))
	})
	enough := tradeMargin * to.share(1)
	most := 0
	for most < len(all) && from.share(-most-1) >= enough {
		most++
	}
	if down := t.down[from.Model.Name]; down > 0 {
		most = min(most, max(int(downPart*float64(from.Have+down))-down, 0))
	}
	return all[:most]
}

// from tries how many groups each giver from the given one on gives.
func (g *gift) from(giver int) {
	if giver == len(g.givers) {
		g.compare()
		return
	}
	for count := range len(g.groups[giver]) + 1 {
		g.counts[giver] = count
		g.from(giver + 1)
		if g.idle+g.freed() >= g.to.Model.Size {
			// More would be given than it takes.
			break
		}
	}
	g.counts[giver] = 0
}

// chosen returns the groups that are given.
func (g *gift) chosen() []Standing {
	var all []Standing
	for i, count := range g.counts {
		all = append(all, g.groups[i][:count]...)
	}
	return all
}

// freed returns how many members become free that can serve the model.
func (g *gift) freed() int {
	total := 0
	for i, count := range g.counts {
		for _, s := range g.groups[i][:count] {
			if g.cold {
				total += s.Members
			} else {
				total += s.warm(g.to.Model.Name)
			}
		}
	}
	return total
}

// compare keeps what is given now if it is the best so far.
func (g *gift) compare() {
	members, chosen := g.idle+g.freed(), g.chosen()
	size := g.to.Model.Size
	if members < size || len(chosen) == 0 || g.cold && g.loads(chosen) > g.maxLoads {
		return
	}
	if g.cold && g.to.share(0) > coldTradeShare && !g.surplus() {
		return
	}
	gets := max(min(members/size, int(math.Ceil(g.to.Want))-g.to.Have), 1)
	gain := g.gained(gets)
	if g.cold {
		gain -= loadPenalty * float64(g.loads(chosen)) * g.to.Model.Load.Seconds()
	}
	keys := make([]string, len(chosen))
	for i, s := range chosen {
		keys[i] = s.Key
	}
	slices.Sort(keys)
	next := &gift{gain: gain, keys: keys}
	if gain <= 0 || g.found && !next.better(g) {
		return
	}
	g.found, g.gain, g.keys, g.gets, g.given = true, gain, keys, gets, make(map[string]int)
	for i, o := range g.givers {
		if g.counts[i] > 0 {
			g.given[o.Model.Name] = g.counts[i]
		}
	}
}

// surplus reports whether the givers keep what is wanted of them.
func (g *gift) surplus() bool {
	for i, o := range g.givers {
		if g.counts[i] > 0 && o.share(-g.counts[i]) < 1 {
			return false
		}
	}
	return true
}

// loads returns how many members of one new group have to load, at least.
func (g *gift) loads(chosen []Standing) int {
	warm := 0
	for _, f := range g.free[g.domain] {
		if f.warmth(g.to.Model.Name) <= Staged {
			warm++
		}
	}
	for _, s := range chosen {
		warm += s.warm(g.to.Model.Name)
	}
	return max(g.to.Model.Size-warm, 0)
}

// gained returns what the exchange earns: more of the model that gets once its groups
// serve, less of those that give.
func (g *gift) gained(gets int) float64 {
	hall := g.standing[g.domain][0].Hall
	gain := func(n Need, groups int, part float64) float64 {
		before, after := g.value.worst(n.Model.Name, nil), g.value.worst(n.Model.Name, map[string]int{hall: groups})
		return g.value.model(n, float64(n.Have)+float64(groups)*part, after) - g.value.model(n, float64(n.Have), before)
	}
	total := gain(g.to, gets, part(g.to.Model, g.cold))
	for i, o := range g.givers {
		total += gain(o, -g.counts[i], 1)
	}
	return total
}

// better reports whether an exchange is better than another one: it earns more, or takes
// fewer groups.
func (g *gift) better(o *gift) bool {
	if math.Abs(g.gain-o.gain) > sameValue {
		return g.gain > o.gain
	}
	return cmp.Or(cmp.Compare(len(g.keys), len(o.keys)), slices.Compare(g.keys, o.keys)) < 0
}

func (g *gift) exchange() Exchange {
	return Exchange{Model: g.to.Model.Name, Domain: g.domain, Keys: g.keys, Given: g.given, Gets: g.gets}
}

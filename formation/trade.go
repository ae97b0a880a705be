package formation

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// tradeMargin is the factor by which a donor's coverage must exceed the recipient's after a
	// trade, to prevent replicas from switching back and forth.
	tradeMargin = 1.1
	// loadPenalty is the cost of a second of loading, as a fraction of a model's requests, for
	// slowing down other loads. It is small compared with the value of a group, so that it only
	// decides between similar trades.
	loadPenalty = 1e-5
	// coldTradeMaxCoverage is the coverage up to which a model gets groups whose members have to
	// load it. At half of what is wanted, requests would be refused for longer than a load takes.
	// Surplus groups are traded for cold members at any coverage.
	coldTradeMaxCoverage = 0.5
	// maxDownFraction is the fraction of a model's groups that trades may take down at once. One
	// trade is always allowed. The other groups then carry at most a third more, for which
	// targetUtilization leaves room.
	maxDownFraction = 0.25
)

// ServingGroup is a group that serves.
type ServingGroup struct {
	Key     string
	Domain  string
	Model   string
	Members int
	// Hall is the head's data hall.
	Hall string
	// Cold counts, by model, the members that would have to load it.
	Cold map[string]int
}

// countWarm returns how many members need no load for a model.
func (s ServingGroup) countWarm(model string) int { return s.Members - s.Cold[model] }

// Trade is a set of groups of one domain to dissolve so that groups of a model that is short can
// be formed.
type Trade struct {
	Model     string
	Domain    string
	GroupKeys []string
	// Given counts the dissolved groups by model, Formed the groups that Model gets.
	Given  map[string]int
	Formed int
}

// apply updates needs with the groups that the trade dissolves and forms.
func (x Trade) apply(needs []Need) {
	for i, n := range needs {
		needs[i].Have -= x.Given[n.Model.Name]
		if n.Model.Name == x.Model {
			needs[i].Have += x.Formed
		}
	}
}

// isSurplus reports whether the donors still meet their needs after the trade.
func (x Trade) isSurplus(needs []Need) bool {
	for _, n := range needs {
		if given := x.Given[n.Model.Name]; given > 0 && n.coverageWith(-given) < 1 {
			return false
		}
	}
	return true
}

// countDown adds the groups that the trade takes down.
func (x Trade) countDown(down map[string]int) {
	for model, count := range x.Given {
		down[model] += count
	}
}

// FindTrade returns the groups to dissolve, within one domain, so that a model that is short can
// be formed. The donors keep a better coverage than the recipient. Cold members are used only if
// the recipient has at most half of what is wanted, or if the donors have a surplus. It returns
// false if no model is short or no trade helps.
func FindTrade(needs []Need, free []FreeWorker, servingGroups []ServingGroup) (Trade, bool) {
	return newTradeFinder(needs, free, servingGroups).bestTrade()
}

// tradeFinder finds trades.
type tradeFinder struct {
	needs         []Need
	value         *valuation
	free          map[string][]FreeWorker
	servingGroups map[string][]ServingGroup
	// down counts, by model, the groups that ongoing trades take down.
	down map[string]int
	// maxLoads is how many loads may begin.
	maxLoads int
}

func newTradeFinder(needs []Need, free []FreeWorker, servingGroups []ServingGroup) *tradeFinder {
	t := &tradeFinder{
		needs: needs, value: &valuation{needs: needs}, free: byDomain(free),
		servingGroups: make(map[string][]ServingGroup), maxLoads: math.MaxInt,
	}
	for _, s := range servingGroups {
		t.servingGroups[s.Domain] = append(t.servingGroups[s.Domain], s)
	}
	return t
}

// bestTrade returns the best trade for the shortest model that a trade can help.
func (t *tradeFinder) bestTrade() (Trade, bool) {
	short := slices.Clone(t.needs)
	slices.SortStableFunc(short, func(a, b Need) int { return cmp.Compare(b.shortage(), a.shortage()) })
	for _, n := range short {
		if n.isMet() || n.Model.Size <= 0 {
			continue
		}
		if x, ok := t.bestTradeFor(n); ok {
			return x, true
		}
	}
	return Trade{}, false
}

// bestTradeFor returns the most valuable trade for a model over all domains; among equal ones,
// that with the fewest groups.
func (t *tradeFinder) bestTradeFor(n Need) (Trade, bool) {
	var best *tradeSearch
	for _, domain := range slices.Sorted(maps.Keys(t.servingGroups)) {
		for _, cold := range []bool{false, true} {
			g := t.newTradeSearch(n, domain, cold)
			g.explore(0)
			if g.found && (best == nil || g.isBetter(best)) {
				best = g
			}
		}
	}
	if best == nil {
		return Trade{}, false
	}
	return best.trade(), true
}

// tradeInsteadOf returns a trade in the domain of a planned group whose members would load, if it
// provides warm members and has a higher value.
func (t *tradeFinder) tradeInsteadOf(f Formation) (Trade, bool) {
	i := slices.IndexFunc(t.needs, func(n Need) bool { return n.Model.Name == f.Model.Name })
	if f.Loads == 0 || i < 0 {
		return Trade{}, false
	}
	for domain, workers := range t.free {
		if !slices.ContainsFunc(workers, func(w FreeWorker) bool { return w.ID == f.Members[0] }) {
			continue
		}
		n := t.needs[i]
		g := t.newTradeSearch(n, domain, false)
		g.explore(0)
		loadingValue := t.value.valueOf(n, float64(n.Have)+servingFraction(n.Model, true), 0) - t.value.valueOf(n, float64(n.Have), 0)
		return g.trade(), g.found && g.gain > loadingValue
	}
	return Trade{}, false
}

// completesSurvivors reports whether a trade adds a single group to at least as many idle workers
// as that group has members. These are the survivors of a broken group.
func (t *tradeFinder) completesSurvivors(x Trade) bool {
	if len(x.GroupKeys) != 1 {
		return false
	}
	i := slices.IndexFunc(t.servingGroups[x.Domain], func(s ServingGroup) bool { return s.Key == x.GroupKeys[0] })
	return len(t.free[x.Domain]) >= t.servingGroups[x.Domain][i].Members
}

// tradeSearch searches a domain for the groups whose members a model should get, by the number of
// groups that each other model gives.
type tradeSearch struct {
	*tradeFinder
	recipient   Need
	domain      string
	allowsLoads bool
	// idleCount is how many idle workers of the domain can be members.
	idleCount int
	// donors holds the models that can give groups; groups the groups that each can give, best
	// first; counts how many of them are chosen.
	donors []Need
	groups [][]ServingGroup
	counts []int
	// found, gain, keys, given and formed describe the best trade so far.
	found  bool
	gain   float64
	keys   []string
	given  map[string]int
	formed int
}

func (t *tradeFinder) newTradeSearch(n Need, domain string, allowsLoads bool) *tradeSearch {
	g := &tradeSearch{tradeFinder: t, recipient: n, domain: domain, allowsLoads: allowsLoads}
	for _, f := range t.free[domain] {
		if !f.Unreliable && (allowsLoads || f.warmth(n.Model.Name) <= Staged) {
			g.idleCount++
		}
	}
	for _, o := range t.needs {
		groups := t.donatableGroups(o, n, domain)
		if len(groups) > 0 {
			g.donors = append(g.donors, o)
			g.groups = append(g.groups, groups)
		}
	}
	g.counts = make([]int, len(g.donors))
	return g
}

// donatableGroups returns the groups of a domain that a donor can give while keeping a better
// coverage than the recipient, within the limit on groups that are down. Those with the most warm
// members come first.
func (t *tradeFinder) donatableGroups(donor, recipient Need, domain string) []ServingGroup {
	if donor.Model.Name == recipient.Model.Name {
		return nil
	}
	var all []ServingGroup
	for _, s := range t.servingGroups[domain] {
		if s.Model == donor.Model.Name {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b ServingGroup) int {
		return cmp.Or(cmp.Compare(b.countWarm(recipient.Model.Name), a.countWarm(recipient.Model.Name)), cmp.Compare(a.Key, b.Key))
	})
	minCoverage := tradeMargin * recipient.coverageWith(1)
	maxGiven := 0
	for maxGiven < len(all) && donor.coverageWith(-maxGiven-1) >= minCoverage {
		maxGiven++
	}
	if down := t.down[donor.Model.Name]; down > 0 {
		maxGiven = min(maxGiven, max(int(maxDownFraction*float64(donor.Have+down))-down, 0))
	}
	return all[:maxGiven]
}

// explore tries the numbers of groups that the donors from the given one on can give.
func (g *tradeSearch) explore(donor int) {
	if donor == len(g.donors) {
		g.considerChoice()
		return
	}
	for count := range len(g.groups[donor]) + 1 {
		g.counts[donor] = count
		g.explore(donor + 1)
		if g.idleCount+g.countFreed() >= g.recipient.Model.Size {
			// More groups than needed would be given.
			break
		}
	}
	g.counts[donor] = 0
}

// chosenGroups returns the chosen groups.
func (g *tradeSearch) chosenGroups() []ServingGroup {
	var all []ServingGroup
	for i, count := range g.counts {
		all = append(all, g.groups[i][:count]...)
	}
	return all
}

// countFreed returns how many freed members can serve the model.
func (g *tradeSearch) countFreed() int {
	total := 0
	for i, count := range g.counts {
		for _, s := range g.groups[i][:count] {
			if g.allowsLoads {
				total += s.Members
			} else {
				total += s.countWarm(g.recipient.Model.Name)
			}
		}
	}
	return total
}

// considerChoice keeps the chosen groups if they are the best trade so far.
func (g *tradeSearch) considerChoice() {
	members, chosen := g.idleCount+g.countFreed(), g.chosenGroups()
	size := g.recipient.Model.Size
	if members < size || len(chosen) == 0 || g.allowsLoads && g.countLoads(chosen) > g.maxLoads {
		return
	}
	if g.allowsLoads && g.recipient.coverageWith(0) > coldTradeMaxCoverage && !g.isSurplus() {
		return
	}
	formed := max(min(members/size, int(math.Ceil(g.recipient.Want))-g.recipient.Have), 1)
	gain := g.valueGained(formed)
	if g.allowsLoads {
		gain -= loadPenalty * float64(g.countLoads(chosen)) * g.recipient.Model.Load.Seconds()
	}
	keys := make([]string, len(chosen))
	for i, s := range chosen {
		keys[i] = s.Key
	}
	slices.Sort(keys)
	candidate := &tradeSearch{gain: gain, keys: keys}
	if gain <= 0 || g.found && !candidate.isBetter(g) {
		return
	}
	g.found, g.gain, g.keys, g.formed, g.given = true, gain, keys, formed, make(map[string]int)
	for i, o := range g.donors {
		if g.counts[i] > 0 {
			g.given[o.Model.Name] = g.counts[i]
		}
	}
}

// isSurplus reports whether the donors still meet their needs.
func (g *tradeSearch) isSurplus() bool {
	for i, o := range g.donors {
		if g.counts[i] > 0 && o.coverageWith(-g.counts[i]) < 1 {
			return false
		}
	}
	return true
}

// countLoads returns the minimum number of members of one new group that have to load.
func (g *tradeSearch) countLoads(chosen []ServingGroup) int {
	warm := 0
	for _, f := range g.free[g.domain] {
		if f.warmth(g.recipient.Model.Name) <= Staged {
			warm++
		}
	}
	for _, s := range chosen {
		warm += s.countWarm(g.recipient.Model.Name)
	}
	return max(g.recipient.Model.Size-warm, 0)
}

// valueGained returns the value of the trade: what the recipient gains once its groups serve, less
// what the donors lose.
func (g *tradeSearch) valueGained(formed int) float64 {
	hall := g.servingGroups[g.domain][0].Hall
	gain := func(n Need, groups int, part float64) float64 {
		before, after := g.value.worstHallLoss(n.Model.Name, nil), g.value.worstHallLoss(n.Model.Name, map[string]int{hall: groups})
		return g.value.valueOf(n, float64(n.Have)+float64(groups)*part, after) - g.value.valueOf(n, float64(n.Have), before)
	}
	total := gain(g.recipient, formed, servingFraction(g.recipient.Model, g.allowsLoads))
	for i, o := range g.donors {
		total += gain(o, -g.counts[i], 1)
	}
	return total
}

// isBetter reports whether a trade is better than another one: it gains more, or takes fewer
// groups.
func (g *tradeSearch) isBetter(o *tradeSearch) bool {
	if math.Abs(g.gain-o.gain) > valueEpsilon {
		return g.gain > o.gain
	}
	return cmp.Or(cmp.Compare(len(g.keys), len(o.keys)), slices.Compare(g.keys, o.keys)) < 0
}

func (g *tradeSearch) trade() Trade {
	return Trade{Model: g.recipient.Model.Name, Domain: g.domain, GroupKeys: g.keys, Given: g.given, Formed: g.formed}
}

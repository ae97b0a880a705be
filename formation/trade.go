package formation

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// tradeMargin is the minimum ratio, after a trade, of the coverage of a model that gave up
	// groups to that of the model that got them. Coverage is the ratio of available to wanted
	// replicas. The margin prevents replicas from switching back and forth between models.
	tradeMargin = 1.1
	// loadPenalty is the value that is deducted from a trade for each second of loading by each
	// member, since a load slows down other loads. It is small compared with the value of a group,
	// so that it only decides between similar trades.
	loadPenalty = 1e-5
	// coldTradeMaxCoverage is the highest coverage at which a model may get groups by a trade if
	// members of these groups have to load. There is no such limit if only surplus groups are
	// dissolved.
	coldTradeMaxCoverage = 0.5
	// maxDownFraction is the maximum fraction of a model's groups that trades may take out of
	// service at once. The limit applies to a trade only if another trade already takes groups of
	// the model out of service.
	maxDownFraction = 0.25
)

// ServingGroup is a group that takes requests.
type ServingGroup struct {
	Key         string
	Domain      string
	Model       string
	MemberCount int
	// Hall is the head's data hall.
	Hall string
	// ColdCounts holds the number of members that would have to load a model, by model.
	ColdCounts map[string]int
}

// countWarm returns how many members need no load for a model.
func (s ServingGroup) countWarm(model string) int { return s.MemberCount - s.ColdCounts[model] }

// Trade is a set of groups of one domain that are dissolved to form groups of another model, the
// recipient, which has too few replicas. The models of the dissolved groups are the donors.
type Trade struct {
	Recipient string
	Domain    string
	GroupKeys []string
	// DissolvedCounts holds the number of dissolved groups by model. FormedCount is the number of
	// groups that the recipient gets.
	DissolvedCounts map[string]int
	FormedCount     int
}

// applyTo updates needs with the groups that the trade dissolves and forms.
func (x Trade) applyTo(needs []Need) {
	for i, n := range needs {
		needs[i].Have -= x.DissolvedCounts[n.Model.Name]
		if n.Model.Name == x.Recipient {
			needs[i].Have += x.FormedCount
		}
	}
}

// takesOnlySurplus reports whether the models that give up groups still have all wanted replicas
// after the trade.
func (x Trade) takesOnlySurplus(needs []Need) bool {
	for _, n := range needs {
		if dissolved := x.DissolvedCounts[n.Model.Name]; dissolved > 0 && n.coverageWith(-dissolved) < 1 {
			return false
		}
	}
	return true
}

// addDownCounts adds the numbers of groups that the trade takes out of service to downCounts, by
// model.
func (x Trade) addDownCounts(downCounts map[string]int) {
	for model, count := range x.DissolvedCounts {
		downCounts[model] += count
	}
}

// FindTrade returns the best trade for the model with the greatest shortage, or for the next model
// if there is no trade for that one. All dissolved groups are in one domain. The models that give
// up groups keep a higher ratio of available to wanted replicas than the model that gets them.
// Workers that have to load are used only if that model has at most half of its wanted replicas, or
// if only surplus groups are dissolved. FindTrade returns false if there is no such trade.
func FindTrade(needs []Need, free []FreeWorker, servingGroups []ServingGroup) (Trade, bool) {
	return newTradeFinder(needs, free, servingGroups).bestTrade()
}

// tradeFinder finds the best trade for given needs, idle workers and serving groups.
type tradeFinder struct {
	needs         []Need
	planValuation *valuation
	free          map[string][]FreeWorker
	servingGroups map[string][]ServingGroup
	// downCounts holds the number of groups that ongoing trades take out of service, by model.
	downCounts map[string]int
	// maxLoads is the maximum number of loads that may begin now.
	maxLoads int
}

func newTradeFinder(needs []Need, free []FreeWorker, servingGroups []ServingGroup) *tradeFinder {
	t := &tradeFinder{
		needs: needs, planValuation: &valuation{needs: needs}, free: groupByDomain(free),
		servingGroups: make(map[string][]ServingGroup), maxLoads: math.MaxInt,
	}
	for _, s := range servingGroups {
		t.servingGroups[s.Domain] = append(t.servingGroups[s.Domain], s)
	}
	return t
}

// bestTrade returns the best trade for the model with the greatest shortage, or for the next model
// if there is no trade for that one.
func (t *tradeFinder) bestTrade() (Trade, bool) {
	byShortage := slices.Clone(t.needs)
	slices.SortStableFunc(byShortage, func(a, b Need) int { return cmp.Compare(b.shortage(), a.shortage()) })
	for _, n := range byShortage {
		if n.isMet() || n.Model.Size <= 0 {
			continue
		}
		if x, ok := t.bestTradeFor(n); ok {
			return x, true
		}
	}
	return Trade{}, false
}

// bestTradeFor returns the most valuable trade for a model over all domains. If trades are equally
// valuable, it prefers the one with the fewest groups.
func (t *tradeFinder) bestTradeFor(n Need) (Trade, bool) {
	var best *tradeSearch
	for _, domain := range slices.Sorted(maps.Keys(t.servingGroups)) {
		for _, allowsLoads := range []bool{false, true} {
			g := t.newTradeSearch(n, domain, allowsLoads)
			g.explore(0)
			if g.found && (best == nil || g.isBetter(best)) {
				best = g
			}
		}
	}
	if best == nil {
		return Trade{}, false
	}
	return best.foundTrade(), true
}

// tradeInsteadOf returns a trade that replaces a planned group whose members would have to load.
// The trade must be in the same domain, provide warm members and have a higher value.
func (t *tradeFinder) tradeInsteadOf(f Formation) (Trade, bool) {
	i := slices.IndexFunc(t.needs, func(n Need) bool { return n.Model.Name == f.Model.Name })
	if f.LoadCount == 0 || i < 0 {
		return Trade{}, false
	}
	for domain, workers := range t.free {
		if !slices.ContainsFunc(workers, func(w FreeWorker) bool { return w.ID == f.Members[0] }) {
			continue
		}
		n := t.needs[i]
		g := t.newTradeSearch(n, domain, false)
		g.explore(0)
		loadingValue := t.planValuation.valueOf(n, float64(n.Have)+servingFraction(n.Model, true), 0) - t.planValuation.valueOf(n, float64(n.Have), 0)
		return g.foundTrade(), g.found && g.gain > loadingValue
	}
	return Trade{}, false
}

// completesSurvivors reports whether a trade dissolves a single group in a domain with at least as
// many idle workers as that group has members. These idle workers are probably the survivors of a
// broken group.
func (t *tradeFinder) completesSurvivors(x Trade) bool {
	if len(x.GroupKeys) != 1 {
		return false
	}
	i := slices.IndexFunc(t.servingGroups[x.Domain], func(s ServingGroup) bool { return s.Key == x.GroupKeys[0] })
	return len(t.free[x.Domain]) >= t.servingGroups[x.Domain][i].MemberCount
}

// tradeSearch searches a domain for the groups to dissolve so that their members can serve the
// recipient. It tries the possible numbers of groups of each donor model.
type tradeSearch struct {
	*tradeFinder
	recipient   Need
	domain      string
	allowsLoads bool
	// idleCount is the number of idle workers of the domain that can be members of a new group.
	idleCount int
	// donors holds the models that can give up groups. groups holds these groups by donor, the best
	// first. chosenCounts holds the number of chosen groups by donor.
	donors       []Need
	groups       [][]ServingGroup
	chosenCounts []int
	// found, gain, groupKeys, dissolvedCounts and formedCount describe the best trade so far.
	found           bool
	gain            float64
	groupKeys       []string
	dissolvedCounts map[string]int
	formedCount     int
}

func (t *tradeFinder) newTradeSearch(n Need, domain string, allowsLoads bool) *tradeSearch {
	g := &tradeSearch{tradeFinder: t, recipient: n, domain: domain, allowsLoads: allowsLoads}
	for _, f := range t.free[domain] {
		if !f.IsUnreliable && (allowsLoads || f.warmth(n.Model.Name) <= Staged) {
			g.idleCount++
		}
	}
	for _, donor := range t.needs {
		groups := t.donatableGroups(donor, n, domain)
		if len(groups) > 0 {
			g.donors = append(g.donors, donor)
			g.groups = append(g.groups, groups)
		}
	}
	g.chosenCounts = make([]int, len(g.donors))
	return g
}

// donatableGroups returns the groups of one model, the donor, that can be dissolved in a domain for
// another model, the recipient. tradeMargin and maxDownFraction limit their number. Groups with the
// most members that are warm for the recipient come first.
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
	maxGroups := 0
	for maxGroups < len(all) && donor.coverageWith(-maxGroups-1) >= minCoverage {
		maxGroups++
	}
	if down := t.downCounts[donor.Model.Name]; down > 0 {
		maxGroups = min(maxGroups, max(int(maxDownFraction*float64(donor.Have+down))-down, 0))
	}
	return all[:maxGroups]
}

// explore tries every number of groups that each donor from the given index on can give up.
func (g *tradeSearch) explore(donor int) {
	if donor == len(g.donors) {
		g.considerChoice()
		return
	}
	for count := range len(g.groups[donor]) + 1 {
		g.chosenCounts[donor] = count
		g.explore(donor + 1)
		if g.idleCount+g.countFreed() >= g.recipient.Model.Size {
			// With more groups chosen, more than needed would be dissolved.
			break
		}
	}
	g.chosenCounts[donor] = 0
}

// chosenGroups returns the chosen groups.
func (g *tradeSearch) chosenGroups() []ServingGroup {
	var all []ServingGroup
	for i, count := range g.chosenCounts {
		all = append(all, g.groups[i][:count]...)
	}
	return all
}

// countFreed returns how many members of the chosen groups can serve the recipient.
func (g *tradeSearch) countFreed() int {
	total := 0
	for i, count := range g.chosenCounts {
		for _, s := range g.groups[i][:count] {
			if g.allowsLoads {
				total += s.MemberCount
			} else {
				total += s.countWarm(g.recipient.Model.Name)
			}
		}
	}
	return total
}

// considerChoice keeps the chosen groups if they are the best trade so far.
func (g *tradeSearch) considerChoice() {
	memberCount, chosen := g.idleCount+g.countFreed(), g.chosenGroups()
	size := g.recipient.Model.Size
	if memberCount < size || len(chosen) == 0 || g.allowsLoads && g.countLoads(chosen) > g.maxLoads {
		return
	}
	if g.allowsLoads && g.recipient.coverageWith(0) > coldTradeMaxCoverage && !g.takesOnlySurplus() {
		return
	}
	formedCount := max(min(memberCount/size, int(math.Ceil(g.recipient.Want))-g.recipient.Have), 1)
	gain := g.valueGained(formedCount)
	if g.allowsLoads {
		gain -= loadPenalty * float64(g.countLoads(chosen)) * g.recipient.Model.Load.Seconds()
	}
	keys := make([]string, len(chosen))
	for i, s := range chosen {
		keys[i] = s.Key
	}
	slices.Sort(keys)
	candidate := &tradeSearch{gain: gain, groupKeys: keys}
	if gain <= 0 || g.found && !candidate.isBetter(g) {
		return
	}
	g.found, g.gain, g.groupKeys, g.formedCount, g.dissolvedCounts = true, gain, keys, formedCount, make(map[string]int)
	for i, o := range g.donors {
		if g.chosenCounts[i] > 0 {
			g.dissolvedCounts[o.Model.Name] = g.chosenCounts[i]
		}
	}
}

// takesOnlySurplus reports whether the models of the chosen groups still have all wanted replicas
// after these groups are dissolved.
func (g *tradeSearch) takesOnlySurplus() bool {
	for i, o := range g.donors {
		if g.chosenCounts[i] > 0 && o.coverageWith(-g.chosenCounts[i]) < 1 {
			return false
		}
	}
	return true
}

// countLoads returns the minimum number of members of one new group that have to load.
func (g *tradeSearch) countLoads(chosen []ServingGroup) int {
	warmCount := 0
	for _, f := range g.free[g.domain] {
		if f.warmth(g.recipient.Model.Name) <= Staged {
			warmCount++
		}
	}
	for _, s := range chosen {
		warmCount += s.countWarm(g.recipient.Model.Name)
	}
	return max(g.recipient.Model.Size-warmCount, 0)
}

// valueGained returns the value of the trade. This is the recipient's gain once its groups serve,
// minus the donors' loss.
func (g *tradeSearch) valueGained(formedCount int) float64 {
	hall := g.servingGroups[g.domain][0].Hall
	gainOf := func(n Need, groups int, fraction float64) float64 {
		lossBefore, lossAfter := g.planValuation.worstHallLoss(n.Model.Name, nil), g.planValuation.worstHallLoss(n.Model.Name, map[string]int{hall: groups})
		return g.planValuation.valueOf(n, float64(n.Have)+float64(groups)*fraction, lossAfter) - g.planValuation.valueOf(n, float64(n.Have), lossBefore)
	}
	total := gainOf(g.recipient, formedCount, servingFraction(g.recipient.Model, g.allowsLoads))
	for i, o := range g.donors {
		total += gainOf(o, -g.chosenCounts[i], 1)
	}
	return total
}

// isBetter reports whether a trade gains more than another one. If both gain the same, the trade
// with fewer groups is better.
func (g *tradeSearch) isBetter(o *tradeSearch) bool {
	if math.Abs(g.gain-o.gain) > valueEpsilon {
		return g.gain > o.gain
	}
	return cmp.Or(cmp.Compare(len(g.groupKeys), len(o.groupKeys)), slices.Compare(g.groupKeys, o.groupKeys)) < 0
}

func (g *tradeSearch) foundTrade() Trade {
	return Trade{Recipient: g.recipient.Model.Name, Domain: g.domain, GroupKeys: g.groupKeys, DissolvedCounts: g.dissolvedCounts, FormedCount: g.formedCount}
}

package formation

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"quartzshelf.dev/fleet"
)

// Need is the wanted and the available number of replicas of a model.
type Need struct {
	Model fleet.Model
	// Want is the wanted number of replicas. Have is the number of replicas that serve or are being
	// formed.
	Want float64
	Have int
}

// isMet reports whether the model has at least as many replicas as wanted.
func (n Need) isMet() bool { return float64(n.Have) >= n.Want }

// coverageWith returns the ratio of available to wanted replicas if the given number of replicas is
// added. The number may be negative.
func (n Need) coverageWith(added int) float64 {
	if n.Want <= 0 {
		return math.Inf(1)
	}
	return float64(n.Have+added) / n.Want
}

// shortage returns the wanted number of replicas, divided by the available number plus one. A
// higher value means a greater shortage.
func (n Need) shortage() float64 { return n.Want / float64(n.Have+1) }

// Formation is a group to form.
type Formation struct {
	Model   fleet.Model
	Members []string
	// LoadCount is the number of members that load weights from the store.
	LoadCount int
}

// Input is the state that a plan is based on.
type Input struct {
	Needs []Need
	// Free holds the workers that can be put into new groups.
	Free []FreeWorker
	// WarmCounts holds the number of workers that are warm for a model, by domain and model.
	// Workers in groups are included.
	WarmCounts map[string]map[string]int
	// MaxLoads is the maximum number of loads from the store that may begin now. MaxStagings is the
	// maximum number of loads among them that are for idle workers.
	MaxLoads, MaxStagings int
	// IsListGrowing reports whether more workers are expected to be listed soon. The model with the
	// greatest shortage then waits until one domain has enough workers for it. The other models
	// wait for that model.
	IsListGrowing bool
	// HallLoss specifies how the plan accounts for the loss of data halls. ReplicasByHall holds the
	// number of available replicas by model and hall.
	HallLoss       HallLossPolicy
	ReplicasByHall map[string]map[string]int
	// ReleasedDomains holds the domains whose idle workers may form surplus groups although some
	// models lack replicas. The workers of such a domain are too few for a group of any of these
	// models.
	ReleasedDomains map[string]bool
	// TradeRecipients holds, by domain, the model for which groups are being traded there. Until
	// the trade is complete, only groups of that model that need no load are formed in the domain.
	TradeRecipients map[string]string
}

// Plan returns the groups to form now, and the models that idle workers should stage to become
// warm. All members of a group are in one domain.
//
// Groups that need no load are formed first, then groups that need loads. Models with a greater
// shortage come first. If a model has to wait for loads, no model with a smaller shortage may use
// them. Workers that were freed by a trade are reserved for the model that lacks replicas.
//
// If every model has enough replicas, the remaining warm workers form surplus groups. No workers
// are kept idle as spares, because a broken group is repaired with survivors of other groups or by
// a trade. A domain serves as few different models as possible, so that the survivors of broken
// groups can form complete ones. Finally, the plan is improved domain by domain.
func Plan(in Input) ([]Formation, []Staging) {
	p := newPlanner(in)
	all := p.planFormations()
	if !in.IsListGrowing && len(all) > 0 {
		all = p.improve(in, all)
	}
	if p.isWaitingForLoads {
		return all, nil
	}
	return all, p.planStagings()
}

func newPlanner(in Input) *planner {
	p := &planner{
		needs: slices.Clone(in.Needs), byDomain: groupByDomain(in.Free), warmCounts: in.WarmCounts,
		maxLoads: in.MaxLoads, maxStagings: in.MaxStagings, isListGrowing: in.IsListGrowing,
		releasedDomains: in.ReleasedDomains, tradeRecipients: in.TradeRecipients, hallLoss: in.HallLoss, groupsByHall: make(map[string]map[string]int),
	}
	for model, halls := range in.ReplicasByHall {
		p.groupsByHall[model] = maps.Clone(halls)
	}
	return p
}

func groupByDomain(free []FreeWorker) map[string][]FreeWorker {
	all := make(map[string][]FreeWorker)
	for _, f := range free {
		all[f.Domain] = append(all[f.Domain], f)
	}
	return all
}

// improve returns groups whose total value is at least that of the planned ones. It updates the
// planner's remaining workers and loads.
func (p *planner) improve(in Input, planned []Formation) []Formation {
	plan := newPartition(in.Needs, in)
	plan.isFixed = func(domain string) bool { return in.TradeRecipients[domain] != "" }
	plan.allowsSurplus = func(domain string) bool { return p.isPlanningSurplus && p.allowsSurplus(domain) }
	if p.isWaitingForLoads {
		// The loads that may begin are reserved for the group that waits for them.
		plan.maxLoads = 0
	}
	free := groupByDomain(in.Free)
	all := plan.improve(planned, free)
	p.maxStagings -= plan.plannedLoads - (in.MaxLoads - p.maxLoads)
	p.maxLoads = in.MaxLoads - plan.plannedLoads
	isMember := make(map[string]bool)
	for _, f := range all {
		for _, id := range f.Members {
			isMember[id] = true
		}
	}
	for domain, workers := range free {
		p.byDomain[domain] = slices.DeleteFunc(workers, func(w FreeWorker) bool { return isMember[w.ID] })
	}
	return all
}

// allowsSurplus reports whether a domain may form more groups than wanted.
func (p *planner) allowsSurplus(domain string) bool {
	hasShortage := slices.ContainsFunc(p.needs, func(n Need) bool { return !n.isMet() })
	return !hasShortage || p.releasedDomains[domain]
}

// planFormations plans groups one after another, each in the most suitable domain.
func (p *planner) planFormations() []Formation {
	var all []Formation
	for _, phase := range []struct {
		coldest   Warmth
		isSurplus bool
	}{{coldest: Staged}, {coldest: ColdOther}, {coldest: Staged, isSurplus: true}} {
		p.isPlanningSurplus = phase.isSurplus
		for {
			f, ok := p.nextFormation(phase.coldest)
			if !ok {
				break
			}
			p.maxLoads -= f.LoadCount
			p.maxStagings -= f.LoadCount
			all = append(all, f)
		}
	}
	return all
}

// planner holds the remaining workers and limits while a plan is made.
type planner struct {
	needs      []Need
	byDomain   map[string][]FreeWorker
	warmCounts map[string]map[string]int
	maxLoads   int
	// maxStagings is the maximum number of loads that may be for idle workers.
	maxStagings   int
	isListGrowing bool
	// isPlanningSurplus reports whether groups beyond the wanted number are being planned.
	isPlanningSurplus bool
	// isWaitingForLoads reports whether a wanted group has to wait for loads.
	isWaitingForLoads bool
	releasedDomains   map[string]bool
	tradeRecipients   map[string]string
	hallLoss          HallLossPolicy
	// groupsByHall counts existing and planned groups by model and data hall.
	groupsByHall map[string]map[string]int
}

// affinity returns the number of workers of a domain that are warm for the model, minus the number
// that are warm for other models.
func (p *planner) affinity(domain, model string) int {
	total := 0
	for name, count := range p.warmCounts[domain] {
		if name == model {
			total += count
		} else {
			total -= count
		}
	}
	return total
}

// nextFormation plans one group whose members are no colder than the given limit, and removes the
// members from the remaining workers.
func (p *planner) nextFormation(coldest Warmth) (Formation, bool) {
	needs, byDomain := p.needs, p.byDomain
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(needs[b].shortage(), needs[a].shortage()) })
	for _, i := range order {
		if needs[i].isMet() != p.isPlanningSurplus {
			continue
		}
		domain, chosen := p.bestDomain(needs[i].Model, coldest)
		if chosen == nil && p.isListGrowing && coldest == ColdOther {
			return Formation{}, false
		}
		if chosen == nil {
			continue
		}
		f := newFormation(needs[i].Model, chosen)
		if f.LoadCount > max(p.maxLoads, 0) {
			p.isWaitingForLoads = true
			return Formation{}, false
		}
		needs[i].Have++
		p.recordWarm(domain, f)
		p.recordInHall(f.Model.Name, chosen[0].Hall)
		byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(w FreeWorker) bool { return slices.Contains(f.Members, w.ID) })
		return f, true
	}
	return Formation{}, false
}

func newFormation(m fleet.Model, workers []FreeWorker) Formation {
	f := Formation{Model: m}
	for _, c := range workers {
		f.Members = append(f.Members, c.ID)
		if c.warmth(m.Name) >= Cold {
			f.LoadCount++
		}
	}
	return f
}

// recordInHall counts a new group in its head's hall.
func (p *planner) recordInHall(model, hall string) {
	if p.groupsByHall[model] == nil {
		p.groupsByHall[model] = make(map[string]int)
	}
	p.groupsByHall[model][hall]++
}

// recordWarm adds the members of a new group that have to load to the number of workers that are
// warm for its model.
func (p *planner) recordWarm(domain string, f Formation) {
	if p.warmCounts == nil {
		p.warmCounts = make(map[string]map[string]int)
	}
	if p.warmCounts[domain] == nil {
		p.warmCounts[domain] = make(map[string]int)
	}
	p.warmCounts[domain][f.Model.Name] += f.LoadCount
}

// suitability describes how well a domain suits a new group.
type suitability struct {
	// cost is the total cost of the members. groupsInHall is the number of groups of the model in
	// the domain's hall.
	cost, groupsInHall, affinity int
}

func (f suitability) isBetter(o suitability) bool {
	return cmp.Or(cmp.Compare(f.cost, o.cost), cmp.Compare(f.groupsInHall, o.groupsInHall), cmp.Compare(o.affinity, f.affinity)) < 0
}

// countGroupsInHall returns the number of groups of a model in a hall, or 0 if plans do not account
// for hall losses.
func (p *planner) countGroupsInHall(model, hall string) int {
	if p.hallLoss.MaxLost <= 0 {
		return 0
	}
	return p.groupsByHall[model][hall]
}

// isReserved reports whether a group of the model may not be formed in a domain because an ongoing
// trade reserves the domain's workers. Only groups of the trade's recipient whose members need no
// load are allowed.
func (p *planner) isReserved(domain, model string, coldest Warmth) bool {
	recipient, isTrading := p.tradeRecipients[domain]
	return isTrading && (recipient != model || coldest > Staged)
}

// bestDomain returns the domain with the warmest workers for a group of the model, and these
// workers. It returns nil if no domain has enough workers. Among domains of equal cost, it prefers
// the one with fewer groups of the model in its hall, then the one where more workers are warm for
// the model and fewer for others (see affinity).
func (p *planner) bestDomain(m fleet.Model, coldest Warmth) (string, []FreeWorker) {
	var bestWorkers []FreeWorker
	var bestDomainName string
	var bestFit suitability
	for _, name := range slices.Sorted(maps.Keys(p.byDomain)) {
		if p.isPlanningSurplus && !p.allowsSurplus(name) || p.isReserved(name, m.Name, coldest) {
			continue
		}
		chosen, cost := warmestWorkers(m, p.byDomain[name], coldest)
		if chosen == nil {
			continue
		}
		candidate := suitability{cost: cost, groupsInHall: p.countGroupsInHall(m.Name, chosen[0].Hall), affinity: p.affinity(name, m.Name)}
		if bestWorkers == nil || candidate.isBetter(bestFit) {
			bestWorkers, bestDomainName, bestFit = chosen, name, candidate
		}
	}
	return bestDomainName, bestWorkers
}

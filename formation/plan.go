package formation

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"quartzshelf.dev/fleet"
)

// Need is the demand for a model and its current supply.
type Need struct {
	Model fleet.Model
	// Want is the wanted number of replicas, Have the number serving or being formed.
	Want float64
	Have int
}

// isMet reports whether no further replica is wanted.
func (n Need) isMet() bool { return float64(n.Have) >= n.Want }

// coverageWith returns the fraction of the wanted replicas that would exist with more of them.
func (n Need) coverageWith(more int) float64 {
	if n.Want <= 0 {
		return math.Inf(1)
	}
	return float64(n.Have+more) / n.Want
}

// shortage returns how short the model is; higher is shorter.
func (n Need) shortage() float64 { return n.Want / float64(n.Have+1) }

// Formation is a group to form.
type Formation struct {
	Model   fleet.Model
	Members []string
	// Loads is how many members load weights from the store.
	Loads int
}

// Input is the input of a plan.
type Input struct {
	Needs []Need
	// Free holds the workers that can be ordered into groups.
	Free []FreeWorker
	// Warm counts, by domain and model, the workers that are warm for the model, including those
	// in groups.
	Warm map[string]map[string]int
	// MaxLoads is how many loads from the store may begin, MaxStagings how many of them may be for
	// idle workers.
	MaxLoads, MaxStagings int
	// ListGrowing reports whether more workers are about to be listed: the shortest model then
	// waits for enough of them in one domain, and the other models wait for it.
	ListGrowing bool
	// HallLoss tells how the plan accounts for the loss of data halls. Serving counts the replicas
	// in Needs by model and hall.
	HallLoss HallLossPolicy
	Serving  map[string]map[string]int
	// Released holds the domains whose idle workers cannot complete a group of a model that is
	// short, and may serve another one in the meantime.
	Released map[string]bool
	// Trading holds, by domain, the model for which groups are being traded there. Until the trade
	// ends, only groups of that model that need no load are formed in the domain.
	Trading map[string]string
}

// Plan returns the groups to form now, and the models that idle workers should stage so that they
// are warm when needed. Groups lie within one domain.
//
// Groups that need no load are formed first, for the shortest model first, then groups that need
// loads. If no model is short, the remaining warm workers form surplus groups: a broken group is
// repaired by survivors of others or by a trade rather than by idle spares. A model that waits for
// loads is not overtaken by a less short one that needs fewer, and workers that were traded for a
// model are reserved for it. Domains are kept to one model as far as possible, so that the
// survivors of broken groups can form complete ones. The result is then improved domain by domain.
func Plan(in Input) ([]Formation, []Staging) {
	p := newPlanner(in)
	all := p.formations()
	if !in.ListGrowing && len(all) > 0 {
		all = p.improved(in, all)
	}
	if p.isWaitingForLoads {
		return all, nil
	}
	return all, p.stagings()
}

func newPlanner(in Input) *planner {
	p := &planner{
		needs: slices.Clone(in.Needs), byDomain: byDomain(in.Free), warm: in.Warm,
		maxLoads: in.MaxLoads, maxStagings: in.MaxStagings, listGrowing: in.ListGrowing,
		released: in.Released, trading: in.Trading, hallLoss: in.HallLoss, hallCounts: make(map[string]map[string]int),
	}
	for model, halls := range in.Serving {
		p.hallCounts[model] = maps.Clone(halls)
	}
	return p
}

func byDomain(free []FreeWorker) map[string][]FreeWorker {
	all := make(map[string][]FreeWorker)
	for _, f := range free {
		all[f.Domain] = append(all[f.Domain], f)
	}
	return all
}

// improved returns groups with at least the value of the planned ones, and removes their members
// from the remaining workers.
func (p *planner) improved(in Input, planned []Formation) []Formation {
	plan := newPartition(in.Needs, in)
	plan.isFixed = func(domain string) bool { return in.Trading[domain] != "" }
	plan.allowsSurplus = func(domain string) bool { return p.isPlanningSurplus && p.allowsSurplus(domain) }
	if p.isWaitingForLoads {
		// The available loads are kept for the group that waits for them.
		plan.maxLoads = 0
	}
	free := byDomain(in.Free)
	all := plan.improve(planned, free)
	p.maxStagings -= plan.loads - (in.MaxLoads - p.maxLoads)
	p.maxLoads = in.MaxLoads - plan.loads
	taken := make(map[string]bool)
	for _, f := range all {
		for _, id := range f.Members {
			taken[id] = true
		}
	}
	for domain, workers := range free {
		p.byDomain[domain] = slices.DeleteFunc(workers, func(w FreeWorker) bool { return taken[w.ID] })
	}
	return all
}

// allowsSurplus reports whether a domain may form more groups than wanted.
func (p *planner) allowsSurplus(domain string) bool {
	short := slices.ContainsFunc(p.needs, func(n Need) bool { return !n.isMet() })
	return !short || p.released[domain]
}

// formations forms groups one after another, each in the most suitable domain.
func (p *planner) formations() []Formation {
	var all []Formation
	for _, step := range []struct {
		limit  Warmth
		beyond bool
	}{{limit: Staged}, {limit: ColdOther}, {limit: Staged, beyond: true}} {
		p.isPlanningSurplus = step.beyond
		for {
			f, ok := p.nextFormation(step.limit)
			if !ok {
				break
			}
			p.maxLoads -= f.Loads
			p.maxStagings -= f.Loads
			all = append(all, f)
		}
	}
	return all
}

// planner holds the remaining workers and limits while a plan is made.
type planner struct {
	needs    []Need
	byDomain map[string][]FreeWorker
	warm     map[string]map[string]int
	maxLoads int
	// maxStagings is how many of the loads may be for idle workers.
	maxStagings int
	listGrowing bool
	// isPlanningSurplus reports whether groups beyond the wanted number are being planned.
	isPlanningSurplus bool
	// isWaitingForLoads reports whether a wanted group has to wait for loads.
	isWaitingForLoads bool
	released          map[string]bool
	trading           map[string]string
	hallLoss          HallLossPolicy
	// hallCounts counts existing and planned groups by model and data hall.
	hallCounts map[string]map[string]int
}

// affinity returns how well a domain suits a model compared with other models.
func (p *planner) affinity(domain, model string) int {
	total := 0
	for name, count := range p.warm[domain] {
		if name == model {
			total += count
		} else {
			total -= count
		}
	}
	return total
}

// nextFormation forms one group out of workers at least as warm as limit and removes its members
// from the remaining workers.
func (p *planner) nextFormation(limit Warmth) (Formation, bool) {
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
		domain, chosen := p.bestDomain(needs[i].Model, limit)
		if chosen == nil && p.listGrowing && limit == ColdOther {
			return Formation{}, false
		}
		if chosen == nil {
			continue
		}
		f := newFormation(needs[i].Model, chosen)
		if f.Loads > max(p.maxLoads, 0) {
			p.isWaitingForLoads = true
			return Formation{}, false
		}
		needs[i].Have++
		p.countWarmed(domain, f)
		p.countPlaced(f.Model.Name, chosen[0].Hall)
		byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(w FreeWorker) bool { return slices.Contains(f.Members, w.ID) })
		return f, true
	}
	return Formation{}, false
}

func newFormation(m fleet.Model, chosen []FreeWorker) Formation {
	f := Formation{Model: m}
	for _, c := range chosen {
		f.Members = append(f.Members, c.ID)
		if c.warmth(m.Name) >= Cold {
			f.Loads++
		}
	}
	return f
}

// countPlaced counts a new group in its head's hall.
func (p *planner) countPlaced(model, hall string) {
	if p.hallCounts[model] == nil {
		p.hallCounts[model] = make(map[string]int)
	}
	p.hallCounts[model][hall]++
}

// countWarmed counts the members of a new group as warm for its model.
func (p *planner) countWarmed(domain string, f Formation) {
	if p.warm == nil {
		p.warm = make(map[string]map[string]int)
	}
	if p.warm[domain] == nil {
		p.warm[domain] = make(map[string]int)
	}
	p.warm[domain][f.Model.Name] += f.Loads
}

// fit tells how well a domain suits a new group.
type fit struct {
	// cost is the cost of the members, crowding the number of groups of the model in the domain's
	// hall.
	cost, crowding, affinity int
}

func (f fit) isBetter(o fit) bool {
	return cmp.Or(cmp.Compare(f.cost, o.cost), cmp.Compare(f.crowding, o.crowding), cmp.Compare(o.affinity, f.affinity)) < 0
}

// hallCrowding returns the number of groups of a model in a hall, or 0 if the loss of halls is not
// considered.
func (p *planner) hallCrowding(model, hall string) int {
	if p.hallLoss.MaxLost <= 0 {
		return 0
	}
	return p.hallCounts[model][hall]
}

// isReserved reports whether a domain's workers are reserved for an ongoing trade.
func (p *planner) isReserved(domain, model string, limit Warmth) bool {
	recipient, isTrading := p.trading[domain]
	return isTrading && (recipient != model || limit > Staged)
}

// bestDomain returns the domain with the warmest workers for a group of the model, and these
// workers; nil if no domain has enough. Ties are decided by how well the domain suits the model.
func (p *planner) bestDomain(m fleet.Model, limit Warmth) (string, []FreeWorker) {
	var best []FreeWorker
	var bestName string
	var bestFit fit
	for _, name := range slices.Sorted(maps.Keys(p.byDomain)) {
		if p.isPlanningSurplus && !p.allowsSurplus(name) || p.isReserved(name, m.Name, limit) {
			continue
		}
		chosen, cost := warmestWorkers(m, p.byDomain[name], limit)
		if chosen == nil {
			continue
		}
		fit := fit{cost: cost, crowding: p.hallCrowding(m.Name, chosen[0].Hall), affinity: p.affinity(name, m.Name)}
		if best == nil || fit.isBetter(bestFit) {
			best, bestName, bestFit = chosen, name, fit
		}
	}
	return bestName, best
}

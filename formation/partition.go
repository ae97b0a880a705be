package formation

import (
	"maps"
	"slices"

	"quartzshelf.dev/fleet"
)

const (
	// valueEpsilon is the difference in value up to which two divisions are considered equal. It is
	// larger than rounding errors.
	valueEpsilon = 1e-9
	// maxPasses is the maximum number of times that each domain is divided anew. The second pass
	// takes into account how the first one changed the other domains.
	maxPasses = 2
)

// division is a plan for a domain's free workers, with counts by model.
type division struct {
	// warmCounts holds the number of new groups of each model that need no load. loadingCounts
	// holds the number of those that need loads.
	warmCounts, loadingCounts []int
	// loadCount is the number of workers that load. cost is the total cost of the assigned workers.
	// placedWorkers is the number of workers in groups.
	loadCount, cost, placedWorkers int
	formations                     []Formation
}

// partition divides the free workers of all domains into groups so that the value for the whole
// fleet is as high as possible. It searches for the best division of one domain while the others
// stay unchanged. It goes through the domains until none of them improves, at most maxPasses times.
type partition struct {
	planValuation *valuation
	models        []fleet.Model
	// The following counts are by model and include the planned groups. meanReplicas is the mean
	// number of serving replicas over the planning horizon, groupCounts the number of groups, and
	// addedByHall the number of new groups by data hall.
	meanReplicas []float64
	groupCounts  []int
	addedByHall  []map[string]int
	plannedLoads int
	maxLoads     int
	// allowsSurplus reports whether a domain may form more groups than wanted. isFixed reports
	// whether its plan must not change.
	allowsSurplus, isFixed func(domain string) bool
}

func newPartition(needs []Need, in Input) *partition {
	p := &partition{
		planValuation: &valuation{needs: needs, hallLoss: in.HallLoss, replicasByHall: in.ReplicasByHall},
		maxLoads:      in.MaxLoads,
	}
	for _, n := range needs {
		p.models = append(p.models, n.Model)
		p.meanReplicas = append(p.meanReplicas, float64(n.Have))
		p.groupCounts = append(p.groupCounts, n.Have)
		p.addedByHall = append(p.addedByHall, make(map[string]int))
	}
	return p
}

// totalValue returns the value of the plan, summed over all models.
func (p *partition) totalValue() float64 {
	total := 0.0
	for i, n := range p.planValuation.needs {
		total += p.planValuation.valueOf(n, p.meanReplicas[i], p.planValuation.worstHallLoss(n.Model.Name, p.addedByHall[i]))
	}
	return total
}

// addDivision adds a division to the plan, or removes it if sign is -1.
func (p *partition) addDivision(d division, hall string, sign int) {
	for i, m := range p.models {
		p.meanReplicas[i] += float64(sign) * (float64(d.warmCounts[i])*servingFraction(m, false) + float64(d.loadingCounts[i])*servingFraction(m, true))
		p.groupCounts[i] += sign * (d.warmCounts[i] + d.loadingCounts[i])
		p.addedByHall[i][hall] += sign * (d.warmCounts[i] + d.loadingCounts[i])
	}
	p.plannedLoads += sign * d.loadCount
}

// divisionOf returns the division that consists of the given groups.
func (p *partition) divisionOf(formations []Formation, workers map[string]FreeWorker) division {
	d := division{warmCounts: make([]int, len(p.models)), loadingCounts: make([]int, len(p.models)), formations: formations}
	for _, f := range formations {
		i := slices.IndexFunc(p.models, func(m fleet.Model) bool { return m.Name == f.Model.Name })
		if f.LoadCount > 0 {
			d.loadingCounts[i]++
		} else {
			d.warmCounts[i]++
		}
		d.loadCount += f.LoadCount
		d.placedWorkers += len(f.Members)
		for _, id := range f.Members {
			d.cost += workers[id].cost(f.Model.Name)
		}
	}
	return d
}

// improve returns groups whose total value is at least that of the given ones. They need no more
// loads than may begin.
func (p *partition) improve(formations []Formation, free map[string][]FreeWorker) []Formation {
	workers := make(map[string]FreeWorker)
	planned := make(map[string][]Formation)
	for _, list := range free {
		for _, w := range list {
			workers[w.ID] = w
		}
	}
	for _, f := range formations {
		domain := workers[f.Members[0]].Domain
		planned[domain] = append(planned[domain], f)
	}
	divisions := make(map[string]division)
	for domain, list := range free {
		divisions[domain] = p.divisionOf(planned[domain], workers)
		p.addDivision(divisions[domain], hallOf(list), 1)
	}
	changed := false
	for range min(maxPasses, len(free)) {
		if !p.improvePass(free, divisions) {
			break
		}
		changed = true
	}
	if !changed {
		return formations
	}
	var all []Formation
	for _, domain := range slices.Sorted(maps.Keys(divisions)) {
		all = append(all, divisions[domain].formations...)
	}
	return all
}

// improvePass divides each domain anew, and reports whether any division improved.
func (p *partition) improvePass(free map[string][]FreeWorker, divisions map[string]division) bool {
	changed := false
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		if p.isFixed(domain) {
			continue
		}
		if d, ok := p.betterDivision(domain, free[domain], divisions[domain]); ok {
			divisions[domain] = d
			changed = true
		}
	}
	return changed
}

// hallOf returns the data hall of a domain's workers, which is that of the first one.
func hallOf(workers []FreeWorker) string {
	if len(workers) == 0 {
		return ""
	}
	return workers[0].Hall
}

// betterDivision divides a domain anew while the others stay unchanged. It reports whether the
// result has a higher value than the current division, or the same value and fewer idle workers, or
// else a lower cost.
func (p *partition) betterDivision(domain string, workers []FreeWorker, current division) (division, bool) {
	hall := hallOf(workers)
	p.addDivision(current, hall, -1)
	s := p.newSearch(domain, workers, current)
	s.explore(0, 0)
	found := s.found
	if found {
		current = s.bestDivision()
	}
	p.addDivision(current, hall, 1)
	return current, found
}

package formation

import (
	"maps"
	"slices"

	"quartzshelf.dev/fleet"
)

const (
	// valueEpsilon is the difference in value below which two divisions are considered equal, so
	// that fewer and cheaper moves decide. Rounding errors are smaller.
	valueEpsilon = 1e-9
	// maxPasses is how often each domain is divided anew given the current plans of the others.
	// The second pass takes the changes of the first into account; each pass costs as much as
	// searching all domains.
	maxPasses = 2
)

// division is a plan for a domain's free workers, with counts by model.
type division struct {
	// warm and loading count the new groups that need no load and those that do.
	warm, loading []int
	// loads is how many workers load, cost the total cost of the assignments, placed how many
	// workers the groups have.
	loads, cost, placed int
	formations          []Formation
}

// partition divides the free workers of domains into groups so that the value for the whole fleet
// is as high as possible. It searches each domain exactly, by the numbers of groups, while the
// others stay unchanged, and goes through the domains repeatedly until none improves or maxPasses
// is reached.
type partition struct {
	value  *valuation
	models []fleet.Model
	// These include what is planned, by model: replicas is the mean number serving over the
	// horizon, groups the number of groups, addedByHall the new groups by data hall.
	replicas    []float64
	groups      []int
	addedByHall []map[string]int
	loads       int
	maxLoads    int
	// allowsSurplus reports whether a domain may form more groups than wanted, isFixed whether its
	// plan must not change.
	allowsSurplus, isFixed func(domain string) bool
}

func newPartition(needs []Need, in Input) *partition {
	p := &partition{
		value:    &valuation{needs: needs, hallLoss: in.HallLoss, serving: in.Serving},
		maxLoads: in.MaxLoads,
	}
	for _, n := range needs {
		p.models = append(p.models, n.Model)
		p.replicas = append(p.replicas, float64(n.Have))
		p.groups = append(p.groups, n.Have)
		p.addedByHall = append(p.addedByHall, make(map[string]int))
	}
	return p
}

// totalValue returns the value of all replicas together.
func (p *partition) totalValue() float64 {
	total := 0.0
	for i, n := range p.value.needs {
		total += p.value.valueOf(n, p.replicas[i], p.value.worstHallLoss(n.Model.Name, p.addedByHall[i]))
	}
	return total
}

// addDivision adds a division to the plan, or removes it if sign is -1.
func (p *partition) addDivision(d division, hall string, sign int) {
	for i, m := range p.models {
		p.replicas[i] += float64(sign) * (float64(d.warm[i])*servingFraction(m, false) + float64(d.loading[i])*servingFraction(m, true))
		p.groups[i] += sign * (d.warm[i] + d.loading[i])
		p.addedByHall[i][hall] += sign * (d.warm[i] + d.loading[i])
	}
	p.loads += sign * d.loads
}

// divisionOf returns the division that consists of the given groups.
func (p *partition) divisionOf(formations []Formation, workers map[string]FreeWorker) division {
	d := division{warm: make([]int, len(p.models)), loading: make([]int, len(p.models)), formations: formations}
	for _, f := range formations {
		i := slices.IndexFunc(p.models, func(m fleet.Model) bool { return m.Name == f.Model.Name })
		if f.Loads > 0 {
			d.loading[i]++
		} else {
			d.warm[i]++
		}
		d.loads += f.Loads
		d.placed += len(f.Members)
		for _, id := range f.Members {
			d.cost += workers[id].cost(f.Model.Name)
		}
	}
	return d
}

// improve returns groups with at least the value of the given ones, with no more loads than may
// begin.
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

// improvePass divides each domain anew and reports whether any improved.
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

// hallOf returns the data hall of a domain's workers: that of the first one.
func hallOf(workers []FreeWorker) string {
	if len(workers) == 0 {
		return ""
	}
	return workers[0].Hall
}

// betterDivision divides a domain anew while the others stay unchanged, and reports whether the
// result has a higher value than the current division, or the same value with fewer or cheaper
// moves.
func (p *partition) betterDivision(domain string, workers []FreeWorker, current division) (division, bool) {
	hall := hallOf(workers)
	p.addDivision(current, hall, -1)
	s := p.newSearch(domain, workers, current)
	s.explore(0, 0)
	found := s.found
	if found {
		current = s.division()
	}
	p.addDivision(current, hall, 1)
	return current, found
}

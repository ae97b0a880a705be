package formation

import (
	"cmp"
	"math"
	"slices"
)

// search explores the numbers of groups of each model that a domain's free workers can form.
type search struct {
	*partition
	// order holds the model indexes by decreasing size; limits is the maximum number of groups of
	// each.
	order, limits []int
	maxLoads      int
	// assignments holds the assignment at each depth of the search, counts the numbers of groups.
	assignments []*assignment
	counts      []int
	// modelValues holds a model's value, by model, groups without loads and groups with loads.
	modelValues [][][]float64
	// maxValues holds the highest value of a model, by model and number of groups.
	maxValues [][]float64
	// upperBounds holds the highest total value of the models from a depth on, by depth and number
	// of workers.
	upperBounds [][]float64
	// value, cost, placed and best describe the best division so far.
	value        float64
	cost, placed int
	found        bool
	best         *assignment
}

func (p *partition) newSearch(domain string, workers []FreeWorker, current division) *search {
	s := &search{
		partition: p, maxLoads: max(p.maxLoads-p.loads, current.loads),
		limits: make([]int, len(p.models)), counts: make([]int, len(p.models)), modelValues: make([][][]float64, len(p.models)),
	}
	allowsSurplus := p.allowsSurplus(domain)
	if allowsSurplus {
		// Surplus groups must not need loads.
		s.maxLoads = current.loads
	}
	initial := newAssignment(p.models, workers)
	for range len(p.models) + 1 {
		s.assignments = append(s.assignments, initial.clone())
	}
	s.best = initial.clone()
	for i, n := range p.value.needs {
		if n.Model.Size <= 0 {
			continue
		}
		s.order = append(s.order, i)
		s.limits[i] = len(workers) / n.Model.Size
		if !allowsSurplus {
			wanted := max(int(math.Ceil(n.Want))-p.groups[i], current.warm[i]+current.loading[i])
			s.limits[i] = min(s.limits[i], max(wanted, 0))
		}
		s.modelValues[i] = p.modelValues(i, s.limits[i], max(s.maxLoads, 0), hallOf(workers))
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(p.models[b].Size, p.models[a].Size) })
	s.computeBounds(initial)
	s.value, s.cost, s.placed = s.divisionValue(current.warm, current.loading), current.cost, current.placed
	return s
}

// modelValues returns a model's value with more groups in a hall, by the number of groups that
// need no load and the number that do, which is at most loads.
func (p *partition) modelValues(i, limit, loads int, hall string) [][]float64 {
	n, m := p.value.needs[i], p.models[i]
	table := make([][]float64, limit+1)
	for warm := range table {
		table[warm] = make([]float64, min(limit-warm, loads)+1)
		for loading := range table[warm] {
			p.addedByHall[i][hall] += warm + loading
			replicas := p.replicas[i] + float64(warm)*servingFraction(m, false) + float64(loading)*servingFraction(m, true)
			table[warm][loading] = p.value.valueOf(n, replicas, p.value.worstHallLoss(m.Name, p.addedByHall[i]))
			p.addedByHall[i][hall] -= warm + loading
		}
	}
	return table
}

// divisionValue returns the value of a division.
func (s *search) divisionValue(warm, loading []int) float64 {
	total := 0.0
	for _, i := range s.order {
		total += s.modelValues[i][warm[i]][loading[i]]
	}
	return total
}

// computeBounds computes upper bounds for the value of the models from each depth on, by number of
// workers, as if each model could have the workers that suit it best. It is the knapsack
// recurrence.
func (s *search) computeBounds(all *assignment) {
	workers := all.countUnassigned()
	s.maxValues = make([][]float64, len(s.models))
	s.upperBounds = make([][]float64, len(s.order)+1)
	s.upperBounds[len(s.order)] = make([]float64, workers+1)
	for depth := len(s.order) - 1; depth >= 0; depth-- {
		i := s.order[depth]
		best := s.maxModelValues(i, all.countWarm(i))
		s.maxValues[i] = best
		s.upperBounds[depth] = make([]float64, workers+1)
		for remaining := range s.upperBounds[depth] {
			highest := math.Inf(-1)
			for count := 0; count < len(best) && count*s.models[i].Size <= remaining; count++ {
				highest = max(highest, best[count]+s.upperBounds[depth+1][remaining-count*s.models[i].Size])
			}
			s.upperBounds[depth][remaining] = highest
		}
	}
}

// maxModelValues returns a model's value by number of new groups if the given number of workers
// need no load for it.
func (s *search) maxModelValues(i, warm int) []float64 {
	size := s.models[i].Size
	var all []float64
	for count := range s.modelValues[i] {
		loads := max(count*size-warm, 0)
		if loads > s.maxLoads && loads > 0 {
			break
		}
		loading := (loads + size - 1) / size
		all = append(all, s.modelValues[i][count-loading][loading])
	}
	return all
}

// explore tries the numbers of groups of the models from the given depth on that can reach the
// best value so far; the models before contribute earned.
func (s *search) explore(depth int, earned float64) {
	current := s.assignments[depth]
	if depth == len(s.order) {
		s.considerAssignment(current)
		return
	}
	i := s.order[depth]
	next, remaining := s.assignments[depth+1], current.countUnassigned()
	for count := min(len(s.maxValues[i])-1, remaining/s.models[i].Size); count >= 0; count-- {
		best := earned + s.maxValues[i][count]
		if best+s.upperBounds[depth+1][remaining-count*s.models[i].Size] < s.value-valueEpsilon {
			continue
		}
		next.copyFrom(current)
		if !next.assign(i, count*s.models[i].Size) || s.countLoads(next) > max(s.maxLoads, 0) {
			continue
		}
		s.counts[i] = count
		s.explore(depth+1, best)
	}
	s.counts[i] = 0
}

// countLoads returns how many workers load in an assignment.
func (s *search) countLoads(candidate *assignment) int {
	total := 0
	for i := range s.models {
		total += candidate.countLoads(i)
	}
	return total
}

// considerAssignment keeps an assignment if it is the best so far. For equal values it prefers the
// one that leaves fewer workers idle, then the one with fewer and cheaper moves.
func (s *search) considerAssignment(candidate *assignment) {
	total, placed := 0.0, 0
	for _, i := range s.order {
		loading := s.countLoadingGroups(candidate, i)
		total += s.modelValues[i][s.counts[i]-loading][loading]
		placed += s.counts[i] * s.models[i].Size
	}
	if total < s.value-valueEpsilon {
		return
	}
	cost := candidate.totalCost()
	isSameValue := total <= s.value+valueEpsilon
	if isSameValue && cmp.Or(cmp.Compare(placed, s.placed), cmp.Compare(s.cost, cost)) <= 0 {
		return
	}
	s.value, s.cost, s.placed, s.found = total, cost, placed, true
	s.best.copyFrom(candidate)
}

// countLoadingGroups returns how many groups of a model have members that load. Loading members
// are put together, so this is the minimum.
func (s *search) countLoadingGroups(candidate *assignment, i int) int {
	size := s.models[i].Size
	return (candidate.countLoads(i) + size - 1) / size
}

// division returns the best division found.
func (s *search) division() division {
	workers := make(map[string]FreeWorker)
	for _, members := range s.best.members {
		for _, w := range members {
			workers[w.ID] = w
		}
	}
	return s.divisionOf(s.best.formations(), workers)
}

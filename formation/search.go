package formation

import (
	"cmp"
	"math"
	"slices"
)

// search looks for the best division of a domain's free workers. It tries the possible numbers of
// groups of each model.
type search struct {
	*partition
	// modelOrder holds the model indexes by decreasing size. maxCounts holds the maximum number of
	// groups of each model.
	modelOrder, maxCounts []int
	maxLoads              int
	// assignments holds the assignment at each depth of the search. chosenCounts holds the number
	// of groups chosen for each model.
	assignments  []*assignment
	chosenCounts []int
	// modelValues holds the value of a model, by model, number of groups without loads and number
	// of groups with loads.
	modelValues [][][]float64
	// maxValues holds the highest possible value of a model, by model and number of groups.
	maxValues [][]float64
	// upperBounds holds upper bounds for the total value of the models that are not yet decided, by
	// depth and number of available workers.
	upperBounds [][]float64
	// bestValue, bestCost, bestPlacedWorkers and bestAssignment describe the best division so far.
	// found reports whether it is better than the current one.
	bestValue                   float64
	bestCost, bestPlacedWorkers int
	found                       bool
	bestAssignment              *assignment
}

func (p *partition) newSearch(domain string, workers []FreeWorker, current division) *search {
	s := &search{
		partition: p, maxLoads: max(p.maxLoads-p.plannedLoads, current.loadCount),
		maxCounts: make([]int, len(p.models)), chosenCounts: make([]int, len(p.models)), modelValues: make([][][]float64, len(p.models)),
	}
	allowsSurplus := p.allowsSurplus(domain)
	if allowsSurplus {
		// Surplus groups must not need loads.
		s.maxLoads = current.loadCount
	}
	initial := newAssignment(p.models, workers)
	for range len(p.models) + 1 {
		s.assignments = append(s.assignments, initial.clone())
	}
	s.bestAssignment = initial.clone()
	for i, n := range p.planValuation.needs {
		if n.Model.Size <= 0 {
			continue
		}
		s.modelOrder = append(s.modelOrder, i)
		s.maxCounts[i] = len(workers) / n.Model.Size
		if !allowsSurplus {
			maxWanted := max(int(math.Ceil(n.Want))-p.groupCounts[i], current.warmCounts[i]+current.loadingCounts[i])
			s.maxCounts[i] = min(s.maxCounts[i], max(maxWanted, 0))
		}
		s.modelValues[i] = p.modelValues(i, s.maxCounts[i], max(s.maxLoads, 0), hallOf(workers))
	}
	slices.SortStableFunc(s.modelOrder, func(a, b int) int { return cmp.Compare(p.models[b].Size, p.models[a].Size) })
	s.computeBounds(initial)
	s.bestValue, s.bestCost, s.bestPlacedWorkers = s.divisionValue(current.warmCounts, current.loadingCounts), current.cost, current.placedWorkers
	return s
}

// modelValues returns the value of a model with new groups in a hall. The value is indexed by the
// number of new groups that need no load and the number that need loads. The sum of both numbers is
// at most maxGroups, and the second number is at most maxLoads.
func (p *partition) modelValues(i, maxGroups, maxLoads int, hall string) [][]float64 {
	n, m := p.planValuation.needs[i], p.models[i]
	table := make([][]float64, maxGroups+1)
	for warmCount := range table {
		table[warmCount] = make([]float64, min(maxGroups-warmCount, maxLoads)+1)
		for loadingCount := range table[warmCount] {
			p.addedByHall[i][hall] += warmCount + loadingCount
			replicas := p.meanReplicas[i] + float64(warmCount)*servingFraction(m, false) + float64(loadingCount)*servingFraction(m, true)
			table[warmCount][loadingCount] = p.planValuation.valueOf(n, replicas, p.planValuation.worstHallLoss(m.Name, p.addedByHall[i]))
			p.addedByHall[i][hall] -= warmCount + loadingCount
		}
	}
	return table
}

// divisionValue returns the value of a division. warmCounts and loadingCounts hold the numbers of
// new groups without and with loads by model.
func (s *search) divisionValue(warmCounts, loadingCounts []int) float64 {
	total := 0.0
	for _, i := range s.modelOrder {
		total += s.modelValues[i][warmCounts[i]][loadingCounts[i]]
	}
	return total
}

// computeBounds computes, for each depth of the search, upper bounds for the total value of the
// models that are not yet decided, by the number of available workers. It uses the knapsack
// recurrence and assumes that each model gets the workers that suit it best.
func (s *search) computeBounds(initial *assignment) {
	workers := initial.countUnassigned()
	s.maxValues = make([][]float64, len(s.models))
	s.upperBounds = make([][]float64, len(s.modelOrder)+1)
	s.upperBounds[len(s.modelOrder)] = make([]float64, workers+1)
	for depth := len(s.modelOrder) - 1; depth >= 0; depth-- {
		i := s.modelOrder[depth]
		values := s.maxModelValues(i, initial.countWarm(i))
		s.maxValues[i] = values
		s.upperBounds[depth] = make([]float64, workers+1)
		for remaining := range s.upperBounds[depth] {
			highest := math.Inf(-1)
			for count := 0; count < len(values) && count*s.models[i].Size <= remaining; count++ {
				highest = max(highest, values[count]+s.upperBounds[depth+1][remaining-count*s.models[i].Size])
			}
			s.upperBounds[depth][remaining] = highest
		}
	}
}

// maxModelValues returns the highest possible value of a model by its number of new groups.
// warmCount is the number of workers that need no load for the model.
func (s *search) maxModelValues(i, warmCount int) []float64 {
	size := s.models[i].Size
	var values []float64
	for count := range s.modelValues[i] {
		loadCount := max(count*size-warmCount, 0)
		if loadCount > s.maxLoads && loadCount > 0 {
			break
		}
		loadingGroups := (loadCount + size - 1) / size
		values = append(values, s.modelValues[i][count-loadingGroups][loadingGroups])
	}
	return values
}

// explore tries the possible numbers of groups of the models from the given depth on. It skips
// numbers that cannot reach the best value so far. valueSoFar is the total value of the models at
// lower depths.
func (s *search) explore(depth int, valueSoFar float64) {
	current := s.assignments[depth]
	if depth == len(s.modelOrder) {
		s.considerAssignment(current)
		return
	}
	i := s.modelOrder[depth]
	next, remaining := s.assignments[depth+1], current.countUnassigned()
	for count := min(len(s.maxValues[i])-1, remaining/s.models[i].Size); count >= 0; count-- {
		value := valueSoFar + s.maxValues[i][count]
		if value+s.upperBounds[depth+1][remaining-count*s.models[i].Size] < s.bestValue-valueEpsilon {
			continue
		}
		next.copyFrom(current)
		if !next.assign(i, count*s.models[i].Size) || s.countLoads(next) > max(s.maxLoads, 0) {
			continue
		}
		s.chosenCounts[i] = count
		s.explore(depth+1, value)
	}
	s.chosenCounts[i] = 0
}

// countLoads returns how many workers have to load in an assignment.
func (s *search) countLoads(candidate *assignment) int {
	total := 0
	for i := range s.models {
		total += candidate.countLoads(i)
	}
	return total
}

// considerAssignment keeps an assignment if it is the best so far. Assignments of equal value are
// compared by the number of idle workers, then by cost.
func (s *search) considerAssignment(candidate *assignment) {
	value, placedWorkers := 0.0, 0
	for _, i := range s.modelOrder {
		loadingGroups := s.countLoadingGroups(candidate, i)
		value += s.modelValues[i][s.chosenCounts[i]-loadingGroups][loadingGroups]
		placedWorkers += s.chosenCounts[i] * s.models[i].Size
	}
	if value < s.bestValue-valueEpsilon {
		return
	}
	cost := candidate.totalCost()
	isSameValue := value <= s.bestValue+valueEpsilon
	if isSameValue && cmp.Or(cmp.Compare(placedWorkers, s.bestPlacedWorkers), cmp.Compare(s.bestCost, cost)) <= 0 {
		return
	}
	s.bestValue, s.bestCost, s.bestPlacedWorkers, s.found = value, cost, placedWorkers, true
	s.bestAssignment.copyFrom(candidate)
}

// countLoadingGroups returns how many groups of a model have members that have to load. Such
// members are put together, so the number is as low as possible.
func (s *search) countLoadingGroups(candidate *assignment, i int) int {
	size := s.models[i].Size
	return (candidate.countLoads(i) + size - 1) / size
}

// bestDivision returns the best division found.
func (s *search) bestDivision() division {
	workers := make(map[string]FreeWorker)
	for _, members := range s.bestAssignment.workersByClass {
		for _, w := range members {
			workers[w.ID] = w
		}
	}
	return s.divisionOf(s.bestAssignment.formations(), workers)
}

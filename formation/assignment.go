package formation

import (
	"cmp"
	"slices"

	"quartzshelf.dev/fleet"
)

// assignment assigns a domain's workers to models. Workers with the same costs for every model
// form a class; they are counted, not distinguished.
type assignment struct {
	models []fleet.Model
	// members holds the workers by class, sorted by ID; costs holds the cost of a worker by class
	// and model.
	members [][]FreeWorker
	costs   [][]int
	// unassigned counts the unassigned workers by class, assigned the others by class and model.
	unassigned []int
	assigned   [][]int
}

func newAssignment(models []fleet.Model, workers []FreeWorker) *assignment {
	s := &assignment{models: models}
	for _, w := range workers {
		costs := make([]int, len(models))
		for i, m := range models {
			costs[i] = w.cost(m.Name)
		}
		class := slices.IndexFunc(s.costs, func(other []int) bool { return slices.Equal(other, costs) })
		if class < 0 {
			class = len(s.costs)
			s.costs = append(s.costs, costs)
			s.members = append(s.members, nil)
			s.assigned = append(s.assigned, make([]int, len(models)))
			s.unassigned = append(s.unassigned, 0)
		}
		s.members[class] = append(s.members[class], w)
		s.unassigned[class]++
	}
	for _, members := range s.members {
		slices.SortFunc(members, func(a, b FreeWorker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// countUnassigned returns the number of unassigned workers.
func (s *assignment) countUnassigned() int {
	total := 0
	for _, count := range s.unassigned {
		total += count
	}
	return total
}

// countWarm returns how many workers need no load for a model.
func (s *assignment) countWarm(model int) int {
	total := 0
	for c, members := range s.members {
		if s.costs[c][model]%unreliableCost < loadCost {
			total += len(members)
		}
	}
	return total
}

// copyFrom copies another assignment of the same workers.
func (s *assignment) copyFrom(o *assignment) {
	copy(s.unassigned, o.unassigned)
	for c := range s.assigned {
		copy(s.assigned[c], o.assigned[c])
	}
}

// clone returns an independent copy.
func (s *assignment) clone() *assignment {
	other := &assignment{models: s.models, members: s.members, costs: s.costs, unassigned: slices.Clone(s.unassigned)}
	for _, assigned := range s.assigned {
		other.assigned = append(other.assigned, slices.Clone(assigned))
	}
	return other
}

// step is the cheapest way for a model to get one more worker: an unassigned one (from is -1), or
// one assigned to another model, which then gets a replacement.
type step struct {
	cost, class, from int
	isReachable       bool
}

// assign assigns more workers to a model at the lowest total cost, possibly reassigning others.
// Augmenting along shortest paths keeps the total cost minimal (successive shortest paths
// algorithm). It reports whether there were enough workers.
func (s *assignment) assign(model, count int) bool {
	if s.countUnassigned() < count {
		return false
	}
	for count > 0 {
		steps := s.cheapestSteps()
		amount := min(count, s.stepCapacity(steps, model))
		if amount <= 0 {
			return false
		}
		count -= amount
		for at := model; at >= 0; at = steps[at].from {
			st := steps[at]
			s.assigned[st.class][at] += amount
			if st.from < 0 {
				s.unassigned[st.class] -= amount
			} else {
				s.assigned[st.class][st.from] -= amount
			}
		}
	}
	return true
}

// cheapestSteps returns, for each model, the cheapest way to get one more worker.
func (s *assignment) cheapestSteps() []step {
	steps := make([]step, len(s.models))
	for c, count := range s.unassigned {
		for m := range s.models {
			if count > 0 && (!steps[m].isReachable || s.costs[c][m] < steps[m].cost) {
				steps[m] = step{cost: s.costs[c][m], class: c, from: -1, isReachable: true}
			}
		}
	}
	for range s.models {
		if !s.relax(steps) {
			break
		}
	}
	return steps
}

// relax improves the steps by one reassignment between models, and reports whether any improved.
func (s *assignment) relax(steps []step) bool {
	better := false
	for c, given := range s.assigned {
		for from, count := range given {
			if count > 0 && steps[from].isReachable {
				better = s.relaxFrom(steps, c, from) || better
			}
		}
	}
	return better
}

// relaxFrom is relax for the workers of one class that are assigned to one model.
func (s *assignment) relaxFrom(steps []step, class, from int) bool {
	better := false
	for to := range s.models {
		cost := steps[from].cost + s.costs[class][to] - s.costs[class][from]
		if to != from && (!steps[to].isReachable || cost < steps[to].cost) {
			steps[to] = step{cost: cost, class: class, from: from, isReachable: true}
			better = true
		}
	}
	return better
}

// stepCapacity returns how many workers can be moved along the path to a model.
func (s *assignment) stepCapacity(steps []step, model int) int {
	capacity := 1 << 30
	for at := model; at >= 0; at = steps[at].from {
		switch st := steps[at]; {
		case !st.isReachable:
			return 0
		case st.from < 0:
			capacity = min(capacity, s.unassigned[st.class])
		default:
			capacity = min(capacity, s.assigned[st.class][st.from])
		}
	}
	return capacity
}

// countLoads returns how many workers assigned to a model must load it.
func (s *assignment) countLoads(model int) int {
	total := 0
	for c, assigned := range s.assigned {
		if s.costs[c][model]%unreliableCost >= loadCost {
			total += assigned[model]
		}
	}
	return total
}

// totalCost returns the cost of all assigned workers.
func (s *assignment) totalCost() int {
	total := 0
	for c, assigned := range s.assigned {
		for m, count := range assigned {
			total += count * s.costs[c][m]
		}
	}
	return total
}

// formations returns the assigned groups. The cheapest workers of a model are put together, so
// that as few groups as possible wait for loads.
func (s *assignment) formations() []Formation {
	var all []Formation
	next := make([]int, len(s.members))
	for i, m := range s.models {
		var chosen []FreeWorker
		for _, c := range s.classesByCost(i) {
			chosen = append(chosen, s.members[c][next[c]:next[c]+s.assigned[c][i]]...)
			next[c] += s.assigned[c][i]
		}
		for members := range slices.Chunk(chosen, max(m.Size, 1)) {
			all = append(all, newFormation(m, members))
		}
	}
	return all
}

// classesByCost returns the classes in order of increasing cost for a model.
func (s *assignment) classesByCost(model int) []int {
	order := make([]int, len(s.costs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.costs[a][model], s.costs[b][model]) })
	return order
}

package formation

import (
	"cmp"
	"slices"

	"quartzshelf.dev/fleet"
)

// assignment is an assignment of a domain's workers to models. Workers that have the same cost for
// each model form a class. Within a class only the number of workers matters.
type assignment struct {
	models []fleet.Model
	// workersByClass holds the workers of each class, sorted by ID. costs holds the cost of a
	// worker, by its class and the model that it is assigned to.
	workersByClass [][]FreeWorker
	costs          [][]int
	// unassignedCounts holds the number of unassigned workers by class. assignedCounts holds the
	// number of assigned workers by class and model.
	unassignedCounts []int
	assignedCounts   [][]int
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
			s.workersByClass = append(s.workersByClass, nil)
			s.assignedCounts = append(s.assignedCounts, make([]int, len(models)))
			s.unassignedCounts = append(s.unassignedCounts, 0)
		}
		s.workersByClass[class] = append(s.workersByClass[class], w)
		s.unassignedCounts[class]++
	}
	for _, members := range s.workersByClass {
		slices.SortFunc(members, func(a, b FreeWorker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// countUnassigned returns the number of unassigned workers.
func (s *assignment) countUnassigned() int {
	total := 0
	for _, count := range s.unassignedCounts {
		total += count
	}
	return total
}

// countWarm returns how many workers, assigned or not, need no load for a model.
func (s *assignment) countWarm(model int) int {
	total := 0
	for c, members := range s.workersByClass {
		if s.costs[c][model]%unreliableCost < loadCost {
			total += len(members)
		}
	}
	return total
}

// copyFrom copies another assignment of the same workers.
func (s *assignment) copyFrom(o *assignment) {
	copy(s.unassignedCounts, o.unassignedCounts)
	for c := range s.assignedCounts {
		copy(s.assignedCounts[c], o.assignedCounts[c])
	}
}

// clone returns a copy that can be changed independently.
func (s *assignment) clone() *assignment {
	other := &assignment{models: s.models, workersByClass: s.workersByClass, costs: s.costs, unassignedCounts: slices.Clone(s.unassignedCounts)}
	for _, assigned := range s.assignedCounts {
		other.assignedCounts = append(other.assignedCounts, slices.Clone(assigned))
	}
	return other
}

// step describes the cheapest way for a model to get one more worker of a class. The worker is
// either unassigned (fromModel is -1) or assigned to fromModel, which then gets a replacement.
type step struct {
	cost, class, fromModel int
	isReachable            bool
}

// assign assigns count more workers to a model at the lowest total cost. It may reassign other
// workers to this end. It uses the successive shortest paths algorithm, which keeps the total cost
// minimal. It returns false if there are too few workers.
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
		for at := model; at >= 0; at = steps[at].fromModel {
			st := steps[at]
			s.assignedCounts[st.class][at] += amount
			if st.fromModel < 0 {
				s.unassignedCounts[st.class] -= amount
			} else {
				s.assignedCounts[st.class][st.fromModel] -= amount
			}
		}
	}
	return true
}

// cheapestSteps returns, for each model, the cheapest way to get one more worker.
func (s *assignment) cheapestSteps() []step {
	steps := make([]step, len(s.models))
	for c, count := range s.unassignedCounts {
		for m := range s.models {
			if count > 0 && (!steps[m].isReachable || s.costs[c][m] < steps[m].cost) {
				steps[m] = step{cost: s.costs[c][m], class: c, fromModel: -1, isReachable: true}
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

// relax lowers the costs of the steps by one more reassignment between models. It reports whether
// any step became cheaper.
func (s *assignment) relax(steps []step) bool {
	hasImproved := false
	for c, given := range s.assignedCounts {
		for from, count := range given {
			if count > 0 && steps[from].isReachable {
				hasImproved = s.relaxFrom(steps, c, from) || hasImproved
			}
		}
	}
	return hasImproved
}

// relaxFrom does the same as relax, but only for the workers of one class that are assigned to one
// model.
func (s *assignment) relaxFrom(steps []step, class, from int) bool {
	hasImproved := false
	for to := range s.models {
		cost := steps[from].cost + s.costs[class][to] - s.costs[class][from]
		if to != from && (!steps[to].isReachable || cost < steps[to].cost) {
			steps[to] = step{cost: cost, class: class, fromModel: from, isReachable: true}
			hasImproved = true
		}
	}
	return hasImproved
}

// stepCapacity returns how many workers a model can get by following the steps from it back to
// unassigned workers.
func (s *assignment) stepCapacity(steps []step, model int) int {
	capacity := 1 << 30
	for at := model; at >= 0; at = steps[at].fromModel {
		switch st := steps[at]; {
		case !st.isReachable:
			return 0
		case st.fromModel < 0:
			capacity = min(capacity, s.unassignedCounts[st.class])
		default:
			capacity = min(capacity, s.assignedCounts[st.class][st.fromModel])
		}
	}
	return capacity
}

// countLoads returns how many workers assigned to a model must load it.
func (s *assignment) countLoads(model int) int {
	total := 0
	for c, assigned := range s.assignedCounts {
		if s.costs[c][model]%unreliableCost >= loadCost {
			total += assigned[model]
		}
	}
	return total
}

// totalCost returns the cost of all assigned workers.
func (s *assignment) totalCost() int {
	total := 0
	for c, assigned := range s.assignedCounts {
		for m, count := range assigned {
			total += count * s.costs[c][m]
		}
	}
	return total
}

// formations returns the groups that the assigned workers form. The cheapest workers of a model are
// put together, so that as few groups as possible wait for loads.
func (s *assignment) formations() []Formation {
	var all []Formation
	next := make([]int, len(s.workersByClass))
	for i, m := range s.models {
		var chosen []FreeWorker
		for _, c := range s.classesByCost(i) {
			chosen = append(chosen, s.workersByClass[c][next[c]:next[c]+s.assignedCounts[c][i]]...)
			next[c] += s.assignedCounts[c][i]
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

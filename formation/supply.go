package formation

import (
	"cmp"
	"slices"

	"quartzshelf.dev/fleet"
)

// supply is the workers of a domain in classes, given to models: workers that are alike
// for every model are counted and not told apart.
type supply struct {
	models []fleet.Model
	// members holds the workers by class, sorted by name; costs what a worker of a
	// class costs by model.
	members [][]Free
	costs   [][]int
	// left counts by class the workers that no model has, given by class and model
	// those that one has.
	left  []int
	given [][]int
}

func newSupply(models []fleet.Model, workers []Free) *supply {
	s := &supply{models: models}
	for _, w := range workers {
		costs := make([]int, len(models))
		for i, m := range models {
			costs[i] = w.cost(m.Name)
		}
		at := slices.IndexFunc(s.costs, func(held []int) bool { return slices.Equal(held, costs) })
		if at < 0 {
			at = len(s.costs)
			s.costs = append(s.costs, costs)
			s.members = append(s.members, nil)
			s.given = append(s.given, make([]int, len(models)))
			s.left = append(s.left, 0)
		}
		s.members[at] = append(s.members[at], w)
		s.left[at]++
	}
	for _, members := range s.members {
		slices.SortFunc(members, func(a, b Free) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// total returns how many workers no model has.
func (s *supply) total() int {
	total := 0
	for _, left := range s.left {
		total += left
	}
	return total
}

// quick returns how many workers need no load for a model.
func (s *supply) quick(model int) int {
	total := 0
	for c, members := range s.members {
		if s.costs[c][model]%doubtCost < loadCost {
			total += len(members)
		}
	}
	return total
}

// copyFrom makes s the same as another supply of the same workers.
func (s *supply) copyFrom(o *supply) {
	copy(s.left, o.left)
	for c := range s.given {
		copy(s.given[c], o.given[c])
	}
}

// clone returns a supply of the same workers that can be given otherwise.
func (s *supply) clone() *supply {
	other := &supply{models: s.models, members: s.members, costs: s.costs, left: slices.Clone(s.left)}
	for _, given := range s.given {
		other.given = append(other.given, slices.Clone(given))
	}
	return other
}

// step is how a model gets one more worker the cheapest way: one of a class that no
// model has (from is -1), or of one that another model has, which then gets another.
type step struct {
	cost, class, from int
	reached           bool
}

// give gives a model more workers at the least cost over all models, which may change
// who has which. Giving along cheapest paths keeps the whole the cheapest (successive
// shortest paths). It reports whether there were enough.
func (s *supply) give(model, count int) bool {
	if s.total() < count {
		return false
	}
	for count > 0 {
		steps := s.cheapest()
		amount := min(count, s.along(steps, model))
		if amount <= 0 {
			return false
		}
		count -= amount
		for at := model; at >= 0; at = steps[at].from {
			st := steps[at]
			s.given[st.class][at] += amount
			if st.from < 0 {
				s.left[st.class] -= amount
			} else {
				s.given[st.class][st.from] -= amount
			}
		}
	}
	return true
}

// cheapest returns for each model how it gets one more worker the cheapest way.
func (s *supply) cheapest() []step {
	steps := make([]step, len(s.models))
	for c, left := range s.left {
		for m := range s.models {
			if left > 0 && (!steps[m].reached || s.costs[c][m] < steps[m].cost) {
				steps[m] = step{cost: s.costs[c][m], class: c, from: -1, reached: true}
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

// relax improves the steps by one exchange between models, and reports whether any
// improved.
func (s *supply) relax(steps []step) bool {
	better := false
	for c, given := range s.given {
		for from, count := range given {
			if count > 0 && steps[from].reached {
				better = s.relaxFrom(steps, c, from) || better
			}
		}
	}
	return better
}

// relaxFrom does so for workers of one class that a model has.
func (s *supply) relaxFrom(steps []step, class, from int) bool {
	better := false
	for to := range s.models {
		cost := steps[from].cost + s.costs[class][to] - s.costs[class][from]
		if to != from && (!steps[to].reached || cost < steps[to].cost) {
			steps[to] = step{cost: cost, class: class, from: from, reached: true}
			better = true
		}
	}
	return better
}

// along returns how many workers can go the way that leads to a model.
func (s *supply) along(steps []step, model int) int {
	amount := 1 << 30
	for at := model; at >= 0; at = steps[at].from {
		switch st := steps[at]; {
		case !st.reached:
			return 0
		case st.from < 0:
			amount = min(amount, s.left[st.class])
		default:
			amount = min(amount, s.given[st.class][st.from])
		}
	}
	return amount
}

// loads returns how many workers of a model load for it.
func (s *supply) loads(model int) int {
	total := 0
	for c, given := range s.given {
		if s.costs[c][model]%doubtCost >= loadCost {
			total += given[model]
		}
	}
	return total
}

// cost returns what all that is given costs.
func (s *supply) cost() int {
	total := 0
	for c, given := range s.given {
		for m, count := range given {
			total += count * s.costs[c][m]
		}
	}
	return total
}

// formations returns the groups of what is given. The quickest workers of a model are
// put together, so that as few groups as possible wait for loads.
func (s *supply) formations() []Formation {
	var all []Formation
	next := make([]int, len(s.members))
	for i, m := range s.models {
		var chosen []Free
		for _, c := range s.byCost(i) {
			chosen = append(chosen, s.members[c][next[c]:next[c]+s.given[c][i]]...)
			next[c] += s.given[c][i]
		}
		for members := range slices.Chunk(chosen, max(m.Size, 1)) {
			all = append(all, newFormation(m, members))
		}
	}
	return all
}

// byCost returns the classes from the cheapest for a model to the dearest.
func (s *supply) byCost(model int) []int {
	order := make([]int, len(s.costs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.costs[a][model], s.costs[b][model]) })
	return order
}

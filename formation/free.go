package formation

import (
	"cmp"
	"slices"

	"quartzshelf.dev/fleet"
)

// Warmth classifies how much work a worker needs before it can serve a model.
type Warmth int

// Warmth levels, from quickest to slowest.
const (
	// Hot workers served the model last.
	Hot Warmth = iota
	// Staged workers have the model on their host.
	Staged
	// Cold workers must load the model and hold no other.
	Cold
	// ColdOther workers must load the model and hold another one, which they lose.
	ColdOther
)

// Costs of using a worker in a group. A load outweighs any number of joins without one, and an
// unreliable worker outweighs any number of loads.
const (
	loadCost       = 1 << 8
	unreliableCost = 1 << 16
)

// FreeWorker is a worker that can be ordered into a new group.
type FreeWorker struct {
	ID     string
	Domain string
	Loaded string
	Staged []string
	// Hall is the worker's data hall.
	Hall string
	// Unreliable reports whether the worker recently failed to become ready; it is used only where
	// there are too few others.
	Unreliable bool
}

func (f FreeWorker) warmth(model string) Warmth {
	switch {
	case f.Loaded == model:
		return Hot
	case slices.Contains(f.Staged, model):
		return Staged
	case f.Loaded == "" && len(f.Staged) == 0:
		return Cold
	}
	return ColdOther
}

// cost returns the cost of using the worker in a group of the model.
func (f FreeWorker) cost(model string) int {
	cost := int(f.warmth(model))
	if f.warmth(model) > Staged {
		cost += loadCost
	}
	if f.Unreliable {
		cost += unreliableCost
	}
	return cost
}

// rankedWorker is a worker's cost in a group of one model.
type rankedWorker struct {
	id    string
	index int
	cost  int
}

// warmestWorkers returns the warmest workers for a group of the model and their total cost, by
// which domains are compared. It returns nil if there are too few workers.
func warmestWorkers(m fleet.Model, workers []FreeWorker, limit Warmth) ([]FreeWorker, int) {
	if m.Size <= 0 || len(workers) < m.Size {
		return nil, 0
	}
	all := make([]rankedWorker, len(workers))
	for i, w := range workers {
		all[i] = rankedWorker{id: w.ID, index: i, cost: w.cost(m.Name)}
	}
	slices.SortFunc(all, func(a, b rankedWorker) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id))
	})
	cost := 0
	chosen := make([]FreeWorker, 0, m.Size)
	for _, r := range all[:m.Size] {
		w := workers[r.index]
		warmth := w.warmth(m.Name)
		if warmth > limit {
			return nil, 0
		}
		cost += int(warmth)
		if w.Unreliable {
			cost += unreliableCost
		}
		chosen = append(chosen, w)
	}
	return chosen, cost
}

package formation

import (
	"cmp"
	"slices"

	"quartzshelf.dev/fleet"
)

// Warmth classifies how quickly a worker can start to serve a model. Lower values are warmer.
type Warmth int

// Warmth levels, from quickest to slowest start.
const (
	// Hot means that the worker served the model last.
	Hot Warmth = iota
	// Staged means that the model's weights are on the worker's host.
	Staged
	// Cold means that the worker must load the model and holds no other one.
	Cold
	// ColdOther means that the worker must load the model and loses another one that it holds.
	ColdOther
)

// Costs that are added to the Warmth of a worker that must load or is unreliable. One load costs
// more than the joins of many warm workers. One unreliable worker costs more than many loads.
const (
	loadCost       = 1 << 8
	unreliableCost = 1 << 16
)

// FreeWorker is a worker that can be put into a new group.
type FreeWorker struct {
	ID           string
	Domain       string
	LoadedModel  string
	StagedModels []string
	// Hall is the worker's data hall.
	Hall string
	// IsUnreliable reports whether the worker recently failed to become ready. It is then used only
	// if there are too few other workers.
	IsUnreliable bool
}

func (f FreeWorker) warmth(model string) Warmth {
	switch {
	case f.LoadedModel == model:
		return Hot
	case slices.Contains(f.StagedModels, model):
		return Staged
	case f.LoadedModel == "" && len(f.StagedModels) == 0:
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
	if f.IsUnreliable {
		cost += unreliableCost
	}
	return cost
}

// rankedWorker is a worker with its cost for a group of a given model. index is its position in the
// unsorted list of workers.
type rankedWorker struct {
	id    string
	index int
	cost  int
}

// warmestWorkers returns the cheapest workers for a group of the model, and a total cost by which
// domains are compared. It returns nil if there are too few workers that are no colder than the
// given limit.
func warmestWorkers(m fleet.Model, workers []FreeWorker, coldest Warmth) ([]FreeWorker, int) {
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
		if warmth > coldest {
			return nil, 0
		}
		cost += int(warmth)
		if w.IsUnreliable {
			cost += unreliableCost
		}
		chosen = append(chosen, w)
	}
	return chosen, cost
}

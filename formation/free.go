package formation

import (
	"cmp"
	"slices"

	"quartzshelf.dev/fleet"
)

// Warmth says how much a worker has to do to serve a model.
type Warmth int

// The warmths, from the quickest to the slowest.
const (
	// Hot workers were set up for the model last.
	Hot Warmth = iota
	// Staged workers have it on their host.
	Staged
	// Cold workers load it and were set up for none.
	Cold
	// ColdOther workers load it and lose another.
	ColdOther
)

// Costs of giving a worker to a group. A load outweighs any number of quicker joins,
// and a worker that did not become ready of late outweighs any number of loads.
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
	// Hall is its data hall.
	Hall string
	// Unreliable tells that it did not become ready in a group of late: it is taken only
	// where others are too few.
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

// cost returns what a worker costs in a group of the model.
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

// rankedWorker is a worker with what it costs in a group of one model.
type rankedWorker struct {
	id    string
	index int
	cost  int
}

// warmestWorkers returns the warmest workers for a group of the model and a cost by
// which domains compare; nil when there are too few.
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

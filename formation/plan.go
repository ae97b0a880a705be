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

// Need is how much of a model is wanted and there.
type Need struct {
	Model fleet.Model
	// Want is the wanted number of replicas, Have what serves or is being formed.
	Want float64
	Have int
}

// short returns how short the model is; higher is shorter.
func (n Need) short() float64 { return n.Want / float64(n.Have+1) }

// Free is a worker that can be ordered into a new group.
type Free struct {
	ID     string
	Domain string
	Loaded string
	Staged []string
}

func (f Free) warmth(model string) Warmth {
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

// Formation is a group to form.
type Formation struct {
	Model   fleet.Model
	Members []string
	// Loads is how many members load weights from the store.
	Loads int
}

// Plan returns the groups to form now out of free workers, with at most
// maxLoads loads from the store. Groups lie within one domain. What needs no
// load is formed first, the shortest model first; then the rest. A model that
// waits for its loads is not overtaken by a less short one that needs fewer.
func Plan(needs []Need, free []Free, maxLoads int) []Formation {
	needs = slices.Clone(needs)
	byDomain := make(map[string][]Free)
	for _, f := range free {
		byDomain[f.Domain] = append(byDomain[f.Domain], f)
	}
	var all []Formation
	for _, limit := range []Warmth{Staged, ColdOther} {
		for {
			f, ok := next(needs, byDomain, limit, maxLoads)
			if !ok {
				break
			}
			maxLoads -= f.Loads
			all = append(all, f)
		}
	}
	return all
}

// next forms one group out of workers at least as warm as limit and takes its
// members out of byDomain.
func next(needs []Need, byDomain map[string][]Free, limit Warmth, maxLoads int) (Formation, bool) {
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(needs[b].short(), needs[a].short()) })
	for _, i := range order {
		domain, chosen := bestDomain(needs[i].Model, byDomain, limit)
		if chosen == nil {
			continue
		}
		f := newFormation(needs[i].Model, chosen)
		if f.Loads > maxLoads {
			return Formation{}, false
		}
		needs[i].Have++
		byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(w Free) bool { return slices.Contains(f.Members, w.ID) })
		return f, true
	}
	return Formation{}, false
}

func newFormation(m fleet.Model, chosen []Free) Formation {
	f := Formation{Model: m}
	for _, c := range chosen {
		f.Members = append(f.Members, c.ID)
		if c.warmth(m.Name) >= Cold {
			f.Loads++
		}
	}
	return f
}

// bestDomain returns the warmest workers for a group of the model, and their
// domain; nil when no domain has enough.
func bestDomain(m fleet.Model, byDomain map[string][]Free, limit Warmth) (string, []Free) {
	var best []Free
	var bestName string
	bestCost := 0
	for name, workers := range byDomain {
		chosen, cost := warmest(m, workers, limit)
		if chosen == nil {
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && name < bestName {
			best, bestName, bestCost = chosen, name, cost
		}
	}
	return bestName, best
}

// warmest returns the warmest workers for a group of the model and a cost by
// which domains compare; nil when there are too few.
func warmest(m fleet.Model, workers []Free, limit Warmth) ([]Free, int) {
	if m.Size <= 0 || len(workers) < m.Size {
		return nil, 0
	}
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Free) int {
		return cmp.Or(cmp.Compare(a.warmth(m.Name), b.warmth(m.Name)), cmp.Compare(a.ID, b.ID))
	})
	chosen := sorted[:m.Size]
	cost := 0
	for _, w := range chosen {
		warmth := w.warmth(m.Name)
		if warmth > limit {
			return nil, 0
		}
		cost += int(warmth)
	}
	return chosen, cost
}

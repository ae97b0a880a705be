package formation

import (
	"cmp"
	"maps"
	"math"
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

// met reports whether no further replica is wanted.
func (n Need) met() bool { return float64(n.Have) >= n.Want }

// share returns which part of what is wanted there would be with more replicas.
func (n Need) share(more int) float64 {
	if n.Want <= 0 {
		return math.Inf(1)
	}
	return float64(n.Have+more) / n.Want
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

// Input is what a plan is made from.
type Input struct {
	Needs []Need
	// Free holds the workers that can be ordered.
	Free []Free
	// Warm counts, by domain and model, the workers that are warm for the
	// model, those in groups included.
	Warm map[string]map[string]int
	// MaxLoads is how many loads from the store may begin, MaxStagings how many of
	// them for idle workers.
	MaxLoads, MaxStagings int
	// Growing tells that further workers are about to be listed: the shortest model
	// then waits for enough of them in one domain, and the others wait for it.
	Growing bool
}

// Staging is a model to bring to the host of an idle worker.
type Staging struct {
	Worker string
	Model  string
}

// Plan returns the groups to form now, and what idle workers should bring to
// their hosts so that they are warm when they are needed. Groups lie within
// one domain. What needs no load is formed first, the shortest model first;
// then what needs loads; then, when no model is short, more than is wanted out of
// all that is left: a broken group is mended by survivors of others or by a
// trade, which measures better than idle spares. A model that waits for its
// loads is not overtaken by a less short one that needs fewer, and workers that
// were given up for a model are not taken back before they make a group of it.
// Domains are kept to one model as far as possible: the survivors of broken
// groups then make whole ones.
func Plan(in Input) ([]Formation, []Staging) {
	p := planner{needs: slices.Clone(in.Needs), byDomain: make(map[string][]Free), warm: in.Warm, maxLoads: in.MaxLoads, maxStagings: in.MaxStagings, growing: in.Growing}
	for _, f := range in.Free {
		p.byDomain[f.Domain] = append(p.byDomain[f.Domain], f)
	}
	var all []Formation
	for _, step := range []struct {
		limit  Warmth
		beyond bool
	}{{limit: Staged}, {limit: ColdOther}, {limit: Staged, beyond: true}} {
		p.beyond = step.beyond
		if p.beyond && slices.ContainsFunc(p.needs, func(n Need) bool { return !n.met() }) {
			break
		}
		for {
			f, ok := p.next(step.limit)
			if !ok {
				break
			}
			p.maxLoads -= f.Loads
			p.maxStagings -= f.Loads
			all = append(all, f)
		}
	}
	if p.waiting {
		return all, nil
	}
	return all, p.stagings()
}

// planner holds what is left while a plan is made.
type planner struct {
	needs    []Need
	byDomain map[string][]Free
	warm     map[string]map[string]int
	maxLoads int
	// maxStagings is how many of the loads may be for idle workers.
	maxStagings int
	growing     bool
	// beyond tells that groups beyond what is wanted are being planned.
	beyond bool
	// waiting tells that a wanted group waits for its loads.
	waiting bool
}

// stagings returns what the workers that are left should bring to their hosts:
// the model that most of their domain is warm for.
func (p *planner) stagings() []Staging {
	var all []Staging
	for _, domain := range slices.Sorted(maps.Keys(p.byDomain)) {
		model := p.mainModel(domain)
		for _, f := range p.byDomain[domain] {
			if model == "" || len(all) >= min(p.maxLoads, p.maxStagings) {
				break
			}
			if f.warmth(model) > Staged {
				all = append(all, Staging{Worker: f.ID, Model: model})
			}
		}
	}
	return all
}

// mainModel returns the model that most workers of a domain are warm for.
func (p *planner) mainModel(domain string) string {
	best, most := "", 0
	for _, n := range p.needs {
		if count := p.warm[domain][n.Model.Name]; count > most {
			best, most = n.Model.Name, count
		}
	}
	return best
}

// affinity returns how much better a domain suits a model than others.
func (p *planner) affinity(domain, model string) int {
	total := 0
	for name, count := range p.warm[domain] {
		if name == model {
			total += count
		} else {
			total -= count
		}
	}
	return total
}

// next forms one group out of workers at least as warm as limit and takes its
// members out of those that are left.
func (p *planner) next(limit Warmth) (Formation, bool) {
	needs, byDomain := p.needs, p.byDomain
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(needs[b].short(), needs[a].short()) })
	for _, i := range order {
		if needs[i].met() != p.beyond {
			continue
		}
		domain, chosen := p.bestDomain(needs[i].Model, limit)
		if chosen == nil && p.growing && limit == ColdOther {
			return Formation{}, false
		}
		if chosen == nil {
			continue
		}
		f := newFormation(needs[i].Model, chosen)
		if f.Loads > max(p.maxLoads, 0) {
			p.waiting = true
			return Formation{}, false
		}
		needs[i].Have++
		p.warmed(domain, f)
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

// warmed counts the members of a new group as warm for its model.
func (p *planner) warmed(domain string, f Formation) {
	if p.warm == nil {
		p.warm = make(map[string]map[string]int)
	}
	if p.warm[domain] == nil {
		p.warm[domain] = make(map[string]int)
	}
	p.warm[domain][f.Model.Name] += f.Loads
}

// bestDomain returns the warmest workers for a group of the model, and their
// domain; nil when no domain has enough. Among equals the domain that suits the
// model best is taken.
func (p *planner) bestDomain(m fleet.Model, limit Warmth) (string, []Free) {
	var best []Free
	var bestName string
	bestCost, bestAffinity := 0, 0
	for _, name := range slices.Sorted(maps.Keys(p.byDomain)) {
		chosen, cost := warmest(m, p.byDomain[name], limit)
		if chosen == nil {
			continue
		}
		affinity := p.affinity(name, m.Name)
		if best == nil || cost < bestCost || cost == bestCost && affinity > bestAffinity {
			best, bestName, bestCost, bestAffinity = chosen, name, cost, affinity
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

package formation

import (
	"cmp"
	"math"
	"slices"
)

// search looks through the numbers of groups of each model that a domain's free workers
// can form.
type search struct {
	*partition
	// order holds the models by size, the largest first; limits how many groups of
	// each may be formed.
	order, limits []int
	maxLoads      int
	// supplies holds by depth of the search who is given to whom, counts the groups.
	supplies []*supply
	counts   []int
	// gains holds by model, groups without and with loads, what the model earns.
	gains [][][]float64
	// most holds by model and groups what the model earns at most with them.
	most [][]float64
	// bounds holds by depth and workers what the models from there on earn at most.
	bounds [][]float64
	// value, cost and placed are those of the best division so far, best its supply.
	value        float64
	cost, placed int
	found        bool
	best         *supply
}

func (p *partition) newSearch(domain string, workers []Free, held division) *search {
	s := &search{
		partition: p, maxLoads: max(p.maxLoads-p.loads, held.loads),
		limits: make([]int, len(p.models)), counts: make([]int, len(p.models)), gains: make([][][]float64, len(p.models)),
	}
	exceed := p.beyond(domain)
	if exceed {
		// What is formed beyond what is wanted loads nothing.
		s.maxLoads = held.loads
	}
	first := newSupply(p.models, workers)
	for range len(p.models) + 1 {
		s.supplies = append(s.supplies, first.clone())
	}
	s.best = first.clone()
	for i, n := range p.value.needs {
		if n.Model.Size <= 0 {
			continue
		}
		s.order = append(s.order, i)
		s.limits[i] = len(workers) / n.Model.Size
		if !exceed {
			wanted := max(int(math.Ceil(n.Want))-p.groups[i], held.warm[i]+held.loading[i])
			s.limits[i] = min(s.limits[i], max(wanted, 0))
		}
		s.gains[i] = p.gains(i, s.limits[i], max(s.maxLoads, 0), hallOf(workers))
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(p.models[b].Size, p.models[a].Size) })
	s.bound(first)
	s.value, s.cost, s.placed = s.worth(held.warm, held.loading), held.cost, held.placed
	return s
}

// gains returns what a model earns with more groups in a hall, by how many of them need
// no load and how many do, of which there are no more than loads.
func (p *partition) gains(i, limit, loads int, hall string) [][]float64 {
	n, m := p.value.needs[i], p.models[i]
	table := make([][]float64, limit+1)
	for warm := range table {
		table[warm] = make([]float64, min(limit-warm, loads)+1)
		for loading := range table[warm] {
			p.added[i][hall] += warm + loading
			replicas := p.replicas[i] + float64(warm)*part(m, false) + float64(loading)*part(m, true)
			table[warm][loading] = p.value.model(n, replicas, p.value.worst(m.Name, p.added[i]))
			p.added[i][hall] -= warm + loading
		}
	}
	return table
}

// worth returns what a division earns.
func (s *search) worth(warm, loading []int) float64 {
	total := 0.0
	for _, i := range s.order {
		total += s.gains[i][warm[i]][loading[i]]
	}
	return total
}

// bound works out what the models of the search from each depth on earn at most with a
// number of workers, as if each model could take the workers that suit it best. It is
// the recurrence of the knapsack problem.
func (s *search) bound(all *supply) {
	workers := all.total()
	s.most = make([][]float64, len(s.models))
	s.bounds = make([][]float64, len(s.order)+1)
	s.bounds[len(s.order)] = make([]float64, workers+1)
	for depth := len(s.order) - 1; depth >= 0; depth-- {
		i := s.order[depth]
		best := s.bestGains(i, all.quick(i))
		s.most[i] = best
		s.bounds[depth] = make([]float64, workers+1)
		for left := range s.bounds[depth] {
			most := math.Inf(-1)
			for count := 0; count < len(best) && count*s.models[i].Size <= left; count++ {
				most = max(most, best[count]+s.bounds[depth+1][left-count*s.models[i].Size])
			}
			s.bounds[depth][left] = most
		}
	}
}

// bestGains returns what a model earns by its new groups when so many workers need no
// load for it.
func (s *search) bestGains(i, quick int) []float64 {
	size := s.models[i].Size
	var all []float64
	for count := range s.gains[i] {
		loads := max(count*size-quick, 0)
		if loads > s.maxLoads && loads > 0 {
			break
		}
		loading := (loads + size - 1) / size
		all = append(all, s.gains[i][count-loading][loading])
	}
	return all
}

// from tries the numbers of groups of the models from the given depth on that may earn
// as much as the best so far, where the models before earn what is told.
func (s *search) from(depth int, earned float64) {
	now := s.supplies[depth]
	if depth == len(s.order) {
		s.compare(now)
		return
	}
	i := s.order[depth]
	next, left := s.supplies[depth+1], now.total()
	for count := min(len(s.most[i])-1, left/s.models[i].Size); count >= 0; count-- {
		best := earned + s.most[i][count]
		if best+s.bounds[depth+1][left-count*s.models[i].Size] < s.value-sameValue {
			continue
		}
		next.copyFrom(now)
		if !next.give(i, count*s.models[i].Size) || s.loading(next) > max(s.maxLoads, 0) {
			continue
		}
		s.counts[i] = count
		s.from(depth+1, best)
	}
	s.counts[i] = 0
}

// loading returns how many workers a supply lets load.
func (s *search) loading(supply *supply) int {
	total := 0
	for i := range s.models {
		total += supply.loads(i)
	}
	return total
}

// compare keeps a division if it is the best so far. Of those that earn the same, one
// that leaves fewer workers idle is better, then one with fewer and quicker moves.
func (s *search) compare(supply *supply) {
	total, placed := 0.0, 0
	for _, i := range s.order {
		loading := s.groupsThatLoad(supply, i)
		total += s.gains[i][s.counts[i]-loading][loading]
		placed += s.counts[i] * s.models[i].Size
	}
	if total < s.value-sameValue {
		return
	}
	cost := supply.cost()
	same := total <= s.value+sameValue
	if same && cmp.Or(cmp.Compare(placed, s.placed), cmp.Compare(s.cost, cost)) <= 0 {
		return
	}
	s.value, s.cost, s.placed, s.found = total, cost, placed, true
	s.best.copyFrom(supply)
}

// groupsThatLoad returns how many groups of a model have members that load: as few as
// can be, since these are put together.
func (s *search) groupsThatLoad(supply *supply, i int) int {
	size := s.models[i].Size
	return (supply.loads(i) + size - 1) / size
}

// division returns the best division found.
func (s *search) division() division {
	workers := make(map[string]Free)
	for _, members := range s.best.members {
		for _, w := range members {
			workers[w.ID] = w
		}
	}
	return s.divisionOf(s.best.formations(), workers)
}

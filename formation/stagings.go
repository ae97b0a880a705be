package formation

import (
	"maps"
	"slices"
)

// Staging is a model to stage on an idle worker's host.
type Staging struct {
	Worker string
	Model  string
}

// planStagings returns the models that the remaining workers should stage. For each of them, it is
// the model that most workers of its domain are warm for. Workers that are warm for a model that is
// short keep that model.
func (p *planner) planStagings() []Staging {
	var all []Staging
	for _, domain := range slices.Sorted(maps.Keys(p.byDomain)) {
		model := p.mainModel(domain)
		for _, f := range p.byDomain[domain] {
			if model == "" || len(all) >= min(p.maxLoads, p.maxStagings) {
				break
			}
			if f.warmth(model) > Staged && !p.isWarmForShortModel(f) {
				all = append(all, Staging{Worker: f.ID, Model: model})
			}
		}
	}
	return all
}

// isWarmForShortModel reports whether a worker is warm for a model that is short.
func (p *planner) isWarmForShortModel(f FreeWorker) bool {
	return slices.ContainsFunc(p.needs, func(n Need) bool { return !n.isMet() && f.warmth(n.Model.Name) <= Staged })
}

// mainModel returns the model that most workers of a domain are warm for.
func (p *planner) mainModel(domain string) string {
	best, highest := "", 0
	for _, n := range p.needs {
		if count := p.warmCounts[domain][n.Model.Name]; count > highest {
			best, highest = n.Model.Name, count
		}
	}
	return best
}

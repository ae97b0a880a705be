package formation

import (
	"maps"
	"slices"
)

// Staging is a model to bring to the host of an idle worker.
type Staging struct {
	Worker string
	Model  string
}

// stagings returns what the workers that are left should bring to their hosts: the model
// that they are missing for, or else the one that most of their domain is warm for.
func (p *planner) stagings() []Staging {
	var all []Staging
	for _, domain := range slices.Sorted(maps.Keys(p.byDomain)) {
		model := p.missingFor(domain)
		if model == "" {
			model = p.mainModel(domain)
		}
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

// missingFor returns the shortest model for a group of which a domain lacks warm workers,
// but no more than it has idle ones: what is staged there brings it back.
func (p *planner) missingFor(domain string) string {
	best, most := "", 0.0
	for _, n := range p.needs {
		warm := p.warm[domain][n.Model.Name]
		lacks := n.Model.Size - warm%max(n.Model.Size, 1)
		if !n.met() && warm >= n.Model.Size/2 && lacks <= len(p.byDomain[domain]) && n.short() > most {
			best, most = n.Model.Name, n.short()
		}
	}
	return best
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

package formation

import (
	"cmp"
	"slices"
)

// Standing is a group that serves.
type Standing struct {
	Key     string
	Domain  string
	Model   string
	Members int
}

// tradeMargin is by how much a model that gives must be better off afterwards
// than the one that gets, lest replicas go back and forth.
const tradeMargin = 1.1

// Exchange is groups of one domain to give up so that a group of a model that is
// short can be formed.
type Exchange struct {
	Model  string
	Domain string
	Keys   []string
	// Given counts the groups by their models.
	Given map[string]int
}

// apply counts in needs what the exchange gives and gets.
func (x Exchange) apply(needs []Need) {
	for i, n := range needs {
		needs[i].Have -= x.Given[n.Model.Name]
		if n.Model.Name == x.Model {
			needs[i].Have++
		}
	}
}

// Trade returns the groups to dissolve so that a model that is short can be
// formed: groups, within one domain, of models that stay better off than it. It
// returns false when nothing is short or nothing can be done.
func Trade(needs []Need, free []Free, standing []Standing) (Exchange, bool) {
	short := slices.Clone(needs)
	slices.SortStableFunc(short, func(a, b Need) int { return cmp.Compare(b.short(), a.short()) })
	for _, n := range short {
		if n.met() {
			continue
		}
		if x, ok := cheapestTrade(n, needs, free, standing); ok {
			return x, true
		}
	}
	return Exchange{}, false
}

// cheapestTrade returns the fewest groups of one domain whose members, with the
// idle workers there, make a group of the wanted model.
func cheapestTrade(n Need, needs []Need, free []Free, standing []Standing) (Exchange, bool) {
	idle := make(map[string]int)
	for _, f := range free {
		idle[f.Domain]++
	}
	domains := make(map[string][]Standing)
	for _, s := range standing {
		domains[s.Domain] = append(domains[s.Domain], s)
	}
	best, found := Exchange{}, false
	for domain, groups := range domains {
		keys, given := trade(n, n.Model.Size-idle[domain], needs, groups)
		if keys == nil {
			continue
		}
		if !found || len(keys) < len(best.Keys) || len(keys) == len(best.Keys) && keys[0] < best.Keys[0] {
			best, found = Exchange{Model: n.Model.Name, Domain: domain, Keys: keys, Given: given}, true
		}
	}
	return best, found
}

// trade returns groups, of models that can spare them, that have enough members, and
// how many there are of each model.
func trade(n Need, missing int, needs []Need, groups []Standing) ([]string, map[string]int) {
	enough := tradeMargin * n.share(1)
	given := make(map[string]int)
	spares := func(model string) bool {
		i := slices.IndexFunc(needs, func(o Need) bool { return o.Model.Name == model })
		return i >= 0 && model != n.Model.Name && needs[i].share(-given[model]-1) >= enough
	}
	slices.SortFunc(groups, func(a, b Standing) int { return cmp.Compare(a.Key, b.Key) })
	var keys []string
	for _, g := range groups {
		if missing <= 0 {
			break
		}
		if spares(g.Model) {
			given[g.Model]++
			missing -= g.Members
			keys = append(keys, g.Key)
		}
	}
	if missing > 0 {
		return nil, nil
	}
	return keys, given
}

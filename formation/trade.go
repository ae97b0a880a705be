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

// Trade returns the groups to dissolve so that a model that is short can be
// formed: groups, within one domain, of models that stay better off than it. It
// returns none when nothing is short or nothing can be done.
func Trade(needs []Need, free []Free, standing []Standing) []string {
	short := slices.Clone(needs)
	slices.SortStableFunc(short, func(a, b Need) int { return cmp.Compare(b.short(), a.short()) })
	for _, n := range short {
		if n.met() {
			continue
		}
		if given := cheapestTrade(n, needs, free, standing); given != nil {
			return given
		}
	}
	return nil
}

// cheapestTrade returns the fewest groups of one domain whose members, with the
// idle workers there, make a group of the wanted model.
func cheapestTrade(n Need, needs []Need, free []Free, standing []Standing) []string {
	idle := make(map[string]int)
	for _, f := range free {
		idle[f.Domain]++
	}
	domains := make(map[string][]Standing)
	for _, s := range standing {
		domains[s.Domain] = append(domains[s.Domain], s)
	}
	var best []string
	for domain, groups := range domains {
		given := trade(n, n.Model.Size-idle[domain], needs, groups)
		if given != nil && (best == nil || len(given) < len(best) || len(given) == len(best) && given[0] < best[0]) {
			best = given
		}
	}
	return best
}

// trade returns groups, of models that can spare them, that have enough members.
func trade(n Need, missing int, needs []Need, groups []Standing) []string {
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
		return nil
	}
	return keys
}

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

// Trade returns the groups to dissolve so that a model that is short can be
// formed: groups, within one domain, of models that have more replicas than are
// wanted. It returns none when nothing is short or nothing can be done.
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
		given := trade(n.Model.Size-idle[domain], n.Model.Name, needs, groups)
		if given != nil && (best == nil || len(given) < len(best) || len(given) == len(best) && given[0] < best[0]) {
			best = given
		}
	}
	return best
}

// trade returns groups, of models with a surplus, that have enough members.
func trade(missing int, model string, needs []Need, groups []Standing) []string {
	surplus := make(map[string]int)
	for _, n := range needs {
		surplus[n.Model.Name] = n.surplus()
	}
	slices.SortFunc(groups, func(a, b Standing) int { return cmp.Compare(a.Key, b.Key) })
	var given []string
	for _, g := range groups {
		if missing <= 0 {
			break
		}
		if g.Model == model || surplus[g.Model] <= 0 {
			continue
		}
		surplus[g.Model]--
		missing -= g.Members
		given = append(given, g.Key)
	}
	if missing > 0 {
		return nil
	}
	return given
}

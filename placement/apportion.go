package placement

import (
	"cmp"
	"slices"
	"strings"
)

// Demand is what a deployment requests from the whole fleet.
type Demand struct {
	Deployment string
	// Replicas is the number of wanted replicas, zero for as many as fit.
	Replicas int
	// Size is the number of nodes of a replica.
	Size     int
	Priority int
}

// Supply is what a domain can provide for a deployment.
type Supply struct {
	Domain string
	// Eligible is the number of usable nodes in the domain that the deployment selects.
	Eligible int
	// Existing is the number of the deployment's replicas in the domain. Serving is the number of
	// those that serve requests.
	Existing int
	Serving  int
}

// Apportion returns how many replicas each domain should have. The result depends only on the
// arguments, so that the owners of domains agree without communication if they have the same
// reports. Domains keep their existing replicas, those with the most serving replicas first.
// Missing replicas are assigned to the domains with the most free nodes.
func Apportion(d Demand, supplies []Supply) map[string]int {
	shares := make(map[string]int, len(supplies))
	ordered := slices.Clone(supplies)
	slices.SortFunc(ordered, func(a, b Supply) int {
		return cmp.Or(cmp.Compare(b.Serving, a.Serving), strings.Compare(a.Domain, b.Domain))
	})
	if d.Replicas == 0 {
		for _, s := range ordered {
			shares[s.Domain] = s.Eligible / d.Size
		}
		return shares
	}
	missing := keepExisting(d, ordered, shares)
	addMissing(d, ordered, shares, missing)
	return shares
}

// keepExisting assigns the existing replicas to their domains, the serving ones first. The others
// are only assigned if the domain has enough eligible nodes for them. It returns the number of
// replicas that are still missing.
func keepExisting(d Demand, ordered []Supply, shares map[string]int) int {
	missing := d.Replicas
	for _, s := range ordered {
		n := min(s.Serving, missing)
		shares[s.Domain] = n
		missing -= n
	}
	for _, s := range ordered {
		fits := min(s.Existing, s.Eligible/d.Size) - shares[s.Domain]
		n := min(max(fits, 0), missing)
		shares[s.Domain] += n
		missing -= n
	}
	return missing
}

// addMissing assigns the missing replicas one by one to the domain with the most free nodes, even
// if there are too few for a replica. The plan of that domain then lists the replica as dark.
func addMissing(d Demand, ordered []Supply, shares map[string]int, missing int) {
	for ; missing > 0 && len(ordered) > 0; missing-- {
		best := slices.MaxFunc(ordered, func(a, b Supply) int {
			freeA := a.Eligible - shares[a.Domain]*d.Size
			freeB := b.Eligible - shares[b.Domain]*d.Size
			return cmp.Or(cmp.Compare(freeA, freeB), strings.Compare(b.Domain, a.Domain))
		})
		shares[best.Domain]++
	}
}

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
	Size     int
	Priority int
}

// Supply is what a domain can provide for a deployment.
type Supply struct {
	Domain string
	// Eligible is the number of usable nodes in the domain that the deployment selects.
	Eligible int
	// Existing is the number of the deployment's replicas in the domain, Serving the number of
	// those that serve.
	Existing int
	Serving  int
}

// Apportion returns how many replicas each domain should have. The result depends only on the
// arguments, so owners of domains with the same reports agree without communication. Domains keep
// what they have, those with the most serving replicas first; missing replicas go to the domain
// with the most room.
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
	left := keepExisting(d, ordered, shares)
	addMissing(d, ordered, shares, left)
	return shares
}

// keepExisting assigns to each domain the replicas that it has and has room for, serving ones
// first, and returns how many still have to be placed.
func keepExisting(d Demand, ordered []Supply, shares map[string]int) int {
	left := d.Replicas
	for _, s := range ordered {
		n := min(s.Serving, left)
		shares[s.Domain] = n
		left -= n
	}
	for _, s := range ordered {
		fits := min(s.Existing, s.Eligible/d.Size) - shares[s.Domain]
		n := min(max(fits, 0), left)
		shares[s.Domain] += n
		left -= n
	}
	return left
}

// addMissing places the remaining replicas one by one in the domain with the most free nodes. If
// none has room, that domain reports the replica as dark.
func addMissing(d Demand, ordered []Supply, shares map[string]int, left int) {
	for ; left > 0 && len(ordered) > 0; left-- {
		best := slices.MaxFunc(ordered, func(a, b Supply) int {
			freeA := a.Eligible - shares[a.Domain]*d.Size
			freeB := b.Eligible - shares[b.Domain]*d.Size
			return cmp.Or(cmp.Compare(freeA, freeB), strings.Compare(b.Domain, a.Domain))
		})
		shares[best.Domain]++
	}
}

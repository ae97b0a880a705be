package placement

import (
	"cmp"
	"slices"
	"strings"
)

// Demand is what a deployment asks of the whole fleet.
type Demand struct {
	Deployment string
	// Replicas is how many are wanted, zero for as many as fit.
	Replicas int
	Size     int
	Priority int
}

// Supply is what a domain can give to a deployment.
type Supply struct {
	Domain string
	// Eligible is how many of its usable nodes the deployment selects.
	Eligible int
	// Existing is how many replicas of the deployment it holds, Serving how
	// many of them serve.
	Existing int
	Serving  int
}

// Apportion returns how many replicas of the demand each domain should hold.
// It is a function of the domains' reports alone, so that owners with the same
// reports agree without talking. Domains keep what they hold, those that serve
// most first; what is missing goes to the domain with the most room.
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

// keepExisting gives each domain what it holds and can hold, serving replicas
// first, and returns how many are still to be placed.
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

// addMissing places the rest one by one where the most nodes are free. What no
// domain has room for goes to the first domain, which reports it as dark.
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

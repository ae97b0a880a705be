package formation

import (
	"slices"
	"time"
)

// survivorReleaseDelay is how long idle workers of a domain wait to be completed to a group of a
// model that is short. The members of a group that ends are freed one after another, and a trade
// that completes them is found at the next tick.
const survivorReleaseDelay = 300 * time.Millisecond

const (
	// releaseMaxCoverage is the coverage of a model above which survivors do not form more groups
	// of it. At 1.25, with targetUtilization, 56 % of its slots are busy.
	releaseMaxCoverage = 1.25
	// releaseMaxSurplus is how many surplus groups the model must have in addition: for a small
	// number of groups the coverage alone says little.
	releaseMaxSurplus = 2
)

// releasedDomains returns the domains whose idle workers have been too few for a group of any
// model that is short for a while. They may form surplus groups of another model, and are traded
// back once the missing members are available and warm. The caller must hold k.mu.
func (k *Keeper) releasedDomains(needs []Need, free []FreeWorker, now time.Time) map[string]bool {
	released, waiting := make(map[string]bool), make(map[string]bool)
	for domain, workers := range byDomain(free) {
		if !lacksMembers(needs, len(workers)) || k.isTrading(domain) {
			continue
		}
		waiting[domain] = true
		releaseAt, ok := k.releaseAt[domain]
		if !ok {
			releaseAt = now.Add(survivorReleaseDelay)
			k.releaseAt[domain] = releaseAt
		}
		released[domain] = !now.Before(releaseAt)
	}
	for domain := range k.releaseAt {
		if !waiting[domain] {
			delete(k.releaseAt, domain)
		}
	}
	return released
}

// isTrading reports whether groups of a domain are being traded for another model. Members that
// become free first wait for the others.
func (k *Keeper) isTrading(domain string) bool {
	return slices.ContainsFunc(k.activeTrades, func(x Trade) bool { return x.Domain == domain })
}

// lacksMembers reports whether some model is short, and the workers are too few for a group of any
// model that is short, but enough for a group of another one.
func lacksMembers(needs []Need, workers int) bool {
	short, other := false, false
	for _, n := range needs {
		fits := n.Model.Size > 0 && n.Model.Size <= workers
		switch {
		case n.coverageWith(0) >= releaseMaxCoverage && float64(n.Have) >= n.Want+releaseMaxSurplus:
			// Another group would add no value and would have to be traded back.
		case n.isMet():
			other = other || fits
		case fits:
			return false
		default:
			short = true
		}
	}
	return short && other
}

package formation

import (
	"slices"
	"time"
)

// survivorReleaseDelay is the time for which idle workers of a domain wait for missing members of a
// group of a model that is short. More members may become free during this time, or a trade may
// provide them.
const survivorReleaseDelay = 300 * time.Millisecond

const (
	// sufficientCoverage is the ratio of available to wanted replicas at which survivors form no
	// more groups of a model. The model must also have sufficientSurplus.
	sufficientCoverage = 1.25
	// sufficientSurplus is the number of groups in addition to the wanted ones at which survivors
	// form no more groups of a model. It is required as well as sufficientCoverage, since the ratio
	// alone is not meaningful for few groups.
	sufficientSurplus = 2
)

// releasedDomains returns the domains whose idle workers have been too few for a group of any short
// model for longer than survivorReleaseDelay. These workers may form surplus groups of another
// model. The groups are traded back once the missing members are available and warm. The caller
// must hold k.mu.
func (k *Keeper) releasedDomains(needs []Need, free []FreeWorker, now time.Time) map[string]bool {
	released, isWaiting := make(map[string]bool), make(map[string]bool)
	for domain, workers := range groupByDomain(free) {
		if !lacksMembers(needs, len(workers)) || k.isTrading(domain) {
			continue
		}
		isWaiting[domain] = true
		releaseAt, ok := k.releaseAt[domain]
		if !ok {
			releaseAt = now.Add(survivorReleaseDelay)
			k.releaseAt[domain] = releaseAt
		}
		released[domain] = !now.Before(releaseAt)
	}
	for domain := range k.releaseAt {
		if !isWaiting[domain] {
			delete(k.releaseAt, domain)
		}
	}
	return released
}

// isTrading reports whether groups of a domain are being traded for another model. Members that are
// already free then wait for the others.
func (k *Keeper) isTrading(domain string) bool {
	return slices.ContainsFunc(k.activeTrades, func(x Trade) bool { return x.Domain == domain })
}

// lacksMembers reports whether the workers are too few for a group of any short model, but enough
// for a group of another model. It is false if no model is short.
func lacksMembers(needs []Need, workers int) bool {
	isAnyShort, canFormOther := false, false
	for _, n := range needs {
		fits := n.Model.Size > 0 && n.Model.Size <= workers
		switch {
		case n.coverageWith(0) >= sufficientCoverage && float64(n.Have) >= n.Want+sufficientSurplus:
			// Another group of this model would add no value and would have to be traded back.
		case n.isMet():
			canFormOther = canFormOther || fits
		case fits:
			return false
		default:
			isAnyShort = true
		}
	}
	return isAnyShort && canFormOther
}

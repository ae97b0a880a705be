package formation

import (
	"slices"
	"time"
)

// survivorReleaseDelay is the time for which a domain's idle workers are not used for surplus
// groups, if they can form no group of a model that lacks replicas. During this time, more workers
// may become free, or a trade may provide them.
const survivorReleaseDelay = 300 * time.Millisecond

const (
	// sufficientCoverage is the ratio of available to wanted replicas at which idle workers form no
	// more groups of a model. The model must also have sufficientSurplus.
	sufficientCoverage = 1.25
	// sufficientSurplus is the number of groups beyond the wanted ones at which idle workers form
	// no more groups of a model. It is required in addition to sufficientCoverage, because the
	// ratio says little if only few groups are wanted.
	sufficientSurplus = 2
)

// releasedDomains returns the domains whose idle workers may form surplus groups, which exceed the
// wanted number of groups of a model. A domain is released if, for survivorReleaseDelay, its idle
// workers could form no group of a model that lacks replicas, but could form one of another model.
// The surplus groups are traded back once the missing workers are available and warm. The caller
// must hold rc.mu.
func (rc *Reconciler) releasedDomains(needs []Need, free []FreeWorker, now time.Time) map[string]bool {
	released, isWaiting := make(map[string]bool), make(map[string]bool)
	for domain, workers := range groupByDomain(free) {
		if !lacksMembers(needs, len(workers)) || rc.isTrading(domain) {
			continue
		}
		isWaiting[domain] = true
		releaseAt, ok := rc.releaseAt[domain]
		if !ok {
			releaseAt = now.Add(survivorReleaseDelay)
			rc.releaseAt[domain] = releaseAt
		}
		released[domain] = !now.Before(releaseAt)
	}
	for domain := range rc.releaseAt {
		if !isWaiting[domain] {
			delete(rc.releaseAt, domain)
		}
	}
	return released
}

// isTrading reports whether groups of a domain are being traded for another model. The members that
// are already free then wait for the others.
func (rc *Reconciler) isTrading(domain string) bool {
	return slices.ContainsFunc(rc.activeTrades, func(x Trade) bool { return x.Domain == domain })
}

// lacksMembers reports whether the given number of workers can form no group of a model that lacks
// replicas, but can form one of another model. It is false if every model has enough replicas.
func lacksMembers(needs []Need, workerCount int) bool {
	hasShortage, canFormOther := false, false
	for _, n := range needs {
		fits := n.Model.Size > 0 && n.Model.Size <= workerCount
		switch {
		case n.coverageWith(0) >= sufficientCoverage && float64(n.Have) >= n.Want+sufficientSurplus:
			// Another group of this model would add no value and would have to be traded back.
		case n.isMet():
			canFormOther = canFormOther || fits
		case fits:
			return false
		default:
			hasShortage = true
		}
	}
	return hasShortage && canFormOther
}

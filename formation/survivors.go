package formation

import (
	"slices"
	"time"
)

// survivorReleaseDelay is how long idle workers of a domain wait for what they lack of a group
// of a model that is short. Members of a group that ends are freed one after the other,
// and a trade that completes them is found in the next look; what is left then joins
// groups of another model within half a second.
const survivorReleaseDelay = 300 * time.Millisecond

const (
	// releaseMaxCoverage is the part of what is wanted of a model above which survivors don't
	// turn to it. With a quarter more than is wanted, fillTarget of the slots leaves 0.56
	// of them busy.
	releaseMaxCoverage = 1.25
	// releaseMaxSurplus is how many groups more than are wanted there must be as well: of few
	// groups one is much.
	releaseMaxSurplus = 2
)

// releasedDomains returns the domains whose idle workers are too few for a group of any model
// that is short, and have been for a while: they may form groups beyond what is wanted
// of another model. The way back is a trade, once the missing member is there and warm.
// The keeper's mutex is held.
func (k *Keeper) releasedDomains(needs []Need, free []FreeWorker, now time.Time) map[string]bool {
	released, waiting := make(map[string]bool), make(map[string]bool)
	for domain, workers := range byDomain(free) {
		if !lacksMembers(needs, len(workers)) || k.isTrading(domain) {
			continue
		}
		waiting[domain] = true
		at, ok := k.releaseAt[domain]
		if !ok {
			at = now.Add(survivorReleaseDelay)
			k.releaseAt[domain] = at
		}
		released[domain] = !now.Before(at)
	}
	for domain := range k.releaseAt {
		if !waiting[domain] {
			delete(k.releaseAt, domain)
		}
	}
	return released
}

// isTrading reports whether groups of a domain are being given up for another model: those
// that are dissolved first wait for the others.
func (k *Keeper) isTrading(domain string) bool {
	return slices.ContainsFunc(k.activeTrades, func(x Trade) bool { return x.Domain == domain })
}

// lacksMembers reports whether some model is short, and workers are too few for a group
// of any that is, but enough for one of another model.
func lacksMembers(needs []Need, workers int) bool {
	short, other := false, false
	for _, n := range needs {
		fits := n.Model.Size > 0 && n.Model.Size <= workers
		switch {
		case n.coverageWith(0) >= releaseMaxCoverage && float64(n.Have) >= n.Want+releaseMaxSurplus:
			// More of it earns nothing, and must be given up again.
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

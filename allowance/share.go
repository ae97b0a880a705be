package allowance

import (
	"hash/fnv"
	"strings"
)

const (
	// maxHolders is the maximum number of daemons that send to a worker that warms up; more than
	// one, so that one may be down. Each holder reserves room for one saved token, so more holders
	// send less in total.
	maxHolders = 2
	// minHolderRate is the minimum rate of a holder, in requests a second, when there are several.
	minHolderRate = 1.0
	// maxDisjointViews is how many views of the registered daemons without a common holder may
	// exist at once: those of the two sides of a network partition.
	maxDisjointViews = 2
)

// Bound limits the requests that all daemons together send to a worker that warms up in any one
// second: Burst times the rate that its service is configured to bear, plus Slack.
type Bound struct {
	Burst, Slack float64
}

// Share describes how the requests to a worker that warms up are split.
type Share struct {
	// Holders is the number of daemons that send, Rate the requests a second of each.
	Holders int
	Rate    float64
}

// Divide returns how the allowance of a worker that bears perSecond requests a second is split
// among a number of registered daemons. In any one second a holder sends one request for a saved
// token, plus those whose tokens become available within the second or SendWithin before it. If
// the bound leaves no rate for two disjoint views, only one view is assumed; the rate is zero if
// that does not fit either.
func (b Bound) Divide(perSecond float64, members int) Share {
	burst := b.Burst
	if burst <= 0 {
		burst = 1
	}
	// One request is reserved for rounding at the boundaries of a second.
	limit := perSecond*burst + max(b.Slack, 0) - 1
	for holders := min(maxHolders, members); holders > 0; holders-- {
		if rate := rateOf(limit/maxDisjointViews, perSecond, holders); rate >= minHolderRate {
			return Share{Holders: holders, Rate: rate}
		}
	}
	if rate := rateOf(limit/maxDisjointViews, perSecond, 1); rate > 0 {
		return Share{Holders: 1, Rate: rate}
	}
	return Share{Holders: 1, Rate: max(rateOf(limit, perSecond, 1), 0)}
}

// rateOf returns the rate of each holder at which all together send at most limit requests in any
// one second and at most perSecond on average.
func rateOf(limit, perSecond float64, holders int) float64 {
	each := limit / float64(holders)
	return min((each-1)/(1+SendWithin.Seconds()), perSecond/float64(holders))
}

// IsHolder reports whether a daemon is among the holders of a worker: those whose ID has the
// highest hash with the worker's (rendezvous hashing). Daemons with the same list of members agree
// without messages, and adding or removing a member changes at most one holder.
func IsHolder(self, worker string, members []string, holders int) bool {
	own, higher, listed := RendezvousHash(self, worker), 0, false
	for _, other := range members {
		if other == self {
			listed = true
			continue
		}
		weight := RendezvousHash(other, worker)
		if weight > own || weight == own && strings.Compare(other, self) > 0 {
			higher++
		}
	}
	return listed && higher < holders
}

// RendezvousHash returns the hash of the name of a daemon or data hall with a worker's ID. All
// daemons must compute the same value.
func RendezvousHash(daemon, worker string) uint64 {
	h := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = h.Write([]byte(daemon + "\x00" + worker))
	// FNV spreads differences in the last bytes poorly over the upper bits; the finalizer of
	// MurmurHash3 mixes them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

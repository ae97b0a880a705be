package allowance

import (
	"hash/fnv"
	"strings"
)

const (
	// maxHolders is the maximum number of daemons that send to a worker that warms up. It is more
	// than one, so that one may be down. Each further holder lowers the total rate, because each
	// may send one request for a saved token.
	maxHolders = 2
	// minHolderRate is the minimum rate of a holder, in requests a second, if there are several
	// holders.
	minHolderRate = 1.0
	// maxDisjointViews is the number of sides of a network partition that the rates take into
	// account. Each side may see a different list of registered daemons and so select different
	// holders.
	maxDisjointViews = 2
)

// Bound limits the requests that all daemons together send to a worker that warms up. In any one
// second, they are at most Burst times the rate set for its service, plus Slack.
type Bound struct {
	Burst, Slack float64
}

// Division describes how the requests to a worker that warms up are split between daemons.
type Division struct {
	// Holders is the number of daemons that send requests. Rate is the rate of each of them, in
	// requests a second.
	Holders int
	Rate    float64
}

// Divide returns how the requests to a worker that bears perSecond requests a second are split
// between the registered daemons. members is their number. In any one second, a holder sends at
// most one request for a saved token, plus those whose tokens become available within the second or
// TokenLifetime before it. The rates take the holders on both sides of a network partition into
// account. If the bound is too low for that, they take one side into account. If it is too low even
// for one, the rate is zero.
func (b Bound) Divide(perSecond float64, members int) Division {
	burst := b.Burst
	if burst <= 0 {
		burst = 1
	}
	// One request is reserved for rounding at the boundaries of a second.
	limit := perSecond*burst + max(b.Slack, 0) - 1
	for holders := min(maxHolders, members); holders > 0; holders-- {
		if rate := rateOf(limit/maxDisjointViews, perSecond, holders); rate >= minHolderRate {
			return Division{Holders: holders, Rate: rate}
		}
	}
	if rate := rateOf(limit/maxDisjointViews, perSecond, 1); rate > 0 {
		return Division{Holders: 1, Rate: rate}
	}
	return Division{Holders: 1, Rate: max(rateOf(limit, perSecond, 1), 0)}
}

// rateOf returns the rate of each holder, in requests a second. At this rate, all holders together
// send at most limit requests in any one second, and at most perSecond on average. It may be
// negative.
func rateOf(limit, perSecond float64, holders int) float64 {
	maxPerHolder := limit / float64(holders)
	return min((maxPerHolder-1)/(1+TokenLifetime.Seconds()), perSecond/float64(holders))
}

// IsHolder reports whether a daemon is one of a worker's holders, which are selected by rendezvous
// hashing of the daemons' IDs with the worker's. Daemons with the same list of members agree on
// the holders without messages. Adding or removing a member changes at most one holder.
func IsHolder(self, worker string, members []string, holders int) bool {
	ownHash, holdersAhead, isListed := RendezvousHash(self, worker), 0, false
	for _, other := range members {
		if other == self {
			isListed = true
			continue
		}
		otherHash := RendezvousHash(other, worker)
		if otherHash > ownHash || otherHash == ownHash && strings.Compare(other, self) > 0 {
			holdersAhead++
		}
	}
	return isListed && holdersAhead < holders
}

// RendezvousHash returns a hash of the name of a daemon or data hall together with a worker's ID.
// All daemons must compute the same value.
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

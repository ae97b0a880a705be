package allowance

import (
	"hash/fnv"
	"strings"
)

const (
	// holdersMost is how many daemons send to a worker that warms up, so that one may be
	// away. Each keeps room for a request that it had a token for before, so fewer holders
	// send more together: two send 9.5 where four send 7.7 (docs/design/warm-up.md).
	holdersMost = 2
	// leastRate is the least rate, in requests a second, for which a further holder is
	// taken: below it a worker that warms up for a few seconds gets next to nothing of it.
	leastRate = 1.0
	// views is how many views of the registered daemons may exist at once that have no
	// holder in common: those of the two sides of a cut.
	views = 2
)

// Bound bounds the requests that a worker that warms up gets in any one second from all
// daemons together: Burst times what its service says that it bears, and Slack more.
type Bound struct {
	Burst, Slack float64
}

// Share is who sends to a worker that warms up.
type Share struct {
	// Holders is how many daemons do, Rate how many requests a second each.
	Holders int
	Rate    float64
}

// Divide returns the shares in the allowance of a worker that bears perSecond requests a
// second, among a number of registered daemons. In any one second a holder sends one
// request that it had a token for before, and those whose tokens come within the second
// or SendWithin before it. Where that allows next to nothing for two views, one is
// counted on; where it allows nothing, nothing is sent.
func (b Bound) Divide(perSecond float64, members int) Share {
	burst := b.Burst
	if burst <= 0 {
		burst = 1
	}
	// One request stays unused, for what counts in a second by rounding.
	limit := perSecond*burst + max(b.Slack, 0) - 1
	for holders := min(holdersMost, members); holders > 0; holders-- {
		if rate := rateOf(limit/views, perSecond, holders); rate >= leastRate {
			return Share{Holders: holders, Rate: rate}
		}
	}
	if rate := rateOf(limit/views, perSecond, 1); rate > 0 {
		return Share{Holders: 1, Rate: rate}
	}
	return Share{Holders: 1, Rate: max(rateOf(limit, perSecond, 1), 0)}
}

// rateOf returns the rate of each holder with which all together send at most limit
// requests in any one second, and no more on average than a worker bears.
func rateOf(limit, perSecond float64, holders int) float64 {
	each := limit / float64(holders)
	return min((each-1)/(1+SendWithin.Seconds()), perSecond/float64(holders))
}

// IsHolder reports whether a daemon is among the holders of a worker: those for which the
// hash of their id and the worker's is the highest. So daemons that know the same others
// agree without a message, and one that is added or unknown changes one holder at most.
func IsHolder(self, worker string, members []string, holders int) bool {
	own, higher, listed := Weigh(self, worker), 0, false
	for _, other := range members {
		if other == self {
			listed = true
			continue
		}
		weight := Weigh(other, worker)
		if weight > own || weight == own && strings.Compare(other, self) > 0 {
			higher++
		}
	}
	return listed && higher < holders
}

// Weigh returns the hash of a daemon, or a data hall, and a worker. It must be the same in
// all daemons.
func Weigh(daemon, worker string) uint64 {
	h := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = h.Write([]byte(daemon + "\x00" + worker))
	// FNV leaves the upper bits alike for texts that differ at the end only; these are
	// the constants of MurmurHash3's last step, which spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

package backpressure

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"quartzshelf.dev/allowance"
)

// MaxShareholders is the maximum number of daemons in a data hall that hold shares.
const MaxShareholders = 8

const (
	// minShareRate is the minimum rate of a share, in requests a second, if a limit is split into
	// several shares. At a low rate, it takes long until the first token of a share is available.
	minShareRate = 0.25
	// minProbeRate is the minimum rate, in requests a second, at which requests may be sent to a
	// worker, even if its limit is lower. Only the answers show that the worker raised its limit.
	minProbeRate = 0.1
	// staleAfter is the time without a report of a limit after which the limit is stale. Its
	// shares are then replaced by a single one, as the previous holders may be down or get no
	// requests. The single share moves to another daemon after each further staleAfter.
	staleAfter = 10 * time.Second
)

// Bound limits the requests that all daemons together send to a rate-limited worker. Within any
// Window, they are at most Burst times the number that the worker's limit allows, plus Slack.
type Bound struct {
	Burst, Slack float64
	Window       time.Duration
}

// division describes how a limit is split. shares is the number of shares, rate the rate of each in
// requests a second.
type division struct {
	shares int
	rate   float64
}

// maxRequests returns the maximum number of requests that all daemons together may send within the
// window. It is one less than the bound, as requests may be delayed on the network.
func (b Bound) maxRequests(perSecond float64) float64 {
	return b.Burst*perSecond*b.Window.Seconds() + b.Slack - 1
}

// maxSentPerShare returns the maximum number of requests that the holder of one share sends within
// the window. These are one request for a saved token, and those whose tokens become available
// within the window or TokenLifetime before it.
func (b Bound) maxSentPerShare(rate float64) float64 {
	return 1 + rate*(b.Window+allowance.TokenLifetime).Seconds()
}

// divide splits a limit into as many shares as the bound allows, up to maxShares, each with a rate
// of at least minShareRate. It leaves room for one more share, which a daemon unknown to the
// others may hold. With many shares, little of the limit is lost when some holders are down or get
// few requests.
func (b Bound) divide(perSecond float64, maxShares int) division {
	total := max(perSecond, minProbeRate)
	for shares := min(maxShares, max(int(total/minShareRate), 1)); shares > 0; shares-- {
		rate := total / float64(shares)
		if float64(shares+1)*b.maxSentPerShare(rate) <= b.maxRequests(perSecond) {
			return division{shares: shares, rate: rate}
		}
	}
	return b.singleShare(perSecond)
}

// singleShare returns a division into one share that stays within the bound even if two daemons
// hold it.
func (b Bound) singleShare(perSecond float64) division {
	const holders = 2
	rate := (b.maxRequests(perSecond)/holders - 1) / (b.Window + allowance.TokenLifetime).Seconds()
	return division{shares: 1, rate: max(min(rate, max(perSecond, minProbeRate)), 0)}
}

// shareholders describes the daemons that hold shares.
type shareholders struct {
	// self is the ID of this daemon, hall its data hall, and halls lists all data halls.
	self, hall string
	halls      []string
	// members are the daemons of this hall that hold shares; empty while unknown.
	members []string
}

// countShares returns how many of the given shares of a worker's limit this daemon holds. Shares
// are split evenly between data halls, and within a hall between its members. If they cannot be
// split evenly, a hash with the worker's ID decides who gets one more. Thus all daemons agree
// without knowing the members of other halls.
func (p shareholders) countShares(worker string, shares int) int {
	inHall := portionOf(p.hall, p.halls, worker, shares)
	return portionOf(p.self, p.members, worker, inHall)
}

// portionOf returns how many of the shares the given name gets when they are split as evenly as
// possible between all names.
func portionOf(name string, all []string, worker string, shares int) int {
	rank := slices.Index(sortedByHash(all, worker), name)
	if rank < 0 {
		return 0
	}
	each, remainder := shares/len(all), shares%len(all)
	if rank < remainder {
		return each + 1
	}
	return each
}

// sortedByHash returns the names sorted by their hash with a worker, highest first.
func sortedByHash(all []string, worker string) []string {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(allowance.RendezvousHash(b, worker), allowance.RendezvousHash(a, worker)), cmp.Compare(a, b))
	})
	return all
}

// staleKey returns the key by which the single share of a stale limit is assigned, in place of the
// worker's ID. It changes every staleAfter, so that the share moves to another daemon.
func staleKey(worker string, sinceReport time.Duration) string {
	return worker + "#" + strconv.Itoa(int(sinceReport/staleAfter))
}

// Package routing chooses the replica that serves a request. It also counts the requests in flight,
// on which the choice is based. It does no I/O.
package routing

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a replica that may serve a request, with its load.
type Candidate struct {
	// ID is the ID of the replica.
	ID string
	// OwnInFlight is the number of requests that this daemon has in flight at the replica.
	OwnInFlight int
	// OwnInFlightAtReport is the value of OwnInFlight when the replica's last report arrived.
	OwnInFlightAtReport int
	// Reported is the number of running and queued requests in the replica's last report.
	Reported int
	// Slots is the number of requests that the replica runs at once, zero if unknown.
	Slots int
}

const (
	// defaultSlots is assumed for a replica that has not reported its slots.
	defaultSlots = 8
	// homeCount is the number of home replicas of a prefix, to which its requests are preferably
	// routed.
	homeCount = 2
	// homeLoadFactor and homeLoadExtra limit the number of this daemon's requests at a home replica
	// to homeLoadFactor times the mean of all candidates, plus homeLoadExtra.
	homeLoadFactor = 1.25
	homeLoadExtra  = 0.0
)

// Occupancy returns the expected number of requests at the replica, per slot. This is the reported
// number, corrected by the requests that this daemon has started and finished since the report.
func (c Candidate) Occupancy() float64 {
	expected := max(c.Reported+c.OwnInFlight-c.OwnInFlightAtReport, c.OwnInFlight)
	return float64(expected) / float64(c.slots())
}

func (c Candidate) slots() int {
	if c.Slots <= 0 {
		return defaultSlots
	}
	return c.Slots
}

// PrefixHash returns a hash of the beginning of a prompt and the client account. Requests with the
// same hash are preferably routed to the same replicas.
func PrefixHash(account, prompt string) uint64 {
	const prefixBytes = 256
	return hash(account + "\x00" + prompt[:min(len(prompt), prefixBytes)])
}

// Pick returns the index of the candidate that should serve a request, or -1 if there are none.
//
// It prefers the home replicas of the prefix. They are the same at every daemon, so that the prefix
// stays in their caches. Pick returns the first home that has few enough requests of this daemon
// (see homeLoadFactor). If there is none, it returns a candidate with the fewest requests of this
// daemon. Reports from the replicas only break ties, since daemons that rely on the same outdated
// report would all pick the same replica.
func Pick(candidates []Candidate, prefix uint64, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	maxHomeLoad := homeLoadFactor*meanInFlight(candidates) + homeLoadExtra
	for _, home := range homesOf(candidates, prefix) {
		if float64(candidates[home].OwnInFlight) <= maxHomeLoad {
			return home
		}
	}
	return pickLeastBusy(candidates, random)
}

func meanInFlight(candidates []Candidate) float64 {
	return float64(TotalOwnInFlight(candidates)) / float64(len(candidates))
}

// pickLeastBusy picks two random candidates among those with the fewest requests of this daemon,
// and returns the index of the one with the lower occupancy.
func pickLeastBusy(candidates []Candidate, random *rand.Rand) int {
	first, second, tied := -1, -1, 0
	for i, c := range candidates {
		switch {
		case first < 0 || c.OwnInFlight < candidates[first].OwnInFlight:
			first, second, tied = i, i, 1
		case c.OwnInFlight == candidates[first].OwnInFlight:
			tied++
			// By reservoir sampling, each of these candidates is equally likely.
			if random.IntN(tied) == 0 {
				first = i
			}
			if random.IntN(tied) == 0 {
				second = i
			}
		}
	}
	if candidates[second].Occupancy() < candidates[first].Occupancy() {
		return second
	}
	return first
}

// homesOf returns the indexes of the home replicas of a prefix: the homeCount candidates with the
// highest scores in rendezvous hashing, the highest first.
func homesOf(candidates []Candidate, prefix uint64) []int {
	var best [homeCount]int
	var scores [homeCount]uint64
	n := 0
	for i, c := range candidates {
		score := mix(hash(c.ID) ^ prefix)
		position := n
		for position > 0 && scores[position-1] < score {
			position--
		}
		if position == homeCount {
			continue
		}
		n = min(n+1, homeCount)
		copy(best[position+1:], best[position:])
		copy(scores[position+1:], scores[position:])
		best[position], scores[position] = i, score
	}
	return best[:n]
}

// LeastOccupancy returns the lowest occupancy of the candidates, or infinity if there are none.
func LeastOccupancy(candidates []Candidate) float64 {
	least := math.Inf(1)
	for _, c := range candidates {
		least = min(least, c.Occupancy())
	}
	return least
}

// MeanOccupancy returns the mean occupancy of the candidates, weighted by their slots. It returns
// infinity if there are none.
func MeanOccupancy(candidates []Candidate) float64 {
	var load, slots float64
	for _, c := range candidates {
		load += c.Occupancy() * float64(c.slots())
		slots += float64(c.slots())
	}
	if slots == 0 {
		return math.Inf(1)
	}
	return load / slots
}

// TotalOwnInFlight returns the number of requests that this daemon has in flight at the candidates.
func TotalOwnInFlight(candidates []Candidate) int {
	sum := 0
	for _, c := range candidates {
		sum += c.OwnInFlight
	}
	return sum
}

// Slots returns the sum of the candidates' slots.
func Slots(candidates []Candidate) int {
	sum := 0
	for _, c := range candidates {
		sum += c.slots()
	}
	return sum
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}

// mix is the finalizer of SplitMix64. It improves the distribution of a weak hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Package routing chooses the replica that answers a request. It keeps no
// state of its own and does no I/O.
package routing

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a replica as the router sees it now.
type Candidate struct {
	// ID names the replica.
	ID string
	// Own is how many requests this daemon has in flight there.
	Own int
	// OwnAtReport is how many it had when the replica's last report came in.
	OwnAtReport int
	// Reported is how many requests the replica reported, running and queued.
	Reported int
	// Slots is how many it works on at once, zero for unknown.
	Slots int
}

const (
	// defaultSlots stands in for a replica that has not reported its slots.
	defaultSlots = 8
	// homes is how many replicas a prefix may be kept at.
	homes = 2
	// homeSlack and homeSpare bound how many of this daemon's requests a home may
	// have: homeSlack times the mean, and homeSpare more. docs/MEASUREMENTS.md
	// tells how they were chosen.
	homeSlack = 1.25
	homeSpare = 0.0
)

// Occupancy returns the replica's expected load as a share of its slots: the
// report, corrected by what this daemon has started and ended since.
func (c Candidate) Occupancy() float64 {
	expected := max(c.Reported+c.Own-c.OwnAtReport, c.Own)
	return float64(expected) / float64(c.slots())
}

func (c Candidate) slots() int {
	if c.Slots <= 0 {
		return defaultSlots
	}
	return c.Slots
}

// Prefix returns the hash by which requests that share the beginning of their
// prompt are brought together, within one client account.
func Prefix(account, prompt string) uint64 {
	const prefixBytes = 256
	return hash(account + "\x00" + prompt[:min(len(prompt), prefixBytes)])
}

// Pick returns the index of the candidate for a request, -1 for none.
//
// The first of the prefix's homes that is not clearly busier than the mean is
// taken: homes are the same at every daemon, so prefixes stay cached, and a
// popular prefix spreads over several homes. Otherwise the request goes to a
// replica with the fewest of this daemon's own requests. Reports break ties
// alone: they are older than most requests, and daemons that follow the same
// stale report all choose alike.
func Pick(candidates []Candidate, prefix uint64, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	bound := homeSlack*meanOwn(candidates) + homeSpare
	for _, home := range homesOf(candidates, prefix) {
		if float64(candidates[home].Own) <= bound {
			return home
		}
	}
	return leastOwn(candidates, random)
}

func meanOwn(candidates []Candidate) float64 {
	return float64(Own(candidates)) / float64(len(candidates))
}

// leastOwn returns, of two random candidates with the fewest own requests, the
// less occupied one.
func leastOwn(candidates []Candidate, random *rand.Rand) int {
	first, second, found := -1, -1, 0
	for i, c := range candidates {
		switch {
		case first < 0 || c.Own < candidates[first].Own:
			first, second, found = i, i, 1
		case c.Own == candidates[first].Own:
			found++
			// Each of the candidates found is as likely as any other.
			if random.IntN(found) == 0 {
				first = i
			}
			if random.IntN(found) == 0 {
				second = i
			}
		}
	}
	if candidates[second].Occupancy() < candidates[first].Occupancy() {
		return second
	}
	return first
}

// homesOf returns the candidates with the highest rendezvous scores for the
// prefix, the highest first.
func homesOf(candidates []Candidate, prefix uint64) []int {
	var best [homes]int
	var scores [homes]uint64
	n := 0
	for i, c := range candidates {
		score := mix(hash(c.ID) ^ prefix)
		place := n
		for place > 0 && scores[place-1] < score {
			place--
		}
		if place == homes {
			continue
		}
		n = min(n+1, homes)
		copy(best[place+1:], best[place:])
		copy(scores[place+1:], scores[place:])
		best[place], scores[place] = i, score
	}
	return best[:n]
}

// LeastOccupancy returns the lowest occupancy of the candidates, infinity for
// none.
func LeastOccupancy(candidates []Candidate) float64 {
	least := math.Inf(1)
	for _, c := range candidates {
		least = min(least, c.Occupancy())
	}
	return least
}

// MeanOccupancy returns the mean occupancy weighted by slots, infinity for no
// candidates.
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

// Own returns how many requests this daemon has in flight at the candidates.
func Own(candidates []Candidate) int {
	sum := 0
	for _, c := range candidates {
		sum += c.Own
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

// mix spreads the bits of a weak hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Package routing chooses the replica that answers a request. It keeps no
// state of its own and does no I/O.
package routing

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
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
	// affinitySlack is by how much more occupied than the least occupied of two
	// random candidates the replica with the cached prefix may be, in shares of
	// its slots. See docs/MEASUREMENTS.md for how it was chosen.
	affinitySlack = 0.5
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

// Pick returns the index of the candidate for a request, -1 for none. The
// replica that the prefix hashes to is the same at every daemon; it is taken
// unless it is clearly busier than the better of two random candidates, which
// also keeps daemons with the same stale reports from all choosing alike.
func Pick(candidates []Candidate, prefix uint64, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	other := twoChoices(candidates, random)
	home := homeOf(candidates, prefix)
	if candidates[home].Occupancy() <= candidates[other].Occupancy()+affinitySlack && candidates[home].Occupancy() < 1 {
		return home
	}
	return other
}

// twoChoices returns the less occupied of two random candidates.
func twoChoices(candidates []Candidate, random *rand.Rand) int {
	a, b := random.IntN(len(candidates)), random.IntN(len(candidates))
	if cmp.Less(candidates[b].Occupancy(), candidates[a].Occupancy()) {
		return b
	}
	return a
}

// homeOf returns the candidate with the highest rendezvous score for prefix.
func homeOf(candidates []Candidate, prefix uint64) int {
	best, bestScore := 0, uint64(0)
	for i, c := range candidates {
		if s := mix(hash(c.ID) ^ prefix); s >= bestScore {
			best, bestScore = i, s
		}
	}
	return best
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

// Slots returns the sum of the candidates' slots.
func Slots(candidates []Candidate) int {
	sum := 0
	for _, c := range candidates {
		sum += c.slots()
	}
	return sum
}

func hash(text string) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// mix spreads the bits of a weak hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

package membership

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"quartzshelf.dev/rpc"
)

const (
	// hallProbes and fleetProbes are the numbers of members to probe in the daemon's own data hall
	// and in the whole fleet.
	hallProbes  = 2
	fleetProbes = 1
	// smallFleetSize is the maximum fleet size in which every daemon exchanges with all others.
	smallFleetSize = 9
	// fanout is the maximum number of peers per round of exchanges in larger fleets.
	fanout = 2
	// remoteHallShare is the probability that a peer is chosen from all data halls rather than from
	// the daemon's own.
	remoteHallShare = 0.25
)

// probeTargets returns the members that self probes. They are its successors on two hash rings, one
// of its data hall and one of the fleet. This spreads the probes evenly over the members, and a
// change of the membership changes few targets.
func probeTargets(self *rpc.Member, alive []*rpc.Member) []*rpc.Member {
	local := make([]*rpc.Member, 0, len(alive))
	for _, m := range alive {
		if m.DataHall == self.DataHall {
			local = append(local, m)
		}
	}
	targets := successors(self, local, hallProbes)
	for _, m := range successors(self, alive, hallProbes+fleetProbes) {
		known := slices.ContainsFunc(targets, func(t *rpc.Member) bool { return t.Id == m.Id })
		if !known && len(targets) < hallProbes+fleetProbes {
			targets = append(targets, m)
		}
	}
	return targets
}

// successors returns the n members that follow self on the hash ring.
func successors(self *rpc.Member, members []*rpc.Member, n int) []*rpc.Member {
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b *rpc.Member) int {
		return cmp.Or(cmp.Compare(ringPosition(a.Id), ringPosition(b.Id)), cmp.Compare(a.Id, b.Id))
	})
	start := slices.IndexFunc(ring, func(m *rpc.Member) bool { return m.Id == self.Id })
	var next []*rpc.Member
	for i := 1; i < len(ring) && len(next) < n; i++ {
		m := ring[(start+i)%len(ring)]
		if m.Id != self.Id {
			next = append(next, m)
		}
	}
	return next
}

// exchangePeers returns the members to exchange with in this round. In a small fleet these are all
// other members, in a larger one up to fanout random ones.
func exchangePeers(self *rpc.Member, alive []*rpc.Member, random *rand.Rand) []*rpc.Member {
	if len(alive) <= smallFleetSize {
		return slices.DeleteFunc(slices.Clone(alive), func(m *rpc.Member) bool { return m.Id == self.Id })
	}
	chosen := make([]*rpc.Member, 0, fanout)
	for range fanout {
		m := randomPeer(self, alive, random)
		if m != nil && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// maxPeerAttempts is the maximum number of random draws to find a peer.
const maxPeerAttempts = 32

// randomPeer returns a random member other than self, mostly of the same data hall. It returns nil
// if all draws hit self.
func randomPeer(self *rpc.Member, alive []*rpc.Member, random *rand.Rand) *rpc.Member {
	allowAnyHall := random.Float64() < remoteHallShare
	var fallback *rpc.Member
	for range maxPeerAttempts {
		m := alive[random.IntN(len(alive))]
		if m.Id == self.Id {
			continue
		}
		if allowAnyHall || m.DataHall == self.DataHall {
			return m
		}
		fallback = m
	}
	return fallback
}

// ringPosition returns the position of a member on the hash ring.
func ringPosition(id string) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	// Ids often differ in their last bytes only, which FNV mixes weakly. Mix them further.
	sum ^= sum >> 32
	return sum * 0x9e3779b97f4a7c15
}

package membership

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"quartzshelf.dev/rpc"
)

const (
	// hallProbes and fleetProbes are how many members of the own data hall and
	// of the whole fleet a daemon probes.
	hallProbes  = 2
	fleetProbes = 1
	// smallFleet is the size up to which every daemon exchanges with all others.
	smallFleet = 9
	// fanout is how many peers a daemon of a larger fleet exchanges with at a time.
	fanout = 2
	// farShare is the share of exchanges that leave the own data hall.
	farShare = 0.25
)

// probeTargets returns the members that self probes: its successors on a ring
// of hashes, in its data hall and over the fleet. Each member so has as many
// probers as there are targets, and a change of the fleet moves few of them.
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

// successors returns the n members that follow self on the ring of hashes.
func successors(self *rpc.Member, members []*rpc.Member, n int) []*rpc.Member {
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b *rpc.Member) int {
		return cmp.Or(cmp.Compare(position(a.Id), position(b.Id)), cmp.Compare(a.Id, b.Id))
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

// exchangePeers returns the members to exchange with in this round.
func exchangePeers(self *rpc.Member, alive []*rpc.Member, random *rand.Rand) []*rpc.Member {
	if len(alive) <= smallFleet {
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

// peerTries bounds the search for a random peer.
const peerTries = 32

// randomPeer returns a random member, mostly of the own data hall; nil when
// chance brings none.
func randomPeer(self *rpc.Member, alive []*rpc.Member, random *rand.Rand) *rpc.Member {
	far := random.Float64() < farShare
	var fallback *rpc.Member
	for range peerTries {
		m := alive[random.IntN(len(alive))]
		if m.Id == self.Id {
			continue
		}
		if far || m.DataHall == self.DataHall {
			return m
		}
		fallback = m
	}
	return fallback
}

// position returns the place of a member on the ring of hashes.
func position(id string) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	// FNV mixes the last bytes weakly, and ids differ there.
	sum ^= sum >> 32
	return sum * 0x9e3779b97f4a7c15
}

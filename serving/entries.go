package serving

import (
	"cmp"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// Caller describes a client that asks for the addresses of daemons. Empty fields are unknown.
type Caller struct {
	// Host is the host name that the requests will carry.
	Host string
	// Region is the region of the caller.
	Region string
}

// entry is a daemon whose address may be given to a caller.
type entry struct {
	address string
	hall    string
	isReady bool
}

// AddressesFor returns the addresses of the daemons that a caller should use. It omits daemons that
// are leaving. It prefers ready daemons, among them those in the caller's region or in the regions
// that the routes of its host allow. Daemons of other halls come first, because callers use only
// the first few addresses and should still reach a daemon if this hall fails.
func (s *Server) AddressesFor(c Caller) []string {
	all := s.entries()
	allowed := s.allowedRegions(c)
	inRegion := func(e entry) bool { return allowed.Allows(s.regionOf(e.hall)) }
	isReady := func(e entry) bool { return e.isReady }
	inRegions := selectEntries(all, inRegion)
	for _, candidates := range [][]entry{selectEntries(inRegions, isReady), selectEntries(all, isReady), inRegions, all} {
		if len(candidates) > 0 {
			return addressesOf(candidates)
		}
	}
	return nil
}

// allowedRegions returns the regions whose daemons a caller may use; empty for all.
func (s *Server) allowedRegions(c Caller) fleet.Regions {
	if c.Region == "" {
		return nil
	}
	regions := fleet.Regions{c.Region}
	if config := s.configCache.Config(); config != nil {
		regions = append(regions, config.RegionsOf(c.Host)...)
	}
	return regions
}

// entries returns the entries of this daemon and of all others that are alive, except for those
// that are leaving. Daemons of other halls come first, after this one.
func (s *Server) entries() []entry {
	var all []entry
	if !s.isLeaving() {
		all = append(all, entry{address: s.opts.Self.ServingAddress, hall: s.opts.Self.Zone, isReady: s.isFullyReady()})
	}
	alive := s.agent.Table().Alive(time.Now())
	slices.SortStableFunc(alive, func(a, b *peers.Peer) int { return cmp.Compare(s.hallOrder(a), s.hallOrder(b)) })
	for _, p := range alive {
		if !p.Leaving {
			all = append(all, entry{address: p.ServingAddress, hall: p.Zone, isReady: p.Ready})
		}
	}
	return all
}

// hallOrder returns the sort key of a peer, which is 1 in the own hall and 0 in any other.
func (s *Server) hallOrder(p *peers.Peer) int {
	if p.Zone == s.opts.Self.Zone {
		return 1
	}
	return 0
}

func selectEntries(all []entry, wanted func(e entry) bool) []entry {
	var selected []entry
	for _, e := range all {
		if wanted(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

func addressesOf(all []entry) []string {
	addresses := make([]string, 0, len(all))
	for _, e := range all {
		addresses = append(addresses, e.address)
	}
	return addresses
}

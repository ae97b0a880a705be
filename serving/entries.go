package serving

import (
	"cmp"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// Caller describes who asks for the addresses of daemons. Empty fields are unknown.
type Caller struct {
	// Host is the host name that the requests will carry.
	Host string
	// Region is the region of the caller.
	Region string
}

// entry is a daemon whose address may be given to a caller.
type entry struct {
	front string
	zone  string
	ready bool
}

// Entries returns the addresses that a caller should use: daemons that are alive, ready and not
// leaving, or ones that are not ready if there are no others. If any are ready in the caller's
// region, or in the regions that the routes of its host allow, only those are returned. Callers
// use a part of the addresses from the start, so the few known daemons of other halls come first:
// a caller that keeps the addresses then still reaches some if this whole hall fails.
func (s *Server) Entries(c Caller) []string {
	all := s.entries()
	allowed := s.allowedRegions(c)
	inRegion := func(e entry) bool { return allowed.Allows(s.regionOf(e.zone)) }
	isReady := func(e entry) bool { return e.ready }
	inRegions := selectEntries(all, inRegion)
	for _, candidates := range [][]entry{selectEntries(inRegions, isReady), selectEntries(all, isReady), inRegions, all} {
		if len(candidates) > 0 {
			return frontsOf(candidates)
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
	if config := s.beliefs.Config(); config != nil {
		regions = append(regions, config.RegionsOf(c.Host)...)
	}
	return regions
}

// entries returns this daemon and all others that are alive and not leaving, those of other halls
// first.
func (s *Server) entries() []entry {
	var all []entry
	if !s.leaving.Load() {
		all = append(all, entry{front: s.opts.Self.Front, zone: s.opts.Self.Zone, ready: s.Ready()})
	}
	alive := s.agent.Table().Alive(time.Now())
	slices.SortStableFunc(alive, func(a, b *peers.Peer) int { return cmp.Compare(s.hallOrder(a), s.hallOrder(b)) })
	for _, p := range alive {
		if !p.Leaving {
			all = append(all, entry{front: p.Front, zone: p.Zone, ready: p.Ready})
		}
	}
	return all
}

// hallOrder returns 1 for a daemon of the own hall, and 0 for any other, for sorting.
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

func frontsOf(all []entry) []string {
	fronts := make([]string, 0, len(all))
	for _, e := range all {
		fronts = append(fronts, e.front)
	}
	return fronts
}

package serving

import (
	"cmp"
	"slices"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// Caller is who asks for the addresses of daemons. What is empty is not known.
type Caller struct {
	// Host is the name that the requests will carry.
	Host string
	// Region is where the caller is.
	Region string
}

// entry is a daemon that may be named to a caller.
type entry struct {
	front string
	zone  string
	ready bool
}

// Entries returns the addresses that a caller should use: those of daemons that are
// alive, ready and stay; those that are not ready only if no other is left. Daemons of
// the caller's region, and of those that its host's routes allow, are named alone as long
// as one of them is ready. Callers take a part of the addresses from the start, so the few
// that are known of other halls come before the many of this one: who keeps an answer
// while a whole hall goes finds some that live.
func (s *Server) Entries(c Caller) []string {
	all := s.entries()
	allowed := s.allowedRegions(c)
	inRegion := func(e entry) bool { return allowed.Allows(s.regionOf(e.zone)) }
	isReady := func(e entry) bool { return e.ready }
	near := selectEntries(all, inRegion)
	for _, some := range [][]entry{selectEntries(near, isReady), selectEntries(all, isReady), near, all} {
		if len(some) > 0 {
			return frontsOf(some)
		}
	}
	return nil
}

// allowedRegions returns the regions whose daemons suit a caller; empty for all.
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

// entries returns this daemon and the others that live, those of other halls first.
func (s *Server) entries() []entry {
	var all []entry
	if !s.leaving.Load() {
		all = append(all, entry{front: s.opts.Self.Front, zone: s.opts.Self.Zone, ready: s.Ready()})
	}
	alive := s.agent.Table().Alive(time.Now())
	slices.SortStableFunc(alive, func(a, b *peers.Peer) int { return cmp.Compare(s.nearness(a), s.nearness(b)) })
	for _, p := range alive {
		if !p.Leaving {
			all = append(all, entry{front: p.Front, zone: p.Zone, ready: p.Ready})
		}
	}
	return all
}

// nearness is 1 for a daemon of the own hall, and 0 for another one.
func (s *Server) nearness(p *peers.Peer) int {
	if p.Zone == s.opts.Self.Zone {
		return 1
	}
	return 0
}

func selectEntries(all []entry, wanted func(e entry) bool) []entry {
	var some []entry
	for _, e := range all {
		if wanted(e) {
			some = append(some, e)
		}
	}
	return some
}

func frontsOf(all []entry) []string {
	fronts := make([]string, 0, len(all))
	for _, e := range all {
		fronts = append(fronts, e.front)
	}
	return fronts
}

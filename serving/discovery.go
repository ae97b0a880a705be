package serving

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"quartzshelf.dev/backpressure"
	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/peers"
)

const (
	// firstDiscoveryPause and discoveryInterval are the pauses between attempts to discover other
	// daemons: after the first attempt, and after later ones.
	firstDiscoveryPause = 400 * time.Millisecond
	discoveryInterval   = time.Second
	// discoverySpread is the period over which daemons that find an empty member list, as in the
	// first start of a fleet, randomly spread their second attempt. Otherwise all of them would
	// register at the same moment.
	discoverySpread = 300 * time.Millisecond
	// memberListTimeout limits a call to the member list as a whole; a call that makes no progress
	// ends much sooner.
	memberListTimeout = 3 * time.Second
	// minRegistered is the number of daemons to be registered in each data hall. The
	// minFittestRegistered fittest ones register in any case: from them a starting daemon learns
	// the relays of the hall and the daemons that share limits. The others are discovered by their
	// heartbeats and need not register.
	minRegistered        = 32
	minFittestRegistered = backpressure.MembersMost
	// memberRereadDelay is the time after which the member list is read again after the first
	// read, to find daemons that started at the same time. memberReadInterval is the interval
	// afterwards; new daemons of the own hall are discovered by their heartbeats.
	memberRereadDelay  = 4 * time.Second
	memberReadInterval = time.Minute
)

// discoverPeers reads the member list, again soon after the start and while no other daemon is
// heard, and registers this daemon if needed, until ctx ends. Daemons that read the list later
// report to this one.
func (s *Server) discoverPeers(ctx context.Context) {
	next, hasSpread := firstDiscoveryPause, false
	s.mustRereadMembers.Store(true)
	for ctx.Err() == nil {
		now := time.Now()
		if s.membersReadAt.Load() == nil || s.mustRereadMembers.Load() || len(s.agent.Table().Alive(now)) == 0 || s.memberReadDue(now) {
			s.readMembers(ctx)
		}
		if s.membersReadAt.Load() != nil && len(s.hallMembers) == 0 && !hasSpread {
			hasSpread = true
			pause.For(ctx, rand.N(discoverySpread))
			continue
		}
		// A daemon that registers reads the list again, so that of two daemons that register at
		// the same time, the later one finds the other.
		registered := s.registrationDue(time.Now()) && s.register(ctx)
		s.mustRereadMembers.Store(registered)
		s.readOtherHalls(ctx)
		pause.For(ctx, next)
		next = discoveryInterval
	}
}

// registrationDue reports whether this daemon has to be added to the member list.
func (s *Server) registrationDue(now time.Time) bool {
	if !s.registration.at.IsZero() {
		return s.registration.mayBeLost(s.storeEra(), now)
	}
	readAt := s.membersReadAt.Load()
	switch {
	case readAt == nil:
		return now.Sub(s.start) > memberListWait
	case s.boundsWarmUp():
		return true
	case len(s.agent.Table().Alive(now)) == 0 && now.Sub(*readAt) > listenPeriod:
		return true
	}
	return needsEntry(s.hallMembers, s.opts.Self)
}

// needsEntry reports whether a daemon should be added to its hall's part of the member list: the
// list is short, or it lacks daemons at least as fit. A daemon listed with an earlier incarnation
// can be found by that entry.
func needsEntry(listed []peers.Identity, self peers.Identity) bool {
	fitter := 0
	for _, other := range listed {
		if other.ID == self.ID && other.Address == self.Address {
			return false
		}
		if peers.CompareRelays(other, self) < 0 {
			fitter++
		}
	}
	return len(listed) < minRegistered || fitter < minFittestRegistered
}

// maxCopyAge is the maximum age of the copy that the store is restored from.
const maxCopyAge = time.Minute

// storeEra returns how many times the store was restored from a copy, as far as this daemon knows.
func (s *Server) storeEra() int64 {
	if s.opts.Era == nil {
		return 0
	}
	return s.opts.Era()
}

// registration records when this daemon registered, and in which era of the store.
type registration struct {
	at  time.Time
	era int64
}

// mayBeLost reports whether the registration may have been lost: it was made shortly before the
// store was restored from a copy. Older registrations are in the copy and need not be repeated.
func (r registration) mayBeLost(era int64, now time.Time) bool {
	return era > r.era && now.Sub(r.at) < maxCopyAge
}

func (s *Server) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	now := time.Now()
	if err := s.opts.MemberList.Register(ctx, s.opts.Self); err != nil {
		s.logger.Debug("registration in the member list failed", "error", err)
		return false
	}
	s.registration = registration{at: now, era: s.storeEra()}
	return true
}

// otherHalls returns all data halls except the own one.
func (s *Server) otherHalls() []string {
	isOwn := func(hall string) bool { return hall == s.opts.Self.Zone }
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.opts.Regions)), isOwn)
}

// readMembers reads the member list of the own hall, and of others if needed.
func (s *Server) readMembers(ctx context.Context) {
	delay := memberReadInterval
	if s.membersReadAt.Load() == nil || s.mustRereadMembers.Load() {
		// Other daemons may be about to register.
		delay = memberRereadDelay
	}
	if s.readHall(ctx, s.opts.Self.Zone) {
		s.unreadHalls = s.otherHalls()
		s.readOtherHalls(ctx)
	}
	s.nextMemberRead = time.Now().Add(delay)
}

// readOtherHalls reads the member lists of the remaining data halls, after that of the own hall.
// Members of a large fleet skip this, since their relays tell them of other halls; otherwise the
// reads would grow with the square of the fleet.
func (s *Server) readOtherHalls(ctx context.Context) {
	if s.membersReadAt.Load() == nil || s.mustRereadMembers.Load() {
		return
	}
	for len(s.unreadHalls) > 0 {
		if !s.needsAllHalls() || !s.readHall(ctx, s.unreadHalls[0]) {
			return
		}
		s.unreadHalls = s.unreadHalls[1:]
	}
	s.allMembersRead.Store(true)
}

// needsAllHalls reports whether this daemon has to know the daemons of other data halls: if all
// report to all, if it is a relay, or if the fleet shares the bounds of workers that warm up.
func (s *Server) needsAllHalls() bool {
	return s.agent.Role() != peers.Member || s.boundsWarmUp()
}

// readHall reads the member list of a data hall.
func (s *Server) readHall(ctx context.Context, hall string) bool {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	all, err := s.opts.MemberList.Read(ctx, hall)
	now := time.Now()
	if err != nil {
		s.logger.Debug("reading the member list failed", "hall", hall, "error", err)
		return false
	}
	for _, other := range all {
		s.agent.Table().Learn(other, now)
	}
	if hall == s.opts.Self.Zone {
		s.hallMembers = all
	}
	// Roles must be known before anything else is read from the store.
	s.agent.UpdateLayout(now)
	s.membersReadAt.CompareAndSwap(nil, &now)
	return true
}

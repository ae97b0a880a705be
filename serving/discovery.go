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
	// firstDiscoveryPause is the pause after the first attempt to discover other daemons,
	// discoveryInterval the pause after later ones.
	firstDiscoveryPause = 400 * time.Millisecond
	discoveryInterval   = time.Second
	// discoverySpread is the maximum random delay before a daemon that found an empty member list
	// registers. When a fleet first starts, all daemons would otherwise register at the same
	// moment.
	discoverySpread = 300 * time.Millisecond
	// memberListTimeout limits the duration of a call to the member list.
	memberListTimeout = 3 * time.Second
	// minRegistered is the number of daemons that should be registered in each data hall.
	// minFittestRegistered is the number of the fittest daemons that always register, so that a
	// starting daemon knows the relays and the daemons that share limits. Other daemons are
	// discovered by their heartbeats.
	minRegistered        = 32
	minFittestRegistered = backpressure.MaxShareholders
	// memberRereadDelay is the time after which the member list is read again after the first read.
	// It finds daemons that started at the same time. memberReadInterval is the interval between
	// later reads.
	memberRereadDelay  = 4 * time.Second
	memberReadInterval = time.Minute
)

// discoverPeers reads the member list and registers this daemon in it if needed, until ctx ends. It
// reads the list again soon after the start, and as long as no other daemon is alive.
func (s *Server) discoverPeers(ctx context.Context) {
	wait, hasDelayed := firstDiscoveryPause, false
	s.needsMemberReread.Store(true)
	for ctx.Err() == nil {
		now := time.Now()
		if s.membersReadAt.Load() == nil || s.needsMemberReread.Load() || len(s.agent.Table().Alive(now)) == 0 || s.isMemberReadDue(now) {
			s.readMembers(ctx)
		}
		if s.membersReadAt.Load() != nil && len(s.hallMembers) == 0 && !hasDelayed {
			hasDelayed = true
			pause.Sleep(ctx, rand.N(discoverySpread))
			continue
		}
		// A daemon that registered reads the list again. If two daemons register at the same time,
		// at least one of them thus finds the other.
		registered := s.mustRegister(time.Now()) && s.register(ctx)
		s.needsMemberReread.Store(registered)
		s.readOtherHalls(ctx)
		pause.Sleep(ctx, wait)
		wait = discoveryInterval
	}
}

// mustRegister reports whether this daemon has to be added to the member list.
func (s *Server) mustRegister(now time.Time) bool {
	if !s.registration.registeredAt.IsZero() {
		return s.registration.mayBeLost(s.storeEra(), now)
	}
	readAt := s.membersReadAt.Load()
	switch {
	case readAt == nil:
		return now.Sub(s.startedAt) > memberListGracePeriod
	case s.limitsWarmUp():
		return true
	case len(s.agent.Table().Alive(now)) == 0 && now.Sub(*readAt) > listenPeriod:
		return true
	}
	return needsEntry(s.hallMembers, s.opts.Self)
}

// needsEntry reports whether a daemon should be added to its hall's part of the member list. It
// should if the list is short or holds too few fitter daemons. It should not if the list already
// holds the daemon's id and address, even with an earlier incarnation.
func needsEntry(listed []peers.Identity, self peers.Identity) bool {
	fitterCount := 0
	for _, other := range listed {
		if other.ID == self.ID && other.Address == self.Address {
			return false
		}
		if peers.CompareRelays(other, self) < 0 {
			fitterCount++
		}
	}
	return len(listed) < minRegistered || fitterCount < minFittestRegistered
}

// maxCopyAge is the maximum age of the copy that the store is restored from.
const maxCopyAge = time.Minute

// storeEra returns how many times the store was restored from a copy, as far as this daemon knows.
func (s *Server) storeEra() int64 {
	if s.opts.StoreEra == nil {
		return 0
	}
	return s.opts.StoreEra()
}

// registration records when this daemon registered, and the value of storeEra at that time.
type registration struct {
	registeredAt time.Time
	era          int64
}

// mayBeLost reports whether the store may have lost the registration. That is the case if the store
// was restored from a copy since, and the registration may be too recent to be in the copy.
func (r registration) mayBeLost(era int64, now time.Time) bool {
	return era > r.era && now.Sub(r.registeredAt) < maxCopyAge
}

func (s *Server) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	now := time.Now()
	if err := s.opts.MemberList.Register(ctx, s.opts.Self); err != nil {
		s.logger.Debug("registration in the member list failed", "error", err)
		return false
	}
	s.registration = registration{registeredAt: now, era: s.storeEra()}
	return true
}

// otherHalls returns all data halls except the own one.
func (s *Server) otherHalls() []string {
	isOwn := func(hall string) bool { return hall == s.opts.Self.Zone }
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.opts.Regions)), isOwn)
}

// readMembers reads the member list of the own hall, and those of other halls if needed.
func (s *Server) readMembers(ctx context.Context) {
	delay := memberReadInterval
	if s.membersReadAt.Load() == nil || s.needsMemberReread.Load() {
		// Other daemons may register soon, so the list is read again earlier than usual.
		delay = memberRereadDelay
	}
	if s.readHall(ctx, s.opts.Self.Zone) {
		s.unreadHalls = s.otherHalls()
		s.readOtherHalls(ctx)
	}
	s.nextMemberRead = time.Now().Add(delay)
}

// readOtherHalls reads the member lists in unreadHalls, once that of the own hall has been read.
// Members of a large fleet do not need the lists, because their relays report on other halls.
func (s *Server) readOtherHalls(ctx context.Context) {
	if s.membersReadAt.Load() == nil || s.needsMemberReread.Load() {
		return
	}
	for len(s.unreadHalls) > 0 {
		if !s.needsAllHalls() || !s.readHall(ctx, s.unreadHalls[0]) {
			return
		}
		s.unreadHalls = s.unreadHalls[1:]
	}
	s.hasReadAllMembers.Store(true)
}

// needsAllHalls reports whether this daemon has to know the daemons of other data halls. All
// daemons must in a small fleet, or if requests to cold workers are limited. Otherwise only relays
// must.
func (s *Server) needsAllHalls() bool {
	return s.agent.Role() != peers.Member || s.limitsWarmUp()
}

// readHall reads the member list of a data hall and reports whether that succeeded.
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
	// The daemon's role decides whether it reads anything else from the store, so the role is
	// updated first.
	s.agent.UpdateLayout(now)
	s.membersReadAt.CompareAndSwap(nil, &now)
	return true
}

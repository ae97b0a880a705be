package serving

import (
	"context"
	"maps"
	"slices"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/peers"
)

const (
	// meetAgain and whileAlone are the pauses between looks for other daemons: after
	// the first one, and later. Daemons start within 0.3 s of each other.
	meetAgain  = 400 * time.Millisecond
	whileAlone = time.Second
	// memberListTimeout bounds a call to the member list while its answer comes; the list
	// ends one that stands still much sooner.
	memberListTimeout = 3 * time.Second
	// enoughMembers is how many daemons of a data hall, the fittest, are registered at least:
	// by those a daemon that starts finds the hall's relays, and the others are found by
	// their heartbeats. Of 986 daemons that start together 800 need not write.
	enoughMembers = 32
	// readMembersSoon is how long after its first read the member list is read again, by
	// when daemons have registered that started with this one, within 0.3 s, and that the
	// store turned away at first. readMembersEvery is how often later: daemons that are
	// added meanwhile are heard in their own data hall at once.
	readMembersSoon  = 4 * time.Second
	readMembersEvery = time.Minute
)

// meet looks for others while this daemon hears none, soon again after the start, and
// registers it. Whoever reads later knows of this daemon and reports to it.
func (s *Server) meet(ctx context.Context) {
	next := meetAgain
	for ctx.Err() == nil {
		now := time.Now()
		if s.metAt.Load() == nil || s.readTooSoon.Load() || len(s.agent.Table().Alive(now)) == 0 || s.membersDue(now) {
			s.readMembers(ctx)
		} else {
			s.readRest(ctx)
		}
		now = time.Now()
		tooSoon := false
		if s.registrationDue(now) && s.register(ctx) {
			s.registration = registration{at: now, era: s.storeEra()}
			// Others that read before this daemon was listed may have been listed since.
			tooSoon = len(s.listed) < enoughMembers
		}
		s.readTooSoon.Store(tooSoon)
		pause.For(ctx, next)
		next = whileAlone
	}
}

// registrationDue reports whether others can't do without this daemon in the member list.
func (s *Server) registrationDue(now time.Time) bool {
	if !s.registration.at.IsZero() {
		return s.registration.lost(s.storeEra(), now)
	}
	met := s.metAt.Load()
	switch {
	case met == nil:
		return now.Sub(s.start) > meetFor
	case s.boundsWarmUp():
		return true
	case len(s.agent.Table().Alive(now)) == 0 && now.Sub(*met) > hearFor:
		return true
	}
	return lacksMember(s.listed, s.opts.Self)
}

// lacksMember reports whether a data hall's part of the member list needs a daemon: it lists
// few, or none as fit. Who is listed already, with an earlier life, is found by that.
func lacksMember(listed []peers.Identity, self peers.Identity) bool {
	fitter := 0
	for _, other := range listed {
		if other.ID == self.ID && other.Address == self.Address {
			return false
		}
		if peers.CompareFitness(other, self) < 0 {
			fitter++
		}
	}
	return fitter < enoughMembers
}

// copyAge is how old a copy is at most from which the store comes back.
const copyAge = time.Minute

// storeEra returns how often the store came back from a copy, as far as it told this daemon.
func (s *Server) storeEra() int64 {
	if s.opts.Era == nil {
		return 0
	}
	return s.opts.Era()
}

// registration is when a daemon registered, in which era of the store.
type registration struct {
	at  time.Time
	era int64
}

// lost reports whether the member list may lack a daemon that registered: it did so shortly
// before the store came back from a copy. The others of a large fleet are in the copy, and do
// not all write again.
func (r registration) lost(era int64, now time.Time) bool {
	return era > r.era && now.Sub(r.at) < copyAge
}

func (s *Server) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	err := s.opts.MemberList.Register(ctx, s.opts.Self)
	if err != nil {
		s.logger.Debug("not registered", "error", err)
	}
	return err == nil
}

// hallsToMeet returns the data halls, the own one first.
func (s *Server) hallsToMeet() []string {
	all := []string{s.opts.Self.Zone}
	for _, hall := range slices.Sorted(maps.Keys(s.opts.Regions)) {
		if hall != s.opts.Self.Zone {
			all = append(all, hall)
		}
	}
	return all
}

// readMembers reads anew who there is.
func (s *Server) readMembers(ctx context.Context) {
	s.unread = s.hallsToMeet()
	s.readRest(ctx)
}

// readRest reads who there is in the data halls that are yet to be read. A member of a
// large fleet is told of other halls by its relays, and reads its own hall alone: of
// 986 daemons each would else read of 986.
func (s *Server) readRest(ctx context.Context) {
	for len(s.unread) > 0 && (s.unread[0] == s.opts.Self.Zone || s.metAt.Load() != nil && !s.readTooSoon.Load() && s.meetsAll()) {
		if !s.readHall(ctx, s.unread[0]) {
			return
		}
		s.unread = s.unread[1:]
		if len(s.unread) == 0 {
			s.metAll.Store(true)
		}
	}
}

// meetsAll reports whether this daemon has to know the daemons of other data halls: where
// all report to all, where it relays, and where warming workers are shared out among all.
func (s *Server) meetsAll() bool {
	return s.agent.Role() != peers.Member || s.boundsWarmUp()
}

// readHall reads who there is in a data hall.
func (s *Server) readHall(ctx context.Context, hall string) bool {
	ctx, cancel := context.WithTimeout(ctx, memberListTimeout)
	defer cancel()
	all, err := s.opts.MemberList.Read(ctx, hall)
	now := time.Now()
	first := s.metAt.Load() == nil
	s.readAgain = now.Add(readMembersEvery)
	if err != nil {
		s.logger.Debug("member list not read", "hall", hall, "error", err)
		return false
	}
	if first {
		// Others were still about to register.
		s.readAgain = now.Add(readMembersSoon)
	}
	for _, other := range all {
		s.agent.Table().Learn(other, now)
	}
	if hall == s.opts.Self.Zone {
		s.listed = all
	}
	// Who relays is decided before anything else is read.
	s.agent.Arrange(now)
	s.metAt.CompareAndSwap(nil, &now)
	return true
}

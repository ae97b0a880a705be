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
	// meetAgain and whileAlone are the pauses between looks for other daemons: after
	// the first one, and later. Daemons start within 0.3 s of each other.
	meetAgain  = 400 * time.Millisecond
	whileAlone = time.Second
	// meetSpread is over how long daemons that find nobody listed, as when a fleet starts for
	// the first time, spread their second look: the time within which daemons start. All
	// that look at one moment register, and then read of each other.
	meetSpread = 300 * time.Millisecond
	// memberListTimeout bounds a call to the member list while its answer comes; the list
	// ends one that stands still much sooner.
	memberListTimeout = 3 * time.Second
	// enoughMembers is how many daemons of a data hall are registered at least, and
	// fittestMembers how many of the fittest are whatever is registered: by those a daemon
	// that starts finds the hall's relays, of which there are two and one that stands by, and
	// who holds shares of limits. The others are found by their heartbeats and need not write.
	enoughMembers  = 32
	fittestMembers = backpressure.MembersMost
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
	next, lookedAgain := meetAgain, false
	s.readTooSoon.Store(true)
	for ctx.Err() == nil {
		now := time.Now()
		if s.metAt.Load() == nil || s.readTooSoon.Load() || len(s.agent.Table().Alive(now)) == 0 || s.membersDue(now) {
			s.readMembers(ctx)
		}
		if s.metAt.Load() != nil && len(s.listed) == 0 && !lookedAgain {
			lookedAgain = true
			pause.For(ctx, rand.N(meetSpread))
			continue
		}
		// Who registers reads the list once more: of two daemons that do, the later one finds
		// the other. Daemons that did not, since they found 32 listed, took four of a hall for
		// its relays, one of which knew 182 daemons of 986.
		registered := s.registrationDue(time.Now()) && s.register(ctx)
		s.readTooSoon.Store(registered)
		s.readRest(ctx)
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
		if peers.CompareRelays(other, self) < 0 {
			fitter++
		}
	}
	return len(listed) < enoughMembers || fitter < fittestMembers
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
	now := time.Now()
	if err := s.opts.MemberList.Register(ctx, s.opts.Self); err != nil {
		s.logger.Debug("not registered", "error", err)
		return false
	}
	s.registration = registration{at: now, era: s.storeEra()}
	return true
}

// otherHalls returns the data halls but for the own one.
func (s *Server) otherHalls() []string {
	isOwn := func(hall string) bool { return hall == s.opts.Self.Zone }
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.opts.Regions)), isOwn)
}

// readMembers reads anew who there is.
func (s *Server) readMembers(ctx context.Context) {
	again := readMembersEvery
	if s.metAt.Load() == nil || s.readTooSoon.Load() {
		// Others are still about to register.
		again = readMembersSoon
	}
	if s.readHall(ctx, s.opts.Self.Zone) {
		s.unread = s.otherHalls()
		s.readRest(ctx)
	}
	s.readAgain = time.Now().Add(again)
}

// readRest reads who there is in the data halls that are yet to be read, once it is known
// who there is in the own one: a member of a large fleet is told of other halls by its
// relays, and reads its own hall alone. Of 986 daemons each would else read of 986; when all
// of them started at once and found nobody listed, they did (5,956 reads; 2,300 now).
func (s *Server) readRest(ctx context.Context) {
	if s.metAt.Load() == nil || s.readTooSoon.Load() {
		return
	}
	for len(s.unread) > 0 {
		if !s.meetsAll() || !s.readHall(ctx, s.unread[0]) {
			return
		}
		s.unread = s.unread[1:]
	}
	s.metAll.Store(true)
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
	if err != nil {
		s.logger.Debug("member list not read", "hall", hall, "error", err)
		return false
	}
	for _, other := range all {
		s.agent.Table().Learn(other, now)
	}
	if hall == s.opts.Self.Zone {
		s.listed = all
	}
	// Who relays is decided before anything else is read.
	s.agent.UpdateLayout(now)
	s.metAt.CompareAndSwap(nil, &now)
	return true
}

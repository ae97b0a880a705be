package serving

import (
	"context"
	"hash/fnv"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// readStaleAfter is the age of a daemon's state at which it reads the store itself although it
	// is updated by others. readSpread is how much daemons vary in that, so that one of them reads
	// first and updates the others.
	readStaleAfter = 1100 * time.Millisecond
	readSpread     = 500 * time.Millisecond
	// relayDelay is how much older state may be that arrives by way of a relay: one more
	// heartbeat, and the one from which the relay knows its age.
	relayDelay = 800 * time.Millisecond
	// roleSettleTime is how long after reading its hall's member list a daemon relies on its role:
	// slightly more than a round of heartbeats.
	roleSettleTime = 250 * time.Millisecond
	// memberListWait is how long a daemon that cannot read the member list waits before it reads
	// anything else.
	memberListWait = 1500 * time.Millisecond
	// relayWait is how long a starting member waits for state from its relays before it reads the
	// store itself.
	relayWait = 4 * time.Second
	// storeRetriesPerSecond limits how often all daemons together retry a store that does not
	// respond. One success suffices, since its result is forwarded to all.
	storeRetriesPerSecond = 200
)

// isReader reports whether this daemon reads the store on behalf of all others, which the leader
// does.
func (s *Server) isReader() bool {
	claim, _, _ := s.elector.State()
	return claim != nil
}

// scopeRetention is how long a daemon that is no longer a relay keeps all workers.
const scopeRetention = 5 * time.Second

// scopeCheckInterval is the time between two checks of which workers to hold, as often as the role
// may change.
const scopeCheckInterval = 200 * time.Millisecond

// watchScope updates which workers this daemon holds until ctx ends.
func (s *Server) watchScope(ctx context.Context) {
	lastNeeded := s.start
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case s.needsAllWorkers():
			lastNeeded = now
			s.inventory.SetScope(fleet.AllWorkers)
		case s.inventory.Confirmed().IsZero() || now.Sub(lastNeeded) > scopeRetention:
			s.inventory.SetScope(fleet.HeadsOnly)
		}
		pause.For(ctx, scopeCheckInterval)
	}
}

// needsAllWorkers reports whether this daemon must know all workers, not just those that requests
// go to. That applies to the leader, to relays, which may succeed it, and to all daemons if
// workers that warm up are bounded.
func (s *Server) needsAllWorkers() bool {
	return s.isReader() || s.agent.Role() != peers.Member || s.boundsWarmUp()
}

// shouldRead reports whether this daemon should read from the store, given when its state was last
// confirmed: while it leads, and when the state from peers is too old. It is not done at each
// change of leader, since that would cause too many calls in a large fleet.
func (s *Server) shouldRead(confirmed time.Time) bool {
	switch {
	case s.isReader():
		return true
	case confirmed.IsZero():
		return s.shouldReadFirst(time.Now())
	}
	return time.Since(confirmed) > maxStaleness(s.agent.Role(), s.readDelay)
}

// shouldReadFirst reports whether a daemon without any state should read the store itself. Daemons
// that start together learn from the member list which of them are relays; only these read, and
// update the others, so that the store is not overloaded.
func (s *Server) shouldReadFirst(now time.Time) bool {
	readAt := s.membersReadAt.Load()
	switch {
	case readAt == nil:
		return now.Sub(s.start) > memberListWait+s.readDelay
	case now.Sub(*readAt) < roleSettleTime || s.mustRereadMembers.Load():
		return false
	}
	return s.agent.Role() != peers.Member || now.Sub(*readAt) > relayWait+spreadOver(s.agent.DaemonCount())
}

// retrySpread returns the minimum interval between this daemon's retries of a store that does not
// respond. The leader and the relays retry without it: they are few, and all others depend on
// them.
func (s *Server) retrySpread() time.Duration {
	if s.isReader() || s.agent.Role() != peers.Member {
		return 0
	}
	return spreadOver(s.agent.DaemonCount())
}

// spreadOver returns the interval between calls of each daemon at which all of them together stay
// within storeRetriesPerSecond.
func spreadOver(daemons int) time.Duration {
	return time.Duration(daemons) * time.Second / storeRetriesPerSecond
}

// maxStaleness returns the age of state at which a daemon reads the store itself. Relays hear the
// leader directly, so they are the first to read if it loses access to the store.
func maxStaleness(role peers.Role, delay time.Duration) time.Duration {
	if role == peers.Member {
		return readStaleAfter + delay + relayDelay
	}
	return readStaleAfter + delay
}

// readDelayOf returns a daemon's own part of readSpread, derived from its id.
func readDelayOf(id string) time.Duration {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	const steps = 16
	return time.Duration(h.Sum32()%steps) * readSpread / steps
}

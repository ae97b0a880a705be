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
	// roleSettleTime is how long a daemon waits after reading its hall's member list before it
	// relies on its role. It is slightly longer than a round of heartbeats.
	roleSettleTime = 250 * time.Millisecond
	// memberListGracePeriod is how long a daemon that cannot read the member list waits before it
	// reads anything else.
	memberListGracePeriod = 1500 * time.Millisecond
	// relayStateTimeout is how long a starting member waits for state from its relays before it
	// reads the store itself.
	relayStateTimeout = 4 * time.Second
	// storeRetriesPerSecond limits how often all daemons together retry a store that does not
	// respond.
	storeRetriesPerSecond = 200
)

// isReader reports whether this daemon reads the store on behalf of all others. Only the leader
// does.
func (s *Server) isReader() bool {
	claim, _, _ := s.elector.State()
	return claim != nil
}

// scopeRetention is how long a daemon keeps all workers in memory after it last needed them.
const scopeRetention = 5 * time.Second

// scopeCheckInterval is the time between two checks of whether this daemon needs all workers.
const scopeCheckInterval = 200 * time.Millisecond

// watchScope sets whether this daemon holds all workers or only group heads, until ctx ends.
func (s *Server) watchScope(ctx context.Context) {
	lastNeeded := s.startedAt
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case s.needsAllWorkers():
			lastNeeded = now
			s.inventory.SetScope(fleet.AllWorkers)
		case s.inventory.Confirmed().IsZero() || now.Sub(lastNeeded) > scopeRetention:
			s.inventory.SetScope(fleet.HeadsOnly)
		}
		pause.Sleep(ctx, scopeCheckInterval)
	}
}

// needsAllWorkers reports whether this daemon must hold all workers rather than only group heads.
// In a large fleet only the leader and the relays must, unless requests to cold workers are
// limited.
func (s *Server) needsAllWorkers() bool {
	return s.isReader() || s.agent.Role() != peers.Member || s.limitsWarmUp()
}

// shouldRead reports whether this daemon should read from the store. The leader always should. Any
// other daemon should if its state, last confirmed at the given time, is too old.
func (s *Server) shouldRead(confirmed time.Time) bool {
	switch {
	case s.isReader():
		return true
	case confirmed.IsZero():
		return s.shouldReadInitially(time.Now())
	}
	return time.Since(confirmed) > s.maxStaleness(s.agent.Role())
}

// maxStaleness returns the age of its state after which this daemon reads the store itself in a role.
func (s *Server) maxStaleness(role peers.Role) time.Duration {
	return fleet.MaxStaleness(role == peers.Member, s.readDelay, s.opts.Bounds.RemovedWorkerBound)
}

// shouldReadInitially reports whether a daemon without any state should read the store itself. When
// many daemons start together, the member list shows which of them are relays. Only relays read at
// once. Members wait for state from them, so that the store is not overloaded.
func (s *Server) shouldReadInitially(now time.Time) bool {
	readAt := s.membersReadAt.Load()
	switch {
	case readAt == nil:
		return now.Sub(s.startedAt) > memberListGracePeriod+s.readDelay
	case now.Sub(*readAt) < roleSettleTime || s.needsMemberReread.Load():
		return false
	}
	return s.agent.Role() != peers.Member || now.Sub(*readAt) > relayStateTimeout+retryInterval(s.agent.DaemonCount())
}

// retrySpread returns the minimum interval between this daemon's retries of a store that does not
// respond. It is zero for the leader and the relays, because the other daemons depend on them.
func (s *Server) retrySpread() time.Duration {
	if s.isReader() || s.agent.Role() != peers.Member {
		return 0
	}
	return retryInterval(s.agent.DaemonCount())
}

// retryInterval returns the interval between one daemon's retries, given the number of daemons. At
// that interval, all daemons together make storeRetriesPerSecond retries per second.
func retryInterval(daemons int) time.Duration {
	return time.Duration(daemons) * time.Second / storeRetriesPerSecond
}

// readDelayOf returns the delay of a daemon's reads, between zero and fleet.ReadSpread. It depends only
// on the daemon's id.
func readDelayOf(id string) time.Duration {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	const steps = 16
	return time.Duration(h.Sum32()%steps) * fleet.ReadSpread / steps
}

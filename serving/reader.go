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
	// readAfter is how old a belief gets before a daemon that is told by others
	// reads for itself, and readSpread by how much daemons differ in that, so
	// that one comes first and tells the others.
	readAfter  = 1100 * time.Millisecond
	readSpread = 500 * time.Millisecond
	// relayedLater is how much older beliefs are that come by way of a relay: a
	// further heartbeat, and the one by which the relay knows its age.
	relayedLater = 800 * time.Millisecond
	// roleKnown is how long after it read who there is in its data hall a daemon's part in
	// passing reports on is certain enough: a round of heartbeats, and some slack.
	roleKnown = 250 * time.Millisecond
	// meetFor is how long a daemon that could not read the member list waits for it before
	// it reads other things.
	meetFor = 1500 * time.Millisecond
	// toldFor is how long after its start a member waits to be told by its relays before
	// it reads for itself: relays read within a second, and tell a hall of 200 over 20
	// Mbit/s within two.
	toldFor = 4 * time.Second
	// retriesPerSecond is how often all daemons together call the store again while it
	// answers none of them: a small part of the calls that it bears. One answer is passed
	// on to all.
	retriesPerSecond = 200
)

// isReader reports whether this daemon reads the store for all: the leader does.
func (s *Server) isReader() bool {
	own, _, _ := s.elector.State()
	return own != nil
}

// scopeFor is how long a daemon that no longer relays keeps all workers.
const scopeFor = 5 * time.Second

// scopeLook is how often a daemon looks which workers it has to hold: as often as its part in
// passing reports on may change.
const scopeLook = 200 * time.Millisecond

// watchScope decides which workers this daemon holds until ctx ends.
func (s *Server) watchScope(ctx context.Context) {
	wantedAll := s.start
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case s.needsAllWorkers():
			wantedAll = now
			s.inventory.SetScope(fleet.AllWorkers)
		case s.inventory.Confirmed().IsZero() || now.Sub(wantedAll) > scopeFor:
			s.inventory.SetScope(fleet.HeadsOnly)
		}
		pause.For(ctx, scopeLook)
	}
}

// needsAllWorkers reports whether this daemon has to know more workers than those that
// requests go to: the leader does, relays may follow it, and which workers warm up is told
// by all of them.
func (s *Server) needsAllWorkers() bool {
	return s.isReader() || s.agent.Role() != peers.Member || s.boundsWarmUp()
}

// reads reports whether this daemon is to read from the store what it last
// knew to be the newest at the given time: while it leads, and when what peers
// tell is too old. Terms often follow one another within a second; if all read
// in between, a large fleet would call the store hundreds of times.
func (s *Server) reads(confirmed time.Time) bool {
	switch {
	case s.isReader():
		return true
	case confirmed.IsZero():
		return s.readsFirst(time.Now())
	}
	return time.Since(confirmed) > readPatience(s.agent.Role(), s.readDelay)
}

// readsFirst reports whether a daemon that knows nothing yet is to read for itself. Daemons
// that start together know from the member list which of them relay: these read, and tell
// the others. When all of 986 daemons read 3,064 workers at once, each took longer than a
// read may, and began anew.
func (s *Server) readsFirst(now time.Time) bool {
	met := s.metAt.Load()
	switch {
	case met == nil:
		return now.Sub(s.start) > meetFor+s.readDelay
	case now.Sub(*met) < roleKnown || s.readTooSoon.Load():
		return false
	}
	return s.agent.Role() != peers.Member || now.Sub(*met) > toldFor+spreadOver(s.agent.DaemonCount())
}

// retrySpread returns how far apart the calls of this daemon to a store that does not answer
// are at least. The leader and the relays are few, and the others wait for what they learn:
// spread like the rest, a leader of 986 would pause for five seconds after one lost answer.
func (s *Server) retrySpread() time.Duration {
	if s.isReader() || s.agent.Role() != peers.Member {
		return 0
	}
	return spreadOver(s.agent.DaemonCount())
}

// spreadOver returns how far apart the calls of each of some daemons are for all of them
// together to stay within retriesPerSecond.
func spreadOver(daemons int) time.Duration {
	return time.Duration(daemons) * time.Second / retriesPerSecond
}

// readPatience returns how old a belief gets before a daemon reads for itself. Relays
// hear the leader as daemons of a small fleet do: where it no longer reaches the store
// they are the first to read, and pass on what they learn.
func readPatience(role peers.Role, delay time.Duration) time.Duration {
	if role == peers.Member {
		return readAfter + delay + relayedLater
	}
	return readAfter + delay
}

// readDelayOf returns a daemon's own part of readSpread.
func readDelayOf(id string) time.Duration {
	h := fnv.New32a()
	// Writing to a hash does not fail.
	_, _ = h.Write([]byte(id))
	const steps = 16
	return time.Duration(h.Sum32()%steps) * readSpread / steps
}

package serving

import (
	"hash/fnv"
	"time"

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
)

// isReader reports whether this daemon reads the store for all: the leader does.
func (s *Server) isReader() bool {
	own, _, _ := s.elector.State()
	return own != nil
}

// reads reports whether this daemon is to read from the store what it last
// knew to be the newest at the given time: while it leads, and when what peers
// tell is too old. Terms often follow one another within a second; if all read
// in between, a large fleet would call the store hundreds of times.
func (s *Server) reads(confirmed time.Time) bool {
	return s.isReader() || time.Since(confirmed) > readPatience(s.agent.Role(), s.readDelay)
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

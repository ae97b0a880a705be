package serving

import (
	"context"
	"hash/fnv"
	"time"

	"quartzshelf.dev/common/pause"
)

const (
	// readAfter is how old a belief gets before a daemon that is told by others
	// reads for itself, and readSpread by how much daemons differ in that, so
	// that one comes first and tells the others.
	readAfter  = 1100 * time.Millisecond
	readSpread = 500 * time.Millisecond
	// pushPause joins changes of the worker list that come close upon one
	// another into one beat.
	pushPause = 40 * time.Millisecond
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
	return s.isReader() || time.Since(confirmed) > readAfter+s.readDelay
}

// readDelayOf returns a daemon's own part of readSpread.
func readDelayOf(id string) time.Duration {
	h := fnv.New32a()
	// Writing to a hash does not fail.
	_, _ = h.Write([]byte(id))
	const steps = 16
	return time.Duration(h.Sum32()%steps) * readSpread / steps
}

// push tells peers of changes of the worker list at once while this daemon
// reads for all.
func (s *Server) push(ctx context.Context) {
	position := int64(0)
	for ctx.Err() == nil {
		pause.For(ctx, pushPause)
		if now := s.inventory.Position(); now != position {
			position = now
			if s.isReader() {
				s.agent.Send(time.Now())
			}
		}
	}
}

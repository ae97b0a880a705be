package serving

import (
	"context"
	"strconv"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/telemetry"
)

// formatLook is how often a daemon looks which versions of the format the others speak, so
// that its log tells when that changes.
const formatLook = time.Second

// sharesLimits reports whether shares of limits may be held: daemons of an earlier version
// heed no limit, and what they send takes its place.
func (s *Server) sharesLimits(now time.Time) bool {
	return s.agent.Table().OldestFormat(now) >= peers.FormatBackpressure
}

// watchFormat logs when the earliest version that a daemon in touch speaks changes, until ctx
// ends.
func (s *Server) watchFormat(ctx context.Context) {
	known := 0
	for ctx.Err() == nil {
		if oldest := s.agent.Table().OldestFormat(time.Now()); oldest != known {
			s.logger.Info("the fleet acts by a version of the format", "oldest", oldest, "before", known, "own", s.opts.Self.Format.Spoken)
			known = oldest
		}
		pause.For(ctx, formatLook)
	}
}

// daemonsByBuild counts this daemon and those that it hears by what they were built from and
// the format that they speak: all of a small fleet, those of its hall for a relay.
func (s *Server) daemonsByBuild() map[telemetry.Build]int64 {
	counts := map[telemetry.Build]int64{buildOf(s.opts.Self): 1}
	for _, p := range s.agent.Table().Alive(time.Now()) {
		if !p.HeardAt.IsZero() {
			counts[buildOf(p.Identity)]++
		}
	}
	return counts
}

func buildOf(id peers.Identity) telemetry.Build {
	return telemetry.Build{Source: id.Build, Format: strconv.Itoa(max(id.Format.Spoken, peers.FormatFirst))}
}

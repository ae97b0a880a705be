package serving

import (
	"context"
	"strconv"
	"time"

	"quartzshelf.dev/common/pause"
	"quartzshelf.dev/peers"
	"quartzshelf.dev/telemetry"
)

// formatCheckInterval is the time between two checks of the format versions in use.
const formatCheckInterval = time.Second

// sharesLimits reports whether the daemons may share the request limits of workers. Daemons of
// earlier versions ignore limits, so none are shared while one is around.
func (s *Server) sharesLimits(now time.Time) bool {
	return s.agent.Table().OldestFormat(now) >= peers.FormatBackpressure
}

// watchFormat logs changes of the earliest format version in use, until ctx ends.
func (s *Server) watchFormat(ctx context.Context) {
	known := 0
	for ctx.Err() == nil {
		if oldest := s.agent.Table().OldestFormat(time.Now()); oldest != known {
			s.logger.Info("the fleet acts by a version of the format", "oldest", oldest, "before", known, "own", s.opts.Self.Format.Spoken)
			known = oldest
		}
		pause.For(ctx, formatCheckInterval)
	}
}

// daemonsByBuild counts this daemon and those that it hears directly, by build and format version.
// That is the whole of a small fleet, and the own hall for a relay.
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

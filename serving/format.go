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

// canShareLimits reports whether the daemons may share the request limits of workers. They must not
// while a daemon of an earlier version is in use, because such a daemon ignores limits.
func (s *Server) canShareLimits(now time.Time) bool {
	return s.agent.Table().OldestFormat(now) >= peers.FormatBackpressure
}

// watchFormat logs changes of the earliest format version in use, until ctx ends.
func (s *Server) watchFormat(ctx context.Context) {
	lastLogged := 0
	for ctx.Err() == nil {
		if oldest := s.agent.Table().OldestFormat(time.Now()); oldest != lastLogged {
			s.logger.Info("the fleet acts by a version of the format", "oldest", oldest, "before", lastLogged, "own", s.opts.Self.Format.Written)
			lastLogged = oldest
		}
		pause.Sleep(ctx, formatCheckInterval)
	}
}

// daemonsByBuild counts daemons by build and format version. It counts this daemon and those whose
// heartbeats it receives. In a large fleet these are not all.
func (s *Server) daemonsByBuild() map[telemetry.Build]int64 {
	counts := map[telemetry.Build]int64{buildOf(s.opts.Self): 1}
	for _, p := range s.agent.Table().Alive(time.Now()) {
		if !p.LastHeartbeatAt.IsZero() {
			counts[buildOf(p.Identity)]++
		}
	}
	return counts
}

func buildOf(id peers.Identity) telemetry.Build {
	return telemetry.Build{Source: id.Build, Format: strconv.Itoa(max(id.Format.Written, peers.FormatFirst))}
}

package proxy

import (
	"time"

	"quartzshelf.dev/common/reason"
)

// hedgeRetryInterval is how long a silent stream waits before it looks again for a replica that can
// take a hedge.
const hedgeRetryInterval = 300 * time.Millisecond

// streamSilence is the state of a stream whose newest attempt is silent. A silent worker may be dead or
// only pause. An attempt is therefore given up only once a hedge, a further attempt beside it, has received
// an event. The zero value means that the newest attempt is not silent.
type streamSilence struct {
	// attempt is the silent attempt.
	attempt *streamAttempt
	// hedgeAt is the earliest time at which a hedge may start.
	hedgeAt time.Time
	// check is the check of this daemon's links, which may be the cause of the silence.
	check *linkCheck
	// refusal is why no hedge was started; empty if none was refused.
	refusal reason.Reason
}

// isDue reports whether a hedge may start now.
func (s *streamSilence) isDue(now time.Time) bool {
	return s.check != nil && s.check.isDone() && !now.Before(s.hedgeAt)
}

// mayHedge reports whether the request may be sent once more while some of its attempts are under way.
func (c *request) mayHedge(underWay int) bool {
	return !c.isDone() && c.route.Repeatable() && c.sends+underWay < c.route.MaxAttempts && c.rejections <= maxRejections
}

// newest returns the attempt that was begun last among those under way, and the number of these.
func (s *relayedStream) newest() (a *streamAttempt, underWay int) {
	a, underWay = s.current.Load(), len(s.hedges)
	if a != nil {
		underWay++
	}
	if len(s.hedges) > 0 {
		a = s.hedges[len(s.hedges)-1]
	}
	return a, underWay
}

// hasOpenHedge reports whether a hedge has received an event.
func (s *relayedStream) hasOpenHedge() bool {
	for _, h := range s.hedges {
		if h.isOpen() {
			return true
		}
	}
	return false
}

// takeOpenHedge removes and returns a hedge that has received an event, or nil.
func (s *relayedStream) takeOpenHedge() *streamAttempt {
	for _, h := range s.hedges {
		if h.isOpen() {
			s.removeHedge(h)
			return h
		}
	}
	return nil
}

func (s *relayedStream) removeHedge(removed *streamAttempt) {
	kept := s.hedges[:0]
	for _, h := range s.hedges {
		if h != removed {
			kept = append(kept, h)
		}
	}
	s.hedges = kept
}

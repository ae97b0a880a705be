package proxy

import (
	"slices"
	"sync/atomic"
	"time"

	"quartzshelf.dev/common/reason"
)

// Shutdown is the schedule by which a daemon stops serving callers. It decides which requests the daemon
// still accepts. The only end of a request that is certain is its deadline: how long other requests took says
// nothing about one that asks for more, or whose worker has become slower.
type Shutdown struct {
	begin, bindingFrom, addressExpiry, lastAnswer time.Time
	refusesAll                                    atomic.Bool
}

// NewShutdown returns a schedule of a stop that starts at begin. From bindingFrom on, the daemon accepts a
// request only if it ends in time, even if no other daemon is ready. addressExpiry is when callers no longer
// use the daemon's address, lastAnswer when all answers must be complete.
func NewShutdown(begin, bindingFrom, addressExpiry, lastAnswer time.Time) *Shutdown {
	return &Shutdown{begin: begin, bindingFrom: bindingFrom, addressExpiry: addressExpiry, lastAnswer: lastAnswer}
}

// RefuseAll makes the daemon accept no further request. It is called before the ports for callers close, so that
// no request delays the end of the daemon while others can't reach it.
func (s *Shutdown) RefuseAll() { s.refusesAll.Store(true) }

// stopCheck describes a request that a stopping daemon may send to a worker.
type stopCheck struct {
	// arrived is when the request's head was read, at is when the check is made.
	arrived, at, deadline time.Time
	// hasAlternative reports whether another daemon is ready.
	hasAlternative bool
}

// accepts reports whether the daemon serves a request. Callers without an alternative lose less by an answer
// that may be broken off than by a refusal, as long as they rightly use the daemon's address.
func (s *Shutdown) accepts(c stopCheck) bool {
	if s.refusesAll.Load() {
		return false
	}
	if c.deadline.After(s.lastAnswer) {
		return !c.hasAlternative && c.at.Before(s.bindingFrom)
	}
	return !c.hasAlternative || c.arrived.Before(s.addressExpiry)
}

// isShuttingDown reports whether the daemon is about to end.
func (p *Proxy) isShuttingDown() bool { return p.opts.Shutdown() != nil }

// checkShutdown returns a refusal if the daemon is about to end and does not accept the request any more. It
// is called when the request arrives and again before it is sent to a worker: until then a refusal costs the
// caller little, and meanwhile the stop may have begun or another daemon become ready.
func (p *Proxy) checkShutdown(c *request) *refusal {
	s := p.opts.Shutdown()
	if s == nil {
		return nil
	}
	check := stopCheck{arrived: c.arrived, at: time.Now(), deadline: c.deadline, hasAlternative: p.isPeerReady()}
	c.stopCheck = &check
	if s.accepts(check) {
		return nil
	}
	if !check.hasAlternative {
		return newUnavailable(reason.Stopping, "this daemon is stopping and no other is ready", retryNoDaemon)
	}
	return newUnavailable(reason.Stopping, "this daemon is stopping; use another address", retrySoon)
}

func (p *Proxy) isPeerReady() bool {
	return slices.ContainsFunc(p.opts.Peers(), func(peer Peer) bool { return peer.IsReady })
}

// stopFields returns log fields that tell how the stop of this daemon concerns a request, in milliseconds
// from its begin: when the request arrived, when the stop was last checked for it, and its deadline. They also
// tell whether another daemon was ready then. It returns none while the daemon does not stop.
func (p *Proxy) stopFields(c *request) []any {
	s := p.opts.Shutdown()
	if s == nil {
		return nil
	}
	fields := []any{"stop_arrived_ms", c.arrived.Sub(s.begin).Milliseconds(), "stop_deadline_ms", c.deadline.Sub(s.begin).Milliseconds()}
	if check := c.stopCheck; check != nil {
		fields = append(fields, "stop_checked_ms", check.at.Sub(s.begin).Milliseconds(), "stop_others_ready", check.hasAlternative)
	}
	return fields
}

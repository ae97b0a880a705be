package proxy

import (
	"slices"
	"time"

	"quartzshelf.dev/common/reason"
)

const (
	// minAnswerSamples is how many recent requests of a route must be known to estimate how long further
	// ones take.
	minAnswerSamples = 20
	// answerTimeFactor multiplies the longest of them.
	answerTimeFactor = 1.25
)

// Shutdown is the schedule by which a daemon stops serving callers. It decides which requests the daemon
// still accepts, so that it can answer them before it ends.
type Shutdown struct {
	begin, bindingFrom, addressExpiry, lastAnswer time.Time
}

// NewShutdown returns a schedule of a stop that starts at begin. From bindingFrom on, the daemon accepts a
// request only if it can answer it in time, even if no other daemon is ready. addressExpiry is when callers no
// longer use the daemon's address, lastAnswer when all answers must be complete.
func NewShutdown(begin, bindingFrom, addressExpiry, lastAnswer time.Time) *Shutdown {
	return &Shutdown{begin: begin, bindingFrom: bindingFrom, addressExpiry: addressExpiry, lastAnswer: lastAnswer}
}

// endBasis is from what the end of a request is known.
type endBasis string

const (
	byDeadline      endBasis = "deadline"
	byRecentAnswers endBasis = "recent_answers"
)

// arrival describes a request that arrives at a stopping daemon.
type arrival struct {
	// endsBy is when the request will have ended, according to basis.
	at, endsBy time.Time
	basis      endBasis
	// hasAlternative reports whether another daemon is ready.
	hasAlternative bool
}

// accepts reports whether the daemon serves a request. Callers without an alternative lose less by an answer
// that may be broken off than by a refusal, as long as they rightly use the daemon's address.
func (s *Shutdown) accepts(a arrival) bool {
	if a.endsBy.After(s.lastAnswer) {
		return !a.hasAlternative && a.at.Before(s.bindingFrom)
	}
	return !a.hasAlternative || a.at.Before(s.addressExpiry)
}

// isShuttingDown reports whether the daemon is about to end.
func (p *Proxy) isShuttingDown() bool { return p.opts.Shutdown() != nil }

// checkShutdown returns a refusal if the daemon is about to end and does not accept the request any more.
func (p *Proxy) checkShutdown(c *request) *refusal {
	s := p.opts.Shutdown()
	if s == nil {
		return nil
	}
	a := p.describeArrival(c)
	c.stopArrival = &a
	if s.accepts(a) {
		return nil
	}
	return newUnavailable(reason.Stopping, "this daemon is stopping; use another address", retrySoon)
}

// describeArrival estimates when a request will have ended: by its deadline, or earlier if enough recent
// requests of its route are known.
func (p *Proxy) describeArrival(c *request) arrival {
	a := arrival{at: c.arrived, endsBy: c.deadline, basis: byDeadline}
	a.hasAlternative = slices.ContainsFunc(p.opts.Peers(), func(peer Peer) bool { return peer.IsReady })
	longest, count := p.answerTimes.longest(c.route.Name, c.arrived)
	if count >= minAnswerSamples {
		if estimate := c.arrived.Add(time.Duration(answerTimeFactor * float64(longest))); estimate.Before(a.endsBy) {
			a.endsBy, a.basis = estimate, byRecentAnswers
		}
	}
	return a
}

// stopFields returns log fields that tell how the stop of this daemon concerns a request: how long after its
// begin the request arrived, and for a request that arrived in it by when and on what basis it was expected
// to end, and whether another daemon was ready. It returns none while the daemon does not stop.
func (p *Proxy) stopFields(c *request) []any {
	s := p.opts.Shutdown()
	if s == nil {
		return nil
	}
	fields := []any{"stop_arrived_ms", c.arrived.Sub(s.begin).Milliseconds()}
	if a := c.stopArrival; a != nil {
		fields = append(fields, "stop_expected_ms", a.endsBy.Sub(s.begin).Milliseconds(), "stop_expected_by", string(a.basis), "stop_others_ready", a.hasAlternative)
	}
	return fields
}

// recordAnswerTime records how long a request took that was answered by a worker or may have run at one.
func (p *Proxy) recordAnswerTime(c *request, isAnswered bool) {
	if !isAnswered && !c.mayHaveRun() {
		return
	}
	now := time.Now()
	p.answerTimes.record(c.route.Name, now.Sub(c.arrived), now)
}

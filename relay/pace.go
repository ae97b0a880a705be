package relay

import "time"

const (
	// slowEvents is how many events in a row must come slowly for a replica to count as
	// slow: a pass full of prompts holds up one of them.
	slowEvents = 3
	// slowEvent is how many times as long as predicted a slow one takes.
	slowEvent = 2.0
)

// paceWatch notices a replica whose events come slowly.
type paceWatch struct {
	// expected is the predicted time between two events; zero if none is known.
	expected time.Duration
	slow     int
}

// moved notes how long an event took after the one before, and reports, once, that the
// replica is slow.
func (p *paceWatch) moved(gap time.Duration) bool {
	if p.expected <= 0 || gap < time.Duration(slowEvent*float64(p.expected)) {
		p.slow = 0
		return false
	}
	p.slow++
	return p.slow == slowEvents
}

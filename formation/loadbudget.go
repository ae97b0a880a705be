package formation

import "time"

const (
	// ceilingAllowance is the number of loads that the limit allows in addition to its rate.
	ceilingAllowance = 3
	// ceilingMargin keeps the loads in a window slightly below the limit.
	ceilingMargin = 0.5
	// trafficNoticeDelay bounds how long a leader may not know of the first request to the fleet.
	// Loads that begin in this time count against the limit after all.
	trafficNoticeDelay = time.Second
)

// Ceiling limits the loads that may begin in any window of time.
type Ceiling struct {
	// Window is the length of the window.
	Window time.Duration
	// Over is a factor on the services' load rates.
	Over float64
}

// loadBudget is a token bucket for loads from the weight store. Unless the fleet is new, a leader
// starts with an empty bucket, so that two successive leaders together stay within the limit.
type loadBudget struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
	// uncountedAt holds the start times of recent loads that were not counted.
	uncountedAt []time.Time
}

// configure sets the limits for a service whose loads may begin at the given rate; burst is how
// many may begin at once. The first call fills the bucket if full is set.
func (l *loadBudget) configure(c Ceiling, perSecond, burst float64, full bool, now time.Time) {
	window := c.Window.Seconds()
	maxPerWindow := perSecond*window*c.Over + ceilingAllowance - ceilingMargin
	l.burst = min(burst, maxPerWindow)
	l.perSecond = min(perSecond, (maxPerWindow-l.burst)/window)
	if l.refilledAt.IsZero() {
		l.refilledAt = now
		if full {
			l.tokens = l.burst
		}
	}
}

// available returns how many counted loads may begin now.
func (l *loadBudget) available(now time.Time) int {
	for _, at := range l.uncountedAt {
		if now.Sub(at) < trafficNoticeDelay {
			l.tokens--
		}
	}
	l.uncountedAt = nil
	l.tokens = min(l.burst, l.tokens+now.Sub(l.refilledAt).Seconds()*l.perSecond)
	l.refilledAt = now
	return int(l.tokens)
}

// record records that n loads begin, and whether they count.
func (l *loadBudget) record(n int, counted bool, now time.Time) {
	if counted {
		l.tokens -= float64(n)
		return
	}
	for range n {
		l.uncountedAt = append(l.uncountedAt, now)
	}
}

package formation

import "time"

const (
	// ceilingAllowance is what the bound on loads allows beyond its rate.
	ceilingAllowance = 3
	// ceilingMargin keeps the loads of a window a little under the bound.
	ceilingMargin = 0.5
	// trafficNoticeDelay is how long after the first request to the fleet a leader
	// knows of it. Loads that begin in between count, though it thought not.
	trafficNoticeDelay = time.Second
)

// Ceiling bounds the loads that may begin in any window of time.
type Ceiling struct {
	// Window is the length of the window.
	Window time.Duration
	// Over is a factor on the services' rates of loads.
	Over float64
}

// loadBudget is a token bucket over the loads from the weight store. A leader begins
// with an empty one unless the fleet is new, so that two leaders in succession
// stay within the bound together.
type loadBudget struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
	// uncountedAt holds when loads began that did not count as far as was known.
	uncountedAt []time.Time
}

// configure sets the bounds for a service whose loads may begin at the given rate;
// burst is how many should be able to begin at once. A first call fills the
// bucket if full is set.
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

// available returns how many loads may begin now that they count.
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

// record notes that loads begin, and whether they count as far as is known.
func (l *loadBudget) record(n int, counted bool, now time.Time) {
	if counted {
		l.tokens -= float64(n)
		return
	}
	for range n {
		l.uncountedAt = append(l.uncountedAt, now)
	}
}

package formation

import "time"

const (
	// ceilingSlack is what the bound on loads allows beyond its rate.
	ceilingSlack = 3
	// ceilingSpare keeps the loads of a window a little under the bound.
	ceilingSpare = 0.5
	// noticeWithin is how long after the first request to the fleet a leader
	// knows of it. Loads that begin in between count, though it thought not.
	noticeWithin = time.Second
)

// Ceiling bounds the loads that may begin in any window of time.
type Ceiling struct {
	// Window is the length of the window.
	Window time.Duration
	// Over is a factor on the services' rates of loads.
	Over float64
}

// loads is a token bucket over the loads from the weight store. A leader begins
// with an empty one unless the fleet is new, so that two leaders in succession
// stay within the bound together.
type loads struct {
	perSecond float64
	burst     float64
	tokens    float64
	filledAt  time.Time
	// free holds when loads began that did not count as far as was known.
	free []time.Time
}

// limit sets the bounds for a service whose loads may begin at the given rate;
// burst is how many should be able to begin at once. A first call fills the
// bucket if full is set.
func (l *loads) limit(c Ceiling, perSecond, burst float64, full bool, now time.Time) {
	window := c.Window.Seconds()
	most := perSecond*window*c.Over + ceilingSlack - ceilingSpare
	l.burst = min(burst, most)
	l.perSecond = min(perSecond, (most-l.burst)/window)
	if l.filledAt.IsZero() {
		l.filledAt = now
		if full {
			l.tokens = l.burst
		}
	}
}

// available returns how many loads may begin now that they count.
func (l *loads) available(now time.Time) int {
	for _, at := range l.free {
		if now.Sub(at) < noticeWithin {
			l.tokens--
		}
	}
	l.free = nil
	l.tokens = min(l.burst, l.tokens+now.Sub(l.filledAt).Seconds()*l.perSecond)
	l.filledAt = now
	return int(l.tokens)
}

// take notes that loads begin, and whether they count as far as is known.
func (l *loads) take(n int, counted bool, now time.Time) {
	if counted {
		l.tokens -= float64(n)
		return
	}
	for range n {
		l.free = append(l.free, now)
	}
}

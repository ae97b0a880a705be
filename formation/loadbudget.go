package formation

import "time"

const (
	// loadLimitAllowance is the number of loads per window that the limit allows in addition to the
	// load rate.
	loadLimitAllowance = 3
	// loadLimitMargin is the difference between the limit and the budget, in loads per window.
	loadLimitMargin = 0.5
	// trafficNoticeDelay is the maximum time until a leader learns of the first request to the
	// fleet. A load counts against the limit if the leader learns of that request less than this
	// time after the load began.
	trafficNoticeDelay = time.Second
)

// LoadLimit limits the number of loads that may begin in any window of time.
type LoadLimit struct {
	// Window is the length of the window.
	Window time.Duration
	// RateFactor is the factor by which the services' load rates are multiplied to get the limit.
	RateFactor float64
}

// loadBudget is a token bucket for loads from the weight store. Unless the fleet is new, a leader
// starts with an empty bucket. Two successive leaders together then stay within the limit.
type loadBudget struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
	// uncountedStarts holds the start times of recent loads for which no token was taken.
	uncountedStarts []time.Time
}

// configure sets the limits for a service. perSecond is the rate at which its loads may begin.
// burst is the number of loads that may begin at once. If startsFull is set, the first call fills
// the bucket.
func (l *loadBudget) configure(c LoadLimit, perSecond, burst float64, startsFull bool, now time.Time) {
	window := c.Window.Seconds()
	maxPerWindow := perSecond*window*c.RateFactor + loadLimitAllowance - loadLimitMargin
	l.burst = min(burst, maxPerWindow)
	l.perSecond = min(perSecond, (maxPerWindow-l.burst)/window)
	if l.refilledAt.IsZero() {
		l.refilledAt = now
		if startsFull {
			l.tokens = l.burst
		}
	}
}

// availableLoads returns the number of counted loads that may begin now. It first takes tokens for
// recent uncounted loads and refills the bucket.
func (l *loadBudget) availableLoads(now time.Time) int {
	for _, at := range l.uncountedStarts {
		if now.Sub(at) < trafficNoticeDelay {
			l.tokens--
		}
	}
	l.uncountedStarts = nil
	l.tokens = min(l.burst, l.tokens+now.Sub(l.refilledAt).Seconds()*l.perSecond)
	l.refilledAt = now
	return int(l.tokens)
}

// record records that n loads begin. It takes a token for each load if isCounted is set. Otherwise,
// it keeps their start times, since they may have to be counted later.
func (l *loadBudget) record(n int, isCounted bool, now time.Time) {
	if isCounted {
		l.tokens -= float64(n)
		return
	}
	for range n {
		l.uncountedStarts = append(l.uncountedStarts, now)
	}
}

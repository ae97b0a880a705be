package relay

import (
	"hash/fnv"
	"math"
	"sync"
	"time"
)

const (
	// usedBudgetShare is the part of the allowed repeats that is used.
	usedBudgetShare = 0.8
	// budgetBuckets is into how many parts the window is cut for counting.
	budgetBuckets = 20
	// roundingWindows is in how many windows each daemon has had its turn to round up. In one
	// window a tenth of them change over, which half of the part kept back bears.
	roundingWindows = 10
	// roundingMargin is how many times the standard deviation of all daemons' rounding the
	// part of the budget that is kept back must be.
	roundingMargin = 4
)

// BudgetOptions bounds the repeats of a service over the fleet: in any window
// at most Ratio times its requests, and Extra more.
type BudgetOptions struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
	// Self names this daemon among those that share the extra.
	Self string
	// Daemons returns how many daemons share the extra.
	Daemons func() int
}

// budget counts a daemon's requests and repeats by service.
type budget struct {
	opts BudgetOptions

	mu       sync.Mutex
	services map[string]*windowCounts
}

// windowCounts holds the counts of the parts of a window.
type windowCounts struct {
	bucket   int64
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
}

func newBudget(opts BudgetOptions) *budget {
	return &budget{opts: opts, services: make(map[string]*windowCounts)}
}

// at returns the tally of a service, moved on to now, and the current part.
func (b *budget) at(service string, now time.Time) (*windowCounts, int) {
	bucket := now.UnixNano() / (int64(b.opts.Window) / budgetBuckets)
	t, ok := b.services[service]
	if !ok {
		t = &windowCounts{bucket: bucket}
		b.services[service] = t
	}
	for t.bucket < bucket {
		if bucket-t.bucket > budgetBuckets {
			*t = windowCounts{bucket: bucket}
			break
		}
		t.bucket++
		t.requests[t.bucket%budgetBuckets], t.retries[t.bucket%budgetBuckets] = 0, 0
	}
	return t, int(bucket % budgetBuckets)
}

// addRequest counts a request.
func (b *budget) addRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, i := b.at(service, now)
	t.requests[i]++
}

// takeRetry reports whether a repeat is allowed and counts it.
func (b *budget) takeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, i := b.at(service, now)
	requests, retries := 0.0, 0.0
	for p := range budgetBuckets {
		requests += t.requests[p]
		retries += t.retries[p]
	}
	extra := b.opts.Extra / float64(max(b.opts.Daemons(), 1))
	if retries+1 > b.roundShare(usedBudgetShare*(b.opts.Ratio*requests+extra), service, now) {
		return false
	}
	t.retries[i]++
	return true
}

// roundShare makes a daemon's share of repeats a whole number. In a large fleet shares are below
// one: rounded down by all, a fleet of 986 that may repeat 1,040 requests repeated none of
// those of a service that gets 67 a second. Daemons therefore round up in turns, as many of
// them at any time as their shares say, where the part of the budget that is kept back bears
// the chance in that.
func (b *budget) roundShare(share float64, service string, now time.Time) float64 {
	whole, part := math.Modf(share)
	daemons := float64(max(b.opts.Daemons(), 1))
	spread := math.Sqrt(daemons) / 2
	if (1-usedBudgetShare)*b.opts.Extra < roundingMargin*spread {
		return whole
	}
	turn := float64(now.UnixNano()) / float64(roundingWindows*b.opts.Window.Nanoseconds())
	if _, drawn := math.Modf(b.turnOffset(service) + turn); drawn < part {
		return whole + 1
	}
	return whole
}

// turnOffset returns a daemon's place among all in the turns of a service, from 0 to 1.
func (b *budget) turnOffset(service string) float64 {
	h := fnv.New32a()
	// Writing to a hash does not fail.
	_, _ = h.Write([]byte(b.opts.Self + "/" + service))
	return float64(h.Sum32()) / (1 << 32)
}

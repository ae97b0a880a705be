package proxy

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// usedBudgetShare is the share of the retry budget that daemons use. The rest covers errors
	// from rounding the daemons' shares to whole retries, and the retries of daemons that have just
	// started.
	usedBudgetShare = 0.8
	// budgetBuckets is the number of buckets into which the window is divided. Retries are counted in one
	// more, since the current one is incomplete.
	budgetBuckets = 20
	keptBuckets   = budgetBuckets + 1
	// roundingWindows is the number of windows in a cycle. In each cycle, a daemon rounds up for a
	// part of the time that equals the fraction of its share (see roundShare).
	roundingWindows = 10
	// roundingMargin is the number of standard deviations of the fleet's total rounding error that
	// the unused budget must cover.
	roundingMargin = 4
)

// RetryBudget limits the retries of a service over the whole fleet. Any window may have at most
// Ratio times as many retries as requests, plus ExtraRetries.
type RetryBudget struct {
	Ratio        float64
	Window       time.Duration
	ExtraRetries float64
	// Self identifies this daemon among those that share ExtraRetries.
	Self string
	// Daemons returns how many daemons are heard, this one included.
	Daemons func() int
	// Share returns this daemon's share of ExtraRetries, from 0 to 1.
	Share func() float64
}

// budget counts a daemon's requests and retries by service.
type budget struct {
	opts RetryBudget
	// startedAt is when this process started. Windows are measured from it by the monotonic clock,
	// because the time of day may be set.
	startedAt time.Time
	// youngUntil is the time until which the process before this one may have used the whole budget in
	// the current window. Until then this one uses only what daemons otherwise leave of Ratio, and no
	// ExtraRetries.
	youngUntil time.Time

	mu       sync.Mutex
	services map[string]*windowCounts
}

// windowCounts holds the counts of a sliding window by bucket.
type windowCounts struct {
	currentBucket int64
	requests      [keptBuckets]float64
	retries       [keptBuckets]float64
	// quietUntil is the time until which exhaustion is not reported again.
	quietUntil time.Time
}

// budgetState is a daemon's share of a service's budget, as this daemon knows it.
type budgetState struct {
	// requests and retries are those counted in the current window.
	requests, retries float64
	// allowed is how many retries this daemon may send in the window.
	allowed float64
	// share is this daemon's share of ExtraRetries; zero if it must not use them yet.
	share float64
}

// String returns the state in its log format.
func (s budgetState) String() string {
	return fmt.Sprintf("%g of %g retries, %g requests, share %.3f", s.retries, s.allowed, s.requests, s.share)
}

// newBudget returns the budget of a process that starts now.
func newBudget(opts RetryBudget, now time.Time) *budget {
	return &budget{opts: opts, startedAt: now, youngUntil: now.Add(opts.Window), services: make(map[string]*windowCounts)}
}

// bucketAt returns the number of the bucket that now is in.
func (b *budget) bucketAt(now time.Time) int64 {
	return int64(now.Sub(b.startedAt) / (b.opts.Window / budgetBuckets))
}

// countsAt returns the counts of a service after clearing buckets older than the window, and the
// index of the bucket that now is in.
func (b *budget) countsAt(service string, now time.Time) (*windowCounts, int) {
	bucket := b.bucketAt(now)
	counts, ok := b.services[service]
	if !ok {
		counts = &windowCounts{currentBucket: bucket}
		b.services[service] = counts
	}
	for counts.currentBucket < bucket {
		if bucket-counts.currentBucket > keptBuckets {
			*counts = windowCounts{currentBucket: bucket, quietUntil: counts.quietUntil}
			break
		}
		counts.currentBucket++
		counts.requests[counts.currentBucket%keptBuckets], counts.retries[counts.currentBucket%keptBuckets] = 0, 0
	}
	// A request whose body took longer than the window to arrive counts in the oldest bucket.
	bucket = max(bucket, counts.currentBucket-budgetBuckets)
	return counts, int(bucket % keptBuckets)
}

// addRequest counts a request, which allows further retries.
func (b *budget) addRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts, i := b.countsAt(service, now)
	counts.requests[i]++
}

// takeRetry reports whether a retry is allowed, and counts it if so.
func (b *budget) takeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts, i := b.countsAt(service, now)
	state := b.stateOf(counts, service, now)
	if state.retries+1 > state.allowed {
		return false
	}
	counts.retries[i]++
	return true
}

// hasRetry reports whether a retry is allowed, without counting one.
func (b *budget) hasRetry(service string, now time.Time) bool {
	state := b.state(service, now)
	return state.retries+1 <= state.allowed
}

// addSuspension makes the time for which the machine was suspended count as passed. The monotonic clock
// does not count it.
func (b *budget) addSuspension(suspended time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedAt = b.startedAt.Add(-suspended)
	b.youngUntil = b.youngUntil.Add(-suspended)
}

// sweep forgets the services that were not requested within the window.
func (b *budget) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.services) == 0 {
		return
	}
	oldest := b.bucketAt(now) - budgetBuckets
	maps.DeleteFunc(b.services, func(_ string, counts *windowCounts) bool { return counts.currentBucket < oldest })
}

// mustReportExhaustion reports whether the exhaustion of a service's budget must be logged. It
// does so at most once in a window.
func (b *budget) mustReportExhaustion(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts, _ := b.countsAt(service, now)
	if now.Before(counts.quietUntil) {
		return false
	}
	counts.quietUntil = now.Add(b.opts.Window)
	return true
}

// state returns the state of a service's budget.
func (b *budget) state(service string, now time.Time) budgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts, _ := b.countsAt(service, now)
	return b.stateOf(counts, service, now)
}

// knownServices returns the services that were requested.
func (b *budget) knownServices() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.services))
}

// stateOf returns the state of a service's budget. The caller must hold the mutex.
func (b *budget) stateOf(counts *windowCounts, service string, now time.Time) budgetState {
	var state budgetState
	oldest := int((counts.currentBucket + 1) % keptBuckets)
	for p := range keptBuckets {
		if p != oldest {
			state.requests += counts.requests[p]
		}
		state.retries += counts.retries[p]
	}
	used := 1 - usedBudgetShare
	if !now.Before(b.youngUntil) {
		used, state.share = usedBudgetShare, b.opts.Share()
	}
	state.allowed = b.roundShare(used*(b.opts.Ratio*state.requests+state.share*b.opts.ExtraRetries), service, now)
	return state
}

// roundShare rounds a daemon's share of retries to a whole number. In a large fleet shares are
// below one, and no daemon could retry if all rounded down. Daemons therefore round up in turns:
// one whose share is 2.3 rounds up for 30 % of the time. All daemons round down if the unused part
// of the budget does not cover the rounding errors.
func (b *budget) roundShare(share float64, service string, now time.Time) float64 {
	whole, fraction := math.Modf(share)
	deviation := math.Sqrt(float64(max(b.opts.Daemons(), 1))) / 2
	if (1-usedBudgetShare)*b.opts.ExtraRetries < roundingMargin*deviation {
		return whole
	}
	cycles := float64(now.Sub(b.startedAt)) / float64(roundingWindows*b.opts.Window)
	if _, position := math.Modf(b.turnOffset(service) + cycles); position < fraction {
		return whole + 1
	}
	return whole
}

// turnOffset returns this daemon's position in a service's cycle of turns, as a fraction of the
// cycle.
func (b *budget) turnOffset(service string) float64 {
	h := fnv.New32a()
	// Writing to a hash does not fail.
	_, _ = h.Write([]byte(b.opts.Self + "/" + service))
	return float64(h.Sum32()) / (1 << 32)
}

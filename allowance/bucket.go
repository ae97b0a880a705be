package allowance

import (
	"math"
	"sync"
	"time"
)

// Bucket is a token bucket. It starts empty, since a restarted process does not know which tokens
// it took before. Callers should pass times with a monotonic clock reading, which changes of the
// wall clock do not affect. It is safe for concurrent use.
type Bucket struct {
	mu sync.Mutex
	// interval is the time in which the bucket gets one token; zero if it gets none.
	interval time.Duration
	// capacity is the maximum number of tokens.
	capacity int
	// fullAt is when the bucket will be full if no further token is taken.
	fullAt time.Time
}

// NewBucket returns an empty bucket with the given capacity that gets rate tokens a second.
func NewBucket(rate float64, capacity int, now time.Time) *Bucket {
	b := &Bucket{interval: intervalOf(rate), capacity: capacity}
	b.fullAt = now.Add(time.Duration(capacity) * b.interval)
	return b
}

// intervalOf returns the time between two tokens at a rate, zero if the rate is not positive.
func intervalOf(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}

// readyAt returns when a token is available. The caller must hold b.mu.
func (b *Bucket) readyAt() time.Time { return b.fullAt.Add(-time.Duration(b.capacity-1) * b.interval) }

// HasToken reports whether a token is available.
func (b *Bucket) HasToken(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.interval > 0 && !now.Before(b.readyAt())
}

// Take takes a token and reports whether one was available.
func (b *Bucket) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interval <= 0 || now.Before(b.readyAt()) {
		return false
	}
	b.fullAt = later(b.fullAt, now).Add(b.interval)
	return true
}

// Next returns the earliest time at which a token is available. If none are added, this is a day
// from now.
func (b *Bucket) Next(now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interval <= 0 {
		const longDelay = 24 * time.Hour
		return now.Add(longDelay)
	}
	return later(b.readyAt(), now)
}

// Retune changes the rate, in tokens a second, and the capacity. It keeps the tokens in the
// bucket, including the fraction of the next one. Otherwise a bucket whose rate changes often
// would never fill.
func (b *Bucket) Retune(rate float64, capacity int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := float64(b.capacity)
	if untilFull := b.fullAt.Sub(now); b.interval > 0 {
		tokens = max(tokens-max(float64(untilFull)/float64(b.interval), 0), 0)
	} else {
		tokens = 0
	}
	b.interval, b.capacity = intervalOf(rate), capacity
	missing := max(float64(capacity)-tokens, 0)
	b.fullAt = now.Add(time.Duration(missing * float64(b.interval)))
}

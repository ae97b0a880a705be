package allowance

import (
	"math"
	"sync"
	"time"
)

// Bucket is a token bucket that starts empty, as a restarted process does not know which tokens it
// took before. Callers pass monotonic times, so neither a suspended process nor a clock change
// adds more tokens than the bucket holds. It is safe for concurrent use.
type Bucket struct {
	mu sync.Mutex
	// interval is the time between two tokens; zero if none are added.
	interval time.Duration
	// capacity is the maximum number of tokens.
	capacity int
	// fullAt is when the bucket is full if no token is taken.
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

// Has reports whether a token is available.
func (b *Bucket) Has(now time.Time) bool {
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

// Next returns when a token is available, a day from now if none are ever added.
func (b *Bucket) Next(now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interval <= 0 {
		const never = 24 * time.Hour
		return now.Add(never)
	}
	return later(b.readyAt(), now)
}

// Retune changes the rate and the capacity. It keeps the tokens that the bucket holds, fractions
// included, and adds none. Resetting them would keep a bucket whose rate changes often empty.
func (b *Bucket) Retune(rate float64, capacity int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := float64(b.capacity)
	if left := b.fullAt.Sub(now); b.interval > 0 {
		held = max(held-max(float64(left)/float64(b.interval), 0), 0)
	} else {
		held = 0
	}
	b.interval, b.capacity = intervalOf(rate), capacity
	missing := max(float64(capacity)-held, 0)
	b.fullAt = now.Add(time.Duration(missing * float64(b.interval)))
}

package allowance

import (
	"math"
	"sync"
	"time"
)

// bucket holds at most one token, and none at the start: a process that has just started
// knows nothing of the tokens that its former life took. Times are of the steady clock, so
// that neither a freeze nor a step of the time of day brings more than one token.
type bucket struct {
	mu sync.Mutex
	// every is the time in which a token comes; zero for never.
	every time.Duration
	// fullAt is when there is a token.
	fullAt time.Time
}

// newBucket returns an empty bucket that gets a number of tokens a second.
func newBucket(rate float64, now time.Time) *bucket {
	b := &bucket{}
	if rate > 0 {
		b.every = time.Duration(math.Ceil(float64(time.Second) / rate))
	}
	b.fullAt = now.Add(b.every)
	return b
}

// has reports whether there is a token.
func (b *bucket) has(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.every > 0 && !now.Before(b.fullAt)
}

// take takes the token, if there is one.
func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.every <= 0 || now.Before(b.fullAt) {
		return false
	}
	b.fullAt = now.Add(b.every)
	return true
}

// next returns when there is a token.
func (b *bucket) next(now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.every <= 0 {
		const never = 24 * time.Hour
		return now.Add(never)
	}
	return later(b.fullAt, now)
}

package allowance

import (
	"math"
	"sync"
	"time"
)

// Bucket holds a few tokens at most, and none at the start: a process that has just started
// knows nothing of the tokens that its former life took. Times are of the steady clock, so
// that neither a freeze nor a step of the time of day brings more than it holds. It is safe
// for concurrent use.
type Bucket struct {
	mu sync.Mutex
	// every is the time in which a token comes; zero for never.
	every time.Duration
	// most is how many tokens it holds.
	most int
	// fullAt is when it holds most tokens, if none is taken.
	fullAt time.Time
}

// NewBucket returns an empty bucket that holds at most a number of tokens and gets rate of
// them a second.
func NewBucket(rate float64, most int, now time.Time) *Bucket {
	b := &Bucket{every: everyOf(rate), most: most}
	b.fullAt = now.Add(time.Duration(most) * b.every)
	return b
}

// everyOf returns the time in which a token comes.
func everyOf(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}

// readyAt returns when there is a token. The mutex is held.
func (b *Bucket) readyAt() time.Time { return b.fullAt.Add(-time.Duration(b.most-1) * b.every) }

// Has reports whether there is a token.
func (b *Bucket) Has(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.every > 0 && !now.Before(b.readyAt())
}

// Take takes a token, if there is one.
func (b *Bucket) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.every <= 0 || now.Before(b.readyAt()) {
		return false
	}
	b.fullAt = later(b.fullAt, now).Add(b.every)
	return true
}

// Next returns when there is a token.
func (b *Bucket) Next(now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.every <= 0 {
		const never = 24 * time.Hour
		return now.Add(never)
	}
	return later(b.readyAt(), now)
}

// Retune changes how many tokens come and are held. It brings none, and keeps the part of
// them that the bucket holds: one whose rate changes again and again would else stay empty.
func (b *Bucket) Retune(rate float64, most int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := float64(b.most)
	if left := b.fullAt.Sub(now); b.every > 0 {
		held = max(held-max(float64(left)/float64(b.every), 0), 0)
	} else {
		held = 0
	}
	b.every, b.most = everyOf(rate), most
	lacks := max(float64(most)-held, 0)
	b.fullAt = now.Add(time.Duration(lacks * float64(b.every)))
}

package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Beliefs holds the configuration in force and when it was last confirmed to be the newest. The
// version never decreases. It is safe for concurrent use.
type Beliefs struct {
	current atomic.Pointer[Config]
	changed chan struct{}

	mu        sync.Mutex
	confirmed time.Time
	// ignoreConfirmationsUntil is the time before which every confirmation is ignored.
	ignoreConfirmationsUntil time.Time
	// ignoreReadsUntil is the earliest send time of a read of this daemon whose confirmation counts.
	ignoreReadsUntil time.Time
}

// restoreHoldDuration is how long confirmations are ignored after the source was restored from a
// copy. The copy may lack a newer configuration that revokes keys, until its writer repeats the
// write at its next heartbeat.
const restoreHoldDuration = 2 * time.Second

// HoldCopy ignores all confirmations until restoreHoldDuration after the given time, at which the
// source was restored from a copy. It does nothing if no configuration has been confirmed yet.
func (b *Beliefs) HoldCopy(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := at.Add(restoreHoldDuration); !b.confirmed.IsZero() && until.After(b.ignoreConfirmationsUntil) {
		b.ignoreConfirmationsUntil = until
	}
}

// HoldFirstReads ignores the confirmations of this daemon's reads that are sent within
// restoreHoldDuration after the given time. Confirmations by peers still count. A daemon calls it
// at its first read if the source was restored at an unknown time. It does nothing once a
// configuration has been confirmed.
func (b *Beliefs) HoldFirstReads(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.confirmed.IsZero() {
		b.ignoreReadsUntil = at.Add(restoreHoldDuration)
	}
}

// Slept moves the time of the last confirmation back by the time for which the machine was
// suspended. The monotonic clock does not count that time.
func (b *Beliefs) Slept(suspended time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.confirmed.IsZero() {
		b.confirmed = b.confirmed.Add(-suspended)
	}
}

// State returns a consistent pair of the version in force and the time at which it was last
// confirmed to be the newest.
func (b *Beliefs) State() (version int64, confirmed time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Version(), b.confirmed
}

// NewBeliefs returns Beliefs without a configuration.
func NewBeliefs() *Beliefs { return &Beliefs{changed: make(chan struct{}, 1)} }

// Changed returns a channel that receives after a newer configuration came into force. Several
// changes may be combined into one signal.
func (b *Beliefs) Changed() <-chan struct{} { return b.changed }

// Config returns the configuration in force, or nil if there is none yet.
func (b *Beliefs) Config() *Config { return b.current.Load() }

// Version returns the version in force, or 0 if there is none yet.
func (b *Beliefs) Version() int64 {
	if c := b.current.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// Confirmed returns the latest time at which the configuration in force is known to have been the
// newest. For a read this is when it was sent, not when it was answered.
func (b *Beliefs) Confirmed() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmed
}

// Offer puts c in force unless a newer configuration is. A read that was sent at the given time
// returned c, and thereby confirms it.
func (b *Beliefs) Offer(c *Config, sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.current.Load(); current == nil || c.Version() > current.Version() {
		b.current.Store(c)
		notify(b.changed)
	}
	if c.Version() >= b.current.Load().Version() {
		b.confirmRead(sent)
	}
}

// Confirm notes that a peer reported the given version as the newest at the given time.
func (b *Beliefs) Confirm(version int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.current.Load(); c != nil && c.Version() == version {
		b.confirm(at)
	}
}

// ConfirmRead notes that a read sent at the given time returned no newer configuration.
func (b *Beliefs) ConfirmRead(sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Load() != nil {
		b.confirmRead(sent)
	}
}

func (b *Beliefs) confirmRead(sent time.Time) {
	if !sent.Before(b.ignoreReadsUntil) {
		b.confirm(sent)
	}
}

func (b *Beliefs) confirm(at time.Time) {
	if time.Now().Before(b.ignoreConfirmationsUntil) {
		return
	}
	if at.After(b.confirmed) {
		b.confirmed = at
	}
}

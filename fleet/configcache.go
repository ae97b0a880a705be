package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// ConfigCache holds the configuration in force and when it was last confirmed to be the newest. The
// version never decreases. It is safe for concurrent use.
type ConfigCache struct {
	current atomic.Pointer[Config]
	changed chan struct{}

	mu        sync.Mutex
	confirmed time.Time
	// ignoreConfirmationsUntil is the time before which every confirmation is ignored.
	ignoreConfirmationsUntil time.Time
	// ignoreReadsUntil is the earliest send time of a read of this daemon whose confirmation
	// counts.
	ignoreReadsUntil time.Time
}

// restoreHoldDuration is how long confirmations are ignored after the source was restored from a
// copy. The copy may lack a newer configuration that revokes keys, until its writer repeats the
// write at its next heartbeat.
const restoreHoldDuration = 2 * time.Second

// HoldAfterRestore ignores all confirmations until restoreHoldDuration after the given time, at
// which the source was restored from a copy. It does nothing if no configuration has been confirmed
// yet.
func (cc *ConfigCache) HoldAfterRestore(at time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if until := at.Add(restoreHoldDuration); !cc.confirmed.IsZero() && until.After(cc.ignoreConfirmationsUntil) {
		cc.ignoreConfirmationsUntil = until
	}
}

// HoldFirstReads ignores the confirmations of this daemon's reads that are sent within
// restoreHoldDuration after the given time. Confirmations by peers still count. A daemon calls it
// at its first read if the source was restored at an unknown time. It does nothing once a
// configuration has been confirmed.
func (cc *ConfigCache) HoldFirstReads(at time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.confirmed.IsZero() {
		cc.ignoreReadsUntil = at.Add(restoreHoldDuration)
	}
}

// AddSuspension moves the time of the last confirmation back by the time for which the machine was
// suspended. The monotonic clock does not count that time.
func (cc *ConfigCache) AddSuspension(suspended time.Duration) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if !cc.confirmed.IsZero() {
		cc.confirmed = cc.confirmed.Add(-suspended)
	}
}

// State returns a consistent pair of the version in force and the time at which it was last
// confirmed to be the newest.
func (cc *ConfigCache) State() (version int64, confirmed time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.Version(), cc.confirmed
}

// NewConfigCache returns a ConfigCache without a configuration.
func NewConfigCache() *ConfigCache { return &ConfigCache{changed: make(chan struct{}, 1)} }

// Changed returns a channel that receives after a newer configuration came into force. Several
// changes may be combined into one signal.
func (cc *ConfigCache) Changed() <-chan struct{} { return cc.changed }

// Config returns the configuration in force, or nil if there is none yet.
func (cc *ConfigCache) Config() *Config { return cc.current.Load() }

// Version returns the version in force, or 0 if there is none yet.
func (cc *ConfigCache) Version() int64 {
	if c := cc.current.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// Confirmed returns the latest time at which the configuration in force is known to have been the
// newest. For a read this is when it was sent, not when it was answered.
func (cc *ConfigCache) Confirmed() time.Time {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.confirmed
}

// Offer puts c in force unless a newer configuration is. A read that was sent at the given time
// returned c, and thereby confirms it.
func (cc *ConfigCache) Offer(c *Config, sent time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if current := cc.current.Load(); current == nil || c.Version() > current.Version() {
		cc.current.Store(c)
		notify(cc.changed)
	}
	if c.Version() >= cc.current.Load().Version() {
		cc.confirmRead(sent)
	}
}

// Confirm notes that a peer reported the given version as the newest at the given time.
func (cc *ConfigCache) Confirm(version int64, at time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if c := cc.current.Load(); c != nil && c.Version() == version {
		cc.confirm(at)
	}
}

// ConfirmRead notes that a read sent at the given time returned no newer configuration.
func (cc *ConfigCache) ConfirmRead(sent time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.current.Load() != nil {
		cc.confirmRead(sent)
	}
}

func (cc *ConfigCache) confirmRead(sent time.Time) {
	if !sent.Before(cc.ignoreReadsUntil) {
		cc.confirm(sent)
	}
}

func (cc *ConfigCache) confirm(at time.Time) {
	if time.Now().Before(cc.ignoreConfirmationsUntil) {
		return
	}
	if at.After(cc.confirmed) {
		cc.confirmed = at
	}
}

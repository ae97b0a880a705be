package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Beliefs holds the configuration in force. It only moves forwards. It is safe
// for concurrent use.
type Beliefs struct {
	current atomic.Pointer[Config]
	changed chan struct{}

	mu        sync.Mutex
	confirmed time.Time
	// heldUntil is until when nothing confirms what is held, readsHeldUntil until when reads
	// of this daemon alone do not.
	heldUntil      time.Time
	readsHeldUntil time.Time
}

// copyHold is how long after the source came back from a copy its newest configuration may
// be an older one: its writers write again at their next heartbeat. Confirmed meanwhile, keys that
// were taken away would run on.
const copyHold = 2 * time.Second

// HoldCopy notes that the source came back from a copy at a time: what it shows for a while
// confirms nothing. Before anything was confirmed there is nothing to hold.
func (b *Beliefs) HoldCopy(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := at.Add(copyHold); !b.confirmed.IsZero() && until.After(b.heldUntil) {
		b.heldUntil = until
	}
}

// HoldReads notes that this daemon, which knows nothing yet, reads for the first time, from a
// source that came back from a copy some time: it may just have done so. Who ran before may
// know better, and is believed.
func (b *Beliefs) HoldReads(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.confirmed.IsZero() {
		b.readsHeldUntil = at.Add(copyHold)
	}
}

// Slept notes that the machine was suspended for a while, which the steady clock does not
// count: what is held is so much older.
func (b *Beliefs) Slept(asleep time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.confirmed.IsZero() {
		b.confirmed = b.confirmed.Add(-asleep)
	}
}

// State returns the version in force and when it was last known to be the newest, of one
// moment.
func (b *Beliefs) State() (version int64, confirmed time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Version(), b.confirmed
}

// NewBeliefs returns beliefs without a configuration.
func NewBeliefs() *Beliefs { return &Beliefs{changed: make(chan struct{}, 1)} }

// Changed receives after a newer configuration came into force; several may be
// joined into one.
func (b *Beliefs) Changed() <-chan struct{} { return b.changed }

// Config returns the configuration in force, or nil before the first.
func (b *Beliefs) Config() *Config { return b.current.Load() }

// Version returns the version in force, 0 before the first.
func (b *Beliefs) Version() int64 {
	if c := b.current.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// Confirmed returns the latest time at which the configuration in force is
// known to have been the newest: the sending of a read, never its answer.
func (b *Beliefs) Confirmed() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmed
}

// Offer takes a configuration that was read from its source by a read sent at
// the given time. An older one than that in force is ignored.
func (b *Beliefs) Offer(c *Config, sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.current.Load(); held == nil || c.Version() > held.Version() {
		b.current.Store(c)
		notify(b.changed)
	}
	if c.Version() >= b.current.Load().Version() {
		b.confirmRead(sent)
	}
}

// Confirm notes that the given version was the newest at the given time, by a peer's word.
func (b *Beliefs) Confirm(version int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.current.Load(); c != nil && c.Version() == version {
		b.confirm(at)
	}
}

// ConfirmRead notes that a read which was sent at the given time brought nothing newer.
func (b *Beliefs) ConfirmRead(sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Load() != nil {
		b.confirmRead(sent)
	}
}

func (b *Beliefs) confirmRead(sent time.Time) {
	if !sent.Before(b.readsHeldUntil) {
		b.confirm(sent)
	}
}

func (b *Beliefs) confirm(at time.Time) {
	if time.Now().Before(b.heldUntil) {
		return
	}
	if at.After(b.confirmed) {
		b.confirmed = at
	}
}

// Package allowance limits the requests that all daemons together send to a worker while it warms
// up. For each such worker a few of the registered daemons are chosen as holders by hash, and only
// these send to it, each limited by its own token bucket. The daemons exchange no messages for it.
package allowance

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"quartzshelf.dev/fleet"
)

// SendWithin is how long a token is valid after it was taken. It covers opening a connection; a
// later send could fall into another second than its token.
const SendWithin = 100 * time.Millisecond

// Options configures an Allowance.
type Options struct {
	// Self is the ID of this daemon.
	Self string
	// Members returns the IDs of all daemons that were ever registered, as far as known, including
	// this one; empty while unknown. The list must not shrink when daemons become unreachable:
	// during a network partition each would act as the only one.
	Members func() []string
	// Bound is the limit set by the operator.
	Bound Bound
	// Settle is added to the warm-up time of a service after a worker's data hall was opened, as
	// the worker's own entry may arrive later.
	Settle time.Duration

	View   func() *fleet.View
	Halls  func() *fleet.HallView
	Config func() *fleet.Config
	// Changed is called when this daemon sees a worker start or finish warming up. It must not
	// call the Allowance.
	Changed func(worker *fleet.Worker, warming bool)
}

// Allowance holds this daemon's tokens for workers that warm up. It is safe for concurrent use.
type Allowance struct {
	opts Options
	// current is the latest snapshot. Snapshots share their buckets.
	current atomic.Pointer[snapshot]
	mu      sync.Mutex
}

// snapshot lists the workers that warm up. Only its buckets change.
type snapshot struct {
	view    *fleet.View
	halls   *fleet.HallView
	config  *fleet.Config
	members int
	// until is when the first of the workers finishes warming up.
	until   time.Time
	warming map[string]*warming
	// reported maps each worker whose entry covers the warm-up since its hall was opened to the
	// time of that opening.
	reported map[string]time.Time
	// hallOpened means that some workers warm up for longer than their entry says, because their
	// hall was opened.
	hallOpened bool
}

// warming is a worker that warms up.
type warming struct {
	worker *fleet.Worker
	until  time.Time
	share  Share
	// bucket is nil if this daemon is not a holder.
	bucket *Bucket
}

// New returns an allowance with an empty snapshot.
func New(opts Options) *Allowance {
	a := &Allowance{opts: opts}
	a.current.Store(&snapshot{})
	return a
}

// Check returns a function that reports whether this daemon may send a request to a replica now;
// nil if no worker warms up. The result is a hint: only Take reserves a token.
func (a *Allowance) Check(now time.Time) func(r *fleet.Replica) bool {
	s := a.refresh(now)
	if len(s.warming) == 0 {
		return nil
	}
	return func(r *fleet.Replica) bool {
		if !s.hallOpened && !now.Before(r.Head.ColdUntil) {
			// Avoid the map lookup for the majority of workers, which are not cold.
			return true
		}
		w := s.warming[r.Head.ID]
		return w == nil || !now.Before(w.until) || w.bucket != nil && w.bucket.Has(now)
	}
}

// Take takes a token for a request to a replica if its head worker warms up. It returns the
// deadline for sending the request, the zero time if there is no limit, and false if no token is
// available.
func (a *Allowance) Take(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	w := a.refresh(now).warming[r.Head.ID]
	switch {
	case w == nil || !now.Before(w.until):
		return time.Time{}, true
	case w.bucket == nil || !w.bucket.Take(now):
		return time.Time{}, false
	}
	return now.Add(SendWithin), true
}

// Next returns the earliest time at which this daemon may send a request to a replica, as far as
// known now.
func (a *Allowance) Next(r *fleet.Replica, now time.Time) time.Time {
	w := a.refresh(now).warming[r.Head.ID]
	switch {
	case w == nil || !now.Before(w.until):
		return now
	case w.bucket == nil:
		return w.until
	}
	return earlier(w.bucket.Next(now), w.until)
}

// Warming returns the number of workers that warm up in the latest snapshot.
func (a *Allowance) Warming() int { return len(a.current.Load().warming) }

// Look refreshes the snapshot. Requests do so as well; calling Look covers daemons without
// requests.
func (a *Allowance) Look(now time.Time) { a.refresh(now) }

func (a *Allowance) refresh(now time.Time) *snapshot {
	if s := a.current.Load(); a.isCurrent(s, now) {
		return s
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	previous := a.current.Load()
	if a.isCurrent(previous, now) {
		return previous
	}
	next := a.newSnapshot(previous, now)
	a.current.Store(next)
	a.notify(previous, next)
	return next
}

// isCurrent reports whether a snapshot still matches its inputs.
func (a *Allowance) isCurrent(s *snapshot, now time.Time) bool {
	return s.view == a.opts.View() && s.halls == a.opts.Halls() && s.config == a.opts.Config() &&
		(s.until.IsZero() || now.Before(s.until)) && (len(s.warming) == 0 || s.members == len(a.opts.Members()))
}

// newSnapshot finds the workers that warm up now. Workers that are in the previous snapshot keep
// their buckets.
func (a *Allowance) newSnapshot(previous *snapshot, now time.Time) *snapshot {
	members := a.opts.Members()
	next := &snapshot{view: a.opts.View(), halls: a.opts.Halls(), config: a.opts.Config(), members: len(members), reported: make(map[string]time.Time)}
	for id, w := range next.view.Workers() {
		until, bound := a.warmsUntil(previous, next, w)
		if !now.Before(until) {
			continue
		}
		if next.warming == nil {
			next.warming = make(map[string]*warming)
		}
		next.hallOpened = next.hallOpened || until.After(w.ColdUntil)
		next.warming[id] = a.warmingOf(previous, w, bound, members, until, now)
		if next.until.IsZero() {
			next.until = until
		}
		next.until = earlier(next.until, until)
	}
	return next
}

// warmingOf returns the state of a worker that warms up. It reuses the previous bucket if the
// share is unchanged and starts with an empty one otherwise, so that no change adds tokens.
func (a *Allowance) warmingOf(previous *snapshot, w *fleet.Worker, bound fleet.WarmUp, members []string, until, now time.Time) *warming {
	share := a.opts.Bound.Divide(bound.PerSecond, len(members))
	next := &warming{worker: w, until: until, share: share}
	before := previous.warming[w.ID]
	same := before != nil && before.share == share
	switch {
	case same && previous.members == len(members):
		next.bucket = before.bucket
	case !IsHolder(a.opts.Self, w.ID, members, share.Holders):
	case same && before.bucket != nil:
		next.bucket = before.bucket
	default:
		next.bucket = NewBucket(share.Rate, 1, now)
	}
	return next
}

// notify reports the workers that started or finished warming up.
func (a *Allowance) notify(previous, next *snapshot) {
	for id, w := range next.warming {
		if previous.warming[id] == nil {
			a.opts.Changed(w.worker, true)
		}
	}
	for id := range maps.Keys(previous.warming) {
		if next.warming[id] == nil {
			a.opts.Changed(previous.warming[id].worker, false)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

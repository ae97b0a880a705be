// Package allowance limits the requests that all daemons together send to a worker while it warms
// up. For each such worker, a hash selects a few of the registered daemons as holders. Only
// holders send requests to it, each limited by its own token bucket. The daemons need no messages
// to agree on the holders.
package allowance

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"quartzshelf.dev/fleet"
)

// TokenLifetime is how long a token is valid after it was taken, which leaves time to open a
// connection. A request that is sent later might exceed the limit of a later second.
const TokenLifetime = 100 * time.Millisecond

// Options configures an Allowance.
type Options struct {
	// Self is the ID of this daemon.
	Self string
	// Members returns the IDs of all daemons that are known to have been registered at any time,
	// including this one. It is empty if they are not known yet. The list must not shrink when
	// daemons become unreachable, since in a network partition each would act as the only one.
	Members func() []string
	// Bound is the limit set by the operator.
	Bound Bound
	// Settle is how much longer than the warm-up time of its service a worker is limited after its
	// data hall was opened. The worker's inventory entry may arrive that much later.
	Settle time.Duration

	// View, Halls and Config return the latest inventory, states of data halls and configuration.
	View   func() *fleet.View
	Halls  func() *fleet.HallView
	Config func() *fleet.Config
	// Changed is called when this daemon sees a worker start or finish warming up. It must not
	// call the Allowance.
	Changed func(worker *fleet.Worker, isWarming bool)
}

// Allowance holds this daemon's tokens for workers that warm up. It is safe for concurrent use.
type Allowance struct {
	opts Options
	// current is the latest snapshot. Snapshots share their buckets.
	current atomic.Pointer[snapshot]
	mu      sync.Mutex
}

// snapshot lists the workers that warm up, for one state of the inputs. It does not change, except
// for the tokens in its buckets.
type snapshot struct {
	view   *fleet.View
	halls  *fleet.HallView
	config *fleet.Config
	// members is the number of registered daemons.
	members int
	// validUntil is when the first of the workers finishes warming up.
	validUntil time.Time
	warming    map[string]*warmingWorker
	// coveredOpenings maps worker IDs to times at which the worker's hall was opened. It lists the
	// workers whose entries account for the warm-up since then.
	coveredOpenings map[string]time.Time
	// hasExtendedWarmUp means that at least one worker warms up for longer than its entry says,
	// because its hall was opened.
	hasExtendedWarmUp bool
}

// warmingWorker is a worker that warms up.
type warmingWorker struct {
	worker *fleet.Worker
	// until is when the worker finishes warming up.
	until    time.Time
	division Division
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
		if !s.hasExtendedWarmUp && !now.Before(r.Head.ColdUntil) {
			// Most workers are not cold. Skip the map lookup for them.
			return true
		}
		w := s.warming[r.Head.ID]
		return w == nil || !now.Before(w.until) || w.bucket != nil && w.bucket.HasToken(now)
	}
}

// Take takes a token for a request to a replica if its head worker warms up. It returns false if
// no token is available. Otherwise it returns the deadline for sending the request, which is zero
// if the worker does not warm up.
func (a *Allowance) Take(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	w := a.refresh(now).warming[r.Head.ID]
	switch {
	case w == nil || !now.Before(w.until):
		return time.Time{}, true
	case w.bucket == nil || !w.bucket.Take(now):
		return time.Time{}, false
	}
	return now.Add(TokenLifetime), true
}

// Next returns the earliest time at which this daemon may send a request to a replica, if no other
// request takes the token before.
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

// CountWarming returns the number of workers that warm up in the latest snapshot.
func (a *Allowance) CountWarming() int { return len(a.current.Load().warming) }

// Refresh refreshes the snapshot. Check, Take and Next do so as well. It must be called regularly,
// so that Changed is also called at daemons without requests.
func (a *Allowance) Refresh(now time.Time) { a.refresh(now) }

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
		(s.validUntil.IsZero() || now.Before(s.validUntil)) && (len(s.warming) == 0 || s.members == len(a.opts.Members()))
}

// newSnapshot returns a snapshot of the workers that warm up now. Workers that are in the previous
// snapshot keep their buckets if their divisions are unchanged.
func (a *Allowance) newSnapshot(previous *snapshot, now time.Time) *snapshot {
	members := a.opts.Members()
	next := &snapshot{view: a.opts.View(), halls: a.opts.Halls(), config: a.opts.Config(), members: len(members), coveredOpenings: make(map[string]time.Time)}
	for id, w := range next.view.Workers() {
		until, warmUp := a.warmUpEnd(previous, next, w)
		if !now.Before(until) {
			continue
		}
		if next.warming == nil {
			next.warming = make(map[string]*warmingWorker)
		}
		next.hasExtendedWarmUp = next.hasExtendedWarmUp || until.After(w.ColdUntil)
		next.warming[id] = a.newWarmingWorker(previous, w, warmUp, members, until, now)
		if next.validUntil.IsZero() {
			next.validUntil = until
		}
		next.validUntil = earlier(next.validUntil, until)
	}
	return next
}

// newWarmingWorker returns the state of a worker that warms up until the given time. It reuses the
// previous bucket if the division is unchanged. Otherwise it creates an empty one, so that no
// change adds tokens.
func (a *Allowance) newWarmingWorker(previous *snapshot, w *fleet.Worker, warmUp fleet.WarmUp, members []string, until, now time.Time) *warmingWorker {
	division := a.opts.Bound.Divide(warmUp.PerSecond, len(members))
	next := &warmingWorker{worker: w, until: until, division: division}
	previousState := previous.warming[w.ID]
	hasSameDivision := previousState != nil && previousState.division == division
	switch {
	case hasSameDivision && previous.members == len(members):
		next.bucket = previousState.bucket
	case !IsHolder(a.opts.Self, w.ID, members, division.Holders):
	case hasSameDivision && previousState.bucket != nil:
		next.bucket = previousState.bucket
	default:
		next.bucket = NewBucket(division.Rate, 1, now)
	}
	return next
}

// notify calls Changed for the workers that started or finished warming up.
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

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

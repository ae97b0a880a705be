// Package allowance bounds what workers get from all daemons together while they warm up.
// Each such worker has a few holders among the registered daemons, and only these send to
// it, each by a token bucket of its own. No message is passed for it:
// docs/design/warm-up.md tells why the sum stays below the bound.
package allowance

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"quartzshelf.dev/fleet"
)

// SendWithin is for how long a token that was taken allows a send. It spans the opening of
// a connection; later than that the send would count in another second than its token.
const SendWithin = 100 * time.Millisecond

// Options configures an Allowance.
type Options struct {
	// Self is the id of this daemon.
	Self string
	// Members returns the ids of all daemons that were ever registered, as far as known,
	// with this one's; empty while none are known. It does not shrink when daemons fall
	// silent: behind a cut each would take itself for the only one.
	Members func() []string
	// Bound is what the operator allows.
	Bound Bound
	// Settle is for how much longer than the time of its service a worker counts as cold
	// after its data hall was opened: its own entry may tell it later.
	Settle time.Duration

	View   func() *fleet.View
	Halls  func() *fleet.HallView
	Config func() *fleet.Config
	// Changed is called when a worker begins or ceases to warm up, as seen here. It must not
	// call the Allowance.
	Changed func(worker *fleet.Worker, warming bool)
}

// Allowance holds this daemon's tokens for workers that warm up. It is safe for
// concurrent use.
type Allowance struct {
	opts Options
	// current is what was seen last; the buckets in it are shared with the next one.
	current atomic.Pointer[snapshot]
	mu      sync.Mutex
}

// snapshot is the workers that warm up by one look. Only its buckets change.
type snapshot struct {
	view    *fleet.View
	halls   *fleet.HallView
	config  *fleet.Config
	members int
	// until is when the first of the workers has warmed up.
	until   time.Time
	warming map[string]*warming
	// told holds the workers whose entry told how long they are cold since their hall was
	// opened, with when that was.
	told map[string]time.Time
	// hallOpened tells that some warm up for longer than their entry tells, because their
	// hall was opened.
	hallOpened bool
}

// warming is a worker that warms up.
type warming struct {
	worker *fleet.Worker
	until  time.Time
	share  Share
	// bucket is nil if this daemon is no holder.
	bucket *Bucket
}

// New returns an allowance that has seen nothing yet.
func New(opts Options) *Allowance {
	a := &Allowance{opts: opts}
	a.current.Store(&snapshot{})
	return a
}

// Check returns a check for whether this daemon may send a request to a replica now, or
// nil if no worker warms up. It is a hint: Take decides.
func (a *Allowance) Check(now time.Time) func(r *fleet.Replica) bool {
	s := a.refresh(now)
	if len(s.warming) == 0 {
		return nil
	}
	return func(r *fleet.Replica) bool {
		if !s.hallOpened && !now.Before(r.Head.ColdUntil) {
			// Most are not cold, and need no search.
			return true
		}
		w := s.warming[r.Head.ID]
		return w == nil || !now.Before(w.until) || w.bucket != nil && w.bucket.Has(now)
	}
}

// Take takes a token for a request to a replica, if one is needed. It returns until when
// the request may be sent, the zero time for a replica that is not bounded, and false if
// there is no token.
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

// Next returns when this daemon may send a request to a replica, as far as is known now.
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

// Warming returns how many workers warm up by the last look.
func (a *Allowance) Warming() int { return len(a.current.Load().warming) }

// Look brings what is known of workers that warm up to the present. Requests do so as
// well; a daemon that gets none does it by this.
func (a *Allowance) Look(now time.Time) { a.refresh(now) }

func (a *Allowance) refresh(now time.Time) *snapshot {
	if s := a.current.Load(); a.holds(s, now) {
		return s
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.current.Load()
	if a.holds(held, now) {
		return held
	}
	next := a.look(held, now)
	a.current.Store(next)
	a.tell(held, next)
	return next
}

// holds reports whether a snapshot is what a look would find now.
func (a *Allowance) holds(s *snapshot, now time.Time) bool {
	return s.view == a.opts.View() && s.halls == a.opts.Halls() && s.config == a.opts.Config() &&
		(s.until.IsZero() || now.Before(s.until)) && (len(s.warming) == 0 || s.members == len(a.opts.Members()))
}

// look finds the workers that warm up now. A worker that did so before keeps its bucket.
func (a *Allowance) look(held *snapshot, now time.Time) *snapshot {
	members := a.opts.Members()
	next := &snapshot{view: a.opts.View(), halls: a.opts.Halls(), config: a.opts.Config(), members: len(members), told: make(map[string]time.Time)}
	for id, w := range next.view.Workers() {
		until, bound := a.warmsUntil(held, next, w)
		if !now.Before(until) {
			continue
		}
		if next.warming == nil {
			next.warming = make(map[string]*warming)
		}
		next.hallOpened = next.hallOpened || until.After(w.ColdUntil)
		next.warming[id] = a.warmingOf(held, w, bound, members, until, now)
		if next.until.IsZero() {
			next.until = until
		}
		next.until = earlier(next.until, until)
	}
	return next
}

// warmingOf returns the state of a worker that warms up: its bucket from before if the
// share is still the same, else an empty one, so that no change brings tokens.
func (a *Allowance) warmingOf(held *snapshot, w *fleet.Worker, bound fleet.WarmUp, members []string, until, now time.Time) *warming {
	share := a.opts.Bound.Divide(bound.PerSecond, len(members))
	next := &warming{worker: w, until: until, share: share}
	before := held.warming[w.ID]
	same := before != nil && before.share == share
	switch {
	case same && held.members == len(members):
		next.bucket = before.bucket
	case !IsHolder(a.opts.Self, w.ID, members, share.Holders):
	case same && before.bucket != nil:
		next.bucket = before.bucket
	default:
		next.bucket = NewBucket(share.Rate, 1, now)
	}
	return next
}

// tell reports which workers began or ceased to warm up.
func (a *Allowance) tell(held, next *snapshot) {
	for id, w := range next.warming {
		if held.warming[id] == nil {
			a.opts.Changed(w.worker, true)
		}
	}
	for id := range maps.Keys(held.warming) {
		if next.warming[id] == nil {
			a.opts.Changed(held.warming[id].worker, false)
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

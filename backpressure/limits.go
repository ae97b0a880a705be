package backpressure

import (
	"maps"
	"time"

	"quartzshelf.dev/allowance"
	"quartzshelf.dev/fleet"
)

// limit is the limit of one incarnation of a worker, as used when requests are routed.
type limit struct {
	// born identifies the incarnation.
	born int64
	// bucket is nil if this daemon holds no share.
	bucket *allowance.Bucket
}

// Check returns a function that reports whether this daemon may send a request to a replica now;
// nil if no worker has a limit. The result is a hint: only Take reserves a token.
func (t *Table) Check(now time.Time) func(r *fleet.Replica) bool {
	limits := *t.limits.Load()
	if len(limits) == 0 {
		return nil
	}
	return func(r *fleet.Replica) bool {
		l, ok := limits[r.Head.ID]
		return !ok || l.born != r.Head.StartedAt || l.bucket != nil && l.bucket.HasToken(now)
	}
}

// Take takes a token for a request to a replica if its head worker has a limit. It returns false
// if no token is available. Otherwise it returns the deadline for sending the request, which is
// zero if the worker has no limit.
func (t *Table) Take(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	l, ok := t.limitOf(r)
	switch {
	case !ok:
		return time.Time{}, true
	case l.bucket == nil || !l.bucket.Take(now):
		return time.Time{}, false
	}
	return now.Add(allowance.TokenLifetime), true
}

// otherDaemonRetryDelay is how long a client should wait before a retry if this daemon holds no
// share of the limit. Another daemon may serve the retry.
const otherDaemonRetryDelay = time.Second

// Next returns the earliest time at which this daemon may send a request to a replica, if no other
// request takes the token before. If this daemon holds no share, it returns when a client should
// retry.
func (t *Table) Next(r *fleet.Replica, now time.Time) time.Time {
	l, ok := t.limitOf(r)
	switch {
	case !ok:
		return now
	case l.bucket == nil:
		return now.Add(otherDaemonRetryDelay)
	}
	return l.bucket.Next(now)
}

// CheckRest returns a function that reports whether a replica's head worker accepts requests from
// this daemon, that is, has no rest period now. It returns nil if no rest periods are recorded.
func (t *Table) CheckRest(now time.Time) func(r *fleet.Replica) bool {
	if !t.rests.Any() {
		return nil
	}
	return func(r *fleet.Replica) bool {
		_, isResting := t.rests.Until(r.Head.ID, r.Head.StartedAt, now)
		return !isResting
	}
}

// TakeRest reports whether a replica's head worker is in no rest period now. The result sendBy is
// always zero, because a rest period sets no deadline for sending.
func (t *Table) TakeRest(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	_, isResting := t.rests.Until(r.Head.ID, r.Head.StartedAt, now)
	return time.Time{}, !isResting
}

// NextAfterRest returns when the rest period of a replica's head worker ends, and now if it has
// none.
func (t *Table) NextAfterRest(r *fleet.Replica, now time.Time) time.Time {
	if until, isResting := t.rests.Until(r.Head.ID, r.Head.StartedAt, now); isResting {
		return until
	}
	return now
}

// HasLimit returns a function that reports whether a replica's head worker has a limit; nil if no
// worker has one.
func (t *Table) HasLimit() func(r *fleet.Replica) bool {
	limits := *t.limits.Load()
	if len(limits) == 0 {
		return nil
	}
	return func(r *fleet.Replica) bool {
		l, ok := limits[r.Head.ID]
		return ok && l.born == r.Head.StartedAt
	}
}

// limitOf returns the limit of a replica's head worker, and false if it has none.
func (t *Table) limitOf(r *fleet.Replica) (*limit, bool) {
	l, ok := (*t.limits.Load())[r.Head.ID]
	return l, ok && l.born == r.Head.StartedAt
}

// Refresh recomputes this daemon's shares and removes rest periods that have ended. It must be
// called regularly, since members change and limits become stale.
func (t *Table) Refresh(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rests.Sweep(now)
	holders := t.shareholders()
	for id, r := range t.records {
		t.updateShares(id, r, holders, now)
	}
}

func (t *Table) shareholders() shareholders {
	return shareholders{self: t.opts.Self, hall: t.opts.Hall, halls: t.opts.Halls, members: t.opts.Members()}
}

// updateShares recomputes this daemon's shares of a worker's limit and adjusts the token bucket.
// The caller must hold t.mu.
func (t *Table) updateShares(worker string, r *record, holders shareholders, now time.Time) {
	if !r.isLimited {
		r.bucket, r.rate, r.shares = nil, 0, 0
		t.publish(worker, nil)
		return
	}
	split, key := t.opts.Bound.divide(r.perSecond, len(holders.halls)*MaxShareholders), worker
	if sinceReport := now.Sub(r.limitReportedAt); sinceReport > staleAfter {
		split, key = t.opts.Bound.singleShare(r.perSecond), staleKey(worker, sinceReport)
	}
	shares := holders.countShares(key, split.shares)
	rate := split.rate * float64(shares)
	switch {
	case shares == 0:
		r.bucket = nil
	case r.bucket == nil:
		r.bucket = allowance.NewBucket(rate, shares, now)
	case rate != r.rate || shares != r.shares:
		r.bucket.Retune(rate, shares, now)
	}
	r.rate, r.shares = rate, shares
	t.publish(worker, &limit{born: r.born, bucket: r.bucket})
}

// publish makes a worker's limit visible to requests; nil removes it. The caller must hold t.mu.
func (t *Table) publish(worker string, l *limit) {
	published, ok := (*t.limits.Load())[worker]
	if l == nil && !ok || l != nil && ok && *l == *published {
		return
	}
	next := maps.Clone(*t.limits.Load())
	if l == nil {
		delete(next, worker)
	} else {
		next[worker] = l
	}
	t.limits.Store(&next)
}

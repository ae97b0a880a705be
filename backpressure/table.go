package backpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"quartzshelf.dev/allowance"
	"quartzshelf.dev/fleet"
)

// Event is the kind of a change in what a worker reports about itself.
type Event string

// Events, as counted in metrics and logged.
const (
	LimitNamed   Event = "limit_named"
	LimitChanged Event = "limit_changed"
	LimitDropped Event = "limit_dropped"
	RestAsked    Event = "rest_asked"
	Leaving      Event = "leaves"
)

// Change describes a change in what a worker reports, such as a new limit.
type Change struct {
	Event Event
	// Worker and Born identify the incarnation of the worker.
	Worker string
	Born   int64
	// PerSecond is the limit in requests a second, for limit events. Rest is the length of the
	// rest period, for RestAsked.
	PerSecond float64
	Rest      time.Duration
	// By is the ID of the peer that reported the change. It is empty if this daemon received the
	// worker's answer itself.
	By string
}

// changes collects the changes caused by one answer or report of a worker's incarnation.
type changes struct {
	base Change
	all  []Change
}

func newChanges(w *fleet.Worker, by string) *changes {
	return &changes{base: Change{Worker: w.ID, Born: w.StartedAt, By: by}}
}

// add appends a change unless it is empty.
func (c *changes) add(change Change) {
	if change.Event == "" {
		return
	}
	change.Worker, change.Born, change.By = c.base.Worker, c.base.Born, c.base.By
	c.all = append(c.all, change)
}

// Options configures a Table.
type Options struct {
	// Self is the ID of this daemon, Hall its data hall, and Halls all data halls.
	Self, Hall string
	Halls      []string
	// Members returns the IDs of the daemons of this hall among which the hall's shares of the
	// workers' limits are divided. The list may include this daemon, and is empty while the members
	// are unknown. It must not shrink when daemons become unreachable. Otherwise, in a network
	// partition, each side would take over the shares of the other.
	Members func() []string
	// Bound limits the number of requests to workers that report a limit.
	Bound Bound
	// Changed is called for each change. It may call the Table.
	Changed func(c Change)
}

// Table holds the limits, rest periods and shutdown notices that workers reported. It is safe for
// concurrent use.
type Table struct {
	opts Options
	// limits maps worker IDs to the published limits. The map is replaced on change, never
	// modified; the buckets in it are shared.
	limits atomic.Pointer[map[string]*limit]
	rests  *RestPeriods

	mu      sync.Mutex
	records map[string]*record
	// nextWorker is the ID of the first worker of the next report that is sent in rotation.
	nextWorker string
}

// record is what one incarnation of a worker reported.
type record struct {
	born int64
	// isLimited means that the worker has a limit of perSecond requests a second. limitReportedAt
	// is when the worker last reported it. limitEndedAt is when the request was sent whose answer
	// ended the last limit.
	isLimited       bool
	perSecond       float64
	limitReportedAt time.Time
	limitEndedAt    time.Time
	// bucket holds the tokens of this daemon's shares; nil if it has none. shares is the number of
	// shares, rate their total rate in requests a second.
	bucket *allowance.Bucket
	shares int
	rate   float64
	// isLeaving means that the worker is about to stop.
	isLeaving bool
	// observedLocally means that this daemon received an answer of the worker itself. changedAt is
	// when the record last changed, by an answer or by a peer's report.
	observedLocally bool
	changedAt       time.Time
	// expiresAt is when the record is removed unless the worker is listed again.
	expiresAt time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	t := &Table{opts: opts, records: make(map[string]*record), rests: NewRestPeriods()}
	t.limits.Store(&map[string]*limit{})
	return t
}

// Observe applies the signal of an answer that arrived now, to a request that was sent at sentAt.
// Answers may arrive out of order. An answer without a limit therefore ends the recorded limit only
// if that limit was reported before the request was sent.
func (t *Table) Observe(w *fleet.Worker, s Signal, sentAt, now time.Time) {
	t.notify(t.applySignal(w, s, sentAt, now))
}

func (t *Table) notify(all []Change) {
	for _, c := range all {
		t.opts.Changed(c)
	}
}

func (t *Table) applySignal(w *fleet.Worker, s Signal, sentAt, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	existing, ok := t.records[w.ID]
	if !ok && !s.isActionable() || ok && existing.born > w.StartedAt {
		// The signal changes nothing, or the answer is from an earlier incarnation.
		return nil
	}
	r := t.ensureRecord(w)
	c := newChanges(w, "")
	switch {
	case s.Limited:
		c.add(r.setLimit(s.PerSecond, now, now))
	case s.Unlimited && r.isLimited && sentAt.After(r.limitReportedAt):
		c.add(r.clearLimit(sentAt, now))
	}
	if s.Rest > 0 && t.rests.Add(w.ID, w.StartedAt, s.Rest, now) {
		c.add(Change{Event: RestAsked, Rest: s.Rest})
	}
	if s.Leaving {
		c.add(r.setLeaving(now))
	}
	r.observedLocally = r.observedLocally || s.Limited || s.Leaving || len(c.all) > 0
	t.updateShares(w.ID, r, t.shareholders(), now)
	return c.all
}

// isActionable reports whether the signal holds a limit, a rest period or a shutdown notice.
func (s Signal) isActionable() bool { return s.Limited || s.Rest > 0 || s.Leaving }

// setLimit records a limit that the worker reported at the given time.
func (r *record) setLimit(perSecond float64, at, now time.Time) Change {
	wasLimited, previous := r.isLimited, r.perSecond
	r.isLimited, r.perSecond, r.limitReportedAt = true, perSecond, at
	switch {
	case !wasLimited:
		r.changedAt = now
		return Change{Event: LimitNamed, PerSecond: perSecond}
	case previous != perSecond:
		r.changedAt = now
		return Change{Event: LimitChanged, PerSecond: perSecond}
	}
	return Change{}
}

// clearLimit records that the worker answered a request that was sent at the given time without a
// limit.
func (r *record) clearLimit(at, now time.Time) Change {
	wasLimited := r.isLimited
	r.isLimited, r.limitEndedAt = false, at
	if !wasLimited {
		return Change{}
	}
	r.changedAt = now
	return Change{Event: LimitDropped, PerSecond: r.perSecond}
}

// setLeaving records that the worker is about to stop. An incarnation cannot withdraw this.
func (r *record) setLeaving(now time.Time) Change {
	if r.isLeaving {
		return Change{}
	}
	r.isLeaving, r.changedAt = true, now
	return Change{Event: Leaving}
}

// ensureRecord returns the record of a worker's incarnation. If there is none, it creates one,
// which replaces that of another incarnation.
func (t *Table) ensureRecord(w *fleet.Worker) *record {
	if r, ok := t.records[w.ID]; ok && r.born == w.StartedAt {
		return r
	}
	r := &record{born: w.StartedAt}
	t.records[w.ID] = r
	t.publish(w.ID, nil)
	return r
}

// recordRetention is how long the record of a worker that is no longer listed is kept. A worker
// whose entry expires during an outage of the store is listed again soon, and its record is still
// valid then.
const recordRetention = time.Minute

// Forget removes the records of incarnations that have not been listed for recordRetention.
func (t *Table) Forget(isListed func(worker string, born int64) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		switch {
		case isListed(id, r.born):
			r.expiresAt = now.Add(recordRetention)
		case r.expiresAt.IsZero():
			r.expiresAt = now.Add(recordRetention)
		case now.After(r.expiresAt):
			delete(t.records, id)
			t.publish(id, nil)
		}
	}
}

// EachLeaving calls visit for each worker that is about to stop, with its incarnation. The
// function visit may call the Table.
func (t *Table) EachLeaving(visit func(worker string, born int64)) {
	t.mu.Lock()
	leaving := make(map[string]int64)
	for id, r := range t.records {
		if r.isLeaving {
			leaving[id] = r.born
		}
	}
	t.mu.Unlock()
	for id, born := range leaving {
		visit(id, born)
	}
}

// CountLimited returns the number of workers that have a limit.
func (t *Table) CountLimited() int {
	return t.countRecords(func(r *record) bool { return r.isLimited })
}

// CountResting returns the number of workers that asked this daemon for a rest period which has not
// ended.
func (t *Table) CountResting(now time.Time) int { return t.rests.Count(now) }

// CountLeaving returns the number of workers that are about to stop.
func (t *Table) CountLeaving() int {
	return t.countRecords(func(r *record) bool { return r.isLeaving })
}

func (t *Table) countRecords(matches func(r *record) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if matches(r) {
			n++
		}
	}
	return n
}

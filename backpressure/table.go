package backpressure

import (
	"sync"
	"time"

	"quartzshelf.dev/fleet"
)

// Event is what happened to a worker's word.
type Event string

// The events, as they are counted and logged.
const (
	LimitNamed   Event = "limit_named"
	LimitChanged Event = "limit_changed"
	LimitDropped Event = "limit_dropped"
	RestAsked    Event = "rest_asked"
	Leaves       Event = "leaves"
)

// Change tells of a worker's word that is new, other than before, or gone.
type Change struct {
	Event Event
	// Worker and Born name the worker's life.
	Worker string
	Born   int64
	// PerSecond is the limit, where the event is of one, and Rest how long the worker wants
	// nothing.
	PerSecond float64
	Rest      time.Duration
	// By is the daemon that heard it; empty for this one.
	By string
}

// Options configures a Table.
type Options struct {
	// Changed is called with each change, without the lock.
	Changed func(c Change)
}

// Table holds what workers ask for. It is safe for concurrent use.
type Table struct {
	opts Options

	mu      sync.Mutex
	records map[string]*record
}

// record is what one life of a worker asked for.
type record struct {
	born int64
	// limited tells that the worker names a limit, namedAt when it last did.
	limited   bool
	perSecond float64
	namedAt   time.Time
	// restUntil is until when it wants nothing from this daemon.
	restUntil time.Time
	// leaves tells that it ends soon.
	leaves bool
}

// NewTable returns a table in which no worker asks for anything.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, records: make(map[string]*record)}
}

// Hear takes what a worker says in an answer that came now to a request that was sent at a
// time. An answer without a limit ends one that was named before the request was sent:
// answers come in another order than their requests were begun in.
func (t *Table) Hear(w *fleet.Worker, s Signal, sent, now time.Time) {
	for _, c := range t.hear(w, s, sent, now) {
		t.opts.Changed(c)
	}
}

func (t *Table) hear(w *fleet.Worker, s Signal, sent, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(w, s)
	if r == nil {
		return nil
	}
	var changes []Change
	change := func(c Change) {
		c.Worker, c.Born = w.ID, w.Born
		changes = append(changes, c)
	}
	switch {
	case s.Limited:
		if event, changed := r.name(s.PerSecond, now); changed {
			change(Change{Event: event, PerSecond: s.PerSecond})
		}
	case s.Unlimited && r.limited && sent.After(r.namedAt):
		r.limited = false
		change(Change{Event: LimitDropped, PerSecond: r.perSecond})
	}
	if until := now.Add(s.Rest); s.Rest > 0 && until.After(r.restUntil) {
		if !now.Before(r.restUntil) {
			change(Change{Event: RestAsked, Rest: s.Rest})
		}
		r.restUntil = until
	}
	if s.Leaving && !r.leaves {
		r.leaves = true
		change(Change{Event: Leaves})
	}
	return changes
}

// name notes a limit, and returns what that changed.
func (r *record) name(perSecond float64, at time.Time) (event Event, changed bool) {
	held, before := r.limited, r.perSecond
	r.limited, r.perSecond, r.namedAt = true, perSecond, at
	switch {
	case !held:
		return LimitNamed, true
	case before != perSecond:
		return LimitChanged, true
	}
	return "", false
}

// recordOf returns the record of a worker's life, or nil if there is none and nothing to
// note. What an earlier life asked for is forgotten.
func (t *Table) recordOf(w *fleet.Worker, s Signal) *record {
	r, ok := t.records[w.ID]
	if ok && r.born == w.Born {
		return r
	}
	if !s.Limited && s.Rest <= 0 && !s.Leaving {
		delete(t.records, w.ID)
		return nil
	}
	r = &record{born: w.Born}
	t.records[w.ID] = r
	return r
}

// Forget drops the records of workers' lives that are no longer listed.
func (t *Table) Forget(listed func(worker string, born int64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if !listed(id, r.born) {
			delete(t.records, id)
		}
	}
}

// Limited returns how many workers name a limit.
func (t *Table) Limited() int {
	return t.count(func(r *record) bool { return r.limited })
}

// Resting returns how many workers want nothing from this daemon now.
func (t *Table) Resting(now time.Time) int {
	return t.count(func(r *record) bool { return now.Before(r.restUntil) })
}

func (t *Table) count(counts func(r *record) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if counts(r) {
			n++
		}
	}
	return n
}

package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recordRetention is how long a request that is not quarantined is remembered after its last
	// event. Clients retry for seconds, and their jobs for minutes.
	recordRetention = 5 * time.Minute
	// maxRecords is the maximum number of remembered requests, about 0.7 KB each. Requests that
	// are not quarantined are dropped first, oldest first.
	maxRecords = 2048
	// sweepInterval is the minimum time between two sweeps, each of which visits all records.
	sweepInterval = time.Second
	// endTolerance is how far two daemons may differ about the end of a quarantine. Reported ages
	// are off by the delay of the network and of relays.
	endTolerance = 2 * time.Second
)

// State is what is known of a request.
type State struct {
	// Crashes is the number of independent crashes since the request was last cleared.
	Crashes int
	// Quarantined means that the request must not be sent to workers until Until.
	Quarantined bool
	Until       time.Time
}

// Suspected reports whether one more crash would quarantine the request.
func (s State) Suspected() bool { return s.Crashes >= crashesToMark-1 }

// Mark is a quarantined request with the crashes that led to it.
type Mark struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// MarkedAt is the end of the crash that led to the quarantine, Until when the quarantine ends.
	MarkedAt, Until time.Time
	// Rounds is the number of quarantines so far.
	Rounds int
}

// Table holds what a daemon knows of requests that crashed workers, from its own observations and
// from peers. Records can be merged in any order. It is safe for concurrent use.
type Table struct {
	// recordCount is the number of records, readable without the mutex.
	recordCount atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*record
	// sweepAt is when the next sweep is due.
	sweepAt time.Time
	// nextMark is the mark at which the rotation of the next report starts.
	nextMark Fingerprint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Fingerprint]*record)} }

// Empty reports whether the table has no records, so that callers can skip computing fingerprints.
func (t *Table) Empty() bool { return t.recordCount.Load() == 0 }

// Blame records that a worker ended while it had the request. It returns the state of the request
// and whether this crash put it into quarantine.
func (t *Table) Blame(f Fingerprint, c Crash, now time.Time) (s State, marked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(f, now)
	if r.add(c) {
		r.changedAt, r.observedLocally = now, true
		marked = r.evaluate()
	}
	return r.state(now), marked
}

// Clear records that a worker completed the request, or that an operator lifted its quarantine. It
// reports whether that ended a quarantine.
func (t *Table) Clear(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	if !ok {
		return false
	}
	if r.rounds > 0 || len(r.crashes) > 0 {
		r.changedAt = now
	}
	return r.clear(now)
}

// State returns what is known of a request.
func (t *Table) State(f Fingerprint, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[f]
	if !ok {
		return State{}
	}
	return r.state(now)
}

func (r *record) state(now time.Time) State {
	return State{Crashes: r.independentCrashes(), Quarantined: r.isQuarantined(now), Until: r.until}
}

// Marks returns the quarantined requests, sorted by fingerprint.
func (t *Table) Marks(now time.Time) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Mark
	for f, r := range t.records {
		if r.isQuarantined(now) {
			all = append(all, Mark{
				Fingerprint: f, Crashes: slices.Clone(r.crashes), MarkedAt: r.markedAt, Until: r.until, Rounds: r.rounds,
			})
		}
	}
	slices.SortFunc(all, func(a, b Mark) int { return compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Restore adds a mark from persistent storage, and reports whether it was new.
func (t *Table) Restore(m Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(m.Fingerprint, now)
	if !r.adopt(m.MarkedAt, m.Until, m.Rounds) {
		return false
	}
	r.changedAt = now
	return r.isQuarantined(now)
}

// adopt takes over a mark that another daemon set, unless the request was cleared since. It
// reports whether the mark ends later than the known one by more than endTolerance.
func (r *record) adopt(at, until time.Time, rounds int) bool {
	if !at.After(r.clearedAt) || !until.After(r.until.Add(endTolerance)) {
		return false
	}
	r.mark(at, until, max(min(rounds, maxRounds), r.rounds, 1))
	return true
}

// Sweep removes records without recent events. It does nothing before the next sweep is due.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(sweepInterval)
	for f, r := range t.records {
		if now.Sub(r.lastEvent()) > recordRetention {
			t.remove(f)
		}
	}
}

func (t *Table) recordOf(f Fingerprint, now time.Time) *record {
	r, ok := t.records[f]
	if ok {
		return r
	}
	if len(t.records) >= maxRecords {
		t.evictOldest(now)
	}
	r = &record{changedAt: now}
	t.records[f] = r
	t.recordCount.Store(int64(len(t.records)))
	return r
}

// evictOldest makes room for a record.
func (t *Table) evictOldest(now time.Time) {
	var oldest Fingerprint
	var evicted *record
	for f, r := range t.records {
		if evicted == nil || r.evictedBefore(evicted, now) {
			oldest, evicted = f, r
		}
	}
	t.remove(oldest)
}

// evictedBefore reports whether a record is evicted before another one.
func (r *record) evictedBefore(other *record, now time.Time) bool {
	if q := r.isQuarantined(now); q != other.isQuarantined(now) {
		return !q
	}
	return r.lastEvent().Before(other.lastEvent())
}

func (t *Table) remove(f Fingerprint) {
	delete(t.records, f)
	t.recordCount.Store(int64(len(t.records)))
}

package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recordRetention is how long a record is kept after its last change or the end of its
	// quarantine, whichever is later. Clients may retry a request for minutes.
	recordRetention = 5 * time.Minute
	// maxRecords is the maximum number of records. Records of requests that are not quarantined are
	// evicted first, the oldest before the others.
	maxRecords = 2048
	// sweepInterval is the minimum time between two sweeps, since a sweep visits all records.
	sweepInterval = time.Second
	// endTolerance is the maximum difference between two times of the end of a quarantine that are
	// considered equal. Delays of the network and of relays make such times differ between daemons.
	endTolerance = 2 * time.Second
)

// State is the state of a request.
type State struct {
	// Crashes is the number of independent crashes since the request was last cleared.
	Crashes int
	// Quarantined means that the request must not be sent to workers before the time Until.
	Quarantined bool
	Until       time.Time
}

// Suspected reports whether one more independent crash would quarantine the request.
func (s State) Suspected() bool { return s.Crashes >= crashesToMark-1 }

// Mark is a quarantine of a request, with the crashes that led to it.
type Mark struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// MarkedAt is the time of the crash that led to the quarantine. Until is when the quarantine
	// ends.
	MarkedAt, Until time.Time
	// Rounds is the number of quarantines so far.
	Rounds int
	// IsPart reports whether the fingerprint is that of a part of prompts.
	IsPart bool
}

// Table holds a daemon's records of requests that crashed workers, from its own observations and
// from reports of peers. Reports can be merged in any order. It is safe for concurrent use.
type Table struct {
	// recordCount is the number of records, readable without the mutex.
	recordCount atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*record
	// sweepAt is when the next sweep is due.
	sweepAt time.Time
	// isForParts means that the records are of parts of prompts, which are not quarantined before
	// Evaluate is called.
	isForParts bool
	// nextMark is the first of the quarantined requests that the next report includes in rotation.
	nextMark Fingerprint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Fingerprint]*record)} }

// Empty reports whether the table has no records. Callers need not compute fingerprints then.
func (t *Table) Empty() bool { return t.recordCount.Load() == 0 }

// Blame records that a worker ended while it had the request. It returns the state of the request,
// and whether this crash caused its quarantine.
func (t *Table) Blame(f Fingerprint, c Crash, now time.Time) (s State, marked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.ensureRecord(f, now)
	if r.add(c) {
		r.changedAt, r.observedLocally = now, true
		marked = r.evaluate()
	}
	return r.state(now), marked
}

// Clear records that a worker completed the request, or that an operator lifted its quarantine. It
// reports whether a quarantine was removed, including one that had ended.
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

// State returns the state of a request, which is zero if it has no record.
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
	return State{Crashes: countIndependentCrashes(r.crashes), Quarantined: r.isQuarantined(now), Until: r.until}
}

// Marks returns the quarantined requests, sorted by fingerprint.
func (t *Table) Marks(now time.Time) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Mark
	for f, r := range t.records {
		if r.isQuarantined(now) {
			all = append(all, Mark{
				Fingerprint: f, Crashes: slices.Clone(r.crashes), MarkedAt: r.markedAt, Until: r.until, Rounds: r.rounds, IsPart: t.isForParts,
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
	r := t.ensureRecord(m.Fingerprint, now)
	if !r.adopt(m.MarkedAt, m.Until, m.Rounds) {
		return false
	}
	r.changedAt = now
	return r.isQuarantined(now)
}

// adopt records a quarantine that another daemon reported or that was stored, and reports whether
// it did. It ignores the quarantine if the request was cleared since. It also ignores it unless it
// ends more than endTolerance later than the recorded one.
func (r *record) adopt(at, until time.Time, rounds int) bool {
	if !at.After(r.clearedAt) || !until.After(r.until.Add(endTolerance)) {
		return false
	}
	r.mark(at, until, max(min(rounds, maxRounds), r.rounds, 1))
	return true
}

// Sweep removes the records that are older than recordRetention. It does nothing before the next
// sweep is due.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(sweepInterval)
	for f, r := range t.records {
		if now.Sub(r.lastEventAt()) > recordRetention {
			t.remove(f)
		}
	}
}

func (t *Table) ensureRecord(f Fingerprint, now time.Time) *record {
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

// evictOldest removes the record with the oldest event. It removes a quarantined request only if
// all are quarantined.
func (t *Table) evictOldest(now time.Time) {
	var evictedFingerprint Fingerprint
	var evicted *record
	for f, r := range t.records {
		if evicted == nil || r.evictedBefore(evicted, now) {
			evictedFingerprint, evicted = f, r
		}
	}
	t.remove(evictedFingerprint)
}

// evictedBefore reports whether a record is evicted before another one.
func (r *record) evictedBefore(other *record, now time.Time) bool {
	if q := r.isQuarantined(now); q != other.isQuarantined(now) {
		return !q
	}
	return r.lastEventAt().Before(other.lastEventAt())
}

func (t *Table) remove(f Fingerprint) {
	delete(t.records, f)
	t.recordCount.Store(int64(len(t.records)))
}

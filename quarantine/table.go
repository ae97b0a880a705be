package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rememberFor is how long a request that is not quarantined is remembered after the last
	// that was seen of it: callers come again for seconds, and jobs of theirs for minutes.
	rememberFor = 5 * time.Minute
	// recordsMost bounds the requests that are remembered, about 0.7 KB each.
	// What is not quarantined is forgotten first, the oldest before others.
	recordsMost = 2048
	// sweepEvery is the time between two sweeps. Each looks at all records, 0.1 ms for 2,048.
	sweepEvery = time.Second
	// drift is how far apart two daemons may take a quarantine to end: ages in reports are
	// off by the time that these travel, 0.4 s by relays whose links are full.
	drift = 2 * time.Second
)

// State is what is believed of a request.
type State struct {
	// Crashes is how many independent crashes are known of since it was last cleared.
	Crashes int
	// Quarantined tells that it is not to be sent to workers until Until.
	Quarantined bool
	Until       time.Time
}

// Suspected reports whether another crash would quarantine the request.
func (s State) Suspected() bool { return s.Crashes >= crashesToMark-1 }

// Mark is a request that is quarantined, with what led to it.
type Mark struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// MarkedAt is the end of the crash that marked it, Until when it is let through again.
	MarkedAt, Until time.Time
	// Rounds is how often it was marked.
	Rounds int
}

// Table holds what a daemon knows of requests that ended workers, of its own and of what its
// peers report. Records of equal requests are joined, whatever the order in which they come.
// It is safe for concurrent use.
type Table struct {
	// known is the number of records, for those who need not wait for the mutex.
	known atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*record
	// sweepAt is when the next sweep is due.
	sweepAt time.Time
	// turn is the first mark of the next report, by fingerprint.
	turn Fingerprint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Fingerprint]*record)} }

// Empty reports whether nothing is known of any request, so that no fingerprint need be
// computed.
func (t *Table) Empty() bool { return t.known.Load() == 0 }

// Blame notes that a worker ended which had a request, and returns what is believed of the
// request now and whether this crash marked it.
func (t *Table) Blame(f Fingerprint, c Crash, now time.Time) (s State, marked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(f, now)
	if r.add(c) {
		r.changedAt, r.seenHere = now, true
		marked = r.judge()
	}
	return r.state(now), marked
}

// Clear notes that a worker ran a request to its end, or that an operator lifts its mark. It
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

// State returns what is believed of a request.
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
	return State{Crashes: r.independent(), Quarantined: r.quarantined(now), Until: r.until}
}

// Marks returns the requests that are quarantined, sorted by fingerprint.
func (t *Table) Marks(now time.Time) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Mark
	for f, r := range t.records {
		if r.quarantined(now) {
			all = append(all, Mark{
				Fingerprint: f, Crashes: slices.Clone(r.crashes), MarkedAt: r.markedAt, Until: r.until, Rounds: r.rounds,
			})
		}
	}
	slices.SortFunc(all, func(a, b Mark) int { return compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Restore takes a mark that was kept outside of the daemons, and reports whether it was news.
func (t *Table) Restore(m Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(m.Fingerprint, now)
	if !r.adopt(m.MarkedAt, m.Until, m.Rounds) {
		return false
	}
	r.changedAt = now
	return r.quarantined(now)
}

// adopt takes a mark that another daemon set, unless the request was cleared since, and
// reports whether it reaches further than what is known.
func (r *record) adopt(at, until time.Time, rounds int) bool {
	if !at.After(r.clearedAt) || !until.After(r.until.Add(drift)) {
		return false
	}
	r.mark(at, until, max(min(rounds, roundsMost), r.rounds, 1))
	return true
}

// Sweep forgets what nothing was seen of for long. Calls before it is due do nothing.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(sweepEvery)
	for f, r := range t.records {
		if now.Sub(r.newest()) > rememberFor {
			t.forget(f)
		}
	}
}

func (t *Table) recordOf(f Fingerprint, now time.Time) *record {
	r, ok := t.records[f]
	if ok {
		return r
	}
	if len(t.records) >= recordsMost {
		t.forgetOldest(now)
	}
	r = &record{changedAt: now}
	t.records[f] = r
	t.known.Store(int64(len(t.records)))
	return r
}

// forgetOldest makes room for a record.
func (t *Table) forgetOldest(now time.Time) {
	var oldest Fingerprint
	var held *record
	for f, r := range t.records {
		if held == nil || r.lesser(held, now) {
			oldest, held = f, r
		}
	}
	t.forget(oldest)
}

// lesser reports whether a record is forgotten before another one.
func (r *record) lesser(other *record, now time.Time) bool {
	if q := r.quarantined(now); q != other.quarantined(now) {
		return !q
	}
	return r.newest().Before(other.newest())
}

func (t *Table) forget(f Fingerprint) {
	delete(t.records, f)
	t.known.Store(int64(len(t.records)))
}

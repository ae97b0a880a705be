package quarantine

import (
	"bytes"
	"slices"
	"time"

	"quartzshelf.dev/common/turn"
)

const (
	// changeReportPeriod is how long a change is included in every report: ten heartbeats and
	// three rounds of relays, so that the loss of some datagrams does not matter.
	changeReportPeriod = 2 * time.Second
	// maxChangedEntries and maxRotatedMarks limit the entries of one report, so that it fits into
	// a datagram together with the loads; a packed entry takes about 50 bytes. Unchanged marks are
	// sent in rotation; 256 of them take 3.2 s.
	maxChangedEntries = 48
	maxRotatedMarks   = 16
)

// Entry is the report of one request to peers. Ages are relative to the time of sending, in
// milliseconds.
type Entry struct {
	Fingerprint Fingerprint   `json:"f"`
	Crashes     []CrashReport `json:"c,omitempty"`
	// Cleared is the age of the request's last clearing; zero if it was not cleared.
	Cleared int64 `json:"x,omitempty"`
	// Marked is the age of the crash that led to the quarantine, Left the remaining time of the
	// quarantine, and Rounds the number of quarantines so far. All are zero if the request is not
	// quarantined.
	Marked int64 `json:"m,omitempty"`
	Left   int64 `json:"l,omitempty"`
	Rounds int   `json:"n,omitempty"`
}

// CrashReport is a crash as sent to peers.
type CrashReport struct {
	Worker string `json:"w"`
	Sent   int64  `json:"s"`
	Ended  int64  `json:"e"`
}

// Report returns the entries to send to peers: recent changes, and some of the marks in rotation.
// Changes learned only from peers are included if passesOn is set, as it is for relays, and also
// if more than one crash is known, since no single daemon may have seen all of them.
func (t *Table) Report(now time.Time, passesOn bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh, marks []Fingerprint
	for f, r := range t.records {
		switch {
		case now.Sub(r.changedAt) < changeReportPeriod && (r.observedLocally || passesOn || len(r.crashes) > 1 || r.rounds > 0):
			fresh = append(fresh, f)
		case r.isQuarantined(now):
			marks = append(marks, f)
		}
	}
	marks, t.nextMark = turn.Few(marks, t.nextMark, maxRotatedMarks, compare)
	var all []Entry
	for _, f := range append(t.mostRelevant(fresh), marks...) {
		all = append(all, t.records[f].entry(f, now))
	}
	return all
}

// mostRelevant returns the records for one report, those with the most rounds and crashes first.
func (t *Table) mostRelevant(fresh []Fingerprint) []Fingerprint {
	slices.SortFunc(fresh, func(a, b Fingerprint) int {
		x, y := t.records[a], t.records[b]
		if d := y.rounds - x.rounds; d != 0 {
			return d
		}
		if d := len(y.crashes) - len(x.crashes); d != 0 {
			return d
		}
		if d := y.changedAt.Compare(x.changedAt); d != 0 {
			return d
		}
		return compare(a, b)
	})
	return fresh[:min(len(fresh), maxChangedEntries)]
}

func compare(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

func (r *record) entry(f Fingerprint, now time.Time) Entry {
	e := Entry{Fingerprint: f, Cleared: ageMillis(r.clearedAt, now)}
	for _, c := range r.crashes {
		e.Crashes = append(e.Crashes, CrashReport{Worker: c.Worker, Sent: ageMillis(c.Sent, now), Ended: ageMillis(c.Ended, now)})
	}
	if r.isQuarantined(now) {
		e.Marked, e.Left, e.Rounds = ageMillis(r.markedAt, now), r.until.Sub(now).Milliseconds(), r.rounds
	}
	return e
}

// ageMillis returns the age of a time in milliseconds, at least 1; zero for the zero time.
func ageMillis(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t).Milliseconds(), 1)
}

// Merged describes the changes made by a report.
type Merged struct {
	// Marked lists the requests that are quarantined now and were not before, Lifted those that no
	// longer are.
	Marked, Lifted []Fingerprint
	// News means that there are changes to pass on to other peers.
	News bool
}

// Merge applies a report that a peer sent at a time.
func (t *Table) Merge(all []Entry, at, now time.Time) Merged {
	t.mu.Lock()
	defer t.mu.Unlock()
	var merged Merged
	for i := range min(len(all), maxChangedEntries+maxRotatedMarks) {
		t.merge(&all[i], at, now, &merged)
	}
	return merged
}

func (t *Table) merge(e *Entry, at, now time.Time, merged *Merged) {
	if _, ok := t.records[e.Fingerprint]; !ok && len(e.Crashes) == 0 && e.Left <= 0 {
		// The request was cleared, and no record of it exists here.
		return
	}
	r := t.recordOf(e.Fingerprint, now)
	before, changed := r.isQuarantined(now), false
	if cleared := timeOfAge(e.Cleared, at); cleared.After(r.clearedAt) {
		held, rounds := len(r.crashes), r.rounds
		r.clear(cleared)
		changed = len(r.crashes) < held || r.rounds < rounds
	}
	for _, c := range e.Crashes[:min(len(e.Crashes), maxCrashes)] {
		changed = r.add(Crash{Worker: c.Worker, Sent: timeOfAge(c.Sent, at), Ended: timeOfAge(c.Ended, at)}) || changed
	}
	if left := min(time.Duration(max(e.Left, 0))*time.Millisecond, maxPeriod); left > 0 {
		changed = r.adopt(timeOfAge(e.Marked, at), at.Add(left), e.Rounds) || changed
	}
	changed = r.evaluate() || changed
	if changed {
		r.changedAt, merged.News = now, true
	}
	switch after := r.isQuarantined(now); {
	case after && !before:
		merged.Marked = append(merged.Marked, e.Fingerprint)
	case before && !after:
		merged.Lifted = append(merged.Lifted, e.Fingerprint)
	}
}

// timeOfAge returns the time that a reported age refers to; the zero time for no age.
func timeOfAge(age int64, at time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return at.Add(-time.Duration(min(age, maxAge)) * time.Millisecond)
}

// maxAge caps reported ages, in milliseconds. Nothing is remembered for longer.
const maxAge = int64(2 * maxPeriod / time.Millisecond)

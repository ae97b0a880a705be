package quarantine

import (
	"bytes"
	"slices"
	"time"

	"quartzshelf.dev/common/roundrobin"
)

const (
	// changeReportPeriod is how long a change is included in every report. It spans ten heartbeats
	// and three rounds of relays, so that the loss of some datagrams does not matter.
	changeReportPeriod = 2 * time.Second
	// maxChangedEntries and maxRotatedMarks are the maximum numbers of changed records and of
	// unchanged quarantines in one report, which must fit into a datagram. Unchanged quarantines
	// are sent in rotation.
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
	// Marked is the age of the crash that led to the quarantine. Remaining is the remaining time of
	// the quarantine, in milliseconds. Rounds is the number of quarantines so far. All are zero if
	// the request is not quarantined.
	Marked    int64 `json:"m,omitempty"`
	Remaining int64 `json:"l,omitempty"`
	Rounds    int   `json:"n,omitempty"`
	// Depth is the highest position of a part in a prompt; zero for requests.
	Depth int `json:"d,omitempty"`
}

// CrashReport is a crash as sent to peers. Sent and Ended are ages in milliseconds.
type CrashReport struct {
	Worker string `json:"w"`
	Sent   int64  `json:"s"`
	Ended  int64  `json:"e"`
}

// Report returns the entries to send to peers. These are records that changed recently, and some of
// the other quarantined requests in rotation. If passesOn is set, all records that changed are
// included. Relays set it. Otherwise a record that is known from peers only is left out, unless it
// has several crashes or a quarantine. Such records are always included, because no single daemon
// may have seen all of their crashes.
func (t *Table) Report(now time.Time, passesOn bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed, marks []Fingerprint
	for f, r := range t.records {
		switch {
		case now.Sub(r.changedAt) < changeReportPeriod && (r.observedLocally || passesOn || len(r.crashes) > 1 || r.rounds > 0):
			changed = append(changed, f)
		case r.isQuarantined(now):
			marks = append(marks, f)
		}
	}
	marks, t.nextMark = roundrobin.Select(marks, t.nextMark, maxRotatedMarks, compare)
	var all []Entry
	for _, f := range append(t.selectMostRelevant(changed), marks...) {
		all = append(all, t.records[f].toEntry(f, now))
	}
	return all
}

// selectMostRelevant returns at most maxChanged of the changed records. Records with more
// quarantines come first, then those with more crashes, then those that changed later.
func (t *Table) selectMostRelevant(changed []Fingerprint) []Fingerprint {
	slices.SortFunc(changed, func(a, b Fingerprint) int {
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
	return changed[:min(len(changed), t.maxChanged())]
}

// maxChanged returns the maximum number of changed records in one report.
func (t *Table) maxChanged() int {
	if t.isForParts {
		return maxChangedParts
	}
	return maxChangedEntries
}

func compare(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

func (r *record) toEntry(f Fingerprint, now time.Time) Entry {
	e := Entry{Fingerprint: f, Cleared: ageMillis(r.clearedAt, now), Depth: r.depth}
	for _, c := range r.crashes {
		e.Crashes = append(e.Crashes, CrashReport{Worker: c.Worker, Sent: ageMillis(c.Sent, now), Ended: ageMillis(c.Ended, now)})
	}
	if r.isQuarantined(now) {
		e.Marked, e.Remaining, e.Rounds = ageMillis(r.markedAt, now), r.until.Sub(now).Milliseconds(), r.rounds
	}
	return e
}

// ageMillis returns the age of a time in milliseconds, at least 1. It returns zero for the zero
// time.
func ageMillis(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t).Milliseconds(), 1)
}

// Merged describes the changes that a peer's report made to a table.
type Merged struct {
	// Marked lists the requests that are quarantined now and were not before, Lifted those that no
	// longer are.
	Marked, Lifted []Fingerprint
	// Changed means that a record changed, which is to be reported to other peers.
	Changed bool
}

// Merge applies a report that a peer sent at the time sentAt.
func (t *Table) Merge(all []Entry, sentAt, now time.Time) Merged {
	t.mu.Lock()
	defer t.mu.Unlock()
	var merged Merged
	for i := range min(len(all), maxChangedEntries+maxRotatedMarks) {
		t.merge(&all[i], sentAt, now, &merged)
	}
	return merged
}

func (t *Table) merge(e *Entry, sentAt, now time.Time, merged *Merged) {
	if _, ok := t.records[e.Fingerprint]; !ok && len(e.Crashes) == 0 && e.Remaining <= 0 {
		// The request was cleared, and no record of it exists here.
		return
	}
	r := t.ensureRecord(e.Fingerprint, now)
	wasQuarantined, changed := r.isQuarantined(now), false
	if cleared := timeOfAge(e.Cleared, sentAt); cleared.After(r.clearedAt) {
		crashesBefore, roundsBefore := len(r.crashes), r.rounds
		r.clear(cleared)
		changed = len(r.crashes) < crashesBefore || r.rounds < roundsBefore
	}
	add, maxReported := r.add, maxCrashes
	if t.isForParts {
		add, maxReported = r.addToPart, maxPartCrashes
	}
	for _, c := range e.Crashes[:min(len(e.Crashes), maxReported)] {
		changed = add(Crash{Worker: c.Worker, Sent: timeOfAge(c.Sent, sentAt), Ended: timeOfAge(c.Ended, sentAt)}) || changed
	}
	if remaining := min(time.Duration(max(e.Remaining, 0))*time.Millisecond, maxPeriod); remaining > 0 {
		changed = r.adopt(timeOfAge(e.Marked, sentAt), sentAt.Add(remaining), e.Rounds) || changed
	}
	if r.depth = max(r.depth, min(e.Depth, maxDepth)); !t.isForParts {
		changed = r.evaluate() || changed
	}
	if changed {
		r.changedAt, merged.Changed = now, true
	}
	switch nowQuarantined := r.isQuarantined(now); {
	case nowQuarantined && !wasQuarantined:
		merged.Marked = append(merged.Marked, e.Fingerprint)
	case wasQuarantined && !nowQuarantined:
		merged.Lifted = append(merged.Lifted, e.Fingerprint)
	}
}

// timeOfAge returns the time that an age in a report refers to, and the zero time if no age is
// set. The report was sent at sentAt.
func timeOfAge(age int64, sentAt time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return sentAt.Add(-time.Duration(min(age, maxAge)) * time.Millisecond)
}

// maxDepth caps the positions of parts in reports.
const maxDepth = 1 << 10

// maxAge caps the ages in reports, in milliseconds. Records are kept for a shorter time.
const maxAge = int64(2 * maxPeriod / time.Millisecond)

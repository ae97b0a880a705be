package quarantine

import (
	"bytes"
	"slices"
	"time"

	"quartzshelf.dev/common/turn"
)

const (
	// freshFor is how long peers are told of a change: ten heartbeats, of which some get
	// lost, and three rounds of relays.
	freshFor = 2 * time.Second
	// freshMost and marksMost bound the entries of one report, so that it fits a datagram
	// beside the loads: packed, an entry takes about 50 bytes. The marks follow in turns, all
	// of 256 within 3.2 s.
	freshMost = 48
	marksMost = 16
)

// Entry is what a daemon reports of one request. Ages are of the time of sending, in
// milliseconds.
type Entry struct {
	Fingerprint Fingerprint   `json:"f"`
	Crashes     []CrashReport `json:"c,omitempty"`
	// Cleared is how long ago the request was cleared; zero if it was not.
	Cleared int64 `json:"x,omitempty"`
	// Marked is how long ago the crash was that marked it, Left for how much longer it is
	// quarantined, Rounds how often it was marked; all zero if it is not.
	Marked int64 `json:"m,omitempty"`
	Left   int64 `json:"l,omitempty"`
	Rounds int   `json:"n,omitempty"`
}

// CrashReport is a crash as daemons report it.
type CrashReport struct {
	Worker string `json:"w"`
	Sent   int64  `json:"s"`
	Ended  int64  `json:"e"`
}

// Report returns what peers are to be told now: what changed of late, and some of the marks
// in turn. What only peers saw is told by those who pass reports on, and where more than one
// crash is known, since then no single daemon may know of all.
func (t *Table) Report(now time.Time, passesOn bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh, marks []Fingerprint
	for f, r := range t.records {
		switch {
		case now.Sub(r.changedAt) < freshFor && (r.seenHere || passesOn || len(r.crashes) > 1 || r.rounds > 0):
			fresh = append(fresh, f)
		case r.quarantined(now):
			marks = append(marks, f)
		}
	}
	marks, t.turn = turn.Few(marks, t.turn, marksMost, compare)
	var all []Entry
	for _, f := range append(t.mostTelling(fresh), marks...) {
		all = append(all, t.records[f].entry(f, now))
	}
	return all
}

// mostTelling returns as many records as a report holds, those that know the most first.
func (t *Table) mostTelling(fresh []Fingerprint) []Fingerprint {
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
	return fresh[:min(len(fresh), freshMost)]
}

func compare(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }

func (r *record) entry(f Fingerprint, now time.Time) Entry {
	e := Entry{Fingerprint: f, Cleared: ago(r.clearedAt, now)}
	for _, c := range r.crashes {
		e.Crashes = append(e.Crashes, CrashReport{Worker: c.Worker, Sent: ago(c.Sent, now), Ended: ago(c.Ended, now)})
	}
	if r.quarantined(now) {
		e.Marked, e.Left, e.Rounds = ago(r.markedAt, now), r.until.Sub(now).Milliseconds(), r.rounds
	}
	return e
}

// ago returns how long ago a time was, in milliseconds and at least one; zero for none.
func ago(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t).Milliseconds(), 1)
}

// Merged is what a report changed.
type Merged struct {
	// Marked are the requests that are quarantined now and were not, Lifted those that were.
	Marked, Lifted []Fingerprint
	// News tells that there is something to pass on.
	News bool
}

// Merge takes what a peer reported at a time.
func (t *Table) Merge(all []Entry, at, now time.Time) Merged {
	t.mu.Lock()
	defer t.mu.Unlock()
	var merged Merged
	for i := range min(len(all), freshMost+marksMost) {
		t.merge(&all[i], at, now, &merged)
	}
	return merged
}

func (t *Table) merge(e *Entry, at, now time.Time, merged *Merged) {
	if _, ok := t.records[e.Fingerprint]; !ok && len(e.Crashes) == 0 && e.Left <= 0 {
		// It was cleared, and nothing is known against it here.
		return
	}
	r := t.recordOf(e.Fingerprint, now)
	before, changed := r.quarantined(now), false
	if cleared := since(e.Cleared, at); cleared.After(r.clearedAt) {
		held, rounds := len(r.crashes), r.rounds
		r.clear(cleared)
		changed = len(r.crashes) < held || r.rounds < rounds
	}
	for _, c := range e.Crashes[:min(len(e.Crashes), crashesKept)] {
		changed = r.add(Crash{Worker: c.Worker, Sent: since(c.Sent, at), Ended: since(c.Ended, at)}) || changed
	}
	if left := min(time.Duration(max(e.Left, 0))*time.Millisecond, mostPeriod); left > 0 {
		changed = r.adopt(since(e.Marked, at), at.Add(left), e.Rounds) || changed
	}
	changed = r.judge() || changed
	if changed {
		r.changedAt, merged.News = now, true
	}
	switch after := r.quarantined(now); {
	case after && !before:
		merged.Marked = append(merged.Marked, e.Fingerprint)
	case before && !after:
		merged.Lifted = append(merged.Lifted, e.Fingerprint)
	}
}

// since returns when something was that a report tells the age of; the zero time for none.
func since(age int64, at time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return at.Add(-time.Duration(min(age, mostAge)) * time.Millisecond)
}

// mostAge bounds the ages that are believed, in milliseconds: nothing is remembered for longer.
const mostAge = int64(2 * mostPeriod / time.Millisecond)

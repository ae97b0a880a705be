package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToMark is the number of independent crashes without a completed run that quarantine a
	// request. Three rarely hit an innocent request by chance, and any completed run clears it.
	crashesToMark = 3
	// commonCauseWindow is the time between the ends of two crashes within which they may have a
	// common cause. A power failure of a rack, for example, ends several workers within
	// milliseconds; slow daemons may see them further apart.
	commonCauseWindow = 100 * time.Millisecond
	// maxCrashes is the number of crashes remembered per request, the newest ones.
	maxCrashes = 6
	// initialPeriod is the length of the first quarantine of a request. It doubles with every
	// further crash, up to maxPeriod.
	initialPeriod = 10 * time.Minute
	maxPeriod     = 24 * time.Hour
	// maxRounds caps the number of quarantines that is counted; maxPeriod is reached earlier.
	maxRounds = 16
)

// Crash is the end of a worker while it had a request.
type Crash struct {
	// Worker identifies the incarnation of the worker.
	Worker string
	// Sent is when the request was sent to the worker, Ended when the end of the worker was
	// noticed.
	Sent, Ended time.Time
}

// record is what is known of one request.
type record struct {
	// crashes are the crashes since the request was last cleared, sorted by their end.
	crashes []Crash
	// clearedAt is when a run of the request last completed, or an operator lifted its quarantine.
	clearedAt time.Time
	// markedAt is the end of the crash that led to the quarantine, until the end of the
	// quarantine, and rounds the number of quarantines so far.
	markedAt, until time.Time
	rounds          int
	// changedAt is the last change that peers have to know. observedLocally means that this daemon
	// itself saw one of the crashes.
	changedAt       time.Time
	observedLocally bool
}

// isQuarantined reports whether the request is quarantined at a time.
func (r *record) isQuarantined(now time.Time) bool { return now.Before(r.until) }

// add adds a crash and reports whether it was new.
func (r *record) add(c Crash) bool {
	known := func(held Crash) bool { return held.Worker == c.Worker }
	if !c.Ended.After(r.clearedAt) || slices.ContainsFunc(r.crashes, known) {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	r.crashes = r.crashes[max(len(r.crashes)-maxCrashes, 0):]
	return true
}

// independentCrashes returns the number of crashes without a common cause: those of requests sent
// after the previous crash, or that ended at least commonCauseWindow after it.
func (r *record) independentCrashes() int {
	count, last := 0, time.Time{}
	for _, c := range r.crashes {
		if count == 0 || !c.Sent.Before(last) || c.Ended.Sub(last) >= commonCauseWindow {
			count++
			last = c.Ended
		}
	}
	return count
}

// evaluate quarantines the request if there are enough crashes, and reports whether it did. After
// a first quarantine, a single further crash is enough.
func (r *record) evaluate() bool {
	if len(r.crashes) == 0 {
		return false
	}
	newest := r.crashes[len(r.crashes)-1].Ended
	switch {
	case newest.Before(r.until):
		return false
	case r.rounds == 0 && r.independentCrashes() < crashesToMark:
		return false
	}
	r.mark(newest, newest.Add(periodAfter(r.rounds)), min(r.rounds+1, maxRounds))
	return true
}

func (r *record) mark(at, until time.Time, rounds int) {
	r.markedAt, r.until, r.rounds = at, until, rounds
}

// periodAfter returns the length of the quarantine that follows the given number of earlier ones.
func periodAfter(rounds int) time.Duration {
	p := initialPeriod
	for range min(rounds, maxRounds) {
		p = min(2*p, maxPeriod)
	}
	return p
}

// clear removes the crashes up to a time at which the request is known to have run without a
// crash, and the mark that they led to. It reports whether there was a mark.
func (r *record) clear(at time.Time) bool {
	if !at.After(r.clearedAt) {
		return false
	}
	r.clearedAt = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return !c.Ended.After(at) })
	if r.rounds == 0 || r.markedAt.After(at) {
		return false
	}
	r.mark(time.Time{}, time.Time{}, 0)
	return true
}

// lastEvent returns the time of the last event of the request, the end of its quarantine included.
func (r *record) lastEvent() time.Time {
	newest := r.clearedAt
	if r.until.After(newest) {
		newest = r.until
	}
	if r.changedAt.After(newest) {
		newest = r.changedAt
	}
	return newest
}

package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToMark is the number of independent crashes, without a completed run between them,
	// after which a request is quarantined.
	crashesToMark = 3
	// commonCauseWindow is the maximum time between two crashes that may have a common cause, such
	// as a power failure of a rack.
	commonCauseWindow = 100 * time.Millisecond
	// maxCrashes is the maximum number of crashes in the record of a request. The newest are kept.
	maxCrashes = 6
	// initialPeriod is the length of the first quarantine of a request. Each further quarantine is
	// twice as long as the previous one, up to maxPeriod.
	initialPeriod = 10 * time.Minute
	maxPeriod     = 24 * time.Hour
	// maxRounds caps the counted number of quarantines of a request. The length of a quarantine
	// reaches maxPeriod before.
	maxRounds = 16
)

// Crash is the end of a worker while it had a request.
type Crash struct {
	// Worker identifies the incarnation of the worker.
	Worker string
	// Sent is when the request was sent to the worker. Ended is when a daemon noticed that the
	// worker had ended.
	Sent, Ended time.Time
}

// record holds the crashes and quarantines of one request.
type record struct {
	// crashes are the crashes since the request was last cleared, sorted by their end.
	crashes []Crash
	// clearedAt is when a run of the request last completed, or an operator lifted its quarantine.
	clearedAt time.Time
	// markedAt is the time of the crash that led to the last quarantine, and until is when that
	// quarantine ends. rounds counts the quarantines since the request was last cleared.
	markedAt, until time.Time
	rounds          int
	// changedAt is the time of the last change that is reported to peers. observedLocally means
	// that this daemon itself saw one of the crashes.
	changedAt       time.Time
	observedLocally bool
	// label and depth are used for parts of prompts only. label is the part's ID, empty if it is known
	// from peers only. depth is the part's highest position in a prompt.
	label string
	depth int
}

// isQuarantined reports whether the request is quarantined at a time.
func (r *record) isQuarantined(now time.Time) bool { return now.Before(r.until) }

// add adds a crash and reports whether it did. It ignores a crash of a worker that is recorded
// already, and one before the request was last cleared.
func (r *record) add(c Crash) bool { return r.addUpTo(c, maxCrashes) }

// addUpTo is like add, but keeps the given number of crashes.
func (r *record) addUpTo(c Crash, limit int) bool {
	isSameWorker := func(other Crash) bool { return other.Worker == c.Worker }
	if !c.Ended.After(r.clearedAt) || slices.ContainsFunc(r.crashes, isSameWorker) {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	r.crashes = r.crashes[max(len(r.crashes)-limit, 0):]
	return true
}

// countIndependentCrashes returns the number of crashes without a common cause. A crash counts if
// its request was sent after the last counted crash, or if the worker ended at least
// commonCauseWindow after the last counted crash.
func countIndependentCrashes(crashes []Crash) int {
	count, last := 0, time.Time{}
	for _, c := range crashes {
		if count == 0 || !c.Sent.Before(last) || c.Ended.Sub(last) >= commonCauseWindow {
			count++
			last = c.Ended
		}
	}
	return count
}

// evaluate quarantines the request if there are enough crashes, and reports whether it did. After
// the first quarantine, one further crash is enough.
func (r *record) evaluate() bool {
	if len(r.crashes) == 0 {
		return false
	}
	newest := r.crashes[len(r.crashes)-1].Ended
	switch {
	case newest.Before(r.until):
		return false
	case r.rounds == 0 && countIndependentCrashes(r.crashes) < crashesToMark:
		return false
	}
	r.mark(newest, newest.Add(periodAfter(r.rounds)), min(r.rounds+1, maxRounds))
	return true
}

// mark sets the last quarantine and the number of quarantines.
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

// clear removes the crashes up to the given time, and the quarantine that they led to. At that
// time a run of the request completed, or an operator lifted the quarantine. It reports whether a
// quarantine was removed, including one that had ended.
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

// lastEventAt returns the time of the last change of the record, or the end of its quarantine if
// that is later.
func (r *record) lastEventAt() time.Time {
	newest := r.clearedAt
	if r.until.After(newest) {
		newest = r.until
	}
	if r.changedAt.After(newest) {
		newest = r.changedAt
	}
	return newest
}

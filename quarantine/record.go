package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToMark is how many independent crashes without a completed run mark a request.
	// An innocent request rarely meets three by chance (docs/design/crashing-requests.md),
	// and any run of it that completes clears it.
	crashesToMark = 3
	// apart is how far apart crashes end that have no common cause: what takes several
	// workers at once, like a rack without power, ends them within some milliseconds, which
	// daemons on slow machines see further apart.
	apart = 100 * time.Millisecond
	// crashesKept is how many crashes of a request are remembered, the newest ones.
	crashesKept = 6
	// firstPeriod is how long a request is quarantined at first. Each time that it ends a
	// worker again after that, the period doubles, up to mostPeriod: a request that is not
	// mended ends 10 workers in the first week.
	firstPeriod = 10 * time.Minute
	mostPeriod  = 24 * time.Hour
	// roundsMost bounds how often a request counts as marked; mostPeriod is reached before.
	roundsMost = 16
)

// Crash is the end of a worker that had a request.
type Crash struct {
	// Worker names the life of the worker.
	Worker string
	// Sent is when the request was sent there, Ended when the end of the worker was seen.
	Sent, Ended time.Time
}

// record is what is known of one request.
type record struct {
	// crashes are those since the request was last cleared, by their end.
	crashes []Crash
	// clearedAt is when a run of it was last completed, or an operator lifted its mark.
	clearedAt time.Time
	// markedAt is the end of the crash that marked the request, until when it is
	// quarantined, rounds how often it was marked.
	markedAt, until time.Time
	rounds          int
	// changedAt is when peers had last to be told something, seenHere whether this daemon
	// saw one of the crashes itself.
	changedAt time.Time
	seenHere  bool
}

// quarantined reports whether the request is quarantined at a time.
func (r *record) quarantined(now time.Time) bool { return now.Before(r.until) }

// add adds a crash and reports whether it was news.
func (r *record) add(c Crash) bool {
	known := func(held Crash) bool { return held.Worker == c.Worker }
	if !c.Ended.After(r.clearedAt) || slices.ContainsFunc(r.crashes, known) {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	r.crashes = r.crashes[max(len(r.crashes)-crashesKept, 0):]
	return true
}

// independent returns how many of the crashes have no common cause: each was sent after the
// one before had ended, or ended well after it.
func (r *record) independent() int {
	count, last := 0, time.Time{}
	for _, c := range r.crashes {
		if count == 0 || !c.Sent.Before(last) || c.Ended.Sub(last) >= apart {
			count++
			last = c.Ended
		}
	}
	return count
}

// judge marks the request if the crashes suffice, and reports whether it did. One that was
// quarantined before is marked again by a single crash after that.
func (r *record) judge() bool {
	if len(r.crashes) == 0 {
		return false
	}
	newest := r.crashes[len(r.crashes)-1].Ended
	switch {
	case newest.Before(r.until):
		return false
	case r.rounds == 0 && r.independent() < crashesToMark:
		return false
	}
	r.mark(newest, newest.Add(period(r.rounds)), min(r.rounds+1, roundsMost))
	return true
}

func (r *record) mark(at, until time.Time, rounds int) {
	r.markedAt, r.until, r.rounds = at, until, rounds
}

// period returns how long a request is quarantined that was so some times before.
func period(rounds int) time.Duration {
	p := firstPeriod
	for range min(rounds, roundsMost) {
		p = min(2*p, mostPeriod)
	}
	return p
}

// clear forgets the crashes up to a time at which a run of the request is known not to have
// ended its worker, and the mark that they led to. It reports whether there was a mark.
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

// newest returns when something of the request last happened.
func (r *record) newest() time.Time {
	newest := r.clearedAt
	if r.until.After(newest) {
		newest = r.until
	}
	if r.changedAt.After(newest) {
		newest = r.changedAt
	}
	return newest
}

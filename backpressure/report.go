package backpressure

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/common/roundrobin"
	"quartzshelf.dev/fleet"
)

const (
	// changeReportPeriod is how long a change is included in every report. It spans ten heartbeats
	// and three rounds of relays, so that the loss of some datagrams does not matter.
	changeReportPeriod = 2 * time.Second
	// maxChangedEntries and maxRotatedEntries are the maximum numbers of changed and of unchanged
	// records in one report. Unchanged records are sent in rotation.
	maxChangedEntries = 16
	maxRotatedEntries = 16
	// dropAgeTolerance is the tolerance for the ages in reports of peers. A peer's answer without a
	// limit ends a limit only if the request for it was sent at least this long after the limit was
	// last reported.
	dropAgeTolerance = time.Second
	// maxWorkerIDBytes is the maximum length of a worker ID in a report.
	maxWorkerIDBytes = 256
)

// Entry is the report of one worker to peers. Ages are relative to the time of sending, in
// milliseconds, and at least 1; zero means not set.
type Entry struct {
	Worker string `json:"w"`
	Born   int64  `json:"b,omitempty"`
	// Limit is the worker's limit in requests a second. Named is the age of the worker's last
	// answer with this limit.
	Limit *float64 `json:"l,omitempty"`
	Named int64    `json:"a,omitempty"`
	// Dropped is the age of the request whose answer ended the last limit.
	Dropped int64 `json:"d,omitempty"`
	// Leaves means that the worker is about to stop.
	Leaves bool `json:"x,omitempty"`
}

// Report returns the entries to send to peers. These are records that changed recently, and some of
// the others in rotation. If passesOn is set, records that are only known from peers are included.
// Relays set it.
func (t *Table) Report(now time.Time, passesOn bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed, unchanged []string
	for id, r := range t.records {
		switch {
		case !r.observedLocally && !passesOn:
		case now.Sub(r.changedAt) < changeReportPeriod:
			changed = append(changed, id)
		case r.isLimited || r.isLeaving:
			unchanged = append(unchanged, id)
		}
	}
	slices.SortFunc(changed, func(a, b string) int {
		return cmp.Or(t.records[b].changedAt.Compare(t.records[a].changedAt), strings.Compare(a, b))
	})
	unchanged, t.nextWorker = roundrobin.Select(unchanged, t.nextWorker, maxRotatedEntries, strings.Compare)
	var all []Entry
	for _, id := range append(changed[:min(len(changed), maxChangedEntries)], unchanged...) {
		all = append(all, t.records[id].toEntry(id, now))
	}
	return all
}

func (r *record) toEntry(worker string, now time.Time) Entry {
	e := Entry{Worker: worker, Born: r.born, Leaves: r.isLeaving}
	switch {
	case r.isLimited:
		perSecond := r.perSecond
		e.Limit, e.Named = &perSecond, ageMillis(r.limitReportedAt, now)
	case !r.limitEndedAt.IsZero():
		e.Dropped = ageMillis(r.limitEndedAt, now)
	}
	return e
}

// ageMillis returns the age of a time in milliseconds, at least 1.
func ageMillis(t, now time.Time) int64 { return max(now.Sub(t).Milliseconds(), 1) }

// isValid reports whether an entry received from a peer is well-formed.
func (e *Entry) isValid() bool {
	return e.Worker != "" && len(e.Worker) <= maxWorkerIDBytes && e.Named >= 0 && e.Dropped >= 0 &&
		(e.Limit == nil || *e.Limit >= 0 && *e.Limit <= maxLimit)
}

// Merge applies the entries of a report from a peer. The time sentAt must not be later than the
// time at which the peer sent the report. Invalid entries are skipped.
func (t *Table) Merge(all []Entry, peer string, sentAt, now time.Time) {
	var changes []Change
	for i := range min(len(all), maxChangedEntries+maxRotatedEntries) {
		if all[i].isValid() {
			changes = append(changes, t.merge(&all[i], peer, sentAt, now)...)
		}
	}
	t.notify(changes)
}

func (t *Table) merge(e *Entry, peer string, sentAt, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing, ok := t.records[e.Worker]; ok && existing.born > e.Born || !ok && e.Limit == nil && !e.Leaves {
		return nil
	}
	w := &fleet.Worker{ID: e.Worker, StartedAt: e.Born}
	r := t.ensureRecord(w)
	c := newChanges(w, peer)
	reportedAt, endedAt := sentAt.Add(-durationOf(e.Named)), sentAt.Add(-durationOf(e.Dropped))
	switch {
	case e.Limit != nil && reportedAt.After(r.limitEndedAt) && reportedAt.After(r.limitReportedAt):
		c.add(r.setLimit(*e.Limit, reportedAt, now))
	case e.Dropped > 0 && endedAt.After(r.limitReportedAt.Add(dropAgeTolerance)):
		c.add(r.clearLimit(endedAt, now))
	}
	if e.Leaves {
		c.add(r.setLeaving(now))
	}
	t.updateShares(e.Worker, r, t.shareholders(), now)
	return c.all
}

// durationOf returns the duration of an age in milliseconds.
func durationOf(age int64) time.Duration { return time.Duration(age) * time.Millisecond }

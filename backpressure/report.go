package backpressure

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/common/turn"
	"quartzshelf.dev/fleet"
)

const (
	// changeReportPeriod is how long a change is included in every report: ten heartbeats and
	// three rounds of relays, so that the loss of some datagrams does not matter.
	changeReportPeriod = 2 * time.Second
	// maxChangedEntries and maxRotatedEntries limit the entries of one report. Unchanged records
	// are sent in rotation; 400 of them take five seconds.
	maxChangedEntries = 16
	maxRotatedEntries = 16
	// dropAgeTolerance is how much later than the last report of a limit a peer must have sent the
	// request whose answer had no limit, for that answer to end the limit. Ages are only as exact
	// as a round of heartbeats.
	dropAgeTolerance = time.Second
	// maxWorkerIDBytes is the maximum length of a worker ID in a report.
	maxWorkerIDBytes = 256
)

// Entry is the report of one worker to peers. Ages are relative to the time of sending, in
// milliseconds, and at least 1; zero means not set.
type Entry struct {
	Worker string `json:"w"`
	Born   int64  `json:"b,omitempty"`
	// Limit is the worker's limit in requests a second. It was last reported Named ago.
	Limit *float64 `json:"l,omitempty"`
	Named int64    `json:"a,omitempty"`
	// Dropped is the age of the request whose answer ended the limit.
	Dropped int64 `json:"d,omitempty"`
	// Leaves means that the worker is about to stop.
	Leaves bool `json:"x,omitempty"`
}

// Report returns the entries to send to peers: recent changes, and some of the unchanged records
// in rotation. Records learned only from peers are included if passesOn is set, as it is for
// relays.
func (t *Table) Report(now time.Time, passesOn bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh, rest []string
	for id, r := range t.records {
		switch {
		case !r.observedLocally && !passesOn:
		case now.Sub(r.changedAt) < changeReportPeriod:
			fresh = append(fresh, id)
		case r.limited || r.leaving:
			rest = append(rest, id)
		}
	}
	slices.SortFunc(fresh, func(a, b string) int {
		return cmp.Or(t.records[b].changedAt.Compare(t.records[a].changedAt), strings.Compare(a, b))
	})
	rest, t.nextWorker = turn.Few(rest, t.nextWorker, maxRotatedEntries, strings.Compare)
	var all []Entry
	for _, id := range append(fresh[:min(len(fresh), maxChangedEntries)], rest...) {
		all = append(all, t.records[id].entry(id, now))
	}
	return all
}

func (r *record) entry(worker string, now time.Time) Entry {
	e := Entry{Worker: worker, Born: r.born, Leaves: r.leaving}
	switch {
	case r.limited:
		perSecond := r.perSecond
		e.Limit, e.Named = &perSecond, ageMillis(r.limitReportedAt, now)
	case !r.limitEndedAt.IsZero():
		e.Dropped = ageMillis(r.limitEndedAt, now)
	}
	return e
}

func ageMillis(t, now time.Time) int64 { return max(now.Sub(t).Milliseconds(), 1) }

// isValid reports whether an entry received from a peer is well-formed.
func (e *Entry) isValid() bool {
	return e.Worker != "" && len(e.Worker) <= maxWorkerIDBytes && e.Named >= 0 && e.Dropped >= 0 &&
		(e.Limit == nil || *e.Limit >= 0 && *e.Limit <= maxLimit)
}

// Merge applies the entries that a peer reported. The time at must not be later than the time of
// sending. Invalid entries are skipped.
func (t *Table) Merge(all []Entry, by string, at, now time.Time) {
	var changes []Change
	for i := range min(len(all), maxChangedEntries+maxRotatedEntries) {
		if all[i].isValid() {
			changes = append(changes, t.merge(&all[i], by, at, now)...)
		}
	}
	t.notify(changes)
}

func (t *Table) merge(e *Entry, by string, at, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.records[e.Worker]; ok && known.born > e.Born || !ok && e.Limit == nil && !e.Leaves {
		return nil
	}
	w := &fleet.Worker{ID: e.Worker, Born: e.Born}
	r := t.recordOf(w)
	c := changesOf(w, by)
	named, dropped := at.Add(-durationOf(e.Named)), at.Add(-durationOf(e.Dropped))
	switch {
	case e.Limit != nil && named.After(r.limitEndedAt) && named.After(r.limitReportedAt):
		c.add(r.setLimit(*e.Limit, named, now))
	case e.Dropped > 0 && dropped.After(r.limitReportedAt.Add(dropAgeTolerance)):
		c.add(r.clearLimit(dropped, now))
	}
	if e.Leaves {
		c.add(r.setLeaving(now))
	}
	t.updateShares(e.Worker, r, t.shareholders(), now)
	return c.all
}

func durationOf(age int64) time.Duration { return time.Duration(age) * time.Millisecond }

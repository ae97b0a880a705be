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
	// freshFor is how long peers are told of a change: ten heartbeats, of which some get
	// lost, and three rounds of relays.
	freshFor = 2 * time.Second
	// freshMost and turnMost bound the entries of one report. What has not changed of late
	// follows in turns, all of 400 within five seconds.
	freshMost = 16
	turnMost  = 16
	// dropMargin is how much later than a limit was last heard an answer without one must have
	// been asked for to end it by a peer's word: ages are only as exact as a round of
	// heartbeats.
	dropMargin = time.Second
	// idMost bounds the name of a worker in a report, in bytes.
	idMost = 256
)

// Entry is what a daemon reports of one worker. Ages are of the time of sending, in
// milliseconds and at least one; zero stands for what is not told.
type Entry struct {
	Worker string `json:"w"`
	Born   int64  `json:"b,omitempty"`
	// Limit is the requests a second that the worker named Named ago.
	Limit *float64 `json:"l,omitempty"`
	Named int64    `json:"a,omitempty"`
	// Dropped is how long ago it named no limit any more.
	Dropped int64 `json:"d,omitempty"`
	// Leaves tells that it ends soon.
	Leaves bool `json:"x,omitempty"`
}

// Report returns what peers are to be told now: what changed of late, and some of the rest in
// turn. What only peers heard is told by those who pass reports on.
func (t *Table) Report(now time.Time, passesOn bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh, rest []string
	for id, r := range t.records {
		switch {
		case !r.heardHere && !passesOn:
		case now.Sub(r.changedAt) < freshFor:
			fresh = append(fresh, id)
		case r.limited || r.leaves:
			rest = append(rest, id)
		}
	}
	slices.SortFunc(fresh, func(a, b string) int {
		return cmp.Or(t.records[b].changedAt.Compare(t.records[a].changedAt), strings.Compare(a, b))
	})
	rest, t.turn = turn.Few(rest, t.turn, turnMost, strings.Compare)
	var all []Entry
	for _, id := range append(fresh[:min(len(fresh), freshMost)], rest...) {
		all = append(all, t.records[id].entry(id, now))
	}
	return all
}

func (r *record) entry(worker string, now time.Time) Entry {
	e := Entry{Worker: worker, Born: r.born, Leaves: r.leaves}
	switch {
	case r.limited:
		perSecond := r.perSecond
		e.Limit, e.Named = &perSecond, ageOf(r.namedAt, now)
	case !r.droppedAt.IsZero():
		e.Dropped = ageOf(r.droppedAt, now)
	}
	return e
}

func ageOf(t, now time.Time) int64 { return max(now.Sub(t).Milliseconds(), 1) }

// isClear reports whether an entry of a peer can be taken.
func (e *Entry) isClear() bool {
	return e.Worker != "" && len(e.Worker) <= idMost && e.Named >= 0 && e.Dropped >= 0 &&
		(e.Limit == nil || *e.Limit >= 0 && *e.Limit <= limitMost)
}

// Merge takes what a peer reported at a time, which is early rather than late. Entries that
// say nothing are passed over.
func (t *Table) Merge(all []Entry, by string, at, now time.Time) {
	var changes []Change
	for i := range min(len(all), freshMost+turnMost) {
		if all[i].isClear() {
			changes = append(changes, t.merge(&all[i], by, at, now)...)
		}
	}
	t.tell(changes)
}

func (t *Table) merge(e *Entry, by string, at, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held, ok := t.records[e.Worker]; ok && held.born > e.Born || !ok && e.Limit == nil && !e.Leaves {
		return nil
	}
	w := &fleet.Worker{ID: e.Worker, Born: e.Born}
	r := t.recordOf(w)
	c := changesOf(w, by)
	named, dropped := at.Add(-msOf(e.Named)), at.Add(-msOf(e.Dropped))
	switch {
	case e.Limit != nil && named.After(r.droppedAt) && named.After(r.namedAt):
		c.add(r.name(*e.Limit, named, now))
	case e.Dropped > 0 && dropped.After(r.namedAt.Add(dropMargin)):
		c.add(r.drop(dropped, now))
	}
	if e.Leaves {
		c.add(r.leave(now))
	}
	t.share(e.Worker, r, t.place(), now)
	return c.all
}

func msOf(age int64) time.Duration { return time.Duration(age) * time.Millisecond }

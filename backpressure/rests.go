package backpressure

import (
	"maps"
	"time"

	"quartzshelf.dev/fleet"
)

// rest is until when one life of a worker wants nothing from this daemon.
type rest struct {
	born  int64
	until time.Time
}

// Rested returns a check for whether a replica's head wants requests from this daemon, or nil
// if all do.
func (t *Table) Rested(now time.Time) func(r *fleet.Replica) bool {
	rests := *t.rests.Load()
	if len(rests) == 0 {
		return nil
	}
	return func(r *fleet.Replica) bool { return !rests[r.Head.ID].holds(r, now) }
}

// TakeRested reports whether a replica's head wants requests from this daemon now. They may be
// sent at any time.
func (t *Table) TakeRested(r *fleet.Replica, now time.Time) (sendBy time.Time, ok bool) {
	return time.Time{}, !(*t.rests.Load())[r.Head.ID].holds(r, now)
}

// RestEnds returns when a replica's head wants requests from this daemon again.
func (t *Table) RestEnds(r *fleet.Replica, now time.Time) time.Time {
	held := (*t.rests.Load())[r.Head.ID]
	if held.holds(r, now) {
		return held.until
	}
	return now
}

// holds reports whether it is a rest of a replica's head that is not over.
func (o rest) holds(r *fleet.Replica, now time.Time) bool {
	return now.Before(o.until) && o.born == r.Head.Born
}

// showRest shows requests until when a worker wants nothing. The mutex is held.
func (t *Table) showRest(worker string, r *record) {
	shown := rest{born: r.born, until: r.restUntil}
	if (*t.rests.Load())[worker] == shown {
		return
	}
	next := maps.Clone(*t.rests.Load())
	next[worker] = shown
	t.rests.Store(&next)
}

// hideRests forgets the rests that are over. The mutex is held.
func (t *Table) hideRests(now time.Time) {
	isOver := func(_ string, o rest) bool { return !now.Before(o.until) }
	next := maps.Clone(*t.rests.Load())
	maps.DeleteFunc(next, isOver)
	if len(next) < len(*t.rests.Load()) {
		t.rests.Store(&next)
	}
}

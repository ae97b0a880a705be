package relay

import (
	"context"
	"sync/atomic"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// beginSilence and goSilence are how long all streams from a replica, here and at
	// peers, may be silent before it is suspected: while none here has begun, and
	// after. A pass full of prompts is shorter than both.
	beginSilence = 900 * time.Millisecond
	goSilence    = 450 * time.Millisecond
	// suspectFor is how long a suspected replica gets no requests unless it
	// shows progress.
	suspectFor = 2 * time.Second
	// reportedWithin is how soon work at peers is known here: a heartbeat and a summary of
	// a relay later.
	reportedWithin = 600 * time.Millisecond
)

// StreamWatch is a stream in flight.
type StreamWatch struct {
	begun bool
	// sentAt is when it was sent, movedAt that or when its last event came.
	sentAt  time.Time
	movedAt time.Time
	// dueBy is when its first event is expected by the work that is known there.
	dueBy time.Time
	// excused tells that a pause of this process restarted its clock since it last moved.
	excused bool
	// passing tells that an event is being passed on to the caller: until the caller has
	// taken it, nothing is read of the replica, whose silence says nothing.
	passing atomic.Bool
	costs   costs
	cancel  context.CancelCauseFunc
}

// Follow follows a stream: cancel is called when its replica falls silent, or it alone
// does. The costs predict how long it waits for its events.
func (t *Tracker) Follow(r *fleet.Replica, c costs, cancel context.CancelCauseFunc) *StreamWatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	watch := &StreamWatch{sentAt: now, movedAt: now, costs: c, cancel: cancel}
	t.loadOf(r).streams[watch] = struct{}{}
	return watch
}

// Moved notes that an event of a stream came.
func (t *Tracker) Moved(r *fleet.Replica, watch *StreamWatch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.loadOf(r)
	watch.begun, watch.movedAt, watch.excused = true, now, false
	s.lastMove = now
	s.suspect = time.Time{}
}

// Passing notes that an event is being passed on to the caller of a stream, until Passed.
func (w *StreamWatch) Passing() { w.passing.Store(true) }

// Passed notes that the caller of a stream has taken its last event. A caller that reads
// slowly slows its own stream alone: counted as silence of the replica, one such caller
// took the replica from all others.
func (t *Tracker) Passed(watch *StreamWatch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	watch.movedAt = now
	watch.passing.Store(false)
}

// Unfollow ends the following of a stream.
func (t *Tracker) Unfollow(r *fleet.Replica, watch *StreamWatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loadOf(r).streams, watch)
}

// Suspect passes a replica over for a while, on a peer's word, unless a stream moved
// there a moment ago.
func (t *Tracker) Suspect(replica string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.held[replica]
	switch {
	case !ok:
		t.reportedSuspects[replica] = now.Add(suspectFor)
	case now.Sub(t.moveOf(s)) > goSilence:
		s.suspect = now.Add(suspectFor)
	}
}

// Sweep looks for replicas that fell silent, and for streams that did while their
// replica goes on; it cuts these streams off so that they go on elsewhere. It forgets
// replicas that are gone. A gap since the last sweep that shows this process stood still
// excuses silence, once until the stream moves: a process that often stands still would
// notice nothing otherwise.
func (t *Tracker) Sweep(now time.Time, gap time.Duration) {
	if gap > goSilence/2 {
		t.excuse(now)
	}
	for _, r := range t.silent(now) {
		t.stalled(r)
	}
}

func (t *Tracker) excuse(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.held {
		for watch := range s.streams {
			if !watch.excused {
				watch.movedAt, watch.excused = now, true
			}
		}
	}
}

func (t *Tracker) silent(now time.Time) []*fleet.Replica {
	const forgetAfter = time.Minute
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, until := range t.reportedSuspects {
		if now.After(until) {
			delete(t.reportedSuspects, id)
		}
	}
	var all []*fleet.Replica
	for id, s := range t.held {
		if s.inFlight == 0 && len(s.streams) == 0 && now.Sub(s.lastKnown) > forgetAfter {
			delete(t.held, id)
			continue
		}
		if s.isSilent(t.moveOf(s), now) {
			s.suspect = now.Add(suspectFor)
			all = append(all, s.replica)
			s.cut(errStalled, func(w *StreamWatch) bool { return !w.passing.Load() })
			continue
		}
		s.cut(errQuiet, func(w *StreamWatch) bool { return t.isQuiet(s, w, now) })
	}
	return all
}

// moveOf returns when a stream last moved at a replica, here or at a peer, as far as known.
func (t *Tracker) moveOf(s *replicaLoad) time.Time {
	moved := s.lastMove
	for _, remote := range t.remote {
		if l, ok := remote.loads[s.replica.ID]; ok && l.Moved > 0 {
			if at := remote.heard.Add(-time.Duration(l.Moved) * time.Millisecond); at.After(moved) {
				moved = at
			}
		}
	}
	return moved
}

// isQuiet reports whether a stream has been silent for too long though others of its
// replica move. One that has begun gets an event with each pass. One that waits for its
// first event may be in a queue: it is due once the work that was sent before it is done,
// as far as that is known when peers have reported it.
func (t *Tracker) isQuiet(s *replicaLoad, w *StreamWatch, now time.Time) bool {
	if w.passing.Load() {
		return false
	}
	if w.begun {
		pass := w.costs.pass + time.Duration(w.costs.slots*float64(w.costs.perRequest))
		return now.Sub(w.movedAt) > goSilence+pass
	}
	if now.Sub(w.sentAt) <= reportedWithin {
		busy, prefill := t.work(s.replica.ID, now)
		if due := now.Add(w.costs.wait(float64(busy), prefill)); due.After(w.dueBy) {
			w.dueBy = due
		}
	}
	return now.Sub(w.movedAt) > beginSilence && now.Sub(w.dueBy) > goSilence
}

// isSilent reports whether none of the replica's streams moved for so long that it must
// have stopped, if one moved last at the given time.
func (s *replicaLoad) isSilent(moved, now time.Time) bool {
	limit, first, waiting := beginSilence, now, 0
	for watch := range s.streams {
		if watch.passing.Load() {
			continue
		}
		waiting++
		if watch.begun {
			limit = goSilence
		}
		if watch.movedAt.Before(first) {
			first = watch.movedAt
		}
	}
	if first.After(moved) {
		moved = first
	}
	return waiting > 0 && now.Sub(moved) > limit
}

// cut ends the streams that are chosen, so that they go on elsewhere.
func (s *replicaLoad) cut(cause error, chosen func(*StreamWatch) bool) {
	for watch := range s.streams {
		if chosen(watch) {
			watch.cancel(cause)
		}
	}
}

package relay

import (
	"context"
	"sync/atomic"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// firstEventTimeout and goSilence are how long all streams from a replica, here and at
	// peers, may be silent before it is suspected: while none here has begun, and
	// after. A pass full of prompts is shorter than both.
	firstEventTimeout = 900 * time.Millisecond
	nextEventTimeout  = 450 * time.Millisecond
	// suspicionPeriod is how long a suspected replica gets no requests unless it
	// shows progress.
	suspicionPeriod = 2 * time.Second
	// peerReportDelay is how soon work at peers is known here: a heartbeat and a summary of
	// a relay later.
	peerReportDelay = 600 * time.Millisecond
)

// StreamWatch is a stream in flight.
type StreamWatch struct {
	hasBegun bool
	// sentAt is when it was sent, movedAt that or when its last event came.
	sentAt      time.Time
	lastEventAt time.Time
	// firstEventDue is when its first event is expected by the work that is known there.
	firstEventDue time.Time
	// isTimerRestarted tells that a pause of this process restarted its clock since it last moved.
	isTimerRestarted bool
	// isForwarding tells that an event is being passed on to the caller: until the caller has
	// taken it, nothing is read of the replica, whose silence says nothing.
	isForwarding atomic.Bool
	costs        costs
	cancel       context.CancelCauseFunc
}

// Watch follows a stream: cancel is called when its replica falls silent, or it alone
// does. The costs predict how long it waits for its events.
func (t *Tracker) Watch(r *fleet.Replica, c costs, cancel context.CancelCauseFunc) *StreamWatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	watch := &StreamWatch{sentAt: now, lastEventAt: now, costs: c, cancel: cancel}
	t.loadOf(r).streams[watch] = struct{}{}
	return watch
}

// RecordEvent notes that an event of a stream came.
func (t *Tracker) RecordEvent(r *fleet.Replica, watch *StreamWatch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.loadOf(r)
	watch.hasBegun, watch.lastEventAt, watch.isTimerRestarted = true, now, false
	s.lastEventAt = now
	s.suspectedUntil = time.Time{}
}

// BeginForward notes that an event is being passed on to the caller of a stream, until Passed.
func (w *StreamWatch) BeginForward() { w.isForwarding.Store(true) }

// EndForward notes that the caller of a stream has taken its last event. A caller that reads
// slowly slows its own stream alone: counted as silence of the replica, one such caller
// took the replica from all others.
func (t *Tracker) EndForward(watch *StreamWatch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	watch.lastEventAt = now
	watch.isForwarding.Store(false)
}

// Unwatch ends the following of a stream.
func (t *Tracker) Unwatch(r *fleet.Replica, watch *StreamWatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loadOf(r).streams, watch)
}

// Suspect passes a replica over for a while, on a peer's word, unless a stream moved
// there a moment ago.
func (t *Tracker) Suspect(replica string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.replicas[replica]
	switch {
	case !ok:
		t.reportedSuspects[replica] = now.Add(suspicionPeriod)
	case now.Sub(t.lastEventOf(s)) > nextEventTimeout:
		s.suspectedUntil = now.Add(suspicionPeriod)
	}
}

// Sweep looks for replicas that fell silent, and for streams that did while their
// replica goes on; it cuts these streams off so that they go on elsewhere. It forgets
// replicas that are gone. A gap since the last sweep that shows this process stood still
// excuses silence, once until the stream moves: a process that often stands still would
// notice nothing otherwise.
func (t *Tracker) Sweep(now time.Time, gap time.Duration) {
	if gap > nextEventTimeout/2 {
		t.restartTimers(now)
	}
	for _, r := range t.findSilent(now) {
		t.onStalled(r)
	}
}

func (t *Tracker) restartTimers(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.replicas {
		for watch := range s.streams {
			if !watch.isTimerRestarted {
				watch.lastEventAt, watch.isTimerRestarted = now, true
			}
		}
	}
}

func (t *Tracker) findSilent(now time.Time) []*fleet.Replica {
	const forgetAfter = time.Minute
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, until := range t.reportedSuspects {
		if now.After(until) {
			delete(t.reportedSuspects, id)
		}
	}
	var all []*fleet.Replica
	for id, s := range t.replicas {
		if s.inFlight == 0 && len(s.streams) == 0 && now.Sub(s.lastUsedAt) > forgetAfter {
			delete(t.replicas, id)
			continue
		}
		if s.isSilent(t.lastEventOf(s), now) {
			s.suspectedUntil = now.Add(suspicionPeriod)
			all = append(all, s.replica)
			s.cancelStreams(errStalled, func(w *StreamWatch) bool { return !w.isForwarding.Load() })
			continue
		}
		s.cancelStreams(errStreamSilent, func(w *StreamWatch) bool { return t.isStreamSilent(s, w, now) })
	}
	return all
}

// lastEventOf returns when a stream last moved at a replica, here or at a peer, as far as known.
func (t *Tracker) lastEventOf(s *replicaLoad) time.Time {
	last := s.lastEventAt
	for _, remote := range t.remote {
		if l, ok := remote.loads[s.replica.ID]; ok && l.Moved > 0 {
			if at := remote.receivedAt.Add(-time.Duration(l.Moved) * time.Millisecond); at.After(last) {
				last = at
			}
		}
	}
	return last
}

// isStreamSilent reports whether a stream has been silent for too long though others of its
// replica move. One that has begun gets an event with each pass. One that waits for its
// first event may be in a queue: it is due once the work that was sent before it is done,
// as far as that is known when peers have reported it.
func (t *Tracker) isStreamSilent(s *replicaLoad, w *StreamWatch, now time.Time) bool {
	if w.isForwarding.Load() {
		return false
	}
	if w.hasBegun {
		pass := w.costs.pass + time.Duration(w.costs.slots*float64(w.costs.perRequest))
		return now.Sub(w.lastEventAt) > nextEventTimeout+pass
	}
	if now.Sub(w.sentAt) <= peerReportDelay {
		busy, prefill := t.totalWork(s.replica.ID, now)
		if due := now.Add(w.costs.wait(float64(busy), prefill)); due.After(w.firstEventDue) {
			w.firstEventDue = due
		}
	}
	return now.Sub(w.lastEventAt) > firstEventTimeout && now.Sub(w.firstEventDue) > nextEventTimeout
}

// isSilent reports whether none of the replica's streams moved for so long that it must
// have stopped, if one moved last at the given time.
func (s *replicaLoad) isSilent(last, now time.Time) bool {
	limit, oldest, waiting := firstEventTimeout, now, 0
	for watch := range s.streams {
		if watch.isForwarding.Load() {
			continue
		}
		waiting++
		if watch.hasBegun {
			limit = nextEventTimeout
		}
		if watch.lastEventAt.Before(oldest) {
			oldest = watch.lastEventAt
		}
	}
	if oldest.After(last) {
		last = oldest
	}
	return waiting > 0 && now.Sub(last) > limit
}

// cancelStreams ends the streams that are chosen, so that they go on elsewhere.
func (s *replicaLoad) cancelStreams(cause error, matches func(*StreamWatch) bool) {
	for watch := range s.streams {
		if matches(watch) {
			watch.cancel(cause)
		}
	}
}

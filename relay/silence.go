package relay

import (
	"context"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// beginSilence and goSilence are how long all streams from a replica may be
	// silent before it is suspected: while none has begun, and after.
	beginSilence = 900 * time.Millisecond
	goSilence    = 450 * time.Millisecond
	// suspectFor is how long a suspected replica gets no requests unless it
	// shows progress.
	suspectFor = 2 * time.Second
)

// StreamWatch is a stream in flight.
type StreamWatch struct {
	begun  bool
	since  time.Time
	cancel context.CancelCauseFunc
}

// Follow follows a stream: cancel is called when its replica falls silent.
func (t *Tracker) Follow(r *fleet.Replica, cancel context.CancelCauseFunc) *StreamWatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	watch := &StreamWatch{since: time.Now(), cancel: cancel}
	t.loadOf(r).streams[watch] = struct{}{}
	return watch
}

// Moved notes that an event of a stream came.
func (t *Tracker) Moved(r *fleet.Replica, watch *StreamWatch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.loadOf(r)
	watch.begun = true
	s.lastMove = now
	s.suspect = time.Time{}
}

// Unfollow ends the following of a stream.
func (t *Tracker) Unfollow(r *fleet.Replica, watch *StreamWatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loadOf(r).streams, watch)
}

// Suspect passes a replica over for a while, on a peer's word.
func (t *Tracker) Suspect(replica string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.held[replica]; ok && now.Sub(s.lastMove) > goSilence {
		s.suspect = now.Add(suspectFor)
	}
}

// Sweep looks for replicas that fell silent, cuts their streams off so that
// they go on elsewhere, and forgets replicas that are gone. A gap since the
// last sweep that shows this process stood still excuses all silence.
func (t *Tracker) Sweep(now time.Time, gap time.Duration) {
	if gap > goSilence/2 {
		t.excuse(now)
		return
	}
	for _, r := range t.silent(now) {
		t.stalled(r)
	}
}

func (t *Tracker) excuse(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.held {
		s.lastMove = now
	}
}

func (t *Tracker) silent(now time.Time) []*fleet.Replica {
	const forgetAfter = time.Minute
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*fleet.Replica
	for id, s := range t.held {
		if s.inFlight == 0 && len(s.streams) == 0 && now.Sub(s.lastKnown) > forgetAfter {
			delete(t.held, id)
			continue
		}
		if !s.isSilent(now) {
			continue
		}
		s.suspect = now.Add(suspectFor)
		all = append(all, s.replica)
		for watch := range s.streams {
			watch.cancel(errStalled)
		}
	}
	return all
}

// isSilent reports whether none of the replica's streams moved for so long
// that it must have stopped.
func (s *replicaLoad) isSilent(now time.Time) bool {
	if len(s.streams) == 0 {
		return false
	}
	limit, since := beginSilence, s.lastMove
	for watch := range s.streams {
		if watch.begun {
			limit = goSilence
		}
	}
	first := now
	for watch := range s.streams {
		if watch.since.Before(first) {
			first = watch.since
		}
	}
	if first.After(since) {
		since = first
	}
	return now.Sub(since) > limit
}

package proxy

import (
	"sync/atomic"
	"time"

	"quartzshelf.dev/fleet"
)

const (
	// firstEventTimeout and nextEventTimeout are how long a replica may send no events to this
	// daemon and its peers before it is suspected. The first applies while no stream of this daemon
	// at the replica has received an event, the second after that. Both exceed the time of an
	// engine's pass that reads many prompts.
	firstEventTimeout = 900 * time.Millisecond
	nextEventTimeout  = 450 * time.Millisecond
	// suspicionPeriod is how long a replica stays suspected unless it sends an event. Meanwhile it
	// gets requests only if there is no other replica.
	suspicionPeriod = 2 * time.Second
	// peerReportDelay is the assumed maximum time until this daemon learns of a request at a peer:
	// one report interval of the peer, plus one of the daemon that passes the report on.
	peerReportDelay = 600 * time.Millisecond
	// noticeInterval is the time between two notices to a stream that stays silent.
	noticeInterval = 100 * time.Millisecond
)

// StreamWatch is a stream in flight.
type StreamWatch struct {
	hasBegun bool
	// sentAt is when the stream was registered, just before its request is sent. lastEventAt is the
	// time from which the stream's silence is measured. It starts as sentAt and moves on with each
	// event, and when the timer restarts.
	sentAt      time.Time
	lastEventAt time.Time
	// firstEventDue is when the first event is expected, as predicted from the requests in flight
	// at the replica.
	firstEventDue time.Time
	// isTimerRestarted reports whether the timer was restarted after the last event because this
	// process had been paused.
	isTimerRestarted bool
	// isForwarding reports whether an event is being sent to the caller. Nothing is read from the
	// replica in that time, so the stream does not count as silent.
	isForwarding atomic.Bool
	costs        costs
	// onSilent is called with the tracker's lock held. Nil if the stream needs no notices.
	onSilent func()
	// silence is errReplicaSilent or errStreamSilent if the stream was found silent, until its next
	// event or until its replica sends one. Such a stream is no further evidence against its replica.
	silence error
	// nextNotice is when onSilent is called again while the stream stays silent.
	nextNotice time.Time
}

// Watch registers a stream. onSilent, if not nil, is called repeatedly while the stream is silent; it must
// not call the tracker. The costs are used to predict when the stream's events are due.
func (t *Tracker) Watch(r *fleet.Replica, c costs, onSilent func()) *StreamWatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	watch := &StreamWatch{sentAt: now, lastEventAt: now, costs: c, onSilent: onSilent}
	t.loadOf(r).streams[watch] = struct{}{}
	return watch
}

// RecordEvent records that an event of a stream arrived. It returns for how long the replica had
// sent none if it counted as silent, and zero otherwise.
func (t *Tracker) RecordEvent(r *fleet.Replica, watch *StreamWatch, now time.Time) (silence time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.loadOf(r)
	watch.hasBegun, watch.lastEventAt, watch.isTimerRestarted, watch.silence = true, now, false, nil
	if !s.silentSince.IsZero() {
		silence = now.Sub(s.silentSince)
		s.endSilence()
	}
	s.lastEventAt = now
	s.suspectedUntil = time.Time{}
	return silence
}

// endSilence forgets that the replica was silent. Its silent streams are watched anew.
func (s *replicaLoad) endSilence() {
	s.silentSince = time.Time{}
	for watch := range s.streams {
		if watch.silence == errReplicaSilent {
			watch.silence = nil
		}
	}
}

// BeginForward records that an event is being sent to the stream's caller, until EndForward.
func (w *StreamWatch) BeginForward() { w.isForwarding.Store(true) }

// EndForward records that the caller has received the last event. The timer restarts then, so
// that a slow reader does not make its replica appear silent.
func (t *Tracker) EndForward(watch *StreamWatch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	watch.lastEventAt = now
	watch.isForwarding.Store(false)
}

// Unwatch removes a stream.
func (t *Tracker) Unwatch(r *fleet.Replica, watch *StreamWatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loadOf(r).streams, watch)
}

// MarkSuspected marks a replica as suspected because a peer reported it. It does nothing if the
// replica has recently sent an event to this daemon or a peer.
func (t *Tracker) MarkSuspected(replica string, now time.Time) {
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

// Sweep finds replicas and single streams that fell silent, and notifies their streams so that they try
// elsewhere. It also removes replicas that are no longer used. gap is the time since the last sweep. A long
// gap means that this process was paused, and restarts the timers of the streams. Each timer is restarted
// at most once until the stream's next event, so that a process with frequent pauses still detects silence.
func (t *Tracker) Sweep(now time.Time, gap time.Duration) {
	if gap > nextEventTimeout/2 {
		t.restartTimers(now)
	}
	for _, replica := range t.findSilent(now) {
		t.onSuspected(replica)
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
	var silent []*fleet.Replica
	for id, s := range t.replicas {
		if s.inFlight == 0 && len(s.streams) == 0 && now.Sub(s.lastUsedAt) > forgetAfter {
			delete(t.replicas, id)
			continue
		}
		if s.isSilent(t.lastEventOf(s), now) {
			s.suspectedUntil = now.Add(suspicionPeriod)
			s.markSilent(now)
			silent = append(silent, s.replica)
		}
		for watch := range s.streams {
			if watch.silence == nil && t.isStreamSilent(s, watch, now) {
				watch.silence = errStreamSilent
			}
		}
		s.notifyStreams(now)
	}
	return silent
}

// Silence returns errReplicaSilent if a stream's replica has sent no event for too long, errStreamSilent if
// only the stream got none, and nil otherwise.
func (t *Tracker) Silence(watch *StreamWatch) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return watch.silence
}

// lastEventOf returns when a replica last sent an event to this daemon or, according to their
// reports, to a peer.
func (t *Tracker) lastEventOf(s *replicaLoad) time.Time {
	latest := s.lastEventAt
	for _, remote := range t.loadsBySource {
		if l, ok := remote.loads[s.replica.ID]; ok && l.EventAgeMillis > 0 {
			if at := remote.receivedAt.Add(-time.Duration(l.EventAgeMillis) * time.Millisecond); at.After(latest) {
				latest = at
			}
		}
	}
	return latest
}

// isStreamSilent reports whether a stream has been silent for too long, although other streams of
// its replica receive events. A started stream gets an event with each pass of the engine. The
// first event may be delayed by a queue. It is due when the requests that were sent earlier, here
// or at peers, are predicted to be done.
func (t *Tracker) isStreamSilent(s *replicaLoad, w *StreamWatch, now time.Time) bool {
	if w.isForwarding.Load() {
		return false
	}
	if w.hasBegun {
		pass := w.costs.passTime + time.Duration(w.costs.slots*float64(w.costs.perRequest))
		return now.Sub(w.lastEventAt) > nextEventTimeout+pass
	}
	if now.Sub(w.sentAt) <= peerReportDelay {
		inFlight, unreadTokens := t.totalLoad(s.replica.ID, now)
		if due := now.Add(w.costs.predictedWait(float64(inFlight), unreadTokens)); due.After(w.firstEventDue) {
			w.firstEventDue = due
		}
	}
	return now.Sub(w.lastEventAt) > firstEventTimeout && now.Sub(w.firstEventDue) > nextEventTimeout
}

// isSilent reports whether the replica has sent no event for so long that it must have stopped, judged by
// the streams that were not found silent before. last is when it last sent one.
func (s *replicaLoad) isSilent(last, now time.Time) bool {
	timeout, oldest, waitingCount := firstEventTimeout, now, 0
	for watch := range s.streams {
		if watch.isForwarding.Load() || watch.silence != nil {
			continue
		}
		waitingCount++
		if watch.hasBegun {
			timeout = nextEventTimeout
		}
		if watch.lastEventAt.Before(oldest) {
			oldest = watch.lastEventAt
		}
	}
	if oldest.After(last) {
		last = oldest
	}
	return waitingCount > 0 && now.Sub(last) > timeout
}

// markSilent records that the replica's waiting streams are silent, and since when.
func (s *replicaLoad) markSilent(now time.Time) {
	for watch := range s.streams {
		if !watch.isForwarding.Load() {
			watch.silence = errReplicaSilent
		}
	}
	switch {
	case !s.silentSince.IsZero():
	case s.lastEventAt.IsZero():
		s.silentSince = now
	default:
		s.silentSince = s.lastEventAt
	}
}

// notifyStreams notifies the silent streams whose next notice is due.
func (s *replicaLoad) notifyStreams(now time.Time) {
	for watch := range s.streams {
		if watch.silence != nil && watch.onSilent != nil && !now.Before(watch.nextNotice) {
			watch.nextNotice = now.Add(noticeInterval)
			watch.onSilent()
		}
	}
}

// suspectedHeads returns the IDs of the heads of replicas that are suspected to have stopped.
func (t *Tracker) suspectedHeads(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heads := make(map[string]bool)
	for id, s := range t.replicas {
		if t.isSuspected(id, now) {
			heads[s.replica.Head.ID] = true
		}
	}
	return heads
}

// clearSuspicions clears the suspicions of a service's replicas. It is called when this daemon's own
// links, which led to them, are up again.
func (t *Tracker) clearSuspicions(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.replicas {
		if s.replica.Service == service {
			s.suspectedUntil, s.unreachableUntil = time.Time{}, time.Time{}
		}
	}
}

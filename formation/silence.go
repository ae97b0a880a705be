package formation

import (
	"context"
	"errors"
	"time"

	"quartzshelf.dev/fleet"
)

// ErrSilent means that a worker's address accepted a new connection, but that no answer arrived. The
// worker may only be pausing, and then goes on with its streams.
var ErrSilent = errors.New("the worker accepted a connection but did not answer")

const (
	// silenceTolerance is the time for which a worker may accept connections without answering
	// before it is treated as gone. By then, callers have given up the streams of its replica.
	silenceTolerance = 2 * time.Second
	// commonSilenceTolerance replaces silenceTolerance during a common silence. It is shorter than
	// the time after which replicas that stall break by themselves.
	commonSilenceTolerance = 4 * time.Second
	// commonSilenceWorkers and commonSilenceDomains are the numbers of silent workers, and of their
	// domains, from which the silence counts as common.
	commonSilenceWorkers = 4
	commonSilenceDomains = 2
	// silentQueryInterval is the time between queries to a silent worker.
	silentQueryInterval = 300 * time.Millisecond
	// maxSilentQueries is the maximum number of concurrent queries to silent workers. The other
	// calls remain for the repair of replicas.
	maxSilentQueries = maxConcurrentCalls / 2
)

// contact is the outcome of a call to a worker.
type contact int

const (
	// unreachable means that no new connection was accepted in time, or that another worker
	// answered.
	unreachable contact = iota
	// silent means that a new connection was accepted, but that no answer arrived.
	silent
	// answered means that the worker answered.
	answered
	// unknown means that the worker was not reached, but that this daemon's own links are down.
	unknown
)

// contactOf returns the outcome of a call to a worker that returned err.
func (rc *Reconciler) contactOf(ctx context.Context, w *fleet.Worker, err error) contact {
	switch {
	case err == nil:
		return answered
	case errors.Is(err, ErrSilent):
		return silent
	case !rc.areLinksUp(ctx, w):
		return unknown
	}
	return unreachable
}

// areLinksUp reports whether a call to a worker failed although this daemon reaches other workers.
func (rc *Reconciler) areLinksUp(ctx context.Context, failed *fleet.Worker) bool {
	return rc.opts.AreLinksUp == nil || rc.opts.AreLinksUp(ctx, failed)
}

// silence describes a worker that accepts connections but does not answer.
type silence struct {
	worker *fleet.Worker
	// replica is the key of the worker's group when the silence began. It is empty if the worker
	// was in no group.
	replica string
	// since is the time of the first call that was not answered.
	since     time.Time
	nextQuery time.Time
	// isQueried reports whether a query is under way.
	isQueried bool
	// isGone reports whether the worker is treated as gone because of its silence.
	isGone bool
}

// deadline returns the time from which the worker is treated as gone.
func (s *silence) deadline(isCommon bool) time.Time {
	if isCommon {
		return s.since.Add(commonSilenceTolerance)
	}
	return s.since.Add(silenceTolerance)
}

// isCommonSilence reports whether workers of several domains are silent at the same time. A shared
// cause, such as an overloaded network or the leader's own machine, is then more likely than a
// failure of each of them, and dissolving their replicas would take much of the fleet out of service.
func isCommonSilence(silences map[string]*silence) bool {
	workerCount, domains := 0, make(map[string]bool)
	for _, s := range silences {
		if !s.isGone {
			workerCount++
			domains[s.worker.Domain] = true
		}
	}
	return workerCount >= commonSilenceWorkers && len(domains) >= commonSilenceDomains
}

// probe queries a worker until it answers or accepts a new connection, at most unresponsiveAttempts
// times.
func (rc *Reconciler) probe(ctx context.Context, w *fleet.Worker) contact {
	var err error
	for range unresponsiveAttempts {
		if _, err = rc.query(ctx, w); err == nil || errors.Is(err, ErrSilent) {
			break
		}
	}
	return rc.contactOf(ctx, w, err)
}

// recordContact records the outcome of calls to a worker that began at the given time.
func (rc *Reconciler) recordContact(w *fleet.Worker, outcome contact, since time.Time) {
	switch outcome {
	case silent:
		rc.recordSilent(w, since)
	case unreachable:
		rc.markUnresponsive(w.ID)
	case answered:
		// The answer has been recorded with the worker's state.
	case unknown:
		// Whether the worker is gone will show when the links are up again.
	}
}

// recordSilent records that a worker has been silent since the given time. The worker keeps its
// membership until it has been silent for too long.
func (rc *Reconciler) recordSilent(w *fleet.Worker, since time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.silences[w.ID] != nil || rc.isUnresponsiveLocked(w.ID) {
		return
	}
	s := &silence{worker: w, since: since, nextQuery: time.Now().Add(silentQueryInterval)}
	if m := rc.membershipOf(w); m.Group != "" {
		s.replica = fleet.GroupKey(m)
	}
	rc.silences[w.ID] = s
	rc.opts.Logger.Info("worker is silent", "worker", w.ID, "replica", s.replica)
}

// querySilent queries the silent workers, and marks those as unresponsive that have been silent for
// too long. The caller must hold rc.mu.
func (rc *Reconciler) querySilent(ctx context.Context, view *fleet.View, now time.Time) {
	isCommon := isCommonSilence(rc.silences)
	for id, s := range rc.silences {
		_, isListed := view.Worker(id)
		switch {
		case s.isGone && !isListed:
			delete(rc.silences, id)
		case s.isGone || s.isQueried:
		case !now.Before(s.deadline(isCommon)):
			s.isGone = true
			rc.opts.Logger.Warn("worker does not answer", "worker", id, "replica", s.replica,
				"silent_ms", now.Sub(s.since).Milliseconds(), "common", isCommon)
			rc.markUnresponsiveLocked(id)
		case !now.Before(s.nextQuery) && rc.silentQueryCount < maxSilentQueries:
			s.isQueried = true
			rc.silentQueryCount++
			rc.tasks.Go(func() { rc.checkSilent(ctx, s) })
		}
	}
}

// checkSilent queries a silent worker. If the worker no longer accepts connections, it is marked as
// unresponsive.
func (rc *Reconciler) checkSilent(ctx context.Context, s *silence) {
	outcome := rc.probe(ctx, s.worker)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.silentQueryCount--
	s.isQueried = false
	s.nextQuery = time.Now().Add(silentQueryInterval)
	if outcome != unreachable || ctx.Err() != nil || rc.silences[s.worker.ID] != s {
		return
	}
	delete(rc.silences, s.worker.ID)
	rc.opts.Logger.Warn("worker does not answer", "worker", s.worker.ID, "replica", s.replica)
	rc.markUnresponsiveLocked(s.worker.ID)
}

// endSilence records that a worker answered, as a member of a group or of none. The caller must hold
// rc.mu.
func (rc *Reconciler) endSilence(id string, m fleet.Membership, now time.Time) {
	s, ok := rc.silences[id]
	if !ok {
		return
	}
	delete(rc.silences, id)
	message := "worker answers again"
	if s.replica != "" && fleet.GroupKey(m) == s.replica {
		message = "replica recovered"
	}
	rc.opts.Logger.Info(message, "replica", s.replica, "worker", id, "silent_ms", now.Sub(s.since).Milliseconds())
}

// isLostToSilence reports whether a worker is treated as gone only because of its silence. The caller must
// hold rc.mu.
func (rc *Reconciler) isLostToSilence(id string) bool {
	s, ok := rc.silences[id]
	return ok && s.isGone && !rc.displaced[id]
}

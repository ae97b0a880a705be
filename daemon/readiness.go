package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/gateway"
	"quartzshelf.dev/rpc"
)

const (
	// contactTimeout is how long a read of the log or an answer of a peer counts
	// as contact. A daemon without contact takes no new requests, since a
	// configuration might be in force that it does not know.
	contactTimeout = 10 * time.Second
	// maxBehindDuration is how long the daemon may lag behind a peer's configuration.
	maxBehindDuration = 10 * time.Second
	// seedTimeout is how long a starting daemon waits for an answer of its seeds.
	seedTimeout = 3 * time.Second
	// readinessInterval is how often the daemon looks whether it takes requests.
	readinessInterval = 200 * time.Millisecond
)

// readiness decides whether this daemon takes requests.
//
// It takes none before it has caught up with the highest configuration offset
// that it can learn of, from the log or, while that is out, from a peer. It
// goes on while the log is out as long as it is in contact with more than half
// of the fleet: then nobody on the other side of a partition can hold more.
// With neither, it stops taking requests after contactWindow.
type readiness struct {
	daemon *Daemon

	mu sync.Mutex
	// stopping is set by a planned stop.
	stopping bool
	// started stays set once the daemon has caught up for the first time.
	started bool
	// entriesExpireAt is until when callers may use the answers given out.
	entriesExpireAt time.Time
	// expected is whom a majority is counted among while the log is out.
	expected expectedMembers
	// behindSince is since when a peer is known to hold a newer configuration.
	behindSince time.Time
}

func newReadiness(d *Daemon) *readiness {
	return &readiness{daemon: d}
}

// renewEntriesExpiry returns until when an answer that lists addresses may be kept.
func (r *readiness) renewEntriesExpiry(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entriesExpireAt = now.Add(r.daemon.settings.KeepEntries)
	return r.entriesExpireAt
}

// latestEntriesExpiry returns until when callers may use the answers given out.
func (r *readiness) latestEntriesExpiry() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entriesExpireAt
}

// setStopping makes the gate refuse every new request.
func (r *readiness) setStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// run tells the other daemons whether this one takes requests, so that they do
// not name it to callers while it does not.
func (r *readiness) run(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	last := reason.Starting
	for ctx.Err() == nil {
		r.updateExpected(time.Now())
		now := reason.Reason("")
		closed := r.checkReady()
		if closed != nil {
			now = closed.Reason
		}
		if now != last {
			r.logChange(closed)
			last = now
		}
		ready := closed == nil
		r.daemon.agent.Table().UpdateSelf(func(m *rpc.Member) { m.Ready = ready })
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// logChange logs a change of whether requests are taken.
func (r *readiness) logChange(closed *gateway.Closed) {
	if closed == nil {
		r.daemon.logger.Info("taking requests")
		return
	}
	r.daemon.logger.Warn("not taking requests", "reason", closed.Reason, "message", closed.Message)
}

// checkReady returns nil while requests are taken.
func (r *readiness) checkReady() *gateway.Closed {
	now := time.Now()
	connected, next := r.isConnected(now), r.daemon.followers[streamConfiguration].Fold().Next()
	behind := next < r.daemon.agent.FleetNext()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !behind {
		r.behindSince = time.Time{}
	} else if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if !r.started && connected && !behind && r.hasConfiguration(next) && r.hasPeerReports() {
		r.started = true
	}
	switch {
	case r.stopping:
		return &gateway.Closed{Reason: reason.Stopping, Message: "this daemon is stopping; use another address"}
	case !r.started:
		return &gateway.Closed{Reason: reason.Starting, Message: "this daemon has not yet read the configuration"}
	case !connected:
		return &gateway.Closed{Reason: reason.Isolated, Message: "this daemon reaches neither the log nor most of its peers"}
	case behind && now.After(r.behindSince.Add(maxBehindDuration)):
		return &gateway.Closed{Reason: reason.Isolated, Message: "this daemon cannot get the newest configuration"}
	}
	return nil
}

// checkMayPublish returns nil while this daemon may publish changes. It may not while most
// daemons are out of its reach: they go on taking requests by what they know, as long as
// more than half of all daemons reach each other.
func (r *readiness) checkMayPublish() *gateway.Closed {
	if closed := r.checkReady(); closed != nil {
		return closed
	}
	return checkReached(r.daemon.agent.Reached(time.Now().Add(-contactTimeout)))
}

// checkReached returns why a daemon that reaches so many of all daemons must not publish, or
// nil: those that it does not reach must be no majority.
func checkReached(reached, members int) *gateway.Closed {
	if 2*reached >= members {
		return nil
	}
	return &gateway.Closed{Reason: reason.Isolated, Message: fmt.Sprintf(
		"this daemon reaches %d of %d daemons; the others might go on without the change", reached, members)}
}

// hasConfiguration reports whether there is a configuration to start with: the log was
// read to its end, or a peer gave one.
func (r *readiness) hasConfiguration(next int64) bool {
	return !r.daemon.followers[streamConfiguration].Confirmed().IsZero() || next > 0
}

// hasPeerReports reports whether the daemon has the reports of its peers, if it
// has any peers.
func (r *readiness) hasPeerReports() bool {
	reached, members := r.daemon.agent.Reached(r.daemon.startedAt)
	if members > 1 {
		return reached > 1
	}
	return len(r.daemon.settings.Seeds) == 0 || time.Now().After(r.daemon.startedAt.Add(seedTimeout))
}

// isConnected reports whether the daemon hears of every new configuration.
func (r *readiness) isConnected(now time.Time) bool {
	since := now.Add(-contactTimeout)
	if r.daemon.followers[streamConfiguration].Confirmed().After(since) {
		return true
	}
	reached, members := r.daemon.agent.Reached(since)
	r.mu.Lock()
	members = max(members, r.expected.count())
	seenOthers := r.expected.seenOthers
	r.mu.Unlock()
	return members > 1 && 2*reached > members || members == 1 && r.isOnlyDaemon(seenOthers)
}

// updateExpected notes which daemons are members now.
func (r *readiness) updateExpected(now time.Time) {
	logRead := r.daemon.followers[streamConfiguration].Confirmed().After(now.Add(-contactTimeout))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected.update(r.daemon.agent.Table().Members(), logRead)
}

// isOnlyDaemon reports whether the daemon, which has no other members, is the only one; then an
// outage of the log leaves nobody who could accept a configuration through us. One that
// has never heard of another daemon may just be cut off from those that it knows of.
func (r *readiness) isOnlyDaemon(seenOthers bool) bool {
	own := r.daemon.listeners.peers.Addr().String()
	hasOtherSeed := slices.ContainsFunc(r.daemon.settings.Seeds, func(seed string) bool { return seed != own })
	if !seenOthers && (hasOtherSeed || r.daemon.arrivals.hasOther(r.daemon.settings.Name)) {
		return false
	}
	return !r.daemon.followers[streamConfiguration].Confirmed().IsZero()
}

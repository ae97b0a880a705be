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
	// contactTimeout is how long a reading of the log, or the answer of one peer, counts as
	// contact. A daemon in contact with neither the log nor a majority takes no new requests,
	// because it could miss a newer configuration.
	contactTimeout = 10 * time.Second
	// maxBehindDuration is how long the daemon may hold an older configuration than a
	// peer and still take requests.
	maxBehindDuration = 10 * time.Second
	// seedTimeout is how long a starting daemon waits for its seeds to answer.
	seedTimeout = 3 * time.Second
	// readinessInterval is the time between two checks of the daemon's readiness.
	readinessInterval = 200 * time.Millisecond
)

// readiness decides whether this daemon takes requests.
//
// A starting daemon takes none until it has applied the newest configuration that it can find. It
// looks in the log or, if the log is unavailable, asks a peer. While the log is unavailable, the
// daemon continues as long as it is in contact with more than half of the fleet. The other side of
// a partition is then a minority, which can't publish a newer configuration. A daemon that reaches
// neither the log nor a majority stops taking requests after contactTimeout.
type readiness struct {
	daemon *Daemon

	mu sync.Mutex
	// isStopping is set once the daemon refuses new requests during a planned stop.
	isStopping bool
	// hasStarted is set when the daemon has caught up for the first time, and stays set.
	hasStarted bool
	// entriesExpireAt is when the newest answer that lists this daemon's address expires.
	entriesExpireAt time.Time
	// expected holds the members that count as the whole fleet while the log is unavailable.
	// The daemon needs contact with a majority of them.
	expected expectedMembers
	// behindSince is when a peer was first seen to hold a newer configuration. It is zero
	// while no peer holds one.
	behindSince time.Time
}

func newReadiness(d *Daemon) *readiness {
	return &readiness{daemon: d}
}

// renewEntriesExpiry returns when a list of addresses that is sent now expires. It records the
// result as the latest expiry time.
func (r *readiness) renewEntriesExpiry(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entriesExpireAt = now.Add(r.daemon.settings.EntriesTTL)
	return r.entriesExpireAt
}

// latestEntriesExpiry returns when the newest answer that lists addresses expires.
func (r *readiness) latestEntriesExpiry() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entriesExpireAt
}

// setStopping makes checkReady refuse every new request.
func (r *readiness) setStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStopping = true
}

// run publishes to the other daemons whether this one takes requests. While this daemon takes none,
// the others leave its address out of their answers to callers.
func (r *readiness) run(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	previous := reason.Starting
	for ctx.Err() == nil {
		r.updateExpected(time.Now())
		current := reason.Reason("")
		closed := r.checkReady()
		if closed != nil {
			current = closed.Reason
		}
		if current != previous {
			r.logChange(closed)
			previous = current
		}
		ready := closed == nil
		r.daemon.agent.Table().UpdateSelf(func(m *rpc.Member) { m.Ready = ready })
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// logChange logs that the daemon takes requests from now on, or why it takes none if closed
// isn't nil.
func (r *readiness) logChange(closed *gateway.Closed) {
	if closed == nil {
		r.daemon.logger.Info("taking requests")
		return
	}
	r.daemon.logger.Warn("not taking requests", "reason", closed.Reason, "message", closed.Message)
}

// checkReady returns why this daemon takes no requests, or nil if it takes them.
func (r *readiness) checkReady() *gateway.Closed {
	now := time.Now()
	isConnected, nextOffset := r.isConnected(now), r.daemon.followers[streamConfiguration].Fold().Next()
	isBehind := nextOffset < r.daemon.agent.FleetConfigNext()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isBehind {
		r.behindSince = time.Time{}
	} else if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if !r.hasStarted && isConnected && !isBehind && r.hasConfiguration(nextOffset) && r.hasPeerReports() {
		r.hasStarted = true
	}
	switch {
	case r.isStopping:
		return &gateway.Closed{Reason: reason.Stopping, Message: "this daemon is stopping; use another address"}
	case !r.hasStarted:
		return &gateway.Closed{Reason: reason.Starting, Message: "this daemon has not yet read the configuration"}
	case !isConnected:
		return &gateway.Closed{Reason: reason.Isolated, Message: "this daemon reaches neither the log nor most of its peers"}
	case isBehind && now.After(r.behindSince.Add(maxBehindDuration)):
		return &gateway.Closed{Reason: reason.Isolated, Message: "this daemon cannot get the newest configuration"}
	}
	return nil
}

// checkMayPublish returns why this daemon may not publish changes, or nil if it may. It may not if
// more than half of the daemons are out of its reach. Those daemons could continue to take requests
// without the change.
func (r *readiness) checkMayPublish() *gateway.Closed {
	if closed := r.checkReady(); closed != nil {
		return closed
	}
	return checkReached(r.daemon.agent.CountReached(time.Now().Add(-contactTimeout)))
}

// checkReached returns why a daemon that reaches the given number of members, itself included, may
// not publish. It returns nil if the members that the daemon doesn't reach aren't a majority.
func checkReached(reached, members int) *gateway.Closed {
	if 2*reached >= members {
		return nil
	}
	return &gateway.Closed{Reason: reason.Isolated, Message: fmt.Sprintf(
		"this daemon reaches %d of %d daemons; the others might go on without the change", reached, members)}
}

// hasConfiguration reports whether the daemon read the log to its end, or has a configuration from
// a peer. The parameter nextOffset is the offset of the next record to apply. If it is zero,
// nothing was applied yet.
func (r *readiness) hasConfiguration(nextOffset int64) bool {
	return !r.daemon.followers[streamConfiguration].Confirmed().IsZero() || nextOffset > 0
}

// hasPeerReports reports whether a peer has answered since the start. If no peer is
// known, it reports whether there are no seeds or seedTimeout has passed.
func (r *readiness) hasPeerReports() bool {
	reached, members := r.daemon.agent.CountReached(r.daemon.startedAt)
	if members > 1 {
		return reached > 1
	}
	return len(r.daemon.settings.Seeds) == 0 || time.Now().After(r.daemon.startedAt.Add(seedTimeout))
}

// isConnected reports whether the daemon would notice a new configuration. This is so if it read
// the log within contactTimeout, reached a majority of the expected members, or is the only daemon.
func (r *readiness) isConnected(now time.Time) bool {
	since := now.Add(-contactTimeout)
	if r.daemon.followers[streamConfiguration].Confirmed().After(since) {
		return true
	}
	reached, members := r.daemon.agent.CountReached(since)
	r.mu.Lock()
	members = max(members, r.expected.count())
	seenOthers := r.expected.seenOthers
	r.mu.Unlock()
	return members > 1 && 2*reached > members || members == 1 && r.isOnlyDaemon(seenOthers)
}

// updateExpected updates the expected members from the current table of members.
func (r *readiness) updateExpected(now time.Time) {
	wasLogRead := r.daemon.followers[streamConfiguration].Confirmed().After(now.Add(-contactTimeout))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected.update(r.daemon.agent.Table().Members(), wasLogRead)
}

// isOnlyDaemon is called when the table of members lists no other daemon. It reports whether the
// fleet consists of this daemon alone. If it does, nobody else can accept a configuration while the
// log is unavailable. It reports false if this daemon has never read the log to its end. It also
// reports false if it has never seen another member but knows others from its seeds or from
// announcements, because it may be cut off from them.
func (r *readiness) isOnlyDaemon(seenOthers bool) bool {
	ownAddress := r.daemon.listeners.peers.Addr().String()
	hasOtherSeed := slices.ContainsFunc(r.daemon.settings.Seeds, func(seed string) bool { return seed != ownAddress })
	if !seenOthers && (hasOtherSeed || r.daemon.announcedDaemons.hasOther(r.daemon.settings.Name)) {
		return false
	}
	return !r.daemon.followers[streamConfiguration].Confirmed().IsZero()
}

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
	// contactWindow is how long a read of the log or an answer of a peer counts
	// as contact. A daemon without contact takes no new requests, since a
	// configuration might be in force that it does not know.
	contactWindow = 10 * time.Second
	// headWindow is how long the daemon may lag behind a peer's configuration.
	headWindow = 10 * time.Second
	// seedWindow is how long a starting daemon waits for an answer of its seeds.
	seedWindow = 3 * time.Second
	// readyEvery is how often the daemon looks whether it takes requests.
	readyEvery = 200 * time.Millisecond
)

// readiness decides whether this daemon takes requests.
//
// It takes none before it has caught up with the highest configuration offset
// that it can learn of, from the log or, while that is out, from a peer. It
// goes on while the log is out as long as it is in contact with more than half
// of the fleet: then nobody on the other side of a partition can hold more.
// With neither, it stops taking requests after contactWindow.
type readiness struct {
	d *Daemon

	mu sync.Mutex
	// stopping is set by a planned stop.
	stopping bool
	// started stays set once the daemon has caught up for the first time.
	started bool
	// entriesUntil is until when callers may use the answers given out.
	entriesUntil time.Time
	// expected is whom a majority is counted among while the log is out.
	expected expected
	// behindSince is since when a peer is known to hold a newer configuration.
	behindSince time.Time
}

func newReadiness(d *Daemon) *readiness {
	return &readiness{d: d}
}

// keepEntries returns until when an answer that lists addresses may be kept.
func (r *readiness) keepEntries(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entriesUntil = now.Add(r.d.settings.KeepEntries)
	return r.entriesUntil
}

// lastEntriesUntil returns until when callers may use the answers given out.
func (r *readiness) lastEntriesUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entriesUntil
}

// stop makes the gate refuse every new request.
func (r *readiness) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// run tells the other daemons whether this one takes requests, so that they do
// not name it to callers while it does not.
func (r *readiness) run(ctx context.Context) {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	last := reason.Starting
	for ctx.Err() == nil {
		r.noteMembers(time.Now())
		now := reason.Reason("")
		closed := r.gate()
		if closed != nil {
			now = closed.Reason
		}
		if now != last {
			r.report(closed)
			last = now
		}
		ready := closed == nil
		r.d.agent.Table().UpdateSelf(func(m *rpc.Member) { m.Ready = ready })
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// report logs a change of whether requests are taken.
func (r *readiness) report(closed *gateway.Closed) {
	if closed == nil {
		r.d.logger.Info("taking requests")
		return
	}
	r.d.logger.Warn("not taking requests", "reason", closed.Reason, "message", closed.Message)
}

// gate returns nil while requests are taken.
func (r *readiness) gate() *gateway.Closed {
	now := time.Now()
	connected, next := r.connected(now), r.d.followers[streamConfiguration].Fold().Next()
	behind := next < r.d.agent.FleetNext()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !behind {
		r.behindSince = time.Time{}
	} else if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if !r.started && connected && !behind && r.known(next) && r.heardPeers() {
		r.started = true
	}
	switch {
	case r.stopping:
		return &gateway.Closed{Reason: reason.Stopping, Message: "this daemon is stopping; use another address"}
	case !r.started:
		return &gateway.Closed{Reason: reason.Starting, Message: "this daemon has not yet read the configuration"}
	case !connected:
		return &gateway.Closed{Reason: reason.Isolated, Message: "this daemon reaches neither the log nor most of its peers"}
	case behind && now.After(r.behindSince.Add(headWindow)):
		return &gateway.Closed{Reason: reason.Isolated, Message: "this daemon cannot get the newest configuration"}
	}
	return nil
}

// publishing returns nil while this daemon may publish changes. It may not while most
// daemons are out of its reach: they go on taking requests by what they know, as long as
// more than half of all daemons reach each other.
func (r *readiness) publishing() *gateway.Closed {
	if closed := r.gate(); closed != nil {
		return closed
	}
	return tooFew(r.d.agent.Reached(time.Now().Add(-contactWindow)))
}

// tooFew returns why a daemon that reaches so many of all daemons must not publish, or
// nil: those that it does not reach must be no majority.
func tooFew(reached, members int) *gateway.Closed {
	if 2*reached >= members {
		return nil
	}
	return &gateway.Closed{Reason: reason.Isolated, Message: fmt.Sprintf(
		"this daemon reaches %d of %d daemons; the others might go on without the change", reached, members)}
}

// known reports whether there is a configuration to start with: the log was
// read to its end, or a peer gave one.
func (r *readiness) known(next int64) bool {
	return !r.d.followers[streamConfiguration].Confirmed().IsZero() || next > 0
}

// heardPeers reports whether the daemon has the reports of its peers, if it
// has any peers.
func (r *readiness) heardPeers() bool {
	reached, members := r.d.agent.Reached(r.d.start)
	if members > 1 {
		return reached > 1
	}
	return len(r.d.settings.Seeds) == 0 || time.Now().After(r.d.start.Add(seedWindow))
}

// connected reports whether the daemon hears of every new configuration.
func (r *readiness) connected(now time.Time) bool {
	since := now.Add(-contactWindow)
	if r.d.followers[streamConfiguration].Confirmed().After(since) {
		return true
	}
	reached, members := r.d.agent.Reached(since)
	r.mu.Lock()
	members = max(members, r.expected.count())
	heard := r.expected.heard
	r.mu.Unlock()
	return members > 1 && 2*reached > members || members == 1 && r.alone(heard)
}

// noteMembers notes which daemons are members now.
func (r *readiness) noteMembers(now time.Time) {
	logRead := r.d.followers[streamConfiguration].Confirmed().After(now.Add(-contactWindow))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected.note(r.d.agent.Table().Members(), logRead)
}

// alone reports whether the daemon, which has no other members, is the only one; then an
// outage of the log leaves nobody who could accept a configuration through us. One that
// has never heard of another daemon may just be cut off from those that it knows of.
func (r *readiness) alone(heard bool) bool {
	own := r.d.listeners.peers.Addr().String()
	seeded := slices.ContainsFunc(r.d.settings.Seeds, func(seed string) bool { return seed != own })
	if !heard && (seeded || r.d.arrived.others(r.d.settings.Name)) {
		return false
	}
	return !r.d.followers[streamConfiguration].Confirmed().IsZero()
}

package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// aliveTimeout is how long a daemon counts as alive after a heartbeat. It spans several
	// heartbeats, since datagrams may be lost.
	aliveTimeout = 800 * time.Millisecond
	// reportedAliveTimeout is how long a daemon counts as alive after a relay received its
	// heartbeat. It exceeds aliveTimeout because a relay's reports are sent only every other round.
	reportedAliveTimeout = aliveTimeout + 2*heartbeatInterval
	// lowerIncarnationDelay is how long an incarnation must have been silent before a lower one
	// may replace it. A restarted daemon has a lower incarnation if its machine's clock was set
	// back.
	lowerIncarnationDelay = 2 * time.Second
	// forgetAfter is how long a silent daemon stays in the table. Until then heartbeats are sent to
	// it, so that it reconnects after a partition.
	forgetAfter = 90 * time.Second
	// assumedAliveTimeout is how long a daemon is assumed to be alive after it became known, if no
	// heartbeat from it has arrived yet.
	assumedAliveTimeout = time.Second
)

// Table holds the state of the other daemons. It is safe for concurrent use.
type Table struct {
	self Identity

	mu    sync.Mutex
	peers map[string]*Peer
	// everKnown holds all daemons that were ever known, this one included.
	everKnown daemonHistory
	// formats records the earlier format versions in use.
	formats formats
	// pausedFor is the duration of this process's latest pause. Until pauseGraceUntil it is
	// deducted from the time that peers have been silent, because heartbeats that arrived during
	// the pause are yet to be read.
	pauseGraceUntil time.Time
	pausedFor       time.Duration
}

// NewTable returns a table that knows only the daemon itself.
func NewTable(self Identity) *Table {
	return &Table{self: self, peers: make(map[string]*Peer), everKnown: daemonHistory{ids: []string{self.ID}, hallDaemons: []Identity{self}}}
}

// Learn adds an incarnation of a daemon to the table, unless it has no address or a later
// incarnation is known. The daemon need not be alive.
func (t *Table) Learn(identity Identity, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if identity.Address == "" {
		return
	}
	t.recordIdentity(identity)
	if t.isSuperseded(identity, now) {
		return
	}
	if known, ok := t.peers[identity.ID]; ok && known.Incarnation == identity.Incarnation {
		return
	}
	t.peers[identity.ID] = &Peer{Heartbeat: Heartbeat{Identity: identity}, addedAt: now}
}

// recordIdentity adds a daemon to those that were ever known.
func (t *Table) recordIdentity(identity Identity) {
	t.everKnown.add(identity.ID)
	if identity.Zone == t.self.Zone {
		t.everKnown.addToHall(identity)
	}
}

// isSuperseded reports whether the table must ignore an identity. It reports true for this daemon's
// address, for this daemon's id with the same or an earlier incarnation, and for any daemon of
// which a later incarnation was seen recently.
func (t *Table) isSuperseded(identity Identity, now time.Time) bool {
	if identity.Address != "" && identity.Address == t.self.Address || identity.ID == t.self.ID && identity.Incarnation <= t.self.Incarnation {
		return true
	}
	known, ok := t.peers[identity.ID]
	return ok && known.Incarnation > identity.Incarnation && now.Sub(known.lastSeen()) < lowerIncarnationDelay
}

// NotePause records that this process was paused for gap until now.
func (t *Table) NotePause(now time.Time, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauseGraceUntil, t.pausedFor = now.Add(aliveTimeout), gap
}

// NoteSuspension records that the machine was suspended until now. The monotonic clock does not
// count suspensions, so recorded times are moved back by the suspended time. Peers do not count as
// silent until the datagrams that arrived meanwhile have been read.
func (t *Table) NoteSuspension(now time.Time, suspended time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		earlier := *p
		for _, at := range []*time.Time{&earlier.LastHeartbeatAt, &earlier.SentAfter, &earlier.reportedAt, &earlier.addedAt} {
			if !at.IsZero() {
				*at = at.Add(-suspended)
			}
		}
		t.peers[id] = &earlier
	}
	t.pauseGraceUntil, t.pausedFor = now.Add(aliveTimeout), suspended
}

// RecordHeartbeat stores a heartbeat. It reports false if the heartbeat is out of date.
func (t *Table) RecordHeartbeat(h Heartbeat, now, sentAfter time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordIdentity(h.Identity)
	if t.isSuperseded(h.Identity, now) {
		return false
	}
	t.formats.record(h.Format.effectiveVersion(), now)
	next := &Peer{Heartbeat: h, LastHeartbeatAt: now, SentAfter: sentAfter, addedAt: now}
	if known, ok := t.peers[h.ID]; ok && known.Incarnation == h.Incarnation {
		if known.SentAfter.After(sentAfter) {
			// Datagrams may arrive out of order.
			known.LastHeartbeatAt = now
			return false
		}
		next.reportedAt, next.addedAt = known.reportedAt, known.addedAt
	}
	t.peers[h.ID] = next
	return true
}

// RecordStatus stores a relay's report on a daemon whose identity is known.
func (t *Table) RecordStatus(s Status, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.peers[s.ID]
	if !ok || shortIncarnation(known.Incarnation) != s.ShortIncarnation {
		return
	}
	at := now.Add(-time.Duration(s.Age) * time.Millisecond)
	if !at.After(known.reportedAt) {
		return
	}
	next := *known
	next.reportedAt = at
	if at.Sub(known.LastHeartbeatAt) > aliveTimeout {
		// The daemon's last heartbeat is out of date.
		next.Heartbeat = Heartbeat{Identity: known.Identity, Ready: s.Ready, Leaving: s.Leaving}
	}
	t.peers[s.ID] = &next
}

// fillBrief sets the fields that a brief heartbeat omits. It reports false if no full heartbeat of
// the same incarnation was received.
func (t *Table) fillBrief(h *Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.peers[h.ID]
	if !ok || known.Incarnation != h.Incarnation || known.LastHeartbeatAt.IsZero() {
		return false
	}
	h.Identity, h.Grant = known.Identity, known.Grant
	return true
}

// peerWithHeartbeat returns the peer with an id and incarnation. It reports false if no heartbeat
// of that incarnation was received.
func (t *Table) peerWithHeartbeat(id string, incarnation int64) (*Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	return p, ok && p.Incarnation == incarnation && !p.LastHeartbeatAt.IsZero()
}

// Alive returns the daemons whose heartbeats this daemon or a relay received recently, sorted by
// id.
func (t *Table) Alive(now time.Time) []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive(now)
}

func (t *Table) alive(now time.Time) []*Peer {
	var all []*Peer
	for _, p := range t.peers {
		if t.hasRecentHeartbeat(p, now) || t.elapsed(p.reportedAt, now) < reportedAliveTimeout {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// hasRecentHeartbeat reports whether a heartbeat of a peer was received within aliveTimeout.
func (t *Table) hasRecentHeartbeat(p *Peer, now time.Time) bool {
	return t.elapsed(p.LastHeartbeatAt, now) < aliveTimeout
}

// elapsed returns the time since at. Shortly after a pause of this process it deducts the pause.
func (t *Table) elapsed(at, now time.Time) time.Duration {
	span := now.Sub(at)
	if now.Before(t.pauseGraceUntil) {
		span -= t.pausedFor
	}
	return span
}

// LeaderAge returns the time since the latest heartbeat of a leader, in milliseconds. Leaders that
// are leaving do not count. It returns 0 if there was no such heartbeat.
func (t *Table) LeaderAge(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := int64(0)
	for _, p := range t.peers {
		if p.OwnClaim == nil || p.Leaving {
			continue
		}
		if leaderAge := now.Sub(p.LastHeartbeatAt).Milliseconds() + 1; age == 0 || leaderAge < age {
			age = leaderAge
		}
	}
	return age
}

// NoteFormat records the earliest format version in a relay's summary.
func (t *Table) NoteFormat(version int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.formats.record(version, now)
}

// OldestFormat returns the earliest format version that was recently in use by any daemon, this
// one included. The fleet uses no features of later versions.
func (t *Table) OldestFormat(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.formats.oldest(now)
}

// AliveTimeout returns how long a daemon counts as alive after a heartbeat.
func (t *Table) AliveTimeout() time.Duration { return aliveTimeout }

// CountSeenSince returns the number of daemons, alive or not, that were seen after the given time
// and were not leaving.
func (t *Table) CountSeenSince(since time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, p := range t.peers {
		if p.lastSeen().After(since) && !p.Leaving {
			count++
		}
	}
	return count
}

// HasCaughtUp reports whether heartbeats that arrived while this process was paused have had time
// to be read.
func (t *Table) HasCaughtUp(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.pauseGraceUntil)
}

// forgetSilent deletes daemons that were silent for longer than forgetAfter.
func (t *Table) forgetSilent(now time.Time) {
	for id, p := range t.peers {
		if now.Sub(p.addedAt) > forgetAfter && now.Sub(p.lastSeen()) > forgetAfter {
			delete(t.peers, id)
		}
	}
}

package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// aliveFor is how long a daemon counts as alive after a heartbeat. It spans
	// several heartbeats, since datagrams get lost.
	aliveFor = 800 * time.Millisecond
	// reportedFor is how long a daemon counts as alive after a relay heard it: a
	// relay reports a daemon until it was silent for aliveFor, at every second
	// heartbeat, and one of its reports may be lost.
	reportedFor = aliveFor + 2*heartbeatEvery
	// lifeAfter is how long a life must have been silent for one with a lower
	// incarnation to follow it: the clock that incarnations come from may have
	// been set back before a restart.
	lifeAfter = 2 * time.Second
	// forgetAfter is how long a silent daemon is still sent heartbeats, so that
	// it finds back after a partition.
	forgetAfter = 90 * time.Second
	// expectFor is how long a daemon that was never heard is expected to be alive
	// after it became known: daemons start within 0.3 s of each other.
	expectFor = time.Second
)

// Table holds what is known of the other daemons. It is safe for concurrent use.
type Table struct {
	self Identity

	mu    sync.Mutex
	peers map[string]*Peer
	// registered holds all daemons that were ever known, this one too.
	registered registered
	// formats holds which versions of the format daemons speak.
	formats formats
	// pausedUntil is until when silence counts less: after this process stood
	// still for pausedFor, heartbeats that waited for it have yet to be read.
	pausedUntil time.Time
	pausedFor   time.Duration
}

// NewTable returns a table that knows nobody.
func NewTable(self Identity) *Table {
	return &Table{self: self, peers: make(map[string]*Peer), registered: registered{ids: []string{self.ID}, hall: []Identity{self}}}
}

// Learn notes that a life of a daemon exists. It need not be alive.
func (t *Table) Learn(identity Identity, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if identity.Address == "" {
		return
	}
	t.register(identity)
	if t.outlived(identity, now) {
		return
	}
	if held, ok := t.peers[identity.ID]; ok && held.Incarnation == identity.Incarnation {
		return
	}
	t.peers[identity.ID] = &Peer{Heartbeat: Heartbeat{Identity: identity}, addedAt: now}
}

// register notes a daemon among all that were ever known.
func (t *Table) register(identity Identity) {
	t.registered.add(identity.ID)
	if identity.Zone == t.self.Zone {
		t.registered.addToHall(identity)
	}
}

// outlived reports whether a life is this daemon's own, or an earlier one of it
// or of another daemon.
func (t *Table) outlived(identity Identity, now time.Time) bool {
	if identity.Address != "" && identity.Address == t.self.Address || identity.ID == t.self.ID && identity.Incarnation <= t.self.Incarnation {
		return true
	}
	held, ok := t.peers[identity.ID]
	return ok && held.Incarnation > identity.Incarnation && now.Sub(held.lastSign()) < lifeAfter
}

// HeldUp notes that this process stood still for a while up to now.
func (t *Table) HeldUp(now time.Time, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausedUntil, t.pausedFor = now.Add(aliveFor), gap
}

// Slept notes that the machine was suspended for a while up to now, which the steady clock
// does not count: others were heard so much earlier, and what waits has yet to be read.
func (t *Table) Slept(now time.Time, asleep time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		earlier := *p
		for _, at := range []*time.Time{&earlier.HeardAt, &earlier.SentAfter, &earlier.reportedAt, &earlier.addedAt} {
			if !at.IsZero() {
				*at = at.Add(-asleep)
			}
		}
		t.peers[id] = &earlier
	}
	t.pausedUntil, t.pausedFor = now.Add(aliveFor), asleep
}

// Hear takes a heartbeat. It reports false for one that is out of date.
func (t *Table) Hear(h Heartbeat, now, sentAfter time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.register(h.Identity)
	if t.outlived(h.Identity, now) {
		return false
	}
	t.formats.note(h.Format.version(), now)
	next := &Peer{Heartbeat: h, HeardAt: now, SentAfter: sentAfter, addedAt: now}
	if held, ok := t.peers[h.ID]; ok && held.Incarnation == h.Incarnation {
		if held.SentAfter.After(sentAfter) {
			// Datagrams may overtake each other.
			held.HeardAt = now
			return false
		}
		next.reportedAt, next.addedAt = held.reportedAt, held.addedAt
	}
	t.peers[h.ID] = next
	return true
}

// Report takes a relay's word about a daemon whose identity is known.
func (t *Table) Report(s Status, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.peers[s.ID]
	if !ok || lifeOf(held.Incarnation) != s.Life {
		return
	}
	at := now.Add(-time.Duration(s.Age) * time.Millisecond)
	if !at.After(held.reportedAt) {
		return
	}
	next := *held
	next.reportedAt = at
	if at.Sub(held.HeardAt) > aliveFor {
		// What the daemon itself reported is out of date.
		next.Heartbeat = Heartbeat{Identity: held.Identity, Ready: s.Ready, Leaving: s.Leaving}
	}
	t.peers[s.ID] = &next
}

// complete fills in what a brief heartbeat leaves out, and reports false if no
// whole one of the same life was heard.
func (t *Table) complete(h *Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.peers[h.ID]
	if !ok || held.Incarnation != h.Incarnation || held.HeardAt.IsZero() {
		return false
	}
	h.Identity, h.Grant = held.Identity, held.Grant
	return true
}

// heard returns the peer that a life of a daemon is, and false if it was never heard.
func (t *Table) heard(id string, incarnation int64) (*Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	return p, ok && p.Incarnation == incarnation && !p.HeardAt.IsZero()
}

// Alive returns the daemons that are known to live, sorted by id: those heard of
// late, and those that a relay heard.
func (t *Table) Alive(now time.Time) []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive(now)
}

func (t *Table) alive(now time.Time) []*Peer {
	var all []*Peer
	for _, p := range t.peers {
		if t.isHeard(p, now) || t.since(p.reportedAt, now) < reportedFor {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// isHeard reports whether a daemon was itself heard of late.
func (t *Table) isHeard(p *Peer, now time.Time) bool { return t.since(p.HeardAt, now) < aliveFor }

// since returns how long ago a time was, less what this process may not have
// noticed while it stood still.
func (t *Table) since(at, now time.Time) time.Duration {
	span := now.Sub(at)
	if now.Before(t.pausedUntil) {
		span -= t.pausedFor
	}
	return span
}

// LeaderAge returns how long ago a leader that stays was last heard, in
// milliseconds; 0 if none was.
func (t *Table) LeaderAge(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := int64(0)
	for _, p := range t.peers {
		if p.Leads == nil || p.Leaving {
			continue
		}
		if heard := now.Sub(p.HeardAt).Milliseconds() + 1; age == 0 || heard < age {
			age = heard
		}
	}
	return age
}

// NoteFormat notes that a relay heard daemons of which the earliest version is the given one.
func (t *Table) NoteFormat(version int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.formats.note(version, now)
}

// OldestFormat returns the earliest version of the format that a daemon in touch speaks, this
// one included: the fleet acts by what that one understands.
func (t *Table) OldestFormat(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.formats.oldest(now)
}

// Patience returns how long a daemon counts as alive after a heartbeat.
func (t *Table) Patience() time.Duration { return aliveFor }

// Known returns how many daemons were known to live since the given time and
// were not leaving, whether they are alive or not.
func (t *Table) Known(since time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := 0
	for _, p := range t.peers {
		if p.lastSign().After(since) && !p.Leaving {
			known++
		}
	}
	return known
}

// Settled reports whether heartbeats that waited while this process stood still
// have had time to be read.
func (t *Table) Settled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.pausedUntil)
}

// forget drops daemons that were silent for long.
func (t *Table) forget(now time.Time) {
	for id, p := range t.peers {
		if now.Sub(p.addedAt) > forgetAfter && now.Sub(p.lastSign()) > forgetAfter {
			delete(t.peers, id)
		}
	}
}

package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// aliveFor is how long a daemon counts as alive after a beat. It spans
	// several beats, since datagrams get lost. Where daemons are told in turns,
	// aliveTurn is added for each further turn.
	aliveFor  = 800 * time.Millisecond
	aliveTurn = 2 * beatEvery
	// lifeAfter is how long a life must have been silent for one with a lower
	// incarnation to follow it: the clock that incarnations come from may have
	// been set back before a restart.
	lifeAfter = 2 * time.Second
	// forgetAfter is how long a silent daemon is still sent beats, so that it
	// finds back after a partition.
	forgetAfter = 90 * time.Second
)

// Table holds what is known of the other daemons. It is safe for concurrent use.
type Table struct {
	self Identity

	mu    sync.Mutex
	peers map[string]*Peer
	// seeds holds the addresses of daemons that were not heard yet, with the
	// time until which they are tried.
	seeds map[string]time.Time
	// pausedUntil is until when silence counts less: after this process stood
	// still for pausedFor, beats that waited for it have yet to be read.
	pausedUntil time.Time
	pausedFor   time.Duration
}

// NewTable returns a table that knows nobody.
func NewTable(self Identity) *Table {
	return &Table{self: self, peers: make(map[string]*Peer), seeds: make(map[string]time.Time)}
}

// AddSeed notes an address at which a daemon may be.
func (t *Table) AddSeed(address string, now time.Time) {
	if address == t.self.Address {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds[address] = now.Add(forgetAfter)
}

// HeldUp notes that this process stood still for a while up to now.
func (t *Table) HeldUp(now time.Time, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausedUntil, t.pausedFor = now.Add(aliveFor), gap
}

// Hear takes a beat. It reports false for one that is out of date.
func (t *Table) Hear(b Beat, now, sentAfter time.Time) bool {
	if b.ID == t.self.ID && b.Incarnation <= t.self.Incarnation {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.peers[b.ID]
	if ok && held.Incarnation > b.Incarnation && now.Sub(held.HeardAt) < lifeAfter {
		return false
	}
	if ok && held.Incarnation == b.Incarnation && held.SentAfter.After(sentAfter) {
		// Datagrams may overtake each other.
		held.HeardAt = now
		return false
	}
	t.peers[b.ID] = &Peer{Beat: b, HeardAt: now, SentAfter: sentAfter}
	delete(t.seeds, b.Address)
	return true
}

// complete fills in what a brief beat leaves out, and reports false if no whole
// one of the same life was heard.
func (t *Table) complete(b *Beat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.peers[b.ID]
	if !ok || held.Incarnation != b.Incarnation {
		return false
	}
	b.Identity, b.Grant = held.Identity, held.Grant
	return true
}

// Alive returns the daemons that were heard of late, sorted by id.
func (t *Table) Alive(now time.Time) []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := now.Add(-t.patience())
	if now.Before(t.pausedUntil) {
		limit = limit.Add(-t.pausedFor)
	}
	var all []*Peer
	for _, p := range t.peers {
		if p.HeardAt.After(limit) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// patience returns how long a daemon counts as alive after a beat.
func (t *Table) patience() time.Duration {
	further := (len(t.peers) - 1) / fanout
	return aliveFor + time.Duration(max(further, 0))*aliveTurn
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

// leaderAddress returns the address of the leader heard last, or an empty string.
func (t *Table) leaderAddress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leader *Peer
	for _, p := range t.peers {
		if p.Leads != nil && (leader == nil || p.HeardAt.After(leader.HeardAt)) {
			leader = p
		}
	}
	if leader == nil {
		return ""
	}
	return leader.Address
}

// Patience returns how long a daemon counts as alive after a beat.
func (t *Table) Patience() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.patience()
}

// Known returns how many daemons were heard within the given time and were not
// leaving, whether they are alive or not.
func (t *Table) Known(since time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := 0
	for _, p := range t.peers {
		if p.HeardAt.After(since) && !p.Leaving {
			known++
		}
	}
	return known
}

// Settled reports whether beats that waited while this process stood still
// have had time to be read.
func (t *Table) Settled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.pausedUntil)
}

// destinations returns the addresses to send beats to, and forgets those that
// were silent for long.
func (t *Table) destinations(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for id, p := range t.peers {
		if now.Sub(p.HeardAt) > forgetAfter {
			delete(t.peers, id)
			continue
		}
		all = append(all, p.Address)
	}
	for address, until := range t.seeds {
		if now.After(until) {
			delete(t.seeds, address)
			continue
		}
		all = append(all, address)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Package membership tracks the daemons of the fleet and which of them are alive. It implements a
// SWIM-style protocol: members probe a few peers, suspect unresponsive ones before declaring them
// dead, and refute suspicions with a higher incarnation.
package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quartzshelf.dev/rpc"
)

const (
	// tombstoneRetention is how long a dead or departed member is kept, so that outdated entries of it
	// are ignored.
	tombstoneRetention = 10 * time.Minute
	// sendFactor is multiplied by the logarithm of the fleet size to get the number of times that a
	// change is sent.
	sendFactor = 3
)

// entry is the table's record of one member. The member is shared with readers, so it is replaced
// rather than modified.
type entry struct {
	member *rpc.Member
	// declareDeadAt is when a suspected member is declared dead.
	declareDeadAt time.Time
	// removeAt is when a dead or departed member is removed.
	removeAt time.Time
	// remainingSends is the number of times that the entry's last change is still to be sent.
	remainingSends int
}

// Table holds what one daemon knows of all daemons. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	self    *rpc.Member
	entries map[string]*entry
	// version increases with every change.
	version uint64
	// cache holds the lists that are derived from the entries.
	cache derivedLists
	// suspicionTimeout is how long a suspected member has to refute the suspicion.
	suspicionTimeout time.Duration
}

// derivedLists holds what is computed from the entries once per version of the table.
type derivedLists struct {
	version uint64
	isBuilt bool
	members []*rpc.Member
	alive   []*rpc.Member
	hash    uint64
}

// NewTable returns a table that contains only self.
func NewTable(self *rpc.Member, suspicionTimeout time.Duration) *Table {
	t := &Table{
		self:             proto.CloneOf(self),
		entries:          make(map[string]*entry),
		suspicionTimeout: suspicionTimeout,
	}
	t.entries[self.Id] = &entry{member: t.self, remainingSends: 1}
	return t
}

// Self returns the daemon's own entry, which must not be modified.
func (t *Table) Self() *rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// UpdateSelf changes the daemon's own entry with the given function, and schedules the change to be
// sent.
func (t *Table) UpdateSelf(change func(*rpc.Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := proto.CloneOf(t.self)
	change(changed)
	if proto.Equal(changed, t.self) {
		return
	}
	changed.Beat++
	t.setSelf(changed)
}

// setSelf replaces the daemon's own entry and schedules it to be sent.
func (t *Table) setSelf(m *rpc.Member) {
	t.self = m
	e := t.entries[m.Id]
	e.member = m
	t.markChanged(e)
}

// Members returns all entries in the table, sorted by id. The list is shared and must not be
// modified.
func (t *Table) Members() []*rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deriveLists().members
}

// Alive returns the members that are neither dead nor departed, sorted by id; suspected members are
// included. The list is shared and must not be modified.
func (t *Table) Alive() []*rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deriveLists().alive
}

// deriveLists returns the lists of the current version. It builds them if the table has changed.
func (t *Table) deriveLists() *derivedLists {
	if t.cache.isBuilt && t.cache.version == t.version {
		return &t.cache
	}
	v := derivedLists{version: t.version, isBuilt: true, members: make([]*rpc.Member, 0, len(t.entries))}
	for _, e := range t.entries {
		v.members = append(v.members, e.member)
		v.hash += entryHash(e.member)
	}
	slices.SortFunc(v.members, func(a, b *rpc.Member) int { return strings.Compare(a.Id, b.Id) })
	for _, m := range v.members {
		if !isGone(m.State) {
			v.alive = append(v.alive, m)
		}
	}
	t.cache = v
	return &t.cache
}

// entryHash returns a hash of the fields by which supersedes compares entries.
func entryHash(m *rpc.Member) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(m.Id))
	return h.Sum64() * (m.Incarnation*8 + m.Beat*64 + uint64(m.State) + 1)
}

// State returns the state of a member; unknown members count as dead.
func (t *Table) State(id string) rpc.MemberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		return e.member.State
	}
	return rpc.MemberState_DEAD
}

// Member returns the entry of a member, which must not be modified.
func (t *Table) Member(id string) (*rpc.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return nil, false
	}
	return e.member, true
}

// Version returns a number that increases with every change of the table.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Hash returns a hash of the table's content; equal tables have equal hashes.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deriveLists().hash
}

// Merge applies the entries that another daemon sent.
func (t *Table) Merge(members []*rpc.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		t.merge(m)
	}
}

func (t *Table) merge(m *rpc.Member) {
	if m.Id == "" {
		return
	}
	if m.Id == t.self.Id {
		t.refute(m)
		return
	}
	e, known := t.entries[m.Id]
	if known && !supersedes(m, e.member) {
		return
	}
	if !known {
		e = &entry{}
		t.entries[m.Id] = e
	}
	wasSuspect := known && e.member.State == rpc.MemberState_SUSPECT
	e.member = proto.CloneOf(m)
	t.setDeadlines(e, wasSuspect)
	t.markChanged(e)
}

// setDeadlines sets when the entry is declared dead or removed, according to its state. An existing
// deadline of a suspected member is kept.
func (t *Table) setDeadlines(e *entry, wasSuspect bool) {
	now := time.Now()
	switch e.member.State {
	case rpc.MemberState_SUSPECT:
		if !wasSuspect {
			e.declareDeadAt = now.Add(t.suspicionTimeout)
		}
	case rpc.MemberState_DEAD, rpc.MemberState_LEFT:
		e.removeAt = now.Add(tombstoneRetention)
	}
}

// refute raises this daemon's incarnation if m, a received entry of this daemon, does not list it
// as alive or has a higher incarnation. The latter is an entry of an earlier process.
func (t *Table) refute(m *rpc.Member) {
	isAccused := m.State != rpc.MemberState_ALIVE && m.Incarnation >= t.self.Incarnation
	if !isAccused && m.Incarnation <= t.self.Incarnation {
		return
	}
	if t.self.State == rpc.MemberState_LEFT {
		return
	}
	renewed := proto.CloneOf(t.self)
	renewed.Incarnation = m.Incarnation + 1
	t.setSelf(renewed)
}

// supersedes reports whether update is newer than old.
func supersedes(update, old *rpc.Member) bool {
	if update.Incarnation != old.Incarnation {
		return update.Incarnation > old.Incarnation
	}
	if update.State != old.State {
		return update.State > old.State
	}
	return update.Beat > old.Beat
}

// Suspect marks a member that did not answer a probe.
func (t *Table) Suspect(id string) {
	t.raiseState(id, rpc.MemberState_SUSPECT)
}

// raiseState sets the state of another member unless that is in the same or a later state.
func (t *Table) raiseState(id string, state rpc.MemberState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || id == t.self.Id || e.member.State >= state {
		return
	}
	t.setState(e, state)
}

// setState sets the state of an entry and schedules the change to be sent.
func (t *Table) setState(e *entry, state rpc.MemberState) {
	changed := proto.CloneOf(e.member)
	changed.State = state
	e.member = changed
	t.setDeadlines(e, false)
	t.markChanged(e)
}

// Leave marks this daemon as departed permanently.
func (t *Table) Leave() {
	t.UpdateSelf(func(m *rpc.Member) { m.State = rpc.MemberState_LEFT })
}

// Expire declares suspected members dead after the suspicion timeout. It removes members that have
// been dead or departed for tombstoneRetention.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for id, e := range t.entries {
		switch {
		case e.member.State == rpc.MemberState_SUSPECT && !now.Before(e.declareDeadAt):
			t.setState(e, rpc.MemberState_DEAD)
		case isGone(e.member.State) && id != t.self.Id && !now.Before(e.removeAt):
			delete(t.entries, id)
			t.version++
		}
	}
}

// PendingChanges returns up to limit entries with changes that are still to be sent, and counts
// them as sent once. Those with the most remaining sends come first.
func (t *Table) PendingChanges(limit int) []*rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var pending []*entry
	for _, e := range t.entries {
		if e.remainingSends > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.remainingSends, a.remainingSends), strings.Compare(a.member.Id, b.member.Id))
	})
	pending = pending[:min(limit, len(pending))]
	changes := make([]*rpc.Member, 0, len(pending))
	for _, e := range pending {
		e.remainingSends--
		changes = append(changes, e.member)
	}
	return changes
}

// markChanged records a change of e and schedules it to be sent.
func (t *Table) markChanged(e *entry) {
	t.version++
	rounds := 1
	for n := len(t.entries); n > 1; n /= 2 {
		rounds++
	}
	e.remainingSends = sendFactor * rounds
}

func isGone(s rpc.MemberState) bool {
	return s == rpc.MemberState_DEAD || s == rpc.MemberState_LEFT
}

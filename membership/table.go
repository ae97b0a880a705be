// Package membership tells a daemon which other daemons there are and which of
// them are alive. It follows the SWIM family of protocols: members probe a few
// peers, suspect before they condemn, and an accused member refutes with a
// higher incarnation.
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
	// forgetAfter is how long a dead member is remembered, so that its old
	// messages stay refused.
	forgetAfter = 10 * time.Minute
	// spreadFactor times the logarithm of the fleet is how often a change is sent on.
	spreadFactor = 3
)

// entry is what the table holds of one member. The member is replaced, never
// changed, since readers share it.
type entry struct {
	member *rpc.Member
	// condemnAt is when a suspected member is taken for dead.
	condemnAt time.Time
	// forgetAt is when a dead or departed member is dropped.
	forgetAt time.Time
	// sends is how often the entry's last change is still to be sent on.
	sends int
}

// Table is the state of membership as one daemon sees it. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	self    *rpc.Member
	entries map[string]*entry
	version uint64
	// views is what was derived from the entries at the version it names.
	views views
	// suspectFor is how long a suspected member may take to refute.
	suspectFor time.Duration
}

// views are lists that are made once for each version of the table.
type views struct {
	version uint64
	made    bool
	members []*rpc.Member
	alive   []*rpc.Member
	hash    uint64
}

// NewTable returns a table that knows self alone.
func NewTable(self *rpc.Member, suspectFor time.Duration) *Table {
	t := &Table{
		self:       proto.CloneOf(self),
		entries:    make(map[string]*entry),
		suspectFor: suspectFor,
	}
	t.entries[self.Id] = &entry{member: t.self, sends: 1}
	return t
}

// Self returns the daemon's own entry, which must not be changed.
func (t *Table) Self() *rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// UpdateSelf changes the daemon's own entry and spreads the change.
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

// setSelf replaces the daemon's own entry and spreads it.
func (t *Table) setSelf(m *rpc.Member) {
	t.self = m
	e := t.entries[m.Id]
	e.member = m
	t.touch(e)
}

// Members returns all entries but those of forgotten members, sorted by id.
// The list is shared: it must not be changed.
func (t *Table) Members() []*rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view().members
}

// Alive returns the members that are neither dead nor departed, sorted by id;
// suspected ones count as alive. The list is shared: it must not be changed.
func (t *Table) Alive() []*rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view().alive
}

// view returns the lists of the present version.
func (t *Table) view() *views {
	if t.views.made && t.views.version == t.version {
		return &t.views
	}
	v := views{version: t.version, made: true, members: make([]*rpc.Member, 0, len(t.entries))}
	for _, e := range t.entries {
		v.members = append(v.members, e.member)
		v.hash += entryHash(e.member)
	}
	slices.SortFunc(v.members, func(a, b *rpc.Member) int { return strings.Compare(a.Id, b.Id) })
	for _, m := range v.members {
		if !gone(m.State) {
			v.alive = append(v.alive, m)
		}
	}
	t.views = v
	return &t.views
}

// entryHash returns a hash of what a merge looks at.
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

// Member returns the entry of a member, which must not be changed.
func (t *Table) Member(id string) (*rpc.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return nil, false
	}
	return e.member, true
}

// Version grows with every change of the table.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Hash returns a hash of the table's content; equal tables have equal hashes.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view().hash
}

// Merge takes the entries that another daemon sent.
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
	t.schedule(e, wasSuspect)
	t.touch(e)
}

// schedule sets the deadlines that go with the entry's state.
func (t *Table) schedule(e *entry, wasSuspect bool) {
	now := time.Now()
	switch e.member.State {
	case rpc.MemberState_SUSPECT:
		if !wasSuspect {
			e.condemnAt = now.Add(t.suspectFor)
		}
	case rpc.MemberState_DEAD, rpc.MemberState_LEFT:
		e.forgetAt = now.Add(forgetAfter)
	}
}

// refute answers an accusation or a trace of an earlier life of this daemon
// with a higher incarnation.
func (t *Table) refute(m *rpc.Member) {
	accused := m.State != rpc.MemberState_ALIVE && m.Incarnation >= t.self.Incarnation
	if !accused && m.Incarnation <= t.self.Incarnation {
		return
	}
	if t.self.State == rpc.MemberState_LEFT {
		return
	}
	renewed := proto.CloneOf(t.self)
	renewed.Incarnation = m.Incarnation + 1
	t.setSelf(renewed)
}

// supersedes reports whether news replaces old.
func supersedes(news, old *rpc.Member) bool {
	if news.Incarnation != old.Incarnation {
		return news.Incarnation > old.Incarnation
	}
	if news.State != old.State {
		return news.State > old.State
	}
	return news.Beat > old.Beat
}

// Suspect marks a member that did not answer a probe.
func (t *Table) Suspect(id string) {
	t.mark(id, rpc.MemberState_SUSPECT)
}

func (t *Table) mark(id string, state rpc.MemberState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || id == t.self.Id || e.member.State >= state {
		return
	}
	t.setState(e, state)
}

// setState moves an entry to a later state and spreads the change.
func (t *Table) setState(e *entry, state rpc.MemberState) {
	changed := proto.CloneOf(e.member)
	changed.State = state
	e.member = changed
	t.schedule(e, false)
	t.touch(e)
}

// Leave marks this daemon as departed for good.
func (t *Table) Leave() {
	t.UpdateSelf(func(m *rpc.Member) { m.State = rpc.MemberState_LEFT })
}

// Expire condemns suspects whose time is over and forgets the long dead.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for id, e := range t.entries {
		switch {
		case e.member.State == rpc.MemberState_SUSPECT && !now.Before(e.condemnAt):
			t.setState(e, rpc.MemberState_DEAD)
		case gone(e.member.State) && id != t.self.Id && !now.Before(e.forgetAt):
			delete(t.entries, id)
			t.version++
		}
	}
}

// News returns up to limit entries whose last change is still to be sent on,
// those sent least first, and counts them as sent.
func (t *Table) News(limit int) []*rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []*entry
	for _, e := range t.entries {
		if e.sends > 0 {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), strings.Compare(a.member.Id, b.member.Id))
	})
	fresh = fresh[:min(limit, len(fresh))]
	news := make([]*rpc.Member, 0, len(fresh))
	for _, e := range fresh {
		e.sends--
		news = append(news, e.member)
	}
	return news
}

// touch notes that e changed, so that it spreads.
func (t *Table) touch(e *entry) {
	t.version++
	rounds := 1
	for n := len(t.entries); n > 1; n /= 2 {
		rounds++
	}
	e.sends = spreadFactor * rounds
}

func gone(s rpc.MemberState) bool {
	return s == rpc.MemberState_DEAD || s == rpc.MemberState_LEFT
}

package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Change is the addition, update or removal of one worker in the list.
type Change struct {
	ID string `json:"id"`
	// Worker is nil if the worker was removed.
	Worker *Worker `json:"worker,omitempty"`
	// OfHead is set by the inventory if the worker is a head, or was one before the change.
	OfHead bool `json:"-"`
}

// Announcement is a leader's decision about a group, sent ahead of the worker list.
type Announcement struct {
	Group   string `json:"group"`
	Epoch   int64  `json:"epoch"`
	Service string `json:"service"`
	Model   string `json:"model"`
	// Head is the member that receives the group's requests.
	Head string `json:"head"`
	// Open says that the head takes requests; otherwise it must not receive any.
	Open bool `json:"open"`
}

// pendingAnnouncement is an announcement that the list has not superseded yet.
type pendingAnnouncement struct {
	Announcement
	// expiresAt is when the announcement expires if the list does not show the head.
	expiresAt time.Time
}

// Inventory holds the listed workers. It is safe for concurrent use.
type Inventory struct {
	mu            sync.Mutex
	workers       map[string]*Worker
	announcements map[string]pendingAnnouncement
	position      int64
	// scope is which workers are requested; headsOnly is set while only heads are held.
	scope     Scope
	headsOnly bool
	confirmed time.Time
	view      atomic.Pointer[View]
	journal   []batch
	decisions decisionLog
	changed   chan struct{}
	// peerUpdates receives when there is something new to send to peers.
	peerUpdates chan struct{}
	// lapseGrace is how long a worker is kept whose entry disappeared right after an outage.
	lapseGrace time.Duration
	// firstListAt is when the first list was applied.
	firstListAt time.Time
	// outageEnd is when the list became available again after the last outage.
	outageEnd time.Time
	// toleratedUntil holds the workers whose entries disappeared right after an outage, with the
	// time until which they still count as listed.
	toleratedUntil map[string]time.Time
}

const (
	// outageThreshold is the time without a confirmation of the list that counts as an outage.
	outageThreshold = 1600 * time.Millisecond
	// lapseWindow is how long after an outage a missing entry may have expired only because its
	// worker could not write either.
	lapseWindow = 2500 * time.Millisecond
	// lapseHeartbeats is how many heartbeats such a worker has to write again. The time is limited
	// to the maximum for leaving workers less leaveMargin.
	lapseHeartbeats = 3
	leaveMargin     = 300 * time.Millisecond
)

// closedRetention is how long a closed group without listed workers is remembered: longer than its
// members are usually disconnected.
const closedRetention = 30 * time.Second

// maxJournalBatches is how many batches of changes are kept for peers.
const maxJournalBatches = 256

// batch holds the changes between two positions.
type batch struct {
	from, to int64
	changes  []Change
	isExact  bool
	// headsOnly is set if the batch holds the changes of heads only.
	headsOnly bool
}

// NewInventory returns an empty inventory of workers that write to the list at every heartbeat. A
// worker that left the list must get no more requests after leaveBound, so missing entries are
// never tolerated for longer; zero means no such limit.
func NewInventory(heartbeat, leaveBound time.Duration) *Inventory {
	lapseGrace := lapseHeartbeats * heartbeat
	if leaveBound > 0 {
		lapseGrace = min(lapseGrace, max(leaveBound-leaveMargin, 0))
	}
	i := &Inventory{
		lapseGrace: lapseGrace, toleratedUntil: make(map[string]time.Time),
		workers: make(map[string]*Worker), announcements: make(map[string]pendingAnnouncement),
		changed: make(chan struct{}, 1), peerUpdates: make(chan struct{}, 1),
	}
	i.view.Store(newView(nil, nil))
	return i
}

// View returns the last known workers and replicas.
func (i *Inventory) View() *View { return i.view.Load() }

// Changed receives after changes. Several changes may be combined into one signal.
func (i *Inventory) Changed() <-chan struct{} { return i.changed }

// News receives after changes and decisions that peers may lack. Several may be combined into one
// signal.
func (i *Inventory) News() <-chan struct{} { return i.peerUpdates }

// Position returns the position after the newest change applied.
func (i *Inventory) Position() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.position
}

// KnownSince returns when the first list was applied, or the zero time.
func (i *Inventory) KnownSince() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.firstListAt
}

// Confirmed returns the latest time at which the list is known to have been the newest.
func (i *Inventory) Confirmed() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.confirmed
}

// Replace applies a whole list that was requested at sent and is complete up to position. A list
// older than the current one is ignored, unless a whole list is needed and all later changes are in
// the journal: a list that changes while it is read is outdated by then.
func (i *Inventory) Replace(all []Change, position int64, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position < i.position {
		since, ok := i.journalSince(position)
		if !ok || since.Heads || !i.needsList() {
			return
		}
		all, position = slices.Concat(all, since.Changes), i.position
	}
	i.headsOnly = i.scope == HeadsOnly
	i.replaceList(all, position, sent)
}

// replaceList applies a list. The mutex must be held.
func (i *Inventory) replaceList(all []Change, position int64, sent time.Time) {
	i.detectOutage(sent)
	held := i.workers
	restored := i.position > 0 && EraOf(position) > EraOf(i.position)
	if restored {
		// Entries lost by the restore are written again. Until then missing entries are tolerated.
		i.outageEnd = time.Now()
	}
	i.workers = make(map[string]*Worker, len(all))
	for _, c := range all {
		if c.Worker == nil || !i.isInScope(c.Worker) {
			delete(i.workers, c.ID)
			continue
		}
		i.workers[c.ID] = c.Worker.mergedWith(held[c.ID])
		if h, ok := held[c.ID]; restored && ok && c.Worker.isOlderThan(h) {
			// A worker that announced that it leaves does not return.
			i.workers[c.ID] = h
		}
		delete(i.toleratedUntil, c.ID)
	}
	for id, w := range held {
		if _, listed := i.workers[id]; !listed && i.tolerateMissing(id) {
			i.workers[id] = w
		}
	}
	i.journal = nil
	i.advance(position, sent)
	i.publish()
}

// Take applies the result of a read that was sent at the given time. An empty result confirms the
// current list.
func (i *Inventory) Take(d Delta, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.applyDelta(d.withExactness(), sent)
}

// ApplyPart applies part of the changes that were available when a read was sent. It confirms
// nothing, since the remaining changes may remove workers.
func (i *Inventory) ApplyPart(d Delta, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.detectOutage(sent)
	i.applyDelta(d.withExactness(), time.Time{})
}

// Apply applies changes that lead from the current position to the given one, returned by a read
// that was sent at the given time.
func (i *Inventory) Apply(changes []Change, position int64, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.applyDelta(Delta{From: i.position, To: position, Changes: changes}.withExactness(), sent)
}

func (i *Inventory) applyDelta(d Delta, sent time.Time) {
	if d.To < i.position {
		return
	}
	d = d.since(i.position)
	changes, position := d.Changes, d.To
	i.detectOutage(sent)
	i.markHeads(changes)
	if len(changes) > 0 || d.Heads {
		i.journal = append(i.journal, batch{from: i.position, to: position, changes: changes, isExact: d.Exact, headsOnly: d.Heads})
		i.journal = i.journal[max(len(i.journal)-maxJournalBatches, 0):]
	}
	for _, c := range changes {
		if c.Worker == nil {
			if _, held := i.workers[c.ID]; held && !i.tolerateMissing(c.ID) {
				delete(i.workers, c.ID)
			}
			continue
		}
		delete(i.toleratedUntil, c.ID)
		if !i.isInScope(c.Worker) {
			delete(i.workers, c.ID)
			continue
		}
		i.workers[c.ID] = c.Worker.mergedWith(i.workers[c.ID])
	}
	i.advance(position, sent)
	if i.expireTolerated() || len(changes) > 0 {
		i.publish()
	}
}

// Since returns the changes from a position to the current one, for a peer. They may start at an
// earlier position; applying changes again in order is harmless. If whole is set, they are the
// whole list instead.
func (i *Inventory) Since(from int64) (d Delta, whole bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	d = Delta{From: from, To: i.position}
	if from == i.position {
		return d, false
	}
	if held, ok := i.journalSince(from); ok {
		return held, false
	}
	for id, w := range i.workers {
		d.Changes = append(d.Changes, Change{ID: id, Worker: w})
	}
	return d, true
}

// journalSince returns the changes from a position, or from an earlier one, to the current one, and
// false if the journal does not reach back that far. The mutex must be held.
func (i *Inventory) journalSince(from int64) (d Delta, ok bool) {
	first := slices.IndexFunc(i.journal, func(b batch) bool { return b.from <= from && from < b.to })
	if first < 0 {
		return d, false
	}
	d = Delta{From: i.journal[first].from, To: i.position, Exact: true}
	for _, b := range i.journal[first:] {
		d.Changes = append(d.Changes, b.changes...)
		d.Exact, d.Heads = d.Exact && b.isExact, d.Heads || b.headsOnly
	}
	return d, true
}

// Follow applies a peer's newest changes, which were confirmed at the given time, if they continue
// from the current position. They may overlap with changes that have been applied, since all are
// applied in order.
func (i *Inventory) Follow(d Delta, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if d.Heads && !i.headsOnly {
		// The changes of other workers would be missed.
		return
	}
	if d.From <= i.position && i.position < d.To {
		i.applyDelta(d, at)
	}
}

// Confirm notes that a peer reported the list up to position as the newest at the given time. A
// later list includes it, so the confirmation also counts if this daemon is ahead of the report, as
// it usually is while the list changes continuously.
func (i *Inventory) Confirm(position int64, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position <= i.position && i.position > 0 && at.After(i.confirmed) {
		i.detectOutage(at)
		i.confirmed = at
	}
	if i.expireTolerated() {
		i.publish()
	}
}

// announce records a leader's decisions about groups. The mutex must be held.
func (i *Inventory) announce(all []Announcement, now time.Time) {
	changed := false
	for _, a := range all {
		held, ok := i.announcements[a.Group]
		if ok && (held.Epoch > a.Epoch || held.Open == a.Open || !held.Open) {
			// A closed group never opens again.
			continue
		}
		i.announcements[a.Group] = pendingAnnouncement{Announcement: a, expiresAt: now.Add(closedRetention)}
		changed = true
	}
	if changed {
		i.publish()
	}
}

// Slept accounts for a suspension of the machine, which the monotonic clock does not count: the
// last confirmation becomes that much older.
func (i *Inventory) Slept(suspended time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.confirmed.IsZero() {
		i.confirmed = i.confirmed.Add(-suspended)
	}
}

// Leave marks a worker as leaving if the given process of it announced so other than in the list.
func (i *Inventory) Leave(worker string, born int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w, held := i.workers[worker]
	if !held || w.Born != born || w.Draining {
		return
	}
	leaving := *w
	leaving.Draining = true
	i.workers[worker] = &leaving
	i.publish()
}

// Closed reports whether a leader announced that a group is closed.
func (i *Inventory) Closed(group string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	a, ok := i.announcements[group]
	return ok && !a.Open
}

// detectOutage records the end of an outage if the last confirmation is too old.
func (i *Inventory) detectOutage(sent time.Time) {
	if !i.confirmed.IsZero() && sent.Sub(i.confirmed) > outageThreshold {
		i.outageEnd = time.Now()
	}
}

// tolerateMissing reports whether a missing entry is tolerated, so that its worker still counts as
// listed for a while.
func (i *Inventory) tolerateMissing(id string) bool {
	now := time.Now()
	if until, ok := i.toleratedUntil[id]; ok {
		return now.Before(until)
	}
	if i.outageEnd.IsZero() || now.Sub(i.outageEnd) > lapseWindow {
		return false
	}
	i.toleratedUntil[id] = now.Add(i.lapseGrace)
	return true
}

// expireTolerated removes the workers that did not write again in time, and reports whether there
// were any.
func (i *Inventory) expireTolerated() bool {
	now, anyExpired := time.Now(), false
	for id, until := range i.toleratedUntil {
		if now.After(until) {
			delete(i.toleratedUntil, id)
			delete(i.workers, id)
			anyExpired = true
		}
	}
	return anyExpired
}

func (i *Inventory) advance(position int64, sent time.Time) {
	i.position = position
	if i.firstListAt.IsZero() {
		i.firstListAt = time.Now()
	}
	if sent.After(i.confirmed) {
		i.confirmed = sent
	}
}

// isSuperseded reports whether the list supersedes an announcement. A closed group is remembered
// while its head is not listed: a head that was disconnected from the list first returns with its
// previous entry.
func (i *Inventory) isSuperseded(a pendingAnnouncement, now time.Time) bool {
	head, listed := i.workers[a.Head]
	switch {
	case listed && head.Member.Epoch > a.Epoch:
		return true
	case a.Open:
		// With heads alone a new head is unknown until the list shows its group.
		return !listed && (!i.headsOnly || now.After(a.expiresAt))
	case listed && head.Member.Epoch == a.Epoch:
		return false
	}
	return now.After(a.expiresAt)
}

// publish stores a new view and drops the announcements that the list has superseded.
func (i *Inventory) publish() {
	now := time.Now()
	for name, a := range i.announcements {
		if i.isSuperseded(a, now) {
			delete(i.announcements, name)
		}
	}
	i.view.Store(newView(i.workers, i.announcements))
	notify(i.changed)
	notify(i.peerUpdates)
}

// notify signals a channel unless a signal is already pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

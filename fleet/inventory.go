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
	// OfHead is set by the inventory if the worker is a head after the change or was one before it.
	OfHead bool `json:"-"`
}

// Announcement is a leader's decision to open or close a group. Peers receive it before the worker
// list shows the change.
type Announcement struct {
	Group   string `json:"group"`
	Epoch   int64  `json:"epoch"`
	Service string `json:"service"`
	Model   string `json:"model"`
	// Head is the member that receives the group's requests.
	Head string `json:"head"`
	// Open is set if the head takes requests. Otherwise the group is closed, and its head must not
	// be sent any.
	Open bool `json:"open"`
}

// pendingAnnouncement is an announcement that the list has not superseded yet.
type pendingAnnouncement struct {
	Announcement
	// expiresAt is closedRetention after the announcement was received. See isSuperseded for its
	// use.
	expiresAt time.Time
}

// Inventory holds the listed workers. It is safe for concurrent use.
type Inventory struct {
	mu      sync.Mutex
	workers map[string]*Worker
	// announcements holds the pending announcements by group.
	announcements map[string]pendingAnnouncement
	// position is the position after the newest change applied.
	position int64
	// scope says which workers are requested.
	scope Scope
	// headsOnly is set while only heads are held.
	headsOnly bool
	// confirmed is the latest time at which the list is known to have been the newest.
	confirmed time.Time
	view      atomic.Pointer[View]
	journal   []batch
	decisions decisionLog
	changed   chan struct{}
	// peerUpdates receives when there is something new to send to peers.
	peerUpdates chan struct{}
	// firstListAt is when the first list was applied.
	firstListAt time.Time
	// missing decides which workers still count as listed although their entries are missing.
	missing missingEntries
}

// closedRetention is how long a closed group is remembered while its head is not listed. It should
// exceed the time for which workers are usually disconnected.
const closedRetention = 30 * time.Second

// maxJournalBatches is how many batches of changes are kept for peers.
const maxJournalBatches = 256

// batch holds the changes between two positions.
type batch struct {
	from, to int64
	changes  []Change
	// isExact is set if there is one change for each position.
	isExact bool
	// headsOnly is set if changes of workers other than heads may be missing from the batch.
	headsOnly bool
}

// InventoryOptions configures an Inventory.
type InventoryOptions struct {
	// Heartbeat is the interval at which workers write to the list.
	Heartbeat time.Duration
	// LeaveBound is the time after which a worker that left the list must get no more requests. It
	// limits how long workers of missing entries are kept; zero means no limit.
	LeaveBound time.Duration
	// SettleTime is how long the source must have served a daemon before LeaveBound binds it.
	SettleTime time.Duration
}

// NewInventory returns an empty inventory.
func NewInventory(opts InventoryOptions) *Inventory {
	i := &Inventory{
		missing: newMissingEntries(opts),
		workers: make(map[string]*Worker), announcements: make(map[string]pendingAnnouncement),
		changed: make(chan struct{}, 1), peerUpdates: make(chan struct{}, 1),
	}
	i.view.Store(newView(nil, nil, i.missing.isUsable))
	return i
}

// View returns the last known workers and replicas.
func (i *Inventory) View() *View { return i.view.Load() }

// Changed returns a channel that receives after changes. Several changes may be combined into one
// signal.
func (i *Inventory) Changed() <-chan struct{} { return i.changed }

// PeerUpdates returns a channel that receives after changes and decisions that peers may lack.
// Several may be combined into one signal.
func (i *Inventory) PeerUpdates() <-chan struct{} { return i.peerUpdates }

// Position returns the position after the newest change applied.
func (i *Inventory) Position() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.position
}

// FirstListAt returns when the first list was applied, or the zero time.
func (i *Inventory) FirstListAt() time.Time {
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
// older than the current position is ignored, unless a whole list is needed and the journal holds
// all changes made since. These changes are then applied on top.
func (i *Inventory) Replace(all []Change, position int64, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position < i.position {
		since, ok := i.journalSince(position)
		if !ok || since.HeadsOnly || !i.needsList() {
			return
		}
		all, position = slices.Concat(all, since.Changes), i.position
	}
	i.headsOnly = i.scope == HeadsOnly
	i.replaceList(all, position, sent)
}

// replaceList replaces the workers by a whole list. The mutex must be held.
func (i *Inventory) replaceList(all []Change, position int64, sent time.Time) {
	i.missing.detectOutage(i.confirmed, sent)
	held := i.workers
	isRestored := i.position > 0 && EraOf(position) > EraOf(i.position)
	if isRestored {
		// Workers of missing entries are kept until they have had time to write again.
		i.missing.recordRestore(i.confirmed, time.Now())
	}
	i.workers = make(map[string]*Worker, len(all))
	for _, c := range all {
		if c.Worker == nil || !i.isInScope(c.Worker) {
			delete(i.workers, c.ID)
			continue
		}
		i.workers[c.ID] = c.Worker.mergedWith(held[c.ID])
		if h, ok := held[c.ID]; isRestored && ok && c.Worker.isOlderThan(h) {
			// The restored entry is outdated. It may not yet mark the worker as leaving.
			i.workers[c.ID] = h
		}
		i.missing.found(c.ID)
	}
	for id, w := range held {
		if _, listed := i.workers[id]; !listed && i.missing.keep(id, i.confirmed, time.Now()) {
			i.workers[id] = w
		}
	}
	i.journal = nil
	i.advance(position, sent)
	i.publish()
}

// ApplyRead applies the result of a read that was sent at the given time. An empty result confirms
// the current list.
func (i *Inventory) ApplyRead(d Delta, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.applyDelta(d.withExactness(), sent)
}

// ApplyPart applies the result of a read that did not return all available changes. It confirms
// nothing, since the remaining changes may remove workers.
func (i *Inventory) ApplyPart(d Delta, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.missing.detectOutage(i.confirmed, sent)
	i.applyDelta(d.withExactness(), time.Time{})
}

// Apply applies the changes between the current position and the given one. A read that was sent at
// the given time returned them.
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
	i.missing.detectOutage(i.confirmed, sent)
	i.markHeads(changes)
	if len(changes) > 0 || d.HeadsOnly {
		i.journal = append(i.journal, batch{from: i.position, to: position, changes: changes, isExact: d.IsExact, headsOnly: d.HeadsOnly})
		i.journal = i.journal[max(len(i.journal)-maxJournalBatches, 0):]
	}
	for _, c := range changes {
		if c.Worker == nil {
			if _, held := i.workers[c.ID]; held && !i.missing.keep(c.ID, i.confirmed, time.Now()) {
				delete(i.workers, c.ID)
			}
			continue
		}
		i.missing.found(c.ID)
		if !i.isInScope(c.Worker) {
			delete(i.workers, c.ID)
			continue
		}
		i.workers[c.ID] = c.Worker.mergedWith(i.workers[c.ID])
	}
	i.advance(position, sent)
	if !i.expireMissing() && len(changes) > 0 {
		i.publish()
	}
}

// Since returns the changes that a peer at the given position lacks. The delta may start at an
// earlier position, since applying changes again in order is harmless. If whole is set, the delta
// holds the whole list. Workers of missing entries are left out of it, since the peer would get no
// change that removes them.
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
		if !i.missing.has(id) {
			d.Changes = append(d.Changes, Change{ID: id, Worker: w})
		}
	}
	return d, true
}

// journalSince returns the changes from the given position, or from an earlier one, to the current
// position. It returns false if the journal does not reach back that far. The mutex must be held.
func (i *Inventory) journalSince(from int64) (d Delta, ok bool) {
	first := slices.IndexFunc(i.journal, func(b batch) bool { return b.from <= from && from < b.to })
	if first < 0 {
		return d, false
	}
	d = Delta{From: i.journal[first].from, To: i.position, IsExact: true}
	for _, b := range i.journal[first:] {
		d.Changes = append(d.Changes, b.changes...)
		d.IsExact, d.HeadsOnly = d.IsExact && b.isExact, d.HeadsOnly || b.headsOnly
	}
	return d, true
}

// Follow applies a delta from a peer if it starts at or before the current position. The peer's
// list was confirmed at the given time. Changes that were applied before are applied again, which
// is harmless.
func (i *Inventory) Follow(d Delta, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if d.HeadsOnly && !i.headsOnly {
		// The changes of other workers would be missed.
		return
	}
	if d.From <= i.position && i.position < d.To {
		i.applyDelta(d, at)
	}
}

// Confirm records that a peer reported the list up to position as the newest at the given time. The
// report also counts if this daemon is at a later position, since its list then includes the
// peer's.
func (i *Inventory) Confirm(position int64, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position <= i.position && i.position > 0 && at.After(i.confirmed) {
		i.missing.detectOutage(i.confirmed, at)
		i.confirmed = at
	}
	i.expireMissing()
}

// announce records a leader's decisions about groups and publishes a new view if any of them is
// new. The mutex must be held.
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

// AddSuspension moves the time of the last confirmation and the deadlines of missing entries back by
// the time for which the machine was suspended. The monotonic clock does not count that time.
func (i *Inventory) AddSuspension(suspended time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.confirmed.IsZero() {
		i.confirmed = i.confirmed.Add(-suspended)
	}
	i.missing.addSuspension(suspended)
}

// MarkLeaving marks a worker as leaving after its process announced this by other means than the
// list. born is the start time of that process; other processes of the worker are not marked.
func (i *Inventory) MarkLeaving(worker string, born int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w, held := i.workers[worker]
	if !held || w.StartedAt != born || w.Draining {
		return
	}
	leaving := *w
	leaving.Draining = true
	i.workers[worker] = &leaving
	i.publish()
}

// IsGroupClosed reports whether a leader announced that a group is closed.
func (i *Inventory) IsGroupClosed(group string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	a, ok := i.announcements[group]
	return ok && !a.Open
}

// expireMissing removes the workers whose entries have been missing for too long, and ends the use of
// those that may get no more requests. It publishes a new view and returns true if there were any. The
// mutex must be held.
func (i *Inventory) expireMissing() bool {
	expired, changed := i.missing.expire(time.Now())
	for _, id := range expired {
		delete(i.workers, id)
	}
	if changed {
		i.publish()
	}
	return changed
}

// advance sets the position, and updates the time of the last confirmation.
func (i *Inventory) advance(position int64, sent time.Time) {
	i.position = position
	if i.firstListAt.IsZero() {
		i.firstListAt = time.Now()
	}
	if sent.After(i.confirmed) {
		i.confirmed = sent
	}
}

// isSuperseded reports whether the list makes an announcement unnecessary. It does if the head is
// listed in a later group. Otherwise, the announcement that a group is closed is kept until
// expiresAt, and longer while the head is listed in that group. A head that is not listed may
// return with an entry from before the closing.
func (i *Inventory) isSuperseded(a pendingAnnouncement, now time.Time) bool {
	head, listed := i.workers[a.Head]
	switch {
	case listed && head.Member.Epoch > a.Epoch:
		return true
	case a.Open:
		// If only heads are held, a new head is unknown until the list shows its group.
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
	i.view.Store(newView(i.workers, i.announcements, i.missing.isUsable))
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

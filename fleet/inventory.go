package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Change is one step of the worker list.
type Change struct {
	ID string `json:"id"`
	// Worker is nil when the worker is no longer listed.
	Worker *Worker `json:"worker,omitempty"`
	// OfHead tells that the worker is a head, or was one until this change, once an inventory
	// has taken it.
	OfHead bool `json:"-"`
}

// Announcement is a leader's word about a group that the list may not show yet.
type Announcement struct {
	Group   string `json:"group"`
	Epoch   int64  `json:"epoch"`
	Service string `json:"service"`
	Model   string `json:"model"`
	// Head is the member that takes the group's requests.
	Head string `json:"head"`
	// Open tells that the head takes requests; otherwise it must not get any.
	Open bool `json:"open"`
}

// heldAnnouncement is an announcement that the list has not overtaken.
type heldAnnouncement struct {
	Announcement
	// forgetAt is when a closed group that no worker shows is forgotten.
	forgetAt time.Time
}

// Inventory holds the workers as they are listed. It is safe for concurrent use.
type Inventory struct {
	mu        sync.Mutex
	workers   map[string]*Worker
	announced map[string]heldAnnouncement
	position  int64
	// scope is which workers are to be held, partial tells that only heads are.
	scope     Scope
	partial   bool
	confirmed time.Time
	view      atomic.Pointer[View]
	journal   []batch
	decided   decisions
	changed   chan struct{}
	// news receives when there is something new to pass on to peers.
	news chan struct{}
	// doubtFor is how long an entry that went right after an outage is doubted.
	doubtFor time.Duration
	// knownSince is when the first list was taken.
	knownSince time.Time
	// outageEnd is when the list was last regained after an outage.
	outageEnd time.Time
	// lapsed holds the workers whose entries went right after an outage, with
	// until when they count as listed all the same.
	lapsed map[string]time.Time
}

const (
	// outageAfter is how long the list must not have been confirmed for an outage.
	outageAfter = 1600 * time.Millisecond
	// lapseWindow is how long after an outage entries that go are doubted: they
	// may have run out because their workers could not write either.
	lapseWindow = 2500 * time.Millisecond
	// lapseBeats is how many heartbeats such a worker has to write again, if
	// the bound on leaving workers allows, less leaveMargin.
	lapseBeats  = 3
	leaveMargin = 300 * time.Millisecond
)

// closedFor is how long a closed group is remembered that no worker shows: longer
// than its members are usually cut off.
const closedFor = 30 * time.Second

// maxJournal is how many batches of changes are kept for peers.
const maxJournal = 256

// batch is the changes that led from one position to another.
type batch struct {
	from, to int64
	changes  []Change
	exact    bool
	// heads tells that only the changes of heads are among them.
	heads bool
}

// NewInventory returns an inventory without workers, which write to the list
// at every heartbeat. A worker that left the list must get no more requests
// after leaveBound; zero means that there is no such bound. An outage may have
// been this daemon's alone, so entries are never doubted for longer.
func NewInventory(heartbeat, leaveBound time.Duration) *Inventory {
	doubtFor := lapseBeats * heartbeat
	if leaveBound > 0 {
		doubtFor = min(doubtFor, max(leaveBound-leaveMargin, 0))
	}
	i := &Inventory{
		doubtFor: doubtFor, lapsed: make(map[string]time.Time),
		workers: make(map[string]*Worker), announced: make(map[string]heldAnnouncement),
		changed: make(chan struct{}, 1), news: make(chan struct{}, 1),
	}
	i.view.Store(newView(nil, nil))
	return i
}

// View returns the workers and replicas as last known.
func (i *Inventory) View() *View { return i.view.Load() }

// Changed receives after changes; several may be joined into one.
func (i *Inventory) Changed() <-chan struct{} { return i.changed }

// News receives after changes and decisions that peers may lack; several may be
// joined into one.
func (i *Inventory) News() <-chan struct{} { return i.news }

// Position returns one past the offset of the newest change applied.
func (i *Inventory) Position() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.position
}

// KnownSince returns when the first list was taken; the zero time before.
func (i *Inventory) KnownSince() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.knownSince
}

// Confirmed returns when the newest successful read of the list was sent.
func (i *Inventory) Confirmed() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.confirmed
}

// Replace takes a whole list, as changes from an empty one, which reaches up to position and was asked for
// at sent. A list older than what is held is ignored, unless it is awaited and the changes
// since were all followed: a list that changes while it is read is behind by then.
func (i *Inventory) Replace(all []Change, position int64, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position < i.position {
		since, ok := i.journaled(position)
		if !ok || since.Heads || !i.awaitsList() {
			return
		}
		all, position = slices.Concat(all, since.Changes), i.position
	}
	i.partial = i.scope == HeadsOnly
	i.replace(all, position, sent)
}

// replace takes a list. The mutex is held.
func (i *Inventory) replace(all []Change, position int64, sent time.Time) {
	i.noteOutage(sent)
	held := i.workers
	copied := i.position > 0 && EraOf(position) > EraOf(i.position)
	if copied {
		// What was lost with the store's last seconds comes again; until then it is doubted.
		i.outageEnd = time.Now()
	}
	i.workers = make(map[string]*Worker, len(all))
	for _, c := range all {
		if c.Worker == nil || !i.keeps(c.Worker) {
			delete(i.workers, c.ID)
			continue
		}
		i.workers[c.ID] = c.Worker.following(held[c.ID])
		if h, ok := held[c.ID]; copied && ok && c.Worker.isOlderThan(h) {
			// A worker that said that it leaves has still said so.
			i.workers[c.ID] = h
		}
		delete(i.lapsed, c.ID)
	}
	for id, w := range held {
		if _, listed := i.workers[id]; !listed && i.lapses(id) {
			i.workers[id] = w
		}
	}
	i.journal = nil
	i.advance(position, sent)
	i.publish()
}

// Take takes what a read that was sent at a time brought. A read that brought nothing
// confirms what is held.
func (i *Inventory) Take(d Delta, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.take(d.counted(), sent)
}

// TakePart takes a part of what there was as a read was sent at a time. It confirms nothing:
// what follows may take workers away.
func (i *Inventory) TakePart(d Delta, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noteOutage(sent)
	i.take(d.counted(), time.Time{})
}

// Apply takes changes that lead from what is held to a position, by a read that was
// sent at a time.
func (i *Inventory) Apply(changes []Change, position int64, sent time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.take(Delta{From: i.position, To: position, Changes: changes}.counted(), sent)
}

func (i *Inventory) take(d Delta, sent time.Time) {
	if d.To < i.position {
		return
	}
	d = d.after(i.position)
	changes, position := d.Changes, d.To
	i.noteOutage(sent)
	i.markHeads(changes)
	if len(changes) > 0 || d.Heads {
		i.journal = append(i.journal, batch{from: i.position, to: position, changes: changes, exact: d.Exact, heads: d.Heads})
		i.journal = i.journal[max(len(i.journal)-maxJournal, 0):]
	}
	for _, c := range changes {
		if c.Worker == nil {
			if _, held := i.workers[c.ID]; held && !i.lapses(c.ID) {
				delete(i.workers, c.ID)
			}
			continue
		}
		delete(i.lapsed, c.ID)
		if !i.keeps(c.Worker) {
			delete(i.workers, c.ID)
			continue
		}
		i.workers[c.ID] = c.Worker.following(i.workers[c.ID])
	}
	i.advance(position, sent)
	if i.endLapses() || len(changes) > 0 {
		i.publish()
	}
}

// Since returns the changes that lead from a position to the current one, for
// a peer. They may begin earlier, which does no harm: all of them are taken in
// their order. Whole tells that they are the whole list instead.
func (i *Inventory) Since(from int64) (d Delta, whole bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	d = Delta{From: from, To: i.position}
	if from == i.position {
		return d, false
	}
	if held, ok := i.journaled(from); ok {
		return held, false
	}
	for id, w := range i.workers {
		d.Changes = append(d.Changes, Change{ID: id, Worker: w})
	}
	return d, true
}

// journaled returns the changes that led from a position, or from an earlier one, to the
// current one, and false where they are not kept. The mutex is held.
func (i *Inventory) journaled(from int64) (d Delta, ok bool) {
	first := slices.IndexFunc(i.journal, func(b batch) bool { return b.from <= from && from < b.to })
	if first < 0 {
		return d, false
	}
	d = Delta{From: i.journal[first].from, To: i.position, Exact: true}
	for _, b := range i.journal[first:] {
		d.Changes = append(d.Changes, b.changes...)
		d.Exact, d.Heads = d.Exact && b.exact, d.Heads || b.heads
	}
	return d, true
}

// Follow takes a peer's newest changes, which were known to be the newest at
// the given time, if they join on to what is held. Changes that are held
// already do no harm, since all of them are taken in their order.
func (i *Inventory) Follow(d Delta, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if d.Heads && !i.partial {
		// The changes of the other workers would be missed.
		return
	}
	if d.From <= i.position && i.position < d.To {
		i.take(d, at)
	}
}

// Confirm notes that the list up to position is known, by a peer's report, to
// have been the newest at the given time. Whoever holds later changes too held the
// newest list of that time as well: while the list changes all the time, the position
// of a heartbeat is seldom the one held.
func (i *Inventory) Confirm(position int64, at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position <= i.position && i.position > 0 && at.After(i.confirmed) {
		i.noteOutage(at)
		i.confirmed = at
	}
	if i.endLapses() {
		i.publish()
	}
}

// announce takes a leader's decisions about groups. The mutex is held.
func (i *Inventory) announce(all []Announcement, now time.Time) {
	news := false
	for _, a := range all {
		held, ok := i.announced[a.Group]
		if ok && (held.Epoch > a.Epoch || held.Open == a.Open || !held.Open) {
			// A group that was closed never opens again.
			continue
		}
		i.announced[a.Group] = heldAnnouncement{Announcement: a, forgetAt: now.Add(closedFor)}
		news = true
	}
	if news {
		i.publish()
	}
}

// Slept notes that the machine was suspended for a while, which the steady clock does not
// count: the list is so much older.
func (i *Inventory) Slept(asleep time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.confirmed.IsZero() {
		i.confirmed = i.confirmed.Add(-asleep)
	}
}

// Leave notes that a life of a worker said elsewhere than in the list that it leaves.
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
	a, ok := i.announced[group]
	return ok && !a.Open
}

// noteOutage notes the end of an outage if the list was not confirmed for long.
func (i *Inventory) noteOutage(sent time.Time) {
	if !i.confirmed.IsZero() && sent.Sub(i.confirmed) > outageAfter {
		i.outageEnd = time.Now()
	}
}

// lapses reports whether an entry that went is doubted, so that its worker
// still counts as listed for a while.
func (i *Inventory) lapses(id string) bool {
	now := time.Now()
	if until, ok := i.lapsed[id]; ok {
		return now.Before(until)
	}
	if i.outageEnd.IsZero() || now.Sub(i.outageEnd) > lapseWindow {
		return false
	}
	i.lapsed[id] = now.Add(i.doubtFor)
	return true
}

// endLapses removes the workers that did not write again in time, and reports
// whether there were any.
func (i *Inventory) endLapses() bool {
	now, ended := time.Now(), false
	for id, until := range i.lapsed {
		if now.After(until) {
			delete(i.lapsed, id)
			delete(i.workers, id)
			ended = true
		}
	}
	return ended
}

func (i *Inventory) advance(position int64, sent time.Time) {
	i.position = position
	if i.knownSince.IsZero() {
		i.knownSince = time.Now()
	}
	if sent.After(i.confirmed) {
		i.confirmed = sent
	}
}

// isOvertaken reports whether an announcement tells nothing more than the list. A
// closed group is remembered while its head is not listed: one that was cut off
// from the list comes back with the entry it had before, for a moment.
func (i *Inventory) isOvertaken(a heldAnnouncement, now time.Time) bool {
	head, listed := i.workers[a.Head]
	switch {
	case listed && head.Member.Epoch > a.Epoch:
		return true
	case a.Open:
		// Who holds heads alone learns of a new one when the list shows its group.
		return !listed && (!i.partial || now.After(a.forgetAt))
	case listed && head.Member.Epoch == a.Epoch:
		return false
	}
	return now.After(a.forgetAt)
}

// publish makes the view anew and forgets announcements that the list has
// overtaken.
func (i *Inventory) publish() {
	now := time.Now()
	for name, a := range i.announced {
		if i.isOvertaken(a, now) {
			delete(i.announced, name)
		}
	}
	i.view.Store(newView(i.workers, i.announced))
	notify(i.changed)
	notify(i.news)
}

// notify makes a channel receive, unless it is about to anyway.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

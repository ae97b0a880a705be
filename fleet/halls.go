package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// HallState says whether a data hall takes requests.
type HallState int

// The states of a data hall.
const (
	// HallOpen halls take requests.
	HallOpen HallState = iota
	// HallClosing halls are being emptied. They take only requests for which no other hall has
	// room.
	HallClosing
	// HallClosed halls take no requests.
	HallClosed
)

// String returns the name of the state, as used in logs and counters.
func (s HallState) String() string {
	switch s {
	case HallClosing:
		return "closing"
	case HallClosed:
		return "closed"
	}
	return "open"
}

const (
	// closeMargin is the minimum time between the close of a hall and the end of Halls.emptyWithin.
	// It must exceed the connection timeout, so that requests sent before the close have reached
	// their workers or failed by then.
	closeMargin = 600 * time.Millisecond
	// maxClosingFraction is the maximum time that a hall spends closing, as a fraction of
	// Halls.emptyWithin. It must leave enough time for replicas in other halls to become ready.
	maxClosingFraction = 0.5
)

// HallChange is an operator's command to close or open one data hall.
type HallChange struct {
	Hall   string
	Closed bool
}

// HallUpdate is the result of a read of the closed data halls.
type HallUpdate struct {
	// IsComplete marks a complete list. Halls that it does not mention are open.
	IsComplete bool
	Changes    []HallChange
	// InvalidHalls names the halls whose entries are invalid. They keep their last state.
	InvalidHalls []string
	// EntryErrs holds the errors of the invalid entries.
	EntryErrs []error
}

// ClosedHall is a closed or closing data hall in a report to peers.
type ClosedHall struct {
	Hall string `json:"h"`
	// RemainingMillis is how much longer the hall may take requests, in milliseconds.
	RemainingMillis int64 `json:"l,omitempty"`
}

// HallReport is what a daemon reports to its peers about closed data halls.
type HallReport struct {
	// Position orders reports; a higher one is newer.
	Position int64 `json:"p,omitempty"`
	// AgeMillis is the time since the reported state was last confirmed to be the newest, in
	// milliseconds.
	AgeMillis int64        `json:"a"`
	Closed    []ClosedHall `json:"c,omitempty"`
}

// HallView is an immutable snapshot of the states of the data halls; nil means that all are open.
type HallView struct {
	// closeBy holds the time at which each closing hall stops taking requests, or each closed hall
	// stopped. Open halls have none.
	closeBy map[string]time.Time
	// openedAt holds the time at which this daemon found each reopened hall open.
	openedAt map[string]time.Time
}

// AllOpen reports whether no hall is closed or closing.
func (v *HallView) AllOpen() bool { return v == nil || len(v.closeBy) == 0 }

// State returns the state of a hall at the given time. Unknown halls are open.
func (v *HallView) State(hall string, now time.Time) HallState {
	if v.AllOpen() {
		return HallOpen
	}
	closeBy, closed := v.closeBy[hall]
	switch {
	case !closed:
		return HallOpen
	case now.Before(closeBy):
		return HallClosing
	}
	return HallClosed
}

// OpenedAt returns when this daemon found a closed hall reopened, or the zero time if it never did.
func (v *HallView) OpenedAt(hall string) time.Time {
	if v == nil {
		return time.Time{}
	}
	return v.openedAt[hall]
}

// Closed returns the halls that are closed or closing, sorted.
func (v *HallView) Closed() []string {
	if v == nil {
		return nil
	}
	all := make([]string, 0, len(v.closeBy))
	for hall := range v.closeBy {
		all = append(all, hall)
	}
	slices.Sort(all)
	return all
}

// Halls holds the states of the data halls. It ignores reads and reports that are older than its
// state. It is safe for concurrent use.
type Halls struct {
	// emptyWithin is the time within which a hall must be empty after an operator closed it.
	emptyWithin time.Duration
	view        atomic.Pointer[HallView]
	changed     chan struct{}

	mu sync.Mutex
	// position is the position up to which operators' commands are included.
	position int64
	// confirmed is when the state was last confirmed to be the newest.
	confirmed time.Time
	// provisionalUntil is set if halls stay closed although the restored source does not show it. What
	// was confirmed after that time includes the operator's repeated commands. It is zero otherwise.
	provisionalUntil time.Time
}

// NewHalls returns Halls that are all open. After an operator closes a hall, the hall must be empty
// within bound. If bound is zero, halls close immediately.
func NewHalls(bound time.Duration) *Halls {
	h := &Halls{emptyWithin: bound, changed: make(chan struct{}, 1)}
	h.view.Store(&HallView{})
	return h
}

// View returns the last known states of the halls.
func (h *Halls) View() *HallView { return h.view.Load() }

// Changed returns a channel that receives after changes. Several changes may be combined into one
// signal.
func (h *Halls) Changed() <-chan struct{} { return h.changed }

// ApplyRead applies the result of a read that was sent at the given time. The result includes all
// commands up to position.
func (h *Halls) ApplyRead(update HallUpdate, position int64, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if position < h.position {
		return
	}
	closed := h.closedHalls()
	// If the source was restored from a copy, the operator's last command may be missing until it
	// is repeated.
	isRestored := h.position > 0 && EraOf(position) > EraOf(h.position)
	if update.IsComplete {
		for hall := range closed {
			closed[hall] = isRestored || slices.Contains(update.InvalidHalls, hall)
		}
	}
	for _, c := range update.Changes {
		closed[c.Hall] = c.Closed
	}
	if update.IsComplete {
		h.provisionalUntil = time.Time{}
	}
	if isRestored {
		h.provisionalUntil = time.Now().Add(restoreSettleTime)
	}
	h.publish(closed, func(string) time.Time { return h.closingDeadline(time.Now()) })
	h.position = position
	h.confirm(sent)
}

// Follow applies a peer's report that was sent after the given time. The age of the report and the
// deadlines in it count from sentAfter. With a zero sentAfter the report confirms nothing, and its
// deadlines count from now.
func (h *Halls) Follow(r HallReport, sentAfter time.Time) {
	if r.Position <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Position > h.position {
		sent := sentAfter
		if sent.IsZero() {
			sent = time.Now()
		}
		closed, remainingMillis := make(map[string]bool), make(map[string]int64)
		for hall := range h.closedHalls() {
			closed[hall] = false
		}
		for _, c := range r.Closed {
			closed[c.Hall], remainingMillis[c.Hall] = true, min(max(c.RemainingMillis, 0), h.emptyWithin.Milliseconds())
		}
		h.publish(closed, func(hall string) time.Time { return sent.Add(time.Duration(remainingMillis[hall]) * time.Millisecond) })
		h.position, h.provisionalUntil = r.Position, time.Time{}
	}
	h.reopen(r, sentAfter)
	// This daemon's state may be newer than the reported one. It then includes the reported state,
	// so that the confirmation also applies to it.
	if !sentAfter.IsZero() {
		h.confirm(sentAfter.Add(-time.Duration(r.AgeMillis) * time.Millisecond))
	}
}

// reopen opens the halls that this daemon kept closed provisionally, and that a report for the same
// position shows open. Without it they would stay closed, because no later position follows if the
// operator's commands were repeated before this daemon's first read. The mutex must be held.
func (h *Halls) reopen(r HallReport, sentAfter time.Time) {
	confirmed := sentAfter.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if h.provisionalUntil.IsZero() || r.Position != h.position || !confirmed.After(h.provisionalUntil) {
		return
	}
	closed := h.closedHalls()
	for hall := range closed {
		closed[hall] = slices.ContainsFunc(r.Closed, func(c ClosedHall) bool { return c.Hall == hall })
	}
	h.publish(closed, func(string) time.Time { return time.Now() })
}

// AddSuspension moves the time of the last confirmation and the deadlines of closing halls back by
// the time for which the machine was suspended. The monotonic clock does not count that time.
func (h *Halls) AddSuspension(suspended time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed.IsZero() {
		h.confirmed = h.confirmed.Add(-suspended)
	}
	if !h.provisionalUntil.IsZero() {
		h.provisionalUntil = h.provisionalUntil.Add(-suspended)
	}
	current := h.View()
	next := &HallView{closeBy: make(map[string]time.Time), openedAt: current.openedAt}
	for hall, closeBy := range current.closeBy {
		next.closeBy[hall] = closeBy.Add(-suspended)
	}
	h.view.Store(next)
}

// Report returns the state to send to peers.
func (h *Halls) Report(now time.Time) HallReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.position <= 0 {
		return HallReport{}
	}
	r := HallReport{Position: h.position, AgeMillis: now.Sub(h.confirmed).Milliseconds() + 1}
	for hall, closeBy := range h.View().closeBy {
		r.Closed = append(r.Closed, ClosedHall{Hall: hall, RemainingMillis: max(closeBy.Sub(now).Milliseconds(), 0)})
	}
	slices.SortFunc(r.Closed, func(a, b ClosedHall) int { return strings.Compare(a.Hall, b.Hall) })
	return r
}

// closedHalls returns the closed halls as a new map.
func (h *Halls) closedHalls() map[string]bool {
	closed := make(map[string]bool)
	for hall := range h.View().closeBy {
		closed[hall] = true
	}
	return closed
}

// closingDeadline returns when a hall that was just found closed stops taking requests. The
// operator closed it after the last confirmation, so emptyWithin counts from that time. If nothing
// has been confirmed yet, the hall closes immediately.
func (h *Halls) closingDeadline(now time.Time) time.Time {
	if h.confirmed.IsZero() {
		return now
	}
	latest := h.confirmed.Add(h.emptyWithin - closeMargin)
	closingEnd := now.Add(time.Duration(maxClosingFraction * float64(h.emptyWithin)))
	if closingEnd.Before(latest) {
		return closingEnd
	}
	return latest
}

// publish stores a new view if the set of closed halls has changed. Halls that were closed before
// keep their deadline; closeBy returns the deadline of the others. The mutex must be held.
func (h *Halls) publish(closed map[string]bool, closeBy func(hall string) time.Time) {
	current := h.View()
	next := &HallView{closeBy: make(map[string]time.Time), openedAt: make(map[string]time.Time)}
	for hall, at := range current.openedAt {
		next.openedAt[hall] = at
	}
	changed := false
	for hall, isClosed := range closed {
		deadline, wasClosed := current.closeBy[hall]
		switch {
		case isClosed && wasClosed:
			next.closeBy[hall] = deadline
		case isClosed:
			next.closeBy[hall] = closeBy(hall)
			changed = true
		case wasClosed:
			next.openedAt[hall] = time.Now()
			changed = true
		}
	}
	if changed {
		h.view.Store(next)
		notify(h.changed)
	}
}

func (h *Halls) confirm(at time.Time) {
	if at.After(h.confirmed) {
		h.confirmed = at
	}
}

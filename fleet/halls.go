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
	// HallClosing halls are to be empty soon: until then they take what no other hall
	// has room for.
	HallClosing
	// HallClosed halls take nothing.
	HallClosed
)

// String returns the state's name in logs and counters.
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
	// hallMargin is how long before the bound a hall takes nothing more: a request that
	// was sent just before reaches its worker within the time that a connection may take.
	hallMargin = 600 * time.Millisecond
	// closingPart is the part of the bound for which a hall may be closing at most.
	// Replicas that are staged elsewhere stand sooner, so a longer wait gains nothing.
	closingPart = 0.5
)

// HallChange is the operator's word about one data hall.
type HallChange struct {
	Hall   string
	Closed bool
}

// HallNews is what a read brought of closed data halls.
type HallNews struct {
	// Whole tells that halls without a change are open.
	Whole   bool
	Changes []HallChange
	// Unclear names halls whose entry was not understood, Refused why. Their last
	// state stays.
	Unclear []string
	Refused []error
}

// ClosedHall is a closed data hall as daemons tell each other.
type ClosedHall struct {
	Hall string `json:"h"`
	// Left is for how much longer it may take requests, in milliseconds.
	Left int64 `json:"l,omitempty"`
}

// HallReport is what a daemon knows of closed data halls, for its peers.
type HallReport struct {
	// Position orders reports: one with a higher position is newer.
	Position int64 `json:"p,omitempty"`
	// Age is how long ago this was last known to be the newest, in milliseconds.
	Age    int64        `json:"a"`
	Closed []ClosedHall `json:"c,omitempty"`
}

// HallView is the state of the data halls at one moment. It is never changed; nil means
// that all are open.
type HallView struct {
	// closeBy holds, by closed hall, until when it may take requests.
	closeBy map[string]time.Time
	// openedAt holds when halls were opened again, as far as this daemon saw it.
	openedAt map[string]time.Time
}

// AllOpen reports whether no hall is closed or closing.
func (v *HallView) AllOpen() bool { return v == nil || len(v.closeBy) == 0 }

// State returns the state of a hall at a time. Halls that were never named are open.
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

// OpenedAt returns when a hall was opened again; the zero time if this daemon did not
// see it closed before.
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

// Halls holds which data halls the operator closed. It only moves forwards. It is safe
// for concurrent use.
type Halls struct {
	// bound is the time after the operator's word within which a hall must be empty.
	bound   time.Duration
	view    atomic.Pointer[HallView]
	changed chan struct{}

	mu       sync.Mutex
	position int64
	// confirmed is when what is held was last known to be the newest.
	confirmed time.Time
}

// NewHalls returns halls that are all open. A closed one must be empty within bound of
// the operator's word; with a bound of zero halls close at once.
func NewHalls(bound time.Duration) *Halls {
	h := &Halls{bound: bound, changed: make(chan struct{}, 1)}
	h.view.Store(&HallView{})
	return h
}

// View returns the state of the halls as last known.
func (h *Halls) View() *HallView { return h.view.Load() }

// Changed receives after changes; several may be joined into one.
func (h *Halls) Changed() <-chan struct{} { return h.changed }

// Take takes what a read that was sent at a time brought, up to a position.
func (h *Halls) Take(news HallNews, position int64, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if position < h.position {
		return
	}
	closed := h.known()
	// A copy of seconds ago may lack the operator's last word, which comes again.
	copied := h.position > 0 && EraOf(position) > EraOf(h.position)
	if news.Whole {
		for hall := range closed {
			closed[hall] = copied || slices.Contains(news.Unclear, hall)
		}
	}
	for _, c := range news.Changes {
		closed[c.Hall] = c.Closed
	}
	h.set(closed, func(string) time.Time { return h.closeBy(time.Now()) })
	h.position = position
	h.confirm(sent)
}

// Follow takes a peer's report, whose age counts from a time before which it was not sent.
func (h *Halls) Follow(r HallReport, sentAfter time.Time) {
	if r.Position <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Position > h.position {
		now := time.Now()
		closed, left := make(map[string]bool), make(map[string]int64)
		for hall := range h.known() {
			closed[hall] = false
		}
		for _, c := range r.Closed {
			closed[c.Hall], left[c.Hall] = true, min(max(c.Left, 0), h.bound.Milliseconds())
		}
		h.set(closed, func(hall string) time.Time { return now.Add(time.Duration(left[hall]) * time.Millisecond) })
		h.position = r.Position
	}
	// Whoever holds a later state held the newest one of that time as well.
	if !sentAfter.IsZero() {
		h.confirm(sentAfter.Add(-time.Duration(r.Age) * time.Millisecond))
	}
}

// Slept notes that the machine was suspended for a while, which the steady clock does not
// count: halls that were closing close so much sooner, and what is held is so much older.
func (h *Halls) Slept(asleep time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed.IsZero() {
		h.confirmed = h.confirmed.Add(-asleep)
	}
	held := h.View()
	next := &HallView{closeBy: make(map[string]time.Time), openedAt: held.openedAt}
	for hall, closeBy := range held.closeBy {
		next.closeBy[hall] = closeBy.Add(-asleep)
	}
	h.view.Store(next)
}

// Report returns what is known, for peers.
func (h *Halls) Report(now time.Time) HallReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.position <= 0 {
		return HallReport{}
	}
	r := HallReport{Position: h.position, Age: now.Sub(h.confirmed).Milliseconds() + 1}
	for hall, closeBy := range h.View().closeBy {
		r.Closed = append(r.Closed, ClosedHall{Hall: hall, Left: max(closeBy.Sub(now).Milliseconds(), 0)})
	}
	slices.SortFunc(r.Closed, func(a, b ClosedHall) int { return strings.Compare(a.Hall, b.Hall) })
	return r
}

// known returns the halls that are closed, as a copy.
func (h *Halls) known() map[string]bool {
	closed := make(map[string]bool)
	for hall := range h.View().closeBy {
		closed[hall] = true
	}
	return closed
}

// closeBy returns until when a hall may take requests that is found closed now. The
// operator's word came after what was held was last confirmed, so the bound counts from
// there; where nothing was held before, the hall closes at once.
func (h *Halls) closeBy(now time.Time) time.Time {
	if h.confirmed.IsZero() {
		return now
	}
	latest := h.confirmed.Add(h.bound - hallMargin)
	soon := now.Add(time.Duration(closingPart * float64(h.bound)))
	if soon.Before(latest) {
		return soon
	}
	return latest
}

// set publishes which halls are closed. Those that were closed before keep their deadline.
// The mutex is held.
func (h *Halls) set(closed map[string]bool, closeBy func(hall string) time.Time) {
	held := h.View()
	next := &HallView{closeBy: make(map[string]time.Time), openedAt: make(map[string]time.Time)}
	for hall, at := range held.openedAt {
		next.openedAt[hall] = at
	}
	changed := false
	for hall, isClosed := range closed {
		before, was := held.closeBy[hall]
		switch {
		case isClosed && was:
			next.closeBy[hall] = before
		case isClosed:
			next.closeBy[hall] = closeBy(hall)
			changed = true
		case was:
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

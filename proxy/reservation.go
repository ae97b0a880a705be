package proxy

import "quartzshelf.dev/fleet"

// Reservation is a request counted as in flight at a replica.
type Reservation struct {
	tracker *Tracker
	load    *replicaLoad
	// promptTokens is the number of prompt tokens, unreadTokens how many of them the replica has
	// not read yet.
	promptTokens int
	unreadTokens int
	isReleased   bool
}

// Reserve counts a request with the given number of unread prompt tokens as in flight.
func (t *Tracker) Reserve(r *fleet.Replica, promptTokens int) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.loadOf(r)
	s.inFlight++
	s.unreadTokens += promptTokens
	s.promptTokens += promptTokens
	t.hasTraffic = t.hasTraffic || promptTokens > 0
	return &Reservation{tracker: t, load: s, promptTokens: promptTokens, unreadTokens: promptTokens}
}

// MarkPromptRead records that the replica has read the prompt.
func (r *Reservation) MarkPromptRead() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.load.unreadTokens -= r.unreadTokens
	r.unreadTokens = 0
}

// Release removes the request from the load of its replica. Further calls do nothing.
func (r *Reservation) Release() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.isReleased {
		return
	}
	r.isReleased = true
	r.load.inFlight--
	r.load.unreadTokens -= r.unreadTokens
	r.load.promptTokens -= r.promptTokens
}

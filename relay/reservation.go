package relay

import "quartzshelf.dev/fleet"

// Reservation is a request counted as in flight at a replica.
type Reservation struct {
	tracker *Tracker
	load    *replicaLoad
	// promptTokens is the number of prompt tokens, prefill how many of them are still to be read.
	promptTokens int
	prefill      int
	isReleased   bool
}

// Reserve counts a request with the given number of unread prompt tokens as in flight.
func (t *Tracker) Reserve(r *fleet.Replica, prompt int) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.loadOf(r)
	s.inFlight++
	s.prefill += prompt
	s.promptTokens += prompt
	t.hasTraffic = t.hasTraffic || prompt > 0
	return &Reservation{tracker: t, load: s, promptTokens: prompt, prefill: prompt}
}

// PrefillDone records that the prompt has been read.
func (r *Reservation) PrefillDone() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.load.prefill -= r.prefill
	r.prefill = 0
}

// Release removes the request from the count; further calls do nothing.
func (r *Reservation) Release() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.isReleased {
		return
	}
	r.isReleased = true
	r.load.inFlight--
	r.load.prefill -= r.prefill
	r.load.promptTokens -= r.promptTokens
}

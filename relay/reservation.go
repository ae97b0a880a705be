package relay

import "quartzshelf.dev/fleet"

// Reservation is a request counted at a replica.
type Reservation struct {
	tracker *Tracker
	load    *replicaLoad
	// prompt is the number of prompt tokens, prefill how many of them are to be read.
	prompt  int
	prefill int
	ended   bool
}

// Begin counts a request with a number of prompt tokens to be read.
func (t *Tracker) Begin(r *fleet.Replica, prompt int) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.loadOf(r)
	s.inFlight++
	s.prefill += prompt
	s.prompts += prompt
	t.traffic = t.traffic || prompt > 0
	return &Reservation{tracker: t, load: s, prompt: prompt, prefill: prompt}
}

// Started notes that the prompt was read.
func (r *Reservation) Started() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.load.prefill -= r.prefill
	r.prefill = 0
}

// End ends the count; further calls do nothing.
func (r *Reservation) End() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.load.inFlight--
	r.load.prefill -= r.prefill
	r.load.prompts -= r.prompt
}

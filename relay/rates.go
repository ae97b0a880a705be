package relay

import "time"

// rates measures how many requests a second come, by key. It is not safe for
// concurrent use.
type rates struct {
	keys map[string]*rateAverage
}

// rateAverage is an average that forgets: it falls to a third within rateSpan.
type rateAverage struct {
	value float64
	at    time.Time
}

const rateSpan = 2 * time.Second

func newRates() *rates { return &rates{keys: make(map[string]*rateAverage)} }

// count notes a request.
func (r *rates) count(key string, now time.Time) {
	held, ok := r.keys[key]
	if !ok {
		held = &rateAverage{at: now}
		r.keys[key] = held
	}
	held.value = held.decayed(now) + 1/rateSpan.Seconds()
	held.at = now
}

// perSecond returns the rate.
func (r *rates) perSecond(key string, now time.Time) float64 {
	held, ok := r.keys[key]
	if !ok {
		return 0
	}
	return held.decayed(now)
}

func (r *rateAverage) decayed(now time.Time) float64 {
	part := now.Sub(r.at).Seconds() / rateSpan.Seconds()
	return r.value / (1 + part + part*part/2)
}

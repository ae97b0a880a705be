package proxy

import "time"

// rates measures requests per second by key. It is not safe for concurrent use.
type rates struct {
	keys map[string]*rateAverage
}

// rateAverage is a moving average of requests per second. Without requests it decays to 40 % within
// rateSpan.
type rateAverage struct {
	value float64
	at    time.Time
}

const rateSpan = 2 * time.Second

func newRates() *rates { return &rates{keys: make(map[string]*rateAverage)} }

// countRequest adds a request to the average of a key.
func (r *rates) countRequest(key string, now time.Time) {
	average, ok := r.keys[key]
	if !ok {
		average = &rateAverage{at: now}
		r.keys[key] = average
	}
	average.value = average.decayedValue(now) + 1/rateSpan.Seconds()
	average.at = now
}

// perSecond returns the average number of requests per second of a key.
func (r *rates) perSecond(key string, now time.Time) float64 {
	average, ok := r.keys[key]
	if !ok {
		return 0
	}
	return average.decayedValue(now)
}

func (r *rateAverage) decayedValue(now time.Time) float64 {
	elapsed := now.Sub(r.at).Seconds() / rateSpan.Seconds()
	return r.value / (1 + elapsed + elapsed*elapsed/2)
}

package soak

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Where daemons stop, most requests are short and a few take far longer than all of the last twenty. The
	// number of events of a stream and the work of other requests are drawn from lognormal distributions.
	medianStopEvents = 45
	maxStopEvents    = 270
	medianStopWork   = 400 * time.Millisecond
	maxStopWork      = 2 * time.Second
	stopSizeSpread   = 0.95
	// boundedShare is the share of seeds with waves in which streams have at most boundedStopEvents events. There,
	// a stream takes far longer than those before it only when the workers become slow.
	boundedShare      = 2.0 / 3
	boundedStopEvents = 150
	// lateBodyShare is the share of requests whose body comes later than the head. Where daemons stop in waves, these
	// are only requests to a daemon that stops, so that it does not know from others that a body may be late.
	lateBodyShare = 0.25
	// Where stops come in series, longStreamShare is the share of streams that have up to longStreamEvents events,
	// all numbers being equally likely.
	longStreamShare  = 0.4
	longStreamEvents = 300
	// maxStopDuration is how long the late body and the events of a stream may take together without a change
	// of the workers' pace. It is below the deadline, so that only slow workers let requests reach it.
	maxStopDuration = 5 * time.Second
)

var bodyDelays = durationRange{shortest: 500 * time.Millisecond, spread: 2 * time.Second}

// stopTraffic draws the requests of a caller where daemons stop. It has a random stream of its own, so that
// everything else that the caller draws does not depend on it.
type stopTraffic struct {
	random *rand.Rand
	// inWaves reports whether daemons stop in waves.
	inWaves bool
	// maxEvents is the largest number of events that the lognormal distribution gives.
	maxEvents int
}

func newStopTraffic(o Options, caller int) *stopTraffic {
	const randomStream = 1 << 38
	return &stopTraffic{
		random: rand.New(rand.NewPCG(o.Seed, randomStream+uint64(caller))), inWaves: o.playsWaves(), maxEvents: o.maxStreamEvents(),
	}
}

// maxStreamEvents returns the largest number of events that the lognormal distribution gives.
func (o Options) maxStreamEvents() int {
	const randomStream = 1 << 41
	if o.playsWaves() && rand.New(rand.NewPCG(o.Seed, randomStream)).Float64() < boundedShare {
		return boundedStopEvents
	}
	return maxStopEvents
}

// requestSize says how long a request takes.
type requestSize struct {
	// bodyDelay is the time between the head and the body.
	bodyDelay time.Duration
	// eventCount is the number of events of a stream. work is the time that a worker takes for another request.
	eventCount int
	work       time.Duration
}

// draw draws the size of the next request.
func (t *stopTraffic) draw() requestSize {
	var s requestSize
	isLate, delay := t.random.Float64() < lateBodyShare, bodyDelays.draw(t.random)
	if isLate {
		s.bodyDelay = delay
	}
	fitting := int((maxStopDuration - s.bodyDelay) / timing.EventInterval)
	s.eventCount = min(minEvents+int(t.drawLognormal(medianStopEvents)), t.maxEvents, fitting)
	s.work = min(time.Duration(t.drawLognormal(float64(medianStopWork))), maxStopWork)
	if !t.inWaves && t.random.Float64() < longStreamShare {
		s.bodyDelay, s.eventCount = 0, minEvents+t.random.IntN(longStreamEvents)
	}
	return s
}

func (t *stopTraffic) drawLognormal(median float64) float64 {
	return median * math.Exp(stopSizeSpread*t.random.NormFloat64())
}

// drawSize draws the size of the next request, which goes to d.
func (c *caller) drawSize(d *daemon) requestSize {
	usual := requestSize{eventCount: minEvents + c.random.IntN(eventsSpread)}
	if c.stopTraffic == nil {
		return usual
	}
	s := c.stopTraffic.draw()
	if _, isStopping := d.status(); !isStopping && c.stopTraffic.inWaves {
		s.bodyDelay = 0
	}
	return s
}

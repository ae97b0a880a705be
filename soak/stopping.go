package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// stopSeriesCount is the number of concurrent series of planned stops.
	stopSeriesCount = 3
	// longStreamShare is the share of streams that take up to longStreamEvents events.
	longStreamShare  = 0.4
	longStreamEvents = 360
)

// stopFaults contains only planned stops of daemons.
var stopFaults = map[string]fault{"daemon-stop": {inject: (*run).stopDaemon}}

// stopSchedule returns the planned stops of one series. It draws from a separate random stream, so that it
// does not change the other schedules of a seed.
func stopSchedule(seed uint64, series int, total time.Duration) []scheduledFault {
	const randomStream = 1 << 37
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream+uint64(series))), []string{"daemon-stop"}, stopDurations, total)
}

// drawEventCount draws the number of events of a stream.
func (c *caller) drawEventCount() int {
	if c.run.opts.DaemonStops && c.random.Float64() < longStreamShare {
		return minEvents + c.random.IntN(longStreamEvents)
	}
	return minEvents + c.random.IntN(eventsSpread)
}

// excusesNothing reports whether the soak injects no faults but pauses of workers and planned stops of
// daemons. Nothing then excuses a daemon that ends a stream early.
func (o Options) excusesNothing() bool {
	hasOthers := o.SeriesCount > 0 || o.CrashingRequest || o.CrashingPart || o.WorkerSignals || o.StoreRestores || o.HallFaults
	return (o.WorkerPauses || o.DaemonStops) && !hasOthers
}

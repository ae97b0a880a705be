package soak

import (
	"math/rand/v2"
	"time"
)

// scheduledFault is one fault of a series.
type scheduledFault struct {
	// pause is the time between the previous fault and this one. duration is the time for which this
	// fault lasts.
	pause, duration time.Duration
	// name is the fault's key in the map of faults from which it is drawn.
	name string
	// targetSeed seeds the choice of the affected daemons, workers or links.
	targetSeed uint64
}

// durationRange is the range of a random duration, from shortest to shortest plus spread.
type durationRange struct{ shortest, spread time.Duration }

// defaultPauses are the pauses between the faults of a series, unless it has its own.
var defaultPauses = durationRange{shortest: 100 * time.Millisecond, spread: 1400 * time.Millisecond}

// faultDurations are the durations of all faults but pauses of workers, which last for pauseDurations, and
// planned stops in series of their own, which last at least for stopDurations.
var (
	faultDurations = durationRange{shortest: 300 * time.Millisecond, spread: 4 * time.Second}
	stopDurations  = durationRange{shortest: 100 * time.Millisecond, spread: time.Second}
	pauseDurations = durationRange{shortest: 800 * time.Millisecond, spread: 1700 * time.Millisecond}
)

func (d durationRange) draw(random *rand.Rand) time.Duration {
	return d.shortest + time.Duration(random.Int64N(int64(d.spread)))
}

// schedule returns the faults of one series. Together with their pauses they last at least total. The
// same seed gives the same faults.
func schedule(seed uint64, series int, total time.Duration) []scheduledFault {
	return drawSchedule(rand.New(rand.NewPCG(seed, uint64(series))), faultNames(), defaultPauses, faultDurations, total)
}

// hallSchedule returns the faults of data halls. It draws from a separate random stream, so that it
// does not change the other schedules of a seed.
func hallSchedule(seed uint64, total time.Duration) []scheduledFault {
	const randomStream = 1 << 33
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream)), hallFaultNames(), defaultPauses, faultDurations, total)
}

// announcementSchedule returns the faults in which workers announce limits, rest periods or their
// leave. It draws from a separate random stream, so that it does not change the other schedules of
// a seed.
func announcementSchedule(seed uint64, total time.Duration) []scheduledFault {
	const randomStream = 1 << 35
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream)), announcementFaultNames(), defaultPauses, faultDurations, total)
}

// pauseSchedule returns the pauses of workers. It draws from a separate random stream, so that it does
// not change the other schedules of a seed.
func pauseSchedule(seed uint64, total time.Duration) []scheduledFault {
	const randomStream = 1 << 36
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream)), pauseFaultNames(), defaultPauses, pauseDurations, total)
}

// spoilSchedule returns the faults in which workers send bytes that are no response. It draws from a separate
// random stream, so that it does not change the other schedules of a seed.
func spoilSchedule(seed uint64, total time.Duration) []scheduledFault {
	const randomStream = 1 << 41
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream)), spoilFaultNames(), defaultPauses, faultDurations, total)
}

// drawSchedule draws faults with the given names, pauses and durations until the faults and their pauses together
// last at least total.
func drawSchedule(random *rand.Rand, names []string, pauses, durations durationRange, total time.Duration) []scheduledFault {
	var steps []scheduledFault
	for duration := time.Duration(0); duration < total; {
		s := scheduledFault{
			pause:    pauses.draw(random),
			duration: durations.draw(random),
			name:     names[random.IntN(len(names))], targetSeed: random.Uint64(),
		}
		duration += s.pause + s.duration
		steps = append(steps, s)
	}
	return steps
}

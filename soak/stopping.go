package soak

import (
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"quartzshelf.dev/platform/standin"
)

const (
	// stopSeriesCount is the number of concurrent series of planned stops.
	stopSeriesCount = 3
	// stopWaveShare is the share of seeds that play waves of stops when nothing but stops and pauses is played.
	// The others play concurrent series.
	stopWaveShare = 0.75
	// stopStagger is within how much time the daemons of a wave are asked to stop.
	stopStagger = 1500 * time.Millisecond
	// The pace of workers changes in slowWaveShare of the waves. Each interval is then multiplied by a factor
	// from minSlowFactor to minSlowFactor + slowFactorSpread, from a time within slowStarts on.
	slowWaveShare    = 0.75
	minSlowFactor    = 2.0
	slowFactorSpread = 1.0
)

var (
	// Before each wave, the daemons answer enough requests to know how long these usually take. A wave lasts at
	// least for waveDurations.
	wavePauses    = durationRange{shortest: 3 * time.Second, spread: 2 * time.Second}
	waveDurations = durationRange{shortest: 6 * time.Second, spread: 2 * time.Second}
	// slowStarts is when workers become slow, counted from the start of a wave.
	slowStarts = durationRange{shortest: 1500 * time.Millisecond, spread: 2500 * time.Millisecond}
)

// stopFaults contains only planned stops of daemons. The waves stop one, some or all of them.
var stopFaults = map[string]fault{
	"daemon-stop":    {inject: (*run).stopDaemon},
	"stop-wave-one":  {inject: stopWave(func(*rand.Rand, int) int { return 1 })},
	"stop-wave-some": {inject: stopWave(drawSome)},
	"stop-wave-all":  {inject: stopWave(func(_ *rand.Rand, all int) int { return all })},
}

// drawSome draws a number of daemons that is neither one nor all of them, if there are enough.
func drawSome(random *rand.Rand, all int) int {
	if all <= 3 {
		return min(2, all)
	}
	return 2 + random.IntN(all-2)
}

// stopSchedule returns the planned stops of one series. It draws from a separate random stream, so that it
// does not change the other schedules of a seed.
func stopSchedule(seed uint64, series int, total time.Duration) []scheduledFault {
	const randomStream = 1 << 37
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream+uint64(series))), []string{"daemon-stop"}, defaultPauses, stopDurations, total)
}

// waveSchedule returns the waves of planned stops. It draws from a separate random stream.
func waveSchedule(seed uint64, total time.Duration) []scheduledFault {
	const randomStream = 1 << 39
	names := []string{"stop-wave-all", "stop-wave-one", "stop-wave-some"}
	return drawSchedule(rand.New(rand.NewPCG(seed, randomStream)), names, wavePauses, waveDurations, total)
}

// playsWaves reports whether a soak stops daemons in waves. Beside other faults it does not, since what a stop
// cuts counts for nothing there.
func (o Options) playsWaves() bool {
	const randomStream = 1 << 40
	return o.DaemonStops && o.excusesNothing() && rand.New(rand.NewPCG(o.Seed, randomStream)).Float64() < stopWaveShare
}

// stopSchedules returns the series of planned stops of a soak.
func (o Options) stopSchedules() [][]scheduledFault {
	if o.playsWaves() {
		return [][]scheduledFault{waveSchedule(o.Seed, o.Duration)}
	}
	var all [][]scheduledFault
	for i := range stopSeriesCount {
		all = append(all, stopSchedule(o.Seed, i, o.Duration))
	}
	return all
}

// stopWave returns a function that stops as many daemons as count returns, shortly after each other, and may
// slow down the workers meanwhile. The wave ends when all of these daemons have stopped.
func stopWave(count func(random *rand.Rand, all int) int) injectFunc {
	return func(r *run, random *rand.Rand) func() {
		var group conc.WaitGroup
		chosen := random.Perm(len(r.daemons))[:count(random, len(r.daemons))]
		for n, i := range chosen {
			offset := time.Duration(random.Int64N(int64(stopStagger)))
			if n == 0 {
				offset = 0
			}
			group.Go(func() {
				time.Sleep(offset)
				r.stopAndCheck(r.daemons[i])
			})
		}
		slowdown := r.slowWorkersLater(random)
		return func() {
			group.Wait()
			slowdown()
		}
	}
}

// slowWorkersLater draws whether and when the pace of workers changes. The returned function ends the change.
func (r *run) slowWorkersLater(random *rand.Rand) (revert func()) {
	isSlow, factor, start := random.Float64() < slowWaveShare, minSlowFactor+slowFactorSpread*random.Float64(), slowStarts.draw(random)
	if !isSlow {
		return noRevert
	}
	timer := time.AfterFunc(start, func() {
		r.opts.Logger.Debug("workers become slow", "factor", factor)
		r.fabric.SetPace(factor)
	})
	return func() {
		timer.Stop()
		r.fabric.SetPace(1)
	}
}

// excusesNothing reports whether the soak injects no faults but pauses of workers and planned stops of
// daemons. Nothing then excuses a daemon that ends a stream early.
func (o Options) excusesNothing() bool {
	hasOthers := o.SeriesCount > 0 || o.CrashingRequest || o.CrashingPart || o.WorkerSignals || o.StoreRestores || o.HallFaults || o.WorkerSpoils
	return (o.WorkerPauses || o.DaemonStops) && !hasOthers
}

// checksKind reports whether requests of a kind that end early are violations where nothing excuses them. Only
// streams run on workers that pause for long; others count where daemons stop.
func (o Options) checksKind(kind standin.Kind) bool {
	return kind == standin.Stream || o.DaemonStops
}

// callerCount returns the number of callers. Waves need more, because few requests arrive in the short time
// in which a stopping daemon may accept what it can't finish.
func (o Options) callerCount() int {
	const extraInWaves = 32
	if o.playsWaves() {
		return o.Callers + extraInWaves
	}
	return o.Callers
}

// staysAtStops reports whether a caller keeps its connection to a daemon that stops, and goes on asking it until
// its process has ended. Two in three callers of each kind do.
func (o Options) staysAtStops(index int) bool {
	return o.DaemonStops && index/len(callerKinds)%3 != 0
}

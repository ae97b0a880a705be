package soak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/platform/standin"
)

// onlyStops returns the options of a soak of planned stops alone.
func onlyStops(seed uint64) Options {
	return Options{Seed: seed, DaemonStops: true, Callers: 16, Duration: 20 * time.Second}
}

// TestStopSchedules checks that seeds draw all kinds of stops, and that stops beside other faults are drawn as
// ever.
func TestStopSchedules(t *testing.T) {
	drawn := make(map[string]bool)
	for seed := range uint64(50) {
		for _, scheduled := range onlyStops(seed).stopSchedules() {
			for _, s := range scheduled {
				drawn[s.name] = true
			}
		}
		beside := onlyStops(seed)
		beside.SeriesCount = 1
		assert.Equal(t, beside.callerCount(), 16)
		for i, scheduled := range beside.stopSchedules() {
			assert.Assert(t, slices.Equal(scheduled, stopSchedule(seed, i, 20*time.Second)))
		}
	}
	assert.Equal(t, len(drawn), len(stopFaults), "%v", drawn)
}

// TestStopSeedsKeepTheirFaults checks that a seed draws the same stops and waves as when it was recorded.
func TestStopSeedsKeepTheirFaults(t *testing.T) {
	tests := map[string]struct {
		got  []scheduledFault
		want scheduledFault
	}{
		"series": {stopSchedule(7, 1, time.Minute), scheduledFault{pause: 702925388, duration: 226578502, name: "daemon-stop", targetSeed: 0xc96909add9f5348c}},
		"waves":  {waveSchedule(7, time.Minute), scheduledFault{pause: 3816796392, duration: 7220918673, name: "stop-wave-one", targetSeed: 0x5795469f7354af9f}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.got[0], test.want) })
	}
}

// TestWaveTiming checks that daemons answer requests before each wave.
func TestWaveTiming(t *testing.T) {
	for seed := range uint64(50) {
		for _, s := range waveSchedule(seed, time.Minute) {
			assert.Assert(t, s.pause >= 3*time.Second && s.pause < 5*time.Second, "%s", s.pause)
			assert.Assert(t, s.duration >= 6*time.Second && s.duration < 8*time.Second, "%s", s.duration)
		}
	}
}

func TestDrawSome(t *testing.T) {
	tests := map[string]struct {
		all, least, most int
	}{
		"one daemon": {all: 1, least: 1, most: 1}, "two": {all: 2, least: 2, most: 2}, "three": {all: 3, least: 2, most: 2},
		"four": {all: 4, least: 2, most: 3}, "six": {all: 6, least: 2, most: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			drawn := make(map[int]bool)
			for seed := range uint64(100) {
				drawn[drawSome(rand.New(rand.NewPCG(seed, 0)), test.all)] = true
			}
			assert.Equal(t, len(drawn), test.most-test.least+1, "%v", drawn)
			assert.Assert(t, drawn[test.least] && drawn[test.most], "%v", drawn)
		})
	}
}

// TestStopTrafficHasHeavyTail checks that some streams take over 1.25 times as long as the longest of the last
// twenty, that some bodies are late, and that no request takes until its deadline by itself.
func TestStopTrafficHasHeavyTail(t *testing.T) {
	const history, count = 20, 20_000
	traffic := &stopTraffic{random: rand.New(rand.NewPCG(7, 0)), inWaves: true, maxEvents: maxStopEvents}
	var recent []int
	longer, late := 0, 0
	for range count {
		s := traffic.draw()
		if len(recent) == history {
			if float64(s.eventCount) > 1.25*float64(slices.Max(recent)) {
				longer++
			}
			recent = recent[1:]
		}
		recent = append(recent, s.eventCount)
		if s.bodyDelay > 0 {
			late++
			assert.Assert(t, s.bodyDelay >= 500*time.Millisecond && s.bodyDelay < 2500*time.Millisecond, "%s", s.bodyDelay)
		}
		assert.Assert(t, s.eventCount >= minEvents && s.work > 0)
		assert.Assert(t, s.bodyDelay+time.Duration(s.eventCount)*timing.EventInterval < requestDeadline)
		assert.Assert(t, s.bodyDelay+s.work < requestDeadline)
	}
	assert.Assert(t, longer > count/100 && longer < count/10, "%d of %d", longer, count)
	assert.Assert(t, late > count/5 && late < count/3, "%d of %d", late, count)
}

// TestLongStreamsInSeries checks that many streams are long where stops come in series, and that none takes until
// its deadline by itself.
func TestLongStreamsInSeries(t *testing.T) {
	const count = 10_000
	traffic := newStopTraffic(Options{Seed: 7, DaemonStops: true, SeriesCount: 1}, 3)
	long := 0
	for range count {
		s := traffic.draw()
		if s.eventCount > 150 {
			long++
		}
		assert.Assert(t, s.bodyDelay+time.Duration(s.eventCount)*timing.EventInterval < requestDeadline)
	}
	assert.Assert(t, long > count/5, "%d of %d", long, count)
}

// TestStopTrafficIsDrawnApart checks that a caller draws everything but the sizes of its requests as without
// stops.
func TestStopTrafficIsDrawnApart(t *testing.T) {
	usual, stopped := newCaller(&run{opts: Options{Seed: 7}}, 2), newCaller(&run{opts: onlyStops(7)}, 2)
	for range 100 {
		usual.drawSize(&daemon{})
		stopped.drawSize(&daemon{})
	}
	assert.Equal(t, usual.random.Uint64(), stopped.random.Uint64())
}

// TestLateBodiesInWaves checks that bodies come late only at daemons that stop where stops come in waves, and
// everywhere else.
func TestLateBodiesInWaves(t *testing.T) {
	waves, series := onlyStops(7), onlyStops(7)
	series.SeriesCount = 1
	assert.Assert(t, waves.playsWaves() && !series.playsWaves())
	tests := map[string]struct {
		opts     Options
		daemon   *daemon
		wantLate bool
	}{
		"waves, running":   {opts: waves, daemon: &daemon{}},
		"waves, stopping":  {opts: waves, daemon: stoppingDaemon(time.Second), wantLate: true},
		"series, running":  {opts: series, daemon: &daemon{}, wantLate: true},
		"series, stopping": {opts: series, daemon: stoppingDaemon(time.Second), wantLate: true},
		"no stops":         {opts: Options{Seed: 7}, daemon: &daemon{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, late := newCaller(&run{opts: test.opts}, 0), 0
			for range 100 {
				if c.drawSize(test.daemon).bodyDelay > 0 {
					late++
				}
			}
			assert.Equal(t, late > 0, test.wantLate, "%d", late)
		})
	}
}

// TestCallersStayAtStops checks that some callers of each kind keep asking a daemon that stops, and that they
// leave one that doesn't once its address has expired.
func TestCallersStayAtStops(t *testing.T) {
	staying := make(map[standin.Kind]int)
	for i := range 12 {
		c := newCaller(&run{opts: onlyStops(7)}, i)
		if c.staysAtStops {
			staying[c.kind]++
		}
		c.staysWithDaemon = false
		c.currentDaemon = stoppingDaemon(time.Second)
		assert.Equal(t, c.keepsDaemon(), c.staysAtStops)
		c.currentDaemon = &daemon{incarnation: 1}
		assert.Assert(t, !c.keepsDaemon())
	}
	assert.DeepEqual(t, staying, map[standin.Kind]int{standin.Stream: 4, standin.AtMostOnce: 2, standin.Repeatable: 2})
	assert.Assert(t, !newCaller(&run{opts: Options{Seed: 7}}, 4).staysAtStops)
}

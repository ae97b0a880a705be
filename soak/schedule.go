package soak

import (
	"math/rand/v2"
	"time"
)

// step is one fault of a series.
type step struct {
	// after is the pause before it, lasts how long it lasts.
	after, lasts time.Duration
	kind         string
	// pick chooses what it strikes.
	pick uint64
}

const (
	gapLeast, gapSpread   = 100 * time.Millisecond, 1400 * time.Millisecond
	lastLeast, lastSpread = 300 * time.Millisecond, 4 * time.Second
)

// schedule returns the faults of one series up to a total time. The same seed
// gives the same faults.
func schedule(seed uint64, series int, total time.Duration) []step {
	return draw(rand.New(rand.NewPCG(seed, uint64(series))), faultNames(), total)
}

// hallSchedule returns the faults of data halls, which are drawn apart from the others, so
// that these stay as they are.
func hallSchedule(seed uint64, total time.Duration) []step {
	const stream = 1 << 33
	return draw(rand.New(rand.NewPCG(seed, stream)), hallFaultNames(), total)
}

// askSchedule returns what workers ask for, which is drawn apart from the faults as well.
func askSchedule(seed uint64, total time.Duration) []step {
	const stream = 1 << 35
	return draw(rand.New(rand.NewPCG(seed, stream)), askNames(), total)
}

// draw draws faults of some kinds up to a total time.
func draw(random *rand.Rand, kinds []string, total time.Duration) []step {
	var steps []step
	for sum := time.Duration(0); sum < total; {
		s := step{
			after: gapLeast + time.Duration(random.Int64N(int64(gapSpread))),
			lasts: lastLeast + time.Duration(random.Int64N(int64(lastSpread))),
			kind:  kinds[random.IntN(len(kinds))], pick: random.Uint64(),
		}
		sum += s.after + s.lasts
		steps = append(steps, s)
	}
	return steps
}

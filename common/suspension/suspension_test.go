package suspension

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// fakeClocks simulate the clocks of a machine that was suspended for boot minus monotonic.
type fakeClocks struct {
	monotonic, boot time.Duration
	// readDelays are the durations of the first readings; later ones take no time.
	readDelays []time.Duration
	err        error
}

func (f *fakeClocks) read(clock int32) (time.Duration, error) {
	if len(f.readDelays) > 0 {
		f.monotonic, f.boot, f.readDelays = f.monotonic+f.readDelays[0], f.boot+f.readDelays[0], f.readDelays[1:]
	}
	if clock == unix.CLOCK_BOOTTIME {
		return f.boot, f.err
	}
	return f.monotonic, f.err
}

func TestSuspended(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		clocks    fakeClocks
		want      time.Duration
		tolerance time.Duration
	}{
		"never":                         {clocks: fakeClocks{monotonic: 7 * s, boot: 7 * s}},
		"for three seconds":             {clocks: fakeClocks{monotonic: 7 * s, boot: 10 * s}, want: 3 * s},
		"the reader stood still":        {clocks: fakeClocks{monotonic: 7 * s, boot: 10 * s, readDelays: []time.Duration{s, s, s}}, want: 3 * s},
		"the reader stands still often": {clocks: fakeClocks{boot: 3 * s, readDelays: []time.Duration{0, s, s, 0, s, s, 0, s, s, 0, s / 100, 0}}, want: 3 * s, tolerance: s / 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := (&Clock{read: test.clocks.read}).Suspended()
			assert.NilError(t, err)
			assert.Assert(t, got >= test.want-test.tolerance && got <= test.want+test.tolerance, "%s", got)
		})
	}
	broken := fakeClocks{err: errors.New("no such clock")}
	_, err := (&Clock{read: broken.read}).Suspended()
	assert.ErrorContains(t, err, "no such clock")
}

// TestSystemClocks checks that the clocks of the machine that runs the test can be read.
func TestSystemClocks(t *testing.T) {
	got, err := NewClock().Suspended()
	assert.NilError(t, err)
	assert.Assert(t, got > -time.Second)
}

// TestWatch checks that each suspension is reported once, and before Check returns.
func TestWatch(t *testing.T) {
	suspended := time.Minute
	var reported []time.Duration
	w := NewWatch(func() time.Duration { return suspended }, func(duration time.Duration) { reported = append(reported, duration) })
	w.Check()
	suspended += minSuspension - 1
	w.Check()
	assert.Equal(t, len(reported), 0, "a suspension shorter than minSuspension was reported")
	suspended += 5 * time.Second
	w.Check()
	w.Check()
	suspended += time.Second
	w.Check()
	assert.DeepEqual(t, reported, []time.Duration{5*time.Second + minSuspension - 1, time.Second})
}

// TestStamp checks that the age of a stamp includes a later suspension.
func TestStamp(t *testing.T) {
	suspended := time.Duration(0)
	s := NewStamp(func() time.Duration { return suspended })
	before := s.Time()
	suspended = 5 * time.Second
	assert.Equal(t, before.Sub(s.Time()), 5*time.Second)
}

func BenchmarkSuspended(b *testing.B) {
	c := NewClock()
	for b.Loop() {
		if _, err := c.Suspended(); err != nil {
			b.Fatal(err)
		}
	}
}

// Package suspension detects that the machine was suspended, and for how long. Go's monotonic
// clock doesn't advance while the machine is suspended. Information from before the
// suspension would otherwise seem as recent afterwards as it was before.
package suspension

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadSpan is the longest time that one reading of all clocks may take. If a reading takes
	// longer, the clocks are read again, up to maxReadings times in all.
	maxReadSpan = time.Millisecond
	maxReadings = 4
	// minSuspension is the shortest suspension that counts. Shorter ones can be errors of
	// measurement.
	minSuspension = 50 * time.Millisecond
)

// Clock measures how long the machine has been suspended in total since it was booted.
type Clock struct {
	// read returns the value of a system clock; tests replace it.
	read func(clock int32) (time.Duration, error)
}

// NewClock returns a clock of this machine.
func NewClock() *Clock { return &Clock{read: readSystem} }

func readSystem(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, fmt.Errorf("read clock %d: %w", clock, err)
	}
	return time.Duration(t.Nano()), nil
}

// Suspended returns how long the machine has been suspended in total since it was booted. It
// returns an error if a system clock can't be read.
func (c *Clock) Suspended() (time.Duration, error) {
	suspended, bestSpan := time.Duration(0), time.Duration(-1)
	for range maxReadings {
		before, err := c.read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		boot, err := c.read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := c.read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if span := after - before; bestSpan < 0 || span < bestSpan {
			suspended, bestSpan = boot-before-span/2, span
		}
		if bestSpan <= maxReadSpan {
			break
		}
	}
	return suspended, nil
}

// Watch detects suspensions of the machine. It is safe for concurrent use.
type Watch struct {
	// Suspended returns how long the machine has been suspended in total.
	Suspended func() time.Duration
	// OnResume is called by Check when it detects a suspension. Concurrent calls of Check
	// wait until OnResume returns. It must not call Check itself.
	OnResume func(duration time.Duration)

	mu sync.Mutex
	// reported is the total suspension up to the last call of OnResume.
	reported time.Duration
}

// NewWatch returns a watch that reports suspensions from now on to onResume. The function
// suspended returns how long the machine has been suspended in total.
func NewWatch(suspended func() time.Duration, onResume func(duration time.Duration)) *Watch {
	return &Watch{Suspended: suspended, OnResume: onResume, reported: suspended()}
}

// Check calls OnResume with the time that the machine has been suspended since the last report. It
// does nothing if that time is shorter than minSuspension.
func (w *Watch) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if added := w.Suspended() - w.reported; added >= minSuspension {
		w.reported += added
		w.OnResume(added)
	}
}

// Stamp is a point in time whose age includes later suspensions of the machine.
type Stamp struct {
	at              time.Time
	suspended       func() time.Duration
	suspendedBefore time.Duration
}

// NewStamp returns a stamp of the current time. The function suspended returns how long the
// machine has been suspended in total.
func NewStamp(suspended func() time.Duration) Stamp {
	return Stamp{at: time.Now(), suspended: suspended, suspendedBefore: suspended()}
}

// Time returns the stamp as a time.Time for comparison with time.Now. The result is moved back by
// the time that the machine has been suspended since the stamp was taken.
func (s Stamp) Time() time.Time { return s.at.Add(s.suspendedBefore - s.suspended()) }

// Interrupted reports whether the machine was suspended since the stamp was taken.
func (s Stamp) Interrupted() bool { return s.suspended()-s.suspendedBefore >= minSuspension }

// Never is the total suspension of a machine that is never suspended. The result is always zero.
func Never() time.Duration { return 0 }

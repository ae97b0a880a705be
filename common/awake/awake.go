// Package awake tells for how long the machine was suspended. The steady clock, by which
// time.Time counts spans, stands still meanwhile: what was known before would seem as fresh
// after it as it was.
package awake

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadSpan is how far apart the readings of two clocks may be for their difference to
	// tell something; tries is how often they are read to get there.
	maxReadSpan = time.Millisecond
	maxReadings = 4
	// minSuspension is the shortest suspension that counts: readings are off by less.
	minSuspension = 50 * time.Millisecond
)

// Clock reads how long the machine was suspended since it started.
type Clock struct {
	// read returns a clock of the system; a seam for tests.
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

// Suspended returns for how long the machine was suspended since it started, as exactly as
// three readings of its clocks tell.
func (c *Clock) Suspended() (time.Duration, error) {
	best, bestSpan := time.Duration(0), time.Duration(-1)
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
			best, bestSpan = boot-before-span/2, span
		}
		if bestSpan <= maxReadSpan {
			break
		}
	}
	return best, nil
}

// Watch notices that the machine was suspended. It is safe for concurrent use.
type Watch struct {
	// Suspended returns for how long it was in all.
	Suspended func() time.Duration
	// Woke is called with each further time, before Check returns anywhere. It must not call
	// Check.
	Woke func(asleep time.Duration)

	mu       sync.Mutex
	reported time.Duration
}

// NewWatch returns a watch from now on.
func NewWatch(suspended func() time.Duration, woke func(asleep time.Duration)) *Watch {
	return &Watch{Suspended: suspended, Woke: woke, reported: suspended()}
}

// Check tells of a suspension that was not told yet. What is believed afterwards is as old as
// it is.
func (w *Watch) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if asleep := w.Suspended() - w.reported; asleep >= minSuspension {
		w.reported += asleep
		w.Woke(asleep)
	}
}

// Stamp is a moment that stays as long ago as it is over suspensions.
type Stamp struct {
	at              time.Time
	suspended       func() time.Duration
	suspendedBefore time.Duration
}

// NewStamp returns the present moment.
func NewStamp(suspended func() time.Duration) Stamp {
	return Stamp{at: time.Now(), suspended: suspended, suspendedBefore: suspended()}
}

// Time returns the moment by the steady clock as it stands now.
func (s Stamp) Time() time.Time { return s.at.Add(s.suspendedBefore - s.suspended()) }

// Interrupted reports whether the machine was suspended since.
func (s Stamp) Interrupted() bool { return s.suspended()-s.suspendedBefore >= minSuspension }

// Never is for machines that are never suspended.
func Never() time.Duration { return 0 }

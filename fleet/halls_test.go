package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const emptyWithin = 5 * time.Second

func closeUpdate(hall string) HallUpdate {
	return HallUpdate{Changes: []HallChange{{Hall: hall, Closed: true}}}
}

func openUpdate(hall string) HallUpdate {
	return HallUpdate{Changes: []HallChange{{Hall: hall}}}
}

func TestHallClosesWithinTheBound(t *testing.T) {
	tests := map[string]struct {
		// sinceLastRead is the time between the last read and the one that finds the hall closed.
		sinceLastRead time.Duration
		// closesAfter is how long after being found closed the hall stops taking requests.
		closesAfter time.Duration
	}{
		"read often":                    {sinceLastRead: 300 * time.Millisecond, closesAfter: 2500 * time.Millisecond},
		"not read for three seconds":    {sinceLastRead: 3 * time.Second, closesAfter: 1400 * time.Millisecond},
		"not read for as long as it is": {sinceLastRead: 10 * time.Second, closesAfter: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHalls(emptyWithin)
				h.ApplyRead(HallUpdate{IsComplete: true}, 1, time.Now())
				time.Sleep(test.sinceLastRead)
				h.ApplyRead(closeUpdate("a"), 2, time.Now())
				assert.Equal(t, h.View().State("b", time.Now()), HallOpen)
				if test.closesAfter > 0 {
					time.Sleep(test.closesAfter - time.Millisecond)
					assert.Equal(t, h.View().State("a", time.Now()), HallClosing)
					time.Sleep(time.Millisecond)
				}
				assert.Equal(t, h.View().State("a", time.Now()), HallClosed)
			})
		})
	}
}

func TestClosedHallIsClosedImmediatelyAfterStart(t *testing.T) {
	h := NewHalls(emptyWithin)
	h.ApplyRead(HallUpdate{IsComplete: true, Changes: []HallChange{{Hall: "a", Closed: true}}}, 7, time.Now())
	assert.Equal(t, h.View().State("a", time.Now()), HallClosed)
}

func TestHallsOpenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHalls(emptyWithin)
		h.ApplyRead(HallUpdate{IsComplete: true, Changes: []HallChange{{Hall: "a", Closed: true}, {Hall: "b", Closed: true}}}, 2, time.Now())
		time.Sleep(time.Second)
		h.ApplyRead(openUpdate("a"), 3, time.Now())
		assert.Equal(t, h.View().State("a", time.Now()), HallOpen)
		assert.Equal(t, h.View().OpenedAt("a"), time.Now())
		assert.Assert(t, h.View().OpenedAt("b").IsZero())
		time.Sleep(time.Second)
		h.ApplyRead(HallUpdate{IsComplete: true}, 9, time.Now())
		assert.Equal(t, h.View().State("b", time.Now()), HallOpen, "a complete list without the hall opens it")
		assert.Assert(t, h.View().AllOpen())
	})
}

func TestInvalidEntryKeepsHallState(t *testing.T) {
	h := NewHalls(emptyWithin)
	h.ApplyRead(HallUpdate{IsComplete: true, Changes: []HallChange{{Hall: "a", Closed: true}}}, 2, time.Now())
	h.ApplyRead(HallUpdate{IsComplete: true, InvalidHalls: []string{"a", "b"}}, 3, time.Now())
	assert.DeepEqual(t, h.View().Closed(), []string{"a"})
}

func TestOlderHallUpdatesAreIgnored(t *testing.T) {
	h := NewHalls(emptyWithin)
	h.ApplyRead(closeUpdate("a"), 5, time.Now())
	h.ApplyRead(openUpdate("a"), 4, time.Now())
	h.Follow(HallReport{Position: 4}, time.Now())
	assert.DeepEqual(t, h.View().Closed(), []string{"a"})
	h.Follow(HallReport{}, time.Now())
	assert.DeepEqual(t, h.View().Closed(), []string{"a"})
}

// TestPeersCloseHallAtTheSameTime checks that a daemon that receives a peer's report of a closing
// hall closes the hall at the same time as the peer. A report with an excessive remaining time must
// not keep the hall open beyond the bound.
func TestPeersCloseHallAtTheSameTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, third := NewHalls(emptyWithin), NewHalls(emptyWithin), NewHalls(emptyWithin)
		first.ApplyRead(HallUpdate{IsComplete: true}, 1, time.Now())
		first.ApplyRead(closeUpdate("a"), 2, time.Now())
		time.Sleep(time.Second)
		second.Follow(first.Report(time.Now()), time.Now())
		third.Follow(HallReport{Position: 2, Closed: []ClosedHall{{Hall: "a", RemainingMillis: 1 << 40}}}, time.Now())
		assert.Equal(t, second.View().State("a", time.Now()), HallClosing)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, first.View().State("a", time.Now()), HallClosed)
		assert.Equal(t, second.View().State("a", time.Now()), HallClosed)
		time.Sleep(emptyWithin)
		assert.Equal(t, third.View().State("a", time.Now()), HallClosed)
	})
}

// TestDelayedReportClosesHallInTime guards against halls that close as much later as a report of
// their closing was on its way.
func TestDelayedReportClosesHallInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = time.Second
		first, second := NewHalls(emptyWithin), NewHalls(emptyWithin)
		first.ApplyRead(HallUpdate{IsComplete: true}, 1, time.Now())
		first.ApplyRead(closeUpdate("a"), 2, time.Now())
		report, sent := first.Report(time.Now()), time.Now()
		time.Sleep(delay)
		second.Follow(report, sent)
		for first.View().State("a", time.Now()) == HallClosing {
			time.Sleep(delay / 10)
		}
		assert.Equal(t, second.View().State("a", time.Now()), HallClosed)
	})
}

// hallSimulation simulates an operator and daemons. The daemons read the operator's commands or
// receive each other's reports.
type hallSimulation struct {
	// closed and changedAt hold what the operator last commanded for each hall, and when.
	closed    map[string]bool
	changedAt map[string]time.Time
	commands  []HallChange
	daemons   []*Halls
	// readTo holds, for each daemon, the number of commands that are included in its state.
	readTo []int
	// updatedAt holds, for each daemon, the last time at which its state included all commands.
	updatedAt []time.Time
}

func newHallSimulation(daemons int) *hallSimulation {
	p := &hallSimulation{closed: make(map[string]bool), changedAt: make(map[string]time.Time)}
	for range daemons {
		h := NewHalls(emptyWithin)
		h.ApplyRead(HallUpdate{IsComplete: true}, 1, time.Now())
		p.daemons = append(p.daemons, h)
		p.readTo, p.updatedAt = append(p.readTo, 0), append(p.updatedAt, time.Now())
	}
	return p
}

// toggle closes an open hall, or opens a closed one.
func (p *hallSimulation) toggle(hall string) {
	p.closed[hall], p.changedAt[hall] = !p.closed[hall], time.Now()
	p.commands = append(p.commands, HallChange{Hall: hall, Closed: p.closed[hall]})
}

// read lets a daemon read the new commands.
func (p *hallSimulation) read(daemon int) {
	p.daemons[daemon].ApplyRead(HallUpdate{Changes: slices.Clone(p.commands[p.readTo[daemon]:])}, int64(len(p.commands)+1), time.Now())
	p.readTo[daemon], p.updatedAt[daemon] = len(p.commands), time.Now()
}

// receiveReport lets a daemon receive the report of another one.
func (p *hallSimulation) receiveReport(daemon, from int) {
	p.daemons[daemon].Follow(p.daemons[from].Report(time.Now()), time.Now())
	if p.readTo[from] < p.readTo[daemon] {
		return
	}
	p.readTo[daemon] = p.readTo[from]
	if p.updatedAt[from].After(p.updatedAt[daemon]) {
		p.updatedAt[daemon] = p.updatedAt[from]
	}
}

// findOverdue returns a daemon and a hall that the daemon should have closed by now, or an empty
// string. Only commands since which the daemon was updated count.
func (p *hallSimulation) findOverdue() string {
	for hall, closed := range p.closed {
		if !closed || time.Since(p.changedAt[hall]) <= emptyWithin {
			continue
		}
		for i, h := range p.daemons {
			if p.updatedAt[i].After(p.changedAt[hall]) && h.View().State(hall, time.Now()) != HallClosed {
				return fmt.Sprint(i, hall)
			}
		}
	}
	return ""
}

// findDisagreement lets all daemons read and waits until closed halls must be empty. It then
// returns a daemon and a hall whose state is not what the operator commanded, or an empty string.
func (p *hallSimulation) findDisagreement() string {
	for i := range p.daemons {
		p.read(i)
	}
	time.Sleep(emptyWithin)
	for hall, closed := range p.closed {
		for i, h := range p.daemons {
			if (h.View().State(hall, time.Now()) == HallClosed) != closed {
				return fmt.Sprint(i, hall)
			}
		}
	}
	return ""
}

// TestHallsAgree checks random sequences of reads and reports. A daemon that was updated after a
// command must have closed the hall within the bound, and all daemons must agree in the end.
func TestHallsAgree(outer *testing.T) {
	const daemons = 3
	rapid.Check(outer, func(t *rapid.T) {
		synctest.Test(outer, func(*testing.T) {
			p := newHallSimulation(daemons)
			daemonIndex := rapid.IntRange(0, daemons-1)
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				time.Sleep(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					p.toggle(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall"))
				case 1:
					p.read(daemonIndex.Draw(t, "daemon"))
				case 2:
					p.receiveReport(daemonIndex.Draw(t, "daemon"), daemonIndex.Draw(t, "from"))
				}
				assert.Equal(t, p.findOverdue(), "")
			}
			assert.Equal(t, p.findDisagreement(), "")
		})
	})
}

func TestColdUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := NewInventory(InventoryOptions{Heartbeat: 1200 * time.Millisecond})
		i.Apply([]Change{{ID: "h", Worker: &Worker{ID: "h", Service: "s", ColdRemainingMillis: 3000}}}, 1, time.Now())
		w, ok := i.View().Worker("h")
		assert.Assert(t, ok)
		assert.Equal(t, w.ColdUntil, time.Now().Add(3*time.Second))
		i.Apply([]Change{{ID: "h", Worker: &Worker{ID: "h", Service: "s"}}}, 2, time.Now())
		w, _ = i.View().Worker("h")
		assert.Assert(t, w.ColdUntil.IsZero())
	})
}

package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// pauses is a schedule of the times at which heads send nothing, though they keep their connections and
// go on afterwards.
type pauses struct {
	start time.Time
	spans []pauseSpan
}

// pauseSpan is one pause, from the start of the schedule.
type pauseSpan struct {
	from, to time.Duration
	heads    map[string]bool
}

func (p *pauses) isPaused(head string) bool {
	since := time.Since(p.start)
	for _, span := range p.spans {
		if span.heads[head] && since >= span.from && since < span.to {
			return true
		}
	}
	return false
}

// headIDs returns the IDs of n heads.
func headIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("head", i)
	}
	return ids
}

// newPausingSimulation starts daemons and heads that pause by a schedule. Callers wait for the whole
// timeout.
func newPausingSimulation(t *testing.T, daemons int, ids []string, schedule *pauses) *simulation {
	t.Helper()
	schedule.start = time.Now()
	var heads []*simHead
	for _, id := range ids {
		heads = append(heads, &simHead{id: id, isStalled: func() bool { return schedule.isPaused(id) }})
	}
	p := newSimulation(t, daemons, heads...)
	p.callerPatience = 2 * fullTimeout
	return p
}

// firstOf returns a set of the first n IDs.
func firstOf(ids []string, n int) map[string]bool {
	set := make(map[string]bool)
	for _, id := range ids[:n] {
		set[id] = true
	}
	return set
}

// TestPausedWorkersEndNoStream: a request that reached a worker must be served whole although its workers
// send nothing for a second.
func TestPausedWorkersEndNoStream(t *testing.T) {
	ids := headIDs(5)
	tests := map[string][]pauseSpan{
		"all workers pause":          {{from: time.Second, to: 2200 * time.Millisecond, heads: firstOf(ids, 5)}},
		"three in five pause":        {{from: time.Second, to: 2100 * time.Millisecond, heads: firstOf(ids, 3)}},
		"one after the other pauses": {{from: time.Second, to: 2 * time.Second, heads: firstOf(ids, 3)}, {from: 1600 * time.Millisecond, to: 2900 * time.Millisecond, heads: firstOf(ids, 5)}},
	}
	for name, spans := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPausingSimulation(t, 2, ids, &pauses{spans: spans})
				const calls = 60
				for i := range calls {
					p.call(i%2, fmt.Sprint("call", i), 300, fullTimeout)
					time.Sleep(40 * time.Millisecond)
				}
				p.calls.Wait()
				for i := range calls {
					id := fmt.Sprint("call", i)
					isRefused := p.results[id].status == http.StatusServiceUnavailable && p.timesReceived(id) == 0
					assert.Assert(t, p.isServed(id) || isRefused, "%s: %+v", id, p.results[id])
				}
			})
		})
	}
}

// drawPauses draws a schedule of one to four pauses.
func drawPauses(r *rapid.T, ids []string) *pauses {
	schedule := &pauses{}
	for range rapid.IntRange(1, 4).Draw(r, "pauses") {
		from := time.Duration(rapid.IntRange(0, 4000).Draw(r, "from")) * time.Millisecond
		length := time.Duration(rapid.IntRange(100, 7000).Draw(r, "length")) * time.Millisecond
		struck := firstOf(rapid.Permutation(ids).Draw(r, "order"), rapid.IntRange(1, len(ids)).Draw(r, "struck"))
		schedule.spans = append(schedule.spans, pauseSpan{from: from, to: from + length, heads: struck})
	}
	return schedule
}

// endedEarly returns the calls that were neither served whole nor refused before they ran, and ended before
// their deadline.
func (p *simulation) endedEarly(calls int) []simCall {
	var early []simCall
	for i := range calls {
		id := fmt.Sprint("call", i)
		got := p.results[id]
		isRefused := got.status == http.StatusServiceUnavailable && p.timesReceived(id) == 0
		if !p.isServed(id) && !isRefused && got.endedAfter < fullTimeout {
			early = append(early, got)
		}
	}
	return early
}

// TestSilenceEndsNoAnswer: whatever workers pause, and for how long, a request is served whole, refused
// before it runs, or held until its deadline.
func TestSilenceEndsNoAnswer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		daemons := rapid.IntRange(1, 3).Draw(r, "daemons")
		ids := headIDs(rapid.IntRange(1, 5).Draw(r, "heads"))
		schedule := drawPauses(r, ids)
		calls := rapid.IntRange(1, 40).Draw(r, "calls")
		prompt := rapid.IntRange(0, 2000).Draw(r, "prompt")
		var early []simCall
		synctest.Test(t, func(t *testing.T) {
			p := newPausingSimulation(t, daemons, ids, schedule)
			for i := range calls {
				p.call(i%daemons, fmt.Sprint("call", i), prompt, fullTimeout)
				time.Sleep(60 * time.Millisecond)
			}
			p.calls.Wait()
			early = p.endedEarly(calls)
		})
		if len(early) > 0 {
			r.Fatalf("%d calls ended early, the first: %+v", len(early), early[0])
		}
	})
}

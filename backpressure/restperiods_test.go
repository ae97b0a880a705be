package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestRestPeriods checks that a replica accepts no requests until the last rest period of its head
// worker ends, and that other workers and incarnations are not affected.
func TestRestPeriods(t *testing.T) {
	const s = time.Second
	asks := func(rest time.Duration) Signal { return Signal{Rest: rest} }
	tests := map[string]struct {
		answers []answer
		worker  fleet.Worker
		// restEnds is when the worker's rest period ends, relative to start.
		restEnds time.Duration
	}{
		"nothing":                               {worker: fleet.Worker{ID: "w"}},
		"rest":                                  {answers: []answer{{at: s, signal: asks(3 * s)}}, worker: fleet.Worker{ID: "w"}, restEnds: 4 * s},
		"a shorter one afterwards":              {answers: []answer{{at: s, signal: asks(3 * s)}, {at: 2 * s, signal: asks(s / 2)}}, worker: fleet.Worker{ID: "w"}, restEnds: 4 * s},
		"a longer one afterwards":               {answers: []answer{{at: s, signal: asks(3 * s)}, {at: 2 * s, signal: asks(5 * s)}}, worker: fleet.Worker{ID: "w"}, restEnds: 7 * s},
		"an answer without one":                 {answers: []answer{{at: s, signal: asks(3 * s)}, {sent: s, at: 2 * s, signal: noLimitSignal}}, worker: fleet.Worker{ID: "w"}, restEnds: 4 * s},
		"another worker":                        {answers: []answer{{at: s, signal: asks(3 * s)}}, worker: fleet.Worker{ID: "v"}},
		"another incarnation":                   {answers: []answer{{at: s, signal: asks(3 * s)}}, worker: fleet.Worker{ID: "w", StartedAt: 1}},
		"another incarnation that asks as well": {answers: []answer{{at: s, signal: asks(9 * s)}, {born: 1, at: 2 * s, signal: asks(s)}}, worker: fleet.Worker{ID: "w", StartedAt: 1}, restEnds: 3 * s},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTestTable()
			for _, w := range test.answers {
				table.Observe(&fleet.Worker{ID: "w", StartedAt: w.born}, w.signal, start.Add(w.sent), start.Add(w.at))
			}
			r := &fleet.Replica{ID: "g", Head: &test.worker}
			for at := 2 * s; at < 9*s; at += s / 4 {
				now := start.Add(at)
				rested := table.CheckRest(now)
				_, ok := table.TakeRest(r, now)
				assert.Equal(t, rested == nil || rested(r), at >= test.restEnds, "at %s", at)
				assert.Equal(t, ok, at >= test.restEnds, "at %s", at)
				assert.Equal(t, table.NextAfterRest(r, now), start.Add(max(at, test.restEnds)))
			}
			table.Refresh(start.Add(time.Minute))
			assert.Assert(t, table.CheckRest(start.Add(time.Minute)) == nil, "ended rest periods are removed")
		})
	}
}

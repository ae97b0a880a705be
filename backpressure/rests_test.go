package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestRestPeriods checks that a replica gets no requests until the longest rest period of its head
// ends, and that other workers and incarnations are not affected.
func TestRestPeriods(t *testing.T) {
	const s = time.Second
	asks := func(rest time.Duration) Signal { return Signal{Rest: rest} }
	tests := map[string]struct {
		words  []answer
		worker fleet.Worker
		// rests is when the worker's rest period ends, relative to start.
		rests time.Duration
	}{
		"nothing":                               {worker: fleet.Worker{ID: "w"}},
		"rest":                                  {words: []answer{{at: s, signal: asks(3 * s)}}, worker: fleet.Worker{ID: "w"}, rests: 4 * s},
		"a shorter one afterwards":              {words: []answer{{at: s, signal: asks(3 * s)}, {at: 2 * s, signal: asks(s / 2)}}, worker: fleet.Worker{ID: "w"}, rests: 4 * s},
		"a longer one afterwards":               {words: []answer{{at: s, signal: asks(3 * s)}, {at: 2 * s, signal: asks(5 * s)}}, worker: fleet.Worker{ID: "w"}, rests: 7 * s},
		"an answer without one":                 {words: []answer{{at: s, signal: asks(3 * s)}, {sent: s, at: 2 * s, signal: noLimit}}, worker: fleet.Worker{ID: "w"}, rests: 4 * s},
		"another worker":                        {words: []answer{{at: s, signal: asks(3 * s)}}, worker: fleet.Worker{ID: "v"}},
		"another incarnation":                   {words: []answer{{at: s, signal: asks(3 * s)}}, worker: fleet.Worker{ID: "w", Born: 1}},
		"another incarnation that asks as well": {words: []answer{{at: s, signal: asks(9 * s)}, {born: 1, at: 2 * s, signal: asks(s)}}, worker: fleet.Worker{ID: "w", Born: 1}, rests: 3 * s},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := quietTable()
			for _, w := range test.words {
				table.Hear(&fleet.Worker{ID: "w", Born: w.born}, w.signal, start.Add(w.sent), start.Add(w.at))
			}
			r := &fleet.Replica{ID: "g", Head: &test.worker}
			for at := 2 * s; at < 9*s; at += s / 4 {
				now := start.Add(at)
				rested := table.Rested(now)
				_, ok := table.TakeRested(r, now)
				assert.Equal(t, rested == nil || rested(r), at >= test.rests, "at %s", at)
				assert.Equal(t, ok, at >= test.rests, "at %s", at)
				assert.Equal(t, table.RestEnds(r, now), start.Add(max(at, test.rests)))
			}
			table.Look(start.Add(time.Minute))
			assert.Assert(t, table.Rested(start.Add(time.Minute)) == nil, "ended rest periods are removed")
		})
	}
}

package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestLimitAppliesToOneIncarnation checks that a limit applies only to the incarnation of the
// worker that reported it, whichever replica it heads.
func TestLimitAppliesToOneIncarnation(t *testing.T) {
	tests := map[string]struct {
		head      fleet.Worker
		isLimited bool
	}{
		"that incarnation":     {fleet.Worker{ID: "w", StartedAt: 1}, true},
		"its next incarnation": {fleet.Worker{ID: "w", StartedAt: 2}, false},
		"an earlier entry":     {fleet.Worker{ID: "w"}, false},
		"another worker":       {fleet.Worker{ID: "v", StartedAt: 1}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTestTable()
			table.Observe(&fleet.Worker{ID: "w", StartedAt: 1}, limitSignal(1), start, start)
			r := &fleet.Replica{ID: "any", Head: &test.head}
			assert.Equal(t, table.Check(start)(r), !test.isLimited)
			assert.Equal(t, table.HasLimit()(r), test.isLimited)
			_, ok := table.Take(r, start)
			assert.Equal(t, ok, !test.isLimited)
			assert.Equal(t, table.Next(r, start).After(start), test.isLimited)
			later := start.Add(time.Minute)
			sendBy, ok := table.Take(r, later)
			assert.Assert(t, ok)
			assert.Equal(t, sendBy.IsZero(), !test.isLimited, "a token is valid for a limited time")
		})
	}
}

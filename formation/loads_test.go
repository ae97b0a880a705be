package formation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLoadsBeforeTheFirstRequestMayCount lets loads begin shortly before the
// leader learns that requests come.
func TestLoadsBeforeTheFirstRequestMayCount(t *testing.T) {
	tests := map[string]struct {
		before time.Duration
		want   int
	}{
		"long before":        {before: 3 * time.Second, want: 7},
		"just before":        {before: 200 * time.Millisecond, want: 2},
		"at the same moment": {want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			var l loads
			l.limit(Ceiling{Window: 5 * time.Second, Over: 1.1}, 5, 7, true, now)
			l.take(5, false, now.Add(-test.before))
			assert.Equal(t, l.available(now), test.want)
			l.take(1, true, now)
			assert.Equal(t, l.available(now), test.want-1, "what was counted is counted once")
		})
	}
}

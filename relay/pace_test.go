package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSlowReplicasAreNoticed(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		expected time.Duration
		gaps     []time.Duration
		want     int
	}{
		"as predicted":                 {expected: 50 * ms, gaps: []time.Duration{50 * ms, 60 * ms, 45 * ms, 90 * ms}},
		"a pass full of prompts":       {expected: 50 * ms, gaps: []time.Duration{340 * ms, 50 * ms, 340 * ms, 120 * ms, 50 * ms}},
		"three times as slow":          {expected: 50 * ms, gaps: []time.Duration{150 * ms, 150 * ms, 150 * ms}, want: 1},
		"told once while it goes on":   {expected: 50 * ms, gaps: []time.Duration{150 * ms, 150 * ms, 150 * ms, 150 * ms, 150 * ms, 150 * ms}, want: 1},
		"nothing is known of its time": {gaps: []time.Duration{150 * ms, 150 * ms, 150 * ms}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := paceWatch{expected: test.expected}
			told := 0
			for _, gap := range test.gaps {
				if p.moved(gap) {
					told++
				}
			}
			assert.Equal(t, told, test.want)
		})
	}
}

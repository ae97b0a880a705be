package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestProgramOf(t *testing.T) {
	tests := map[string]struct {
		opts                Options
		daemon, incarnation int
		want                string
	}{
		"one build":                      {Options{Program: "now", Mix: MixHalf}, 0, 1, "now"},
		"half, an even one":              {Options{Program: "now", EarlierProgram: "before", Mix: MixHalf}, 2, 3, "before"},
		"half, an odd one":               {Options{Program: "now", EarlierProgram: "before", Mix: MixHalf}, 3, 1, "now"},
		"replaced, its first life":       {Options{Program: "now", EarlierProgram: "before", Mix: MixReplaced}, 3, 1, "before"},
		"replaced, a later life":         {Options{Program: "now", EarlierProgram: "before", Mix: MixReplaced}, 2, 2, "now"},
		"taken back, the second time":    {Options{Program: "now", EarlierProgram: "before", Mix: MixAlternating}, 2, 3, "before"},
		"taken back, between the two":    {Options{Program: "now", EarlierProgram: "before", Mix: MixAlternating}, 2, 2, "now"},
		"an earlier build without a mix": {Options{Program: "now", EarlierProgram: "before"}, 0, 1, "now"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.opts.programsOf(test.daemon)(test.incarnation), test.want)
		})
	}
}

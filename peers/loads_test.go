package peers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestPackedLoads checks that loads survive encoding and decoding.
func TestPackedLoads(t *testing.T) {
	loads := Loads{
		{Replica: fleet.KeyOf("a-b", 268435645), InFlight: 3, PendingPromptTokens: 1420, EventAgeMillis: 40}, {Replica: fleet.KeyOf("a-b", 9), InFlight: 1, EventAgeMillis: 1500},
		{Replica: fleet.KeyOf("c", 10), InFlight: 2}, {Replica: "i-worker", InFlight: 4}, {Replica: "odd@x", InFlight: 1},
	}
	data, err := loads.MarshalJSON()
	assert.NilError(t, err)
	var decoded Loads
	assert.NilError(t, decoded.UnmarshalJSON(data))
	assert.DeepEqual(t, sumLoads(decoded), sumLoads(loads))
}

// TestLoadsWithout checks the subtraction of a daemon's own loads from a sum that includes its
// earlier, different loads.
func TestLoadsWithout(t *testing.T) {
	sum := Loads{{Replica: "a", InFlight: 3, PendingPromptTokens: 300}, {Replica: "b", InFlight: 1, PendingPromptTokens: 50}, {Replica: "c", InFlight: 2}}
	own := Loads{{Replica: "a", InFlight: 1, PendingPromptTokens: 100}, {Replica: "b", InFlight: 2, PendingPromptTokens: 60}, {Replica: "d", InFlight: 1}}
	assert.DeepEqual(t, sum.Without(own), Loads{{Replica: "a", InFlight: 2, PendingPromptTokens: 200}, {Replica: "c", InFlight: 2}})
}

// TestEventAgesIncrease checks that a sum of loads holds the age of the newest event of each
// replica. The time since a load was received is added to the age, and the result is rounded up.
func TestEventAgesIncrease(t *testing.T) {
	tests := map[string]struct {
		own, other int64
		age        time.Duration
		want       int64
	}{
		"the newer one counts":   {own: 300, other: 40, age: 200 * time.Millisecond, want: 240},
		"the own one is newer":   {own: 100, other: 40, age: 200 * time.Millisecond, want: 100},
		"one is not known":       {other: 40, age: 200 * time.Millisecond, want: 240},
		"the other is not known": {own: 100, age: 200 * time.Millisecond, want: 100},
		"rounded up":             {other: 40, age: 201 * time.Millisecond, want: 250},
		"too long ago":           {other: 1400, age: 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Summary{Daemons: 1, Loads: Loads{{Replica: "a", InFlight: 1, EventAgeMillis: test.own}}}
			s.add(Summary{Daemons: 1, Loads: Loads{{Replica: "a", InFlight: 1, EventAgeMillis: test.other}}}, test.age)
			assert.DeepEqual(t, s.Loads, Loads{{Replica: "a", InFlight: 2, EventAgeMillis: test.want}})
		})
	}
	now := time.Unix(1000, 0)
	assert.Equal(t, EventAgeMillis(time.Time{}, now), int64(0))
	assert.Equal(t, EventAgeMillis(now, now), int64(10))
	assert.Equal(t, EventAgeMillis(now.Add(-time.Hour), now), int64(0))
}

// TestLoadsOfOlderDaemons checks that loads without event ages can be read.
func TestLoadsOfOlderDaemons(t *testing.T) {
	var loads Loads
	assert.NilError(t, loads.UnmarshalJSON([]byte(`{"g":{"a":[5,2,100,1,3,0]}}`)))
	assert.DeepEqual(t, loads, Loads{
		{Replica: fleet.KeyOf("a", 5), InFlight: 2, PendingPromptTokens: 100}, {Replica: fleet.KeyOf("a", 6), InFlight: 3},
	})
}

// TestSummariesAreSplit checks that the parts of a summary hold each load once and add up to the
// whole.
func TestSummariesAreSplit(t *testing.T) {
	whole := Summary{Daemons: 9, Demand: map[string]float64{"m": 4}, Age: 120}
	for i := range 2*loadsPerPart + 1 {
		whole.Loads = append(whole.Loads, Load{Replica: fmt.Sprint(i), InFlight: 1})
	}
	parts := whole.split()
	assert.Equal(t, len(parts), 3)
	var sum Summary
	for _, part := range parts {
		assert.Assert(t, len(part.Loads) < 2*loadsPerPart)
		sum.add(part, 0)
	}
	assert.Equal(t, sum.Daemons, 9)
	assert.Equal(t, sum.Age, int64(120))
	assert.DeepEqual(t, sum.Demand, whole.Demand)
	assert.DeepEqual(t, sum.Loads, sumLoads(whole.Loads))
}

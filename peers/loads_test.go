package peers

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// TestPackedLoads checks that loads survive being packed.
func TestPackedLoads(t *testing.T) {
	loads := Loads{
		{Replica: fleet.KeyOf("a-b", 268435645), InFlight: 3, Prefill: 1420}, {Replica: fleet.KeyOf("a-b", 9), InFlight: 1},
		{Replica: fleet.KeyOf("c", 10), InFlight: 2}, {Replica: "i-worker", InFlight: 4}, {Replica: "odd@x", InFlight: 1},
	}
	data, err := loads.MarshalJSON()
	assert.NilError(t, err)
	var back Loads
	assert.NilError(t, back.UnmarshalJSON(data))
	assert.DeepEqual(t, sumLoads(back), sumLoads(loads))
}

// TestOwnWorkIsTakenOut takes a daemon's own work out of a sum that includes it, as it
// was a moment ago.
func TestOwnWorkIsTakenOut(t *testing.T) {
	sum := Loads{{Replica: "a", InFlight: 3, Prefill: 300}, {Replica: "b", InFlight: 1, Prefill: 50}, {Replica: "c", InFlight: 2}}
	own := Loads{{Replica: "a", InFlight: 1, Prefill: 100}, {Replica: "b", InFlight: 2, Prefill: 60}, {Replica: "d", InFlight: 1}}
	assert.DeepEqual(t, sum.Without(own), Loads{{Replica: "a", InFlight: 2, Prefill: 200}, {Replica: "c", InFlight: 2}})
}

// TestSummariesAreSplit checks that the parts of a summary hold its loads once, each
// replica in the same part while their number stays, and add up to it.
func TestSummariesAreSplit(t *testing.T) {
	whole := Summary{Daemons: 9, Demand: map[string]float64{"m": 4}, Age: 120}
	for i := range 2*loadsPerPart + 1 {
		whole.Loads = append(whole.Loads, Load{Replica: fmt.Sprint(i), InFlight: 1})
	}
	parts := whole.parts()
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

package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRegisteredDoesNotShrink: daemons that fell silent are forgotten by the table, but
// not by the list of those that may be there.
func TestRegisteredDoesNotShrink(t *testing.T) {
	identity := func(id string, incarnation int64) Identity {
		return Identity{ID: id, Incarnation: incarnation, Address: id + ":1"}
	}
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(identity("m", 5))
		assert.DeepEqual(t, table.Registered(), []string{"m"})
		table.Learn(identity("z", 1), time.Now())
		table.Learn(identity("z", 2), time.Now())
		table.Learn(identity("m", 4), time.Now())
		table.Learn(Identity{ID: "nowhere"}, time.Now())
		held := table.Registered()
		table.Hear(Heartbeat{Identity: identity("a", 1)}, time.Now(), time.Now())
		assert.DeepEqual(t, held, []string{"m", "z"})
		time.Sleep(2 * forgetAfter)
		table.layout(time.Now(), standing{role: Direct}, 1, 1)
		assert.Equal(t, len(table.Alive(time.Now())), 0)
		assert.Equal(t, len(table.peers), 0)
		assert.DeepEqual(t, table.Registered(), []string{"a", "m", "z"})
	})
}

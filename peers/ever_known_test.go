package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestEverKnownKeepsSilentDaemons checks that a silent daemon is removed from the peers of a table,
// but that EverKnownIDs still returns it.
func TestEverKnownKeepsSilentDaemons(t *testing.T) {
	identity := func(id string, incarnation int64) Identity {
		return Identity{ID: id, Incarnation: incarnation, Address: id + ":1"}
	}
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(identity("m", 5))
		assert.DeepEqual(t, table.EverKnownIDs(), []string{"m"})
		table.Learn(identity("z", 1), time.Now())
		table.Learn(identity("z", 2), time.Now())
		table.Learn(identity("m", 4), time.Now())
		table.Learn(Identity{ID: "nowhere"}, time.Now())
		before := table.EverKnownIDs()
		table.RecordHeartbeat(Heartbeat{Identity: identity("a", 1)}, time.Now(), time.Now())
		assert.DeepEqual(t, before, []string{"m", "z"})
		time.Sleep(2 * forgetAfter)
		table.layout(time.Now(), previousRole{role: Direct}, 1, 1)
		assert.Equal(t, len(table.Alive(time.Now())), 0)
		assert.Equal(t, len(table.peers), 0)
		assert.DeepEqual(t, table.EverKnownIDs(), []string{"a", "m", "z"})
	})
}

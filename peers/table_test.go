package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestIncarnationsReplaceEachOther checks which heartbeats a table accepts after a daemon restarts.
// Its clock may have been set back, and heartbeats from before the restart may arrive late.
func TestIncarnationsReplaceEachOther(t *testing.T) {
	heartbeat := func(incarnation int64) Heartbeat {
		return Heartbeat{Identity: Identity{ID: "b", Incarnation: incarnation, Address: "b:1"}}
	}
	tests := map[string]struct {
		silence    time.Duration
		next       int64
		isAccepted bool
	}{
		"a later incarnation":                              {next: 11, isAccepted: true},
		"a late heartbeat of an earlier incarnation":       {next: 9},
		"the same incarnation":                             {next: 10, isAccepted: true},
		"a lower incarnation after the clock was set back": {silence: lowerIncarnationDelay, next: 9, isAccepted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := NewTable(Identity{ID: "a", Address: "a:1"})
				assert.Assert(t, table.RecordHeartbeat(heartbeat(10), time.Now(), time.Now()))
				time.Sleep(test.silence)
				assert.Equal(t, table.RecordHeartbeat(heartbeat(test.next), time.Now(), time.Now()), test.isAccepted)
			})
		})
	}
}

// TestNeverConfirmedIsZeroTime checks that an age of NeverConfirmed yields the zero time rather than
// a time in the distant past.
func TestNeverConfirmedIsZeroTime(t *testing.T) {
	now := time.Now()
	p := &Peer{Heartbeat: Heartbeat{ConfigAge: NeverConfirmed, WorkersAge: 5}, SentAfter: now}
	assert.Assert(t, p.ConfigConfirmedAt().IsZero())
	assert.Assert(t, p.WorkersConfirmedAt().Equal(now.Add(-5*time.Millisecond)))
}

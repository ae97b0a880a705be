package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestLivesFollowOneAnother restarts a daemon, also after its clock was set
// back, and lets old heartbeats come late.
func TestLivesFollowOneAnother(t *testing.T) {
	heartbeat := func(incarnation int64) Heartbeat {
		return Heartbeat{Identity: Identity{ID: "b", Incarnation: incarnation, Address: "b:1"}}
	}
	tests := map[string]struct {
		silence time.Duration
		next    int64
		heard   bool
	}{
		"a later life":                              {next: 11, heard: true},
		"a late heartbeat of an earlier life":       {next: 9},
		"the same life":                             {next: 10, heard: true},
		"a life begun after the clock was set back": {silence: lifeAfter, next: 9, heard: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := NewTable(Identity{ID: "a", Address: "a:1"})
				assert.Assert(t, table.Hear(heartbeat(10), time.Now(), time.Now()))
				time.Sleep(test.silence)
				assert.Equal(t, table.Hear(heartbeat(test.next), time.Now(), time.Now()), test.heard)
			})
		})
	}
}

// TestNeverConfirmedIsNoTime: what a peer never knew to be the newest is confirmed at no time,
// rather than at one of long ago.
func TestNeverConfirmedIsNoTime(t *testing.T) {
	now := time.Now()
	p := &Peer{Heartbeat: Heartbeat{ConfigAge: Never, WorkersAge: 5}, SentAfter: now}
	assert.Assert(t, p.ConfigConfirmed().IsZero())
	assert.Assert(t, p.WorkersConfirmed().Equal(now.Add(-5*time.Millisecond)))
}

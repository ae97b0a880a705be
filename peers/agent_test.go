package peers

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/suspension"
)

// freeAddress returns a free loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func newAgent(t *testing.T, id string, onHeartbeat func(*Peer)) *Agent {
	t.Helper()
	a, err := NewAgent(Options{
		Self:          Identity{ID: id, Incarnation: 1, Address: freeAddress(t), ServingAddress: id},
		FillHeartbeat: func(b *Heartbeat, _ time.Time) { b.Ready, b.ConfigAge = true, 100 },
		OnHeartbeat:   onHeartbeat, OnNews: func(*Peer, *News) {}, OnSummary: func(string, Summary, time.Time) {}, OnSent: func(string, int) {},
		Logger: hclog.NewNullLogger(),
	})
	assert.NilError(t, err)
	return a
}

func TestAgentsFindEachOtherThroughOneSeed(t *testing.T) {
	received := make(chan *Peer, 1000)
	a := newAgent(t, "a", func(p *Peer) { received <- p })
	b := newAgent(t, "b", func(*Peer) {})
	ctx, cancel := context.WithCancel(context.Background())
	for _, agent := range []*Agent{a, b} {
		go agent.Run(ctx)
		defer func() { <-agent.Done() }()
	}
	defer cancel()
	b.Table().Learn(a.opts.Self, time.Now())
	for p := range received {
		// SentAfter is known once the peer has echoed this daemon's clock.
		if !p.SentAfter.IsZero() {
			assert.Equal(t, p.ID, "b")
			assert.Assert(t, p.SentAfter.Before(p.LastHeartbeatAt))
			assert.Equal(t, p.ConfigConfirmedAt(), p.SentAfter.Add(-100*time.Millisecond))
			break
		}
	}
	assert.Equal(t, len(a.Table().Alive(time.Now())), 1)
}

func TestTable(t *testing.T) {
	now := time.Unix(1000, 0)
	heartbeat := func(incarnation int64) Heartbeat {
		return Heartbeat{Identity: Identity{ID: "b", Incarnation: incarnation, Address: "b:1"}}
	}
	table := NewTable(Identity{ID: "a", Incarnation: 1, Address: "a:1"})
	assert.Assert(t, table.RecordHeartbeat(heartbeat(2), now, now))
	assert.Assert(t, !table.RecordHeartbeat(heartbeat(1), now, now), "an earlier incarnation")
	assert.Assert(t, !table.RecordHeartbeat(heartbeat(2), now, now.Add(-time.Second)), "a heartbeat that arrived out of order")
	assert.Assert(t, !table.RecordHeartbeat(Heartbeat{Identity: Identity{ID: "a", Incarnation: 1}}, now, now), "itself")
	assert.Equal(t, len(table.Alive(now.Add(aliveTimeout/2))), 1)
	assert.Equal(t, len(table.Alive(now.Add(2*aliveTimeout))), 0)
	resumedAt := now.Add(5 * time.Second)
	table.NotePause(resumedAt, 5*time.Second)
	assert.Equal(t, len(table.Alive(resumedAt)), 1, "queued heartbeats are yet to be read")
	assert.Assert(t, !table.HasCaughtUp(resumedAt))
	assert.Assert(t, table.HasCaughtUp(resumedAt.Add(aliveTimeout)))
	recipients := func(at time.Time) int { return len(table.layout(at, previousRole{role: Direct}, 1, 1).peers) }
	assert.Equal(t, recipients(now.Add(forgetAfter/2)), 1, "silent daemons still get heartbeats")
	assert.Equal(t, recipients(now.Add(2*forgetAfter)), 0)
	table.Learn(Identity{ID: "z", Incarnation: 1, Address: "a:1"}, now)
	assert.Equal(t, recipients(now), 0, "a daemon does not report to itself")
}

func TestLeaderAge(t *testing.T) {
	table := NewTable(Identity{ID: "a", Incarnation: 1})
	now := time.Unix(1000, 0)
	assert.Equal(t, table.LeaderAge(now), int64(0))
	table.RecordHeartbeat(Heartbeat{Identity: Identity{ID: "b", Incarnation: 1}, OwnClaim: &Claim{Epoch: 1}}, now, now)
	assert.Equal(t, table.LeaderAge(now.Add(time.Second)), int64(1001))
}

// TestBriefHeartbeatsOnlyAfterAcknowledgment checks which daemons may get brief heartbeats.
func TestBriefHeartbeatsOnlyAfterAcknowledgment(t *testing.T) {
	second := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	tests := map[string]struct {
		// acknowledged is the reading of this daemon's clock that the other one echoed last.
		acknowledged, grantChanged, now time.Duration
		mayBeBrief                      bool
	}{
		"never heard":                     {now: second(1)},
		"heard recently":                  {acknowledged: second(9), now: second(10), mayBeBrief: true},
		"heard long ago":                  {acknowledged: second(7), now: second(10)},
		"heard before the grant changed":  {acknowledged: second(9), grantChanged: second(9.5), now: second(10)},
		"heard after the grant changed":   {acknowledged: second(9.7), grantChanged: second(9.5), now: second(10), mayBeBrief: true},
		"heard nothing since its restart": {acknowledged: 0, now: second(1.5)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClocks()
			c.acknowledged["b:1"], c.grantChangedAt = test.acknowledged, test.grantChanged
			assert.Equal(t, c.hasAcknowledged("b:1", test.now), test.mayBeBrief)
			assert.Assert(t, !c.hasAcknowledged("c:1", test.now))
		})
	}
}

// newAgentWithoutTransport returns an agent that only receives what a test passes to it.
func newAgentWithoutTransport(onHeartbeat func(*Peer)) *Agent {
	return &Agent{
		opts: Options{
			Self: Identity{ID: "a", Incarnation: 1}, OnHeartbeat: onHeartbeat, OnNews: func(*Peer, *News) {},
			OnSummary: func(string, Summary, time.Time) {}, Suspended: suspension.Never, Logger: hclog.NewNullLogger(),
		},
		table: NewTable(Identity{ID: "a", Incarnation: 1}), clocks: newClocks(), receivedSummaries: newSummaries(), startedAt: time.Now(), loggedDrops: make(map[string]bool),
	}
}

// TestBriefHeartbeatsAreCompleted checks that a brief heartbeat is used only after a full one of
// the same incarnation.
func TestBriefHeartbeatsAreCompleted(t *testing.T) {
	var received []*Peer
	a := newAgentWithoutTransport(func(p *Peer) { received = append(received, p) })
	clock := time.Duration(0)
	receive := func(b *Heartbeat) {
		clock += time.Millisecond
		m := &message{ID: b.ID, Incarnation: b.Incarnation, Heartbeat: b}
		a.handleDatagram(a.encodeDatagram(m, clock), time.Now())
	}
	full := &Heartbeat{
		Identity: Identity{ID: "b", Incarnation: 1, Zone: "z", Address: "b:1", ServingAddress: "f"},
		Grant:    Grant{Epoch: 7, Holders: []Holder{{ID: "b", Incarnation: 1}}}, ConfigVersion: 3,
	}
	receive(full.toBrief())
	assert.Equal(t, len(received), 0, "no full heartbeat was received before")
	assert.Equal(t, a.clocks.latest("b:1"), int64(0), "a rejected heartbeat is not acknowledged")
	receive(full)
	changed := *full
	changed.ConfigVersion = 4
	receive(changed.toBrief())
	assert.Equal(t, len(received), 2)
	assert.Equal(t, received[1].ConfigVersion, int64(4))
	assert.DeepEqual(t, received[1].Identity, full.Identity)
	assert.DeepEqual(t, received[1].Grant, full.Grant)
	restarted := *full
	restarted.Incarnation = 2
	receive(restarted.toBrief())
	assert.Equal(t, len(received), 2, "a new incarnation must send a full heartbeat first")
	receive(&restarted)
	assert.Equal(t, len(received), 3)
}

// FuzzDatagram checks that malformed datagrams cause no panic.
func FuzzDatagram(f *testing.F) {
	body, err := encode(&message{
		ID: "b", Incarnation: 2, Heartbeat: &Heartbeat{Identity: Identity{ID: "b", Incarnation: 2, Address: "b:1"}},
		Statuses: []Status{{ID: "c"}}, Identities: []Identity{{ID: "c", Address: "c:1"}}, Fleet: &Summary{Daemons: 2},
	})
	if err != nil {
		f.Fatal(err)
	}
	datagram := append(binary.BigEndian.AppendUint64([]byte{framingVersion}, 5), make([]byte, 8)...)
	f.Add(append(datagram, body...))
	f.Add([]byte{framingVersion})
	f.Fuzz(func(_ *testing.T, data []byte) {
		newAgentWithoutTransport(func(*Peer) {}).handleDatagram(data, time.Now())
	})
}

// TestHeartbeatQueuedDuringSuspension checks that the age of a heartbeat includes the time that it
// was queued while the machine was suspended. The monotonic clock does not count that time.
func TestHeartbeatQueuedDuringSuspension(t *testing.T) {
	var received []*Peer
	a := newAgentWithoutTransport(func(p *Peer) { received = append(received, p) })
	suspended := time.Duration(0)
	a.opts.Suspended = func() time.Duration { return suspended }
	b := &Heartbeat{Identity: Identity{ID: "b", Incarnation: 1, Address: "b:1"}}
	datagram := a.encodeDatagram(&message{ID: "b", Incarnation: 1, Heartbeat: b}, time.Millisecond)
	sentAt := a.startedAt.Add(time.Second)
	binary.BigEndian.PutUint64(datagram[9:], uint64(a.clock(sentAt)))
	suspended = time.Minute
	readAt := sentAt.Add(100 * time.Millisecond)
	a.handleDatagram(datagram, readAt)
	assert.Equal(t, len(received), 1)
	assert.Equal(t, readAt.Sub(received[0].SentAfter), time.Minute+100*time.Millisecond)
}

// TestTableAfterSuspension checks that recorded times are moved back by the suspended time. Peers
// must nevertheless count as alive until the queued datagrams have been read.
func TestTableAfterSuspension(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Identity{ID: "a", Incarnation: 1, Address: "a:1"})
	b := Heartbeat{Identity: Identity{ID: "b", Incarnation: 1, Address: "b:1"}}
	assert.Assert(t, table.RecordHeartbeat(b, now, now))
	table.NoteSuspension(now, time.Minute)
	assert.Assert(t, !table.HasCaughtUp(now))
	assert.Equal(t, len(table.Alive(now)), 1, "queued heartbeats are yet to be read")
	assert.Equal(t, table.Alive(now)[0].SentAfter, now.Add(-time.Minute))
	assert.Equal(t, len(table.Alive(now.Add(aliveTimeout))), 0)
}

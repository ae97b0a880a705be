package peers

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/awake"
)

// freeAddress returns a loopback address that the kernel chose.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func newAgent(t *testing.T, id string, heard func(*Peer)) *Agent {
	t.Helper()
	a, err := NewAgent(Options{
		Self:    Identity{ID: id, Incarnation: 1, Address: freeAddress(t), Front: id},
		Compose: func(b *Heartbeat, _ time.Time) { b.Ready, b.ConfigAge = true, 100 },
		Heard:   heard, News: func(*Peer, *News) {}, Summed: func(string, Summary, time.Time) {}, Counted: func(string, int) {},
		Logger: hclog.NewNullLogger(),
	})
	assert.NilError(t, err)
	return a
}

func TestAgentsFindEachOtherThroughOneSeed(t *testing.T) {
	heard := make(chan *Peer, 1000)
	a := newAgent(t, "a", func(p *Peer) { heard <- p })
	b := newAgent(t, "b", func(*Peer) {})
	ctx, cancel := context.WithCancel(context.Background())
	for _, agent := range []*Agent{a, b} {
		go agent.Run(ctx)
		defer func() { <-agent.Done() }()
	}
	defer cancel()
	b.Table().Learn(a.opts.Self, time.Now())
	for p := range heard {
		// The age counts from a time at which this daemon was heard before.
		if !p.SentAfter.IsZero() {
			assert.Equal(t, p.ID, "b")
			assert.Assert(t, p.SentAfter.Before(p.HeardAt))
			assert.Equal(t, p.ConfigConfirmed(), p.SentAfter.Add(-100*time.Millisecond))
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
	assert.Assert(t, table.Hear(heartbeat(2), now, now))
	assert.Assert(t, !table.Hear(heartbeat(1), now, now), "an earlier life")
	assert.Assert(t, !table.Hear(heartbeat(2), now, now.Add(-time.Second)), "a beat that was overtaken")
	assert.Assert(t, !table.Hear(Heartbeat{Identity: Identity{ID: "a", Incarnation: 1}}, now, now), "itself")
	assert.Equal(t, len(table.Alive(now.Add(aliveFor/2))), 1)
	assert.Equal(t, len(table.Alive(now.Add(2*aliveFor))), 0)
	held := now.Add(5 * time.Second)
	table.HeldUp(held, 5*time.Second)
	assert.Equal(t, len(table.Alive(held)), 1, "heartbeats wait to be read")
	assert.Assert(t, !table.Settled(held))
	assert.Assert(t, table.Settled(held.Add(aliveFor)))
	told := func(at time.Time) int { return len(table.layout(at, standing{role: Direct}, 1, 1).peers) }
	assert.Equal(t, told(now.Add(forgetAfter/2)), 1, "silent daemons are still told")
	assert.Equal(t, told(now.Add(2*forgetAfter)), 0)
	table.Learn(Identity{ID: "z", Incarnation: 1, Address: "a:1"}, now)
	assert.Equal(t, told(now), 0, "no daemon is its own seed")
}

func TestLeaderAge(t *testing.T) {
	table := NewTable(Identity{ID: "a", Incarnation: 1})
	now := time.Unix(1000, 0)
	assert.Equal(t, table.LeaderAge(now), int64(0))
	table.Hear(Heartbeat{Identity: Identity{ID: "b", Incarnation: 1}, Leads: &Claim{Epoch: 1}}, now, now)
	assert.Equal(t, table.LeaderAge(now.Add(time.Second)), int64(1001))
}

// TestBriefHeartbeatsGoToThoseThatHoldTheRest plays what two daemons tell each other.
func TestBriefHeartbeatsGoToThoseThatHoldTheRest(t *testing.T) {
	second := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	tests := map[string]struct {
		// heard is this daemon's clock as the other one heard it last.
		heard, changed, now time.Duration
		brief               bool
	}{
		"never heard":                     {now: second(1)},
		"heard of late":                   {heard: second(9), now: second(10), brief: true},
		"heard long ago":                  {heard: second(7), now: second(10)},
		"heard before the grant changed":  {heard: second(9), changed: second(9.5), now: second(10)},
		"heard after the grant changed":   {heard: second(9.7), changed: second(9.5), now: second(10), brief: true},
		"heard nothing since its restart": {heard: 0, now: second(1.5)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClocks()
			c.ours["b:1"], c.changedAt = test.heard, test.changed
			assert.Equal(t, c.holds("b:1", test.now), test.brief)
			assert.Assert(t, !c.holds("c:1", test.now))
		})
	}
}

// deafAgent returns an agent without a transport.
func deafAgent(heard func(*Peer)) *Agent {
	return &Agent{
		opts: Options{
			Self: Identity{ID: "a", Incarnation: 1}, Heard: heard, News: func(*Peer, *News) {},
			Summed: func(string, Summary, time.Time) {}, Suspended: awake.Never, Logger: hclog.NewNullLogger(),
		},
		table: NewTable(Identity{ID: "a", Incarnation: 1}), clocks: newClocks(), sums: newSummaries(), start: time.Now(), passedOver: make(map[string]bool),
	}
}

// TestBriefHeartbeatsAreCompleted feeds a daemon with heartbeats of two lives of another.
func TestBriefHeartbeatsAreCompleted(t *testing.T) {
	var heard []*Peer
	a := deafAgent(func(p *Peer) { heard = append(heard, p) })
	clock := time.Duration(0)
	tell := func(b *Heartbeat) {
		clock += time.Millisecond
		m := &message{ID: b.ID, Incarnation: b.Incarnation, Heartbeat: b}
		a.take(a.datagram(m, clock), time.Now())
	}
	whole := &Heartbeat{
		Identity: Identity{ID: "b", Incarnation: 1, Zone: "z", Address: "b:1", Front: "f"},
		Grant:    Grant{Epoch: 7, Holders: []Holder{{ID: "b", Incarnation: 1}}}, ConfigVersion: 3,
	}
	tell(whole.brief())
	assert.Equal(t, len(heard), 0, "nothing whole was heard before")
	assert.Equal(t, a.clocks.of("b:1"), int64(0), "what is not taken is not shown as heard")
	tell(whole)
	news := *whole
	news.ConfigVersion = 4
	tell(news.brief())
	assert.Equal(t, len(heard), 2)
	assert.Equal(t, heard[1].ConfigVersion, int64(4))
	assert.DeepEqual(t, heard[1].Identity, whole.Identity)
	assert.DeepEqual(t, heard[1].Grant, whole.Grant)
	restarted := *whole
	restarted.Incarnation = 2
	tell(restarted.brief())
	assert.Equal(t, len(heard), 2, "another life has to be heard whole")
	tell(&restarted)
	assert.Equal(t, len(heard), 3)
}

// FuzzDatagram checks that foreign and torn datagrams do no harm.
func FuzzDatagram(f *testing.F) {
	body, err := encode(&message{
		ID: "b", Incarnation: 2, Heartbeat: &Heartbeat{Identity: Identity{ID: "b", Incarnation: 2, Address: "b:1"}},
		Statuses: []Status{{ID: "c"}}, Known: []Identity{{ID: "c", Address: "c:1"}}, Fleet: &Summary{Daemons: 2},
	})
	if err != nil {
		f.Fatal(err)
	}
	whole := append(binary.BigEndian.AppendUint64([]byte{formatByte}, 5), make([]byte, 8)...)
	f.Add(append(whole, body...))
	f.Add([]byte{formatByte})
	f.Fuzz(func(_ *testing.T, data []byte) {
		deafAgent(func(*Peer) {}).take(data, time.Now())
	})
}

// TestHeartbeatsThatWaitedOverASuspension: a machine was suspended for a minute after it had
// told its clock. A heartbeat that had come by then and echoed it was read when the machine
// woke; what it confirmed counted as fresh, as the steady clock had stood still.
func TestHeartbeatsThatWaitedOverASuspension(t *testing.T) {
	var heard []*Peer
	a := deafAgent(func(p *Peer) { heard = append(heard, p) })
	asleep := time.Duration(0)
	a.opts.Suspended = func() time.Duration { return asleep }
	b := &Heartbeat{Identity: Identity{ID: "b", Incarnation: 1, Address: "b:1"}}
	datagram := a.datagram(&message{ID: "b", Incarnation: 1, Heartbeat: b}, time.Millisecond)
	told := a.start.Add(time.Second)
	binary.BigEndian.PutUint64(datagram[9:], uint64(a.clock(told)))
	asleep = time.Minute
	read := told.Add(100 * time.Millisecond)
	a.take(datagram, read)
	assert.Equal(t, len(heard), 1)
	assert.Equal(t, read.Sub(heard[0].SentAfter), time.Minute+100*time.Millisecond)
}

// TestTableOverASuspension: others count as heard so much earlier, but not as silent before
// what waits is read.
func TestTableOverASuspension(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Identity{ID: "a", Incarnation: 1, Address: "a:1"})
	b := Heartbeat{Identity: Identity{ID: "b", Incarnation: 1, Address: "b:1"}}
	assert.Assert(t, table.Hear(b, now, now))
	table.Slept(now, time.Minute)
	assert.Assert(t, !table.Settled(now))
	assert.Equal(t, len(table.Alive(now)), 1, "heartbeats wait to be read")
	assert.Equal(t, table.Alive(now)[0].SentAfter, now.Add(-time.Minute))
	assert.Equal(t, len(table.Alive(now.Add(aliveFor))), 0)
}

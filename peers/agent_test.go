package peers

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
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
		Compose: func(b *Beat, _ time.Time) { b.Ready, b.ConfigAge = true, 100 },
		Heard:   heard, Logger: hclog.NewNullLogger(),
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
	b.Table().AddSeed(a.opts.Self.Address, time.Now())
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
	beat := func(incarnation int64) Beat {
		return Beat{Identity: Identity{ID: "b", Incarnation: incarnation, Address: "b:1"}}
	}
	table := NewTable(Identity{ID: "a", Incarnation: 1, Address: "a:1"})
	assert.Assert(t, table.Hear(beat(2), now, now))
	assert.Assert(t, !table.Hear(beat(1), now, now), "an earlier life")
	assert.Assert(t, !table.Hear(beat(2), now, now.Add(-time.Second)), "a beat that was overtaken")
	assert.Assert(t, !table.Hear(Beat{Identity: Identity{ID: "a", Incarnation: 1}}, now, now), "itself")
	assert.Equal(t, len(table.Alive(now.Add(aliveFor/2))), 1)
	assert.Equal(t, len(table.Alive(now.Add(2*aliveFor))), 0)
	held := now.Add(5 * time.Second)
	table.HeldUp(held, 5*time.Second)
	assert.Equal(t, len(table.Alive(held)), 1, "beats wait to be read")
	assert.Assert(t, !table.Settled(held))
	assert.Assert(t, table.Settled(held.Add(aliveFor)))
	assert.Equal(t, len(table.destinations(now.Add(forgetAfter/2))), 1, "silent daemons are still told")
	assert.Equal(t, len(table.destinations(now.Add(2*forgetAfter))), 0)
	table.AddSeed("a:1", now)
	assert.Equal(t, len(table.destinations(now)), 0, "no daemon is its own seed")
}

func TestLargeFleetsAreGivenMoreTime(t *testing.T) {
	table := NewTable(Identity{ID: "a", Incarnation: 1})
	now := time.Unix(1000, 0)
	assert.Equal(t, table.Patience(), aliveFor)
	for i := range 3 * fanout {
		table.Hear(Beat{Identity: Identity{ID: fmt.Sprint(i), Incarnation: 1}}, now, now)
	}
	assert.Equal(t, table.Patience(), aliveFor+2*aliveTurn)
}

func TestLeaderAge(t *testing.T) {
	table := NewTable(Identity{ID: "a", Incarnation: 1})
	now := time.Unix(1000, 0)
	assert.Equal(t, table.LeaderAge(now), int64(0))
	table.Hear(Beat{Identity: Identity{ID: "b", Incarnation: 1}, Leads: &Claim{Epoch: 1}}, now, now)
	assert.Equal(t, table.LeaderAge(now.Add(time.Second)), int64(1001))
}

func TestLargeFleetsAreToldInTurns(t *testing.T) {
	a := newAgent(t, "a", func(*Peer) {})
	defer func() { _ = a.conn.Close() }()
	var all []string
	for i := range 3 * fanout {
		all = append(all, fmt.Sprint(i))
	}
	told := make(map[string]bool)
	for range 3 {
		turn := a.turn(all, false)
		assert.Equal(t, len(turn), fanout)
		for _, address := range turn {
			told[address] = true
		}
	}
	assert.Equal(t, len(told), len(all))
	assert.Equal(t, len(a.turn(all, true)), len(all), "a leader tells all at once")
	leader := Beat{Identity: Identity{ID: "l", Incarnation: 1, Address: "leader"}, Leads: &Claim{Epoch: 1}}
	a.table.Hear(leader, time.Now(), time.Now())
	assert.Assert(t, slices.Contains(a.turn(all, false), "leader"), "the leader is told in every turn")
}

// TestBriefBeatsGoToThoseThatHoldTheRest plays what two daemons tell each other.
func TestBriefBeatsGoToThoseThatHoldTheRest(t *testing.T) {
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
			a := &Agent{held: map[string]time.Duration{"b:1": test.heard}, changedAt: test.changed}
			assert.Equal(t, a.holds("b:1", test.now), test.brief)
			assert.Assert(t, !a.holds("c:1", test.now))
		})
	}
}

// TestBriefBeatsAreCompleted feeds a daemon with beats of two lives of another.
func TestBriefBeatsAreCompleted(t *testing.T) {
	var heard []*Peer
	a := &Agent{
		opts:  Options{Heard: func(p *Peer) { heard = append(heard, p) }, Logger: hclog.NewNullLogger()},
		table: NewTable(Identity{ID: "a", Incarnation: 1}), start: time.Now(),
		clocks: make(map[string]int64), held: make(map[string]time.Duration),
	}
	clock := time.Duration(0)
	tell := func(b *Beat) {
		clock += time.Millisecond
		a.take(a.datagram(b, clock), time.Now())
	}
	whole := &Beat{
		Identity: Identity{ID: "b", Incarnation: 1, Zone: "z", Address: "b:1", Front: "f"},
		Grant:    Grant{Epoch: 7, Holders: []Holder{{ID: "b", Incarnation: 1}}}, ConfigVersion: 3,
	}
	tell(whole.brief())
	assert.Equal(t, len(heard), 0, "nothing whole was heard before")
	assert.Equal(t, a.clockOf("b:1"), int64(0), "what is not taken is not shown as heard")
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
	body, err := encodeBeat(&Beat{Identity: Identity{ID: "b", Incarnation: 2, Address: "b:1"}})
	if err != nil {
		f.Fatal(err)
	}
	whole := append(binary.BigEndian.AppendUint64([]byte{formatByte}, 5), make([]byte, 8)...)
	f.Add(append(whole, body...))
	f.Add([]byte{formatByte})
	f.Fuzz(func(_ *testing.T, data []byte) {
		a := &Agent{
			opts:  Options{Heard: func(*Peer) {}, Logger: hclog.NewNullLogger()},
			table: NewTable(Identity{ID: "a", Incarnation: 1}), start: time.Now(),
			clocks: make(map[string]int64), held: make(map[string]time.Duration),
		}
		a.take(data, time.Now())
	})
}

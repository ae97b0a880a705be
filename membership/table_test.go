package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"quartzshelf.dev/rpc"
)

func member(id string, incarnation uint64, state rpc.MemberState) *rpc.Member {
	return &rpc.Member{Id: id, Incarnation: incarnation, State: state, PeerAddress: id}
}

func TestMerge(t *testing.T) {
	alive, suspect, dead := rpc.MemberState_ALIVE, rpc.MemberState_SUSPECT, rpc.MemberState_DEAD
	cases := map[string]struct {
		updates []*rpc.Member
		want    rpc.MemberState
	}{
		"suspicion holds over old life sign":  {[]*rpc.Member{member("b", 1, alive), member("b", 1, suspect), member("b", 1, alive)}, suspect},
		"refutation with higher incarnation":  {[]*rpc.Member{member("b", 1, suspect), member("b", 2, alive)}, alive},
		"death holds over the same life":      {[]*rpc.Member{member("b", 1, dead), member("b", 1, alive)}, dead},
		"a new life after death":              {[]*rpc.Member{member("b", 1, dead), member("b", 2, alive)}, alive},
		"what an older life says is ignored":  {[]*rpc.Member{member("b", 2, alive), member("b", 1, dead)}, alive},
		"an entry without a name is ignored":  {[]*rpc.Member{member("", 9, dead), member("b", 1, alive)}, alive},
		"a departed one does not come back":   {[]*rpc.Member{member("b", 1, rpc.MemberState_LEFT), member("b", 1, suspect)}, rpc.MemberState_LEFT},
		"a repeated message changes nothing":  {[]*rpc.Member{member("b", 1, suspect), member("b", 2, alive), member("b", 1, suspect)}, alive},
		"an unknown member counts as dead":    {nil, dead},
		"an older suspicion is of no account": {[]*rpc.Member{member("b", 5, alive), member("b", 4, suspect)}, alive},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(member("a", 1, alive), time.Second)
			for _, m := range c.updates {
				table.Merge([]*rpc.Member{m})
			}
			assert.Equal(t, table.State("b"), c.want)
		})
	}
}

func TestSuspectedMemberRefutes(t *testing.T) {
	table := NewTable(member("a", 3, rpc.MemberState_ALIVE), time.Second)
	table.Merge([]*rpc.Member{member("a", 3, rpc.MemberState_SUSPECT)})
	assert.Equal(t, table.Self().Incarnation, uint64(4))
	table.Merge([]*rpc.Member{member("a", 3, rpc.MemberState_DEAD)})
	assert.Equal(t, table.Self().Incarnation, uint64(4))
}

// localFleet is a fleet of agents in one process. It counts the calls between them and the bytes
// sent.
type localFleet struct {
	agents map[string]*Agent
	bytes  int
	calls  int
}

// localPeer calls an agent of the same process.
type localPeer struct {
	rpc.Peer
	fleet *localFleet
	to    string
}

func (p localPeer) count(messages ...proto.Message) {
	p.fleet.calls++
	for _, m := range messages {
		p.fleet.bytes += proto.Size(m)
	}
}

func (p localPeer) Exchange(ctx context.Context, q *rpc.ExchangeRequest) (*rpc.ExchangeReply, error) {
	reply, err := p.fleet.agents[p.to].Exchange(ctx, q)
	p.count(q, reply)
	return reply, err
}

func (p localPeer) Probe(ctx context.Context, q *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	reply, err := p.fleet.agents[p.to].Probe(ctx, q)
	p.count(q, reply)
	return reply, err
}

// noReports is an empty store of domain reports.
type noReports struct{}

func (noReports) Digest() []*rpc.ReportDigest                         { return nil }
func (noReports) MissingFrom([]*rpc.ReportDigest) []*rpc.DomainReport { return nil }
func (noReports) Merge([]*rpc.DomainReport, time.Time)                {}

// noConfiguration is an empty configuration.
type noConfiguration struct{}

func (noConfiguration) Next() int64              { return 0 }
func (noConfiguration) IsStale() bool            { return false }
func (noConfiguration) Encoded() ([]byte, error) { return nil, nil }
func (noConfiguration) Install([]byte) error     { return nil }

func newLocalFleet(n int) *localFleet {
	l := &localFleet{agents: make(map[string]*Agent)}
	var members []*rpc.Member
	for i := range n {
		m := member(fmt.Sprintf("entry-%03d", i), 1, rpc.MemberState_ALIVE)
		m.DataHall = fmt.Sprint("hall-", i%5)
		members = append(members, m)
	}
	for i, m := range members {
		a := NewAgent(Options{
			Self: m, Seeds: func() []string { return nil }, Reports: noReports{}, Configuration: noConfiguration{},
			Dial:   func(address string) rpc.Peer { return localPeer{fleet: l, to: address} },
			Random: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		a.table.Merge(members)
		for range 200 {
			a.table.PendingChanges(n)
		}
		l.agents[m.Id] = a
	}
	return l
}

// round lets every agent in turn run its exchanges of one round.
func (l *localFleet) round(ctx context.Context) {
	for i := range len(l.agents) {
		a := l.agents[fmt.Sprintf("entry-%03d", i)]
		var addresses []string
		for len(addresses) == 0 {
			addresses = a.roundAddresses()
		}
		for _, address := range addresses {
			_ = a.exchange(ctx, address)
		}
	}
}

// roundsToReachAll returns how many rounds a change of one member takes to reach all members.
func (l *localFleet) roundsToReachAll(ctx context.Context) int {
	source := l.agents["entry-000"]
	source.table.UpdateSelf(func(m *rpc.Member) { m.Leaving = true })
	for round := 1; ; round++ {
		l.round(ctx)
		reached := 0
		for _, a := range l.agents {
			if m, ok := a.table.Member("entry-000"); ok && m.Leaving {
				reached++
			}
		}
		if reached == len(l.agents) {
			return round
		}
	}
}

// TestChangeReachesAllMembers checks that a change reaches all members within a number of rounds,
// in fleets of different sizes.
func TestChangeReachesAllMembers(t *testing.T) {
	for _, n := range []int{2, 9, 50, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rounds := newLocalFleet(n).roundsToReachAll(t.Context())
				assert.Assert(t, rounds <= 20, "%d rounds", rounds)
			})
		})
	}
}

// TestQuarantineSpreads checks that the quarantine entries of one member reach all members.
func TestQuarantineSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLocalFleet(50)
		entriesByAgent := make(map[string][]*rpc.QuarantineEntry)
		for id, a := range l.agents {
			a.opts.Quarantine = Quarantine{
				Report: func() []*rpc.QuarantineEntry { return entriesByAgent[id] },
				Merge:  func(_ string, all []*rpc.QuarantineEntry) { entriesByAgent[id] = all },
			}
		}
		entriesByAgent["entry-000"] = []*rpc.QuarantineEntry{{Fingerprint: []byte("f")}}
		rounds := 0
		for ; len(entriesByAgent) < len(l.agents) && rounds < 20; rounds++ {
			l.round(t.Context())
		}
		assert.Equal(t, len(entriesByAgent), len(l.agents), "after %d rounds", rounds)
	})
}

// TestExchangeIsBidirectional checks that one exchange sends the quarantine entries of either side
// to the other.
func TestExchangeIsBidirectional(t *testing.T) {
	for _, holder := range []string{"entry-000", "entry-001"} {
		t.Run(holder, func(t *testing.T) {
			l := newLocalFleet(2)
			entriesByAgent := map[string][]*rpc.QuarantineEntry{holder: {{Fingerprint: []byte("f")}}}
			for id, a := range l.agents {
				a.opts.Quarantine = Quarantine{
					Report: func() []*rpc.QuarantineEntry { return entriesByAgent[id] },
					Merge:  func(_ string, all []*rpc.QuarantineEntry) { entriesByAgent[id] = all },
				}
			}
			requester := l.agents["entry-000"]
			assert.NilError(t, requester.exchange(t.Context(), l.agents["entry-001"].opts.Self.PeerAddress))
			assert.Equal(t, len(entriesByAgent), 2)
		})
	}
}

// BenchmarkRound measures the time and bytes per member of a round of exchanges without changes. It
// also reports how many rounds a change takes to reach all members.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{9, 50, 200, 970} {
		b.Run(fmt.Sprint(n, " members"), func(b *testing.B) {
			l := newLocalFleet(n)
			ctx := context.Background()
			rounds := l.roundsToReachAll(ctx)
			l.bytes = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.round(ctx)
			}
			perMember := float64(b.N) * float64(n)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/perMember, "µs/member-round")
			b.ReportMetric(float64(l.bytes)/perMember, "bytes/member-round")
			b.ReportMetric(float64(rounds), "rounds-to-all")
		})
	}
}

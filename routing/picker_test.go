package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

func candidates(own ...int) []Candidate {
	all := make([]Candidate, len(own))
	for i, n := range own {
		all[i] = Candidate{ID: fmt.Sprint("replica-", i), OwnInFlight: n, Slots: 16}
	}
	return all
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestPickWithoutCandidates(t *testing.T) {
	assert.Equal(t, Pick(nil, 1, random()), -1)
}

// TestSamePrefixPicksSameReplica checks that daemons without requests in flight pick the same
// replica for a prefix.
func TestSamePrefixPicksSameReplica(t *testing.T) {
	prefix := PrefixHash("account", "prompt")
	first := Pick(candidates(0, 0, 0, 0, 0), prefix, random())
	for seed := range uint64(20) {
		assert.Equal(t, Pick(candidates(0, 0, 0, 0, 0), prefix, rand.New(rand.NewPCG(seed, 0))), first)
	}
}

// TestPickIsBounded checks for arbitrary loads that a request goes to a replica with the fewest
// requests of this daemon, or to one below the limit for homes.
func TestPickIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		own := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 60).Draw(rt, "own")
		all := candidates(own...)
		i := Pick(all, rapid.Uint64().Draw(rt, "prefix"), random())
		least := all[0].OwnInFlight
		for _, c := range all {
			least = min(least, c.OwnInFlight)
		}
		if float64(all[i].OwnInFlight) > homeLoadFactor*meanInFlight(all)+homeLoadExtra && all[i].OwnInFlight > least {
			rt.Fatalf("picked one with %d, mean %g, least %d", all[i].OwnInFlight, meanInFlight(all), least)
		}
	})
}

// TestRemovedReplicaMovesFewPrefixes checks that only the prefixes of a replica get another first
// home when the replica is removed.
func TestRemovedReplicaMovesFewPrefixes(t *testing.T) {
	all := candidates(make([]int, 60)...)
	for prefix := range uint64(500) {
		before := all[homesOf(all, prefix)[0]].ID
		after := all[1:][homesOf(all[1:], prefix)[0]].ID
		if before != all[0].ID {
			assert.Equal(t, after, before)
		}
	}
}

func TestInFlightCounter(t *testing.T) {
	f := NewInFlightCounter()
	report := time.Unix(1, 0)
	end := f.Start("r", "a")
	own, at := f.Observe("r", report)
	assert.DeepEqual(t, []int{own, at}, []int{1, 1})
	f.Start("r", "b")
	own, at = f.Observe("r", report)
	assert.DeepEqual(t, []int{own, at}, []int{2, 1})
	end()
	end()
	own, _ = f.Observe("r", report)
	assert.Equal(t, own, 1)
	inFlight, active := f.Account("a")
	assert.DeepEqual(t, []int{inFlight, active, f.Total()}, []int{0, 2, 1})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 60, 400} {
		b.Run(fmt.Sprint(n, " replicas"), func(b *testing.B) {
			all, r := candidates(make([]int, n)...), random()
			for i := range all {
				all[i].OwnInFlight = i % 5
			}
			b.ReportAllocs()
			for i := range b.N {
				Pick(all, uint64(i), r)
			}
		})
	}
}

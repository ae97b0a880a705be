package allowance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	tests := map[string]struct {
		bound     Bound
		perSecond float64
		members   int
		holders   int
		least     float64
		most      float64
	}{
		"a large fleet":                 {Bound{1.5, 5}, 14, 90, maxHolders, 1, 14.0 / maxHolders},
		"one daemon":                    {Bound{1.5, 5}, 14, 1, 1, 10, 11},
		"no daemon is known":            {Bound{1.5, 5}, 14, 0, 1, 10, 11},
		"workers with a low limit":      {Bound{1.5, 2}, 2, 90, 1, 0.5, 1},
		"only one view is assumed":      {Bound{1, 0}, 2.5, 90, 1, 0.2, 0.5},
		"nothing may be sent":           {Bound{1, 0}, 1, 90, 1, 0, 0},
		"no burst is named":             {Bound{}, 14, 90, maxHolders, 2, 2.1},
		"negative slack":                {Bound{1.5, -5}, 14, 90, maxHolders, 3, 4},
		"no more than the worker bears": {Bound{1.5, 500}, 14, 90, maxHolders, 14.0 / maxHolders, 14.0 / maxHolders},
		"few daemons send the most":     {Bound{1.5, 5}, 14, 2, 2, 4, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := test.bound.Divide(test.perSecond, test.members)
			assert.Equal(t, got.Holders, test.holders)
			assert.Assert(t, got.Rate >= test.least && got.Rate <= test.most, "rate %.2f", got.Rate)
		})
	}
}

// TestHolders checks that a worker has the given number of holders, and that adding a daemon
// replaces at most one of them.
func TestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}-[0-9]{1,2}`), 1, 30, rapid.ID[string]).Draw(t, "members")
		worker := rapid.StringMatching(`i-[0-9a-f]{4}`).Draw(t, "worker")
		holders := rapid.IntRange(1, 5).Draw(t, "holders")
		holdersOf := func(members []string) map[string]bool {
			all := make(map[string]bool)
			for _, id := range members {
				if IsHolder(id, worker, members, holders) {
					all[id] = true
				}
			}
			return all
		}
		before := holdersOf(members[1:])
		after := holdersOf(members)
		assert.Equal(t, len(after), min(holders, len(members)))
		removed := 0
		for id := range before {
			if !after[id] {
				removed++
			}
		}
		assert.Assert(t, removed <= 1)
		assert.Assert(t, !IsHolder("unknown", worker, members, holders), "a daemon that is not listed is no holder")
	})
}

// TestHoldersAreSpread checks with 25 workers and 90 daemons that no daemon is a holder of many
// workers.
func TestHoldersAreSpread(t *testing.T) {
	var members []string
	for i := range 90 {
		members = append(members, fmt.Sprintf("front-%d", i))
	}
	for _, self := range members {
		count := 0
		for w := range 25 {
			if IsHolder(self, fmt.Sprintf("i-%04x", w), members, maxHolders) {
				count++
			}
		}
		assert.Assert(t, count <= 6, "%s holds %d", self, count)
	}
}

func TestBucket(t *testing.T) {
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	tests := map[string]struct {
		rate  float64
		takes []int
		want  []bool
	}{
		"it is empty at the start":    {2, []int{0, 499, 500}, []bool{false, false, true}},
		"it holds one token":          {2, []int{5000, 5000, 5499, 5500}, []bool{true, false, false, true}},
		"the clock seems to go back":  {2, []int{500, 300, 999, 1000}, []bool{true, false, false, true}},
		"no token ever comes":         {0, []int{0, 100000}, []bool{false, false}},
		"a token in a fraction of ms": {3, []int{333, 334}, []bool{false, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBucket(test.rate, 1, start)
			for i, at := range test.takes {
				assert.Equal(t, b.HasToken(ms(at)), test.want[i], "%d ms", at)
				assert.Equal(t, b.Take(ms(at)), test.want[i], "%d ms", at)
			}
		})
	}
}

// TestBucketOfThreeTokens checks that three tokens can be taken at once from a full bucket with a
// capacity of three, and then one token after each interval.
func TestBucketOfThreeTokens(t *testing.T) {
	b := NewBucket(1, 3, start)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	assert.Assert(t, !b.Take(at(0)), "it is empty at the start")
	assert.Assert(t, b.Take(at(1)))
	assert.Assert(t, !b.Take(at(1)))
	for range 3 {
		assert.Assert(t, b.Take(at(100)))
	}
	assert.Assert(t, !b.Take(at(100)))
	assert.Equal(t, b.Next(at(100)), at(101))
	assert.Assert(t, b.Take(at(101)) && !b.Take(at(101)))
}

// TestRetuneAddsNoTokens checks that a bucket whose rate changes yields no more tokens than one
// with the highest rate, and no fewer than one with the lowest.
func TestRetuneAddsNoTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lowest, highest = 0.5, 3.0
		b, now, taken, capacity := NewBucket(1, 1, start), start, 0, 1
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			if rapid.Bool().Draw(t, "retunes") {
				capacity = rapid.IntRange(1, 3).Draw(t, "most")
				b.Retune(rapid.Float64Range(lowest, highest).Draw(t, "rate"), capacity, now)
			}
			if b.Take(now) {
				taken++
			}
		}
		elapsed := now.Sub(start).Seconds()
		assert.Assert(t, float64(taken) <= highest*elapsed, "%d taken", taken)
		assert.Assert(t, float64(taken) >= lowest*elapsed-1, "%d taken", taken)
	})
}

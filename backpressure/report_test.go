package backpressure

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

func newTestTable() *Table { return NewTable(testOptions(func(Change) {})) }

// sendReport merges the report of one table into another, which receives it 20 ms later.
func sendReport(t *testing.T, from, to *Table, at time.Time, passesOn bool) {
	t.Helper()
	data, err := json.Marshal(from.Report(at, passesOn))
	assert.NilError(t, err)
	var all []Entry
	assert.NilError(t, json.Unmarshal(data, &all))
	to.Merge(all, "peer", at, at.Add(20*time.Millisecond))
}

func TestReportToPeers(t *testing.T) {
	w := &fleet.Worker{ID: "w", StartedAt: 7}
	second := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	tests := map[string]struct {
		exchange  func(a, b *Table)
		limited   int
		isLeaving bool
	}{
		"a limit": {exchange: func(a, b *Table) {
			a.Observe(w, limitSignal(1.5), start, start)
			sendReport(t, a, b, second(1), false)
		}, limited: 1},
		"a limit reported in rotation": {exchange: func(a, b *Table) {
			a.Observe(w, limitSignal(1.5), start, start)
			sendReport(t, a, b, second(9), false)
		}, limited: 1},
		"the end of a limit": {exchange: func(a, b *Table) {
			a.Observe(w, limitSignal(1.5), start, start)
			sendReport(t, a, b, second(1), false)
			a.Observe(w, noLimitSignal, second(3), second(4))
			sendReport(t, a, b, second(4), false)
		}},
		"the end of a limit that the peer received again since": {exchange: func(a, b *Table) {
			a.Observe(w, limitSignal(1.5), start, start)
			a.Observe(w, noLimitSignal, second(1), second(2))
			b.Observe(w, limitSignal(2), second(1), second(2))
			sendReport(t, a, b, second(3), false)
		}, limited: 1},
		"the end of a limit shortly after the peer received it": {exchange: func(a, b *Table) {
			a.Observe(w, limitSignal(1.5), start, start)
			b.Observe(w, limitSignal(1.5), start, start)
			a.Observe(w, noLimitSignal, start.Add(dropAgeTolerance/2), second(1))
			sendReport(t, a, b, second(1), false)
		}, limited: 1},
		"an old limit after its end": {exchange: func(a, b *Table) {
			a.Observe(w, limitSignal(1.5), start, start)
			b.Observe(w, limitSignal(1.5), start, start)
			b.Observe(w, noLimitSignal, second(1), second(2))
			sendReport(t, a, b, second(3), false)
		}},
		"a shutdown notice": {exchange: func(a, b *Table) {
			a.Observe(w, Signal{Leaving: true}, start, start)
			sendReport(t, a, b, second(1), false)
		}, isLeaving: true},
		"a limit of an earlier incarnation": {exchange: func(a, b *Table) {
			a.Observe(&fleet.Worker{ID: "w", StartedAt: 6}, limitSignal(1.5), start, start)
			b.Observe(w, Signal{Rest: time.Second}, start, start)
			sendReport(t, a, b, second(1), false)
		}},
		"a limit of a later incarnation": {exchange: func(a, b *Table) {
			a.Observe(w, limitSignal(1.5), start, start)
			b.Observe(&fleet.Worker{ID: "w", StartedAt: 6}, Signal{Leaving: true}, start, start)
			sendReport(t, a, b, second(1), false)
		}, limited: 1},
		"a rest period, which is not reported": {exchange: func(a, b *Table) {
			a.Observe(w, Signal{Rest: time.Hour}, start, start)
			sendReport(t, a, b, second(1), false)
		}},
		"by way of a relay": {exchange: func(a, b *Table) {
			relay := newTestTable()
			a.Observe(w, limitSignal(1.5), start, start)
			sendReport(t, a, relay, second(1), false)
			sendReport(t, relay, b, second(2), true)
		}, limited: 1},
		"by way of a daemon that is no relay": {exchange: func(a, b *Table) {
			other := newTestTable()
			a.Observe(w, limitSignal(1.5), start, start)
			sendReport(t, a, other, second(1), false)
			sendReport(t, other, b, second(2), false)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newTestTable(), newTestTable()
			test.exchange(a, b)
			assert.Equal(t, b.CountLimited(), test.limited)
			assert.Equal(t, b.countRecords(func(r *record) bool { return r.isLeaving }) > 0, test.isLeaving)
			assert.Equal(t, b.CountResting(second(1)), 0)
		})
	}
}

// TestMergeSkipsInvalidEntries checks that an invalid entry is skipped and a valid one in the same
// report is kept.
func TestMergeSkipsInvalidEntries(t *testing.T) {
	limitOf := func(perSecond float64) *float64 { return &perSecond }
	tests := map[string]Entry{
		"no worker":                   {Limit: limitOf(1), Named: 1},
		"a name of 4 KB":              {Worker: strings.Repeat("w", 4<<10), Limit: limitOf(1), Named: 1},
		"a negative limit":            {Worker: "w", Limit: limitOf(-1), Named: 1},
		"an absurd limit":             {Worker: "w", Limit: limitOf(1e9), Named: 1},
		"a limit that is no number":   {Worker: "w", Limit: limitOf(math.NaN()), Named: 1},
		"a negative age of a limit":   {Worker: "w", Limit: limitOf(1), Named: -1},
		"a negative age of an end":    {Worker: "w", Dropped: -1},
		"no limit and no notice":      {Worker: "w"},
		"the end of an unknown limit": {Worker: "w", Dropped: 1},
	}
	for name, entry := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTestTable()
			table.Merge([]Entry{entry, {Worker: "v", Limit: limitOf(1), Named: 1}}, "peer", start, start)
			assert.Equal(t, len(table.records), 1)
			assert.Equal(t, table.CountLimited(), 1)
		})
	}
}

// TestReportsAreBounded checks that a report has a limited number of entries, and that all of 400
// workers are reported within five seconds.
func TestReportsAreBounded(t *testing.T) {
	const workers = 400
	table, reported := newTestTable(), make(map[string]bool)
	for i := range workers {
		table.Observe(&fleet.Worker{ID: fmt.Sprint("w", i)}, limitSignal(1), start, start)
	}
	assert.Equal(t, len(table.Report(start, false)), maxChangedEntries)
	for round := range 25 {
		all := table.Report(start.Add(10*time.Second+time.Duration(round)*200*time.Millisecond), false)
		assert.Assert(t, len(all) <= maxRotatedEntries)
		for _, e := range all {
			reported[e.Worker] = true
		}
	}
	assert.Equal(t, len(reported), workers)
}

// TestStaleLimitMovesBetweenDaemons checks that one daemon at a time holds the share of a stale
// limit, and that each daemon gets its turn.
func TestStaleLimitMovesBetweenDaemons(t *testing.T) {
	members := namesOf("daemon", 4)
	var all []*Table
	for _, self := range members {
		table := NewTable(Options{
			Self: self, Hall: "hall", Halls: []string{"hall"}, Members: func() []string { return members },
			Bound: testBound, Changed: func(Change) {},
		})
		table.Observe(&fleet.Worker{ID: "w"}, limitSignal(1.3), start, start)
		all = append(all, table)
	}
	r, senders := &fleet.Replica{ID: "g", Head: &fleet.Worker{ID: "w"}}, make(map[int]bool)
	for second := range 120 {
		now, holderCount := start.Add(staleAfter+time.Duration(second+1)*time.Second), 0
		for i, table := range all {
			table.Refresh(now)
			if table.records["w"].shares > 0 {
				holderCount++
			}
			if _, ok := table.Take(r, now); ok {
				senders[i] = true
			}
		}
		assert.Equal(t, holderCount, 1)
	}
	assert.Equal(t, len(senders), len(all))
}

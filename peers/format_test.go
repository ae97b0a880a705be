package peers

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/wiretest"
)

// recordedLoads returns the loads of the recorded messages.
func recordedLoads() Loads {
	return Loads{{Replica: "big-r4fti4i@268435458", InFlight: 3, PendingPromptTokens: 100, EventAgeMillis: 20}, {Replica: "worker", InFlight: 2, PendingPromptTokens: 7, EventAgeMillis: 30}}
}

// filledMessage returns a message with every field set.
func filledMessage() *message {
	m := &message{}
	wiretest.Fill(m)
	m.Heartbeat.Loads, m.Hall.Loads, m.Fleet.Loads = recordedLoads(), recordedLoads(), recordedLoads()
	return m
}

// TestEarlierFormat checks that this build reads and still writes every field of messages that a
// build of the first version wrote.
func TestEarlierFormat(t *testing.T) {
	files, err := filepath.Glob("testdata/format-1/*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 6)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			recorded, err := os.ReadFile(file)
			assert.NilError(t, err)
			lost, err := wiretest.Lost(recorded, &message{})
			assert.NilError(t, err)
			assert.Equal(t, len(lost), 0, "not understood: %v", lost)
			missing, err := wiretest.Missing(recorded, filledMessage())
			assert.NilError(t, err)
			assert.Equal(t, len(missing), 0, "not written any more: %v", missing)
		})
	}
}

func TestFormatVersion(t *testing.T) {
	tests := map[string]struct {
		format       Format
		version      int
		isValid      bool
		isUnderstood bool
	}{
		"no format":                           {Format{}, FormatFirst, true, true},
		"this build":                          {OwnFormat(), currentFormat, true, true},
		"the first version, explicit":         {Format{1, 1}, FormatFirst, true, true},
		"a later one that reads this version": {Format{9, currentFormat}, currentFormat, true, true},
		"a later one that does not":           {Format{currentFormat + 2, currentFormat + 1}, currentFormat, true, false},
		"a version of zero":                   {Format{0, 1}, FormatFirst, false, true},
		"a negative version":                  {Format{-1, -1}, FormatFirst, false, true},
		"an absurd version":                   {Format{1e9, 1}, FormatFirst, false, true},
		"one that reads none":                 {Format{2, 0}, FormatFirst, false, true},
		"one that reads only later ones":      {Format{2, 3}, FormatFirst, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.format.effectiveVersion(), test.version)
			assert.Equal(t, test.format.isValid(), test.isValid)
			assert.Equal(t, test.format.IsUnderstood(), test.isUnderstood)
		})
	}
}

// TestOldestFormat checks which version the fleet keeps to while daemons of several versions start
// and stop.
func TestOldestFormat(t *testing.T) {
	start := time.Unix(1000, 0)
	atSecond := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	receive := func(table *Table, id string, incarnation int64, f Format, now time.Time) {
		table.RecordHeartbeat(Heartbeat{Identity: Identity{ID: id, Incarnation: incarnation, Address: id, Format: f}}, now, now)
	}
	const retentionSeconds = int(formatRetention / time.Second)
	tests := map[string]struct {
		setUp  func(table *Table)
		second int
		want   int
	}{
		"alone":                              {func(*Table) {}, 0, currentFormat},
		"one of this build":                  {func(table *Table) { receive(table, "b", 1, OwnFormat(), atSecond(0)) }, 1, currentFormat},
		"an earlier one":                     {func(table *Table) { receive(table, "b", 1, Format{}, atSecond(0)) }, 1, FormatFirst},
		"an earlier one, silent for a while": {func(table *Table) { receive(table, "b", 1, Format{}, atSecond(0)) }, retentionSeconds - 1, FormatFirst},
		"an earlier one, silent for long":    {func(table *Table) { receive(table, "b", 1, Format{}, atSecond(0)) }, retentionSeconds, currentFormat},
		"one that was replaced a moment ago": {func(table *Table) {
			receive(table, "b", 1, Format{}, atSecond(0))
			receive(table, "b", 2, OwnFormat(), atSecond(5))
		}, 6, FormatFirst},
		"one that was replaced long ago": {func(table *Table) {
			receive(table, "b", 1, Format{}, atSecond(0))
			receive(table, "b", 2, OwnFormat(), atSecond(5))
		}, retentionSeconds, currentFormat},
		"one that was downgraded": {func(table *Table) {
			receive(table, "b", 1, OwnFormat(), atSecond(0))
			receive(table, "b", 2, Format{}, atSecond(50))
		}, 51, FormatFirst},
		"an earlier one that a relay hears": {func(table *Table) { table.NoteFormat(FormatFirst, atSecond(0)) }, 1, FormatFirst},
		"an impossible version":             {func(table *Table) { receive(table, "b", 1, Format{1e9, 1e9}, atSecond(0)) }, 1, FormatFirst},
		"a later one":                       {func(table *Table) { receive(table, "b", 1, Format{9, 1}, atSecond(0)) }, 1, currentFormat},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Identity{ID: "a", Incarnation: 1, Address: "a"})
			test.setUp(table)
			assert.Equal(t, table.OldestFormat(atSecond(test.second)), test.want)
		})
	}
}

// TestSummaryOldestFormat checks that a sum of summaries has the earliest version of all of them.
// A summary without a valid version counts as having the first one.
func TestSummaryOldestFormat(t *testing.T) {
	current := Summary{Daemons: 3, Format: currentFormat}
	tests := map[string]struct {
		sums []Summary
		want int
	}{
		"all speak this version":          {[]Summary{current, current}, currentFormat},
		"one hall does not":               {[]Summary{current, {Daemons: 2, Format: FormatFirst}, current}, FormatFirst},
		"a relay without a version":       {[]Summary{current, {Daemons: 2}}, FormatFirst},
		"a relay with an invalid version": {[]Summary{current, {Daemons: 2, Format: -7}}, FormatFirst},
		"a later version":                 {[]Summary{current, {Daemons: 2, Format: 9}}, currentFormat},
		"a further part":                  {[]Summary{current, {Part: 1}}, currentFormat},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var total Summary
			for _, s := range test.sums {
				total.add(s, 0)
			}
			assert.Equal(t, total.oldestFormat(), test.want)
		})
	}
}

// TestHeartbeatsWithUnusualFormats checks that heartbeats are ignored only if this build cannot
// read their format. Those with an unreadable or invalid format are counted each time and logged
// once.
func TestHeartbeatsWithUnusualFormats(t *testing.T) {
	tests := map[string]struct {
		format     Format
		isAccepted bool
		counted    int
	}{
		"this build":                {OwnFormat(), true, 0},
		"an earlier one":            {Format{}, true, 0},
		"an impossible format":      {Format{-1, 3}, true, 2},
		"one from a distant future": {Format{maxFormat, maxFormat}, false, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var received []*Peer
			counted := 0
			a := newAgentWithoutTransport(func(p *Peer) { received = append(received, p) })
			a.opts.OnDropped = func(string) { counted++ }
			for range 2 {
				body, err := encode(&message{ID: "b", Incarnation: 1, Heartbeat: &Heartbeat{Identity: Identity{ID: "b", Incarnation: 1, Address: "b", Format: test.format}}})
				assert.NilError(t, err)
				a.handleDatagram(append(make([]byte, headerLength), body...), time.Now())
				a.handleDatagram(append(append([]byte{framingVersion}, make([]byte, headerLength-1)...), body...), time.Now())
			}
			assert.Equal(t, len(received) > 0, test.isAccepted)
			assert.Equal(t, counted, test.counted+2, "two datagrams have another framing version")
			assert.Assert(t, len(a.loggedDrops) <= 2)
		})
	}
}

// TestOmittedAges checks that an omitted age does not count as just confirmed.
func TestOmittedAges(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Peer{SentAfter: now}
	assert.Assert(t, p.ConfigConfirmedAt().IsZero() && p.WorkersConfirmedAt().IsZero())
	p.ConfigAge, p.WorkersAge = 1, 1
	assert.Assert(t, !p.ConfigConfirmedAt().IsZero() && !p.WorkersConfirmedAt().IsZero())
}

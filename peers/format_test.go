package peers

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/common/wiretest"
)

// recordedLoads are those of the recorded messages.
func recordedLoads() Loads {
	return Loads{{Replica: "big-r4fti4i@268435458", InFlight: 3, Prefill: 100, Moved: 20}, {Replica: "worker", InFlight: 2, Prefill: 7, Moved: 30}}
}

// filled returns a message of this build in which everything is told.
func filled() *message {
	m := &message{}
	wiretest.Fill(m)
	m.Heartbeat.Loads, m.Hall.Loads, m.Fleet.Loads = recordedLoads(), recordedLoads(), recordedLoads()
	return m
}

// TestEarlierFormat reads what a build of the first version wrote, and looks whether what this
// one writes has all of that.
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
			missing, err := wiretest.Missing(recorded, filled())
			assert.NilError(t, err)
			assert.Equal(t, len(missing), 0, "not written any more: %v", missing)
		})
	}
}

func TestFormatVersion(t *testing.T) {
	tests := map[string]struct {
		format     Format
		version    int
		clear      bool
		understood bool
	}{
		"a daemon that tells none":        {Format{}, FormatFirst, true, true},
		"this build":                      {OwnFormat(), formatSpoken, true, true},
		"the first version, told":         {Format{1, 1}, FormatFirst, true, true},
		"a later one that goes back":      {Format{9, formatSpoken}, formatSpoken, true, true},
		"a later one that does not":       {Format{formatSpoken + 2, formatSpoken + 1}, formatSpoken, true, false},
		"a version of zero":               {Format{0, 1}, FormatFirst, false, true},
		"a negative version":              {Format{-1, -1}, FormatFirst, false, true},
		"an absurd version":               {Format{1e9, 1}, FormatFirst, false, true},
		"one that understands none":       {Format{2, 0}, FormatFirst, false, true},
		"one that understands later ones": {Format{2, 3}, FormatFirst, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.format.version(), test.version)
			assert.Equal(t, test.format.isClear(), test.clear)
			assert.Equal(t, test.format.IsUnderstood(), test.understood)
		})
	}
}

// TestFleetActsByTheOldest plays daemons that come and go before one of this build.
func TestFleetActsByTheOldest(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	hear := func(table *Table, id string, incarnation int64, f Format, now time.Time) {
		table.Hear(Heartbeat{Identity: Identity{ID: id, Incarnation: incarnation, Address: id, Format: f}}, now, now)
	}
	const kept = int(formatKept / time.Second)
	tests := map[string]struct {
		play func(table *Table)
		at   int
		want int
	}{
		"alone":                              {func(*Table) {}, 0, formatSpoken},
		"one of this build":                  {func(table *Table) { hear(table, "b", 1, OwnFormat(), at(0)) }, 1, formatSpoken},
		"an earlier one":                     {func(table *Table) { hear(table, "b", 1, Format{}, at(0)) }, 1, FormatFirst},
		"an earlier one, silent for a while": {func(table *Table) { hear(table, "b", 1, Format{}, at(0)) }, kept - 1, FormatFirst},
		"an earlier one, silent for long":    {func(table *Table) { hear(table, "b", 1, Format{}, at(0)) }, kept, formatSpoken},
		"one that was replaced a moment ago": {func(table *Table) {
			hear(table, "b", 1, Format{}, at(0))
			hear(table, "b", 2, OwnFormat(), at(5))
		}, 6, FormatFirst},
		"one that was replaced long ago": {func(table *Table) {
			hear(table, "b", 1, Format{}, at(0))
			hear(table, "b", 2, OwnFormat(), at(5))
		}, kept, formatSpoken},
		"one that was taken back": {func(table *Table) {
			hear(table, "b", 1, OwnFormat(), at(0))
			hear(table, "b", 2, Format{}, at(50))
		}, 51, FormatFirst},
		"an earlier one that a relay hears": {func(table *Table) { table.NoteFormat(FormatFirst, at(0)) }, 1, FormatFirst},
		"one that claims what can't be":     {func(table *Table) { hear(table, "b", 1, Format{1e9, 1e9}, at(0)) }, 1, FormatFirst},
		"a later one":                       {func(table *Table) { hear(table, "b", 1, Format{9, 1}, at(0)) }, 1, formatSpoken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Identity{ID: "a", Incarnation: 1, Address: "a"})
			test.play(table)
			assert.Equal(t, table.OldestFormat(at(test.at)), test.want)
		})
	}
}

// TestSummariesTellTheOldest: what relays sum up tells of the earliest version among all, and
// of a relay that tells none that there is one of the first.
func TestSummariesTellTheOldest(t *testing.T) {
	now := Summary{Daemons: 3, Format: formatSpoken}
	tests := map[string]struct {
		sums []Summary
		want int
	}{
		"all speak this version": {[]Summary{now, now}, formatSpoken},
		"one hall does not":      {[]Summary{now, {Daemons: 2, Format: FormatFirst}, now}, FormatFirst},
		"a relay tells none":     {[]Summary{now, {Daemons: 2}}, FormatFirst},
		"a relay tells nonsense": {[]Summary{now, {Daemons: 2, Format: -7}}, FormatFirst},
		"a later version":        {[]Summary{now, {Daemons: 2, Format: 9}}, formatSpoken},
		"a further part":         {[]Summary{now, {Part: 1}}, formatSpoken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var total Summary
			for _, s := range test.sums {
				total.add(s, 0)
			}
			assert.Equal(t, total.version(), test.want)
		})
	}
}

// TestClaimsOfAFormat feeds an agent with daemons that claim versions: what is of a later
// format alone is not taken, counted and logged once; nothing else is lost.
func TestClaimsOfAFormat(t *testing.T) {
	tests := map[string]struct {
		format  Format
		taken   bool
		counted int
	}{
		"this build":                {OwnFormat(), true, 0},
		"an earlier one":            {Format{}, true, 0},
		"one that can't be":         {Format{-1, 3}, true, 2},
		"one from a distant future": {Format{formatMost, formatMost}, false, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var heard []*Peer
			counted := 0
			a := deafAgent(func(p *Peer) { heard = append(heard, p) })
			a.opts.PassedOver = func(string) { counted++ }
			for range 2 {
				body, err := encode(&message{ID: "b", Incarnation: 1, Heartbeat: &Heartbeat{Identity: Identity{ID: "b", Incarnation: 1, Address: "b", Format: test.format}}})
				assert.NilError(t, err)
				a.take(append(make([]byte, headerLength), body...), time.Now())
				a.take(append(append([]byte{formatByte}, make([]byte, headerLength-1)...), body...), time.Now())
			}
			assert.Equal(t, len(heard) > 0, test.taken)
			assert.Equal(t, counted, test.counted+2, "two have another framing")
			assert.Assert(t, len(a.passedOver) <= 2)
		})
	}
}

// TestAgesThatWereLeftOut: an age that a sender leaves out is not that of what it has just
// confirmed.
func TestAgesThatWereLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Peer{SentAfter: now}
	assert.Assert(t, p.ConfigConfirmed().IsZero() && p.WorkersConfirmed().IsZero())
	p.ConfigAge, p.WorkersAge = 1, 1
	assert.Assert(t, !p.ConfigConfirmed().IsZero() && !p.WorkersConfirmed().IsZero())
}

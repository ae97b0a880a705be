package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// fullTable returns a table with the maximum number of records.
func fullTable() *Table {
	table := NewTable()
	for i := range maxRecords {
		table.Blame(requestNumbered(i), crash(fmt.Sprint(i), i, i), at(i))
	}
	return table
}

// BenchmarkState measures the lookup of one request in a full table.
func BenchmarkState(b *testing.B) {
	table, f, now := fullTable(), requestNumbered(1), at(maxRecords)
	b.ReportAllocs()
	for b.Loop() {
		table.State(f, now)
	}
}

// BenchmarkSweep measures a sweep of a full table.
func BenchmarkSweep(b *testing.B) {
	table, now := fullTable(), at(maxRecords)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		table.sweepAt = now
		table.Sweep(now)
	}
}

func BenchmarkReport(b *testing.B) {
	table, now := fullTable(), at(maxRecords)
	b.ReportAllocs()
	for b.Loop() {
		table.Report(now, true)
	}
}

// BenchmarkEvaluate evaluates a full table of parts, of which some have as many crashes as a record
// holds and are explained by one of them.
func BenchmarkEvaluate(b *testing.B) {
	const suspects = 40
	table := NewPartTable()
	for i := range maxRecords - suspects {
		play(table, crashes(1000+i, 300, 2, fmt.Sprint("rare-", i)))
	}
	for i := range suspects {
		play(table, crashes(1000, 150, maxPartCrashes, fmt.Sprint("suspect-", i)))
	}
	play(table, crashes(1000, 150, maxPartCrashes, "other", "crashing"))
	now := at(6000)
	table.Evaluate(now)
	b.ResetTimer()
	for range b.N {
		table.Evaluate(now)
	}
}

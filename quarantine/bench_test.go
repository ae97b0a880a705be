package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// full returns a table with as many records as it holds.
func full() *Table {
	table := NewTable()
	for i := range recordsMost {
		table.Blame(numbered(i), crash(fmt.Sprint(i), i, i), at(i))
	}
	return table
}

// BenchmarkState measures what each request pays beside its fingerprint while any is known.
func BenchmarkState(b *testing.B) {
	table, f, now := full(), numbered(1), at(recordsMost)
	b.ReportAllocs()
	for b.Loop() {
		table.State(f, now)
	}
}

// BenchmarkSweep and BenchmarkReport measure what a daemon pays each second, and five times
// a second.
func BenchmarkSweep(b *testing.B) {
	table, now := full(), at(recordsMost)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		table.sweepAt = now
		table.Sweep(now)
	}
}

func BenchmarkReport(b *testing.B) {
	table, now := full(), at(recordsMost)
	b.ReportAllocs()
	for b.Loop() {
		table.Report(now, true)
	}
}

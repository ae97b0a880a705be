package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/common/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var epoch = time.Unix(1_700_000_000, 0)

// at returns the time that is ms milliseconds after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// requestNumbered returns the fingerprint of a test request, which differs for each number.
func requestNumbered(number int) Fingerprint {
	return FingerprintOf("account", "POST", "host", "/", fmt.Append(nil, number))
}

// crash returns a crash of a worker. The times are in milliseconds after epoch.
func crash(worker string, sent, ended int) Crash {
	return Crash{Worker: worker, Sent: at(sent), Ended: at(ended)}
}

func TestCrashesThatQuarantine(t *testing.T) {
	tests := map[string]struct {
		crashes []Crash
		// cleared is when a run completed, in milliseconds after epoch; zero for never.
		cleared         int
		wantQuarantined bool
		// count is the expected number of independent crashes.
		count int
	}{
		"one after the other": {
			crashes: []Crash{crash("a", 0, 10), crash("b", 11, 20), crash("c", 21, 30)}, wantQuarantined: true, count: 3,
		},
		"two": {crashes: []Crash{crash("a", 0, 10), crash("b", 11, 20)}, count: 2},
		"three copies on a rack that fails": {
			crashes: []Crash{crash("a", 0, 1000), crash("b", 10, 1010), crash("c", 20, 1040)}, count: 1,
		},
		"copies that end at different times": {
			crashes: []Crash{crash("a", 0, 1000), crash("b", 10, 1100), crash("c", 20, 1200)}, wantQuarantined: true, count: 3,
		},
		"two racks, one after the other": {
			crashes: []Crash{crash("a", 0, 100), crash("b", 0, 101), crash("c", 110, 300), crash("d", 110, 301)}, count: 2,
		},
		"one worker, seen by three daemons": {
			crashes: []Crash{crash("a", 0, 10), crash("a", 11, 300), crash("a", 0, 600)}, count: 1,
		},
		"a run that completed between": {
			crashes: []Crash{crash("a", 0, 10), crash("b", 11, 200), crash("c", 400, 600)}, cleared: 300, count: 1,
		},
		"a run that completed before": {
			crashes: []Crash{crash("a", 10, 20), crash("b", 21, 200), crash("c", 400, 600)}, cleared: 5, wantQuarantined: true, count: 3,
		},
		"reported in another order": {
			crashes: []Crash{crash("c", 21, 30), crash("a", 0, 10), crash("b", 11, 20)}, wantQuarantined: true, count: 3,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, now, f := NewTable(), at(5000), requestNumbered(1)
			if test.cleared > 0 {
				table.ensureRecord(f, now).clear(at(test.cleared))
			}
			marked := false
			for _, c := range test.crashes {
				_, quarantined := table.Blame(f, c, now)
				marked = marked || quarantined
			}
			state := table.State(f, now)
			assert.Equal(t, marked, test.wantQuarantined)
			assert.Equal(t, state.Quarantined, test.wantQuarantined)
			assert.Equal(t, state.Crashes, test.count)
		})
	}
}

// mark quarantines a request by crashes up to the time ended, in milliseconds after epoch.
func mark(t *testing.T, table *Table, f Fingerprint, ended int) {
	t.Helper()
	for i := range crashesToMark {
		table.Blame(f, crash(fmt.Sprintf("%s-%d", f, i), ended-10*(crashesToMark-i), ended-10*(crashesToMark-i)+9), at(ended))
	}
	assert.Assert(t, table.State(f, at(ended)).Quarantined)
}

// TestPeriodsGrow checks that after a quarantine one further crash, not three, quarantines the
// request again for a longer time. A request must not crash more than 16 workers within a week.
func TestPeriodsGrow(t *testing.T) {
	table, f := NewTable(), requestNumbered(1)
	mark(t, table, f, 1000)
	until := table.State(f, at(1000)).Until
	furtherCrashes, crashNumber := 0, 0
	for until.Sub(epoch) < 7*24*time.Hour {
		assert.Assert(t, !table.State(f, until).Quarantined)
		crashNumber++
		now := until.Add(time.Second)
		_, marked := table.Blame(f, Crash{Worker: fmt.Sprint("later-", crashNumber), Sent: until, Ended: now}, now)
		assert.Assert(t, marked)
		next := table.State(f, now).Until
		assert.Assert(t, next.Sub(now) >= min(2*initialPeriod, maxPeriod))
		until = next
		furtherCrashes++
	}
	assert.Assert(t, furtherCrashes+crashesToMark <= 16, "%d workers in a week", furtherCrashes+crashesToMark)
}

func TestCompletedRunEndsQuarantine(t *testing.T) {
	table, f := NewTable(), requestNumbered(1)
	mark(t, table, f, 1000)
	assert.Assert(t, table.Clear(f, at(1200)))
	assert.Equal(t, table.State(f, at(1200)), State{})
	assert.Assert(t, !table.Clear(f, at(1300)), "it is already cleared")
	mark(t, table, f, 2000)
	assert.Assert(t, !NewTable().Clear(f, at(1200)), "there is no record of it")
}

// sendReport merges the report of one table into another, without a delay.
func sendReport(from, to *Table, now time.Time, passesOn bool) Merged {
	return to.Merge(from.Report(now, passesOn), now, now)
}

// TestCrashesOfSeveralDaemonsAddUp checks that a request is quarantined if three daemons see one
// crash each.
func TestCrashesOfSeveralDaemonsAddUp(t *testing.T) {
	tables, f := []*Table{NewTable(), NewTable(), NewTable()}, requestNumbered(1)
	for i, table := range tables {
		_, marked := table.Blame(f, crash(fmt.Sprint(i), 100*i, 100*i+50), at(100*i+50))
		assert.Assert(t, !marked)
	}
	now := at(400)
	for _, from := range tables {
		for _, to := range tables {
			sendReport(from, to, now, false)
		}
	}
	for _, table := range tables {
		assert.Assert(t, table.State(f, now).Quarantined)
	}
}

// TestReportsTravelByRelays checks that a crash seen by a daemon is reported to another hall by way
// of two relays. A daemon that is no relay must not report what it only received.
func TestReportsTravelByRelays(t *testing.T) {
	member, relayA, relayB, farMember, f := NewTable(), NewTable(), NewTable(), NewTable(), requestNumbered(1)
	member.Blame(f, crash("a", 0, 50), at(50))
	now := at(60)
	assert.Assert(t, sendReport(member, relayA, now, false).Changed)
	assert.Assert(t, sendReport(relayA, relayB, now, true).Changed)
	assert.Assert(t, sendReport(relayB, farMember, now, true).Changed)
	assert.Equal(t, farMember.State(f, now).Crashes, 1)
	assert.Equal(t, len(farMember.Report(now, false)), 0)
	assert.Assert(t, !sendReport(relayB, farMember, now, true).Changed, "it is already known")
}

// TestReportsConverge merges reports in arbitrary order, and checks that all tables have the same
// state in the end.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		draw := func(label string) *Table { return tables[rapid.IntRange(0, len(tables)-1).Draw(t, label)] }
		now, workers, cleared := 10_000, 0, false
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now += rapid.IntRange(1, 60).Draw(t, "pause")
			from := draw("from")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				workers++
				sent := now - rapid.IntRange(1, 40).Draw(t, "ran")
				from.Blame(requestNumbered(1), crash(fmt.Sprint(workers), sent, now), at(now))
			case 2:
				cleared = cleared || from.Clear(requestNumbered(1), at(now))
			default:
				sendReport(from, draw("to"), at(now), true)
			}
		}
		now = exchangeAll(tables, now)
		first := tables[0].State(requestNumbered(1), at(now))
		for _, table := range tables[1:] {
			state := table.State(requestNumbered(1), at(now))
			assert.Equal(t, state.Quarantined, first.Quarantined)
			assert.Assert(t, cleared || state.Crashes == first.Crashes)
		}
	})
}

// exchangeAll lets the tables exchange reports until each has reached all tables. It takes and
// returns the current time in milliseconds after epoch.
func exchangeAll(tables []*Table, now int) int {
	for range 2 * len(tables) {
		now += 200
		for _, from := range tables {
			for _, to := range tables {
				sendReport(from, to, at(now), true)
			}
		}
	}
	return now
}

func TestLiftIsReported(t *testing.T) {
	a, b, f := NewTable(), NewTable(), requestNumbered(1)
	mark(t, a, f, 1000)
	assert.DeepEqual(t, sendReport(a, b, at(1000), false).Marked, []Fingerprint{f})
	assert.Assert(t, a.Clear(f, at(2000)))
	assert.DeepEqual(t, sendReport(a, b, at(2001), false).Lifted, []Fingerprint{f})
	assert.Assert(t, !sendReport(b, a, at(2002), true).Changed)
	assert.Equal(t, a.State(f, at(2002)), State{})
	assert.Equal(t, b.State(f, at(2002)), State{})
}

// TestMarksAreReportedInRotation checks that a new daemon learns of 256 quarantines from 16 reports
// of limited size.
func TestMarksAreReportedInRotation(t *testing.T) {
	const marks = 256
	oldTable, newTable := NewTable(), NewTable()
	for i := range marks {
		mark(t, oldTable, requestNumbered(i), 1000+i)
	}
	now, largest := at(60_000), 0
	for range 16 {
		now = now.Add(200 * time.Millisecond)
		report := oldTable.Report(now, false)
		data, err := json.Marshal(report)
		assert.NilError(t, err)
		largest = max(largest, len(data))
		newTable.Merge(report, now, now)
	}
	assert.Equal(t, len(newTable.Marks(now)), marks)
	assert.Assert(t, largest < 8<<10, "a report has %d bytes", largest)
}

func TestRestore(t *testing.T) {
	table, f, now := NewTable(), requestNumbered(1), at(1000)
	stored := Mark{Fingerprint: f, MarkedAt: at(0), Until: at(600_000), Rounds: 1}
	assert.Assert(t, table.Restore(stored, now))
	assert.Assert(t, !table.Restore(stored, now), "it is already known")
	assert.Assert(t, table.State(f, now).Quarantined)
	assert.Equal(t, len(table.Report(now, false)), 1)
	assert.Assert(t, table.Clear(f, at(2000)))
	assert.Assert(t, !table.Restore(stored, at(2001)), "it was lifted since")
	ended := Mark{Fingerprint: requestNumbered(2), MarkedAt: at(0), Until: at(500), Rounds: 1}
	assert.Assert(t, !table.Restore(ended, now))
}

// TestRecordsAreBounded checks that requests that are not quarantined are evicted first, oldest
// first.
func TestRecordsAreBounded(t *testing.T) {
	table := NewTable()
	mark(t, table, requestNumbered(0), 1000)
	for i := 1; i <= 2*maxRecords; i++ {
		table.Blame(requestNumbered(i), crash(fmt.Sprint(i), 2000+i, 2000+i), at(2000+i))
	}
	now := at(2000 + 2*maxRecords)
	assert.Equal(t, len(table.records), maxRecords)
	assert.Assert(t, table.State(requestNumbered(0), now).Quarantined)
	assert.Equal(t, table.State(requestNumbered(1), now).Crashes, 0)
	assert.Equal(t, table.State(requestNumbered(2*maxRecords), now).Crashes, 1)
	table.Sweep(now.Add(recordRetention + time.Second))
	assert.Equal(t, len(table.records), 1)
	table.Sweep(now.Add(initialPeriod + recordRetention))
	assert.Assert(t, table.Empty())
}

// TestMergeOfArbitraryReports checks that the table stays bounded and does not panic whatever a
// peer sends.
func TestMergeOfArbitraryReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := rapid.OneOf(rapid.Int64(), rapid.Int64Range(-10, 5000))
		var all []Entry
		for range rapid.IntRange(0, 100).Draw(t, "entries") {
			e := Entry{
				Fingerprint: requestNumbered(rapid.IntRange(0, 3).Draw(t, "of")), Cleared: age.Draw(t, "cleared"), Marked: age.Draw(t, "marked"),
				Remaining: age.Draw(t, "left"), Rounds: int(age.Draw(t, "rounds")),
			}
			for range rapid.IntRange(0, 20).Draw(t, "crashes") {
				e.Crashes = append(e.Crashes, CrashReport{Worker: rapid.String().Draw(t, "worker"), Sent: age.Draw(t, "sent"), Ended: age.Draw(t, "ended")})
			}
			all = append(all, e)
		}
		table, now := NewTable(), at(1_000_000)
		table.Merge(all, now, now)
		for _, r := range table.records {
			assert.Assert(t, len(r.crashes) <= maxCrashes)
			assert.Assert(t, !r.until.After(now.Add(2*maxPeriod)))
			assert.Assert(t, r.rounds <= maxRounds)
		}
		_ = table.Report(now, true)
	})
}

// Parameters of a simulation of random crashes. Times are in milliseconds, except for simSeconds.
// A random replica crashes every simCrashInterval. Different requests arrive at a rate of
// simPerSecond, and one popular request at a rate of simPopularPerSecond.
const (
	simReplicas, simSeconds           = 25, 600
	simStep, simRunTime               = 10, 1200
	simCrashInterval                  = 400
	simPerSecond, simPopularPerSecond = 60, 5
	simMaxSends                       = 4
	// maxMarkedShare is the maximum fraction of requests that may be quarantined.
	maxMarkedShare = 0.0025
)

// simRun is a run of a request at a replica. The field sent is the time of sending, and sends is
// the number of times that the request was sent so far.
type simRun struct {
	fingerprint   Fingerprint
	replica, sent int
	sends         int
}

// simulation is the state of the simulation. It counts the requests that arrived and the workers
// that ended.
type simulation struct {
	random            *rand.Rand
	table             *Table
	requests, workers int
	running           []simRun
	marked            map[Fingerprint]bool
}

// TestInnocentRequestsAreNotMarked checks that few requests are quarantined if workers crash at
// random. The popular request must not be, since most of its runs complete.
func TestInnocentRequestsAreNotMarked(t *testing.T) {
	p := &simulation{random: rand.New(rand.NewPCG(1, 2)), table: NewTable(), marked: make(map[Fingerprint]bool)}
	for now := 0; now < simSeconds*1000; now += simStep {
		p.addArrivals(now)
		p.step(now)
	}
	share := float64(len(p.marked)) / float64(p.requests)
	t.Logf("%.5f of %d requests marked", share, p.requests)
	assert.Assert(t, !p.marked[requestNumbered(0)])
	assert.Assert(t, share <= maxMarkedShare, "%v of %d requests were marked", share, p.requests)
}

// addArrivals adds the requests that arrive in a step.
func (p *simulation) addArrivals(now int) {
	for range simStep * (simPerSecond + simPopularPerSecond) {
		if p.random.IntN(1000) > 0 {
			continue
		}
		p.requests++
		f := requestNumbered(p.requests)
		if p.random.IntN(simPerSecond+simPopularPerSecond) < simPopularPerSecond {
			f = requestNumbered(0)
		}
		p.running = append(p.running, simRun{fingerprint: f, replica: p.random.IntN(simReplicas), sent: now, sends: 1})
	}
}

// step crashes a replica if a crash is due, and clears the requests whose runs are complete.
func (p *simulation) step(now int) {
	ended := -1
	if now%simCrashInterval == 0 {
		ended = p.random.IntN(simReplicas)
		p.workers++
	}
	running := p.running
	p.running = nil
	for _, r := range running {
		switch {
		case r.replica == ended:
			p.blame(r, now)
		case now-r.sent >= simRunTime:
			p.table.Clear(r.fingerprint, at(now))
		default:
			p.running = append(p.running, r)
		}
	}
	p.table.Sweep(at(now))
}

// blame blames a request for the crash of its replica, and sends it again up to simMaxSends times.
func (p *simulation) blame(r simRun, now int) {
	if _, marked := p.table.Blame(r.fingerprint, crash(fmt.Sprint(p.workers), r.sent, now), at(now)); marked {
		p.marked[r.fingerprint] = true
	}
	if r.sends < simMaxSends {
		p.running = append(p.running, simRun{fingerprint: r.fingerprint, replica: p.random.IntN(simReplicas), sent: now, sends: r.sends + 1})
	}
}

package formation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/fleet"
)

// openGroups returns the open groups, sorted by key.
func (w *world) openGroups() []Group {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Group
	for _, s := range w.workers {
		if s.rank == 0 && s.state == fleet.Open {
			all = append(all, s.group)
		}
	}
	slices.SortFunc(all, func(a, b Group) int { return cmp.Compare(a.Key(), b.Key()) })
	return all
}

// suspectAll reports groups as suspected ten times a second, as daemons do, for the given time.
func suspectAll(k *Reconciler, groups []Group, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, g := range groups {
			k.MarkSuspected(g.Key())
		}
	}
}

// TestPausedWorkersKeepTheirReplicas guards against dissolving replicas whose members only pause.
func TestPausedWorkersKeepTheirReplicas(t *testing.T) {
	tests := map[string]pausedCase{
		"a member":                          {ranks: []int{1}, groupCount: 1, pause: 1400 * time.Millisecond},
		"a member, the longest pause":       {ranks: []int{1}, groupCount: 1, pause: 1900 * time.Millisecond},
		"the head, the longest pause":       {ranks: []int{0}, groupCount: 1, pause: 1900 * time.Millisecond},
		"a whole group":                     {ranks: []int{0, 1}, groupCount: 1, pause: 1900 * time.Millisecond},
		"a member, until it counts as lost": {ranks: []int{1}, groupCount: 1, pause: 2150 * time.Millisecond},
		"the head, until it counts as lost": {ranks: []int{0}, groupCount: 1, pause: 2150 * time.Millisecond},
		"all workers":                       {ranks: []int{0, 1, 2, 3}, groupCount: 100, pause: 1900 * time.Millisecond},
		"a member that left the list":       {ranks: []int{1}, groupCount: 1, pause: 1400 * time.Millisecond, isUnlisted: true},
		"all workers, for longer":           {ranks: []int{0, 1, 2, 3}, groupCount: 100, pause: 3500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, test.run)
		})
	}
}

// pausedCase describes a pause of workers in open groups.
type pausedCase struct {
	// ranks holds the ranks of the members that pause. groupCount is the number of groups in which
	// they do.
	ranks      []int
	groupCount int
	pause      time.Duration
	// isUnlisted reports whether they leave the worker list before and are listed again after.
	isUnlisted bool
}

func (p pausedCase) run(t *testing.T) {
	w := newWorld(1, 2, 10)
	w.pending.Go(func() { w.confirmList(30 * time.Second) })
	k, _, stop := startServing(w, "big")
	before := w.openGroups()
	paused := before[:min(len(before), p.groupCount)]
	for _, g := range paused {
		w.pauseMembers(g, p.ranks, p.pause)
		if p.isUnlisted {
			w.unlist(g.Members[p.ranks[0]])
		}
	}
	suspectAll(k, paused, p.pause)
	time.Sleep(5 * time.Second)
	after := w.openGroups()
	w.mu.Lock()
	leaveCount := w.attemptCounts["leave"]
	w.mu.Unlock()
	isAnyClosed := slices.ContainsFunc(before, func(g Group) bool { return w.inventory.IsGroupClosed(g.Name) })
	stop()
	w.pending.Wait()
	assert.Assert(t, !isAnyClosed, "a group was announced as closed")
	assert.DeepEqual(t, after, before)
	assert.Equal(t, leaveCount, 0)
	assert.DeepEqual(t, w.violations, []string(nil))
}

// pauseMembers lets the members of a group that have the given ranks stand still.
func (w *world) pauseMembers(g Group, ranks []int, d time.Duration) {
	for _, rank := range ranks {
		if rank < len(g.Members) {
			w.pause(g.Members[rank], d)
		}
	}
}

// longSilence is longer than any test that needs a worker to stay silent.
const longSilence = 30 * time.Second

// TestLostWorkersAreReplaced covers workers that do not answer any more. Their groups must be
// dissolved within a time that depends on the evidence.
func TestLostWorkersAreReplaced(t *testing.T) {
	tests := map[string]struct {
		rank int
		// lose makes the worker fail.
		lose func(w *world, id string)
		// within is the time until the group is dissolved.
		within time.Duration
	}{
		"a member crashes": {rank: 1, lose: (*world).kill, within: 700 * time.Millisecond},
		"the head crashes": {lose: (*world).kill, within: 2 * time.Second},
		"a member stays silent": {
			rank: 1, lose: func(w *world, id string) { w.pause(id, longSilence) }, within: silenceTolerance + time.Second,
		},
		"the head stays silent": {
			lose: func(w *world, id string) { w.pause(id, longSilence) }, within: silenceTolerance + 2*time.Second,
		},
		"a silent member crashes": {rank: 1, within: 2 * time.Second, lose: func(w *world, id string) {
			w.pause(id, longSilence)
			w.pending.Go(func() {
				time.Sleep(800 * time.Millisecond)
				w.kill(id)
			})
		}},
		"a member crashes while another one is silent": {rank: 1, within: 700 * time.Millisecond, lose: func(w *world, id string) {
			head := w.workers[id].group.Members[0]
			w.pause(w.workers[head].group.Members[2], longSilence)
			w.kill(id)
		}},
		"a member crashes while all others are silent": {rank: 1, within: 2500 * time.Millisecond, lose: func(w *world, id string) {
			for other := range w.workers {
				w.pause(other, 1900*time.Millisecond)
			}
			w.kill(id)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 2, 10)
				w.pending.Go(func() { w.confirmList(30 * time.Second) })
				k, g, stop := startServing(w, "big")
				start := time.Now()
				test.lose(w, g.Members[test.rank])
				for !k.isDissolved(g) && time.Since(start) < 10*time.Second {
					suspectAll(k, []Group{g}, 50*time.Millisecond)
				}
				took := time.Since(start)
				stop()
				w.pending.Wait()
				t.Log("dissolved after", took)
				assert.Assert(t, took <= test.within, "dissolved after %s", took)
				assert.DeepEqual(t, w.violations, []string(nil))
			})
		})
	}
}

// isDissolved reports whether the members of a group are free.
func (rc *Reconciler) isDissolved(g Group) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.retirements[g.Key()] != 0
}

// schedulePauses holds the pauses of workers in a schedule of faults, for the steps that follow those
// that restart workers.
var schedulePauses = []time.Duration{1200 * time.Millisecond, 1900 * time.Millisecond, 5 * time.Second}

// TestNoWorkersUsedTwiceAcrossPauses repeats TestNoWorkersUsedTwiceAcrossRestarts with workers that
// also pause.
func TestNoWorkersUsedTwiceAcrossPauses(outerT *testing.T) {
	rapid.Check(outerT, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		lateFraction := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "late")
		steps := rapid.SliceOfN(rapid.IntRange(0, 5+len(restartListDelays)+len(schedulePauses)), 4, 16).Draw(t, "steps")
		var violations []string
		synctest.Test(outerT, func(*testing.T) {
			violations = runSchedule(newWorld(seed, 2, 10), lateFraction, steps)
		})
		if len(violations) > 0 {
			t.Fatalf("violations: %v", violations)
		}
	})
}

// pauseSome lets every third worker stand still, beginning with the one of the given number, and
// reports their groups as suspected.
func (w *world) pauseSome(k *Reconciler, first int, d time.Duration) {
	for i, id := range slices.Sorted(maps.Keys(w.workers)) {
		if (i+first)%3 != 0 {
			continue
		}
		w.pause(id, d)
		for _, g := range w.groupsOf(id) {
			k.MarkSuspected(g)
		}
	}
}

// TestSilentWorkersAreNotUsedForNewGroups guards against forming groups with workers that are silent
// when their group is dissolved because it lost another member.
func TestSilentWorkersAreNotUsedForNewGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, 10)
		w.pending.Go(func() { w.confirmList(30 * time.Second) })
		k, g, stop := startServing(w, "big")
		w.kill(g.Members[1])
		w.pause(g.Members[2], longSilence)
		suspectAll(k, []Group{g}, time.Second)
		time.Sleep(1500 * time.Millisecond)
		got := w.countServing()["big"]
		w.mu.Lock()
		joinCount := w.attemptCounts["join"]
		w.mu.Unlock()
		stop()
		w.pending.Wait()
		assert.Equal(t, got, 2, "%d attempts to let workers join", joinCount)
		assert.DeepEqual(t, w.violations, []string(nil))
	})
}

// TestRestartedWorkerThatAnswersLateIsReused guards against taking a worker that restarted under its
// ID, and answers queries late, for one that only pauses.
func TestRestartedWorkerThatAnswersLateIsReused(t *testing.T) {
	for _, rank := range []int{0, 1} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(5, 2, 10)
				w.pending.Go(func() { w.confirmList(30 * time.Second) })
				k, g, stop := startServing(w, "big")
				want := countServingWorkers(w.countServing())
				id := g.Members[rank]
				w.restart(id, 3*time.Second)
				w.pause(id, 900*time.Millisecond)
				suspectAll(k, []Group{g}, time.Second)
				time.Sleep(repairTimeout - time.Second)
				got := countServingWorkers(w.countServing())
				w.mu.Lock()
				newGroup := w.workers[id].group.Name
				w.mu.Unlock()
				stop()
				w.pending.Wait()
				assert.Assert(t, got >= want, "%d workers serve, %d before", got, want)
				assert.Assert(t, newGroup != g.Name)
				assert.DeepEqual(t, w.violations, []string(nil))
			})
		})
	}
}

func TestIsCommonSilence(t *testing.T) {
	tests := map[string]struct {
		domains   []string
		goneCount int
		want      bool
	}{
		"none":                       {},
		"one replica":                {domains: []string{"a", "a", "a", "a"}},
		"few workers":                {domains: []string{"a", "b", "c"}},
		"many in several domains":    {domains: []string{"a", "a", "a", "b"}, want: true},
		"some of them count as gone": {domains: []string{"a", "a", "a", "b"}, goneCount: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			silences := make(map[string]*silence)
			for i, domain := range test.domains {
				silences[fmt.Sprint(i)] = &silence{worker: &fleet.Worker{Domain: domain}, isGone: i < test.goneCount}
			}
			assert.Equal(t, isCommonSilence(silences), test.want)
		})
	}
}

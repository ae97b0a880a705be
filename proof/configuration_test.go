package proof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/config"
	"quartzshelf.dev/standin"
)

const (
	// inForceWithin is the users' limit for a change to be in force everywhere.
	inForceWithin  = 13 * time.Second
	shortRetention = 90 * time.Second
)

var configurationOptions = fleetOptions{daemons: 3, withoutControllers: true, retention: shortRetention}

// operator publishes one change through one daemon.
type operatorCall struct {
	wait   time.Duration
	host   int
	object int
}

// String describes the call for a failed test.
func (c operatorCall) String() string {
	return fmt.Sprintf("+%v host=%d object=%d", c.wait, c.host, c.object)
}

// book notes what operators were told and what daemons held.
type book struct {
	mu       sync.Mutex
	accepted map[string]int64
	refused  map[string]bool
	highest  map[string]int64
	problem  string
}

func (b *book) fail(format string, args ...any) {
	if b.problem == "" {
		b.problem = fmt.Sprintf(format, args...)
	}
}

// publish makes a change against what the daemon holds now.
func (b *book) publish(h *host, c operatorCall, id string) {
	name := fmt.Sprint("node-", c.object)
	object, _ := h.state.View().Object(config.Key{Kind: config.KindNode, Name: name})
	set := config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Base: object.Revision(),
		Document: config.Document{Kind: config.KindNode, Name: name, Labels: map[string]string{"by": id}},
	}}}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	verdict, err := h.publish(ctx, id, set)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil:
	case verdict.Accepted:
		b.accepted[id] = verdict.Offset + 1
	default:
		b.refused[id] = true
	}
}

// look checks that no daemon went back.
func (b *book) look(f *fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range f.hosts {
		if h.cancel == nil {
			continue
		}
		life := fmt.Sprint(h.id, " in life ", h.life)
		revision := h.state.View().Revision()
		if revision < b.highest[life] {
			b.fail("%s went back from revision %d to %d", life, b.highest[life], revision)
		}
		b.highest[life] = revision
	}
}

// agree checks, when all is well, that every daemon holds the same and that
// what operators were told is so.
func (b *book) agree(f *fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := f.hosts[0]
	for _, h := range f.hosts[1:] {
		if h.state.View().Revision() != first.state.View().Revision() {
			b.fail("%s holds revision %d and %s %d, %v after all was well",
				h.id, h.state.View().Revision(), first.id, first.state.View().Revision(), inForceWithin)
		}
	}
	for id, revision := range b.accepted {
		if revision > first.state.View().Revision() {
			b.fail("%s was accepted at revision %d, but only %d is in force", id, revision, first.state.View().Revision())
		}
	}
	for _, h := range f.hosts {
		for _, o := range h.state.View().Objects() {
			if b.refused[o.Document().Labels["by"]] {
				b.fail("%s was told to be refused, but is in force at %s", o.Document().Labels["by"], h.id)
			}
		}
	}
}

// changeConfiguration runs calls and faults side by side and returns what is
// wrong.
func changeConfiguration(t *testing.T, calls []operatorCall, schedule []fault) string {
	b := &book{accepted: make(map[string]int64), refused: make(map[string]bool), highest: make(map[string]int64)}
	synctest.Test(t, func(*testing.T) {
		f := newFleet(configurationOptions)
		defer f.stop()
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		var faults, callers, looker conc.WaitGroup
		looker.Go(func() { b.lookOn(ctx, f) })
		faults.Go(func() { f.hitAll(schedule, configurationOptions) })
		for i, c := range calls {
			time.Sleep(c.wait)
			if h := f.hosts[c.host]; h.alive() {
				callers.Go(func() { b.publish(h, c, fmt.Sprint("change-", i)) })
			}
		}
		faults.Wait()
		f.mend(configurationOptions)
		callers.Wait()
		time.Sleep(inForceWithin)
		cancel()
		looker.Wait()
		b.agree(f)
	})
	return b.problem
}

// lookOn looks again and again until ctx ends.
func (b *book) lookOn(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		b.look(f)
		time.Sleep(watchEvery)
	}
}

// TestConfigurationNeverReverts draws racing operators and faults, with a log
// that forgets records long before the end.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) operatorCall {
			return operatorCall{
				wait:   rapid.SampledFrom(waits).Draw(t, "wait"),
				host:   rapid.SampledFrom(numbers(configurationOptions.daemons)).Draw(t, "host"),
				object: rapid.SampledFrom(numbers(2)).Draw(t, "object"),
			}
		})
		calls := rapid.SliceOfN(one, 3, 30).Draw(rt, "calls")
		schedule := onceFaults(drawSchedule(rt, configurationOptions.daemons, 1, 3, 25))
		if problem := changeConfiguration(t, calls, schedule); problem != "" {
			rt.Fatalf("%s\ncalls: %v\nschedule: %v", problem, calls, schedule)
		}
	})
}

// TestRacingOperators lets two operators change the same object at the same
// moment, from what they both read: one is accepted, the other is told which
// field clashed.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(fleetOptions{daemons: 2, withoutControllers: true})
		defer f.stop()
		time.Sleep(2 * time.Second)
		verdicts := make([]config.Verdict, 2)
		var group conc.WaitGroup
		for i, h := range f.hosts {
			group.Go(func() {
				set := config.ChangeSet{Changes: []config.Change{{
					Operation: config.OperationPut,
					Document: config.Document{
						Kind: config.KindNode, Name: "n1", Labels: map[string]string{"by": h.id, "same": "yes"},
					},
				}}}
				verdict, err := h.publish(t.Context(), "race-"+h.id, set)
				assert.NilError(t, err)
				verdicts[i] = verdict
			})
		}
		group.Wait()
		loser := verdicts[0]
		if loser.Accepted {
			loser = verdicts[1]
		}
		assert.Assert(t, verdicts[0].Accepted != verdicts[1].Accepted, "%+v", verdicts)
		assert.Equal(t, loser.Problem, "Node/n1 was changed meanwhile: made against revision 0, now at 1, clashing in labels.by")
	})
}

// TestLateStarterWithoutTheBeginning starts a daemon when the log has long
// forgotten the first records: a checkpoint must bring it what is in force.
func TestLateStarterWithoutTheBeginning(t *testing.T) {
	for name, logOut := range map[string]bool{"from the log": false, "from a peer while the log is out": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(configurationOptions)
				defer f.stop()
				f.hosts[2].kill()
				time.Sleep(2 * time.Second)
				label(t, f.hosts[0], "n1", map[string]string{"color": "red"})
				time.Sleep(10 * shortRetention)
				f.log.SetFaults(standin.LogFaults{Outage: logOut})
				if !logOut {
					// Without its peers the daemon has the log alone.
					f.net.setCut(f.hosts[2].id, f.hosts[0].id, true)
					f.net.setCut(f.hosts[2].id, f.hosts[1].id, true)
				}
				f.hosts[2].start(configurationOptions)
				time.Sleep(inForceWithin)
				object, ok := f.hosts[2].state.View().Object(config.Key{Kind: config.KindNode, Name: "n1"})
				assert.Assert(t, ok, "the late daemon does not know the object")
				assert.Equal(t, object.Document().Labels["color"], "red")
			})
		})
	}
}

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
	// propagationLimit is the time within which a change must be in force at every daemon.
	propagationLimit = 13 * time.Second
	shortRetention   = 90 * time.Second
)

var configurationOptions = fleetOptions{daemons: 3, withoutControllers: true, retention: shortRetention}

// operatorCall is the publication of one change through one daemon.
type operatorCall struct {
	delay  time.Duration
	host   int
	object int
}

// String describes the call in the message of a failed test.
func (c operatorCall) String() string {
	return fmt.Sprintf("+%v host=%d object=%d", c.delay, c.host, c.object)
}

// configurationChecker records the verdicts that operators got and the revisions that daemons
// held.
type configurationChecker struct {
	mu              sync.Mutex
	accepted        map[string]int64
	refused         map[string]bool
	highestRevision map[string]int64
	problem         string
}

func (cc *configurationChecker) recordProblem(format string, args ...any) {
	if cc.problem == "" {
		cc.problem = fmt.Sprintf(format, args...)
	}
}

// publish publishes a change of the object, based on the revision that the daemon holds, and
// records the verdict.
func (cc *configurationChecker) publish(h *host, c operatorCall, id string) {
	name := fmt.Sprint("node-", c.object)
	object, _ := h.state.View().Object(config.Key{Kind: config.KindNode, Name: name})
	set := config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Base: object.Revision(),
		Document: config.Document{Kind: config.KindNode, Name: name, Labels: map[string]string{"by": id}},
	}}}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	verdict, err := h.publish(ctx, id, set)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	switch {
	case err != nil:
	case verdict.Accepted:
		cc.accepted[id] = verdict.Offset + 1
	default:
		cc.refused[id] = true
	}
}

// checkRevisions checks that no daemon's revision has decreased since the daemon's start.
func (cc *configurationChecker) checkRevisions(f *fleet) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, h := range f.hosts {
		if h.cancel == nil {
			continue
		}
		run := fmt.Sprint(h.id, " in run ", h.runNumber)
		revision := h.state.View().Revision()
		if revision < cc.highestRevision[run] {
			cc.recordProblem("%s went back from revision %d to %d", run, cc.highestRevision[run], revision)
		}
		cc.highestRevision[run] = revision
	}
}

// checkAgreement checks that all daemons hold the same revision, and that this revision agrees with
// the verdicts. It is called at the end of a run, when no faults remain.
func (cc *configurationChecker) checkAgreement(f *fleet) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	first := f.hosts[0]
	for _, h := range f.hosts[1:] {
		if h.state.View().Revision() != first.state.View().Revision() {
			cc.recordProblem("%s holds revision %d and %s %d, %v after the faults ended",
				h.id, h.state.View().Revision(), first.id, first.state.View().Revision(), propagationLimit)
		}
	}
	for id, revision := range cc.accepted {
		if revision > first.state.View().Revision() {
			cc.recordProblem("%s was accepted at revision %d, but only %d is in force", id, revision, first.state.View().Revision())
		}
	}
	for _, h := range f.hosts {
		for _, o := range h.state.View().Objects() {
			if cc.refused[o.Document().Labels["by"]] {
				cc.recordProblem("%s was refused, but is in force at %s", o.Document().Labels["by"], h.id)
			}
		}
	}
}

// runConfigurationChanges runs calls and faults concurrently and returns the first problem, or
// an empty string.
func runConfigurationChanges(t *testing.T, calls []operatorCall, schedule []fault) string {
	cc := &configurationChecker{accepted: make(map[string]int64), refused: make(map[string]bool), highestRevision: make(map[string]int64)}
	synctest.Test(t, func(*testing.T) {
		f := newFleet(configurationOptions)
		defer f.stop()
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		var faults, callers, checks conc.WaitGroup
		checks.Go(func() { cc.checkRevisionsUntilDone(ctx, f) })
		faults.Go(func() { f.injectFaults(schedule, configurationOptions) })
		for i, c := range calls {
			time.Sleep(c.delay)
			if h := f.hosts[c.host]; h.isAlive() {
				callers.Go(func() { cc.publish(h, c, fmt.Sprint("change-", i)) })
			}
		}
		faults.Wait()
		f.endFaults(configurationOptions)
		callers.Wait()
		time.Sleep(propagationLimit)
		cancel()
		checks.Wait()
		cc.checkAgreement(f)
	})
	return cc.problem
}

// checkRevisionsUntilDone checks the revisions periodically until ctx ends.
func (cc *configurationChecker) checkRevisionsUntilDone(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		cc.checkRevisions(f)
		time.Sleep(checkInterval)
	}
}

// TestConfigurationNeverReverts runs random concurrent changes and faults. The log's retention
// is shorter than the run.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		generator := rapid.Custom(func(t *rapid.T) operatorCall {
			return operatorCall{
				delay:  rapid.SampledFrom(delays).Draw(t, "delay"),
				host:   rapid.SampledFrom(indices(configurationOptions.daemons)).Draw(t, "host"),
				object: rapid.SampledFrom(indices(2)).Draw(t, "object"),
			}
		})
		calls := rapid.SliceOfN(generator, 3, 30).Draw(rt, "calls")
		schedule := replaceNodeFaults(drawSchedule(rt, configurationOptions.daemons, 1, 3, 25))
		if problem := runConfigurationChanges(t, calls, schedule); problem != "" {
			rt.Fatalf("%s\ncalls: %v\nschedule: %v", problem, calls, schedule)
		}
	})
}

// TestRacingOperators publishes two changes of the same object at the same moment, based on the
// same revision. One is accepted, and the verdict on the other one names the conflicting field.
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

// TestDaemonStartsFromCheckpoint starts a daemon after the log has dropped its first
// records. The daemon must get the configuration from a checkpoint.
func TestDaemonStartsFromCheckpoint(t *testing.T) {
	for name, isLogDown := range map[string]bool{"from the log": false, "from a peer while the log is out": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(configurationOptions)
				defer f.stop()
				f.hosts[2].kill()
				time.Sleep(2 * time.Second)
				publishLabels(t, f.hosts[0], "n1", map[string]string{"color": "red"})
				time.Sleep(10 * shortRetention)
				f.log.SetFaults(standin.LogFaults{Outage: isLogDown})
				if !isLogDown {
					// Without its peers, the daemon can read only the log.
					f.net.setCut(f.hosts[2].id, f.hosts[0].id, true)
					f.net.setCut(f.hosts[2].id, f.hosts[1].id, true)
				}
				f.hosts[2].start(configurationOptions)
				time.Sleep(propagationLimit)
				object, ok := f.hosts[2].state.View().Object(config.Key{Kind: config.KindNode, Name: "n1"})
				assert.Assert(t, ok, "the late daemon does not know the object")
				assert.Equal(t, object.Document().Labels["color"], "red")
			})
		})
	}
}

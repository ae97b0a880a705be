package proof

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/config"
	"quartzshelf.dev/hall"
	"quartzshelf.dev/rpc"
	"quartzshelf.dev/standin"
)

// hallOptions describes a fleet of three daemons and two data halls. Each hall has enough nodes
// for all replicas of the basic configuration.
var hallOptions = fleetOptions{
	daemons: 3,
	domains: []standin.DomainOptions{
		{Name: "fabric-1", DataHall: "hall-0", EngineNodes: 12, Accelerators: 4},
		{Name: "fabric-2", DataHall: "hall-1", EngineNodes: 12, Accelerators: 4},
	},
}

// setHall publishes the hall as closed or open through the daemon.
func (h *host) setHall(ctx context.Context, name string, closed bool) error {
	object, _ := h.state.View().Object(config.Key{Kind: config.KindDataHall, Name: name})
	verdict, err := h.publish(ctx, "hall-"+h.fleet.newID(), config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Base: object.Revision(),
		Document: newDocument(config.KindDataHall, name, nil, config.DataHallSpec{Closed: closed}),
	}}})
	if err == nil && !verdict.Accepted {
		return fmt.Errorf("refused: %s", verdict.Problem)
	}
	return err
}

// usableReplicas returns the replicas of chat to which the daemon may route requests.
func usableReplicas(h *host) []catalog.Replica {
	var all []catalog.Replica
	for _, r := range h.catalog.Serving("chat", time.Now()) {
		if h.state.View().ExclusionReason(r.DataHall()) == "" {
			all = append(all, r)
		}
	}
	return all
}

// replicaGenerations returns the formed replicas of chat in a hall, each with its generation.
func replicaGenerations(h *host, name string) string {
	var all []string
	for _, r := range h.catalog.Replicas() {
		if r.DataHall() == name && r.Deployment() == "chat" && r.ReportedServing() {
			all = append(all, fmt.Sprintf("%s@%d", r.ID(), r.Generation()))
		}
	}
	return strings.Join(all, " ")
}

// TestClosedHallIsReplacedElsewhere closes the hall that holds the replicas. The other hall must
// form replacements. Then the test restarts all daemons if the log is available, or only the owner
// of the hall's domain during an outage of the log. The closed hall must keep its replicas. When
// the hall opens again, these replicas must be usable at once.
func TestClosedHallIsReplacedElsewhere(t *testing.T) {
	for name, isLogDown := range map[string]bool{"log well": false, "log out": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(hallOptions)
				defer f.stop()
				time.Sleep(2 * time.Second)
				f.publishBasics(t, 2)
				time.Sleep(15 * time.Second)
				closing := usableReplicas(f.hosts[0])[0].DataHall()
				assert.Equal(t, closing, "hall-0")
				before := replicaGenerations(f.hosts[0], closing)
				assert.NilError(t, f.hosts[0].setHall(t.Context(), closing, true))
				time.Sleep(propagationLimit)
				assertHallUnused(t, f, closing)
				restarts := f.hosts
				if isLogDown {
					owner, _ := ownerAndOther(t, f, "fabric-1")
					restarts = []*host{owner}
					f.log.SetFaults(standin.LogFaults{Outage: true})
				}
				for _, h := range restarts {
					h.kill()
					time.Sleep(10 * time.Second)
					h.start(hallOptions)
					time.Sleep(20 * time.Second)
					assertHallUnused(t, f, closing)
				}
				assert.Equal(t, replicaGenerations(f.hosts[1], closing), before, "the closed hall was left as it was")
				f.log.SetFaults(standin.LogFaults{})
				time.Sleep(15 * time.Second)
				assert.NilError(t, f.hosts[1].setHall(t.Context(), closing, false))
				assert.Assert(t, strings.Contains(fmt.Sprint(usableIDs(f.hosts[1])), strings.Split(before, "@")[0]),
					"%v lacks the replicas of the hall that opened: %s", usableIDs(f.hosts[1]), before)
				time.Sleep(time.Minute)
				assert.Equal(t, len(usableReplicas(f.hosts[2])), 2, "what is too much is given up")
			})
		})
	}
}

// assertHallUnused asserts that every daemon can use two replicas and that none of them is in
// the closed hall.
func assertHallUnused(t *testing.T, f *fleet, closed string) {
	t.Helper()
	for _, h := range f.hosts {
		assert.Equal(t, len(usableReplicas(h)), 2, "%s: %v", h.id, usableIDs(h))
		for _, r := range usableReplicas(h) {
			assert.Assert(t, r.DataHall() != closed)
		}
	}
}

func usableIDs(h *host) []string {
	var ids []string
	for _, r := range usableReplicas(h) {
		ids = append(ids, r.ID())
	}
	return ids
}

// TestReplicasFormInAllowedRegions restricts the deployment to the region of one hall.
func TestReplicasFormInAllowedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hallOptions)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.publishBasics(t, 2)
		time.Sleep(15 * time.Second)
		chat, _ := f.hosts[0].state.View().Object(config.Key{Kind: config.KindDeployment, Name: "chat"})
		set := config.ChangeSet{Changes: []config.Change{
			{Operation: config.OperationPut, Document: newDocument(config.KindDataHall, "hall-0", nil, config.DataHallSpec{Region: "south"})},
			{Operation: config.OperationPut, Document: newDocument(config.KindDataHall, "hall-1", nil, config.DataHallSpec{Region: "north"})},
			{Operation: config.OperationPut, Base: chat.Revision(), Document: newDocument(config.KindDeployment, "chat", nil, config.DeploymentSpec{
				ModelSelector: "family=m", NodesPerReplica: 4, Replicas: 2, Priority: 1, AllowedRegions: config.Regions{"north"},
			})},
		}}
		verdict, err := f.hosts[0].publish(t.Context(), "regions", set)
		assert.NilError(t, err)
		assert.Equal(t, verdict.Problem, "")
		time.Sleep(time.Minute)
		for _, h := range f.hosts {
			all := h.catalog.Serving("chat", time.Now())
			assert.Equal(t, len(all), 2, h.id)
			for _, r := range all {
				assert.Equal(t, r.DataHall(), "hall-1", r.ID())
			}
		}
	})
}

// hallCall is a request to close or open a hall through one daemon.
type hallCall struct {
	delay      time.Duration
	host, hall int
	closed     bool
}

// String describes the call in the message of a failed test.
func (c hallCall) String() string {
	return fmt.Sprintf("+%v host=%d hall=%d closed=%v", c.delay, c.host, c.hall, c.closed)
}

// readiness decides whether a host takes requests, by the same rules as package daemon.
type readiness struct {
	runNumber   int
	hasStarted  bool
	behindSince time.Time
	// expectedMembers and hasSeenOtherMember mirror the state of the readiness check in package
	// daemon.
	expectedMembers    map[string]bool
	hasSeenOtherMember bool
}

// takesRequests reports whether the host takes requests at the given time. The result
// depends on earlier calls, so the method must be called periodically.
func (r *readiness) takesRequests(h *host, now time.Time) bool {
	const window, seedTimeout = 10 * time.Second, 3 * time.Second
	if r.runNumber != h.runNumber {
		*r = readiness{runNumber: h.runNumber}
	}
	follower := h.followers["configuration"]
	confirmed, next := follower.Confirmed(), follower.Fold().Next()
	reached, members := h.agent.CountReached(now.Add(-window))
	r.updateMembers(h, confirmed.After(now.Add(-window)))
	members = max(members, len(r.expectedMembers))
	isConnected := confirmed.After(now.Add(-window)) ||
		members > 1 && 2*reached > members || members == 1 && !confirmed.IsZero() && r.hasSeenOtherMember
	isBehind := next < h.agent.FleetConfigNext()
	if !isBehind {
		r.behindSince = time.Time{}
	} else if r.behindSince.IsZero() {
		r.behindSince = now
	}
	everReached, everMembers := h.agent.CountReached(h.startedAt)
	hasFoundFleet := everMembers > 1 && everReached > 1 || everMembers == 1 && now.After(h.startedAt.Add(seedTimeout))
	if isConnected && !isBehind && hasFoundFleet && (!confirmed.IsZero() || next > 0) {
		r.hasStarted = true
	}
	return r.hasStarted && isConnected && (!isBehind || !now.After(r.behindSince.Add(window)))
}

// updateMembers updates the expected members from the membership table. Every host has seeds,
// the configured addresses of daemons. So a host that never had contact with another one doesn't
// assume that the fleet consists of this host only.
func (r *readiness) updateMembers(h *host, isLogCurrent bool) {
	if isLogCurrent || r.expectedMembers == nil {
		r.expectedMembers = make(map[string]bool)
	}
	members := h.agent.Table().Members()
	for _, m := range members {
		r.expectedMembers[m.Id] = m.State != rpc.MemberState_LEFT
		if !r.expectedMembers[m.Id] {
			delete(r.expectedMembers, m.Id)
		}
	}
	r.hasSeenOtherMember = r.hasSeenOtherMember || len(members) > 1
}

// hallWatcher detects a daemon that may route requests to a hall while another daemon reports
// that hall as empty.
type hallWatcher struct {
	fleet           *fleet
	readinessByHost map[string]*readiness
	problem         string
	// emptyReports counts the reports of an empty hall, over all checks and daemons.
	emptyReports int
}

func (w *hallWatcher) checkAll(now time.Time) {
	takesRequests := make(map[string]bool)
	for _, h := range w.fleet.hosts {
		// A frozen host does nothing. Its readiness is checked once it is resumed.
		takesRequests[h.id] = h.isAlive() && w.readinessByHost[h.id].takesRequests(h, now)
	}
	for _, reporter := range w.fleet.hosts {
		if !reporter.isAlive() {
			continue
		}
		for _, s := range reporter.halls.Statuses(now) {
			if s.State == hall.Empty {
				w.emptyReports++
				w.checkEmptyHall(reporter, s, takesRequests)
			}
		}
	}
}

func (w *hallWatcher) checkEmptyHall(reporter *host, s hall.Status, takesRequests map[string]bool) {
	for _, h := range w.fleet.hosts {
		object, _ := h.state.View().Object(config.Key{Kind: config.KindDataHall, Name: s.Name})
		if takesRequests[h.id] && object.Revision() < s.Revision && w.problem == "" {
			w.problem = fmt.Sprintf("%s calls %s empty since revision %d, and %s takes requests knowing only revision %d",
				reporter.id, s.Name, s.Revision, h.id, object.Revision())
		}
	}
}

// runHallCalls runs calls and faults concurrently. It returns the first problem, or an empty
// string, and the number of reports of an empty hall.
func runHallCalls(t *testing.T, calls []hallCall, schedule []fault) (problem string, emptyReports int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hallOptions)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.publishBasics(t, 2)
		w := &hallWatcher{fleet: f, readinessByHost: make(map[string]*readiness)}
		for _, h := range f.hosts {
			w.readinessByHost[h.id] = &readiness{}
		}
		ctx, cancel := context.WithCancel(context.Background())
		var faults, callers, checks conc.WaitGroup
		checks.Go(func() {
			for ctx.Err() == nil {
				w.checkAll(time.Now())
				time.Sleep(checkInterval)
			}
		})
		faults.Go(func() { f.injectFaults(schedule, hallOptions) })
		for _, c := range calls {
			time.Sleep(c.delay)
			if h := f.hosts[c.host]; h.isAlive() {
				callers.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
					defer cancel()
					// A call may be refused or lost. That is no error in this test.
					_ = h.setHall(ctx, fmt.Sprint("hall-", c.hall), c.closed)
				})
			}
		}
		time.Sleep(30 * time.Second)
		faults.Wait()
		f.endFaults(hallOptions)
		callers.Wait()
		time.Sleep(recoveryTime)
		cancel()
		checks.Wait()
		problem, emptyReports = w.problem, w.emptyReports
	})
	return problem, emptyReports
}

// TestNobodySendsToAnEmptyHall closes and opens halls under random faults: killed, frozen and
// partitioned daemons and an unavailable log. Once a daemon reports a hall as empty, no daemon
// that takes requests may still consider it open.
func TestNobodySendsToAnEmptyHall(t *testing.T) {
	emptyReports := 0
	rapid.Check(t, func(rt *rapid.T) {
		generator := rapid.Custom(func(t *rapid.T) hallCall {
			return hallCall{
				delay:  rapid.SampledFrom(delays).Draw(t, "delay"),
				host:   rapid.SampledFrom(indices(hallOptions.daemons)).Draw(t, "host"),
				hall:   rapid.SampledFrom(indices(2)).Draw(t, "hall"),
				closed: rapid.SampledFrom([]bool{true, true, false}).Draw(t, "closed"),
			}
		})
		calls := rapid.SliceOfN(generator, 1, 8).Draw(rt, "calls")
		schedule := replaceNodeFaults(drawSchedule(rt, hallOptions.daemons, 1, 3, 25))
		problem, seen := runHallCalls(t, calls, schedule)
		emptyReports += seen
		if problem != "" {
			rt.Fatalf("%s\ncalls: %v\nschedule: %v", problem, calls, schedule)
		}
	})
	assert.Assert(t, emptyReports > 0, "no hall was ever called empty")
}

// TestIsolatedDaemonTakesNoRequestsWithoutTheLog starts a daemon that can't reach the others. The
// daemon reads the log and is then cut off from the log too. The daemon must not take
// requests while another one reports a hall as empty, even after it has forgotten the other
// members.
func TestIsolatedDaemonTakesNoRequestsWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hallOptions)
		defer f.stop()
		f.formFirstReplica(t)
		isolated := f.hosts[2]
		isolated.kill()
		for _, other := range f.hosts[:2] {
			f.net.setCut(isolated.id, other.id, true)
		}
		isolated.start(hallOptions)
		time.Sleep(20 * time.Second)
		f.net.setCut(isolated.id, placeLog, true)
		assert.NilError(t, f.hosts[0].setHall(t.Context(), "hall-1", true))
		readinessByHost := map[string]*readiness{}
		for _, h := range f.hosts {
			readinessByHost[h.id] = &readiness{}
		}
		w := &hallWatcher{fleet: f, readinessByHost: readinessByHost}
		for range 15 * 60 {
			time.Sleep(time.Second)
			w.checkAll(time.Now())
		}
		assert.Equal(t, w.problem, "")
		assert.Assert(t, w.emptyReports > 0)
	})
}

// TestHallIsNotEmptyBehindAPartition closes a hall through the only daemon that reaches the log.
// The two others reach only each other and go on taking requests. The hall must not be reported
// as empty until these two have learned that the hall is closed.
func TestHallIsNotEmptyBehindAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hallOptions)
		defer f.stop()
		f.formFirstReplica(t)
		for _, h := range f.hosts[1:] {
			f.net.setCut(h.id, placeLog, true)
			f.net.setCut(h.id, f.hosts[0].id, true)
		}
		assert.NilError(t, f.hosts[0].setHall(t.Context(), "hall-1", true))
		ready := &readiness{}
		state := func() hall.State {
			for _, s := range f.hosts[0].halls.Statuses(time.Now()) {
				if s.Name == "hall-1" {
					return s.State
				}
			}
			return ""
		}
		for range 120 {
			time.Sleep(time.Second)
			assert.Assert(t, ready.takesRequests(f.hosts[1], time.Now()))
			assert.Equal(t, f.hosts[1].state.View().Hall("hall-1").Closed(), false)
			assert.Equal(t, state(), hall.Closing)
		}
		f.net.heal()
		time.Sleep(propagationLimit)
		assert.Equal(t, f.hosts[1].state.View().Hall("hall-1").Closed(), true)
		assert.Equal(t, state(), hall.Empty)
	})
}

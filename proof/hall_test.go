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

// hallOptions is a fleet of three daemons before two data halls, each of which can hold
// all that the basics want.
var hallOptions = fleetOptions{
	daemons: 3,
	domains: []standin.DomainOptions{
		{Name: "fabric-1", DataHall: "hall-0", Nodes: 12, Accelerators: 4},
		{Name: "fabric-2", DataHall: "hall-1", Nodes: 12, Accelerators: 4},
	},
}

// setHall publishes a hall as closed or open through a daemon.
func (h *host) setHall(ctx context.Context, name string, closed bool) error {
	object, _ := h.state.View().Object(config.Key{Kind: config.KindDataHall, Name: name})
	verdict, err := h.publish(ctx, "hall-"+h.fleet.newID(), config.ChangeSet{Changes: []config.Change{{
		Operation: config.OperationPut, Base: object.Revision(),
		Document: document(config.KindDataHall, name, nil, config.DataHallSpec{Closed: closed}),
	}}})
	if err == nil && !verdict.Accepted {
		return fmt.Errorf("refused: %s", verdict.Problem)
	}
	return err
}

// usable returns the replicas of chat to which the daemon may send.
func usable(h *host) []catalog.Replica {
	var all []catalog.Replica
	for _, r := range h.catalog.Serving("chat", time.Now()) {
		if h.state.View().KeptOut(r.DataHall()) == "" {
			all = append(all, r)
		}
	}
	return all
}

// generations returns the replicas of chat that are formed in a hall, with their
// generations.
func generations(h *host, name string) string {
	var all []string
	for _, r := range h.catalog.Replicas() {
		if r.DataHall() == name && r.Deployment() == "chat" && r.Listed() {
			all = append(all, fmt.Sprintf("%s@%d", r.ID(), r.Generation()))
		}
	}
	return strings.Join(all, " ")
}

// TestClosedHallIsReplacedElsewhere closes the hall that holds replicas: the other one
// forms them, the closed one keeps its own through a restart of every daemon, or of its
// domain's owner while the log is out (grants come from the log alone), and they serve at
// once when it opens.
func TestClosedHallIsReplacedElsewhere(t *testing.T) {
	for name, logOut := range map[string]bool{"log well": false, "log out": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(hallOptions)
				defer f.stop()
				time.Sleep(2 * time.Second)
				f.basics(t, 2)
				time.Sleep(15 * time.Second)
				closing := usable(f.hosts[0])[0].DataHall()
				assert.Equal(t, closing, "hall-0")
				before := generations(f.hosts[0], closing)
				assert.NilError(t, f.hosts[0].setHall(t.Context(), closing, true))
				time.Sleep(inForceWithin)
				allUseOpen(t, f, closing)
				restarts := f.hosts
				if logOut {
					own, _ := owner(t, f, "fabric-1")
					restarts = []*host{own}
					f.log.SetFaults(standin.LogFaults{Outage: true})
				}
				for _, h := range restarts {
					h.kill()
					time.Sleep(10 * time.Second)
					h.start(hallOptions)
					time.Sleep(20 * time.Second)
					allUseOpen(t, f, closing)
				}
				assert.Equal(t, generations(f.hosts[1], closing), before, "the closed hall was left as it was")
				f.log.SetFaults(standin.LogFaults{})
				time.Sleep(15 * time.Second)
				assert.NilError(t, f.hosts[1].setHall(t.Context(), closing, false))
				assert.Assert(t, strings.Contains(fmt.Sprint(usableIDs(f.hosts[1])), strings.Split(before, "@")[0]),
					"%v lacks the replicas of the hall that opened: %s", usableIDs(f.hosts[1]), before)
				time.Sleep(time.Minute)
				assert.Equal(t, len(usable(f.hosts[2])), 2, "what is too much is given up")
			})
		})
	}
}

// allUseOpen demands that every daemon can use both replicas, none of them in the
// closed hall.
func allUseOpen(t *testing.T, f *fleet, closed string) {
	t.Helper()
	for _, h := range f.hosts {
		assert.Equal(t, len(usable(h)), 2, "%s: %v", h.id, usableIDs(h))
		for _, r := range usable(h) {
			assert.Assert(t, r.DataHall() != closed)
		}
	}
}

func usableIDs(h *host) []string {
	var ids []string
	for _, r := range usable(h) {
		ids = append(ids, r.ID())
	}
	return ids
}

// TestReplicasFormInAllowedRegions binds the deployment to the region of one hall.
func TestReplicasFormInAllowedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hallOptions)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.basics(t, 2)
		time.Sleep(15 * time.Second)
		chat, _ := f.hosts[0].state.View().Object(config.Key{Kind: config.KindDeployment, Name: "chat"})
		set := config.ChangeSet{Changes: []config.Change{
			{Operation: config.OperationPut, Document: document(config.KindDataHall, "hall-0", nil, config.DataHallSpec{Region: "south"})},
			{Operation: config.OperationPut, Document: document(config.KindDataHall, "hall-1", nil, config.DataHallSpec{Region: "north"})},
			{Operation: config.OperationPut, Base: chat.Revision(), Document: document(config.KindDeployment, "chat", nil, config.DeploymentSpec{
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

// hallCall closes or opens a hall through one daemon.
type hallCall struct {
	wait       time.Duration
	host, hall int
	closed     bool
}

// String describes the call for a failed test.
func (c hallCall) String() string {
	return fmt.Sprintf("+%v host=%d hall=%d closed=%v", c.wait, c.host, c.hall, c.closed)
}

// gateOf decides as the readiness of a daemon does (package daemon) whether a host
// takes requests.
type gateOf struct {
	life        int
	started     bool
	behindSince time.Time
	// expected and heard are as in the type expected of package daemon.
	expected map[string]bool
	heard    bool
}

// takes reports whether the host takes requests at now.
func (g *gateOf) takes(h *host, now time.Time) bool {
	const window, seeds = 10 * time.Second, 3 * time.Second
	if g.life != h.life {
		*g = gateOf{life: h.life}
	}
	follower := h.followers["configuration"]
	confirmed, next := follower.Confirmed(), follower.Fold().Next()
	reached, members := h.agent.Reached(now.Add(-window))
	g.note(h, confirmed.After(now.Add(-window)))
	members = max(members, len(g.expected))
	connected := confirmed.After(now.Add(-window)) ||
		members > 1 && 2*reached > members || members == 1 && !confirmed.IsZero() && g.heard
	behind := next < h.agent.FleetNext()
	if !behind {
		g.behindSince = time.Time{}
	} else if g.behindSince.IsZero() {
		g.behindSince = now
	}
	everReached, everMembers := h.agent.Reached(h.startedAt)
	heard := everMembers > 1 && everReached > 1 || everMembers == 1 && now.After(h.startedAt.Add(seeds))
	if connected && !behind && heard && (!confirmed.IsZero() || next > 0) {
		g.started = true
	}
	return g.started && connected && (!behind || !now.After(g.behindSince.Add(window)))
}

// note takes over the members. Every host has seeds, so that one that never heard of
// another is not alone.
func (g *gateOf) note(h *host, logRead bool) {
	if logRead || g.expected == nil {
		g.expected = make(map[string]bool)
	}
	members := h.agent.Table().Members()
	for _, m := range members {
		g.expected[m.Id] = m.State != rpc.MemberState_LEFT
		if !g.expected[m.Id] {
			delete(g.expected, m.Id)
		}
	}
	g.heard = g.heard || len(members) > 1
}

// hallWatcher looks for a daemon that may send to a hall which another one calls empty.
type hallWatcher struct {
	fleet   *fleet
	gates   map[string]*gateOf
	problem string
	// empties counts the looks at which some hall was called empty.
	empties int
}

func (w *hallWatcher) look(now time.Time) {
	taking := make(map[string]bool)
	for _, h := range w.fleet.hosts {
		// A frozen host does nothing; the gate decides once it goes on.
		taking[h.id] = h.alive() && w.gates[h.id].takes(h, now)
	}
	for _, by := range w.fleet.hosts {
		if !by.alive() {
			continue
		}
		for _, s := range by.halls.Statuses(now) {
			if s.State == hall.Empty {
				w.empties++
				w.check(by, s, taking)
			}
		}
	}
}

func (w *hallWatcher) check(by *host, s hall.Status, taking map[string]bool) {
	for _, h := range w.fleet.hosts {
		object, _ := h.state.View().Object(config.Key{Kind: config.KindDataHall, Name: s.Name})
		if taking[h.id] && object.Revision() < s.Revision && w.problem == "" {
			w.problem = fmt.Sprintf("%s calls %s empty since revision %d, and %s takes requests knowing only revision %d",
				by.id, s.Name, s.Revision, h.id, object.Revision())
		}
	}
}

// closeHalls runs calls and faults side by side and returns what is wrong.
func closeHalls(t *testing.T, calls []hallCall, schedule []fault) (problem string, empties int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hallOptions)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.basics(t, 2)
		w := &hallWatcher{fleet: f, gates: make(map[string]*gateOf)}
		for _, h := range f.hosts {
			w.gates[h.id] = &gateOf{}
		}
		ctx, cancel := context.WithCancel(context.Background())
		var faults, callers, looker conc.WaitGroup
		looker.Go(func() {
			for ctx.Err() == nil {
				w.look(time.Now())
				time.Sleep(watchEvery)
			}
		})
		faults.Go(func() { f.hitAll(schedule, hallOptions) })
		for _, c := range calls {
			time.Sleep(c.wait)
			if h := f.hosts[c.host]; h.alive() {
				callers.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
					defer cancel()
					// A call that is refused or lost is as good as none.
					_ = h.setHall(ctx, fmt.Sprint("hall-", c.hall), c.closed)
				})
			}
		}
		time.Sleep(30 * time.Second)
		faults.Wait()
		f.mend(hallOptions)
		callers.Wait()
		time.Sleep(settleTime)
		cancel()
		looker.Wait()
		problem, empties = w.problem, w.empties
	})
	return problem, empties
}

// TestNobodySendsToAnEmptyHall draws closings, openings and faults, among them new
// leaders, daemons that are cut off, frozen or started anew, and the log away. Once some
// daemon calls a hall empty, none that takes requests may still hold it to be open.
func TestNobodySendsToAnEmptyHall(t *testing.T) {
	empties := 0
	rapid.Check(t, func(rt *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) hallCall {
			return hallCall{
				wait:   rapid.SampledFrom(waits).Draw(t, "wait"),
				host:   rapid.SampledFrom(numbers(hallOptions.daemons)).Draw(t, "host"),
				hall:   rapid.SampledFrom(numbers(2)).Draw(t, "hall"),
				closed: rapid.SampledFrom([]bool{true, true, false}).Draw(t, "closed"),
			}
		})
		calls := rapid.SliceOfN(one, 1, 8).Draw(rt, "calls")
		schedule := onceFaults(drawSchedule(rt, hallOptions.daemons, 1, 3, 25))
		problem, seen := closeHalls(t, calls, schedule)
		empties += seen
		if problem != "" {
			rt.Fatalf("%s\ncalls: %v\nschedule: %v", problem, calls, schedule)
		}
	})
	assert.Assert(t, empties > 0, "no hall was ever called empty")
}

// TestLoneStarterStopsWithoutTheLog starts a daemon out of reach of the others, lets it
// read the log, and cuts it off from that too: it must take nothing when a hall is
// called empty, and not take up again when the others count as forgotten.
func TestLoneStarterStopsWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hallOptions)
		defer f.stop()
		f.settle(t)
		lone := f.hosts[2]
		lone.kill()
		for _, other := range f.hosts[:2] {
			f.net.setCut(lone.id, other.id, true)
		}
		lone.start(hallOptions)
		time.Sleep(20 * time.Second)
		f.net.setCut(lone.id, placeLog, true)
		assert.NilError(t, f.hosts[0].setHall(t.Context(), "hall-1", true))
		gates := map[string]*gateOf{}
		for _, h := range f.hosts {
			gates[h.id] = &gateOf{}
		}
		w := &hallWatcher{fleet: f, gates: gates}
		for range 15 * 60 {
			time.Sleep(time.Second)
			w.look(time.Now())
		}
		assert.Equal(t, w.problem, "")
		assert.Assert(t, w.empties > 0)
	})
}

// TestHallIsNotEmptyBehindAPartition closes a hall through the one daemon that reaches
// the log, while the two others, which reach each other alone, go on taking requests.
// The hall must not be called empty before they know.
func TestHallIsNotEmptyBehindAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hallOptions)
		defer f.stop()
		f.settle(t)
		for _, h := range f.hosts[1:] {
			f.net.setCut(h.id, placeLog, true)
			f.net.setCut(h.id, f.hosts[0].id, true)
		}
		assert.NilError(t, f.hosts[0].setHall(t.Context(), "hall-1", true))
		gate := &gateOf{}
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
			assert.Assert(t, gate.takes(f.hosts[1], time.Now()))
			assert.Equal(t, f.hosts[1].state.View().Hall("hall-1").Closed(), false)
			assert.Equal(t, state(), hall.Closing)
		}
		f.net.heal()
		time.Sleep(inForceWithin)
		assert.Equal(t, f.hosts[1].state.View().Hall("hall-1").Closed(), true)
		assert.Equal(t, state(), hall.Empty)
	})
}

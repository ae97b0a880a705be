package peers

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
)

// inVirtualTime runs a test on a new network in virtual time.
func inVirtualTime(t *testing.T, seed uint64, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		test(t, newNetwork(ctx, seed))
	})
}

// roles counts daemons by hall and role.
func roles(all []*simDaemon) map[string]map[Role]int {
	counts := make(map[string]map[Role]int)
	for _, d := range all {
		if counts[d.hall()] == nil {
			counts[d.hall()] = make(map[Role]int)
		}
		counts[d.hall()][d.agent.Role()]++
	}
	return counts
}

// checkKnown checks that a daemon knows all living daemons of its hall, and at least some of each
// other hall.
func checkKnown(t *testing.T, d *simDaemon, all []*simDaemon, minKnown int) {
	t.Helper()
	names, halls := d.aliveIDs(), make(map[string]int)
	for _, other := range all {
		known := slices.Contains(names, other.id())
		if other.off && known {
			t.Errorf("%s considers %s alive", d.id(), other.id())
		}
		if !other.off && other != d && other.hall() == d.hall() && !known {
			t.Errorf("%s does not know %s of its hall", d.id(), other.id())
		}
		if known {
			halls[other.hall()]++
		}
	}
	for _, other := range all {
		if halls[other.hall()] < minKnown {
			t.Errorf("%s knows %d daemons of %s", d.id(), halls[other.hall()], other.hall())
			return
		}
	}
}

// TestReportTrafficFitsSmallLinks limits what each daemon of a large fleet sends, also with relays
// on small machines.
func TestReportTrafficFitsSmallLinks(t *testing.T) {
	tests := map[string]struct {
		large int
	}{
		"larger machines relay": {large: 3},
		"small machines relay":  {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 1, func(t *testing.T, n *network) {
				all := n.fleet(t, 5, 59, test.large)
				time.Sleep(4 * time.Second)
				checkRoles(t, all)
				checkBounds(t, all, n.sendRates(all, 2*time.Second))
				for _, d := range []*simDaemon{all[0], all[58], all[200]} {
					checkKnown(t, d, all, relaysPerHall)
				}
			})
		})
	}
}

// checkRoles checks that each hall has its relays, and that all other daemons are members.
func checkRoles(t *testing.T, all []*simDaemon) {
	t.Helper()
	for hall, counts := range roles(all) {
		assert.Equal(t, counts[Relay], relaysPerHall, "in %s", hall)
		assert.Equal(t, counts[Direct], 0, "in %s", hall)
	}
}

// checkBounds checks the send rates of daemons, and that each knows the size and demand of the
// fleet.
func checkBounds(t *testing.T, all []*simDaemon, rates map[*simDaemon]float64) {
	t.Helper()
	limits := map[Role]float64{Member: 24e3, Relay: smallLink / 10}
	for _, d := range all {
		role := d.agent.Role()
		assert.Assert(t, rates[d] < limits[role], "%s, a %s, sends %.0f bytes a second", d.id(), role, rates[d])
		assert.Assert(t, d.largest < 1400, "%s sends %d bytes at once", d.id(), d.largest)
		assert.Equal(t, d.lost, 0)
		assert.Equal(t, d.agent.FleetSummary(time.Now()).Daemons, len(all))
		assert.Equal(t, d.agent.FleetSummary(time.Now()).Demand["m"], float64(len(all)))
	}
}

// relayOf returns the first or second relay of a hall by fitness.
func relayOf(all []*simDaemon, hall string, which int) *simDaemon {
	var relays []*simDaemon
	for _, d := range all {
		if d.hall() == hall && d.agent.Role() == Relay && !d.off {
			relays = append(relays, d)
		}
	}
	slices.SortFunc(relays, func(a, b *simDaemon) int { return CompareFitness(a.agent.opts.Self, b.agent.opts.Self) })
	return relays[which]
}

// TestFleetToleratesLossOfRelays stops daemons and checks that all others soon notice, know each
// other and receive news.
func TestFleetToleratesLossOfRelays(t *testing.T) {
	// soon is the time to detect a silent daemon. later also includes the time for others to
	// replace all relays of a hall and become known to the other halls.
	const soon, later = 1300 * time.Millisecond, 2 * time.Second
	tests := map[string]struct {
		loss   float64
		within time.Duration
		lose   func(all []*simDaemon) []*simDaemon
	}{
		"none": {within: soon, lose: func([]*simDaemon) []*simDaemon { return nil }},
		"none, with a tenth of the datagrams lost": {within: soon, loss: 0.1, lose: func([]*simDaemon) []*simDaemon { return nil }},
		"a member":  {within: soon, lose: func(all []*simDaemon) []*simDaemon { return all[:1] }},
		"one relay": {within: soon, lose: func(all []*simDaemon) []*simDaemon { return []*simDaemon{relayOf(all, "hall1", 0)} }},
		"all relays of a hall": {within: later, lose: func(all []*simDaemon) []*simDaemon {
			return []*simDaemon{relayOf(all, "hall1", 0), relayOf(all, "hall1", 1)}
		}},
		"a relay of each hall": {within: soon, lose: func(all []*simDaemon) []*simDaemon {
			return []*simDaemon{relayOf(all, "hall0", 0), relayOf(all, "hall1", 1), relayOf(all, "hall2", 0)}
		}},
		"most of a hall": {within: later, lose: func(all []*simDaemon) []*simDaemon { return all[2:14] }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 2, func(t *testing.T, n *network) {
				n.loss = test.loss
				all := n.fleet(t, 3, 15, 3)
				time.Sleep(3 * time.Second)
				leader := relayOf(all, "hall2", 1)
				lost := test.lose(all)
				n.set(func() {
					leader.leads = &Claim{Epoch: 1}
					for _, d := range lost {
						d.off = true
					}
				})
				time.Sleep(test.within)
				decide(leader, newsSent, 20*time.Millisecond)
				time.Sleep(20 * time.Millisecond)
				checkReached(t, all, leader, test.loss)
			})
		})
	}
}

// newsSent is the number of pieces of news that a leader sends for checkReached. With a tenth of
// the datagrams lost, both relays of a hall miss a piece now and then, so a single piece proves
// nothing.
const newsSent = 40

// checkReached checks that all living daemons know the others and received a leader's news.
// Recovery from lost news is tested in package serving.
func checkReached(t *testing.T, all []*simDaemon, leader *simDaemon, loss float64) {
	t.Helper()
	missed := 0
	for _, d := range all {
		if d.off || d == leader {
			continue
		}
		checkKnown(t, d, all, 1)
		missed += newsSent - len(d.news)
	}
	assert.Assert(t, float64(missed) <= loss*float64(newsSent*len(all)), "%d pieces of news were not delivered", missed)
}

// TestDecisionsFitTheLeadersLink checks that a leader on a small machine can send decisions as
// fast as when a large fleet forms all its replicas.
func TestDecisionsFitTheLeadersLink(t *testing.T) {
	leaders := map[string]func(all []*simDaemon) *simDaemon{
		"a relay leads":  func(all []*simDaemon) *simDaemon { return relayOf(all, "hall3", 0) },
		"a member leads": func(all []*simDaemon) *simDaemon { return all[30] },
	}
	for name, choose := range leaders {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 6, func(t *testing.T, n *network) {
				const decisions, every = 132, 30 * time.Millisecond
				all := n.fleet(t, 5, 59, 0)
				time.Sleep(3 * time.Second)
				leader := choose(all)
				n.set(func() { leader.leads = &Claim{Epoch: 1} })
				// Others must know a new leader from its heartbeat before they accept its news.
				time.Sleep(2 * heartbeatInterval)
				start := leader.bytes
				decide(leader, decisions, every)
				rate := float64(leader.bytes-start) / (decisions * every).Seconds()
				time.Sleep(maxQueueDelay)
				assert.Assert(t, rate < 1e6, "the leader sends %.0f bytes a second", rate)
				assert.Equal(t, leader.lost, 0)
				for _, d := range all {
					assert.Assert(t, d == leader || len(d.news) == decisions, "%s heard %d decisions", d.id(), len(d.news))
				}
			})
		})
	}
}

// decide makes a leader send decisions one after the other.
func decide(leader *simDaemon, count int, every time.Duration) {
	for i := range count {
		group := fleet.GroupName("model", int64(i), &fleet.Worker{ID: "i-5b1fe61aea", Address: "10.2.64.162:8460"})
		d := fleet.Decisions{Term: 1, From: int64(i), To: int64(i + 1), All: []fleet.Announcement{{Group: group}}}
		leader.agent.SendNews([]News{{Decisions: &d}}, []News{{Decisions: &d}}, true, time.Now())
		time.Sleep(every)
	}
}

// TestLeavingIsKnownSoon checks that other daemons of the hall learn quickly that a member or a
// relay is leaving.
func TestLeavingIsKnownSoon(t *testing.T) {
	inVirtualTime(t, 3, func(t *testing.T, n *network) {
		all := n.fleet(t, 3, 12, 2)
		time.Sleep(3 * time.Second)
		leaving := []*simDaemon{all[0], relayOf(all, "hall1", 0)}
		n.set(func() {
			for _, d := range leaving {
				d.leaving = true
			}
		})
		for _, d := range leaving {
			d.agent.SendHeartbeat(time.Now())
		}
		time.Sleep(2*heartbeatInterval + 50*time.Millisecond)
		for _, d := range all {
			checkLeaving(t, d, leaving[0].id())
			checkLeaving(t, d, leaving[1].id())
		}
	})
}

// checkLeaving checks that a daemon knows that another one of its hall is leaving.
func checkLeaving(t *testing.T, d *simDaemon, id string) {
	t.Helper()
	for _, p := range d.agent.Table().Alive(time.Now()) {
		if p.ID == id && p.Zone == d.hall() {
			assert.Assert(t, p.Leaving, "%s does not know that %s is leaving", d.id(), id)
		}
	}
}

// TestFleetRejoinsAfterPartition cuts a hall off from the others for a while.
func TestFleetRejoinsAfterPartition(t *testing.T) {
	inVirtualTime(t, 4, func(t *testing.T, n *network) {
		all := n.fleet(t, 3, 12, 2)
		time.Sleep(3 * time.Second)
		n.set(func() {
			for _, d := range all[:12] {
				d.off = true
			}
		})
		time.Sleep(5 * time.Second)
		n.set(func() {
			for _, d := range all[:12] {
				d.off = false
			}
		})
		time.Sleep(3 * time.Second)
		for _, d := range all {
			checkKnown(t, d, all, relaysPerHall)
			assert.Equal(t, d.agent.FleetSummary(time.Now()).Daemons, len(all))
		}
	})
}

// TestNewDaemonsAreDiscovered starts a daemon that knows the others before they know it.
func TestNewDaemonsAreDiscovered(t *testing.T) {
	inVirtualTime(t, 5, func(t *testing.T, n *network) {
		all := n.fleet(t, 3, 12, 2)
		time.Sleep(3 * time.Second)
		late := n.add(t, "hall2", 90, 192)
		for _, d := range all {
			late.agent.Table().Learn(d.agent.opts.Self, time.Now())
		}
		time.Sleep(2 * time.Second)
		all = append(all, late)
		for _, d := range all {
			checkKnown(t, d, all, relaysPerHall)
			assert.Equal(t, d.agent.FleetSummary(time.Now()).Daemons, len(all))
		}
	})
}

// TestLeavingRelayHandsOver checks that the next fittest daemon of the hall takes over from a
// leaving relay before that one stops, and that no reports are missed.
func TestLeavingRelayHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := newNetwork(ctx, 5)
		all := n.fleet(t, 2, 20, 3)
		time.Sleep(3 * time.Second)
		leaving := relayOf(all, "hall0", 0)
		n.set(func() { leaving.leaving = true })
		leaving.agent.SendHeartbeat(time.Now())
		time.Sleep(2 * heartbeatInterval)
		synctest.Wait()
		staying := slices.DeleteFunc(slices.Clone(all), func(d *simDaemon) bool { return d == leaving || d.hall() != leaving.hall() })
		assert.Equal(t, roles(staying)[leaving.hall()][Relay], relaysPerHall, "its successor has not taken over")
		n.set(func() { leaving.off = true })
		for range 10 {
			time.Sleep(heartbeatInterval / 2)
			for _, d := range staying {
				checkAlive(t, d, staying)
			}
		}
	})
}

// checkAlive checks that a daemon considers all of some others alive.
func checkAlive(t *testing.T, d *simDaemon, others []*simDaemon) {
	t.Helper()
	names := d.aliveIDs()
	for _, other := range others {
		assert.Assert(t, other == d || slices.Contains(names, other.id()), "%s no longer considers %s alive", d.id(), other.id())
	}
}

// TestRestartedRelaysTakeOverSlowly restarts both relays of a hall. They are fitter than their
// successors but at first know only the daemons in the member list, so the successors must
// continue until the restarted ones know the hall.
func TestRestartedRelaysTakeOverSlowly(t *testing.T) {
	inVirtualTime(t, 8, func(t *testing.T, n *network) {
		const listed = 32
		all := n.fleet(t, 2, 60, 3)
		time.Sleep(3 * time.Second)
		former := []*simDaemon{relayOf(all, "hall0", 0), relayOf(all, "hall0", 1)}
		n.set(func() { former[0].off, former[1].off = true, true })
		time.Sleep(4 * time.Second)
		staying := slices.DeleteFunc(slices.Clone(all), func(d *simDaemon) bool { return slices.Contains(former, d) || d.hall() != "hall0" })
		for _, d := range former {
			d.stop()
			number, capacity := 0, d.agent.opts.Self.Capacity
			_, err := fmt.Sscanf(d.id(), "front-hall0-%d", &number)
			assert.NilError(t, err)
			back := n.add(t, "hall0", number, capacity)
			slices.SortFunc(staying, func(a, b *simDaemon) int { return CompareRelays(a.agent.opts.Self, b.agent.opts.Self) })
			for _, other := range append(slices.Clone(staying[:listed]), former...) {
				back.agent.Table().Learn(other.agent.opts.Self, time.Now())
			}
			back.agent.UpdateLayout(time.Now())
		}
		for range 40 {
			time.Sleep(heartbeatInterval / 2)
			for _, d := range staying {
				checkAlive(t, d, staying)
			}
		}
		assert.Equal(t, roles(staying)["hall0"][Relay], 0, "the successors are still relays")
	})
}

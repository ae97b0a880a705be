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

// runInVirtualTime runs a test on a new network in virtual time.
func runInVirtualTime(t *testing.T, seed uint64, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		test(t, newNetwork(ctx, seed))
	})
}

// countRoles counts daemons by hall and role.
func countRoles(all []*simDaemon) map[string]map[Role]int {
	counts := make(map[string]map[Role]int)
	for _, d := range all {
		if counts[d.hall()] == nil {
			counts[d.hall()] = make(map[Role]int)
		}
		counts[d.hall()][d.agent.Role()]++
	}
	return counts
}

// checkKnown checks which daemons a daemon considers alive: all running ones of its hall, none that
// is off, and at least minKnown of each hall.
func checkKnown(t *testing.T, d *simDaemon, all []*simDaemon, minKnown int) {
	t.Helper()
	aliveIDs, knownPerHall := d.aliveIDs(), make(map[string]int)
	for _, other := range all {
		known := slices.Contains(aliveIDs, other.id())
		if other.isOff && known {
			t.Errorf("%s considers %s alive", d.id(), other.id())
		}
		if !other.isOff && other != d && other.hall() == d.hall() && !known {
			t.Errorf("%s does not know %s of its hall", d.id(), other.id())
		}
		if known {
			knownPerHall[other.hall()]++
		}
	}
	for _, other := range all {
		if knownPerHall[other.hall()] < minKnown {
			t.Errorf("%s knows %d daemons of %s", d.id(), knownPerHall[other.hall()], other.hall())
			return
		}
	}
}

// TestReportTrafficFitsSmallLinks checks that each daemon of a large fleet sends no more than a
// small link carries, even if the relays run on small machines.
func TestReportTrafficFitsSmallLinks(t *testing.T) {
	tests := map[string]struct {
		perHall, largePerHall int
	}{
		"larger machines relay":             {perHall: 59, largePerHall: 3},
		"small machines relay":              {perHall: 59},
		"the largest halls that are small":  {perHall: maxSmallHall + 1},
		"the smallest halls that are large": {perHall: maxSmallHall + 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, 1, func(t *testing.T, n *network) {
				all := n.addFleet(t, 5, test.perHall, test.largePerHall)
				time.Sleep(4 * time.Second)
				checkRoles(t, all)
				rates := n.sendRates(all, 2*time.Second)
				t.Logf("a relay sends %.0f bytes a second", rates[relayOf(all, "hall1", 0)])
				checkBounds(t, all, rates)
				for _, d := range []*simDaemon{all[0], all[test.perHall-1], all[len(all)*2/3]} {
					checkKnown(t, d, all, relaysPerHall)
				}
			})
		})
	}
}

// TestAgeOfLoads checks how old the loads are that members choose replicas by. In small halls they
// must be newer than in large ones, where more reports would not fit the relays' links. Daemons that
// choose by older loads send requests to replicas that have filled up since.
func TestAgeOfLoads(t *testing.T) {
	tests := map[string]struct {
		perHall int
		maxAge  time.Duration
	}{
		"small halls": {perHall: 26, maxAge: 450 * time.Millisecond},
		"large halls": {perHall: 59, maxAge: 700 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, 1, func(t *testing.T, n *network) {
				all := n.addFleet(t, 3, test.perHall, 2)
				time.Sleep(4 * time.Second)
				mean := meanAgeOfLoads(all)
				rates := n.sendRates(all, 2*time.Second)
				t.Logf("%s old on average; a relay sends %.0f bytes a second", mean, rates[relayOf(all, "hall1", 0)])
				assert.Assert(t, mean <= test.maxAge, "%s", mean)
				checkBounds(t, all, rates)
			})
		})
	}
}

// meanAgeOfLoads returns how old the loads are that members know, on average over four seconds.
func meanAgeOfLoads(all []*simDaemon) time.Duration {
	const samples, interval = 100, 37 * time.Millisecond
	sum, count := time.Duration(0), 0
	for range samples {
		time.Sleep(interval)
		synctest.Wait()
		for _, d := range all {
			if d.agent.Role() == Member {
				sum, count = sum+time.Since(d.loadsMeasuredAt), count+1
			}
		}
	}
	return sum / time.Duration(count)
}

// checkRoles checks that each hall has its relays, and that all other daemons are members.
func checkRoles(t *testing.T, all []*simDaemon) {
	t.Helper()
	for hall, counts := range countRoles(all) {
		assert.Equal(t, counts[Relay], relaysPerHall, "in %s", hall)
		assert.Equal(t, counts[Direct], 0, "in %s", hall)
	}
}

// checkBounds checks that the send rates of daemons, in bytes per second, are below their limits.
// It also checks that each daemon knows the size and the demand of the fleet.
func checkBounds(t *testing.T, all []*simDaemon, rates map[*simDaemon]float64) {
	t.Helper()
	limits := map[Role]float64{Member: 24e3, Relay: smallLink / 10}
	for _, d := range all {
		role := d.agent.Role()
		assert.Assert(t, rates[d] < limits[role], "%s, a %s, sends %.0f bytes a second", d.id(), role, rates[d])
		assert.Assert(t, d.largestDatagram < 1400, "%s sends %d bytes at once", d.id(), d.largestDatagram)
		assert.Equal(t, d.dropped, 0)
		assert.Equal(t, d.agent.FleetSummary(time.Now()).Daemons, len(all))
		assert.Equal(t, d.agent.FleetSummary(time.Now()).Demand["m"], float64(len(all)))
	}
}

// relayOf returns a running relay of a hall. Rank 0 is the fittest one to lead.
func relayOf(all []*simDaemon, hall string, rank int) *simDaemon {
	var relays []*simDaemon
	for _, d := range all {
		if d.hall() == hall && d.agent.Role() == Relay && !d.isOff {
			relays = append(relays, d)
		}
	}
	slices.SortFunc(relays, func(a, b *simDaemon) int { return CompareFitness(a.agent.opts.Self, b.agent.opts.Self) })
	return relays[rank]
}

// TestFleetToleratesLossOfRelays stops daemons. It checks that the others soon consider only each
// other alive and still receive news.
func TestFleetToleratesLossOfRelays(t *testing.T) {
	// detectionTime is the time to detect a silent daemon. replacementTime also includes the time
	// that new relays need to take over in a hall and to become known to the other halls.
	const detectionTime, replacementTime = 1300 * time.Millisecond, 2 * time.Second
	tests := map[string]struct {
		lossRate float64
		within   time.Duration
		choose   func(all []*simDaemon) []*simDaemon
	}{
		"none": {within: detectionTime, choose: func([]*simDaemon) []*simDaemon { return nil }},
		"none, with a tenth of the datagrams lost": {within: detectionTime, lossRate: 0.1, choose: func([]*simDaemon) []*simDaemon { return nil }},
		"a member":  {within: detectionTime, choose: func(all []*simDaemon) []*simDaemon { return all[:1] }},
		"one relay": {within: detectionTime, choose: func(all []*simDaemon) []*simDaemon { return []*simDaemon{relayOf(all, "hall1", 0)} }},
		"all relays of a hall": {within: replacementTime, choose: func(all []*simDaemon) []*simDaemon {
			return []*simDaemon{relayOf(all, "hall1", 0), relayOf(all, "hall1", 1)}
		}},
		"a relay of each hall": {within: detectionTime, choose: func(all []*simDaemon) []*simDaemon {
			return []*simDaemon{relayOf(all, "hall0", 0), relayOf(all, "hall1", 1), relayOf(all, "hall2", 0)}
		}},
		"most of a hall": {within: replacementTime, choose: func(all []*simDaemon) []*simDaemon { return all[2:14] }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, 2, func(t *testing.T, n *network) {
				n.lossRate = test.lossRate
				all := n.addFleet(t, 3, 15, 3)
				time.Sleep(3 * time.Second)
				leader := relayOf(all, "hall2", 1)
				lost := test.choose(all)
				n.update(func() {
					leader.claim = &Claim{Epoch: 1}
					for _, d := range lost {
						d.isOff = true
					}
				})
				time.Sleep(test.within)
				sendDecisions(leader, newsCount, 20*time.Millisecond)
				time.Sleep(20 * time.Millisecond)
				checkNewsDelivered(t, all, leader, test.lossRate)
			})
		})
	}
}

// newsCount is the number of pieces of news that a leader sends for checkNewsDelivered. It is
// large because a single piece may be lost on the way to both relays of a hall.
const newsCount = 40

// checkNewsDelivered checks that all running daemons know the others, and that they missed at most
// the share lossRate of a leader's news. Recovery from lost news is tested in package serving.
func checkNewsDelivered(t *testing.T, all []*simDaemon, leader *simDaemon, lossRate float64) {
	t.Helper()
	missed := 0
	for _, d := range all {
		if d.isOff || d == leader {
			continue
		}
		checkKnown(t, d, all, 1)
		missed += newsCount - len(d.news)
	}
	assert.Assert(t, float64(missed) <= lossRate*float64(newsCount*len(all)), "%d pieces of news were not delivered", missed)
}

// TestDecisionsFitTheLeadersLink checks that a small link suffices for a leader that sends
// decisions as fast as a large fleet needs them when it forms all its replicas.
func TestDecisionsFitTheLeadersLink(t *testing.T) {
	leaders := map[string]func(all []*simDaemon) *simDaemon{
		"a relay leads":  func(all []*simDaemon) *simDaemon { return relayOf(all, "hall3", 0) },
		"a member leads": func(all []*simDaemon) *simDaemon { return all[30] },
	}
	for name, choose := range leaders {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, 6, func(t *testing.T, n *network) {
				const decisionCount, interval = 132, 30 * time.Millisecond
				all := n.addFleet(t, 5, 59, 0)
				time.Sleep(3 * time.Second)
				leader := choose(all)
				n.update(func() { leader.claim = &Claim{Epoch: 1} })
				// Others must know a new leader from its heartbeat before they accept its news.
				time.Sleep(2 * heartbeatInterval)
				start := leader.bytesSent
				sendDecisions(leader, decisionCount, interval)
				rate := float64(leader.bytesSent-start) / (decisionCount * interval).Seconds()
				time.Sleep(maxQueueDelay)
				assert.Assert(t, rate < 1e6, "the leader sends %.0f bytes a second", rate)
				assert.Equal(t, leader.dropped, 0)
				for _, d := range all {
					assert.Assert(t, d == leader || len(d.news) == decisionCount, "%s heard %d decisions", d.id(), len(d.news))
				}
			})
		})
	}
}

// sendDecisions makes a leader send decisions one after the other.
func sendDecisions(leader *simDaemon, count int, interval time.Duration) {
	for i := range count {
		group := fleet.GroupName("model", int64(i), &fleet.Worker{ID: "i-5b1fe61aea", Address: "10.2.64.162:8460"})
		d := fleet.Decisions{Term: 1, From: int64(i), To: int64(i + 1), All: []fleet.Announcement{{Group: group}}}
		leader.agent.SendNews([]News{{Decisions: &d}}, []News{{Decisions: &d}}, true, time.Now())
		time.Sleep(interval)
	}
}

// TestLeavingIsKnownSoon checks that other daemons of the hall learn quickly that a member or a
// relay is leaving.
func TestLeavingIsKnownSoon(t *testing.T) {
	runInVirtualTime(t, 3, func(t *testing.T, n *network) {
		all := n.addFleet(t, 3, 12, 2)
		time.Sleep(3 * time.Second)
		leaving := []*simDaemon{all[0], relayOf(all, "hall1", 0)}
		n.update(func() {
			for _, d := range leaving {
				d.isLeaving = true
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

// TestFleetRejoinsAfterHallOutage turns all daemons of a hall off for a while. It checks that all
// daemons know each other again afterwards.
func TestFleetRejoinsAfterHallOutage(t *testing.T) {
	runInVirtualTime(t, 4, func(t *testing.T, n *network) {
		all := n.addFleet(t, 3, 12, 2)
		time.Sleep(3 * time.Second)
		n.update(func() {
			for _, d := range all[:12] {
				d.isOff = true
			}
		})
		time.Sleep(5 * time.Second)
		n.update(func() {
			for _, d := range all[:12] {
				d.isOff = false
			}
		})
		time.Sleep(3 * time.Second)
		for _, d := range all {
			checkKnown(t, d, all, relaysPerHall)
			assert.Equal(t, d.agent.FleetSummary(time.Now()).Daemons, len(all))
		}
	})
}

// TestNewDaemonsAreDiscovered starts a daemon that has the others in its table. It checks that they
// discover it from its heartbeats.
func TestNewDaemonsAreDiscovered(t *testing.T) {
	runInVirtualTime(t, 5, func(t *testing.T, n *network) {
		all := n.addFleet(t, 3, 12, 2)
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
// leaving relay before the relay stops. No daemon may be considered dead in the meantime.
func TestLeavingRelayHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := newNetwork(ctx, 5)
		all := n.addFleet(t, 2, 20, 3)
		time.Sleep(3 * time.Second)
		leaving := relayOf(all, "hall0", 0)
		n.update(func() { leaving.isLeaving = true })
		leaving.agent.SendHeartbeat(time.Now())
		time.Sleep(2 * heartbeatInterval)
		synctest.Wait()
		remaining := slices.DeleteFunc(slices.Clone(all), func(d *simDaemon) bool { return d == leaving || d.hall() != leaving.hall() })
		assert.Equal(t, countRoles(remaining)[leaving.hall()][Relay], relaysPerHall, "its successor has not taken over")
		n.update(func() { leaving.isOff = true })
		for range 10 {
			time.Sleep(heartbeatInterval / 2)
			for _, d := range remaining {
				checkAlive(t, d, remaining)
			}
		}
	})
}

// checkAlive checks that a daemon considers all of some others alive.
func checkAlive(t *testing.T, d *simDaemon, others []*simDaemon) {
	t.Helper()
	aliveIDs := d.aliveIDs()
	for _, other := range others {
		assert.Assert(t, other == d || slices.Contains(aliveIDs, other.id()), "%s no longer considers %s alive", d.id(), other.id())
	}
}

// TestRestartedRelaysTakeOverSlowly restarts both relays of a hall. They are fitter than the
// daemons that replaced them, but at first know only a part of the hall. The replacements must
// remain relays until the restarted ones know the whole hall.
func TestRestartedRelaysTakeOverSlowly(t *testing.T) {
	runInVirtualTime(t, 8, func(t *testing.T, n *network) {
		const listedCount = 32
		all := n.addFleet(t, 2, 60, 3)
		time.Sleep(3 * time.Second)
		restarted := []*simDaemon{relayOf(all, "hall0", 0), relayOf(all, "hall0", 1)}
		n.update(func() { restarted[0].isOff, restarted[1].isOff = true, true })
		time.Sleep(4 * time.Second)
		remaining := slices.DeleteFunc(slices.Clone(all), func(d *simDaemon) bool { return slices.Contains(restarted, d) || d.hall() != "hall0" })
		for _, d := range restarted {
			d.stop()
			number, capacity := 0, d.agent.opts.Self.Capacity
			_, err := fmt.Sscanf(d.id(), "front-hall0-%d", &number)
			assert.NilError(t, err)
			restartedDaemon := n.add(t, "hall0", number, capacity)
			slices.SortFunc(remaining, func(a, b *simDaemon) int { return CompareRelays(a.agent.opts.Self, b.agent.opts.Self) })
			for _, other := range append(slices.Clone(remaining[:listedCount]), restarted...) {
				restartedDaemon.agent.Table().Learn(other.agent.opts.Self, time.Now())
			}
			restartedDaemon.agent.UpdateLayout(time.Now())
		}
		for range 40 {
			time.Sleep(heartbeatInterval / 2)
			for _, d := range remaining {
				checkAlive(t, d, remaining)
			}
		}
		assert.Equal(t, countRoles(remaining)["hall0"][Relay], 0, "the successors are still relays")
	})
}

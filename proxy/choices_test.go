package proxy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

// choiceLoad is a load to be simulated in virtual time, without a network.
type choiceLoad struct {
	daemons, replicas int
	// perSecond is the rate of requests over all daemons.
	perSecond float64
	// keepAlive is how long connections are kept.
	keepAlive time.Duration
	// ignoreConnections makes daemons choose as if they kept no connections.
	ignoreConnections bool
}

// choiceResult is the result of a simulation.
type choiceResult struct {
	// openedShare is the share of requests that opened a connection, fullShare the share that
	// found no free slot, and p95FirstEvent the 95th percentile of the waits for the first event.
	openedShare, fullShare float64
	p95FirstEvent          time.Duration
}

func (r choiceResult) String() string {
	return fmt.Sprintf("%.3f opened, first event %s at the 95th percentile, %.4f without a slot", r.openedShare, r.p95FirstEvent, r.fullShare)
}

// choiceSimulation is the state of a simulation.
type choiceSimulation struct {
	load     choiceLoad
	costs    costs
	rand     *rand.Rand
	replicas []*fleet.Replica
	daemons  []*choiceDaemon
	// inFlight holds the number of requests in flight by replica, readAt the time at which the
	// replica has read all its prompts.
	inFlight map[string]int
	readAt   map[string]time.Time
	running  endingRequests
}

// choiceDaemon is a simulated daemon. idleSince holds, by replica, the times since which its kept
// connections have been idle.
type choiceDaemon struct {
	tracker   *Tracker
	idleSince map[string][]time.Time
}

// endingRequest is a request in flight and the time at which it ends.
type endingRequest struct {
	endsAt      time.Time
	daemon      *choiceDaemon
	replica     string
	reservation *Reservation
}

type endingRequests []endingRequest

func (e endingRequests) Len() int           { return len(e) }
func (e endingRequests) Less(i, j int) bool { return e[i].endsAt.Before(e[j].endsAt) }
func (e endingRequests) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endingRequests) Push(x any)        { *e = append(*e, x.(endingRequest)) }
func (e *endingRequests) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	choicePromptTokens = 700
	choiceEvents       = 28
	// choiceReportInterval is the interval at which daemons receive the loads of others.
	choiceReportInterval = 250 * time.Millisecond
)

// simulateChoices simulates a load. The first seconds, in which few connections are kept, are not
// counted.
func simulateChoices(load choiceLoad) choiceResult {
	const warmUpTime, measuredTime = 6 * time.Second, 10 * time.Second
	p := &choiceSimulation{
		load: load, rand: rand.New(rand.NewPCG(7, 11)), inFlight: make(map[string]int), readAt: make(map[string]time.Time),
		costs: costs{slots: 20, perToken: 13 * time.Microsecond, passTime: 28 * time.Millisecond, perRequest: 340 * time.Microsecond, slotTime: time.Second},
	}
	for i := range load.replicas {
		p.replicas = append(p.replicas, testReplica(fmt.Sprintf("r%d", i), "z"))
	}
	for range load.daemons {
		p.daemons = append(p.daemons, &choiceDaemon{tracker: NewTracker("z", func(*fleet.Replica) {}), idleSince: make(map[string][]time.Time)})
	}
	startedAt := time.Unix(1000, 0)
	now, reportedAt := startedAt, startedAt
	var waits []time.Duration
	openedCount, fullCount := 0, 0
	for now.Sub(startedAt) < warmUpTime+measuredTime {
		now = now.Add(time.Duration(p.rand.ExpFloat64() / load.perSecond * float64(time.Second)))
		p.endRequests(now)
		if now.Sub(reportedAt) > choiceReportInterval {
			p.reportLoads(now)
			reportedAt = now
		}
		wait, isNew, isFull := p.simulateRequest(now)
		if now.Sub(startedAt) < warmUpTime {
			continue
		}
		waits = append(waits, wait)
		openedCount += boolToInt(isNew)
		fullCount += boolToInt(isFull)
	}
	slices.Sort(waits)
	count := float64(len(waits))
	return choiceResult{openedShare: float64(openedCount) / count, fullShare: float64(fullCount) / count, p95FirstEvent: waits[len(waits)*95/100]}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// endRequests removes the requests that have ended and keeps their connections.
func (p *choiceSimulation) endRequests(now time.Time) {
	for len(p.running) > 0 && p.running[0].endsAt.Before(now) {
		e := heap.Pop(&p.running).(endingRequest)
		e.reservation.Release()
		p.inFlight[e.replica]--
		e.daemon.idleSince[e.replica] = append(e.daemon.idleSince[e.replica], e.endsAt)
	}
}

// reportLoads gives each daemon the loads of the others.
func (p *choiceSimulation) reportLoads(now time.Time) {
	for _, d := range p.daemons {
		own := make(map[string]int)
		for _, l := range d.tracker.OwnLoads() {
			own[l.Replica] = l.InFlight
		}
		summary := peers.Summary{Daemons: len(p.daemons) - 1}
		for id, busy := range p.inFlight {
			summary.Loads = append(summary.Loads, peers.Load{Replica: id, InFlight: busy - own[id]})
		}
		d.tracker.SetPeerLoads("others", summary, now.Add(-50*time.Millisecond))
	}
}

// simulateRequest simulates one request at a random daemon.
func (p *choiceSimulation) simulateRequest(now time.Time) (wait time.Duration, hasOpened, isFull bool) {
	d := p.daemons[p.rand.IntN(len(p.daemons))]
	c := p.costs
	if !p.load.ignoreConnections {
		c.connectedWorkers = d.connectedWorkers(now, p.load.keepAlive)
	}
	choice, ok := d.tracker.Choose(p.replicas, nil, c, choicePromptTokens, now)
	if !ok {
		return math.MaxInt64, false, true
	}
	id := choice.Replica.ID
	hasOpened = !d.takeConnection(id, now, p.load.keepAlive)
	reservation := d.tracker.Reserve(choice.Replica, choicePromptTokens)
	reservation.MarkPromptRead()
	isFull = float64(p.inFlight[id]) >= c.slots
	p.inFlight[id]++
	pass := c.passTime + time.Duration(p.inFlight[id])*c.perRequest
	began := now
	if p.readAt[id].After(now) {
		began = p.readAt[id]
	}
	p.readAt[id] = began.Add(choicePromptTokens * c.perToken)
	wait = p.readAt[id].Sub(now) + pass
	heap.Push(&p.running, endingRequest{endsAt: now.Add(wait + choiceEvents*pass), daemon: d, replica: id, reservation: reservation})
	return wait, hasOpened, isFull
}

func (d *choiceDaemon) connectedWorkers(now time.Time, idle time.Duration) map[string]bool {
	all := make(map[string]bool)
	for id, since := range d.idleSince {
		if len(since) > 0 && now.Sub(since[len(since)-1]) < idle {
			all[id] = true
		}
	}
	return all
}

// takeConnection takes the most recently used connection, and reports whether it is usable.
func (d *choiceDaemon) takeConnection(id string, now time.Time, idle time.Duration) bool {
	since := d.idleSince[id]
	if len(since) == 0 {
		return false
	}
	last := since[len(since)-1]
	d.idleSince[id] = since[:len(since)-1]
	return now.Sub(last) < idle
}

// TestKeptConnectionsAreUsed compares choices with and without knowledge of kept connections.
// Connections must be reused without longer waits or more requests at full replicas. Choices are
// random and unseeded, so the bounds leave a wide margin.
func TestKeptConnectionsAreUsed(t *testing.T) {
	const usual = 4 * time.Second
	tests := map[string]struct {
		load choiceLoad
		// maxOpenedShare is the largest share of requests that may open a connection.
		maxOpenedShare float64
	}{
		"many daemons with few requests": {choiceLoad{daemons: 123, replicas: 45, perSecond: 414, keepAlive: usual}, 0.12},
		"kept for longer":                {choiceLoad{daemons: 123, replicas: 45, perSecond: 414, keepAlive: 2 * usual}, 0.12},
		"nearly full":                    {choiceLoad{daemons: 123, replicas: 45, perSecond: 720, keepAlive: usual}, 0.12},
		"more daemons than replicas":     {choiceLoad{daemons: 123, replicas: 9, perSecond: 69, keepAlive: usual}, 0.4},
		"fewer daemons than replicas":    {choiceLoad{daemons: 3, replicas: 45, perSecond: 414, keepAlive: usual}, 0.1},
		"one replica":                    {choiceLoad{daemons: 5, replicas: 1, perSecond: 10, keepAlive: usual}, 0.25},
		"kept for no time":               {choiceLoad{daemons: 20, replicas: 9, perSecond: 69}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := simulateChoices(test.load)
			unaware := test.load
			unaware.ignoreConnections = true
			without := simulateChoices(unaware)
			t.Logf("%s; without %s", got, without)
			assert.Assert(t, got.openedShare <= test.maxOpenedShare, "%s", got)
			assert.Assert(t, got.p95FirstEvent <= without.p95FirstEvent*11/10, "%s; without %s", got, without)
			assert.Assert(t, got.fullShare <= without.fullShare+0.005, "%s; without %s", got, without)
		})
	}
}

// TestLastSlotIsNotPreferred: a kept connection must not make a replica's last slot preferred.
func TestLastSlotIsNotPreferred(t *testing.T) {
	const noise = 20 * time.Millisecond
	tests := map[string]struct {
		worker   string
		inFlight float64
		want     time.Duration
	}{
		"kept and idle":          {"kept", 0, 0},
		"kept, two slots left":   {"kept", 18, 0},
		"kept, one slot left":    {"kept", 19, connectionCost + noise},
		"kept, with a queue":     {"kept", 25, connectionCost + noise},
		"not kept":               {"other", 0, connectionCost + noise},
		"not kept, with a queue": {"other", 25, connectionCost + noise},
	}
	c := testCosts
	c.connectedWorkers = map[string]bool{"kept": true}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.openingCost(test.worker, test.inFlight, noise), test.want)
		})
	}
}

// TestMuchFreerReplicasAreChosen: a replica to which a connection is kept must not be chosen if its
// predicted wait exceeds that of another by more than the random noise.
func TestMuchFreerReplicasAreChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker("z", func(*fleet.Replica) {})
	tracker.SetPeerLoads("peer", peers.Summary{Daemons: 1, Loads: peers.Loads{{Replica: "kept", InFlight: 10, PendingPromptTokens: 3000}}}, now)
	c := testCosts
	c.connectedWorkers = map[string]bool{"kept": true}
	for range 10 {
		choice, ok := tracker.Choose([]*fleet.Replica{testReplica("kept", "z"), testReplica("free", "z")}, nil, c, 100, now)
		assert.Assert(t, ok)
		assert.Equal(t, choice.Replica.ID, "free")
	}
}

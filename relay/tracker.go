package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// failurePenaltyPeriod is how long a replica is charged a penalty after it failed a request.
	failurePenaltyPeriod = time.Second
	// remoteLoadTTL is how long a report of the load at other daemons is used.
	remoteLoadTTL = time.Second
	// minFailurePenalty is the minimum penalty added to the predicted wait.
	minFailurePenalty = 100 * time.Millisecond
	// minReportDelay is the minimum delay assumed for peers' loads.
	minReportDelay = 50 * time.Millisecond
	// inFlightPenalty is charged for each request in flight if the least busy replica is wanted;
	// it exceeds any predicted wait.
	inFlightPenalty = 10 * time.Second
	// noiseDivisor sets the minimum noise of choices: a pass divided by it.
	noiseDivisor = 5
)

// replicaLoad is what this daemon knows of a replica from its own requests.
type replicaLoad struct {
	replica  *fleet.Replica
	inFlight int
	prefill  int
	// promptTokens counts the prompt tokens of all requests in flight.
	promptTokens   int
	streams        map[*StreamWatch]struct{}
	lastEventAt    time.Time
	suspectedUntil time.Time
	// unreachableUntil is until when the replica gets no requests after a failed connection.
	unreachableUntil time.Time
	failedAt         time.Time
	lastUsedAt       time.Time
}

// Tracker counts the work in flight at each replica and detects replicas that fall silent. It is
// safe for concurrent use.
type Tracker struct {
	zone string

	mu         sync.Mutex
	replicas   map[string]*replicaLoad
	remote     map[string]remoteLoads
	rates      *rates
	gapTargets gapTargets
	// reportedSuspects holds until when replicas that peers reported are suspected, for replicas
	// that this daemon has not used.
	reportedSuspects map[string]time.Time
	// hasTraffic reports whether a request arrived here or at a peer.
	hasTraffic bool
	// onStalled is called, without the lock, for each replica that fell silent.
	onStalled func(r *fleet.Replica)
}

// remoteLoads is the work of other daemons, as reported by a source.
type remoteLoads struct {
	// measuredAt is the average time at which the loads were measured, receivedAt when the report
	// arrived.
	measuredAt, receivedAt time.Time
	daemons                int
	loads                  map[string]peers.Load
}

// NewTracker returns a tracker for a daemon in a zone. It calls onStalled for each replica that
// fell silent or became unreachable.
func NewTracker(zone string, onStalled func(r *fleet.Replica)) *Tracker {
	return &Tracker{
		zone: zone, replicas: make(map[string]*replicaLoad),
		remote: make(map[string]remoteLoads), rates: newRates(), gapTargets: make(gapTargets),
		reportedSuspects: make(map[string]time.Time), onStalled: onStalled,
	}
}

func (t *Tracker) loadOf(r *fleet.Replica) *replicaLoad {
	s, ok := t.replicas[r.ID]
	if !ok {
		s = &replicaLoad{replica: r, streams: make(map[*StreamWatch]struct{}), suspectedUntil: t.reportedSuspects[r.ID]}
		t.replicas[r.ID] = s
	}
	s.lastUsedAt = time.Now()
	return s
}

// SetRemote sets the work of other daemons as reported by a source.
func (t *Tracker) SetRemote(source string, work peers.Summary, receivedAt time.Time) {
	byReplica := make(map[string]peers.Load, len(work.Loads))
	for _, l := range work.Loads {
		byReplica[l.Replica] = l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	measuredAt := receivedAt.Add(-time.Duration(work.Age) * time.Millisecond)
	t.remote[source] = remoteLoads{measuredAt: measuredAt, receivedAt: receivedAt, daemons: work.Daemons, loads: byReplica}
}

// Traffic reports whether a request to a model has arrived yet, here or at a peer.
func (t *Tracker) Traffic() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasTraffic
}

// SetTraffic records that a request arrived at a peer.
func (t *Tracker) SetTraffic() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasTraffic = true
}

// Loads returns this daemon's own work in flight.
func (t *Tracker) Loads() peers.Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var all peers.Loads
	for id, s := range t.replicas {
		if s.inFlight > 0 {
			all = append(all, peers.Load{Replica: id, InFlight: s.inFlight, Prefill: s.prefill, Moved: peers.MovedAgo(s.lastEventAt, now)})
		}
	}
	return all
}

// InFlightIn returns how many of this daemon's requests are in flight in a data hall.
func (t *Tracker) InFlightIn(hall string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, s := range t.replicas {
		if s.replica.Head.Zone == hall {
			count += s.inFlight
		}
	}
	return count
}

// Demand returns this daemon's own work by model: the number of busy slots, and the prompt tokens
// of the requests in flight.
func (t *Tracker) Demand() (busy, prompts map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy, prompts = make(map[string]float64), make(map[string]float64)
	for _, s := range t.replicas {
		if s.replica.Model != "" {
			busy[s.replica.Model] += float64(s.inFlight)
			prompts[s.replica.Model] += float64(s.promptTokens)
		}
	}
	return busy, prompts
}

// Choice is a replica chosen for a request.
type Choice struct {
	Replica *fleet.Replica
	// Busy is the known work in flight at the replica over all daemons.
	Busy float64
}

// Choose returns the replica with the shortest predicted wait for a request with the given number
// of prompt tokens, and false if there is none. Excluded replicas are skipped.
func (t *Tracker) Choose(replicas []*fleet.Replica, excluded map[string]bool, c costs, prompt int, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	noise := t.noise(replicas, c, prompt, now)
	var best Choice
	bestCost, found := time.Duration(0), false
	for _, r := range replicas {
		if excluded[r.ID] {
			continue
		}
		busy, cost := t.cost(r, c, now)
		if !c.isTightlyLimited(r) {
			cost += c.openingCost(r.Head.ID, busy, noise) + time.Duration(rand.Float64()*float64(noise))
		}
		if c.preferIdle {
			cost += time.Duration(busy * float64(inFlightPenalty))
		}
		if !found || cost < bestCost {
			best, bestCost, found = Choice{Replica: r, Busy: busy}, cost, true
		}
	}
	return best, found
}

// noise returns the uncertainty of predicted waits: the work that the fleet's requests add to one
// replica before peers' reports show it. Choices are randomized by it, since otherwise all
// daemons would choose the same replica.
func (t *Tracker) noise(replicas []*fleet.Replica, c costs, prompt int, now time.Time) time.Duration {
	if len(replicas) == 0 {
		return 0
	}
	delay, count := time.Duration(0), 0
	for _, remote := range t.remote {
		if age := now.Sub(remote.measuredAt); age < remoteLoadTTL {
			delay += age * time.Duration(remote.daemons)
			count += remote.daemons
		}
	}
	key := replicas[0].Service + "/" + replicas[0].Model
	t.rates.count(key, now)
	rate := t.rates.perSecond(key, now) * float64(count)
	if count > 0 {
		delay /= time.Duration(count)
	}
	arrivals := rate * (delay + minReportDelay).Seconds() / float64(len(replicas))
	perArrival := time.Duration(prompt)*c.perToken + c.perRequest + c.pass/noiseDivisor
	return time.Duration(arrivals*float64(perArrival)) + c.pass/noiseDivisor
}

// cost returns the work in flight at a replica, and the predicted wait there.
func (t *Tracker) cost(r *fleet.Replica, c costs, now time.Time) (busy float64, wait time.Duration) {
	inFlight, prefill := t.totalWork(r.ID, now)
	busy = float64(inFlight)
	wait = c.wait(busy, prefill)
	if r.Head.Zone != t.zone {
		wait += crossZoneCost
	}
	if s, ok := t.replicas[r.ID]; ok {
		wait += t.penalty(s, c, now)
	}
	return busy, wait
}

// totalWork returns the requests in flight at a replica over all daemons, and their unread prompt
// tokens, as far as known.
func (t *Tracker) totalWork(replica string, now time.Time) (inFlight, prefill int) {
	if s, ok := t.replicas[replica]; ok {
		inFlight, prefill = s.inFlight, s.prefill
	}
	for _, peer := range t.remote {
		if now.Sub(peer.measuredAt) < remoteLoadTTL {
			l := peer.loads[replica]
			inFlight += l.InFlight
			prefill += l.Prefill
		}
	}
	return inFlight, prefill
}

// penalty returns the extra wait charged to a replica that failed a request recently.
func (t *Tracker) penalty(s *replicaLoad, c costs, now time.Time) time.Duration {
	if now.Sub(s.failedAt) < failurePenaltyPeriod {
		return max(c.service/2, minFailurePenalty)
	}
	return 0
}

// suspectCheck returns a check for replicas that may have stopped, or nil if there are none.
func (t *Tracker) suspectCheck(now time.Time) func(r *fleet.Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]bool)
	for id := range t.replicas {
		if t.isSuspected(id, now) {
			all[id] = true
		}
	}
	for id := range t.reportedSuspects {
		if t.isSuspected(id, now) {
			all[id] = true
		}
	}
	if len(all) == 0 {
		return nil
	}
	return func(r *fleet.Replica) bool { return all[r.ID] }
}

// RecordFailure records that a replica failed a request.
func (t *Tracker) RecordFailure(r *fleet.Replica, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadOf(r).failedAt = now
}

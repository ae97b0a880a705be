package proxy

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
	// remoteLoadTTL is how long after their measurement the loads reported by other daemons are
	// used.
	remoteLoadTTL = time.Second
	// minFailurePenalty is the minimum penalty that is added to the predicted wait of a replica
	// after it failed a request.
	minFailurePenalty = 100 * time.Millisecond
	// minReportDelay is the assumed minimum time until peers report the load of a new request.
	minReportDelay = 50 * time.Millisecond
	// inFlightPenalty is added to the cost of a replica for each request in flight there, if
	// costs.preferIdle is set. It exceeds any predicted wait.
	inFlightPenalty = 10 * time.Second
	// noiseDivisor determines the minimum noise of choices, which is the duration of a pass divided
	// by noiseDivisor.
	noiseDivisor = 5
)

// replicaLoad holds this daemon's own requests in flight at a replica, and its recent events and
// failures.
type replicaLoad struct {
	replica      *fleet.Replica
	inFlight     int
	unreadTokens int
	// promptTokens counts the prompt tokens of the requests in flight, unreadTokens those of them
	// that the replica has not read yet.
	promptTokens   int
	streams        map[*StreamWatch]struct{}
	lastEventAt    time.Time
	suspectedUntil time.Time
	// silentSince is when the replica sent its last event before it counted as silent. It is zero if
	// the replica has sent one since.
	silentSince time.Time
	// unreachableUntil is the time until which the replica counts as suspected after a failed
	// connection or an answer that exceeded a limit.
	unreachableUntil time.Time
	failedAt         time.Time
	lastUsedAt       time.Time
}

// Tracker counts the requests in flight at each replica and detects replicas that fall silent. It
// is safe for concurrent use.
type Tracker struct {
	zone string

	mu            sync.Mutex
	replicas      map[string]*replicaLoad
	loadsBySource map[string]remoteLoads
	rates         *rates
	gapTargets    gapTargets
	// reportedSuspects holds the replicas that peers reported and this daemon has not used, each
	// with the time until which it is suspected.
	reportedSuspects map[string]time.Time
	// hasTraffic reports whether a request with a prompt has arrived at this daemon or a peer.
	hasTraffic bool
	// onSuspected is called, without the lock, for each replica that fell silent, became unreachable
	// or exceeded a limit.
	onSuspected func(r *fleet.Replica)
}

// remoteLoads holds the summed loads of one or more other daemons, as reported by one source.
type remoteLoads struct {
	// measuredAt is the average time at which the loads were measured, receivedAt when the report
	// arrived. daemons is the number of daemons whose loads are summed.
	measuredAt, receivedAt time.Time
	daemons                int
	loads                  map[string]peers.Load
}

// NewTracker returns a tracker for a daemon in a data hall. It calls onSuspected for each replica
// that fell silent, became unreachable or exceeded a limit.
func NewTracker(zone string, onSuspected func(r *fleet.Replica)) *Tracker {
	return &Tracker{
		zone: zone, replicas: make(map[string]*replicaLoad),
		loadsBySource: make(map[string]remoteLoads), rates: newRates(), gapTargets: make(gapTargets),
		reportedSuspects: make(map[string]time.Time), onSuspected: onSuspected,
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

// SetPeerLoads replaces the loads of other daemons that a source reported before.
func (t *Tracker) SetPeerLoads(source string, summary peers.Summary, receivedAt time.Time) {
	byReplica := make(map[string]peers.Load, len(summary.Loads))
	for _, l := range summary.Loads {
		byReplica[l.Replica] = l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	measuredAt := receivedAt.Add(-time.Duration(summary.Age) * time.Millisecond)
	t.loadsBySource[source] = remoteLoads{measuredAt: measuredAt, receivedAt: receivedAt, daemons: summary.Daemons, loads: byReplica}
}

// HasTraffic reports whether a request with a prompt has arrived yet, at this daemon or a peer.
func (t *Tracker) HasTraffic() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasTraffic
}

// RecordPeerTraffic records that a request arrived at a peer.
func (t *Tracker) RecordPeerTraffic() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasTraffic = true
}

// OwnLoads returns this daemon's own load at each replica where it has requests in flight.
func (t *Tracker) OwnLoads() peers.Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var all peers.Loads
	for id, s := range t.replicas {
		if s.inFlight > 0 {
			all = append(all, peers.Load{Replica: id, InFlight: s.inFlight, PendingPromptTokens: s.unreadTokens, EventAgeMillis: peers.EventAgeMillis(s.lastEventAt, now)})
		}
	}
	return all
}

// InFlightInHall returns how many of this daemon's requests are in flight in a data hall.
func (t *Tracker) InFlightInHall(hall string) int {
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

// DemandByModel returns this daemon's own load by model. inFlight counts the requests in flight,
// promptTokens their prompt tokens.
func (t *Tracker) DemandByModel() (inFlight, promptTokens map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inFlight, promptTokens = make(map[string]float64), make(map[string]float64)
	for _, s := range t.replicas {
		if s.replica.Model != "" {
			inFlight[s.replica.Model] += float64(s.inFlight)
			promptTokens[s.replica.Model] += float64(s.promptTokens)
		}
	}
	return inFlight, promptTokens
}

// Choice is a replica chosen for a request.
type Choice struct {
	Replica *fleet.Replica
	// InFlight is the number of requests in flight at the replica, over all daemons.
	InFlight float64
}

// Choose returns the replica with the lowest cost for a request with the given number of prompt
// tokens. The cost is the predicted wait, with penalties and random noise. Excluded replicas are
// skipped. It returns false if no replica is left.
func (t *Tracker) Choose(replicas []*fleet.Replica, excluded map[string]bool, c costs, promptTokens int, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	noise := t.noise(replicas, c, promptTokens, now)
	var best Choice
	bestCost, found := time.Duration(0), false
	for _, r := range replicas {
		if excluded[r.ID] {
			continue
		}
		inFlight, cost := t.cost(r, c, now)
		if !c.isTightlyLimited(r) {
			cost += c.openingCost(r.Head.ID, inFlight, noise) + time.Duration(rand.Float64()*float64(noise))
		}
		if c.preferIdle {
			cost += time.Duration(inFlight * float64(inFlightPenalty))
		}
		if !found || cost < bestCost {
			best, bestCost, found = Choice{Replica: r, InFlight: inFlight}, cost, true
		}
	}
	return best, found
}

// noise returns the upper bound of the random time that is added to each predicted wait. It is the
// wait that the fleet's requests are expected to add to a replica before peers report them. Without
// noise, all daemons would choose the same replica. Each call counts a request.
func (t *Tracker) noise(replicas []*fleet.Replica, c costs, promptTokens int, now time.Time) time.Duration {
	if len(replicas) == 0 {
		return 0
	}
	reportAge, daemons := time.Duration(0), 0
	for _, remote := range t.loadsBySource {
		if age := now.Sub(remote.measuredAt); age < remoteLoadTTL {
			reportAge += age * time.Duration(remote.daemons)
			daemons += remote.daemons
		}
	}
	key := replicas[0].Service + "/" + replicas[0].Model
	t.rates.countRequest(key, now)
	rate := t.rates.perSecond(key, now) * float64(daemons)
	if daemons > 0 {
		reportAge /= time.Duration(daemons)
	}
	arrivals := rate * (reportAge + minReportDelay).Seconds() / float64(len(replicas))
	perArrival := time.Duration(promptTokens)*c.perToken + c.perRequest + c.passTime/noiseDivisor
	return time.Duration(arrivals*float64(perArrival)) + c.passTime/noiseDivisor
}

// cost returns the number of requests in flight at a replica, over all daemons, and the predicted
// wait there with penalties.
func (t *Tracker) cost(r *fleet.Replica, c costs, now time.Time) (inFlight float64, wait time.Duration) {
	requests, unreadTokens := t.totalLoad(r.ID, now)
	inFlight = float64(requests)
	wait = c.predictedWait(inFlight, unreadTokens)
	if r.Head.Zone != t.zone {
		wait += crossZoneCost
	}
	if s, ok := t.replicas[r.ID]; ok {
		wait += t.penalty(s, c, now)
	}
	return inFlight, wait
}

// totalLoad returns the number of requests in flight at a replica and the number of their unread
// prompt tokens. Both are sums over this daemon and the recent reports of others.
func (t *Tracker) totalLoad(replica string, now time.Time) (inFlight, unreadTokens int) {
	if s, ok := t.replicas[replica]; ok {
		inFlight, unreadTokens = s.inFlight, s.unreadTokens
	}
	for _, peer := range t.loadsBySource {
		if now.Sub(peer.measuredAt) < remoteLoadTTL {
			l := peer.loads[replica]
			inFlight += l.InFlight
			unreadTokens += l.PendingPromptTokens
		}
	}
	return inFlight, unreadTokens
}

// penalty returns the extra wait charged to a replica that failed a request recently.
func (t *Tracker) penalty(s *replicaLoad, c costs, now time.Time) time.Duration {
	if now.Sub(s.failedAt) < failurePenaltyPeriod {
		return max(c.slotTime/2, minFailurePenalty)
	}
	return 0
}

// suspectCheck returns a function that reports whether a replica is suspected to have stopped, or
// nil if none is.
func (t *Tracker) suspectCheck(now time.Time) func(r *fleet.Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := make(map[string]bool)
	for id := range t.replicas {
		if t.isSuspected(id, now) {
			suspected[id] = true
		}
	}
	for id := range t.reportedSuspects {
		if t.isSuspected(id, now) {
			suspected[id] = true
		}
	}
	if len(suspected) == 0 {
		return nil
	}
	return func(r *fleet.Replica) bool { return suspected[r.ID] }
}

// RecordFailure records that a replica failed a request.
func (t *Tracker) RecordFailure(r *fleet.Replica, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadOf(r).failedAt = now
}

package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// failureFor is how long a replica that failed a request is passed over if
	// others are there.
	failureFor = time.Second
	// remoteFor is how long a report of the load at other daemons counts.
	remoteFor = time.Second
	// failureCost is added, at the least, to the waits at replicas that failed a request
	// of late.
	failureCost = 100 * time.Millisecond
	// leastLate is the least time that loads of peers are late by.
	leastLate = 50 * time.Millisecond
	// fewestCost is charged for each request in flight where the fewest are wanted; predicted
	// waits are shorter.
	fewestCost = 10 * time.Second
	// noisePasses is how many times less than a pass choices are spread at least.
	noisePasses = 5
)

// replicaLoad is a replica as this daemon's requests see it.
type replicaLoad struct {
	replica  *fleet.Replica
	inFlight int
	prefill  int
	// prompts counts the prompt tokens of all requests in flight.
	prompts  int
	streams  map[*StreamWatch]struct{}
	lastMove time.Time
	suspect  time.Time
	// refusedUntil is until when it gets no requests since its head took no connection.
	refusedUntil time.Time
	failedAt     time.Time
	lastKnown    time.Time
}

// Tracker counts the work in flight at each replica and notices when one falls
// silent. It is safe for concurrent use.
type Tracker struct {
	zone string

	mu     sync.Mutex
	held   map[string]*replicaLoad
	remote map[string]remoteLoads
	rates  *rates
	pauses pauses
	// reportedSuspects holds until when replicas that this daemon never used are suspected, by the
	// word of peers.
	reportedSuspects map[string]time.Time
	// traffic tells that a request came, here or at a peer.
	traffic bool
	// stalled is called, without the lock, with a replica that fell silent.
	stalled func(r *fleet.Replica)
}

// remoteLoads is the work of other daemons, as a source reported it.
type remoteLoads struct {
	// at is of when the loads are on average, heard when they were reported.
	at, heard time.Time
	daemons   int
	loads     map[string]peers.Load
}

// NewTracker returns a tracker for a daemon in a zone. It calls stalled with
// each replica whose streams all fell silent.
func NewTracker(zone string, stalled func(r *fleet.Replica)) *Tracker {
	return &Tracker{
		zone: zone, held: make(map[string]*replicaLoad),
		remote: make(map[string]remoteLoads), rates: newRates(), pauses: make(pauses),
		reportedSuspects: make(map[string]time.Time), stalled: stalled,
	}
}

func (t *Tracker) loadOf(r *fleet.Replica) *replicaLoad {
	s, ok := t.held[r.ID]
	if !ok {
		s = &replicaLoad{replica: r, streams: make(map[*StreamWatch]struct{}), suspect: t.reportedSuspects[r.ID]}
		t.held[r.ID] = s
	}
	s.lastKnown = time.Now()
	return s
}

// SetRemote takes what a source reported of the work of other daemons.
func (t *Tracker) SetRemote(source string, work peers.Summary, heard time.Time) {
	byReplica := make(map[string]peers.Load, len(work.Loads))
	for _, l := range work.Loads {
		byReplica[l.Replica] = l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := heard.Add(-time.Duration(work.Age) * time.Millisecond)
	t.remote[source] = remoteLoads{at: at, heard: heard, daemons: work.Daemons, loads: byReplica}
}

// Traffic reports whether a request to a model came yet, here or at a peer.
func (t *Tracker) Traffic() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.traffic
}

// SetTraffic notes that a request came to a peer.
func (t *Tracker) SetTraffic() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.traffic = true
}

// Loads returns this daemon's own work.
func (t *Tracker) Loads() peers.Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var all peers.Loads
	for id, s := range t.held {
		if s.inFlight > 0 {
			all = append(all, peers.Load{Replica: id, InFlight: s.inFlight, Prefill: s.prefill, Moved: peers.MovedAgo(s.lastMove, now)})
		}
	}
	return all
}

// InFlightIn returns how many of this daemon's requests are in flight in a data hall.
func (t *Tracker) InFlightIn(hall string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, s := range t.held {
		if s.replica.Head.Zone == hall {
			count += s.inFlight
		}
	}
	return count
}

// Demand returns this daemon's own work by model: the slots that are busy, and the prompt
// tokens of the requests there.
func (t *Tracker) Demand() (busy, prompts map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy, prompts = make(map[string]float64), make(map[string]float64)
	for _, s := range t.held {
		if s.replica.Model != "" {
			busy[s.replica.Model] += float64(s.inFlight)
			prompts[s.replica.Model] += float64(s.prompts)
		}
	}
	return busy, prompts
}

// Choice is a replica chosen for a request.
type Choice struct {
	Replica *fleet.Replica
	// Busy is the work in flight there over all daemons, as far as known.
	Busy float64
}

// Choose returns the replica at which a request with a number of prompt tokens
// would begin the soonest, and false when there is none. Those in tried are
// left out.
func (t *Tracker) Choose(replicas []*fleet.Replica, tried map[string]bool, c costs, prompt int, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	noise := t.noise(replicas, c, prompt, now)
	var best Choice
	bestCost, found := time.Duration(0), false
	for _, r := range replicas {
		if tried[r.ID] {
			continue
		}
		busy, cost := t.cost(r, c, now)
		if !c.isScarce(r) {
			cost += c.connecting(r.Head.ID, busy, noise) + time.Duration(rand.Float64()*float64(noise))
		}
		if c.fewest {
			cost += time.Duration(busy * float64(fewestCost))
		}
		if !found || cost < bestCost {
			best, bestCost, found = Choice{Replica: r, Busy: busy}, cost, true
		}
	}
	return best, found
}

// noise returns how far the predicted waits may be off, since other daemons
// choose by the same loads, which are told late: by what the requests of the
// fleet bring to one replica within that time. Without it all daemons would
// choose the same replica.
func (t *Tracker) noise(replicas []*fleet.Replica, c costs, prompt int, now time.Time) time.Duration {
	if len(replicas) == 0 {
		return 0
	}
	late, count := time.Duration(0), 0
	for _, remote := range t.remote {
		if age := now.Sub(remote.at); age < remoteFor {
			late += age * time.Duration(remote.daemons)
			count += remote.daemons
		}
	}
	key := replicas[0].Service + "/" + replicas[0].Model
	t.rates.count(key, now)
	rate := t.rates.perSecond(key, now) * float64(count)
	if count > 0 {
		late /= time.Duration(count)
	}
	arrivals := rate * (late + leastLate).Seconds() / float64(len(replicas))
	each := time.Duration(prompt)*c.perToken + c.perRequest + c.pass/noisePasses
	return time.Duration(arrivals*float64(each)) + c.pass/noisePasses
}

// cost returns the work in flight at a replica, and the predicted wait there.
func (t *Tracker) cost(r *fleet.Replica, c costs, now time.Time) (busy float64, wait time.Duration) {
	inFlight, prefill := t.work(r.ID, now)
	busy = float64(inFlight)
	wait = c.wait(busy, prefill)
	if r.Head.Zone != t.zone {
		wait += crossZone
	}
	if s, ok := t.held[r.ID]; ok {
		wait += t.penalty(s, c, now)
	}
	return busy, wait
}

// work returns the requests in flight at a replica over all daemons, and their prompt
// tokens not yet read, as far as known.
func (t *Tracker) work(replica string, now time.Time) (inFlight, prefill int) {
	if s, ok := t.held[replica]; ok {
		inFlight, prefill = s.inFlight, s.prefill
	}
	for _, peer := range t.remote {
		if now.Sub(peer.at) < remoteFor {
			l := peer.loads[replica]
			inFlight += l.InFlight
			prefill += l.Prefill
		}
	}
	return inFlight, prefill
}

// penalty returns the extra wait charged to a replica that failed a request recently.
func (t *Tracker) penalty(s *replicaLoad, c costs, now time.Time) time.Duration {
	if now.Sub(s.failedAt) < failureFor {
		return max(c.service/2, failureCost)
	}
	return 0
}

// suspects returns a check for replicas that may have stopped, or nil if there are none.
func (t *Tracker) suspects(now time.Time) func(r *fleet.Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]bool)
	for id := range t.held {
		if t.doubted(id, now) {
			all[id] = true
		}
	}
	for id := range t.reportedSuspects {
		if t.doubted(id, now) {
			all[id] = true
		}
	}
	if len(all) == 0 {
		return nil
	}
	return func(r *fleet.Replica) bool { return all[r.ID] }
}

// Fail notes that a replica failed a request.
func (t *Tracker) Fail(r *fleet.Replica, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadOf(r).failedAt = now
}

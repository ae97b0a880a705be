package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quartzshelf.dev/fleet"
	"quartzshelf.dev/peers"
)

const (
	// beginSilence and goSilence are how long all streams from a replica may be
	// silent before it is suspected: while none has begun, and after.
	beginSilence = 900 * time.Millisecond
	goSilence    = 450 * time.Millisecond
	// suspectFor is how long a suspected replica gets no requests unless it
	// shows progress.
	suspectFor = 2 * time.Second
	// failureFor is how long a replica that failed a request is passed over if
	// others are there.
	failureFor = time.Second
	// remoteFor is how long a report of the load at other daemons counts.
	remoteFor = time.Second
	// suspectCost and failureCost are added to the waits at suspected replicas
	// and, at the least, at those that failed a request of late.
	suspectCost = time.Minute
	failureCost = 100 * time.Millisecond
	// leastLate is the least time that loads of peers are late by.
	leastLate = 50 * time.Millisecond
	// noisePasses is how many times less than a pass choices are spread at least.
	noisePasses = 5
)

// station is a replica as this daemon's requests see it.
type station struct {
	replica  *fleet.Replica
	inFlight int
	prefill  int
	// prompts counts the prompt tokens of all requests in flight.
	prompts   int
	streams   map[*Watch]struct{}
	lastMove  time.Time
	suspect   time.Time
	failedAt  time.Time
	lastKnown time.Time
}

// Watch is a stream in flight.
type Watch struct {
	begun  bool
	since  time.Time
	cancel context.CancelCauseFunc
}

// Tracker counts the work in flight at each replica and notices when one falls
// silent. It is safe for concurrent use.
type Tracker struct {
	zone string

	mu       sync.Mutex
	stations map[string]*station
	remote   map[string]remoteLoads
	rates    *rates
	pauses   pauses
	// traffic tells that a request came, here or at a peer.
	traffic bool
	// stalled is called, without the lock, with a replica that fell silent.
	stalled func(r *fleet.Replica)
}

// remoteLoads is the work of other daemons, as a source reported it.
type remoteLoads struct {
	at      time.Time
	daemons int
	loads   map[string]peers.Load
}

// NewTracker returns a tracker for a daemon in a zone. It calls stalled with
// each replica whose streams all fell silent.
func NewTracker(zone string, stalled func(r *fleet.Replica)) *Tracker {
	return &Tracker{
		zone: zone, stations: make(map[string]*station),
		remote: make(map[string]remoteLoads), rates: newRates(), pauses: make(pauses), stalled: stalled,
	}
}

func (t *Tracker) station(r *fleet.Replica) *station {
	s, ok := t.stations[r.ID]
	if !ok {
		s = &station{replica: r, streams: make(map[*Watch]struct{})}
		t.stations[r.ID] = s
	}
	s.lastKnown = time.Now()
	return s
}

// SetRemote takes what a source reports of the work of other daemons at a time.
func (t *Tracker) SetRemote(source string, work peers.Summary, at time.Time) {
	byReplica := make(map[string]peers.Load, len(work.Loads))
	for _, l := range work.Loads {
		byReplica[l.Replica] = l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote[source] = remoteLoads{at: at, daemons: work.Daemons, loads: byReplica}
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
	var all peers.Loads
	for id, s := range t.stations {
		if s.inFlight > 0 {
			all = append(all, peers.Load{Replica: id, InFlight: s.inFlight, Prefill: s.prefill})
		}
	}
	return all
}

// Demand returns this daemon's own work by model: the slots that are busy, and the prompt
// tokens of the requests there.
func (t *Tracker) Demand() (busy, prompts map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy, prompts = make(map[string]float64), make(map[string]float64)
	for _, s := range t.stations {
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
		cost += time.Duration(rand.Float64() * float64(noise))
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
	inFlight, prefill := 0, 0
	s, ok := t.stations[r.ID]
	if ok {
		inFlight, prefill = s.inFlight, s.prefill
	}
	for _, peer := range t.remote {
		if now.Sub(peer.at) < remoteFor {
			l := peer.loads[r.ID]
			inFlight += l.InFlight
			prefill += l.Prefill
		}
	}
	busy = float64(inFlight)
	wait = c.wait(busy, prefill)
	if r.Head.Zone != t.zone {
		wait += crossZone
	}
	if ok {
		wait += t.penalty(s, c, now)
	}
	return busy, wait
}

// penalty returns what is added to the wait at a replica that gave cause.
func (t *Tracker) penalty(s *station, c costs, now time.Time) time.Duration {
	penalty := time.Duration(0)
	if now.Before(s.suspect) {
		penalty += suspectCost
	}
	if now.Sub(s.failedAt) < failureFor {
		penalty += max(c.service/2, failureCost)
	}
	return penalty
}

// Hold is a request counted at a replica.
type Hold struct {
	tracker *Tracker
	station *station
	// prompt is the number of prompt tokens, prefill how many of them are to be read.
	prompt  int
	prefill int
	ended   bool
}

// Begin counts a request with a number of prompt tokens to be read.
func (t *Tracker) Begin(r *fleet.Replica, prompt int) *Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.station(r)
	s.inFlight++
	s.prefill += prompt
	s.prompts += prompt
	t.traffic = t.traffic || prompt > 0
	return &Hold{tracker: t, station: s, prompt: prompt, prefill: prompt}
}

// Started notes that the prompt was read.
func (h *Hold) Started() {
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	h.station.prefill -= h.prefill
	h.prefill = 0
}

// End ends the count; further calls do nothing.
func (h *Hold) End() {
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	h.station.inFlight--
	h.station.prefill -= h.prefill
	h.station.prompts -= h.prompt
}

// Fail notes that a replica failed a request.
func (t *Tracker) Fail(r *fleet.Replica, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.station(r).failedAt = now
}

// Follow follows a stream: cancel is called when its replica falls silent.
func (t *Tracker) Follow(r *fleet.Replica, cancel context.CancelCauseFunc) *Watch {
	t.mu.Lock()
	defer t.mu.Unlock()
	track := &Watch{since: time.Now(), cancel: cancel}
	t.station(r).streams[track] = struct{}{}
	return track
}

// Moved notes that an event of a stream came.
func (t *Tracker) Moved(r *fleet.Replica, track *Watch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.station(r)
	track.begun = true
	s.lastMove = now
	s.suspect = time.Time{}
}

// Unfollow ends the following of a stream.
func (t *Tracker) Unfollow(r *fleet.Replica, track *Watch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.station(r).streams, track)
}

// Suspect passes a replica over for a while, on a peer's word.
func (t *Tracker) Suspect(replica string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.stations[replica]; ok && now.Sub(s.lastMove) > goSilence {
		s.suspect = now.Add(suspectFor)
	}
}

// Sweep looks for replicas that fell silent, cuts their streams off so that
// they go on elsewhere, and forgets replicas that are gone. A gap since the
// last sweep that shows this process stood still excuses all silence.
func (t *Tracker) Sweep(now time.Time, gap time.Duration) {
	if gap > goSilence/2 {
		t.excuse(now)
		return
	}
	for _, r := range t.silent(now) {
		t.stalled(r)
	}
}

func (t *Tracker) excuse(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.stations {
		s.lastMove = now
	}
}

func (t *Tracker) silent(now time.Time) []*fleet.Replica {
	const forgetAfter = time.Minute
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*fleet.Replica
	for id, s := range t.stations {
		if s.inFlight == 0 && len(s.streams) == 0 && now.Sub(s.lastKnown) > forgetAfter {
			delete(t.stations, id)
			continue
		}
		if !s.isSilent(now) {
			continue
		}
		s.suspect = now.Add(suspectFor)
		all = append(all, s.replica)
		for track := range s.streams {
			track.cancel(errStalled)
		}
	}
	return all
}

// isSilent reports whether none of the replica's streams moved for so long
// that it must have stopped.
func (s *station) isSilent(now time.Time) bool {
	if len(s.streams) == 0 {
		return false
	}
	limit, since := beginSilence, s.lastMove
	for track := range s.streams {
		if track.begun {
			limit = goSilence
		}
	}
	first := now
	for track := range s.streams {
		if track.since.Before(first) {
			first = track.since
		}
	}
	if first.After(since) {
		since = first
	}
	return now.Sub(since) > limit
}

// Package measure compares the routing and repair policies of quartzshelf with baselines. Trials
// run in virtual time with fixed seeds, so that results are reproducible. They don't simulate a
// whole cluster.
package measure

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quartzshelf.dev/admission"
	"quartzshelf.dev/routing"
)

// Parameters of the engines and callers in the routing trials. Times are in seconds.
const (
	endpointCount             = 60
	daemonCount               = 8
	slotsPerEndpoint          = 16
	tokenTime                 = 0.008
	meanTokens                = 60
	coldPrefillTime           = 0.120
	warmPrefillTime           = 0.015
	cachedPrefixesPerEndpoint = 24
	accountCount              = 10
	prefixesPerAccount        = 60
	reportInterval            = 0.5
	reportLag                 = 0.5
	reportLossShare           = 0.1
	warmupTime                = 5.0
	measuredTime              = 40.0
	burstStart                = 20.0
	burstEnd                  = 30.0
	zipfExponent              = 1.1
	secondsPerMicrosecond     = 1e-6
)

// RoutingPolicy chooses an endpoint for each request. It uses one daemon's view of the endpoints.
type RoutingPolicy struct {
	Name string
	pick func(d *daemon, prefix uint64, r *rand.Rand) int
}

// RoutingPolicies returns the baselines, followed by quartzshelf's own policy.
func RoutingPolicies() []RoutingPolicy {
	return []RoutingPolicy{
		{"random", func(d *daemon, _ uint64, r *rand.Rand) int { return r.IntN(len(d.view)) }},
		{"round robin", func(d *daemon, _ uint64, _ *rand.Rand) int {
			d.roundRobinCount++
			return d.roundRobinCount % len(d.view)
		}},
		{"least in flight, own view", func(d *daemon, _ uint64, _ *rand.Rand) int {
			least := 0
			for i, c := range d.view {
				if c.OwnInFlight < d.view[least].OwnInFlight {
					least = i
				}
			}
			return least
		}},
		{"least reported", func(d *daemon, _ uint64, _ *rand.Rand) int {
			least := 0
			for i, c := range d.view {
				if c.Occupancy() < d.view[least].Occupancy() {
					least = i
				}
			}
			return least
		}},
		{"two choices", func(d *daemon, _ uint64, r *rand.Rand) int {
			a, b := r.IntN(len(d.view)), r.IntN(len(d.view))
			if d.view[b].Occupancy() < d.view[a].Occupancy() {
				return b
			}
			return a
		}},
		{"quartzshelf", func(d *daemon, prefix uint64, r *rand.Rand) int {
			return routing.Pick(d.view, prefix, r)
		}},
	}
}

// daemon is a daemon that routes requests by its own view of the endpoints.
type daemon struct {
	view            []routing.Candidate
	roundRobinCount int
}

// engine is the engine of one endpoint. cachedPrefixes is ordered from the least to the most
// recently used prefix.
type engine struct {
	activeJobCount int
	queuedJobs     []*job
	cachedPrefixes []uint64
}

// job is one request. Its indices are those of the client account, daemon and endpoint.
type job struct {
	accountIndex  int
	prefix        uint64
	daemonIndex   int
	endpointIndex int
	arrivedAt     float64
	tokenCount    int
}

// event is a function that runs at a virtual time. Events with equal times run by sequence number.
type event struct {
	at       float64
	sequence int
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Load describes the load of a routing trial.
type Load struct {
	// CapacityShare is the arrival rate as a share of the rate that all endpoints together can
	// serve.
	CapacityShare float64
	// BurstFactor is the factor by which the largest client account's arrival rate increases
	// between burstStart and burstEnd. Zero means no burst.
	BurstFactor float64
	// UseAdmission enables quartzshelf's admission control, which refuses requests under overload.
	UseAdmission bool
}

// RoutingResult holds the measurements of a routing trial.
type RoutingResult struct {
	Policy string
	// FirstTokenP50, FirstTokenP95 and FirstTokenP99 are percentiles of the time to the first token
	// in seconds.
	FirstTokenP50, FirstTokenP95, FirstTokenP99 float64
	// SmallestAccountFirstTokenP99 is the 99th percentile of the smallest client account's time to
	// the first token, in seconds. It covers the requests that arrive between burstStart and
	// burstEnd.
	SmallestAccountFirstTokenP99 float64
	// HitShare is the share of admitted requests whose prefix was cached.
	HitShare float64
	// PeakOccupancy is the highest number of requests at one endpoint, divided by its slots.
	PeakOccupancy float64
	// Goodput is the number of requests per second with a first token within firstTokenTarget.
	Goodput float64
	// RefusedShare is the share of requests that were refused.
	RefusedShare float64
	// SmallestAccountRefusedShare is the share of the smallest account's requests that were
	// refused.
	SmallestAccountRefusedShare float64
}

// routingTrial is the state of one routing trial.
type routingTrial struct {
	policy               RoutingPolicy
	load                 Load
	random               *rand.Rand
	now                  float64
	pendingEvents        eventQueue
	lastSequence         int
	daemons              []*daemon
	engines              []*engine
	firstTokenTimes      *hdrhistogram.Histogram
	smallFirstTokenTimes *hdrhistogram.Histogram
	requestCount         int
	cacheHits            int
	withinTargetCount    int
	refusedCount         int
	// smallRequestCount and smallRefusedCount count the smallest account's requests.
	smallRequestCount, smallRefusedCount int

	peakRequests   int
	accountWeights []float64
	// inFlightByDaemon maps daemon and client account indices to the number of requests in flight.
	inFlightByDaemon map[int]map[int]int
}

const (
	firstTokenTarget         = 0.36
	histogramMaxMicroseconds = 600_000_000
	histogramDigits          = 3
)

// RunRouting runs one routing trial.
func RunRouting(p RoutingPolicy, load Load, seed uint64) RoutingResult {
	t := &routingTrial{
		policy: p, load: load, random: rand.New(rand.NewPCG(seed, 1)),
		firstTokenTimes:      hdrhistogram.New(1, histogramMaxMicroseconds, histogramDigits),
		smallFirstTokenTimes: hdrhistogram.New(1, histogramMaxMicroseconds, histogramDigits),
		accountWeights:       zipfWeights(accountCount), inFlightByDaemon: make(map[int]map[int]int),
	}
	for range endpointCount {
		t.engines = append(t.engines, &engine{})
	}
	for range daemonCount {
		d := &daemon{view: make([]routing.Candidate, endpointCount)}
		for i := range d.view {
			d.view[i] = routing.Candidate{ID: fmt.Sprint("replica-", i), Slots: slotsPerEndpoint}
		}
		t.daemons = append(t.daemons, d)
	}
	t.run()
	return t.computeResult()
}

// zipfWeights returns n weights in descending order that sum to one.
func zipfWeights(n int) []float64 {
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), zipfExponent)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

// schedule adds an event that runs a function at a virtual time.
func (t *routingTrial) schedule(at float64, run func()) {
	t.lastSequence++
	heap.Push(&t.pendingEvents, event{at: at, sequence: t.lastSequence, run: run})
}

// maxRequestRate returns how many requests per second all endpoints together can serve if every
// prefix is cached.
func maxRequestRate() float64 {
	return endpointCount * slotsPerEndpoint / (warmPrefillTime + meanTokens*tokenTime)
}

func (t *routingTrial) run() {
	for a := range accountCount {
		t.scheduleArrivals(a)
	}
	for i := range t.engines {
		for d := range t.daemons {
			t.schedule(t.random.Float64()*reportInterval, func() { t.reportLoad(d, i) })
		}
	}
	for t.pendingEvents.Len() > 0 {
		e := heap.Pop(&t.pendingEvents).(event)
		if e.at > warmupTime+measuredTime {
			return
		}
		t.now = e.at
		e.run()
	}
}

// scheduleArrivals schedules the next request of a client account. When that request arrives, the
// one after it is scheduled.
func (t *routingTrial) scheduleArrivals(accountIndex int) {
	rate := maxRequestRate() * t.load.CapacityShare * t.accountWeights[accountIndex]
	if accountIndex == 0 && t.load.BurstFactor > 0 && t.now >= burstStart && t.now < burstEnd {
		rate *= t.load.BurstFactor
	}
	t.schedule(t.now+t.random.ExpFloat64()/rate, func() {
		t.handleArrival(accountIndex)
		t.scheduleArrivals(accountIndex)
	})
}

func (t *routingTrial) handleArrival(accountIndex int) {
	// Squaring makes prefixes with low numbers more frequent.
	u := t.random.Float64()
	j := &job{
		accountIndex: accountIndex, prefix: uint64(accountIndex*prefixesPerAccount) + uint64(u*u*prefixesPerAccount), daemonIndex: t.random.IntN(daemonCount),
		arrivedAt: t.now, tokenCount: 1 + int(t.random.ExpFloat64()*meanTokens),
	}
	isMeasured, isSmallest := t.now > warmupTime, accountIndex == accountCount-1
	if isMeasured {
		t.requestCount++
	}
	if isMeasured && isSmallest {
		t.smallRequestCount++
	}
	d := t.daemons[j.daemonIndex]
	if t.load.UseAdmission && t.isRefused(d, j) {
		if isMeasured {
			t.refusedCount++
		}
		if isMeasured && isSmallest {
			t.smallRefusedCount++
		}
		return
	}
	j.endpointIndex = t.policy.pick(d, routing.PrefixHash(fmt.Sprint(accountIndex), fmt.Sprint(j.prefix)), t.random)
	d.view[j.endpointIndex].OwnInFlight++
	t.addInFlight(j, 1)
	e := t.engines[j.endpointIndex]
	e.queuedJobs = append(e.queuedJobs, j)
	t.peakRequests = max(t.peakRequests, e.activeJobCount+len(e.queuedJobs))
	t.startQueuedJobs(e)
}

// addInFlight adds n to the number of requests that the job's client account has in flight at the
// job's daemon.
func (t *routingTrial) addInFlight(j *job, n int) {
	if t.inFlightByDaemon[j.daemonIndex] == nil {
		t.inFlightByDaemon[j.daemonIndex] = make(map[int]int)
	}
	t.inFlightByDaemon[j.daemonIndex][j.accountIndex] += n
	if t.inFlightByDaemon[j.daemonIndex][j.accountIndex] == 0 {
		delete(t.inFlightByDaemon[j.daemonIndex], j.accountIndex)
	}
}

func (t *routingTrial) isRefused(d *daemon, j *job) bool {
	accountInFlight := t.inFlightByDaemon[j.daemonIndex][j.accountIndex]
	activeAccounts, totalInFlight := len(t.inFlightByDaemon[j.daemonIndex]), 0
	if accountInFlight == 0 {
		activeAccounts++
	}
	for _, n := range t.inFlightByDaemon[j.daemonIndex] {
		totalInFlight += n
	}
	return admission.Decide(admission.Situation{
		ReportedOccupancy: routing.MeanOccupancy(d.view), InFlight: totalInFlight, Slots: endpointCount * slotsPerEndpoint, Daemons: daemonCount,
		AccountInFlight: accountInFlight, Accounts: activeAccounts,
	}) != nil
}

// startQueuedJobs starts queued jobs while the engine has free slots.
func (t *routingTrial) startQueuedJobs(e *engine) {
	for e.activeJobCount < slotsPerEndpoint && len(e.queuedJobs) > 0 {
		j := e.queuedJobs[0]
		e.queuedJobs = e.queuedJobs[1:]
		e.activeJobCount++
		prefill := coldPrefillTime
		if e.cachePrefix(j.prefix) {
			prefill = warmPrefillTime
			if t.now > warmupTime {
				t.cacheHits++
			}
		}
		t.schedule(t.now+prefill+tokenTime, func() { t.recordFirstToken(j) })
		t.schedule(t.now+prefill+tokenTime*float64(j.tokenCount), func() { t.finishJob(e, j) })
	}
}

// cachePrefix adds a prefix to the cache or renews it, and reports whether it was cached already.
// If the cache is full, the least recently used prefix is dropped.
func (e *engine) cachePrefix(prefix uint64) bool {
	i := slices.Index(e.cachedPrefixes, prefix)
	if i >= 0 {
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, i, i+1)
	} else if len(e.cachedPrefixes) >= cachedPrefixesPerEndpoint {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	return i >= 0
}

func (t *routingTrial) recordFirstToken(j *job) {
	if j.arrivedAt < warmupTime {
		return
	}
	timeToFirstToken := t.now - j.arrivedAt
	// The duration of a trial is below the histogram's maximum, so this cannot fail.
	_ = t.firstTokenTimes.RecordValue(int64(timeToFirstToken / secondsPerMicrosecond))
	if timeToFirstToken <= firstTokenTarget {
		t.withinTargetCount++
	}
	if j.accountIndex == accountCount-1 && j.arrivedAt >= burstStart && j.arrivedAt < burstEnd {
		_ = t.smallFirstTokenTimes.RecordValue(int64(timeToFirstToken / secondsPerMicrosecond))
	}
}

func (t *routingTrial) finishJob(e *engine, j *job) {
	e.activeJobCount--
	t.daemons[j.daemonIndex].view[j.endpointIndex].OwnInFlight--
	t.addInFlight(j, -1)
	t.startQueuedJobs(e)
}

// reportLoad reports an endpoint's current load to a daemon and schedules the next report. A report
// arrives after reportLag or, with probability reportLossShare, not at all.
func (t *routingTrial) reportLoad(daemonIndex, endpointIndex int) {
	load := t.engines[endpointIndex].activeJobCount + len(t.engines[endpointIndex].queuedJobs)
	if t.random.Float64() >= reportLossShare {
		t.schedule(t.now+reportLag, func() {
			c := &t.daemons[daemonIndex].view[endpointIndex]
			c.Reported, c.OwnInFlightAtReport = load, c.OwnInFlight
		})
	}
	t.schedule(t.now+reportInterval, func() { t.reportLoad(daemonIndex, endpointIndex) })
}

func (t *routingTrial) computeResult() RoutingResult {
	quantileSeconds := func(h *hdrhistogram.Histogram, percent float64) float64 {
		return float64(h.ValueAtQuantile(percent)) * secondsPerMicrosecond
	}
	admittedCount := max(t.requestCount-t.refusedCount, 1)
	return RoutingResult{
		Policy:        t.policy.Name,
		FirstTokenP50: quantileSeconds(t.firstTokenTimes, 50), FirstTokenP95: quantileSeconds(t.firstTokenTimes, 95), FirstTokenP99: quantileSeconds(t.firstTokenTimes, 99),
		SmallestAccountFirstTokenP99: quantileSeconds(t.smallFirstTokenTimes, 99),
		HitShare:                     float64(t.cacheHits) / float64(admittedCount),
		PeakOccupancy:                float64(t.peakRequests) / slotsPerEndpoint,
		Goodput:                      float64(t.withinTargetCount) / measuredTime,
		RefusedShare:                 float64(t.refusedCount) / float64(max(t.requestCount, 1)),

		SmallestAccountRefusedShare: float64(t.smallRefusedCount) / float64(max(t.smallRequestCount, 1)),
	}
}

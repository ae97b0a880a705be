package formation

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"quartzshelf.dev/fleet"
)

// Intervals, timeouts and limits of a Reconciler.
const (
	tickInterval = 100 * time.Millisecond
	// maxConcurrentCalls is the maximum number of concurrent calls to workers. It also limits the
	// number of connections to them.
	maxConcurrentCalls = 64
	// orderTimeout is the timeout of an order to a worker. queryTimeout is the timeout of a state
	// query.
	orderTimeout = 200 * time.Millisecond
	queryTimeout = 200 * time.Millisecond
	// indirectTimeout is the timeout of an order through other daemons.
	indirectTimeout = 500 * time.Millisecond
	// maxOrderAttempts is the maximum number of attempts to send an order that is not answered.
	// Each attempt has a new fence.
	maxOrderAttempts = 6
	// queryInterval is the time between state queries while an update of the worker list is
	// awaited.
	queryInterval = 250 * time.Millisecond
	// joinGracePeriod is the time that a join may take in addition to its expected duration.
	joinGracePeriod = 3 * time.Second
	// loadTimeFactor is the maximum ratio of a load's duration to its expected duration. Loads may
	// take longer than expected because concurrent loads slow each other down.
	loadTimeFactor = 4
	// listSettleTime is the maximum time until the worker list shows the effect of an operation.
	listSettleTime = time.Second
	// youngListSettleTime replaces listSettleTime in a process that first received the worker list
	// less than youngListAge ago.
	youngListSettleTime = 4 * time.Second
	youngListAge        = 10 * time.Second
	// maxDrainTime is the maximum time for which requests in flight delay a group's dissolution.
	maxDrainTime = 8 * time.Second
	// unresponsiveQueryInterval is the time between queries to an unresponsive worker.
	unresponsiveQueryInterval = 2 * time.Second
	// lostHeadTimeout is the time for which a head must be unreachable and unlisted before its
	// members are freed without its confirmation.
	lostHeadTimeout = 1200 * time.Millisecond
	// listStaleAge is the age of the worker list beyond which workers are queried directly. At that
	// age, two consecutive reads of the list have failed.
	listStaleAge = 800 * time.Millisecond
	// maxListAge is the maximum age of a worker list that is used to determine whether a worker is
	// gone.
	maxListAge = 4 * time.Second
	// reportInterval is the time between log messages about wanted and available replicas.
	reportInterval = 3 * time.Second
)

// Term identifies a leader's term.
type Term struct {
	Epoch int64
	Rank  int
	// IsFirst reports whether this is the fleet's first term.
	IsFirst bool
	// RunningSinceFleetStart reports whether this process has been running since the fleet was
	// started for the first time. Such a process would have observed any earlier requests.
	RunningSinceFleetStart bool
}

// Reconciler forms and repairs replicas for the duration of one term.
type Reconciler struct {
	opts Options
	term Term
	// isNewFleet reports whether no replica had served when the term began.
	isNewFleet        bool
	onSuperseded      func()
	tasks             conc.WaitGroup
	done              chan struct{}
	suspectedReplicas chan string

	mu           sync.Mutex
	lastSequence int64
	// lastFences holds the fence of the last order sent to each worker, by worker ID.
	lastFences map[string]Fence
	// observations holds the last state that each worker reported directly, by worker ID.
	observations map[string]observation
	// busyWorkers holds the IDs of workers that are involved in a running operation.
	busyWorkers map[string]bool
	// busyGroups holds the keys of groups that are involved in a running operation.
	busyGroups map[string]bool
	// examinedReplicas holds the replicas whose members are being queried.
	examinedReplicas map[string]bool
	// retirements holds the reason why a group's members are free, by group key. Either the head
	// confirmed that it left the group, or the head does not respond.
	retirements map[string]retirement
	// dissolutions holds the groups whose head confirmed that it left, by group key.
	dissolutions map[string]dissolution
	// headIDs holds the worker ID of each group's head, by group key.
	headIDs map[string]string
	// formedGroups holds the groups formed in this term, by group key.
	formedGroups map[string]Group
	// unresponsive holds the time of the next query to each unresponsive worker, by worker ID.
	unresponsive map[string]time.Time
	// silences holds the silent workers, by worker ID. silentQueryCount is the number of queries to
	// them that are under way.
	silences         map[string]*silence
	silentQueryCount int
	// orderStates holds the order count and group of each worker, by worker ID.
	orderStates map[string]orderState
	// incarnations holds the current incarnation of each worker, by worker ID.
	incarnations map[string]incarnation
	// knownWorkers holds all workers that have been listed, by worker ID.
	knownWorkers map[string]*fleet.Worker
	// lastView is the worker list at the previous tick. absent holds the workers that left the list
	// while in a group, by worker ID.
	lastView *fleet.View
	absent   map[string]*absence
	// displaced holds the IDs of workers whose address is now used by another worker.
	displaced map[string]bool
	// interruptedJoins holds the workers that may have been interrupted while joining a group, by
	// worker ID.
	interruptedJoins map[string]interruptedJoin
	// headlessSince holds the time since which a group's head has not been listed, by group key.
	headlessSince map[string]time.Time
	// activeLoads holds the running loads, by worker ID.
	activeLoads map[string]activeLoad
	// groupSeenSince holds the time when each group was first seen in the worker list, by group
	// key.
	groupSeenSince map[string]time.Time
	loadBudgets    map[string]*loadBudget
	smoothedWork   map[string]Work
	// trafficSince is the time when this leader first detected requests to the fleet.
	trafficSince time.Time
	// leaveDeadlines holds the time until which a group with a leaving member may continue to
	// serve, by group key.
	leaveDeadlines map[string]time.Time
	// nextLeaveDissolution holds the time from which the next group with a leaving member may be
	// dissolved, by model.
	nextLeaveDissolution map[string]time.Time
	// stageRetryAt holds the time from which a worker that refused to stage may be ordered again,
	// by worker ID.
	stageRetryAt map[string]time.Time
	// listGrowths tracks the growth of a new fleet's worker list, by service.
	listGrowths map[string]*listGrowth
	// callSlots is a semaphore that limits concurrent calls to workers.
	callSlots chan struct{}
	// idleSince holds the time when each idle worker of a new fleet became idle, by worker ID.
	idleSince map[string]time.Time
	// nextReport is the time when wanted and available replicas are logged next.
	nextReport time.Time
	// nextTrade is the time from which groups may be traded for another model again. activeTrades
	// holds the trades whose groups are not dissolved yet.
	nextTrade    time.Time
	activeTrades []Trade
	// unreliableUntil holds the time until which a worker that prevented a group from forming is
	// avoided, by worker ID.
	unreliableUntil map[string]time.Time
	// releaseAt holds the time from which the idle workers of a domain may form surplus groups, by
	// domain. It is set only while these workers can form no group of a model that lacks replicas.
	releaseAt map[string]time.Time
	halls     hallStates
	// tradesAllowedAt is the time from which groups may be traded for another model. A new leader
	// first waits for the reports of all daemons. Closing or opening a data hall also delays trades
	// briefly.
	tradesAllowedAt time.Time
	// reportedOversized holds the names of models for which a warning was logged that they are
	// larger than any domain.
	reportedOversized map[string]bool
}

// activeLoad is a load of a model's weights. It counts as running until it has completed or
// expired.
type activeLoad struct {
	model     string
	expiresAt time.Time
}

// retirement is the reason why a group is known or assumed to take no more requests.
type retirement int

const (
	// retiredAssumed means that the head does not respond.
	retiredAssumed retirement = iota + 1
	// retiredConfirmed means that the head confirmed that it left the group.
	retiredConfirmed
)

// observation is a state that a worker reported directly.
type observation struct {
	state WorkerState
	// at is the time of the state. It lies in the future if the worker is expected to reach the
	// state then. Once the worker list has been confirmed after that time, the list is preferred.
	at time.Time
}

// NewReconciler returns a Reconciler for a term. The Reconciler calls onSuperseded when a worker
// reports a leader with a higher term, or when the term has used up its fences.
func NewReconciler(opts Options, term Term, onSuperseded func()) *Reconciler {
	view := opts.Inventory.View()
	k := &Reconciler{
		opts: opts, term: term, onSuperseded: onSuperseded,
		done: make(chan struct{}), suspectedReplicas: make(chan string, 64),
		lastFences:           make(map[string]Fence),
		observations:         make(map[string]observation),
		orderStates:          make(map[string]orderState),
		busyWorkers:          make(map[string]bool),
		busyGroups:           make(map[string]bool),
		examinedReplicas:     make(map[string]bool),
		retirements:          make(map[string]retirement),
		dissolutions:         make(map[string]dissolution),
		headIDs:              make(map[string]string),
		formedGroups:         make(map[string]Group),
		unresponsive:         make(map[string]time.Time),
		silences:             make(map[string]*silence),
		knownWorkers:         make(map[string]*fleet.Worker),
		incarnations:         make(map[string]incarnation),
		lastView:             view,
		absent:               make(map[string]*absence),
		displaced:            make(map[string]bool),
		interruptedJoins:     make(map[string]interruptedJoin),
		headlessSince:        make(map[string]time.Time),
		activeLoads:          make(map[string]activeLoad),
		groupSeenSince:       make(map[string]time.Time),
		loadBudgets:          make(map[string]*loadBudget),
		smoothedWork:         make(map[string]Work),
		leaveDeadlines:       make(map[string]time.Time),
		nextLeaveDissolution: make(map[string]time.Time),
		stageRetryAt:         make(map[string]time.Time),
		listGrowths:          make(map[string]*listGrowth),
		callSlots:            make(chan struct{}, maxConcurrentCalls),
		unreliableUntil:      make(map[string]time.Time),
		releaseAt:            make(map[string]time.Time),
		reportedOversized:    make(map[string]bool),
	}
	k.inheritSmoothedWork()
	if !term.IsFirst {
		k.tradesAllowedAt = time.Now().Add(listSettleTime)
	}
	k.isNewFleet = k.fleetNeverServed(view)
	return k
}

// Done returns a channel that is closed when Run has returned.
func (rc *Reconciler) Done() <-chan struct{} { return rc.done }

// MarkSuspected reports that requests at a replica have stopped receiving data. It does not block.
func (rc *Reconciler) MarkSuspected(replica string) {
	select {
	case rc.suspectedReplicas <- replica:
	default:
		// The queue is full. This report can be dropped, since suspicions are reported repeatedly.
	}
}

// Run forms and repairs replicas until ctx is done.
func (rc *Reconciler) Run(ctx context.Context) {
	defer close(rc.done)
	defer rc.tasks.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-rc.opts.Inventory.Changed():
		case replica := <-rc.suspectedReplicas:
			rc.examineReplica(ctx, replica)
		case <-ctx.Done():
			return
		}
		rc.tick(ctx, time.Now())
	}
}

// tick repairs, forms and trades groups of every service whose workers form groups.
func (rc *Reconciler) tick(ctx context.Context, now time.Time) {
	config := rc.opts.Config()
	if config == nil {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	// The view is read under the mutex, so that views are processed in order.
	view := rc.opts.Inventory.View()
	rc.refreshWorkers(view)
	rc.refreshAbsent(view, now)
	rc.queryAbsent(ctx, now)
	rc.querySilent(ctx, view, now)
	for _, s := range config.Services() {
		if s.Engine != nil {
			rc.tickService(ctx, s, view, now)
		}
	}
}

func (rc *Reconciler) tickService(ctx context.Context, s *fleet.Service, view *fleet.View, now time.Time) {
	rc.clearFinishedLoads(view, now)
	groups := rc.observeGroups(s, view)
	for _, g := range groups {
		rc.repair(ctx, g, now)
	}
	rc.refreshHalls(s, view, now)
	budget := rc.budgetOf(s, now)
	needs, replicasByHall := rc.computeNeeds(s, groups, view)
	freeWorkers := rc.freeWorkers(s, groups, view)
	if !now.Before(rc.nextReport) {
		rc.nextReport = now.Add(reportInterval)
		rc.logReplicas(needs, freeWorkers)
		rc.warnOversizedModels(s, view, now)
	}
	hasTraffic := rc.hasTraffic()
	maxGroupLoads, maxIdleLoads := rc.allowedLoads(s, view, budget, now)
	input := Input{
		Needs: needs, Free: freeWorkers, WarmCounts: rc.countWarm(s, view),
		MaxLoads: maxGroupLoads, MaxStagings: maxIdleLoads,
		IsListGrowing: !hasTraffic && rc.isListGrowing(s, view, now),
		HallLoss:      rc.hallLossPolicy(), ReplicasByHall: replicasByHall, ReleasedDomains: rc.releasedDomains(needs, freeWorkers, now), TradeRecipients: rc.clearFinishedTrades(),
	}
	formations, stagings := Plan(input)
	if hasTraffic {
		formations = rc.replaceLoadsByTrades(ctx, input, formations, groups, now)
	}
	for _, f := range formations {
		budget.record(f.LoadCount, hasTraffic, now)
		rc.startForming(ctx, s, f)
	}
	if len(formations) == 0 && hasTraffic {
		rc.startTrades(ctx, input, groups, now)
	}
	if !hasTraffic {
		stagings = append(rc.keepLongIdle(stagings, now), rc.secondModelStagings(s, view)...)
	}
	for _, stage := range rc.dropRecentlyRefused(stagings, now) {
		model, _ := s.Engine.Model(stage.Model)
		budget.record(1, hasTraffic, now)
		rc.startStaging(ctx, rc.knownWorkers[stage.Worker], model)
	}
	rc.queryUnresponsive(ctx, view, now)
}

// logReplicas logs the wanted and available replicas.
func (rc *Reconciler) logReplicas(needs []Need, free []FreeWorker) {
	for _, n := range needs {
		rc.opts.Logger.Info("replicas", "model", n.Model.Name, "want", n.Want, "have", n.Have,
			"work", rc.smoothedWork[n.Model.Name].BusySlots, "prompts", int(rc.smoothedWork[n.Model.Name].PromptTokens), "idle_workers", len(free))
	}
}

// hasTraffic reports whether requests have reached the fleet. If a replica had served when the term
// began, earlier requests are assumed.
func (rc *Reconciler) hasTraffic() bool { return !rc.isNewFleet || rc.opts.HasTraffic() }

// fleetNeverServed reports whether no replica has served yet, as far as the worker list shows. It
// returns false if a group has been opened. It also returns false if a worker has a model and this
// process started later than the fleet, since all daemons may have been restarted while no replica
// was open. Loads are not limited before the first request to a new fleet.
func (rc *Reconciler) fleetNeverServed(view *fleet.View) bool {
	if rc.term.IsFirst {
		return true
	}
	for _, w := range view.Workers() {
		if hasServed(w) || !rc.term.RunningSinceFleetStart && hasModel(w) {
			return false
		}
	}
	return true
}

// hasServed reports whether a worker's state shows that its group has been opened.
func hasServed(w *fleet.Worker) bool {
	return w.Member.State == fleet.Open || w.Member.State == fleet.Closing || w.Member.State == fleet.Broken
}

// hasModel reports whether a worker has a group, or a loaded or staged model.
func hasModel(w *fleet.Worker) bool {
	return w.Member.Group != "" || w.Loaded != "" || len(w.Staged) > 0
}

// refreshWorkers records the listed workers. Unlisted workers are no longer recorded as
// unresponsive.
func (rc *Reconciler) refreshWorkers(view *fleet.View) {
	for id, w := range view.Workers() {
		rc.knownWorkers[id] = w
		rc.recordListedIncarnation(w)
	}
	for id := range rc.unresponsive {
		if _, listed := view.Worker(id); !listed {
			delete(rc.unresponsive, id)
		}
	}
	for id := range rc.lastFences {
		if _, listed := view.Worker(id); !listed && !rc.busyWorkers[id] {
			delete(rc.lastFences, id)
		}
	}
}

// nextFenceLocked returns a new fence. The caller must hold rc.mu. A fence must never be lower than
// an earlier one. When the term has used up its fences, nextFenceLocked therefore returns the last
// fence again and ends the term.
func (rc *Reconciler) nextFenceLocked() Fence {
	if rc.lastSequence == maxSequence {
		go rc.onSuperseded()
	} else {
		rc.lastSequence++
	}
	return NewFence(rc.term.Epoch, rc.term.Rank, rc.lastSequence)
}

// membershipOf returns a worker's group membership according to the worker list or the worker's own
// report, whichever is newer.
func (rc *Reconciler) membershipOf(w *fleet.Worker) fleet.Membership {
	o, ok := rc.observations[w.ID]
	if rc.isPastIncarnation(w) {
		return o.state.Membership
	}
	if !ok || o.state.Membership.Epoch < w.Member.Epoch {
		return w.Member
	}
	if a, isAbsent := rc.absent[w.ID]; isAbsent && o.at.After(a.unlistedSince) {
		return o.state.Membership
	}
	if o.state.Membership.SameGroup(w.Member) && rc.opts.Inventory.Confirmed().After(o.at) {
		return w.Member
	}
	if o.state.Membership.Group == "" && w.Member.Group != "" && rc.opts.Inventory.Confirmed().After(o.at.Add(listSettleTime)) {
		return w.Member
	}
	return o.state.Membership
}

// recordState records a state that a worker reported, unless a newer one is known.
func (rc *Reconciler) recordState(id string, s WorkerState) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.recordReportedIncarnation(id, s.StartedAt) {
		return
	}
	delete(rc.unresponsive, id)
	now := time.Now()
	rc.endSilence(id, s.Membership, now)
	rc.recordReport(id, s, now)
	previous, ok := rc.observations[id]
	isOutdated := previous.state.Membership.Epoch > s.Membership.Epoch || previous.at.After(now) && previous.state.Membership.SameGroup(s.Membership)
	if ok && isOutdated {
		return
	}
	rc.observations[id] = observation{state: s, at: now}
}

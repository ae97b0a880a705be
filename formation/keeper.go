package formation

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"quartzshelf.dev/fleet"
)

// Timing of a keeper.
const (
	tickInterval = 100 * time.Millisecond
	// maxConcurrentCalls bounds the calls to workers that are under way, and the connections for
	// them.
	maxConcurrentCalls = 64
	// orderTimeout bounds an order, askTimeout a question to a worker.
	orderTimeout = 200 * time.Millisecond
	queryTimeout = 200 * time.Millisecond
	// indirectTimeout bounds an order through other daemons.
	indirectTimeout = 500 * time.Millisecond
	// maxOrderAttempts is how often an order that got no answer is given, each time
	// with a new fence.
	maxOrderAttempts = 6
	// queryInterval is how often a worker is asked while its list entry is awaited.
	queryInterval = 250 * time.Millisecond
	// joinGracePeriod is how much longer than expected a join may take.
	joinGracePeriod = 3 * time.Second
	// loadTimeFactor is a factor on loading times, since loads slow each other.
	loadTimeFactor = 4
	// listSettleTime is how long after an operation the list may lag behind it.
	listSettleTime = time.Second
	// youngListSettleTime is the same in a process that has known the list for less
	// than youngFor.
	youngListSettleTime = 4 * time.Second
	youngListAge        = 10 * time.Second
	// maxDrainTime is how long a group's requests may hold up its dissolution.
	maxDrainTime = 8 * time.Second
	// unresponsiveQueryInterval is how often a worker that was silent is asked again.
	unresponsiveQueryInterval = 2 * time.Second
	// lostHeadTimeout is how long a head must be unreachable, and unlisted, before its
	// members are freed without its answer.
	lostHeadTimeout = 1200 * time.Millisecond
	// listStaleAge is how old the list may be before workers are asked what it would
	// tell. The leader reads it with waits of 0.3 s, so two reads have failed.
	listStaleAge = 800 * time.Millisecond
	// maxListAge is how old the list may be to prove that a worker is gone.
	maxListAge = 4 * time.Second
	// reportInterval is the time between two lines about what is wanted and there.
	reportInterval = 3 * time.Second
)

// Term is what a leader leads under.
type Term struct {
	Epoch int64
	Rank  int
	// First tells that nobody led the fleet before.
	First bool
	// FirstLife tells that this process has run since the fleet first started, so that it
	// has heard of requests if any came.
	FirstLife bool
}

// Keeper forms and mends replicas for one term.
type Keeper struct {
	opts Options
	term Term
	// isNewFleet tells that nothing served when the term began.
	isNewFleet   bool
	onSuperseded func()
	tasks        conc.WaitGroup
	done         chan struct{}
	suspects     chan string

	mu       sync.Mutex
	sequence int64
	// observations holds what workers told directly, by id.
	observations map[string]observation
	// busyWorkers holds the workers that an operation is about.
	busyWorkers map[string]bool
	// busyGroups holds the groups that an operation is about.
	busyGroups map[string]bool
	// examinedReplicas holds the replicas whose members are being asked.
	examinedReplicas map[string]bool
	// retirements holds the groups that no longer hold their members: the head
	// confirmed that it left, or it answers nobody.
	retirements map[string]retirement
	// dissolutions holds the groups whose head confirmed that it left.
	dissolutions map[string]dissolution
	// headIDs holds, by group, the head that the list showed.
	headIDs map[string]string
	// formedGroups holds the groups formed in this term, by key.
	formedGroups map[string]Group
	// unresponsive holds the workers that do not answer, with when to ask again.
	unresponsive map[string]time.Time
	// orderStates holds, by worker, how many orders it has begun and its group.
	orderStates map[string]orderState
	// incarnations holds when the present lives of workers began.
	incarnations map[string]incarnation
	// knownWorkers holds all workers that were ever listed.
	knownWorkers map[string]*fleet.Worker
	// lastView is the list as the last look found it, absent holds the workers that
	// left it while in a group.
	lastView *fleet.View
	absent   map[string]*absence
	// displaced holds the workers at whose address another one answered.
	displaced map[string]bool
	// interruptedJoins holds the workers that may have been cut off while they joined a group.
	interruptedJoins map[string]interruptedJoin
	// headlessSince holds since when groups have had no listed head.
	headlessSince map[string]time.Time
	// activeLoads holds the loads that workers make, by worker.
	activeLoads map[string]activeLoad
	// groupSeenSince holds since when groups have been known.
	groupSeenSince map[string]time.Time
	loadBudgets    map[string]*loadBudget
	smoothedWork   map[string]Work
	// trafficSince is when this leader first knew of requests.
	trafficSince time.Time
	// leaveDeadlines holds, by group, until when one with a leaving member may serve.
	leaveDeadlines map[string]time.Time
	// nextLeaveDissolution holds, by model, when the next of these is dissolved.
	nextLeaveDissolution map[string]time.Time
	// stageRetryAt holds when workers that refused to stage may be asked again.
	stageRetryAt map[string]time.Time
	// listGrowths holds how the list of a new fleet grows, by service.
	listGrowths map[string]*listGrowth
	// callSlots bounds the calls to workers that are under way.
	callSlots chan struct{}
	// idleSince holds since when workers have had nothing to do at the start.
	idleSince map[string]time.Time
	// nextReport is when what is wanted and there is logged again.
	nextReport time.Time
	// nextTrade is when groups may be given up for another model again, trades
	// holds those whose groups may yet serve.
	nextTrade    time.Time
	activeTrades []Trade
	// unreliableUntil holds, by worker that kept a group from being formed, until when others are
	// preferred.
	unreliableUntil map[string]time.Time
	// releaseAt holds, by domain, when idle workers that can't make a group of a model
	// that is short serve another one.
	releaseAt map[string]time.Time
	halls     hallStates
	// tradesAllowedAt is when groups may be given up for another model: not before reports of
	// all daemons came to a new leader, nor just after a data hall was closed or opened.
	tradesAllowedAt time.Time
	// reportedOversized holds the models that are known to be larger than any domain.
	reportedOversized map[string]bool
}

// activeLoad is a load of a model's weights that counts until its end is seen or its
// time is up.
type activeLoad struct {
	model     string
	expiresAt time.Time
}

// retirement says how it is known that a group's head takes no more requests.
type retirement int

const (
	// retiredAssumed retirements rest on the head's silence.
	retiredAssumed retirement = iota + 1
	// retiredConfirmed retirements rest on the head's own word.
	retiredConfirmed
)

// observation is what a worker told directly.
type observation struct {
	state State
	// at is the time it told of: what the list shows counts again once it was
	// confirmed after that. It lies ahead for what the worker will do by then.
	at time.Time
}

// NewKeeper returns a keeper for a term. It calls outdone when a worker shows
// that another leader has a higher term.
func NewKeeper(opts Options, term Term, outdone func()) *Keeper {
	view := opts.Inventory.View()
	k := &Keeper{
		opts: opts, term: term, onSuperseded: outdone,
		done: make(chan struct{}), suspects: make(chan string, 64),
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
	if !term.First {
		k.tradesAllowedAt = time.Now().Add(listSettleTime)
	}
	k.isNewFleet = k.fleetNeverServed(view)
	return k
}

// Done is closed when Run has returned.
func (k *Keeper) Done() <-chan struct{} { return k.done }

// Suspect tells that requests at a replica fell silent.
func (k *Keeper) Suspect(replica string) {
	select {
	case k.suspects <- replica:
	default:
		// So many suspicions come again.
	}
}

// Run leads until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.done)
	defer k.tasks.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-k.opts.Inventory.Changed():
		case replica := <-k.suspects:
			k.examineReplica(ctx, replica)
		case <-ctx.Done():
			return
		}
		k.tick(ctx, time.Now())
	}
}

// tick looks at every service whose workers form groups.
func (k *Keeper) tick(ctx context.Context, now time.Time) {
	config := k.opts.Config()
	if config == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// It is read under the mutex, so that no look goes back to an earlier list.
	view := k.opts.Inventory.View()
	k.refreshWorkers(view)
	k.refreshAbsent(view, now)
	k.queryAbsent(ctx, now)
	for _, s := range config.Services() {
		if s.Engine != nil {
			k.tickService(ctx, s, view, now)
		}
	}
}

func (k *Keeper) tickService(ctx context.Context, s *fleet.Service, view *fleet.View, now time.Time) {
	groups := k.groups(s, view)
	for _, g := range groups {
		k.repair(ctx, g, now)
	}
	k.refreshHalls(s, view, now)
	budget := k.budgetOf(s, now)
	needs, serving := k.computeNeeds(s, groups, view)
	free := k.freeWorkers(s, groups, view)
	if !now.Before(k.nextReport) {
		k.nextReport = now.Add(reportInterval)
		k.logReplicas(needs, free)
		k.warnOversizedModels(s, view, now)
	}
	counted := k.hasTraffic()
	forGroups, forIdle := k.allowedLoads(s, view, budget, now)
	in := Input{
		Needs: needs, Free: free, Warm: k.countWarm(s, view),
		MaxLoads: forGroups, MaxStagings: forIdle,
		ListGrowing: !counted && k.isListGrowing(s, view, now),
		HallLoss:    k.hallLossPolicy(), Serving: serving, Released: k.releasedDomains(needs, free, now), Trading: k.clearFinishedTrades(),
	}
	formations, stagings := Plan(in)
	if counted {
		formations = k.replaceLoadsByTrades(ctx, in, formations, groups, now)
	}
	for _, f := range formations {
		budget.record(f.Loads, counted, now)
		k.startForming(ctx, s, f)
	}
	if len(formations) == 0 && counted {
		k.startTrades(ctx, in, groups, now)
	}
	if !counted {
		stagings = append(k.longIdleOnly(stagings, now), k.secondModelStagings(s, view)...)
	}
	for _, stage := range k.withoutRecentlyRefused(stagings, now) {
		model, _ := s.Engine.Model(stage.Model)
		budget.record(1, counted, now)
		k.startStaging(ctx, k.knownWorkers[stage.Worker], model)
	}
	k.queryUnresponsive(ctx, view, now)
}

// logReplicas logs what is wanted and there.
func (k *Keeper) logReplicas(needs []Need, free []FreeWorker) {
	for _, n := range needs {
		k.opts.Logger.Info("replicas", "model", n.Model.Name, "want", n.Want, "have", n.Have,
			"work", k.smoothedWork[n.Model.Name].Busy, "prompts", int(k.smoothedWork[n.Model.Name].Prompts), "idle_workers", len(free))
	}
}

// hasTraffic reports whether requests come to the fleet, or may. A later leader
// takes a fleet for new only if nothing in it served when its term began.
func (k *Keeper) hasTraffic() bool { return !k.isNewFleet || k.opts.Traffic() }

// fleetNeverServed reports whether nothing has served yet. A process that started later may follow
// daemons that all ended at once while no replica was open, so that nobody is left who heard
// of requests: for it, what workers hold shows that the fleet is not new. Without that such
// a leader would begin more loads at once than may be.
func (k *Keeper) fleetNeverServed(view *fleet.View) bool {
	if k.term.First {
		return true
	}
	for _, w := range view.Workers() {
		if hasServed(w) || !k.term.FirstLife && hasModel(w) {
			return false
		}
	}
	return true
}

// hasServed reports whether a worker shows that its group was opened.
func hasServed(w *fleet.Worker) bool {
	return w.Member.State == fleet.Open || w.Member.State == fleet.Closing || w.Member.State == fleet.Broken
}

// hasModel reports whether a leader has given a worker something to do.
func hasModel(w *fleet.Worker) bool {
	return w.Member.Group != "" || w.Loaded != "" || len(w.Staged) > 0
}

// refreshWorkers notes who is listed and forgets the silence of those who left.
func (k *Keeper) refreshWorkers(view *fleet.View) {
	for id, w := range view.Workers() {
		k.knownWorkers[id] = w
		k.recordListedIncarnation(w)
	}
	for id := range k.unresponsive {
		if _, listed := view.Worker(id); !listed {
			delete(k.unresponsive, id)
		}
	}
}

// nextFence returns the fence of the next order.
func (k *Keeper) nextFence() Fence {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.nextFenceLocked()
}

// nextFenceLocked returns the fence of the next order while the mutex is held. A term that
// has no more of them ends, since a fence must never be lower than an earlier
// one; the orders on their way repeat the last.
func (k *Keeper) nextFenceLocked() Fence {
	if k.sequence == maxSequence {
		go k.onSuperseded()
	} else {
		k.sequence++
	}
	return NewFence(k.term.Epoch, k.term.Rank, k.sequence)
}

// membershipOf returns what is known of a worker's group: by its own word if that is
// newer than the list.
func (k *Keeper) membershipOf(w *fleet.Worker) fleet.Membership {
	o, ok := k.observations[w.ID]
	if k.isPastIncarnation(w) {
		return o.state.Member
	}
	if !ok || o.state.Member.Epoch < w.Member.Epoch {
		return w.Member
	}
	if a, absent := k.absent[w.ID]; absent && o.at.After(a.since) {
		return o.state.Member
	}
	if o.state.Member.Same(w.Member) && k.opts.Inventory.Confirmed().After(o.at) {
		return w.Member
	}
	if o.state.Member.Group == "" && w.Member.Group != "" && k.opts.Inventory.Confirmed().After(o.at.Add(listSettleTime)) {
		return w.Member
	}
	return o.state.Member
}

// recordState notes what a worker told.
func (k *Keeper) recordState(id string, s State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.recordReportedIncarnation(id, s.Born) {
		return
	}
	delete(k.unresponsive, id)
	now := time.Now()
	k.recordReport(id, s, now)
	held, ok := k.observations[id]
	outdated := held.state.Member.Epoch > s.Member.Epoch || held.at.After(now) && held.state.Member.Same(s.Member)
	if ok && outdated {
		return
	}
	k.observations[id] = observation{state: s, at: now}
}

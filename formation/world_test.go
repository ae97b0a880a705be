package formation

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/fleet"
)

var errNoAnswer = errors.New("no answer")

// simWorker simulates a worker in virtual time.
type simWorker struct {
	id, domain string
	// zone is the worker's data hall. If neverReady is set, the worker accepts joins but does not
	// become ready.
	zone       string
	neverReady bool
	isDead     bool
	isDraining bool
	// pausedUntil is the time until which the worker's process stands still. Its address accepts
	// connections meanwhile. Orders that arrive are carried out afterwards.
	pausedUntil time.Time
	// startedAt is the start time of the worker's incarnation. entryNumber is the number of list
	// entries that this incarnation has published.
	startedAt, entryNumber int64
	fence                  Fence
	epoch                  int64
	group                  Group
	state                  fleet.GroupState
	rank                   int
	lastModel              string
	staged                 string
	// isStaging reports whether the worker is staging a model. stageOrderCount is the number of
	// orders to stage a model that the worker received.
	isStaging       bool
	stageOrderCount int
	// orderCount is the number of orders that the worker has begun. reports holds the states that
	// the worker reports over time.
	orderCount int64
	reports    []timedState
}

// timedState is a state that a worker reports from a given time on.
type timedState struct {
	from  time.Time
	state WorkerState
}

// member returns the worker's group membership.
func (s *simWorker) member() fleet.Membership {
	return fleet.Membership{Group: s.group.Name, Epoch: s.group.Epoch, Rank: s.rank, State: s.state}
}

// world is a set of simulated workers. It checks invariants and records violations of them.
type world struct {
	mu           sync.Mutex
	random       *rand.Rand
	workers      map[string]*simWorker
	inventory    *fleet.Inventory
	listPosition int64
	// wasReady records which workers have been ready in a group, by group key and worker ID.
	wasReady map[string]bool
	// lateFraction is the fraction of orders that get no answer and are carried out later.
	lateFraction float64
	// ignoresFences reports whether workers carry out orders regardless of their fences.
	ignoresFences bool
	// delays holds the delays of the next attempts to send an order, by order and worker. These
	// attempts get no answer.
	delays map[string][]time.Duration
	// lateFromEpoch is the epoch from which all orders are late. Zero means none.
	lateFromEpoch int64
	hasTraffic    bool
	// demand is the measured work by model. drainTime is the time that draining a group takes.
	demand    map[string]Work
	drainTime time.Duration
	// openDelay is the time until the worker list shows that a group is open. openOrdersByGroup holds
	// the number of orders to open by group.
	openDelay         time.Duration
	openOrdersByGroup map[string]int
	// isListFrozen reports whether the worker list is no longer updated.
	isListFrozen bool
	// unreachableByLeader holds the workers that other daemons can reach but leaders cannot.
	unreachableByLeader map[string]bool
	// hasNoLinks is set while the leader's links are found to be down.
	hasNoLinks bool
	// unreachable holds the workers that no daemon can reach.
	unreachable map[string]bool
	// displaced holds the workers whose address is now used by another worker. displacedOrderCount
	// is the number of orders that such other workers got.
	displaced           map[string]bool
	displacedOrderCount int
	// hasYoungList reports whether leaders received the worker list only a short time ago.
	hasYoungList bool
	// loadsPerSecond is the limit on the rate at which loads may begin. loadStarts holds the start
	// times of loads.
	loadsPerSecond float64
	loadStarts     []time.Time
	// smoothed returns the work that daemons tracked before a term. isHallOpen reports whether a
	// hall is open.
	smoothed func() map[string]Work
	// refusesQueries holds workers whose state queries fail immediately.
	refusesQueries map[string]bool
	// attemptCounts holds the number of attempts to send an order, by kind of order.
	attemptCounts map[string]int
	isHallOpen    func(hall string) bool
	violations    []string
	pending       sync.WaitGroup
}

const (
	simLoadTime     = 12 * time.Second
	simWarmJoinTime = 1200 * time.Millisecond
	simHotJoinTime  = 200 * time.Millisecond
	simOpenTime     = 300 * time.Millisecond
	simReportLag    = 200 * time.Millisecond
	// simStartTime is the time when workers started, in Unix milliseconds.
	simStartTime = 1_700_000_000_000
	// simListDelay is the time until the worker list shows a change.
	simListDelay = 30 * time.Millisecond
)

var simLoadLimit = LoadLimit{Window: 5 * time.Second, RateFactor: 1.1}

var simModels = []fleet.Model{
	{Name: "big", Size: 4, InitialShare: 0.5, TimeFactor: 1, Load: simLoadTime, WarmLoad: simWarmJoinTime},
	{Name: "small", Size: 2, InitialShare: 0.5, TimeFactor: 1, Load: simLoadTime, WarmLoad: simWarmJoinTime},
}

func simConfig(loadsPerSecond float64) *fleet.Config {
	return fleet.NewConfig(fleet.Parts{Version: 1, Services: []*fleet.Service{{Name: "models", Engine: &fleet.Engine{
		Slots: 10, LoadsPerSecond: loadsPerSecond, MaxConcurrentLoads: 7, OpenDuration: simOpenTime, Models: simModels,
	}}}})
}

// newWorld returns a world in which all workers are listed.
func newWorld(seed uint64, domainCount, workersPerDomain int) *world {
	w := newUnlistedWorld(seed, domainCount, workersPerDomain)
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		w.publish(w.workers[id])
	}
	return w
}

// newUnlistedWorld returns a world in which no worker is listed yet.
func newUnlistedWorld(seed uint64, domainCount, workersPerDomain int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)), workers: make(map[string]*simWorker),
		demand: map[string]Work{"big": {BusySlots: 5}, "small": {BusySlots: 5}}, drainTime: time.Second,
		inventory: fleet.NewInventory(fleet.InventoryOptions{Heartbeat: 1200 * time.Millisecond}), wasReady: make(map[string]bool), unreachableByLeader: make(map[string]bool), unreachable: make(map[string]bool), displaced: make(map[string]bool),
		refusesQueries: make(map[string]bool), attemptCounts: make(map[string]int),
		delays: make(map[string][]time.Duration), openDelay: simOpenTime + simListDelay, openOrdersByGroup: make(map[string]int), loadsPerSecond: 5,
	}
	for d := range domainCount {
		for i := range workersPerDomain {
			s := &simWorker{id: fmt.Sprintf("w%d-%d", d, i), domain: fmt.Sprintf("d%d", d), startedAt: simStartTime}
			w.workers[s.id] = s
		}
	}
	return w
}

func (w *world) options() Options {
	config := simConfig(w.loadsPerSecond)
	return Options{
		Config: func() *fleet.Config { return config }, Inventory: w.inventory, Orders: w.orders(), IndirectLeave: w.indirectLeave,
		MeasuredWork: func() map[string]Work { return w.demand },
		HasTraffic:   func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.hasTraffic },
		FirstListAt: func() time.Time {
			if w.hasYoungList {
				return time.Now()
			}
			return time.Time{}
		},
		OnAnnouncement: func(a fleet.Announcement) { w.inventory.Decide(0, a) },
		OnOrderOutcome: w.countAttempt,
		AreLinksUp:     func(context.Context, *fleet.Worker) bool { w.mu.Lock(); defer w.mu.Unlock(); return !w.hasNoLinks },
		StallTimeout:   6 * time.Second, LoadLimit: simLoadLimit,
		SmoothedWork: w.smoothed, IsHallOpen: w.isHallOpen,
		Logger: hclog.NewNullLogger(),
	}
}

// recordState records a worker's state. The worker's reports show it after simReportLag. The caller
// must hold w.mu.
func (w *world) recordState(s *simWorker) {
	s.reports = append(s.reports, timedState{from: time.Now().Add(simReportLag), state: WorkerState{
		Membership: s.member(), LoadedModel: s.lastModel, StagedModels: []string{s.staged}, OrderCount: s.orderCount, StartedAt: s.startedAt,
	}})
}

// reportedState returns the state that a worker reports now. The caller must hold w.mu.
func (s *simWorker) reportedState(now time.Time) WorkerState {
	for len(s.reports) > 1 && !s.reports[1].from.After(now) {
		s.reports = s.reports[1:]
	}
	if len(s.reports) == 0 || s.reports[0].from.After(now) {
		return WorkerState{}
	}
	return s.reports[0].state
}

// publish writes a worker's entry to the worker list. The caller must hold w.mu.
func (w *world) publish(s *simWorker) {
	w.recordState(s)
	if w.isListFrozen {
		return
	}
	w.listPosition++
	change := fleet.Change{ID: s.id}
	if !s.isDead {
		entry := &fleet.Worker{
			ID: s.id, Service: "models", Address: s.id, Domain: s.domain, Zone: s.zone, Slots: 10, Draining: s.isDraining,
			Member: s.member(), StartedAt: s.startedAt, HeartbeatCount: s.entryNumber,
		}
		s.entryNumber++
		if s.group.Name != "" {
			// A worker without a group does not report a model.
			entry.Loaded = s.lastModel
		}
		if s.staged != "" {
			entry.Staged = []string{s.staged}
		}
		change.Worker = entry
	}
	w.inventory.Apply([]fleet.Change{change}, w.listPosition, time.Now())
}

// drainBigMembers starts traffic and marks one member other than the head of each large group as
// leaving. It returns the IDs of these members.
func (w *world) drainBigMembers() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasTraffic = true
	var leaving []string
	for id, s := range w.workers {
		if s.group.Model == "big" && s.rank == 1 {
			s.isDraining = true
			w.publish(s)
			leaving = append(leaving, id)
		}
	}
	return leaving
}

// servingMembersOf returns the given workers that are members of open groups.
func (w *world) servingMembersOf(ids []string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []string
	for _, s := range w.workers {
		if s.state != fleet.Open || s.rank != 0 {
			continue
		}
		for _, id := range ids {
			if slices.Contains(s.group.Members, id) {
				all = append(all, id)
			}
		}
	}
	return all
}

// kill stops a worker without warning. The worker list shows this after 3.6 s.
func (w *world) kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].isDead = true
	w.pending.Go(func() {
		time.Sleep(3600 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.publish(w.workers[id])
	})
}

// pause lets a worker's process stand still for a while.
func (w *world) pause(id string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].pausedUntil = time.Now().Add(d)
}

// awaitWake waits until a paused worker goes on, or returns ErrSilent when ctx is done. The caller
// must not hold w.mu.
func (w *world) awaitWake(ctx context.Context, s *simWorker) error {
	w.mu.Lock()
	rest := time.Until(s.pausedUntil)
	w.mu.Unlock()
	if rest <= 0 {
		return nil
	}
	select {
	case <-time.After(rest):
		return nil
	case <-ctx.Done():
		return ErrSilent
	}
}

// delay reports whether an order is late, and returns its delay. The caller must hold w.mu.
func (w *world) delay(order, id string, fence Fence) (time.Duration, bool) {
	randomDelay := time.Duration(2+w.random.IntN(10)) * time.Second
	isLate := w.random.Float64() < w.lateFraction || w.lateFromEpoch > 0 && fence >= NewFence(w.lateFromEpoch, 0, 0)
	key := order + " " + id
	if delays := w.delays[key]; len(delays) > 0 {
		w.delays[key] = delays[1:]
		return delays[0], true
	}
	return randomDelay, isLate
}

// execute carries out an order, either immediately or after its delay. It returns the worker's
// answer, or an error if the worker is unreachable or the order is late.
func (w *world) execute(ctx context.Context, order, id string, fence Fence, do func(*simWorker) Verdict) (Verdict, error) {
	w.mu.Lock()
	s := w.workers[id]
	if w.displaced[id] {
		w.displacedOrderCount++
		w.mu.Unlock()
		return WrongWorker, nil
	}
	isUnreachable := s.isDead || w.unreachableByLeader[id] || w.unreachable[id]
	delay, isLate := w.delay(order, id, fence)
	incarnation := s.startedAt
	w.mu.Unlock()
	apply := func() Verdict {
		w.mu.Lock()
		defer w.mu.Unlock()
		if s.isDead || s.startedAt != incarnation {
			// Orders to an earlier incarnation are dropped.
			return StateMismatch
		}
		if !w.ignoresFences && fence < s.fence {
			return Fenced
		}
		s.fence = fence
		verdict := do(s)
		if verdict == Started {
			s.orderCount++
		}
		w.recordState(s)
		return verdict
	}
	if isLate && !isUnreachable {
		w.pending.Go(func() {
			time.Sleep(delay)
			apply()
		})
	}
	if isUnreachable || isLate {
		<-ctx.Done()
		return StateMismatch, errNoAnswer
	}
	return w.deliver(ctx, s, apply)
}

// deliver carries out an order and returns the worker's answer. If the worker stands still for too
// long, it returns an error, and the order is carried out when the worker goes on.
func (w *world) deliver(ctx context.Context, s *simWorker, apply func() Verdict) (Verdict, error) {
	if err := w.awaitWake(ctx, s); err != nil {
		w.pending.Go(func() {
			if w.awaitWake(context.Background(), s) == nil {
				apply()
			}
		})
		return StateMismatch, err
	}
	time.Sleep(2 * time.Millisecond)
	return apply(), nil
}

// orders returns the functions with which leaders send orders to the workers.
func (w *world) orders() WorkerClient {
	return WorkerClient{Join: w.join, Stage: w.stage, Open: w.open, Close: w.closeGroup, Leave: w.leaveGroup, QueryState: w.ask}
}

func (w *world) join(ctx context.Context, worker *fleet.Worker, fence Fence, orderCount int64, g Group) (Verdict, error) {
	return w.execute(ctx, "join", worker.ID, fence, func(s *simWorker) Verdict {
		if orderCount != s.orderCount {
			return StateMismatch
		}
		if g.Epoch < s.epoch || s.group.Name == g.Name && !slices.Equal(s.group.Members, g.Members) {
			return Fenced
		}
		if s.group.Name == g.Name {
			return AlreadyStarted
		}
		w.checkNotServing(s, g)
		s.epoch, s.group, s.state, s.rank = g.Epoch, g, fleet.Joining, slices.Index(g.Members, s.id)
		joinTime := simLoadTime
		switch g.Model {
		case s.lastModel:
			joinTime = simHotJoinTime
		case s.staged:
			joinTime = simWarmJoinTime
		}
		if joinTime == simLoadTime {
			joinTime = w.startLoad()
		}
		w.publish(s)
		if s.neverReady {
			return Started
		}
		w.changeLater(joinTime, s, g, func() {
			s.state, s.lastModel, s.staged = fleet.Ready, g.Model, g.Model
			w.wasReady[g.Key()+s.id] = true
		})
		return Started
	})
}

// startLoad records a load from the weight store, checks that the limit on loads is kept, and
// returns how long the load takes. Before the first request, loads are quick and not counted. The
// caller must hold w.mu.
func (w *world) startLoad() time.Duration {
	if !w.hasTraffic {
		return simLoadTime / 10
	}
	now := time.Now()
	w.loadStarts = append(w.loadStarts, now)
	recentLoads := 0
	for _, at := range w.loadStarts {
		if now.Sub(at) < simLoadLimit.Window {
			recentLoads++
		}
	}
	limit := w.loadsPerSecond*simLoadLimit.Window.Seconds()*simLoadLimit.RateFactor + loadLimitAllowance
	if float64(recentLoads) > limit {
		w.violations = append(w.violations, fmt.Sprintf("%d loads began within %s", recentLoads, simLoadLimit.Window))
	}
	return simLoadTime
}

// changeLater applies a change to a worker after a delay, if the worker is still in the group then.
func (w *world) changeLater(delay time.Duration, s *simWorker, g Group, change func()) {
	w.pending.Go(func() {
		time.Sleep(delay)
		w.mu.Lock()
		defer w.mu.Unlock()
		if !s.isDead && s.group.Name == g.Name {
			change()
			w.publish(s)
		}
	})
}

func (w *world) open(ctx context.Context, worker *fleet.Worker, fence Fence, g Group) (Verdict, error) {
	w.mu.Lock()
	w.openOrdersByGroup[g.Key()]++
	w.mu.Unlock()
	return w.execute(ctx, "open", worker.ID, fence, func(s *simWorker) Verdict {
		if s.group.Name != g.Name || s.rank != 0 || s.state != fleet.Ready && s.state != fleet.Open {
			return StateMismatch
		}
		if s.state == fleet.Open {
			return AlreadyStarted
		}
		w.checkComplete(s)
		w.changeLater(w.openDelay, s, g, func() { s.state = fleet.Open })
		return Started
	})
}

func (w *world) closeGroup(ctx context.Context, worker *fleet.Worker, fence Fence, g Group) (Verdict, error) {
	return w.execute(ctx, "close", worker.ID, fence, func(s *simWorker) Verdict {
		if s.group.Name != g.Name || s.state != fleet.Open {
			return StateMismatch
		}
		s.state = fleet.Closing
		w.publish(s)
		w.changeLater(w.drainTime, s, g, func() { s.state = fleet.Ready })
		return Started
	})
}

func (w *world) leaveGroup(ctx context.Context, worker *fleet.Worker, fence Fence, g Group) (Verdict, error) {
	return w.execute(ctx, "leave", worker.ID, fence, func(s *simWorker) Verdict { return w.leave(s, g) })
}

// indirectLeave sends an order to leave through other daemons. It also reaches workers that only
// the leader cannot reach.
func (w *world) indirectLeave(ctx context.Context, worker *fleet.Worker, _ Fence, g Group) (Verdict, error) {
	w.mu.Lock()
	s := w.workers[worker.ID]
	isReachable := !s.isDead && !w.unreachable[s.id]
	w.mu.Unlock()
	if !isReachable {
		<-ctx.Done()
		return StateMismatch, errNoAnswer
	}
	return w.deliver(ctx, s, func() Verdict {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.leave(s, g)
	})
}

// leave removes a worker from a group. The caller must hold w.mu.
func (w *world) leave(s *simWorker, g Group) Verdict {
	if s.group.Name == g.Name {
		s.group, s.state, s.rank = Group{}, "", 0
		s.orderCount++
		w.recordState(s)
		w.publish(s)
	}
	return AlreadyStarted
}

func (w *world) stage(ctx context.Context, worker *fleet.Worker, fence Fence, orderCount int64, model string) (Verdict, error) {
	return w.execute(ctx, "stage", worker.ID, fence, func(s *simWorker) Verdict {
		if orderCount != s.orderCount {
			return StateMismatch
		}
		s.stageOrderCount++
		switch {
		case s.isStaging:
			return StateMismatch
		case s.staged == model:
			return AlreadyStarted
		}
		s.isStaging = true
		wait, incarnation := w.startLoad(), s.startedAt
		w.pending.Go(func() {
			time.Sleep(wait)
			w.mu.Lock()
			defer w.mu.Unlock()
			if s.startedAt != incarnation {
				return
			}
			s.staged, s.isStaging = model, false
			w.publish(s)
		})
		return Started
	})
}

// countAttempt counts an attempt to send an order.
func (w *world) countAttempt(order, _ string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attemptCounts[order]++
}

func (w *world) ask(ctx context.Context, worker *fleet.Worker) (WorkerState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.workers[worker.ID]
	if w.displaced[worker.ID] {
		return WorkerState{}, ErrWrongWorker
	}
	if w.refusesQueries[worker.ID] {
		return WorkerState{}, errNoAnswer
	}
	if s.isDead || w.unreachableByLeader[worker.ID] || w.unreachable[worker.ID] {
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return WorkerState{}, errNoAnswer
	}
	w.mu.Unlock()
	err := w.awaitWake(ctx, s)
	w.mu.Lock()
	if err != nil {
		return WorkerState{}, err
	}
	return s.reportedState(time.Now()), nil
}

// checkComplete records a violation if a group is opened before all its members have been ready.
func (w *world) checkComplete(head *simWorker) {
	model := simModels[slices.IndexFunc(simModels, func(m fleet.Model) bool { return m.Name == head.group.Model })]
	if len(head.group.Members) != model.Size {
		w.violations = append(w.violations, fmt.Sprintf("%s opened with %d members", head.group.Name, len(head.group.Members)))
	}
	for _, id := range head.group.Members {
		if !w.wasReady[head.group.Key()+id] {
			w.violations = append(w.violations, fmt.Sprintf("%s opened although %s was never ready", head.group.Name, id))
		}
	}
}

// checkNotServing records a violation if a worker joins a group while it is a member of another
// group that serves.
func (w *world) checkNotServing(s *simWorker, g Group) {
	if len(s.group.Members) == 0 {
		return
	}
	head := w.workers[s.group.Members[0]]
	serving := head.state == fleet.Open || head.state == fleet.Closing
	if !head.isDead && head.group.Name == s.group.Name && serving {
		w.violations = append(w.violations, fmt.Sprintf("%s joins %s while %s needs it to serve", s.id, g.Name, s.group.Name))
	}
}

// countServing returns the number of open groups whose members are all present, by model.
func (w *world) countServing() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int)
	for _, s := range w.workers {
		if s.isDead || s.state != fleet.Open || s.rank != 0 {
			continue
		}
		isComplete := true
		for _, id := range s.group.Members {
			m := w.workers[id]
			isComplete = isComplete && !m.isDead && m.group.Name == s.group.Name
		}
		if isComplete {
			counts[s.group.Model]++
		}
	}
	return counts
}

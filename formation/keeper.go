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
	tickEvery = 100 * time.Millisecond
	// callsAtOnce bounds the calls to workers that are under way, and the connections for
	// them.
	callsAtOnce = 64
	// orderTimeout bounds an order, askTimeout a question to a worker.
	orderTimeout = 200 * time.Millisecond
	askTimeout   = 200 * time.Millisecond
	// indirectTimeout bounds an order through other daemons.
	indirectTimeout = 500 * time.Millisecond
	// orderTries is how often an order that got no answer is given, each time
	// with a new fence.
	orderTries = 6
	// askEvery is how often a worker is asked while its list entry is awaited.
	askEvery = 250 * time.Millisecond
	// joinSlack is how much longer than expected a join may take.
	joinSlack = 3 * time.Second
	// slowLoads is a factor on loading times, since loads slow each other.
	slowLoads = 4
	// settleFor is how long after an operation the list may lag behind it.
	settleFor = time.Second
	// settleYoung is the same in a process that has known the list for less
	// than youngFor.
	settleYoung = 4 * time.Second
	youngFor    = 10 * time.Second
	// drainMost is how long a group's requests may hold up its dissolution.
	drainMost = 8 * time.Second
	// reviveEvery is how often a worker that was silent is asked again.
	reviveEvery = 2 * time.Second
	// lostHead is how long a head must be unreachable, and unlisted, before its
	// members are freed without its answer.
	lostHead = 1200 * time.Millisecond
	// listStale is how old the list may be before workers are asked what it would
	// tell. The leader reads it with waits of 0.3 s, so two reads have failed.
	listStale = 800 * time.Millisecond
	// listFresh is how old the list may be to prove that a worker is gone.
	listFresh = 4 * time.Second
	// reportEvery is the time between two lines about what is wanted and there.
	reportEvery = 3 * time.Second
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
	// fresh tells that nothing served when the term began.
	fresh    bool
	outdone  func()
	group    conc.WaitGroup
	done     chan struct{}
	suspects chan string

	mu       sync.Mutex
	sequence int64
	// known holds what workers told directly, by id.
	known map[string]observation
	// busy holds the workers that an operation is about.
	busy map[string]bool
	// operating holds the groups that an operation is about.
	operating map[string]bool
	// examining holds the replicas whose members are being asked.
	examining map[string]bool
	// retired holds the groups that no longer hold their members: the head
	// confirmed that it left, or it answers nobody.
	retired map[string]retirement
	// dissolved holds the groups whose head confirmed that it left.
	dissolved map[string]dissolution
	// heads holds, by group, the head that the list showed.
	heads map[string]string
	// formed holds the groups formed in this term, by key.
	formed map[string]Group
	// silent holds the workers that do not answer, with when to ask again.
	silent map[string]time.Time
	// positions holds, by worker, how many orders it has begun and its group.
	positions map[string]position
	// lives holds when the present lives of workers began.
	lives map[string]life
	// former holds all workers that were ever listed.
	former map[string]*fleet.Worker
	// seenView is the list as the last look found it, absent holds the workers that
	// left it while in a group.
	seenView *fleet.View
	absent   map[string]*absence
	// ended holds the workers at whose address another one answered.
	ended map[string]bool
	// interrupted holds the workers that may have been cut off while they joined a group.
	interrupted map[string]interruption
	// headless holds since when groups have had no listed head.
	headless map[string]time.Time
	// loading holds the loads that workers make, by worker.
	loading map[string]load
	// seen holds since when groups have been known.
	seen   map[string]time.Time
	loads  map[string]*loads
	smooth map[string]Work
	// trafficSince is when this leader first knew of requests.
	trafficSince time.Time
	// leaveBy holds, by group, until when one with a leaving member may serve.
	leaveBy map[string]time.Time
	// leaveNext holds, by model, when the next of these is dissolved.
	leaveNext map[string]time.Time
	// stageNext holds when workers that refused to stage may be asked again.
	stageNext map[string]time.Time
	// growths holds how the list of a new fleet grows, by service.
	growths map[string]*growth
	// calls bounds the calls to workers that are under way.
	calls chan struct{}
	// idleSince holds since when workers have had nothing to do at the start.
	idleSince map[string]time.Time
	// reportNext is when what is wanted and there is logged again.
	reportNext time.Time
	// tradeNext is when groups may be given up for another model again, trades
	// holds those whose groups may yet serve.
	tradeNext time.Time
	trades    []Exchange
	// doubts holds, by worker that kept a group from being formed, until when others are
	// preferred.
	doubts map[string]time.Time
	// releaseAt holds, by domain, when idle workers that can't make a group of a model
	// that is short serve another one.
	releaseAt map[string]time.Time
	halls     hallStates
	// settledAt is when groups may be given up for another model: not before reports of
	// all daemons came to a new leader, nor just after a data hall was closed or opened.
	settledAt time.Time
	// oversized holds the models that are known to be larger than any domain.
	oversized map[string]bool
}

// load is a load of a model's weights that counts until its end is seen or its
// time is up.
type load struct {
	model string
	until time.Time
}

// retirement says how it is known that a group's head takes no more requests.
type retirement int

const (
	// assumed retirements rest on the head's silence.
	assumed retirement = iota + 1
	// confirmed retirements rest on the head's own word.
	confirmed
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
		opts: opts, term: term, outdone: outdone,
		done: make(chan struct{}), suspects: make(chan string, 64),
		known:       make(map[string]observation),
		positions:   make(map[string]position),
		busy:        make(map[string]bool),
		operating:   make(map[string]bool),
		examining:   make(map[string]bool),
		retired:     make(map[string]retirement),
		dissolved:   make(map[string]dissolution),
		heads:       make(map[string]string),
		formed:      make(map[string]Group),
		silent:      make(map[string]time.Time),
		former:      make(map[string]*fleet.Worker),
		lives:       make(map[string]life),
		seenView:    view,
		absent:      make(map[string]*absence),
		ended:       make(map[string]bool),
		interrupted: make(map[string]interruption),
		headless:    make(map[string]time.Time),
		loading:     make(map[string]load),
		seen:        make(map[string]time.Time),
		loads:       make(map[string]*loads),
		smooth:      make(map[string]Work),
		leaveBy:     make(map[string]time.Time),
		leaveNext:   make(map[string]time.Time),
		stageNext:   make(map[string]time.Time),
		growths:     make(map[string]*growth),
		calls:       make(chan struct{}, callsAtOnce),
		doubts:      make(map[string]time.Time),
		releaseAt:   make(map[string]time.Time),
		oversized:   make(map[string]bool),
	}
	k.inheritDemand()
	if !term.First {
		k.settledAt = time.Now().Add(settleFor)
	}
	k.fresh = k.isFresh(view)
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
	defer k.group.Wait()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-k.opts.Inventory.Changed():
		case replica := <-k.suspects:
			k.examine(ctx, replica)
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
	k.refresh(view)
	k.refreshAbsent(view, now)
	k.askAbsent(ctx, now)
	for _, s := range config.Services() {
		if s.Engine != nil {
			k.tickService(ctx, s, view, now)
		}
	}
}

func (k *Keeper) tickService(ctx context.Context, s *fleet.Service, view *fleet.View, now time.Time) {
	groups := k.groups(s, view)
	for _, g := range groups {
		k.mend(ctx, g, now)
	}
	k.refreshHalls(s, view, now)
	budget := k.budget(s, now)
	needs, serving := k.needs(s, groups, view)
	free := k.free(s, groups, view)
	if !now.Before(k.reportNext) {
		k.reportNext = now.Add(reportEvery)
		k.report(needs, free)
		k.noteOversized(s, view, now)
	}
	counted := k.traffic()
	forGroups, forIdle := k.room(s, view, budget, now)
	in := Input{
		Needs: needs, Free: free, Warm: k.warm(s, view),
		MaxLoads: forGroups, MaxStagings: forIdle,
		Growing: !counted && k.listGrows(s, view, now),
		Halls:   k.reserve(), Serving: serving, Released: k.released(needs, free, now), Trading: k.endTrades(),
	}
	formations, stagings := Plan(in)
	if counted {
		formations = k.insteadOfLoads(ctx, in, formations, groups, now)
	}
	for _, f := range formations {
		budget.take(f.Loads, counted, now)
		k.beginForm(ctx, s, f)
	}
	if len(formations) == 0 && counted {
		k.trade(ctx, in, groups, now)
	}
	if !counted {
		stagings = append(k.longIdle(stagings, now), k.seconds(s, view)...)
	}
	for _, stage := range k.due(stagings, now) {
		model, _ := s.Engine.Model(stage.Model)
		budget.take(1, counted, now)
		k.beginStage(ctx, k.former[stage.Worker], model)
	}
	k.revive(ctx, view, now)
}

// report logs what is wanted and there.
func (k *Keeper) report(needs []Need, free []Free) {
	for _, n := range needs {
		k.opts.Logger.Info("replicas", "model", n.Model.Name, "want", n.Want, "have", n.Have,
			"work", k.smooth[n.Model.Name].Busy, "prompts", int(k.smooth[n.Model.Name].Prompts), "idle_workers", len(free))
	}
}

// traffic reports whether requests come to the fleet, or may. A later leader
// takes a fleet for new only if nothing in it served when its term began.
func (k *Keeper) traffic() bool { return !k.fresh || k.opts.Traffic() }

// isFresh reports whether nothing has served yet. A process that started later may follow
// daemons that all ended at once while no replica was open, so that nobody is left who heard
// of requests: for it, what workers hold shows that the fleet is not new. Without that such
// a leader would begin more loads at once than may be.
func (k *Keeper) isFresh(view *fleet.View) bool {
	if k.term.First {
		return true
	}
	for _, w := range view.Workers() {
		if served(w) || !k.term.FirstLife && holdsModel(w) {
			return false
		}
	}
	return true
}

// served reports whether a worker shows that its group was opened.
func served(w *fleet.Worker) bool {
	return w.Member.State == fleet.Open || w.Member.State == fleet.Closing || w.Member.State == fleet.Broken
}

// holdsModel reports whether a leader has given a worker something to do.
func holdsModel(w *fleet.Worker) bool {
	return w.Member.Group != "" || w.Loaded != "" || len(w.Staged) > 0
}

// refresh notes who is listed and forgets the silence of those who left.
func (k *Keeper) refresh(view *fleet.View) {
	for id, w := range view.Workers() {
		k.former[id] = w
		k.noteListed(w)
	}
	for id := range k.silent {
		if _, listed := view.Worker(id); !listed {
			delete(k.silent, id)
		}
	}
}

// fence returns the fence of the next order.
func (k *Keeper) fence() Fence {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.next()
}

// next returns the fence of the next order while the mutex is held. A term that
// has no more of them ends, since a fence must never be lower than an earlier
// one; the orders on their way repeat the last.
func (k *Keeper) next() Fence {
	if k.sequence == maxSequence {
		go k.outdone()
	} else {
		k.sequence++
	}
	return NewFence(k.term.Epoch, k.term.Rank, k.sequence)
}

// member returns what is known of a worker's group: by its own word if that is
// newer than the list.
func (k *Keeper) member(w *fleet.Worker) fleet.Membership {
	o, ok := k.known[w.ID]
	if k.isOver(w) {
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
	if o.state.Member.Group == "" && w.Member.Group != "" && k.opts.Inventory.Confirmed().After(o.at.Add(settleFor)) {
		return w.Member
	}
	return o.state.Member
}

// learn notes what a worker told.
func (k *Keeper) learn(id string, s State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.noteReported(id, s.Born) {
		return
	}
	delete(k.silent, id)
	now := time.Now()
	k.reported(id, s, now)
	held, ok := k.known[id]
	outdated := held.state.Member.Epoch > s.Member.Epoch || held.at.After(now) && held.state.Member.Same(s.Member)
	if ok && outdated {
		return
	}
	k.known[id] = observation{state: s, at: now}
}

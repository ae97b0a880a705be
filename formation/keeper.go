package formation

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/fleet"
)

// Timing of a keeper.
const (
	tickEvery = 100 * time.Millisecond
	// orderTimeout bounds an order, askTimeout a question to a worker.
	orderTimeout = 500 * time.Millisecond
	askTimeout   = 300 * time.Millisecond
	// orderTries is how often an order that got no answer is given, each time
	// with a new fence.
	orderTries = 3
	// askEvery is how often a worker is asked while its list entry is awaited.
	askEvery = 250 * time.Millisecond
	// joinSlack is how much longer than expected a join may take.
	joinSlack = 3 * time.Second
	// slowLoads is a factor on loading times, since loads slow each other.
	slowLoads = 4
	// settleFor is how long after an operation the list may lag behind it.
	settleFor = time.Second
	// drainMost is how long a group's requests may hold up its dissolution.
	drainMost = 8 * time.Second
	// reviveEvery is how often a worker that was silent is asked again.
	reviveEvery = 2 * time.Second
	// lostHead is how long a head must be unreachable, and unlisted, before
	// its group is taken for gone.
	lostHead = 1200 * time.Millisecond
	// listFresh is how old the list may be to prove that a worker is gone.
	listFresh = 4 * time.Second
	// bootWindow is how long after its start a daemon may take the fleet for new.
	bootWindow = 15 * time.Second
)

// Options configures a Keeper.
type Options struct {
	Config    func() *fleet.Config
	Inventory *fleet.Inventory
	Orders    Orders
	// Demand returns the measured work of each model in busy slots.
	Demand func() map[string]float64
	// Announced is called with each decision about a group.
	Announced func(a fleet.Announcement)
	// StallAfter is how long a group whose member is gone stands still before
	// it is broken.
	StallAfter time.Duration
	Ceiling    Ceiling
	Logger     hclog.Logger
}

// Term is what a leader leads under.
type Term struct {
	Epoch int64
	Rank  int
	// First tells that nobody led the fleet before.
	First bool
}

// Keeper forms and mends replicas for one term.
type Keeper struct {
	opts     Options
	term     Term
	start    time.Time
	outdone  func()
	group    conc.WaitGroup
	done     chan struct{}
	suspects chan string

	mu       sync.Mutex
	sequence int64
	// known holds what workers told directly, by id.
	known map[string]observation
	// busy holds the workers that an operation is about, with until when the
	// list may still show what was before; zero while the operation runs.
	busy map[string]time.Time
	// operating holds the groups that an operation is about.
	operating map[string]bool
	// retired holds the groups whose head is certain to take no more requests.
	retired map[string]bool
	// formed holds the groups formed in this term, by key.
	formed map[string]Group
	// silent holds the workers that do not answer, with when to ask again.
	silent map[string]time.Time
	// former holds workers that left the list.
	former map[string]*fleet.Worker
	// headless holds since when groups have had no listed head.
	headless map[string]time.Time
	loads    map[string]*loads
	smooth   map[string]float64
}

// observation is what a worker told directly.
type observation struct {
	state State
	at    time.Time
}

// NewKeeper returns a keeper for a term. It calls outdone when a worker shows
// that another leader has a higher term.
func NewKeeper(opts Options, term Term, outdone func()) *Keeper {
	return &Keeper{
		opts: opts, term: term, start: time.Now(), outdone: outdone,
		done: make(chan struct{}), suspects: make(chan string, 64),
		known: make(map[string]observation), busy: make(map[string]time.Time),
		operating: make(map[string]bool), retired: make(map[string]bool), formed: make(map[string]Group),
		silent: make(map[string]time.Time), former: make(map[string]*fleet.Worker),
		headless: make(map[string]time.Time), loads: make(map[string]*loads), smooth: make(map[string]float64),
	}
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
	view := k.opts.Inventory.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh(view, now)
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
	needs := k.needs(s, groups, view)
	budget := k.budget(s, now)
	for _, f := range Plan(needs, k.free(s, groups, view, now), budget.available(now)) {
		budget.take(f.Loads)
		k.beginForm(ctx, s, f)
	}
	k.revive(ctx, view, now)
}

// budget returns the bound on loads of a service.
func (k *Keeper) budget(s *fleet.Service, now time.Time) *loads {
	l, ok := k.loads[s.Name]
	if !ok {
		l = &loads{}
		k.loads[s.Name] = l
	}
	burst := s.Engine.LoadsAtOnce
	for _, m := range s.Engine.Models {
		burst = max(burst, m.Size)
	}
	l.limit(k.opts.Ceiling, s.Engine.LoadsPerSecond, float64(burst), k.term.First, now)
	return l
}

// refresh forgets what the list has overtaken and notes who left it.
func (k *Keeper) refresh(view *fleet.View, now time.Time) {
	for id, until := range k.busy {
		if !until.IsZero() && now.After(until) {
			delete(k.busy, id)
		}
	}
	for id, w := range view.Workers() {
		k.former[id] = w
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
	k.sequence++
	return NewFence(k.term.Epoch, k.term.Rank, k.sequence)
}

// member returns what is known of a worker's group: by its own word if that is
// newer than the list.
func (k *Keeper) member(w *fleet.Worker) fleet.Membership {
	o, ok := k.known[w.ID]
	if !ok || o.state.Member.Epoch < w.Member.Epoch {
		return w.Member
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
	delete(k.silent, id)
	if held, ok := k.known[id]; ok && held.state.Member.Epoch > s.Member.Epoch {
		return
	}
	k.known[id] = observation{state: s, at: time.Now()}
}

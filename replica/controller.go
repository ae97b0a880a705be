package replica

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/config"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/placement"
)

// Timing of a controller.
const (
	tickEvery   = 500 * time.Millisecond
	listEvery   = 2 * time.Second
	listTimeout = time.Second
	// listFresh is how old the node list may be for a daemon to begin to lead:
	// from an older one it would not know which nodes are leaving.
	listFresh = 3500 * time.Millisecond
	// yieldAfter is how long a leader may fail to reach most nodes before it lets
	// another daemon lead, and yieldFor for how long it then does not.
	yieldAfter = 5 * time.Second
	yieldFor   = 20 * time.Second
	// regainLimit bounds the wait for the node list after nodes are reached again.
	regainLimit = 10 * time.Second
	// listOutage is how long a domain must have been without a current report
	// before a daemon leads it by an older list: then nobody has a newer one.
	listOutage   = 4 * time.Second
	probeTimeout = 400 * time.Millisecond
	orderTimeout = 2 * time.Second
	// probeFresh is how old the probe may be on which an order rests.
	probeFresh = time.Second
	// loseAfter is how long a node may be silent before it is given up. Its
	// replica is dark meanwhile, so more patience costs both measures; see
	// docs/MEASUREMENTS.md.
	loseAfter = 1500 * time.Millisecond
	// loseManyAfter is the same when more than half of a domain falls silent at
	// once: then the fault may be on the way to it.
	loseManyAfter = 5 * time.Second
	// renewals is how often a permit is renewed while it lasts.
	renewals     = 6
	proposeEvery = 2 * time.Second
	// rebalanceAfter is how long another daemon must be better placed to own a
	// domain before it gets it.
	rebalanceAfter = 30 * time.Second
	// proposeTimeout bounds the append of a grant.
	proposeTimeout = 3 * time.Second
	// loadLag is how old a load report may be.
	loadLag = 2 * time.Second
	// drainLimit is how long requests in flight may hold up a planned move.
	drainLimit = 10 * time.Minute
	// staleSupply is how long a domain counts after its report has run out.
	staleSupply = 30 * time.Second
	// unfencedLease and unfencedMargin bound orders to nodes that do not check tokens.
	unfencedLease  = 5 * time.Second
	unfencedMargin = 2 * time.Second
	// probeParallel is how many nodes of a domain are asked at a time.
	probeParallel = 64
)

// DefaultServeWindow is how long after the start of a probe a replica may
// serve. It is longer than a deputy takes to take over, so that the loss of a
// daemon does not darken replicas.
const DefaultServeWindow = 6 * time.Second

// Members is what the controller asks of membership.
type Members interface {
	// Gone reports whether a daemon is dead or has departed.
	Gone(id string) bool
	// Leaving reports whether a daemon has begun a planned stop.
	Leaving(id string) bool
	// Candidates returns the daemons that are alive and staying; those in the
	// data hall are marked as local.
	Candidates(dataHall string) []ownership.Candidate
}

// Options configures a Controller.
type Options struct {
	Self    string
	Config  func() *config.View
	List    cluster.NodeList
	Control cluster.NodeControl
	Catalog *catalog.Catalog
	Members Members
	// Ownership holds the grants; AppendGrant appends one and returns once it
	// is folded.
	Ownership   *ownership.State
	AppendGrant func(ctx context.Context, record json.RawMessage) error
	// OwnershipConfirmed returns when the newest successful read of the stream
	// of grants began.
	OwnershipConfirmed func() time.Time
	ServeWindow        time.Duration
	// LoadSlots is how many replicas of a domain may load weights at a time.
	LoadSlots int
	Logger    hclog.Logger
}

// Controller looks after the domains that this daemon owns.
type Controller struct {
	opts       Options
	done       chan struct{}
	background conc.WaitGroup

	mu     sync.Mutex
	listed map[string][]cluster.ListedNode
	// listedAt is when the newest successful read of the node list began.
	listedAt time.Time
	// listFailedAt is when a read of the node list last failed.
	listFailedAt time.Time
	plans        map[string]placement.Plan
}

// NewController returns a controller; Run makes it work.
func NewController(opts Options) *Controller {
	if opts.ServeWindow == 0 {
		opts.ServeWindow = DefaultServeWindow
	}
	return &Controller{
		opts: opts, done: make(chan struct{}),
		listed: make(map[string][]cluster.ListedNode), plans: make(map[string]placement.Plan),
	}
}

// Done is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Plan returns the last plan made for a domain that this daemon leads.
func (c *Controller) Plan(domain string) (placement.Plan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plans[domain]
	return p, ok
}

func (c *Controller) remember(domain string, p placement.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans[domain] = p
}

// Run looks after domains until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	var group conc.WaitGroup
	group.Go(func() { c.pollList(ctx) })
	group.Go(func() { c.tickDomains(ctx) })
	group.Wait()
	c.background.Wait()
}

// pollList reads the node list again and again. While it cannot be read, the
// last one stands.
func (c *Controller) pollList(ctx context.Context) {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.readList(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (c *Controller) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	start := time.Now()
	nodes, err := c.opts.List.Nodes(ctx)
	if err != nil {
		c.opts.Logger.Debug("node list not read", "error", err)
		c.mu.Lock()
		c.listFailedAt = time.Now()
		c.mu.Unlock()
		return
	}
	byDomain := make(map[string][]cluster.ListedNode)
	for _, n := range nodes {
		byDomain[n.Domain] = append(byDomain[n.Domain], n)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for domain := range c.listed {
		// A domain whose nodes all left the list is still looked after.
		if _, ok := byDomain[domain]; !ok {
			byDomain[domain] = nil
		}
	}
	c.listed, c.listedAt = byDomain, start
}

// heldUp reports whether the node list is old though no read of it has failed:
// then this process was held up, and must read the list before it reports.
func (c *Controller) heldUp(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.After(c.listedAt.Add(listFresh)) && now.After(c.listFailedAt.Add(listFresh))
}

// listReadAt returns when the newest successful read of the node list began.
func (c *Controller) listReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedAt
}

// tickDomains ticks every domain, each in its own goroutine so that a slow one
// does not hold up the others.
func (c *Controller) tickDomains(ctx context.Context) {
	domains := make(map[string]chan struct{})
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, name := range c.domainNames() {
			if _, ok := domains[name]; ok {
				continue
			}
			wake := make(chan struct{}, 1)
			domains[name] = wake
			group.Go(func() { c.runDomain(ctx, name, wake) })
		}
		for _, wake := range domains {
			select {
			case wake <- struct{}{}:
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (c *Controller) domainNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.listed))
	for name := range c.listed {
		names = append(names, name)
	}
	return names
}

func (c *Controller) runDomain(ctx context.Context, name string, wake <-chan struct{}) {
	d := newDomain(c, name)
	for {
		select {
		case <-wake:
			d.tick(ctx, c.listedIn(name))
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) listedIn(domain string) []cluster.ListedNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed[domain]
}

// appendGrant appends a grant. Whether it won is seen by folding it.
func (c *Controller) appendGrant(ctx context.Context, record ownership.Record) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	data, err := json.Marshal(record)
	if err != nil {
		c.opts.Logger.Error("grant not encoded", "domain", record.Domain, "error", err)
		return
	}
	if err := c.opts.AppendGrant(ctx, data); err != nil {
		c.opts.Logger.Debug("grant not appended", "domain", record.Domain, "error", err)
	}
}

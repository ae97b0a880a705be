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

// Intervals, timeouts and limits of a controller.
const (
	tickInterval = 500 * time.Millisecond
	listInterval = 2 * time.Second
	listTimeout  = time.Second
	// maxListAge is the maximum age of the node list for a daemon to begin leading a domain.
	// With an older list it might not know which nodes are leaving.
	maxListAge = 3500 * time.Millisecond
	// A leader that can't reach most of its nodes for yieldTimeout steps down and does not lead
	// again for yieldDuration.
	yieldTimeout  = 5 * time.Second
	yieldDuration = 20 * time.Second
	// maxListWaitAfterRegain limits the wait for a new node list after a leader has regained
	// contact with most nodes.
	maxListWaitAfterRegain = 10 * time.Second
	// reportOverdueAfter is the time after the deadline of the last report from which the report
	// counts as overdue. A daemon may then lead the domain even with an old node list.
	reportOverdueAfter = 4 * time.Second
	probeTimeout       = 400 * time.Millisecond
	orderTimeout       = 2 * time.Second
	// maxProbeAge is the maximum age of the probe that orders are based on.
	maxProbeAge = time.Second
	// lostTimeout is how long a node may be silent before it counts as lost. Its replica can't
	// serve meanwhile.
	lostTimeout = 1500 * time.Millisecond
	// lostTimeoutMajority replaces lostTimeout while more than half of a domain's nodes are silent:
	// the cause may then be the network.
	lostTimeoutMajority = 5 * time.Second
	// renewalsPerWindow is how many times a permit is renewed within one serve window.
	renewalsPerWindow = 6
	proposeInterval   = 2 * time.Second
	// rebalanceDelay is how long another daemon must be the preferred owner of a domain before the
	// domain is handed over.
	rebalanceDelay = 30 * time.Second
	// proposeTimeout limits the time to append a grant to the log.
	proposeTimeout = 3 * time.Second
	// maxLoadAge is the maximum age of a load report.
	maxLoadAge = 2 * time.Second
	// drainTimeout is how long requests in flight may delay a planned move.
	drainTimeout = 10 * time.Minute
	// supplyRetention is how long a domain still counts as supply after the deadline of its report.
	supplyRetention = 30 * time.Second
	// Orders to nodes that don't check tokens are protected only by time: the lease of the owner
	// and a margin for pauses of the process.
	unfencedLease  = 5 * time.Second
	unfencedMargin = 2 * time.Second
	// maxParallelCalls is the maximum number of concurrent calls to the nodes of a domain.
	maxParallelCalls = 64
)

// DefaultServeWindow is how long after the start of a probe a replica may serve. It is longer than
// a deputy needs to take over a domain, so that replicas keep serving when a daemon fails.
const DefaultServeWindow = 6 * time.Second

// Members provides the membership information that the controller needs.
type Members interface {
	// IsGone reports whether a daemon is dead or has left.
	IsGone(id string) bool
	// IsLeaving reports whether a daemon has begun a planned shutdown.
	IsLeaving(id string) bool
	// Candidates returns the daemons that are alive and not leaving. Those in the given data hall
	// are marked as local.
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
	// Ownership holds the grants. AppendGrant appends a grant to the log and returns once it has
	// been applied to Ownership.
	Ownership   *ownership.State
	AppendGrant func(ctx context.Context, record json.RawMessage) error
	// OwnershipConfirmed returns when the latest successful read of the grant stream began.
	OwnershipConfirmed func() time.Time
	ServeWindow        time.Duration
	// LoadSlots is the number of replicas in a domain that may load weights at the same time.
	LoadSlots int
	Logger    hclog.Logger
}

// Controller manages the domains that this daemon owns.
type Controller struct {
	opts       Options
	done       chan struct{}
	background conc.WaitGroup

	mu            sync.Mutex
	nodesByDomain map[string][]cluster.ListedNode
	// listedAt is when the latest successful read of the node list began.
	listedAt time.Time
	// listFailedAt is when a read of the node list last failed.
	listFailedAt time.Time
	plans        map[string]placement.Plan
}

// NewController returns a controller. Call Run to start it.
func NewController(opts Options) *Controller {
	if opts.ServeWindow == 0 {
		opts.ServeWindow = DefaultServeWindow
	}
	return &Controller{
		opts: opts, done: make(chan struct{}),
		nodesByDomain: make(map[string][]cluster.ListedNode), plans: make(map[string]placement.Plan),
	}
}

// Done returns a channel that is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Plan returns the latest plan for a domain that this daemon leads.
func (c *Controller) Plan(domain string) (placement.Plan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plans[domain]
	return p, ok
}

func (c *Controller) storePlan(domain string, p placement.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans[domain] = p
}

// Run manages domains until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	var group conc.WaitGroup
	group.Go(func() { c.pollList(ctx) })
	group.Go(func() { c.tickDomains(ctx) })
	group.Wait()
	c.background.Wait()
}

// pollList reads the node list periodically. If a read fails, the previous list remains in use.
func (c *Controller) pollList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
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
		c.opts.Logger.Debug("cannot read the node list", "error", err)
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
	for domain := range c.nodesByDomain {
		// A domain is still managed when all its nodes have left the list.
		if _, ok := byDomain[domain]; !ok {
			byDomain[domain] = nil
		}
	}
	c.nodesByDomain, c.listedAt = byDomain, start
}

// wasSuspended reports whether the node list is old although no read has failed recently. The
// process was then suspended, and must read the list before it publishes reports.
func (c *Controller) wasSuspended(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.After(c.listedAt.Add(maxListAge)) && now.After(c.listFailedAt.Add(maxListAge))
}

// listReadAt returns when the latest successful read of the node list began.
func (c *Controller) listReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedAt
}

// tickDomains wakes each domain at every tick. Domains run in separate goroutines so that a slow
// one doesn't delay the others.
func (c *Controller) tickDomains(ctx context.Context) {
	domains := make(map[string]chan struct{})
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tickInterval)
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
	names := make([]string, 0, len(c.nodesByDomain))
	for name := range c.nodesByDomain {
		names = append(names, name)
	}
	return names
}

func (c *Controller) runDomain(ctx context.Context, name string, wake <-chan struct{}) {
	d := newDomain(c, name)
	for {
		select {
		case <-wake:
			d.tick(ctx, c.listedNodes(name))
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) listedNodes(domain string) []cluster.ListedNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodesByDomain[domain]
}

// appendGrant appends a grant to the log. A concurrent grant may win, which shows only once the log
// has been applied.
func (c *Controller) appendGrant(ctx context.Context, record ownership.Record) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	data, err := json.Marshal(record)
	if err != nil {
		c.opts.Logger.Error("cannot encode the grant", "domain", record.Domain, "error", err)
		return
	}
	if err := c.opts.AppendGrant(ctx, data); err != nil {
		c.opts.Logger.Debug("cannot append the grant", "domain", record.Domain, "error", err)
	}
}

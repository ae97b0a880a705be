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
	// maxListAge is the maximum age of the node list with which a daemon begins to lead a domain.
	// An older list might not show which nodes are leaving.
	maxListAge = 3500 * time.Millisecond
	// yieldTimeout is how long a leader may fail to reach most of its nodes before it steps down.
	// It does not lead the domain again for yieldDuration.
	yieldTimeout  = 5 * time.Second
	yieldDuration = 20 * time.Second
	// maxListWaitAfterContact limits how long a leader waits for a new node list after it has
	// regained contact with most nodes. The wait starts with the last probe that failed to reach
	// most nodes.
	maxListWaitAfterContact = 10 * time.Second
	// reportOverdueAfter is the time from the deadline of a domain's last report until the report
	// counts as overdue. A daemon may then begin to lead the domain even with an old node list.
	reportOverdueAfter = 4 * time.Second
	probeTimeout       = 400 * time.Millisecond
	orderTimeout       = 2 * time.Second
	// maxProbeAge is the maximum age of the probe that orders are based on.
	maxProbeAge = time.Second
	// lostTimeout is how long a node may leave probes unanswered before it counts as lost and its
	// replica is repaired. The replica can't serve during that time.
	lostTimeout = 1500 * time.Millisecond
	// lostTimeoutMajority replaces lostTimeout if more than half of a domain's nodes leave a probe
	// unanswered. The cause is then more likely to be the network than the nodes.
	lostTimeoutMajority = 5 * time.Second
	// renewalsPerWindow is the number of times that an unchanged report is published again within
	// one serve window.
	renewalsPerWindow = 6
	// proposeInterval is the minimum interval between two proposals of a grant for a domain. A
	// grant is a record in the shared log that names the domain's owner and deputies.
	proposeInterval = 2 * time.Second
	// rebalanceDelay is how long another daemon must be the preferred owner of a domain before the
	// domain is handed over.
	rebalanceDelay = 30 * time.Second
	// proposeTimeout limits how long an append of a grant to the log may take.
	proposeTimeout = 3 * time.Second
	// maxLoadAge is the maximum age of the load that a replica reports. A drain takes at least the
	// serve window plus maxLoadAge. After that time, the reported load includes the last requests
	// that the replica accepted.
	maxLoadAge = 2 * time.Second
	// drainTimeout is the maximum time for which requests in flight delay the reassignment of a
	// replica's nodes.
	drainTimeout = 10 * time.Minute
	// supplyRetention is how long a domain's nodes and replicas still count as available for
	// deployments after the deadline of the domain's last report.
	supplyRetention = 30 * time.Second
	// unfencedLease is how long after its last read of the grant log an owner may send orders to
	// nodes that don't check fencing tokens. A new owner first waits for unfencedLease plus
	// unfencedMargin. The margin allows for a pause of the previous owner's process.
	unfencedLease  = 5 * time.Second
	unfencedMargin = 2 * time.Second
	// maxParallelCalls is the maximum number of concurrent calls to the nodes of a domain.
	maxParallelCalls = 64
)

// DefaultServeWindow is how long a replica may serve after the start of the probe that confirmed
// it. It is longer than another daemon needs to take over the domain, so that replicas keep serving
// when a daemon fails.
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
	Self        string
	Config      func() *config.View
	NodeList    cluster.NodeList
	NodeControl cluster.NodeControl
	Catalog     *catalog.Catalog
	Members     Members
	// Ownership holds the grants. A grant names the owner of a domain and its deputies, who may
	// lead the domain if the owner fails. AppendGrant appends a grant to the log and returns once
	// the grant has been applied to Ownership.
	Ownership   *ownership.State
	AppendGrant func(ctx context.Context, record json.RawMessage) error
	// OwnershipConfirmedAt returns when the latest successful read of the grant log began.
	OwnershipConfirmedAt func() time.Time
	// ServeWindow is how long a replica may serve after the start of the probe that confirmed it.
	// If it is zero, DefaultServeWindow applies.
	ServeWindow time.Duration
	// MaxConcurrentLoads is the maximum number of replicas in a domain that load weights at the
	// same time. Zero means no limit.
	MaxConcurrentLoads int
	Logger             hclog.Logger
}

// Controller manages the domains that this daemon owns.
type Controller struct {
	opts Options
	done chan struct{}
	// background runs the appends of grants.
	background conc.WaitGroup

	mu            sync.Mutex
	nodesByDomain map[string][]cluster.ListedNode
	// listedAt is when the latest successful read of the node list began.
	listedAt time.Time
	// listFailedAt is when a read of the node list last failed.
	listFailedAt time.Time
	// plans holds the latest plan of each domain that this daemon has led.
	plans map[string]placement.Plan
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

// Plan returns the latest plan for a domain that this daemon leads or has led.
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
	nodes, err := c.opts.NodeList.Nodes(ctx)
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
		// A domain remains managed even if the list no longer contains any of its nodes.
		if _, ok := byDomain[domain]; !ok {
			byDomain[domain] = nil
		}
	}
	c.nodesByDomain, c.listedAt = byDomain, start
}

// wasSuspended reports whether the process seems to have been suspended: the node list is old
// although no read has failed recently. The list must then be read again before reports are
// published.
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

// tickDomains wakes the goroutine of each domain every tickInterval. Each domain has its own
// goroutine so that a slow one doesn't delay the others.
func (c *Controller) tickDomains(ctx context.Context) {
	wakeByDomain := make(map[string]chan struct{})
	var group conc.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, name := range c.domainNames() {
			if _, ok := wakeByDomain[name]; ok {
				continue
			}
			wake := make(chan struct{}, 1)
			wakeByDomain[name] = wake
			group.Go(func() { c.runDomain(ctx, name, wake) })
		}
		for _, wake := range wakeByDomain {
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

// appendGrant appends a grant to the log. The grant has no effect if another grant for the same
// domain comes before it in the log.
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

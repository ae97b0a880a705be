// Package replica looks after the fabric domains that a daemon owns: it probes
// their nodes, forms and repairs replicas by fenced orders, and publishes which
// replicas may serve and until when.
package replica

import (
	"context"
	"time"

	"quartzshelf.dev/common/token"
	"quartzshelf.dev/config"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/placement"
	"quartzshelf.dev/platform"
	"quartzshelf.dev/rpc"
)

// domain is the state of one fabric domain at one daemon. Only the goroutine
// that ticks it uses it.
type domain struct {
	c        *Controller
	name     string
	dataHall string

	// leading tells that this daemon acted as leader at the last tick.
	leading bool
	// cutOffAt is when a probe last reached less than half of the nodes, and
	// cutOffSince since when without a better one; zero while it does.
	cutOffAt    time.Time
	cutOffSince time.Time
	// yieldUntil is until when another daemon should look after the domain.
	yieldUntil time.Time
	// beganAt is when it began to lead.
	beganAt time.Time
	// token is the highest one used by this daemon for the domain.
	token token.Token
	// seen is the highest token that the last probe and later orders saw on nodes.
	seen token.Token
	// version, beat and content describe the last report.
	version uint64
	beat    uint64
	content *rpc.DomainReport
	// renewAt is when an unchanged report is published again.
	renewAt time.Time

	// probedAt is when the last probe began.
	probedAt time.Time

	nodes  map[string]*nodeMemory
	drains map[string]drain
	// permits holds, by assignment, what routers may still act on.
	permits map[string]permit
	// quietUntil is when a new owner may order nodes that do not check tokens.
	quietUntil  time.Time
	quietEpoch  uint64
	proposeNext time.Time
	// rebalanceAt is when a better placed daemon may get the domain; zero while
	// there is none.
	rebalanceAt time.Time
}

// nodeMemory is what a leader remembers about a node between probes.
type nodeMemory struct {
	listed platform.ListedNode
	labels map[string]string
	state  platform.NodeState
	// answered tells whether the last probe was answered.
	answered bool
	// lostAt is when a silent node is given up; zero while it answers.
	lostAt time.Time
	// ordered is the token of the last order sent to the node.
	ordered token.Token
	// toldLeaving tells that the leader before reported the node as leaving. It
	// counts until this daemon has read the node list itself.
	toldLeaving bool
}

// drain is the state of a replica that is emptied before its nodes move.
type drain struct {
	// settledAt is when all routers know of the drain and loads are fresh.
	settledAt time.Time
	// forceAt is when the drain ends though requests are still running.
	forceAt time.Time
}

func newDomain(c *Controller, name string) *domain {
	return &domain{
		c: c, name: name, nodes: make(map[string]*nodeMemory),
		drains: make(map[string]drain), permits: make(map[string]permit),
	}
}

// tick decides what to do about the domain and does it.
func (d *domain) tick(ctx context.Context, listed []platform.ListedNode) {
	d.remember(listed)
	grant := d.c.opts.Ownership.Grant(d.name)
	action := d.mayBegin(d.decide(grant))
	if action.Proposes() {
		d.propose(ctx, grant, d.selfFirst(d.bestHolders()))
	}
	if action == ownership.Lead {
		d.rebalance(ctx, grant)
	}
	if !action.Leads() {
		d.stepDown()
		return
	}
	view := d.c.opts.Config()
	d.relabel(view)
	start := time.Now()
	d.probe(ctx)
	before := d.token
	if !d.claim(grant) {
		d.stepDown()
		return
	}
	if d.yields(time.Now()) {
		return
	}
	if before.Epoch != d.token.Epoch || before.Rank != d.token.Rank {
		// Let the nodes confirm this leader before the first report: one that
		// shows them unconfirmed would darken replicas that serve.
		d.send(ctx, d.reaffirmations(nil))
		start = time.Now()
		d.assumePermits(d.groups(view), start)
		d.probe(ctx)
	}
	d.round(ctx, view, start)
}

// yields reports whether this leader should say nothing now. One that has not
// reached most nodes for a while lets another daemon try. One that reaches them
// again first reads the node list, which may have changed meanwhile.
func (d *domain) yields(now time.Time) bool {
	if !d.cutOffSince.IsZero() && now.After(d.cutOffSince.Add(yieldAfter)) {
		d.c.opts.Logger.Warn("cannot reach most nodes; another daemon should lead", "domain", d.name)
		d.yieldUntil = now.Add(yieldFor)
		d.cutOffSince = time.Time{}
		d.stepDown()
		return true
	}
	if d.c.heldUp(now) {
		return true
	}
	regained := d.cutOffSince.IsZero() && !d.cutOffAt.IsZero()
	return regained && d.c.listReadAt().Before(d.cutOffAt) && now.Before(d.cutOffAt.Add(regainLimit))
}

// noteReach notes how many of the nodes the last probe did not reach.
func (d *domain) noteReach(silent, nodes int, now time.Time) {
	if nodes == 0 || 2*silent <= nodes {
		d.cutOffSince = time.Time{}
		return
	}
	d.cutOffAt = now
	if d.cutOffSince.IsZero() {
		d.cutOffSince = now
	}
}

// round plans by what the probe that began at start found, publishes, and
// gives orders.
func (d *domain) round(ctx context.Context, view *config.View, start time.Time) {
	plan := placement.Make(d.input(view))
	groups := d.groups(view)
	d.assumePermits(groups, start)
	orders := d.orders(plan, groups, start)
	d.publish(groups, plan, start)
	d.send(ctx, orders)
	d.c.remember(d.name, plan)
}

// stepDown forgets what only a leader may know.
func (d *domain) stepDown() {
	if d.leading {
		d.c.opts.Logger.Info("stopped leading domain", "domain", d.name)
	}
	d.leading = false
	d.drains = make(map[string]drain)
	for _, m := range d.nodes {
		m.lostAt = time.Time{}
	}
}

// remember takes over the rows of the node list.
func (d *domain) remember(listed []platform.ListedNode) {
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		d.dataHall = l.DataHall
		m, ok := d.nodes[l.ID]
		if !ok {
			m = &nodeMemory{}
			d.nodes[l.ID] = m
		}
		m.listed = l
	}
	now := time.Now()
	readSince := d.c.listReadAt().After(d.beganAt)
	for id, m := range d.nodes {
		m.toldLeaving = m.toldLeaving && !readSince
		// The list lags: a node that still answers stays, whatever it says.
		if !present[id] && !m.answered && !m.lostAt.IsZero() && now.After(m.lostAt) {
			delete(d.nodes, id)
		}
	}
}

// decide asks package ownership what this daemon should do.
func (d *domain) decide(grant ownership.Grant) ownership.Action {
	active := -1
	if current, _, ok := d.c.opts.Catalog.Current(d.name); ok && current.Epoch == grant.Epoch() {
		active = int(current.Rank)
	}
	if d.seen.Epoch == grant.Epoch() && grant.Epoch() > 0 {
		active = max(active, int(d.seen.Rank))
	}
	_, deadline, reported := d.c.opts.Catalog.Current(d.name)
	members := d.c.opts.Members
	return ownership.Decide(ownership.Situation{
		Overdue:    reported && active >= 0 && time.Now().After(deadline.Add(listOutage)),
		Self:       d.c.opts.Self,
		Domain:     d.name,
		Grant:      grant,
		ActiveRank: active,
		Gone:       members.Gone,
		Leaving:    members.Leaving,
		Candidates: members.Candidates(d.dataHall),
	})
}

// mayBegin keeps a daemon that cannot read the node list from taking a domain
// over, unless nobody else has for a while.
func (d *domain) mayBegin(action ownership.Action) ownership.Action {
	now := time.Now()
	if !action.Leads() {
		return action
	}
	if now.Before(d.yieldUntil) {
		return ownership.Follow
	}
	if d.leading || now.Before(d.c.listReadAt().Add(listFresh)) {
		return action
	}
	if _, deadline, ok := d.c.opts.Catalog.Current(d.name); ok && now.Before(deadline.Add(listOutage)) {
		return ownership.Follow
	}
	return action
}

// inherit takes over which nodes the leader before reported as leaving.
func (d *domain) inherit() {
	for _, report := range d.c.opts.Catalog.Reports() {
		if report.Domain != d.name {
			continue
		}
		for _, n := range report.Nodes {
			if m, ok := d.nodes[n.Id]; ok && n.State == rpc.NodeState_LEAVING {
				m.toldLeaving = true
			}
		}
	}
}

// propose appends a new grant in the background, now and then at the most.
func (d *domain) propose(ctx context.Context, grant ownership.Grant, holders []string) {
	now := time.Now()
	if now.Before(d.proposeNext) || len(holders) == 0 {
		return
	}
	d.proposeNext = now.Add(proposeEvery)
	record := ownership.Record{Domain: d.name, Replaces: grant.Epoch(), Holders: holders}
	d.c.background.Go(func() { d.c.appendGrant(ctx, record) })
}

// bestHolders returns the holders that a new grant should name.
func (d *domain) bestHolders() []string {
	return ownership.Holders(d.name, d.c.opts.Members.Candidates(d.dataHall))
}

// rebalance hands the domain to the daemon that is best placed for it once
// that has been the same one for a while. Without it, the survivors of
// failures would own ever more domains.
func (d *domain) rebalance(ctx context.Context, grant ownership.Grant) {
	best := d.bestHolders()
	if len(best) == 0 || best[0] == d.c.opts.Self {
		d.rebalanceAt = time.Time{}
		return
	}
	now := time.Now()
	if d.rebalanceAt.IsZero() {
		d.rebalanceAt = now.Add(rebalanceAfter)
	}
	if now.After(d.rebalanceAt) {
		d.rebalanceAt = time.Time{}
		d.propose(ctx, grant, best)
	}
}

// selfFirst puts this daemon first unless it is leaving: it knows the domain.
func (d *domain) selfFirst(holders []string) []string {
	self := d.c.opts.Self
	if d.c.opts.Members.Leaving(self) {
		return holders
	}
	ordered := []string{self}
	for _, h := range holders {
		if h != self && len(ordered) <= ownership.Deputies {
			ordered = append(ordered, h)
		}
	}
	return ordered
}

// claim makes sure that this daemon's token is the highest of the domain. It
// reports false when a newer grant than the one folded is at work.
func (d *domain) claim(grant ownership.Grant) bool {
	if d.seen.Epoch > grant.Epoch() {
		return false
	}
	mine := d.leading && d.token.Epoch == grant.Epoch()
	if mine && !d.seen.Higher(d.token) && !d.outdoneByReport() {
		return true
	}
	used := -1
	if d.seen.Epoch == grant.Epoch() {
		used = int(d.seen.Rank)
	}
	if current, _, ok := d.c.opts.Catalog.Current(d.name); ok && current.Epoch == grant.Epoch() {
		used = max(used, int(current.Rank))
	}
	if d.token.Epoch == grant.Epoch() {
		used = max(used, int(d.token.Rank))
	}
	rank := ownership.NextRank(used, grant.Position(d.c.opts.Self), len(grant.Holders()))
	d.token = token.Token{Epoch: grant.Epoch(), Rank: rank}
	d.version, d.beat, d.content = 0, 0, nil
	if !d.leading {
		d.inherit()
		d.beganAt = time.Now()
	}
	d.leading = true
	if d.quietEpoch != grant.Epoch() {
		d.quietEpoch = grant.Epoch()
		d.quietUntil = time.Now().Add(unfencedLease + unfencedMargin)
	}
	d.c.opts.Logger.Info("leading domain", "domain", d.name, "epoch", d.token.Epoch, "rank", rank)
	return true
}

// outdoneByReport reports whether the catalog holds a report that this leader's
// would not replace: one of another leader with a higher rank, or one that an
// earlier life of this daemon published under the same rank.
func (d *domain) outdoneByReport() bool {
	current, _, ok := d.c.opts.Catalog.Current(d.name)
	if !ok || current.Epoch != d.token.Epoch {
		return false
	}
	if current.Rank != d.token.Rank {
		return current.Rank > d.token.Rank
	}
	return d.c.opts.Catalog.Version(d.name) > d.version
}

// next returns a token for one more order.
func (d *domain) next() token.Token {
	d.token.Sequence++
	return d.token
}

// mayOrderUnfenced reports whether this daemon may order nodes that do not
// check tokens: it must be the owner, not a deputy; it must have read the log
// within the lease and found its grant; and the lease of the owner before it
// must have run out. Nothing but the margin protects against a pause between
// this check and the order.
func (d *domain) mayOrderUnfenced(grant ownership.Grant, now time.Time) bool {
	if grant.Owner() != d.c.opts.Self || now.Before(d.quietUntil) {
		return false
	}
	return now.Before(d.c.opts.OwnershipConfirmed().Add(unfencedLease))
}

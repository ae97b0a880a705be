// Package replica looks after the fabric domains that a daemon owns: it probes
// their nodes, forms and repairs replicas by fenced orders, and publishes which
// replicas may serve and until when.
package replica

import (
	"context"
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/token"
	"quartzshelf.dev/config"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/placement"
	"quartzshelf.dev/rpc"
)

// domain is the state of one fabric domain at one daemon. Only the goroutine
// that ticks it uses it.
type domain struct {
	c        *Controller
	name     string
	dataHall string
	// spans tells that the node list puts its nodes into several data halls.
	spans bool

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
	listed cluster.ListedNode
	labels map[string]string
	state  cluster.NodeState
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
func (d *domain) tick(ctx context.Context, listed []cluster.ListedNode) {
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

// locate takes over the data hall of the domain. A domain lies in one hall; should the
// list say otherwise, that of the first node by name counts, at every daemon alike.
func (d *domain) locate(listed []cluster.ListedNode) {
	if len(listed) == 0 {
		return
	}
	first := slices.MinFunc(listed, func(a, b cluster.ListedNode) int { return strings.Compare(a.ID, b.ID) })
	d.dataHall = first.DataHall
	other := slices.IndexFunc(listed, func(l cluster.ListedNode) bool { return l.DataHall != d.dataHall })
	if spans := other >= 0; spans != d.spans {
		d.spans = spans
		if spans {
			d.c.opts.Logger.Warn("domain spans data halls; closing the other one does not stop requests to it",
				"domain", d.name, "hall", d.dataHall, "other", listed[other].DataHall, "node", listed[other].ID)
		}
	}
}

// remember takes over the rows of the node list.
func (d *domain) remember(listed []cluster.ListedNode) {
	present := make(map[string]bool, len(listed))
	d.locate(listed)
	for _, l := range listed {
		present[l.ID] = true
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

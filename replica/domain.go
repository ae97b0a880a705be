// Package replica manages the fabric domains that a daemon leads. It probes their nodes, forms and
// repairs replicas with orders, and publishes which replicas may serve and until when. Orders carry
// fencing tokens, but some nodes do not check them.
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

// domain is the state of one fabric domain at one daemon. It is used only by the goroutine that
// calls tick.
type domain struct {
	controller *Controller
	name       string
	dataHall   string
	// spansHalls is set if the node list places the domain's nodes in several data halls.
	spansHalls bool

	// isLeading is set if this daemon acted as the domain's leader at the last tick. The leader is
	// the owner or the deputy that currently manages the domain.
	isLeading bool
	// lastUnreachableAt is when more than half of the nodes last failed to answer a probe.
	// unreachableSince is when the current series of such probes began. It is zero if at least half
	// of the nodes answered the last probe.
	lastUnreachableAt time.Time
	unreachableSince  time.Time
	// yieldUntil is the time until which this daemon does not lead the domain.
	yieldUntil time.Time
	// leadingSince is when this daemon began to lead the domain.
	leadingSince time.Time
	// token is the highest fencing token that this daemon has used for the domain. Nodes reject
	// orders with a lower token than the highest that they have received.
	token token.Token
	// highestNodeToken is the highest token that any node has reported in the last probe or in an
	// answer to a later order.
	highestNodeToken token.Token
	// version counts the changes of the report's content, and publishCount counts its publications.
	// Both restart at zero when the field token gets a new epoch or rank. lastReport is the content
	// of the last report.
	version      uint64
	publishCount uint64
	lastReport   *rpc.DomainReport
	// renewAt is when the report is published again even if it is unchanged.
	renewAt time.Time

	// lastProbeAt is when the last probe began.
	lastProbeAt time.Time

	nodes map[string]*trackedNode
	// drains holds the draining replicas by replica ID.
	drains map[string]drain
	// permits holds the permits that routers may still rely on, by assignment name. A permit is the
	// permission to send requests to a replica, as granted by a report.
	permits map[string]permit
	// unfencedOrdersAfter is the time from which this daemon may send orders to nodes that don't
	// check tokens. It is computed once for the grant with epoch unfencedGrantEpoch.
	unfencedOrdersAfter time.Time
	unfencedGrantEpoch  uint64
	nextProposalAt      time.Time
	// rebalanceAt is when the domain may be handed over to the preferred owner. It is zero if no
	// other daemon is preferred.
	rebalanceAt time.Time
}

// trackedNode is the state of a node according to the node list and the probes.
type trackedNode struct {
	listed cluster.ListedNode
	labels map[string]string
	state  cluster.NodeState
	// answered is set if the node answered the last probe.
	answered bool
	// lostAt is the time from which the node counts as lost if it remains silent. It is zero while
	// the node answers probes.
	lostAt time.Time
	// lastOrderToken is the token of the last order that changed the node's assignment.
	lastOrderToken token.Token
	// reportedLeaving is set if the previous leader reported the node as leaving. It is cleared
	// once this daemon has read the node list while leading.
	reportedLeaving bool
}

// drain is the state of a replica that is drained before its nodes are reassigned.
type drain struct {
	// settledAt is the time by which all routers have stopped sending requests to the replica. The
	// replica's load report then includes the last of these requests.
	settledAt time.Time
	// forceAt is when the nodes may be reassigned even if requests are still running.
	forceAt time.Time
}

func newDomain(c *Controller, name string) *domain {
	return &domain{
		controller: c, name: name, nodes: make(map[string]*trackedNode),
		drains: make(map[string]drain), permits: make(map[string]permit),
	}
}

// tick decides whether this daemon leads the domain. If so, it probes the nodes, publishes a report
// and sends orders.
func (d *domain) tick(ctx context.Context, listed []cluster.ListedNode) {
	d.updateNodes(listed)
	grant := d.controller.opts.Ownership.Grant(d.name)
	action := d.restrictAction(d.decideAction(grant))
	if action.Proposes() {
		d.propose(ctx, grant, d.withSelfFirst(d.proposedHolders()))
	}
	if action == ownership.Lead {
		d.rebalance(ctx, grant)
	}
	if !action.Leads() {
		d.stepDown()
		return
	}
	view := d.controller.opts.Config()
	d.updateLabels(view)
	probeStart := time.Now()
	d.probeNodes(ctx)
	previousToken := d.token
	if !d.claimToken(grant) {
		d.stepDown()
		return
	}
	if d.pauseOrStepDown(time.Now()) {
		return
	}
	if previousToken.Epoch != d.token.Epoch || previousToken.Rank != d.token.Rank {
		// Nodes confirm this leader by reporting one of its tokens. They must do so before its
		// first report. Otherwise the report would show serving replicas as unconfirmed, and they
		// would get no requests.
		d.sendOrders(ctx, d.reaffirmOrders(nil))
		probeStart = time.Now()
		d.assumePermits(d.observeReplicas(view), probeStart)
		d.probeNodes(ctx)
	}
	d.runRound(ctx, view, probeStart)
}

// runRound makes a plan from the results of the last probe, publishes a report and sends orders.
// The parameter probeStart is a time at or before the start of that probe.
func (d *domain) runRound(ctx context.Context, view *config.View, probeStart time.Time) {
	plan := placement.Make(d.plannerInput(view))
	replicas := d.observeReplicas(view)
	d.assumePermits(replicas, probeStart)
	orders := d.planOrders(plan, replicas, probeStart)
	d.publishReport(replicas, plan, probeStart)
	d.sendOrders(ctx, orders)
	d.controller.storePlan(d.name, plan)
}

// updateDataHall sets the domain's data hall from the node list. A domain should be in one data
// hall. If the list names several, all daemons use the hall of the node with the lowest ID.
func (d *domain) updateDataHall(listed []cluster.ListedNode) {
	if len(listed) == 0 {
		return
	}
	first := slices.MinFunc(listed, func(a, b cluster.ListedNode) int { return strings.Compare(a.ID, b.ID) })
	d.dataHall = first.DataHall
	otherIndex := slices.IndexFunc(listed, func(l cluster.ListedNode) bool { return l.DataHall != d.dataHall })
	if spansHalls := otherIndex >= 0; spansHalls != d.spansHalls {
		d.spansHalls = spansHalls
		if spansHalls {
			d.controller.opts.Logger.Warn("domain spans data halls; closing the other one does not stop requests to it",
				"domain", d.name, "hall", d.dataHall, "other", listed[otherIndex].DataHall, "node", listed[otherIndex].ID)
		}
	}
}

// updateNodes updates the tracked nodes from the node list. It removes lost nodes that the list no
// longer contains.
func (d *domain) updateNodes(listed []cluster.ListedNode) {
	isListed := make(map[string]bool, len(listed))
	d.updateDataHall(listed)
	for _, l := range listed {
		isListed[l.ID] = true
		m, ok := d.nodes[l.ID]
		if !ok {
			m = &trackedNode{}
			d.nodes[l.ID] = m
		}
		m.listed = l
	}
	now := time.Now()
	isListNewer := d.controller.listReadAt().After(d.leadingSince)
	for id, m := range d.nodes {
		m.reportedLeaving = m.reportedLeaving && !isListNewer
		// The list may be outdated, so a node that still answers is kept.
		if !isListed[id] && !m.answered && !m.lostAt.IsZero() && now.After(m.lostAt) {
			delete(d.nodes, id)
		}
	}
}

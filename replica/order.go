package replica

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/token"
	"quartzshelf.dev/placement"
)

// pendingOrder is an order to be sent to a node.
type pendingOrder struct {
	node   *trackedNode
	order  cluster.Order
	reason string
}

// planOrders returns the orders of a plan that may be sent now, and orders for the nodes that have
// not confirmed this leader. Orders that reassign or release nodes of an intact replica are held
// back until it is drained.
func (d *domain) planOrders(plan placement.Plan, replicas []observedReplica, now time.Time) []pendingOrder {
	intactReplicas := intactReplicasByNode(replicas)
	previousDrains := d.drains
	d.drains = make(map[string]drain)
	for id, state := range previousDrains {
		if movesReplica(plan, intactReplicas, id) {
			d.drains[id] = state
		}
	}
	var all []pendingOrder
	for _, f := range plan.Formations {
		all = append(all, d.formationOrders(f, intactReplicas, now)...)
	}
	for _, step := range plan.Releases {
		if d.mayRelease(step, intactReplicas, now) {
			all = append(all, d.newOrder(step.Node, step.Assignment, step.Reason))
		}
	}
	all = append(all, d.preloadOrders(plan, all)...)
	return append(all, d.reaffirmOrders(all)...)
}

// preloadOrders returns orders that make nodes fetch weights in advance, without a change of
// assignment. Nodes that have a planned order are left out.
func (d *domain) preloadOrders(plan placement.Plan, planned []pendingOrder) []pendingOrder {
	hasOrder := orderedNodes(planned)
	var all []pendingOrder
	for _, p := range plan.Preloads {
		if !hasOrder[p.Node] {
			o := d.newOrder(p.Node, d.nodes[p.Node].state.Assignment, p.Reason)
			o.order.Preload = []string{p.Version}
			all = append(all, o)
		}
	}
	return all
}

// orderedNodes returns the IDs of the nodes that the orders are for.
func orderedNodes(orders []pendingOrder) map[string]bool {
	nodes := make(map[string]bool, len(orders))
	for _, o := range orders {
		nodes[o.node.listed.ID] = true
	}
	return nodes
}

// intactReplicasByNode returns the intact replicas by the IDs of their nodes. Replicas managed by
// scripts are left out.
func intactReplicasByNode(replicas []observedReplica) map[string]observedReplica {
	intactReplicas := make(map[string]observedReplica)
	for _, o := range replicas {
		if !o.isIntact() || o.isScripted {
			continue
		}
		for _, m := range o.members {
			intactReplicas[m.listed.ID] = o
		}
	}
	return intactReplicas
}

// mayRelease reports whether a node may be released now, that is, taken out of its replica. If the
// node belongs to an intact replica, the first call starts to drain the replica.
func (d *domain) mayRelease(step placement.Step, intactReplicas map[string]observedReplica, now time.Time) bool {
	if o, ok := intactReplicas[step.Node]; ok && !d.ensureDrained(o, now) {
		return false
	}
	return len(d.blockingPermits(step.Node, now)) == 0
}

// movesReplica reports whether the plan reassigns or releases a node of the intact replica with the
// given ID.
func movesReplica(plan placement.Plan, intactReplicas map[string]observedReplica, replicaID string) bool {
	isMember := func(step placement.Step) bool {
		o, ok := intactReplicas[step.Node]
		return ok && o.id == replicaID
	}
	for _, step := range plan.Releases {
		if isMember(step) {
			return true
		}
	}
	for _, f := range plan.Formations {
		for _, step := range f.Steps {
			if isMember(step) {
				return true
			}
		}
	}
	return false
}

// formationOrders returns the orders that form a replica from the nodes of the formation. It
// returns none while another replica that loses nodes to the formation is draining. A permit (the
// permission to send a replica requests until a deadline) can also block a step. In that case
// formationOrders returns only release orders, which end such permits early, or none.
func (d *domain) formationOrders(f placement.Formation, intactReplicas map[string]observedReplica, now time.Time) []pendingOrder {
	allDrained := true
	for _, step := range f.Steps {
		if o, ok := intactReplicas[step.Node]; ok && !d.ensureDrained(o, now) {
			allDrained = false
		}
	}
	if !allDrained {
		return nil
	}
	if releases := d.releaseOrders(f.Steps, now); releases != nil || d.isBlocked(f.Steps, now) {
		return releases
	}
	generation := generationOf(d.nextToken())
	all := make([]pendingOrder, 0, len(f.Steps))
	for _, step := range f.Steps {
		step.Assignment.Generation = generation
		all = append(all, d.newOrder(step.Node, step.Assignment, step.Reason))
	}
	d.controller.opts.Logger.Info("forming replica", "replica", f.Replica, "generation", generation, "reason", f.Reason)
	return all
}

// isBlocked reports whether a permit blocks any of the steps. See blockingPermits.
func (d *domain) isBlocked(steps []placement.Step, now time.Time) bool {
	return slices.ContainsFunc(steps, func(s placement.Step) bool { return len(d.blockingPermits(s.Node, now)) > 0 })
}

// releaseOrders returns orders for the replicas whose permits block the steps. A permit is the
// permission to send a replica requests until a deadline. Each order releases the head of such a
// replica. Once the head has confirmed, the permit no longer blocks. Heads that didn't answer or
// don't check tokens get no order.
func (d *domain) releaseOrders(steps []placement.Step, now time.Time) []pendingOrder {
	alreadyReleased := make(map[string]bool)
	var all []pendingOrder
	for _, step := range steps {
		for _, p := range d.blockingPermits(step.Node, now) {
			headID := p.assignment.Members[0]
			m, known := d.nodes[headID]
			if alreadyReleased[headID] || !known || !m.answered || !m.isFenced() {
				continue
			}
			alreadyReleased[headID] = true
			all = append(all, d.newOrder(headID, cluster.Assignment{}, "free a broken replica before its nodes move"))
		}
	}
	return all
}

// rankBits and sequenceBits are the numbers of bits of the rank and the sequence in a generation.
// The epoch takes the higher bits.
const (
	rankBits     = 12
	sequenceBits = 28
)

// generationOf returns the generation number of a replica that is formed with the token. Each token
// is used once, so generations are unique, and later ones are higher. They are reported in JSON and
// must stay below 2^63.
func generationOf(t token.Token) uint64 {
	rank := uint64(t.Rank) & (1<<rankBits - 1)
	sequence := t.Sequence & (1<<sequenceBits - 1)
	return t.Epoch<<(rankBits+sequenceBits) | rank<<sequenceBits | sequence
}

// reaffirmOrders returns orders for nodes that have not confirmed this leader. Each order repeats
// the node's current assignment with a token of this leader, so that the node rejects later orders
// of earlier leaders. Nodes that have a planned order are left out.
func (d *domain) reaffirmOrders(planned []pendingOrder) []pendingOrder {
	hasOrder := orderedNodes(planned)
	var all []pendingOrder
	for id, m := range d.nodes {
		if hasOrder[id] || m.listed.Kind != cluster.KindEngine || m.isScripted() || !m.isFenced() || !m.answered {
			continue
		}
		if d.confirmsLeader(m) || m.state.Assignment.IsEmpty() {
			continue
		}
		all = append(all, d.newOrder(id, m.state.Assignment, "confirm the owner"))
	}
	return all
}

// newOrder returns an order with a new token for a node.
func (d *domain) newOrder(node string, a cluster.Assignment, reason string) pendingOrder {
	m := d.nodes[node]
	t := d.nextToken()
	if !m.state.Assignment.SameReplica(a) {
		// The token of an order that repeats the assignment is not recorded, because such an order
		// does no harm if it arrives late.
		m.lastOrderToken = t
	}
	return pendingOrder{node: m, order: cluster.Order{Token: t, Assignment: a}, reason: reason}
}

// sendOrders sends the orders concurrently. Unanswered orders are not repeated here. The next probe
// shows whether they took effect.
func (d *domain) sendOrders(ctx context.Context, orders []pendingOrder) {
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if time.Now().After(d.lastProbeAt.Add(maxProbeAge)) {
		// The process was suspended, so the probe's results may be outdated.
		return
	}
	p := pool.NewWithResults[nodeAnswer]().WithMaxGoroutines(maxParallelCalls)
	for _, o := range orders {
		address, id := o.node.listed.Address, o.node.listed.ID
		p.Go(func() nodeAnswer {
			reply, err := d.controller.opts.NodeControl.Order(ctx, address, o.order)
			return nodeAnswer{id: id, state: reply.State, err: err}
		})
	}
	for _, r := range p.Wait() {
		if r.err == nil {
			d.recordToken(d.nodes[r.id], r.state.Token)
		}
	}
}

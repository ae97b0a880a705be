package placement

import (
	"maps"
	"slices"
)

// Constants for comparing the costs of an objective.
const (
	// nodeFailuresPerSecond is the expected rate of failures of one node: 120 of 6,200 nodes fail
	// each day.
	nodeFailuresPerSecond = 120.0 / 6200 / 86400
	// drainSeconds is how much longer a repair takes if there are no spare nodes. It then has to
	// take nodes from another replica and wait until the requests there have finished.
	drainSeconds = 8.0
)

// Pays reports whether idle nodes should form additional replicas instead of being spares. This
// pays if the cost of idle accelerators is higher than the cost of the longer repairs of replicas
// without spares. The argument nodesInReplicas is the number of nodes of the other replicas.
func (o Objective) Pays(idleAccelerators, nodesInReplicas int) bool {
	idle := o.Stranded * float64(idleAccelerators)
	repairs := o.Downtime * nodeFailuresPerSecond * float64(nodesInReplicas) * drainSeconds
	return idle > repairs
}

// fill forms replicas beyond the wanted number from the remaining nodes if the deployment asks for
// it and has all wanted replicas.
func (p *planner) fill(want Want) {
	if !want.Fill || p.hasUnformedReplica(want.Deployment) {
		return
	}
	for {
		free := p.chooseNodes(want, nil)
		if len(free) < want.Size {
			return
		}
		id := p.freeID(want.Deployment)
		p.extraReplicas[id] = true
		p.formReplica(want, id, nil, "fills nodes that would be idle")
	}
}

// hasUnformedReplica reports whether a wanted replica of the deployment is not formed yet. This
// includes replicas that this plan forms.
func (p *planner) hasUnformedReplica(deployment string) bool {
	for _, d := range p.plan.deployments {
		if d == deployment {
			return true
		}
	}
	return false
}

// preload orders nodes to fetch weights that they may need later. Members of outdated replicas
// fetch the new version of their deployment. Spare nodes fetch the version of the deployment with
// the highest priority that selects them. Replicas that are loading weights reduce the number of
// such orders.
func (p *planner) preload() {
	budget := p.preloadBudget()
	addOrder := func(n *Node, version, reason string) {
		if budget > 0 && n.isUsable() && !n.hasWeights(version) && !slices.Contains(n.Preloading, version) {
			p.plan.Preloads = append(p.plan.Preloads, Preload{Node: n.ID, Version: version, Reason: reason})
			budget--
		}
	}
	for _, o := range p.outdated {
		for _, n := range o.group.nodes {
			addOrder(n, o.version, "the new version of "+o.group.id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.nodes)) {
		if n := p.nodes[id]; p.usedBy[id] == "" && n.Assignment.IsEmpty() {
			if want, ok := p.firstWant(n); ok {
				addOrder(n, want.Version, "warm spare for "+want.Deployment)
			}
		}
	}
}

// preloadBudget returns the number of nodes that may start to preload now. It is not positive if
// none may.
func (p *planner) preloadBudget() int {
	if p.in.MaxConcurrentLoads == 0 {
		return len(p.nodes)
	}
	largest, preloading := 1, 0
	for _, want := range p.wants {
		largest = max(largest, want.Size)
	}
	for _, n := range p.nodes {
		if len(n.Preloading) > 0 {
			preloading++
		}
	}
	return (p.in.MaxConcurrentLoads-p.loadingCount)*largest - preloading
}

// firstWant returns the want with the highest priority that selects the node.
func (p *planner) firstWant(n *Node) (Want, bool) {
	for _, want := range p.wants {
		if want.Selects(n.Labels) {
			return want, true
		}
	}
	return Want{}, false
}

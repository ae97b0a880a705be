package placement

import (
	"maps"
	"slices"
)

// Constants for comparing the costs of an objective.
const (
	// nodeFailuresPerSecond is the failure rate of a node: 120 of 6,200 nodes a day.
	nodeFailuresPerSecond = 120.0 / 6200 / 86400
	// drainSeconds is how much longer a repair takes if its nodes first have to be drained from
	// another replica.
	drainSeconds = 8.0
)

// Pays reports whether idle nodes should serve in additional replicas instead of waiting as
// spares: the cost of the idle accelerators must exceed the cost of the longer repairs of the
// other replicas. It is false if stranded accelerators have no cost.
func (o Objective) Pays(idleAccelerators, nodesInReplicas int) bool {
	idle := o.Stranded * float64(idleAccelerators)
	repairs := o.Downtime * nodeFailuresPerSecond * float64(nodesInReplicas) * drainSeconds
	return idle > repairs
}

// fill forms replicas beyond the wanted number from the remaining nodes.
func (p *planner) fill(want Want) {
	if !want.Fill || p.hasDark(want.Deployment) {
		return
	}
	for {
		free := p.choose(want, nil)
		if len(free) < want.Size {
			return
		}
		id := p.freeID(want.Deployment)
		p.extra[id] = true
		p.formReplica(want, id, nil, "fills nodes that would be idle")
	}
}

// hasDark reports whether a wanted replica of the deployment still has to be formed.
func (p *planner) hasDark(deployment string) bool {
	for _, d := range p.plan.deployments {
		if d == deployment {
			return true
		}
	}
	return false
}

// preload orders nodes to fetch weights that they will need: spare nodes those of the first
// deployment that selects them, and members of outdated replicas those of the new version. Loads
// of replicas that are being formed take precedence.
func (p *planner) preload() {
	budget := p.preloadBudget()
	add := func(n *Node, version, reason string) {
		if budget > 0 && n.isUsable() && !n.hasWeights(version) && !slices.Contains(n.Preloading, version) {
			p.plan.Preloads = append(p.plan.Preloads, Preload{Node: n.ID, Version: version, Reason: reason})
			budget--
		}
	}
	for _, o := range p.outdated {
		for _, n := range o.group.nodes {
			add(n, o.version, "the new version of "+o.group.id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.nodes)) {
		if n := p.nodes[id]; p.usedBy[id] == "" && n.Assignment.Empty() {
			if want, ok := p.firstWant(n); ok {
				add(n, want.Version, "warm spare for "+want.Deployment)
			}
		}
	}
}

// preloadBudget returns the number of nodes that may start to preload now.
func (p *planner) preloadBudget() int {
	if p.in.LoadSlots == 0 {
		return len(p.nodes)
	}
	largest, busy := 1, 0
	for _, want := range p.wants {
		largest = max(largest, want.Size)
	}
	for _, n := range p.nodes {
		if len(n.Preloading) > 0 {
			busy++
		}
	}
	return (p.in.LoadSlots-p.loading)*largest - busy
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

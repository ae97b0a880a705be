package placement

import (
	"maps"
	"slices"
)

// Rates by which the prices of an objective are compared.
const (
	// nodeFailuresPerSecond is how often one node fails: 120 of 6,200 a day.
	nodeFailuresPerSecond = 120.0 / 6200 / 86400
	// yieldSeconds is how much longer a repair takes when its nodes first have
	// to be drained from another replica.
	yieldSeconds = 8.0
)

// Pays reports whether idle nodes should serve in further replicas instead of
// waiting as spares: the price of the accelerators that are idle must exceed
// that of the longer repairs of the replicas that the spares would have served.
// Without a price on stranded accelerators nothing is filled.
func (o Objective) Pays(idleAccelerators, nodesInReplicas int) bool {
	idle := o.Stranded * float64(idleAccelerators)
	repairs := o.Downtime * nodeFailuresPerSecond * float64(nodesInReplicas) * yieldSeconds
	return idle > repairs
}

// fill forms replicas beyond the wanted number from nodes that are left.
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

// hasDark reports whether a wanted replica of the deployment is still to be
// formed: it comes first.
func (p *planner) hasDark(deployment string) bool {
	for _, d := range p.plan.deployments {
		if d == deployment {
			return true
		}
	}
	return false
}

// preload lets nodes fetch weights that they will need: spares those of the
// first deployment that selects them, and members of outdated replicas those
// of the new version. Loads of replicas that are being formed come first.
func (p *planner) preload() {
	budget := p.preloadBudget()
	add := func(n *Node, version, reason string) {
		if budget > 0 && n.usable() && !n.holds(version) && !slices.Contains(n.Preloading, version) {
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
		if n := p.nodes[id]; p.taken[id] == "" && n.Assignment.Empty() {
			if want, ok := p.firstWant(n); ok {
				add(n, want.Version, "warm spare for "+want.Deployment)
			}
		}
	}
}

// preloadBudget returns how many nodes may begin to preload now.
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

// firstWant returns the want of the highest priority that selects the node.
func (p *planner) firstWant(n *Node) (Want, bool) {
	for _, want := range p.wants {
		if want.Selects(n.Labels) {
			return want, true
		}
	}
	return Want{}, false
}

package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"quartzshelf.dev/cluster"
)

// Make returns the plan for an input.
//
// Complete replicas stay unchanged. A broken replica is formed again from its remaining nodes and
// from spares. Spares that have cached the weights are preferred. Nodes are taken from surplus
// replicas or from deployments of lower priority only if there are not enough spares.
func Make(in Input) Plan {
	p := newPlanner(in)
	if in.Closed {
		p.planClosed()
		return p.plan
	}
	for _, want := range p.wants {
		p.keep(want)
	}
	for _, want := range p.wants {
		p.roll(want)
	}
	for _, want := range p.wants {
		p.form(want)
	}
	for _, want := range p.wants {
		p.fill(want)
	}
	p.preload()
	p.release()
	p.explainIdle()
	return p.plan
}

// group is the set of nodes with the same assignment.
type group struct {
	id         string
	generation uint64
	deployment string
	nodes      []*Node
}

// planner holds the state of making one plan.
type planner struct {
	in     Input
	plan   Plan
	nodes  map[string]*Node
	wants  []Want
	groups map[string]*group
	// usedBy maps the ID of each node in use to the ID of the replica that uses it.
	usedBy map[string]string
	// placedCount maps each deployment to the number of its wanted replicas that are kept, broken
	// or planned.
	placedCount map[string]int
	// brokenGroups maps each deployment to its groups that need repair.
	brokenGroups map[string][]*group
	// extraReplicas contains the IDs of replicas that are kept or formed beyond the wanted number.
	extraReplicas map[string]bool
	// outdated lists the groups whose nodes should fetch another version.
	outdated []outdatedGroup
	// loadingCount is the number of replicas that load weights, including those that this plan
	// forms.
	loadingCount int
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:            in,
		nodes:         make(map[string]*Node, len(in.Nodes)),
		wants:         slices.Clone(in.Wants),
		groups:        make(map[string]*group),
		usedBy:        make(map[string]string),
		placedCount:   make(map[string]int),
		brokenGroups:  make(map[string][]*group),
		extraReplicas: make(map[string]bool),
		plan:          Plan{NotServing: make(map[string]string), Idle: make(map[string]string), deployments: make(map[string]string)},
	}
	slices.SortStableFunc(p.wants, func(a, b Want) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), strings.Compare(a.Deployment, b.Deployment))
	})
	for i := range in.Nodes {
		n := &in.Nodes[i]
		p.nodes[n.ID] = n
		p.addToGroup(n)
	}
	return p
}

// addToGroup adds a node to the group of its assignment. A group has only nodes of the newest
// generation of a replica. Nodes of older generations may be used for other replicas.
func (p *planner) addToGroup(n *Node) {
	a := n.Assignment
	if a.IsEmpty() || n.Scripted {
		return
	}
	g, ok := p.groups[a.Replica]
	if !ok || a.Generation > g.generation {
		g = &group{id: a.Replica, generation: a.Generation, deployment: a.Deployment}
		p.groups[a.Replica] = g
	}
	if a.Generation == g.generation {
		g.nodes = append(g.nodes, n)
	}
}

// sortedGroups returns the groups of a deployment, those with the highest readiness first and then
// by ID. Callers treat the last groups as surplus.
func (p *planner) sortedGroups(deployment string) []*group {
	var all []*group
	for _, g := range p.groups {
		if g.deployment == deployment {
			all = append(all, g)
		}
	}
	slices.SortFunc(all, func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.readiness(), a.readiness()), strings.Compare(a.id, b.id))
	})
	return all
}

// readiness returns the number of usable nodes of the group plus the number of ready ones.
func (g *group) readiness() int {
	sum := 0
	for _, n := range g.nodes {
		if n.isUsable() {
			sum++
		}
		if n.Phase == cluster.PhaseReady {
			sum++
		}
	}
	return sum
}

// keep keeps the complete groups of a deployment and records the broken ones, up to the wanted
// number.
func (p *planner) keep(want Want) {
	for _, g := range p.sortedGroups(want.Deployment) {
		if p.placedCount[want.Deployment] >= want.Replicas {
			p.keepExtra(g, want)
			continue
		}
		p.placedCount[want.Deployment]++
		if problem := p.problemOf(g, want); problem != "" {
			p.plan.NotServing[g.id] = problem
			p.brokenGroups[want.Deployment] = append(p.brokenGroups[want.Deployment], g)
			continue
		}
		p.keepGroup(g)
	}
}

// keepExtra keeps a complete replica beyond the wanted number if the deployment asks for additional
// replicas. Its nodes may be taken for any wanted replica.
func (p *planner) keepExtra(g *group, want Want) {
	if want.Fill && p.problemOf(g, want) == "" {
		p.extraReplicas[g.id] = true
		p.keepGroup(g)
	}
}

func (p *planner) keepGroup(g *group) {
	p.plan.Kept = append(p.plan.Kept, g.id)
	isLoading := false
	for _, n := range g.nodes {
		p.usedBy[n.ID] = g.id
		isLoading = isLoading || n.Phase == cluster.PhaseLoading
	}
	if isLoading {
		p.loadingCount++
		p.plan.NotServing[g.id] = "loading weights"
	}
}

// problemOf returns why a group cannot stay unchanged, or an empty string if it can. A node that
// missed a probe but is not lost is not a problem.
func (p *planner) problemOf(g *group, want Want) string {
	members := g.nodes[0].Assignment.Members
	if len(members) != want.Size {
		return fmt.Sprintf("has %d nodes, wants %d", len(members), want.Size)
	}
	for _, id := range members {
		n, ok := p.nodes[id]
		switch {
		case !ok:
			return fmt.Sprintf("node %s is not listed", id)
		case n.Lost:
			return fmt.Sprintf("node %s does not answer", id)
		case n.Leaving:
			return fmt.Sprintf("node %s is leaving", id)
		case n.Answering && (n.Assignment.Replica != g.id || n.Assignment.Generation != g.generation):
			return fmt.Sprintf("node %s lost its assignment", id)
		case !want.Selects(n.Labels):
			return fmt.Sprintf("node %s is no longer selected", id)
		}
	}
	return ""
}

// outdatedGroup is a group whose nodes should fetch another version.
type outdatedGroup struct {
	group   *group
	version string
}

// hasWeights reports whether every node of the group has the weights of a version.
func (g *group) hasWeights(version string) bool {
	return !slices.ContainsFunc(g.nodes, func(n *Node) bool { return !n.hasWeights(version) })
}

// roll moves the deployment's groups to the wanted version. A group of another version is marked as
// broken, so that it is formed again. This requires that it may be taken down now and that all its
// nodes have cached the new weights. Groups without the new weights are recorded as outdated.
func (p *planner) roll(want Want) {
	for _, g := range p.sortedGroups(want.Deployment) {
		current := g.nodes[0].Assignment
		isOutdated := current.Version != want.Version || !slices.Equal(current.Adapters, want.Adapters)
		isKept := slices.Contains(p.plan.Kept, g.id)
		if !isOutdated || !isKept {
			continue
		}
		if !g.hasWeights(want.Version) {
			p.outdated = append(p.outdated, outdatedGroup{group: g, version: want.Version})
			continue
		}
		if !slices.Contains(want.MayRoll, g.id) {
			continue
		}
		for _, n := range g.nodes {
			delete(p.usedBy, n.ID)
		}
		p.plan.Kept = slices.DeleteFunc(p.plan.Kept, func(id string) bool { return id == g.id })
		p.plan.NotServing[g.id] = fmt.Sprintf("changing from version %s to %s", current.Version, want.Version)
		p.brokenGroups[want.Deployment] = append(p.brokenGroups[want.Deployment], g)
	}
}

// form repairs the deployment's broken groups and adds missing replicas.
func (p *planner) form(want Want) {
	for _, g := range p.brokenGroups[want.Deployment] {
		p.formReplica(want, g.id, g.nodes, p.plan.NotServing[g.id])
	}
	for p.placedCount[want.Deployment] < want.Replicas {
		id := p.freeID(want.Deployment)
		if !p.formReplica(want, id, nil, "wanted by the deployment") {
			return
		}
		p.placedCount[want.Deployment]++
	}
}

// freeID returns the first unused ID for a replica of the deployment in this domain.
func (p *planner) freeID(deployment string) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s-%s-%d", deployment, p.in.Domain, i)
		_, isUsed := p.groups[id]
		_, isDark := p.plan.NotServing[id]
		if !isUsed && !isDark {
			return id
		}
	}
}

// formReplica plans a replica from the remaining nodes of a broken one and from other nodes. It
// reports whether there were enough nodes. If too many replicas load weights, it only reserves the
// nodes.
func (p *planner) formReplica(want Want, id string, survivors []*Node, reason string) bool {
	p.plan.deployments[id] = want.Deployment
	chosen := p.chooseNodes(want, survivors)
	if len(chosen) < want.Size {
		chosen = append(chosen, p.preempt(want, want.Size-len(chosen))...)
	}
	if len(chosen) < want.Size {
		p.plan.NotServing[id] = fmt.Sprintf("%s; needs %d nodes, only %d can be used", reason, want.Size, len(chosen))
		p.reserve(id, survivors)
		return false
	}
	needsLoad := slices.ContainsFunc(chosen, func(n *Node) bool { return !n.hasWeights(want.Version) })
	if needsLoad && p.in.MaxConcurrentLoads > 0 && p.loadingCount >= p.in.MaxConcurrentLoads {
		p.plan.NotServing[id] = reason + "; waits for the weight store"
		for _, n := range chosen {
			p.usedBy[n.ID] = id
		}
		return true
	}
	if needsLoad {
		p.loadingCount++
	}
	p.plan.NotServing[id] = reason
	p.plan.Formations = append(p.plan.Formations, p.newFormation(want, id, chosen, reason))
	return true
}

// reserve marks the remaining nodes of a replica as used by it, although the replica cannot be
// formed yet. Other replicas then do not get these nodes.
func (p *planner) reserve(id string, survivors []*Node) {
	for _, n := range survivors {
		if n.isUsable() && p.usedBy[n.ID] == "" {
			p.usedBy[n.ID] = id
		}
	}
}

func (p *planner) newFormation(want Want, id string, chosen []*Node, reason string) Formation {
	slices.SortFunc(chosen, func(a, b *Node) int { return strings.Compare(a.ID, b.ID) })
	members := make([]string, 0, len(chosen))
	for _, n := range chosen {
		members = append(members, n.ID)
		p.usedBy[n.ID] = id
	}
	assignment := cluster.Assignment{
		Replica: id, Deployment: want.Deployment, Model: want.Model,
		Version: want.Version, Adapters: want.Adapters, Members: members,
	}
	f := Formation{Replica: id, Reason: reason}
	for _, n := range chosen {
		f.Steps = append(f.Steps, Step{Node: n.ID, Assignment: assignment, Reason: reason})
	}
	return f
}

// chooseNodes returns up to want.Size unused nodes. It prefers the remaining nodes of the replica,
// then nodes that have cached the weights.
func (p *planner) chooseNodes(want Want, survivors []*Node) []*Node {
	var free []*Node
	for _, n := range p.nodes {
		if n.isUsable() && p.usedBy[n.ID] == "" && want.Selects(n.Labels) && !p.isReservedByOther(n, want) {
			free = append(free, n)
		}
	}
	rank := func(n *Node) int {
		switch {
		case slices.Contains(survivors, n):
			return 0
		case n.hasWeights(want.Version):
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(free, func(a, b *Node) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), strings.Compare(a.ID, b.ID))
	})
	return free[:min(want.Size, len(free))]
}

// isReservedByOther reports whether the node belongs to a broken group of another deployment that
// has an equal or higher priority.
func (p *planner) isReservedByOther(n *Node, want Want) bool {
	for _, other := range p.wants {
		if other.Deployment == want.Deployment || other.Priority < want.Priority {
			continue
		}
		for _, g := range p.brokenGroups[other.Deployment] {
			if slices.Contains(g.nodes, n) && g.generation == n.Assignment.Generation {
				return true
			}
		}
	}
	return false
}

// preempt dissolves replicas that are surplus or of lower priority, as many as needed for the
// missing number of nodes, and returns these nodes. If they would not suffice, it dissolves none.
func (p *planner) preempt(want Want, missing int) []*Node {
	var found []*Node
	var victims []*group
	for _, g := range p.preemptable(want) {
		if len(found) >= missing {
			break
		}
		if usable := p.usableNodes(g, want); len(usable) > 0 {
			victims = append(victims, g)
			found = append(found, usable...)
		}
	}
	if len(found) < missing {
		return nil
	}
	for _, g := range victims {
		p.dissolve(g, want.Deployment)
	}
	return found[:missing]
}

// preemptable returns the kept replicas that the want may preempt. Those beyond the wanted number
// come first, then those of lower priority, the lowest first.
func (p *planner) preemptable(want Want) []*group {
	var extra, lower []*group
	for _, other := range slices.Backward(p.wants) {
		for _, g := range slices.Backward(p.sortedGroups(other.Deployment)) {
			switch {
			case !slices.Contains(p.plan.Kept, g.id):
			case p.extraReplicas[g.id]:
				extra = append(extra, g)
			case other.Priority < want.Priority:
				lower = append(lower, g)
			}
		}
	}
	return append(extra, lower...)
}

// usableNodes returns the nodes of a group that the want can use.
func (p *planner) usableNodes(g *group, want Want) []*Node {
	var usable []*Node
	for _, n := range g.nodes {
		if n.isUsable() && want.Selects(n.Labels) {
			usable = append(usable, n)
		}
	}
	return usable
}

// dissolve frees the nodes of a kept replica for the deployment to.
func (p *planner) dissolve(g *group, to string) {
	p.plan.Kept = slices.DeleteFunc(p.plan.Kept, func(id string) bool { return id == g.id })
	if !p.extraReplicas[g.id] {
		p.plan.NotServing[g.id] = "its nodes went to " + to + ", which has the higher priority"
	}
	for _, n := range g.nodes {
		delete(p.usedBy, n.ID)
	}
}

// release adds orders that remove nodes from replicas that are no longer wanted.
func (p *planner) release() {
	for _, id := range slices.Sorted(maps.Keys(p.nodes)) {
		n := p.nodes[id]
		if n.Assignment.IsEmpty() || n.Scripted || !n.Answering || n.Unorderable || p.usedBy[id] != "" {
			continue
		}
		if _, isDark := p.plan.NotServing[n.Assignment.Replica]; isDark && !n.Leaving {
			continue
		}
		p.plan.Releases = append(p.plan.Releases, Step{Node: id, Reason: "its replica is no longer wanted"})
	}
}

// explainIdle records for each unused node why it belongs to no replica.
func (p *planner) explainIdle() {
	for id, n := range p.nodes {
		if p.usedBy[id] == "" {
			p.plan.Idle[id] = p.idleReason(n)
		}
	}
}

func (p *planner) idleReason(n *Node) string {
	switch {
	case p.in.Closed:
		return "its data hall is closed"
	case n.Scripted:
		return "managed by scripts"
	case n.Lost || !n.Answering:
		return "does not answer"
	case n.Leaving:
		return "is leaving"
	case n.Unorderable:
		return "does not check tokens, and the lease for its domain is not confirmed"
	}
	for _, want := range p.wants {
		if want.Selects(n.Labels) {
			return "spare: the selected deployments have all the replicas they want here or too few nodes for another"
		}
	}
	return "no deployment selects it"
}

package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/config"
)

// observedReplica is a replica as found on its nodes by the last probe.
type observedReplica struct {
	id         string
	assignment cluster.Assignment
	members    []*trackedNode
	isScripted bool
	// problem is why the replica can't serve. It is empty if every member confirms the assignment.
	problem string
}

// isIntact reports whether the replica can serve.
func (o observedReplica) isIntact() bool { return o.problem == "" }

// isLeaving reports whether any member is leaving. The replica then gets no new requests, even if
// its nodes can't be replaced.
func (o observedReplica) isLeaving() bool {
	return slices.ContainsFunc(o.members, (*trackedNode).isLeaving)
}

// head returns the node that accepts the replica's requests.
func (o observedReplica) head() *trackedNode { return o.members[0] }

// isIdle reports whether the replica had no active or queued requests at the last probe.
func (o observedReplica) isIdle() bool {
	load := o.head().state.Load
	return load.Active == 0 && load.Queue == 0
}

// observeReplicas returns the replicas found on the nodes, sorted by ID.
func (d *domain) observeReplicas(view *config.View) []observedReplica {
	assignmentsByID := make(map[string]cluster.Assignment)
	scriptedNodesByID := make(map[string][]*trackedNode)
	for _, m := range d.nodes {
		switch {
		case m.listed.Kind != cluster.KindEngine:
		case m.isScripted():
			id := m.labels[config.LabelDeployment] + "/" + m.labels[config.LabelReplica]
			scriptedNodesByID[id] = append(scriptedNodesByID[id], m)
		case !m.state.Assignment.IsEmpty():
			a := m.state.Assignment
			if a.Generation > assignmentsByID[a.Replica].Generation {
				assignmentsByID[a.Replica] = a
			}
		}
	}
	var all []observedReplica
	for id, a := range assignmentsByID {
		all = append(all, d.observeManaged(id, a))
	}
	for id, members := range scriptedNodesByID {
		all = append(all, observeScripted(view, id, members))
	}
	slices.SortFunc(all, func(a, b observedReplica) int { return strings.Compare(a.id, b.id) })
	return all
}

// observeManaged returns the replica with the given assignment. The replica has a problem unless
// every member is ready in the assignment's generation. Members that check fencing tokens must also
// have accepted a token of this leader. They then reject orders of earlier leaders.
func (d *domain) observeManaged(id string, a cluster.Assignment) observedReplica {
	o := observedReplica{id: id, assignment: a}
	for _, member := range a.Members {
		m, ok := d.nodes[member]
		if !ok {
			o.problem = fmt.Sprintf("node %s is not listed", member)
			continue
		}
		o.members = append(o.members, m)
		if problem := d.memberProblem(m, a); problem != "" && o.problem == "" {
			o.problem = fmt.Sprintf("node %s %s", member, problem)
		}
	}
	return o
}

// memberProblem returns why a member doesn't confirm the assignment, or an empty string.
func (d *domain) memberProblem(m *trackedNode, a cluster.Assignment) string {
	switch {
	case !m.answered:
		return "does not answer"
	case !m.state.Assignment.SameReplica(a):
		return "is not part of this generation"
	case m.state.Phase != cluster.PhaseReady:
		return "is " + string(m.state.Phase)
	case m.isFenced() && !d.confirmsLeader(m):
		return "has not yet confirmed this owner"
	}
	return ""
}

// confirmsLeader reports whether the node's token is from this leader and not lower than
// lastOrderToken. With a lower token, an unanswered order could still arrive and change the
// assignment.
func (d *domain) confirmsLeader(m *trackedNode) bool {
	t := m.state.Token
	return t.Epoch == d.token.Epoch && t.Rank == d.token.Rank && !m.lastOrderToken.Higher(t)
}

// observeScripted returns a replica that is managed by operators' scripts and not by this package.
// Its deployment must exist, and it must have as many nodes as the deployment requires. All nodes
// must be ready with the same assignment. Otherwise the replica has a problem.
func observeScripted(view *config.View, id string, members []*trackedNode) observedReplica {
	slices.SortFunc(members, func(a, b *trackedNode) int { return strings.Compare(a.listed.ID, b.listed.ID) })
	name, _, _ := strings.Cut(id, "/")
	o := observedReplica{id: id, members: members, isScripted: true}
	o.assignment = members[0].state.Assignment
	o.assignment.Deployment = name
	deployment, ok := view.Deployment(name)
	if !ok {
		o.problem = fmt.Sprintf("its nodes name the deployment %q, which does not exist", name)
		return o
	}
	if want := deployment.Spec().NodesPerReplica; len(members) != want {
		o.problem = fmt.Sprintf("%d nodes carry its labels, wants %d", len(members), want)
		return o
	}
	for _, m := range members {
		switch {
		case !m.answered:
			o.problem = fmt.Sprintf("node %s does not answer", m.listed.ID)
		case m.state.Phase != cluster.PhaseReady || !m.state.Assignment.SameReplica(members[0].state.Assignment):
			o.problem = fmt.Sprintf("node %s is not ready", m.listed.ID)
		}
	}
	return o
}

// ensureDrained reports whether the replica's nodes may be reassigned, because it is drained or
// because drainTimeout has passed. The first call for a replica starts the drain.
func (d *domain) ensureDrained(o observedReplica, now time.Time) bool {
	state, ok := d.drains[o.id]
	if !ok {
		d.drains[o.id] = drain{
			settledAt: now.Add(d.controller.opts.ServeWindow + maxLoadAge),
			forceAt:   now.Add(drainTimeout),
		}
		d.controller.opts.Logger.Info("draining replica", "replica", o.id)
		return false
	}
	if now.After(state.forceAt) {
		return true
	}
	return now.After(state.settledAt) && o.isIdle()
}

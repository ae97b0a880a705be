package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/config"
)

// observed is a replica as the last probe found it on its nodes.
type observed struct {
	id         string
	assignment cluster.Assignment
	members    []*nodeMemory
	scripted   bool
	// problem is empty when every member confirms the replica.
	problem string
}

// intact reports whether the replica can serve.
func (o observed) intact() bool { return o.problem == "" }

// leaving reports whether a member is being taken out of use: the replica then
// takes no new work, whether or not its nodes can be replaced.
func (o observed) leaving() bool {
	return slices.ContainsFunc(o.members, (*nodeMemory).leaving)
}

// leader returns the node that answers requests.
func (o observed) leader() *nodeMemory { return o.members[0] }

// idle reports whether the replica's own report shows no request.
func (o observed) idle() bool {
	load := o.leader().state.Load
	return load.Active == 0 && load.Queue == 0
}

// groups returns the replicas found on the nodes, sorted by name.
func (d *domain) groups(view *config.View) []observed {
	byID := make(map[string]cluster.Assignment)
	scripted := make(map[string][]*nodeMemory)
	for _, m := range d.nodes {
		switch {
		case m.listed.Kind != cluster.KindEngine:
		case m.scripted():
			id := m.labels[config.LabelDeployment] + "/" + m.labels[config.LabelReplica]
			scripted[id] = append(scripted[id], m)
		case !m.state.Assignment.Empty():
			a := m.state.Assignment
			if a.Generation > byID[a.Replica].Generation {
				byID[a.Replica] = a
			}
		}
	}
	var all []observed
	for id, a := range byID {
		all = append(all, d.managedGroup(id, a))
	}
	for id, members := range scripted {
		all = append(all, scriptedGroup(view, id, members))
	}
	slices.SortFunc(all, func(a, b observed) int { return strings.Compare(a.id, b.id) })
	return all
}

// managedGroup checks that every member confirms the same generation, under
// this leader's token where the member checks tokens: then no order of an
// earlier leader can change it any more.
func (d *domain) managedGroup(id string, a cluster.Assignment) observed {
	o := observed{id: id, assignment: a}
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

// memberProblem returns what keeps a member from confirming an assignment.
func (d *domain) memberProblem(m *nodeMemory, a cluster.Assignment) string {
	switch {
	case !m.answered:
		return "does not answer"
	case !m.state.Assignment.Same(a):
		return "is not part of this generation"
	case m.state.Phase != cluster.PhaseReady:
		return "is " + string(m.state.Phase)
	case m.fenced() && !d.mine(m):
		return "has not yet confirmed this owner"
	}
	return ""
}

// mine reports whether the node's token is of this leader and not older than
// the last order sent: an order whose answer was lost may still arrive.
func (d *domain) mine(m *nodeMemory) bool {
	t := m.state.Token
	return t.Epoch == d.token.Epoch && t.Rank == d.token.Rank && !m.ordered.Higher(t)
}

// scriptedGroup checks a replica that scripts run: every node that its
// deployment asks for must answer and be ready.
func scriptedGroup(view *config.View, id string, members []*nodeMemory) observed {
	slices.SortFunc(members, func(a, b *nodeMemory) int { return strings.Compare(a.listed.ID, b.listed.ID) })
	name, _, _ := strings.Cut(id, "/")
	o := observed{id: id, members: members, scripted: true}
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
		case m.state.Phase != cluster.PhaseReady || !m.state.Assignment.Same(members[0].state.Assignment):
			o.problem = fmt.Sprintf("node %s is not ready", m.listed.ID)
		}
	}
	return o
}

// drained reports whether the replica's nodes may move. The first call for a
// replica starts the drain.
func (d *domain) drained(o observed, now time.Time) bool {
	state, ok := d.drains[o.id]
	if !ok {
		d.drains[o.id] = drain{
			settledAt: now.Add(d.c.opts.ServeWindow + loadLag),
			forceAt:   now.Add(drainLimit),
		}
		d.c.opts.Logger.Info("draining replica", "replica", o.id)
		return false
	}
	if now.After(state.forceAt) {
		return true
	}
	return now.After(state.settledAt) && o.idle()
}

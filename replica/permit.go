package replica

import (
	"slices"
	"time"

	"quartzshelf.dev/cluster"
)

// permit is what routers may still act on: that a replica may serve, in one
// generation, until a deadline.
type permit struct {
	assignment cluster.Assignment
	until      time.Time
}

// grantPermits notes what a report that was just published allows.
func (d *domain) grantPermits(groups []observed, until time.Time) {
	for _, o := range groups {
		if o.intact() && !o.scripted && !d.isDraining(o) {
			d.permits[o.assignment.Name()] = permit{assignment: o.assignment, until: until}
		}
	}
}

// assumePermits notes what an earlier leader may have allowed: as long as a
// node has not confirmed this leader, an earlier one may just have published.
func (d *domain) assumePermits(groups []observed, now time.Time) {
	for name, p := range d.permits {
		if now.After(p.until) {
			delete(d.permits, name)
		}
	}
	for _, o := range groups {
		unconfirmed := slices.ContainsFunc(o.members, func(m *nodeMemory) bool { return m.fenced() && !d.mine(m) })
		if unconfirmed && !o.scripted {
			d.permits[o.assignment.Name()] = permit{assignment: o.assignment, until: now.Add(d.c.opts.ServeWindow)}
		}
	}
}

// guards returns the replicas whose permits forbid to give a node another
// assignment: routers may still send to them, and the node that answers would
// still accept. A node that answers for the replica itself may move: from then
// on it refuses what was meant for the replica.
func (d *domain) guards(node string, now time.Time) []permit {
	var all []permit
	for _, p := range d.permits {
		members := p.assignment.Members
		if now.After(p.until) || !slices.Contains(members, node) || members[0] == node {
			continue
		}
		leader, known := d.nodes[members[0]]
		moved := known && leader.answered && !leader.state.Assignment.Same(p.assignment)
		if !moved {
			all = append(all, p)
		}
	}
	return all
}

// isDraining reports whether the replica takes no new work.
func (d *domain) isDraining(o observed) bool {
	_, draining := d.drains[o.id]
	return draining || o.leaving()
}

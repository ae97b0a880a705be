package replica

import (
	"slices"
	"time"

	"quartzshelf.dev/cluster"
)

// permit is the permission to send requests to a replica in one generation. It is granted by a
// report, and routers may rely on it until the deadline.
type permit struct {
	assignment cluster.Assignment
	deadline   time.Time
}

// recordPermits records the permits that a report with the given deadline grants to the replicas.
func (d *domain) recordPermits(replicas []observedReplica, deadline time.Time) {
	for _, o := range replicas {
		if o.isIntact() && !o.isScripted && !d.isDraining(o) {
			d.permits[o.assignment.Name()] = permit{assignment: o.assignment, deadline: deadline}
		}
	}
}

// assumePermits removes expired permits and adds those that an earlier leader may have granted. As
// long as a node of a replica hasn't confirmed this leader, an earlier leader may still publish
// reports under which the replica may serve.
func (d *domain) assumePermits(replicas []observedReplica, now time.Time) {
	for name, p := range d.permits {
		if now.After(p.deadline) {
			delete(d.permits, name)
		}
	}
	for _, o := range replicas {
		hasUnconfirmed := slices.ContainsFunc(o.members, func(m *trackedNode) bool { return m.isFenced() && !d.confirmsLeader(m) })
		if hasUnconfirmed && !o.isScripted {
			d.permits[o.assignment.Name()] = permit{assignment: o.assignment, deadline: now.Add(d.controller.opts.ServeWindow)}
		}
	}
}

// blockingPermits returns the permits that forbid a new assignment of the node. Until the deadline
// of a permit, routers may send requests to the replica's head, which accepts them until it is
// reassigned. A permit never blocks the head itself, because a reassigned head rejects requests for
// the old replica.
func (d *domain) blockingPermits(node string, now time.Time) []permit {
	var all []permit
	for _, p := range d.permits {
		members := p.assignment.Members
		if now.After(p.deadline) || !slices.Contains(members, node) || members[0] == node {
			continue
		}
		head, known := d.nodes[members[0]]
		headReassigned := known && head.answered && !head.state.Assignment.SameReplica(p.assignment)
		if !headReassigned {
			all = append(all, p)
		}
	}
	return all
}

// isDraining reports whether the replica gets no new requests because it is draining or leaving.
func (d *domain) isDraining(o observedReplica) bool {
	_, draining := d.drains[o.id]
	return draining || o.isLeaving()
}

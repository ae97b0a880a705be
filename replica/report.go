package replica

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/placement"
	"quartzshelf.dev/rpc"
)

// publish reports the domain. The replicas may serve for the window counted
// from start, which lies before the probe that confirmed them.
func (d *domain) publish(groups []observed, plan placement.Plan, start time.Time) {
	report := &rpc.DomainReport{Domain: d.name, DataHall: d.dataHall, Owner: d.c.opts.Self}
	report.Token = catalog.ToMessage(d.token)
	report.Token.Sequence = 0
	var loads []uint32
	for _, o := range groups {
		report.Replicas = append(report.Replicas, d.replicaReport(o, plan))
		load := cluster.Load{}
		if len(o.members) > 0 {
			load = o.leader().state.Load
		}
		loads = append(loads, uint32(load.Queue), uint32(load.Active), uint32(load.Slots))
	}
	missing := d.missing(groups, plan)
	report.Replicas = append(report.Replicas, missing...)
	report.Nodes = d.nodeReports(plan, time.Now())
	if d.content == nil || !proto.Equal(report, d.content) {
		d.version++
		d.content = proto.CloneOf(report)
	} else if start.Before(d.renewAt) {
		return
	}
	d.beat++
	d.renewAt = start.Add(d.c.opts.ServeWindow / renewals)
	report.Version, report.Beat, report.Loads = d.version, d.beat, loads
	deadline := start.Add(d.c.opts.ServeWindow)
	d.grantPermits(groups, deadline)
	d.c.opts.Catalog.Publish(report, deadline)
}

func (d *domain) replicaReport(o observed, plan placement.Plan) *rpc.ReplicaReport {
	r := &rpc.ReplicaReport{
		Id: o.id, Deployment: o.assignment.Deployment, Generation: o.assignment.Generation,
		Serving: o.intact(), Draining: d.isDraining(o), Scripted: o.scripted,
		ModelVersion: o.assignment.Version, Adapters: o.assignment.Adapters,
		Reason: o.problem,
	}
	if reason, ok := plan.Dark[o.id]; ok && !r.Serving {
		r.Reason = reason
	}
	if o.scripted {
		r.AssignedName = o.assignment.Replica
	}
	for _, m := range o.members {
		r.Nodes = append(r.Nodes, m.listed.ID)
	}
	if r.Serving {
		r.LeaderAddress = o.leader().listed.Address
	}
	return r
}

// missing reports the wanted replicas that no node holds.
func (d *domain) missing(groups []observed, plan placement.Plan) []*rpc.ReplicaReport {
	var all []*rpc.ReplicaReport
	for _, id := range slices.Sorted(maps.Keys(plan.Dark)) {
		found := slices.ContainsFunc(groups, func(o observed) bool { return o.id == id })
		if found {
			continue
		}
		all = append(all, &rpc.ReplicaReport{Id: id, Deployment: plan.DeploymentOf(id), Reason: plan.Dark[id]})
	}
	return all
}

// nodeReports describes the nodes, sorted by name.
func (d *domain) nodeReports(plan placement.Plan, now time.Time) []*rpc.NodeReport {
	all := make([]*rpc.NodeReport, 0, len(d.nodes))
	for _, id := range slices.Sorted(maps.Keys(d.nodes)) {
		m := d.nodes[id]
		n := &rpc.NodeReport{
			Id: id, State: m.reportState(now), Accelerators: uint32(m.listed.Accelerators),
			Replica: m.state.Assignment.Replica, Reason: plan.Idle[id],
		}
		if m.listed.Kind == cluster.KindService {
			n.Address = m.listed.Address
		}
		all = append(all, n)
	}
	return all
}

// reportState returns the state that the report gives for a node.
func (m *nodeMemory) reportState(now time.Time) rpc.NodeState {
	switch {
	case m.lost(now):
		return rpc.NodeState_LOST
	case !m.answered:
		return rpc.NodeState_SILENT
	case m.leaving():
		return rpc.NodeState_LEAVING
	case m.listed.Kind == cluster.KindService:
		return rpc.NodeState_SERVICE
	case m.scripted():
		return rpc.NodeState_SCRIPTED
	case m.state.Assignment.Empty():
		return rpc.NodeState_SPARE
	default:
		return rpc.NodeState_ASSIGNED
	}
}

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

// publishReport publishes the domain's report if it has changed or is due for renewal. The replicas
// may serve for one serve window from probeStart, which must not be later than the start of the
// probe that confirmed them.
func (d *domain) publishReport(replicas []observedReplica, plan placement.Plan, probeStart time.Time) {
	report := &rpc.DomainReport{Domain: d.name, DataHall: d.dataHall, Owner: d.controller.opts.Self}
	report.Token = catalog.TokenToMessage(d.token)
	report.Token.Sequence = 0
	// loads holds the queue length, the active requests and the slots of each replica, in the order
	// of replicas.
	var loads []uint32
	for _, o := range replicas {
		report.Replicas = append(report.Replicas, d.replicaReport(o, plan))
		load := cluster.Load{}
		if len(o.members) > 0 {
			load = o.head().state.Load
		}
		loads = append(loads, uint32(load.Queue), uint32(load.Active), uint32(load.Slots))
	}
	missing := d.missingReplicas(replicas, plan)
	report.Replicas = append(report.Replicas, missing...)
	report.Nodes = d.nodeReports(plan, time.Now())
	if d.lastReport == nil || !proto.Equal(report, d.lastReport) {
		d.version++
		d.lastReport = proto.CloneOf(report)
	} else if probeStart.Before(d.renewAt) {
		return
	}
	d.publishCount++
	d.renewAt = probeStart.Add(d.controller.opts.ServeWindow / renewalsPerWindow)
	report.Version, report.Beat, report.Loads = d.version, d.publishCount, loads
	deadline := probeStart.Add(d.controller.opts.ServeWindow)
	d.recordPermits(replicas, deadline)
	d.controller.opts.Catalog.Publish(report, deadline)
}

func (d *domain) replicaReport(o observedReplica, plan placement.Plan) *rpc.ReplicaReport {
	report := &rpc.ReplicaReport{
		Id: o.id, Deployment: o.assignment.Deployment, Generation: o.assignment.Generation,
		Serving: o.isIntact(), Draining: d.isDraining(o), Scripted: o.isScripted,
		ModelVersion: o.assignment.Version, Adapters: o.assignment.Adapters,
		Reason: o.problem,
	}
	if reason, ok := plan.NotServing[o.id]; ok && !report.Serving {
		report.Reason = reason
	}
	if o.isScripted {
		report.AssignedName = o.assignment.Replica
	}
	for _, m := range o.members {
		report.Nodes = append(report.Nodes, m.listed.ID)
	}
	if report.Serving {
		report.LeaderAddress = o.head().listed.Address
	}
	return report
}

// missingReplicas returns reports on replicas that deployments require but that have no nodes.
func (d *domain) missingReplicas(replicas []observedReplica, plan placement.Plan) []*rpc.ReplicaReport {
	var all []*rpc.ReplicaReport
	for _, id := range slices.Sorted(maps.Keys(plan.NotServing)) {
		found := slices.ContainsFunc(replicas, func(o observedReplica) bool { return o.id == id })
		if found {
			continue
		}
		all = append(all, &rpc.ReplicaReport{Id: id, Deployment: plan.DeploymentOf(id), Reason: plan.NotServing[id]})
	}
	return all
}

// nodeReports returns reports on all nodes, sorted by ID.
func (d *domain) nodeReports(plan placement.Plan, now time.Time) []*rpc.NodeReport {
	all := make([]*rpc.NodeReport, 0, len(d.nodes))
	for _, id := range slices.Sorted(maps.Keys(d.nodes)) {
		m := d.nodes[id]
		n := &rpc.NodeReport{
			Id: id, State: m.stateForReport(now), Accelerators: uint32(m.listed.Accelerators),
			Replica: m.state.Assignment.Replica, Reason: plan.Idle[id],
		}
		if m.listed.Kind == cluster.KindService {
			n.Address = m.listed.Address
		}
		all = append(all, n)
	}
	return all
}

// stateForReport returns the node's state for the report.
func (m *trackedNode) stateForReport(now time.Time) rpc.NodeState {
	switch {
	case m.isLost(now):
		return rpc.NodeState_LOST
	case !m.answered:
		return rpc.NodeState_SILENT
	case m.isLeaving():
		return rpc.NodeState_LEAVING
	case m.listed.Kind == cluster.KindService:
		return rpc.NodeState_SERVICE
	case m.isScripted():
		return rpc.NodeState_SCRIPTED
	case m.state.Assignment.IsEmpty():
		return rpc.NodeState_SPARE
	default:
		return rpc.NodeState_ASSIGNED
	}
}

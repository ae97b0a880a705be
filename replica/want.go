package replica

import (
	"slices"
	"time"

	"quartzshelf.dev/catalog"
	"quartzshelf.dev/cluster"
	"quartzshelf.dev/config"
	"quartzshelf.dev/placement"
	"quartzshelf.dev/rpc"
)

// rolloutDivisor limits how many replicas of a deployment may be down for an upgrade at the same
// time. The limit is the number of replicas divided by rolloutDivisor, but at least one.
const rolloutDivisor = 10

// computeWants returns what each deployment requires of this domain.
func (d *domain) computeWants(view *config.View) []placement.Want {
	var wants []placement.Want
	for _, deployment := range view.Deployments() {
		model, err := view.ModelOf(deployment)
		if err != nil || deployment.Draining() {
			continue
		}
		spec := deployment.Spec()
		demand := placement.Demand{
			Deployment: deployment.Name(), Replicas: spec.Replicas,
			Size: spec.NodesPerReplica, Priority: spec.Priority,
		}
		shares := placement.Apportion(demand, d.computeSupplies(view, deployment))
		want := placement.Want{
			Deployment: deployment.Name(),
			Replicas:   shares[d.name],
			Size:       spec.NodesPerReplica,
			Priority:   spec.Priority,
			Model:      model.Name(),
			Version:    model.Version(),
			Adapters:   view.AdaptersOf(deployment, model),
			Selects:    nodeSelector(view, deployment, d.dataHall),
			Objective:  placement.Objective{Downtime: spec.Objective.Downtime, Stranded: spec.Objective.Stranded},
		}
		want.Fill = spec.Replicas > 0 && want.Objective.Pays(d.estimateAccelerators(want.Size), d.countAssignedNodes())
		want.MayRoll = d.replicasToUpgrade(view, deployment.Name(), want)
		wants = append(wants, want)
	}
	return wants
}

// nodeSelector returns a function that reports whether a node with the given labels may be used for
// the deployment. It rejects all nodes if the region of the data hall is not allowed.
func nodeSelector(view *config.View, deployment config.Deployment, hall string) func(map[string]string) bool {
	if !deployment.AllowedRegions().Allow(view.Hall(hall).Region()) {
		return func(map[string]string) bool { return false }
	}
	return deployment.SelectsNode
}

// computeSupplies returns the numbers of usable nodes and existing replicas that each domain has
// for a deployment. It uses the last probe for this domain and the reports for other domains.
// Domains in closed data halls or in regions that the deployment does not allow are left out, so
// that its replicas are formed in other domains.
func (d *domain) computeSupplies(view *config.View, deployment config.Deployment) []placement.Supply {
	now := time.Now()
	var supplies []placement.Supply
	if view.ExclusionReason(d.dataHall, deployment.AllowedRegions()) == "" {
		supplies = append(supplies, d.ownSupply(deployment, now))
	}
	for _, report := range d.controller.opts.Catalog.Reports() {
		if report.Domain == d.name || view.ExclusionReason(report.DataHall, deployment.AllowedRegions()) != "" {
			continue
		}
		if _, deadline, _ := d.controller.opts.Catalog.TokenAndDeadline(report.Domain); now.After(deadline.Add(supplyRetention)) {
			continue
		}
		supplies = append(supplies, reportedSupply(view, deployment, report))
	}
	return supplies
}

// estimateAccelerators returns the number of accelerators on the given number of nodes. It assumes
// that each node has as many accelerators as the smallest node of the domain.
func (d *domain) estimateAccelerators(nodes int) int {
	minAccelerators := 0
	for _, m := range d.nodes {
		if m.listed.Kind == cluster.KindEngine && (minAccelerators == 0 || m.listed.Accelerators < minAccelerators) {
			minAccelerators = m.listed.Accelerators
		}
	}
	return nodes * minAccelerators
}

// countAssignedNodes returns the number of nodes that are assigned to a replica.
func (d *domain) countAssignedNodes() int {
	n := 0
	for _, m := range d.nodes {
		if !m.state.Assignment.IsEmpty() {
			n++
		}
	}
	return n
}

func (d *domain) ownSupply(deployment config.Deployment, now time.Time) placement.Supply {
	s := placement.Supply{Domain: d.name}
	existingIDs := make(map[string]bool)
	for _, m := range d.nodes {
		if m.listed.Kind != cluster.KindEngine || m.isScripted() {
			continue
		}
		if !m.isLost(now) && !m.isLeaving() && deployment.SelectsNode(m.labels) {
			s.Eligible++
		}
		if a := m.state.Assignment; a.Deployment == deployment.Name() && m.answered {
			existingIDs[a.Replica] = true
		}
	}
	s.Existing = len(existingIDs)
	if d.lastReport != nil {
		s.Serving = countServing(d.lastReport, deployment.Name())
	}
	return s
}

func reportedSupply(view *config.View, deployment config.Deployment, report *rpc.DomainReport) placement.Supply {
	s := placement.Supply{Domain: report.Domain, Serving: countServing(report, deployment.Name())}
	for _, r := range report.Replicas {
		if r.Deployment == deployment.Name() && !r.Scripted && len(r.Nodes) > 0 {
			s.Existing++
		}
	}
	for _, n := range report.Nodes {
		if n.State != rpc.NodeState_SPARE && n.State != rpc.NodeState_ASSIGNED && n.State != rpc.NodeState_SILENT {
			continue
		}
		labels := view.NodeLabels(n.Id, labelsFromList(report.Domain, report.DataHall, cluster.KindEngine))
		if deployment.SelectsNode(labels) {
			s.Eligible++
		}
	}
	return s
}

func countServing(report *rpc.DomainReport, deployment string) int {
	n := 0
	for _, r := range report.Replicas {
		if r.Deployment == deployment && r.Serving && !r.Scripted {
			n++
		}
	}
	return n
}

// replicasToUpgrade returns the IDs of the deployment's replicas that may be taken down now for an
// upgrade to the wanted version. Replicas that are down and outdated replicas that are draining are
// always returned. Other outdated replicas are returned in the order of the catalog until the limit
// of replicas that may be down is reached. Replicas that are down count against the limit, and so
// do draining replicas that come earlier in the order.
//
// Replicas in closed data halls are ignored. They keep their version until the hall opens, and the
// limit is computed without them. All owners compute the same result from the same reports.
func (d *domain) replicasToUpgrade(view *config.View, deployment string, want placement.Want) []string {
	var managed, outdated []catalog.Replica
	downCount := 0
	for _, r := range d.controller.opts.Catalog.Replicas() {
		if r.Deployment() != deployment || r.Scripted() || view.Hall(r.DataHall()).Closed() {
			continue
		}
		managed = append(managed, r)
		switch {
		case !r.ReportedServing():
			downCount++
		case r.ModelVersion() != want.Version:
			outdated = append(outdated, r)
		}
	}
	upgradeBudget := max(len(managed)/rolloutDivisor, 1) - downCount
	var allowed []string
	for _, r := range outdated {
		if r.Draining() || len(allowed) < upgradeBudget {
			allowed = append(allowed, r.ID())
		}
	}
	for _, r := range managed {
		// A replica that is down anyway may be upgraded at once.
		if !r.ReportedServing() && !slices.Contains(allowed, r.ID()) {
			allowed = append(allowed, r.ID())
		}
	}
	return allowed
}

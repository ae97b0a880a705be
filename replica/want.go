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

// rollShare is the divisor that gives how many replicas of a deployment may be
// down for a new version at a time: one in rollShare, one at the least.
const rollShare = 10

// wants works out what each deployment asks of this domain.
func (d *domain) wants(view *config.View) []placement.Want {
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
		shares := placement.Apportion(demand, d.supplies(view, deployment))
		want := placement.Want{
			Deployment: deployment.Name(),
			Replicas:   shares[d.name],
			Size:       spec.NodesPerReplica,
			Priority:   spec.Priority,
			Model:      model.Name(),
			Version:    model.Version(),
			Adapters:   view.AdaptersOf(deployment, model),
			Selects:    selectsIn(view, deployment, d.dataHall),
			Objective:  placement.Objective{Downtime: spec.Objective.Downtime, Stranded: spec.Objective.Stranded},
		}
		want.Fill = spec.Replicas > 0 && want.Objective.Pays(d.acceleratorsOf(want.Size), d.assignedNodes())
		want.MayRoll = d.mayRoll(view, deployment.Name(), want)
		wants = append(wants, want)
	}
	return wants
}

// selectsIn returns whether nodes with given labels may be used in the data hall: those
// that the deployment selects, where its requests may run.
func selectsIn(view *config.View, deployment config.Deployment, hall string) func(map[string]string) bool {
	if !deployment.AllowedRegions().Allow(view.Hall(hall).Region()) {
		return func(map[string]string) bool { return false }
	}
	return deployment.SelectsNode
}

// supplies works out what each domain can give to a deployment: other domains
// by their reports, this one by what was just probed. Domains in closed data halls and
// in regions that the deployment does not allow give nothing, so that the others form
// what is wanted.
func (d *domain) supplies(view *config.View, deployment config.Deployment) []placement.Supply {
	now := time.Now()
	var supplies []placement.Supply
	if view.KeptOut(d.dataHall, deployment.AllowedRegions()) == "" {
		supplies = append(supplies, d.ownSupply(deployment, now))
	}
	for _, report := range d.c.opts.Catalog.Reports() {
		if report.Domain == d.name || view.KeptOut(report.DataHall, deployment.AllowedRegions()) != "" {
			continue
		}
		if _, deadline, _ := d.c.opts.Catalog.Current(report.Domain); now.After(deadline.Add(staleSupply)) {
			continue
		}
		supplies = append(supplies, reportedSupply(view, deployment, report))
	}
	return supplies
}

// acceleratorsOf returns how many accelerators the given number of the domain's
// nodes has, by the smallest node.
func (d *domain) acceleratorsOf(nodes int) int {
	least := 0
	for _, m := range d.nodes {
		if m.listed.Kind == cluster.KindEngine && (least == 0 || m.listed.Accelerators < least) {
			least = m.listed.Accelerators
		}
	}
	return nodes * least
}

// assignedNodes returns how many nodes of the domain belong to a replica.
func (d *domain) assignedNodes() int {
	n := 0
	for _, m := range d.nodes {
		if !m.state.Assignment.Empty() {
			n++
		}
	}
	return n
}

func (d *domain) ownSupply(deployment config.Deployment, now time.Time) placement.Supply {
	s := placement.Supply{Domain: d.name}
	groups := make(map[string]bool)
	for _, m := range d.nodes {
		if m.listed.Kind != cluster.KindEngine || m.scripted() {
			continue
		}
		if !m.lost(now) && !m.leaving() && deployment.SelectsNode(m.labels) {
			s.Eligible++
		}
		if a := m.state.Assignment; a.Deployment == deployment.Name() && m.answered {
			groups[a.Replica] = true
		}
	}
	s.Existing = len(groups)
	if d.content != nil {
		s.Serving = servingIn(d.content, deployment.Name())
	}
	return s
}

func reportedSupply(view *config.View, deployment config.Deployment, report *rpc.DomainReport) placement.Supply {
	s := placement.Supply{Domain: report.Domain, Serving: servingIn(report, deployment.Name())}
	for _, r := range report.Replicas {
		if r.Deployment == deployment.Name() && !r.Scripted && len(r.Nodes) > 0 {
			s.Existing++
		}
	}
	for _, n := range report.Nodes {
		if n.State != rpc.NodeState_SPARE && n.State != rpc.NodeState_ASSIGNED && n.State != rpc.NodeState_SILENT {
			continue
		}
		labels := view.NodeLabels(n.Id, listLabels(report.Domain, report.DataHall, cluster.KindEngine))
		if deployment.SelectsNode(labels) {
			s.Eligible++
		}
	}
	return s
}

func servingIn(report *rpc.DomainReport, deployment string) int {
	n := 0
	for _, r := range report.Replicas {
		if r.Deployment == deployment && r.Serving && !r.Scripted {
			n++
		}
	}
	return n
}

// mayRoll returns the replicas of the deployment that may go down for the
// wanted version now. All owners work it out from the same reports: the first
// outdated replicas by name may go, as long as few enough are down. Those in closed
// data halls keep their version until the hall opens, and hold up no other.
func (d *domain) mayRoll(view *config.View, deployment string, want placement.Want) []string {
	var managed, outdated []catalog.Replica
	down := 0
	for _, r := range d.c.opts.Catalog.Replicas() {
		if r.Deployment() != deployment || r.Scripted() || view.Hall(r.DataHall()).Closed() {
			continue
		}
		managed = append(managed, r)
		switch {
		case !r.Listed():
			down++
		case r.ModelVersion() != want.Version:
			outdated = append(outdated, r)
		}
	}
	room := max(len(managed)/rollShare, 1) - down
	var allowed []string
	for _, r := range outdated {
		if r.Draining() || len(allowed) < room {
			allowed = append(allowed, r.ID())
		}
	}
	for _, r := range managed {
		// A replica that is down anyway may take the new version at once.
		if !r.Listed() && !slices.Contains(allowed, r.ID()) {
			allowed = append(allowed, r.ID())
		}
	}
	return allowed
}

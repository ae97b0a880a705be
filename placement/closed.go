package placement

// planClosed plans for a domain whose data hall is closed. It keeps all replicas of wanted
// deployments, even surplus ones, so that they can serve as soon as the hall opens. It does not
// repair broken replicas, as their nodes may be switched off. It releases only nodes of unwanted
// deployments.
func (p *planner) planClosed() {
	for _, want := range p.wants {
		for _, g := range p.sortedGroups(want.Deployment) {
			if problem := p.problemOf(g, want); problem != "" {
				p.plan.NotServing[g.id] = problem + "; its data hall is closed"
				p.plan.deployments[g.id] = want.Deployment
				p.reserve(g.id, g.nodes)
				continue
			}
			p.keepGroup(g)
		}
	}
	p.release()
	p.explainIdle()
}

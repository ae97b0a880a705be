package placement

// planClosed plans for a domain whose data hall is closed. The replicas of all wanted deployments
// stay formed, whatever their number, so that they can serve as soon as the hall opens. Broken
// ones are not repaired before that: their nodes may be switched off, and the open halls
// compensate. Only nodes of unwanted deployments are released.
func (p *planner) planClosed() {
	for _, want := range p.wants {
		for _, g := range p.sortedGroups(want.Deployment) {
			if problem := p.problemOf(g, want); problem != "" {
				p.plan.Dark[g.id] = problem + "; its data hall is closed"
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

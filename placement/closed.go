package placement

// holdAll plans for a domain whose data hall is closed. The replicas of all wanted
// deployments stay formed, however many are wanted, so that they serve at once when the
// hall opens. A broken one waits for that too: its nodes may be switched off, and the
// open halls make up for it. Only what nobody wants any more is freed.
func (p *planner) holdAll() {
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

package replica

import (
	"context"
	"time"

	"quartzshelf.dev/ownership"
)

// propose appends a grant with the given holders to the log in the background. The holders are the
// proposed owner and then the deputies. It does nothing if there are no holders or the last
// proposal was made less than proposeInterval ago.
func (d *domain) propose(ctx context.Context, grant ownership.Grant, holders []string) {
	now := time.Now()
	if now.Before(d.nextProposalAt) || len(holders) == 0 {
		return
	}
	d.nextProposalAt = now.Add(proposeInterval)
	record := ownership.Record{Domain: d.name, Replaces: grant.Epoch(), Holders: holders}
	d.controller.background.Go(func() { d.controller.appendGrant(ctx, record) })
}

// proposedHolders returns the daemons for a new grant, the owner first and then the deputies.
func (d *domain) proposedHolders() []string {
	return ownership.Holders(d.name, d.controller.opts.Members.Candidates(d.dataHall))
}

// rebalance proposes another daemon as owner once other daemons have been preferred for
// rebalanceDelay. Without rebalancing, the daemons that survive failures would accumulate domains.
func (d *domain) rebalance(ctx context.Context, grant ownership.Grant) {
	preferredHolders := d.proposedHolders()
	if len(preferredHolders) == 0 || preferredHolders[0] == d.controller.opts.Self {
		d.rebalanceAt = time.Time{}
		return
	}
	now := time.Now()
	if d.rebalanceAt.IsZero() {
		d.rebalanceAt = now.Add(rebalanceDelay)
	}
	if now.After(d.rebalanceAt) {
		d.rebalanceAt = time.Time{}
		d.propose(ctx, grant, preferredHolders)
	}
}

// withSelfFirst returns the holders with this daemon as the first, which is the owner. This daemon
// already has the state of the domain. If it is leaving, the holders are returned unchanged.
func (d *domain) withSelfFirst(holders []string) []string {
	self := d.controller.opts.Self
	if d.controller.opts.Members.IsLeaving(self) {
		return holders
	}
	ordered := []string{self}
	for _, h := range holders {
		if h != self && len(ordered) <= ownership.Deputies {
			ordered = append(ordered, h)
		}
	}
	return ordered
}

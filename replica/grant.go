package replica

import (
	"context"
	"time"

	"quartzshelf.dev/ownership"
)

// propose appends a new grant to the log in the background. It does nothing if there are no holders
// or the last proposal was made less than proposeInterval ago.
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

// rebalance proposes a grant to another daemon once that daemon has been the preferred owner for
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

// withSelfFirst returns the holders with this daemon first, because it already has the state of the
// domain. If this daemon is leaving, it returns the holders unchanged.
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

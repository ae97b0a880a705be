package replica

import (
	"context"
	"time"

	"quartzshelf.dev/ownership"
)

// propose appends a new grant in the background, at most once per proposeInterval.
func (d *domain) propose(ctx context.Context, grant ownership.Grant, holders []string) {
	now := time.Now()
	if now.Before(d.nextProposalAt) || len(holders) == 0 {
		return
	}
	d.nextProposalAt = now.Add(proposeInterval)
	record := ownership.Record{Domain: d.name, Replaces: grant.Epoch(), Holders: holders}
	d.c.background.Go(func() { d.c.appendGrant(ctx, record) })
}

// proposedHolders returns the daemons for a new grant, the owner first and then the deputies.
func (d *domain) proposedHolders() []string {
	return ownership.Holders(d.name, d.c.opts.Members.Candidates(d.dataHall))
}

// rebalance hands the domain over once another daemon has been the preferred owner for
// rebalanceDelay. Otherwise the daemons that survive failures would accumulate domains.
func (d *domain) rebalance(ctx context.Context, grant ownership.Grant) {
	preferredHolders := d.proposedHolders()
	if len(preferredHolders) == 0 || preferredHolders[0] == d.c.opts.Self {
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
	self := d.c.opts.Self
	if d.c.opts.Members.IsLeaving(self) {
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

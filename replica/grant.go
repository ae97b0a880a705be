package replica

import (
	"context"
	"time"

	"quartzshelf.dev/ownership"
)

// propose appends a new grant in the background, now and then at the most.
func (d *domain) propose(ctx context.Context, grant ownership.Grant, holders []string) {
	now := time.Now()
	if now.Before(d.proposeNext) || len(holders) == 0 {
		return
	}
	d.proposeNext = now.Add(proposeEvery)
	record := ownership.Record{Domain: d.name, Replaces: grant.Epoch(), Holders: holders}
	d.c.background.Go(func() { d.c.appendGrant(ctx, record) })
}

// bestHolders returns the holders that a new grant should name.
func (d *domain) bestHolders() []string {
	return ownership.Holders(d.name, d.c.opts.Members.Candidates(d.dataHall))
}

// rebalance hands the domain to the daemon that is best placed for it once
// that has been the same one for a while. Without it, the survivors of
// failures would own ever more domains.
func (d *domain) rebalance(ctx context.Context, grant ownership.Grant) {
	best := d.bestHolders()
	if len(best) == 0 || best[0] == d.c.opts.Self {
		d.rebalanceAt = time.Time{}
		return
	}
	now := time.Now()
	if d.rebalanceAt.IsZero() {
		d.rebalanceAt = now.Add(rebalanceAfter)
	}
	if now.After(d.rebalanceAt) {
		d.rebalanceAt = time.Time{}
		d.propose(ctx, grant, best)
	}
}

// selfFirst puts this daemon first unless it is leaving: it knows the domain.
func (d *domain) selfFirst(holders []string) []string {
	self := d.c.opts.Self
	if d.c.opts.Members.Leaving(self) {
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

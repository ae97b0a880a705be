package replica

import (
	"time"

	"quartzshelf.dev/common/token"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/rpc"
)

// decide asks package ownership what this daemon should do.
func (d *domain) decide(grant ownership.Grant) ownership.Action {
	active := d.activeRank(grant)
	_, deadline, reported := d.c.opts.Catalog.Current(d.name)
	members := d.c.opts.Members
	return ownership.Decide(ownership.Situation{
		Overdue:    reported && active >= 0 && time.Now().After(deadline.Add(listOutage)),
		Self:       d.c.opts.Self,
		Domain:     d.name,
		Grant:      grant,
		ActiveRank: active,
		Gone:       members.Gone,
		Leaving:    members.Leaving,
		Candidates: members.Candidates(d.dataHall),
	})
}

// activeRank returns the highest rank known to have been used under the grant,
// by reports and by nodes; -1 for none.
func (d *domain) activeRank(grant ownership.Grant) int {
	active := -1
	if current, _, ok := d.c.opts.Catalog.Current(d.name); ok && current.Epoch == grant.Epoch() {
		active = int(current.Rank)
	}
	if d.seen.Epoch == grant.Epoch() && grant.Epoch() > 0 {
		active = max(active, int(d.seen.Rank))
	}
	return active
}

// mayBegin keeps a daemon that cannot read the node list from taking a domain
// over, unless nobody else has for a while.
func (d *domain) mayBegin(action ownership.Action) ownership.Action {
	now := time.Now()
	if !action.Leads() {
		return action
	}
	if now.Before(d.yieldUntil) {
		return ownership.Follow
	}
	if d.leading || now.Before(d.c.listReadAt().Add(listFresh)) {
		return action
	}
	if _, deadline, ok := d.c.opts.Catalog.Current(d.name); ok && now.Before(deadline.Add(listOutage)) {
		return ownership.Follow
	}
	return action
}

// inherit takes over which nodes the leader before reported as leaving.
func (d *domain) inherit() {
	for _, report := range d.c.opts.Catalog.Reports() {
		if report.Domain != d.name {
			continue
		}
		for _, n := range report.Nodes {
			if m, ok := d.nodes[n.Id]; ok && n.State == rpc.NodeState_LEAVING {
				m.toldLeaving = true
			}
		}
	}
}

// claim makes sure that this daemon's token is the highest of the domain. It
// reports false when a newer grant than the one folded is at work.
func (d *domain) claim(grant ownership.Grant) bool {
	if d.seen.Epoch > grant.Epoch() {
		return false
	}
	mine := d.leading && d.token.Epoch == grant.Epoch()
	if mine && !d.seen.Higher(d.token) && !d.outdoneByReport() {
		return true
	}
	used := d.activeRank(grant)
	if d.token.Epoch == grant.Epoch() {
		used = max(used, int(d.token.Rank))
	}
	rank := ownership.NextRank(used, grant.Position(d.c.opts.Self), len(grant.Holders()))
	d.token = token.Token{Epoch: grant.Epoch(), Rank: rank}
	d.version, d.beat, d.content = 0, 0, nil
	if !d.leading {
		d.inherit()
		d.beganAt = time.Now()
	}
	d.leading = true
	if d.quietEpoch != grant.Epoch() {
		d.quietEpoch = grant.Epoch()
		d.quietUntil = time.Now().Add(unfencedLease + unfencedMargin)
	}
	d.c.opts.Logger.Info("leading domain", "domain", d.name, "epoch", d.token.Epoch, "rank", rank)
	return true
}

// outdoneByReport reports whether the catalog holds a report that this leader's
// would not replace: one of another leader with a higher rank, or one that an
// earlier life of this daemon published under the same rank.
func (d *domain) outdoneByReport() bool {
	current, _, ok := d.c.opts.Catalog.Current(d.name)
	if !ok || current.Epoch != d.token.Epoch {
		return false
	}
	if current.Rank != d.token.Rank {
		return current.Rank > d.token.Rank
	}
	return d.c.opts.Catalog.Version(d.name) > d.version
}

// next returns a token for one more order.
func (d *domain) next() token.Token {
	d.token.Sequence++
	return d.token
}

// yields reports whether this leader should say nothing now. One that has not
// reached most nodes for a while lets another daemon try. One that reaches them
// again first reads the node list, which may have changed meanwhile.
func (d *domain) yields(now time.Time) bool {
	if !d.cutOffSince.IsZero() && now.After(d.cutOffSince.Add(yieldAfter)) {
		d.c.opts.Logger.Warn("cannot reach most nodes; another daemon should lead", "domain", d.name)
		d.yieldUntil = now.Add(yieldFor)
		d.cutOffSince = time.Time{}
		d.stepDown()
		return true
	}
	if d.c.heldUp(now) {
		return true
	}
	regained := d.cutOffSince.IsZero() && !d.cutOffAt.IsZero()
	return regained && d.c.listReadAt().Before(d.cutOffAt) && now.Before(d.cutOffAt.Add(regainLimit))
}

// noteReach notes how many of the nodes the last probe did not reach.
func (d *domain) noteReach(silent, nodes int, now time.Time) {
	if nodes == 0 || 2*silent <= nodes {
		d.cutOffSince = time.Time{}
		return
	}
	d.cutOffAt = now
	if d.cutOffSince.IsZero() {
		d.cutOffSince = now
	}
}

// stepDown forgets what only a leader may know.
func (d *domain) stepDown() {
	if d.leading {
		d.c.opts.Logger.Info("stopped leading domain", "domain", d.name)
	}
	d.leading = false
	d.drains = make(map[string]drain)
	for _, m := range d.nodes {
		m.lostAt = time.Time{}
	}
}

// mayOrderUnfenced reports whether this daemon may order nodes that do not
// check tokens: it must be the owner, not a deputy; it must have read the log
// within the lease and found its grant; and the lease of the owner before it
// must have run out. Nothing but the margin protects against a pause between
// this check and the order.
func (d *domain) mayOrderUnfenced(grant ownership.Grant, now time.Time) bool {
	if grant.Owner() != d.c.opts.Self || now.Before(d.quietUntil) {
		return false
	}
	return now.Before(d.c.opts.OwnershipConfirmed().Add(unfencedLease))
}

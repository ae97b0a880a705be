package replica

import (
	"time"

	"quartzshelf.dev/common/token"
	"quartzshelf.dev/ownership"
	"quartzshelf.dev/rpc"
)

// decideAction returns what this daemon should do under the grant, as decided by package ownership.
func (d *domain) decideAction(grant ownership.Grant) ownership.Action {
	activeRank := d.activeRank(grant)
	_, deadline, hasReport := d.controller.opts.Catalog.TokenAndDeadline(d.name)
	members := d.controller.opts.Members
	return ownership.Decide(ownership.Situation{
		Overdue:    hasReport && activeRank >= 0 && time.Now().After(deadline.Add(reportOverdueAfter)),
		Self:       d.controller.opts.Self,
		Domain:     d.name,
		Grant:      grant,
		ActiveRank: activeRank,
		IsGone:     members.IsGone,
		IsLeaving:  members.IsLeaving,
		Candidates: members.Candidates(d.dataHall),
	})
}

// activeRank returns the highest rank that a leader has used under the grant, according to the
// reports and the nodes' tokens. It returns -1 if there is none. Each new leader under a grant uses
// a higher rank.
func (d *domain) activeRank(grant ownership.Grant) int {
	rank := -1
	if current, _, ok := d.controller.opts.Catalog.TokenAndDeadline(d.name); ok && current.Epoch == grant.Epoch() {
		rank = int(current.Rank)
	}
	if d.highestNodeToken.Epoch == grant.Epoch() && grant.Epoch() > 0 {
		rank = max(rank, int(d.highestNodeToken.Rank))
	}
	return rank
}

// restrictAction replaces a leading action by ownership.Follow in two cases. In the first, this
// daemon has recently stopped leading because it couldn't reach most nodes. In the second, this
// daemon would begin to lead with an old node list although the last report is not overdue.
func (d *domain) restrictAction(action ownership.Action) ownership.Action {
	now := time.Now()
	if !action.Leads() {
		return action
	}
	if now.Before(d.yieldUntil) {
		return ownership.Follow
	}
	if d.isLeading || now.Before(d.controller.listReadAt().Add(maxListAge)) {
		return action
	}
	if _, deadline, ok := d.controller.opts.Catalog.TokenAndDeadline(d.name); ok && now.Before(deadline.Add(reportOverdueAfter)) {
		return ownership.Follow
	}
	return action
}

// inheritLeaving marks nodes as leaving if the previous leader reported them as leaving.
func (d *domain) inheritLeaving() {
	for _, report := range d.controller.opts.Catalog.Reports() {
		if report.Domain != d.name {
			continue
		}
		for _, n := range report.Nodes {
			if m, ok := d.nodes[n.Id]; ok && n.State == rpc.NodeState_LEAVING {
				m.reportedLeaving = true
			}
		}
	}
}

// claimToken ensures that this daemon's token is the highest of the domain. When this daemon begins
// to lead under the grant, or when another token or report is higher, it takes a new rank.
// claimToken returns false if a node has reported a token from a newer grant.
func (d *domain) claimToken(grant ownership.Grant) bool {
	if d.highestNodeToken.Epoch > grant.Epoch() {
		return false
	}
	leadsUnderGrant := d.isLeading && d.token.Epoch == grant.Epoch()
	if leadsUnderGrant && !d.highestNodeToken.Higher(d.token) && !d.isSuperseded() {
		return true
	}
	highestRank := d.activeRank(grant)
	if d.token.Epoch == grant.Epoch() {
		highestRank = max(highestRank, int(d.token.Rank))
	}
	rank := ownership.NextRank(highestRank, grant.Position(d.controller.opts.Self), len(grant.Holders()))
	d.token = token.Token{Epoch: grant.Epoch(), Rank: rank}
	d.version, d.publishCount, d.lastReport = 0, 0, nil
	if !d.isLeading {
		d.inheritLeaving()
		d.leadingSince = time.Now()
	}
	d.isLeading = true
	if d.unfencedGrantEpoch != grant.Epoch() {
		d.unfencedGrantEpoch = grant.Epoch()
		d.unfencedOrdersAfter = time.Now().Add(unfencedLease + unfencedMargin)
	}
	d.controller.opts.Logger.Info("leading domain", "domain", d.name, "epoch", d.token.Epoch, "rank", rank)
	return true
}

// isSuperseded reports whether the catalog holds a report that this leader's reports would not
// replace. Such a report has a higher rank, or the same rank and a higher version. In the second
// case, this daemon published it before it was restarted.
func (d *domain) isSuperseded() bool {
	current, _, ok := d.controller.opts.Catalog.TokenAndDeadline(d.name)
	if !ok || current.Epoch != d.token.Epoch {
		return false
	}
	if current.Rank != d.token.Rank {
		return current.Rank > d.token.Rank
	}
	return d.controller.opts.Catalog.Version(d.name) > d.version
}

// nextToken increments the sequence number of the token and returns the token for the next order.
func (d *domain) nextToken() token.Token {
	d.token.Sequence++
	return d.token
}

// pauseOrStepDown reports whether this leader must neither publish nor send orders now. If it
// hasn't reached most nodes for yieldTimeout, it steps down. It pauses until there is a new node
// list if the process was suspended or if it has just regained contact with most nodes. In both
// cases the list may be outdated. After regained contact it waits at most maxListWaitAfterContact.
func (d *domain) pauseOrStepDown(now time.Time) bool {
	if !d.unreachableSince.IsZero() && now.After(d.unreachableSince.Add(yieldTimeout)) {
		d.controller.opts.Logger.Warn("cannot reach most nodes; letting another daemon lead", "domain", d.name)
		d.yieldUntil = now.Add(yieldDuration)
		d.unreachableSince = time.Time{}
		d.stepDown()
		return true
	}
	if d.controller.wasSuspended(now) {
		return true
	}
	hasRegainedContact := d.unreachableSince.IsZero() && !d.lastUnreachableAt.IsZero()
	return hasRegainedContact && d.controller.listReadAt().Before(d.lastUnreachableAt) && now.Before(d.lastUnreachableAt.Add(maxListWaitAfterContact))
}

// updateReachability updates lastUnreachableAt and unreachableSince after a probe. nodeCount is the
// number of probed nodes, and silentCount is the number of those that did not answer.
func (d *domain) updateReachability(silentCount, nodeCount int, now time.Time) {
	if nodeCount == 0 || 2*silentCount <= nodeCount {
		d.unreachableSince = time.Time{}
		return
	}
	d.lastUnreachableAt = now
	if d.unreachableSince.IsZero() {
		d.unreachableSince = now
	}
}

// stepDown clears the state that is valid only while leading.
func (d *domain) stepDown() {
	if d.isLeading {
		d.controller.opts.Logger.Info("stopped leading domain", "domain", d.name)
	}
	d.isLeading = false
	d.drains = make(map[string]drain)
	for _, m := range d.nodes {
		m.lostAt = time.Time{}
	}
}

// canOrderUnfenced reports whether this daemon may send orders to nodes that don't check tokens.
// This daemon must be the owner, not a deputy. It must have read the grant log within the last
// unfencedLease, and the lease of the previous owner must have expired. If the process pauses
// between this check and the order, only unfencedMargin prevents conflicting orders.
func (d *domain) canOrderUnfenced(grant ownership.Grant, now time.Time) bool {
	if grant.Owner() != d.controller.opts.Self || now.Before(d.unfencedOrdersAfter) {
		return false
	}
	return now.Before(d.controller.opts.OwnershipConfirmedAt().Add(unfencedLease))
}

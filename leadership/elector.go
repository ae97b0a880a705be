// Package leadership elects the daemon that leads the fleet. A grant in the store names an epoch
// and its holders: the leader and its deputies. A claim is an epoch with a rank. While the store
// is unavailable, a holder takes over by claiming a higher rank of the epoch. Two daemons may lead
// for a moment, which fencing tokens make harmless. The one with the lower claim yields as soon as
// it learns of the higher one.
package leadership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"quartzshelf.dev/common/suspension"
	"quartzshelf.dev/peers"
)

// Timing of an elector.
const (
	// tickInterval is the time between two checks whether to lead or to yield.
	tickInterval = 100 * time.Millisecond
	// registryTimeout limits a call to the registry.
	registryTimeout = 600 * time.Millisecond
	// startupDelay is how long a daemon only receives heartbeats after its start. During that time
	// it does not try to lead.
	startupDelay = 500 * time.Millisecond
	// candidateDelay is the delay by which the attempt of each candidate follows that of the
	// candidate before it. It is also the pause after a daemon yielded.
	candidateDelay = 700 * time.Millisecond
	// retryPause is the pause after a failed attempt to lead.
	retryPause = 300 * time.Millisecond
	// majorityWindow is how recently a daemon must have sent a heartbeat to be counted among all
	// daemons when a majority is determined.
	majorityWindow = 20 * time.Second
	// storeTimeout is how long after its last answer the store counts as reachable.
	storeTimeout = 4 * time.Second
	// maxDeputies is the maximum number of holders in a grant besides the leader.
	maxDeputies = 4
	// maxRank is the highest rank that may be claimed in an epoch.
	maxRank = 200
	// minAliveDeputies is how many holders of a grant should be alive besides the leader.
	minAliveDeputies = 2
	// refreshInterval is the time between two checks of the number of deputies that are alive.
	refreshInterval = 2 * time.Second
)

// Registry stores grants, each with a unique epoch.
type Registry struct {
	// Newest returns the newest grant and the position at which the next one has to be added.
	Newest func(ctx context.Context) (RegistryState, error)
	// Add adds a grant if position is still that of the next grant, that is, if no other grant was
	// added in the meantime. It reports whether it did. The epoch of the grant must be above all
	// epochs known from RegistryState and from peers.
	Add func(ctx context.Context, grant peers.Grant, position int64) (won bool, err error)
}

// RegistryState is the content of a registry.
type RegistryState struct {
	// Grant is the newest grant, the zero value before the first.
	Grant peers.Grant
	// Position is where the next grant has to be added.
	Position int64
	// MaxEpoch is an upper bound of the epochs that may have been granted. It includes grants that
	// were lost when the registry was restored from a backup.
	MaxEpoch int64
}

// Options configures an Elector.
type Options struct {
	Self     peers.Identity
	Registry Registry
	// Alive returns the other daemons that are alive.
	Alive func(now time.Time) []*peers.Peer
	// Known returns the number of other daemons that sent a heartbeat since the given time.
	Known func(since time.Time) int
	// AliveTimeout returns how long a daemon counts as alive after its last heartbeat.
	AliveTimeout func() time.Duration
	// IsSettled reports whether this daemon's information from peers is up to date.
	IsSettled func(now time.Time) bool
	// CanLead reports whether this daemon has the data that a leader needs and is not stopping.
	CanLead func() bool
	// Era returns the newest era reported by the registry. A new era begins when the registry is
	// restored from a backup. A term ends with the era in which it began, as its grant may be
	// lost. Era is nil for a registry that never loses data.
	Era func() int64
	// LastStoreAnswer returns when the store last answered this daemon.
	LastStoreAnswer func() time.Time
	// Suspended returns the total time for which the machine was suspended; nil if it never is.
	Suspended func() time.Duration
	// Lead is called for each term that this daemon wins, and runs until the term's context ends.
	// The argument first is true for the first term of a new fleet.
	Lead   func(ctx context.Context, claim peers.Claim, first bool)
	Logger hclog.Logger
}

// Elector takes part in the election of a leader. It is safe for concurrent use.
type Elector struct {
	opts      Options
	startedAt time.Time
	done      chan struct{}

	mu sync.Mutex
	// grant is the newest known grant and highestClaim the highest known claim of any daemon.
	// ownClaim is the claim by which this daemon leads, nil if it does not lead.
	grant        peers.Grant
	highestClaim peers.Claim
	ownClaim     *peers.Claim
	// ownEra is the registry's era in which the current term began.
	ownEra int64
	// stopTerm ends the current term.
	stopTerm func()
	// leaderlessSince is when this daemon first saw that there is no leader; zero while there is
	// one.
	leaderlessSince time.Time
	// nextRefresh is when the leader checks its deputies again.
	nextRefresh time.Time
	// pauseUntil is when the next attempt may be made.
	pauseUntil time.Time
}

// NewElector returns an elector, which is started by Run.
func NewElector(opts Options) *Elector {
	if opts.Suspended == nil {
		opts.Suspended = suspension.Never
	}
	return &Elector{opts: opts, startedAt: time.Now(), done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} { return e.done }

// State returns what heartbeats report to peers. These are this daemon's claim if it leads, the
// highest known claim, and the newest known grant.
func (e *Elector) State() (own *peers.Claim, highest peers.Claim, grant peers.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownClaim, e.highestClaim, e.grant
}

// HandleHeartbeat updates the known grant and claims from a heartbeat of a peer, and yields if the
// peer reports a higher claim.
func (e *Elector) HandleHeartbeat(p *peers.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Grant.Epoch > e.grant.Epoch {
		e.grant = p.Grant
	}
	for _, c := range []*peers.Claim{&p.HighestClaim, p.OwnClaim} {
		if c != nil && c.Outranks(e.highestClaim) {
			e.highestClaim = *c
		}
	}
	if e.ownClaim != nil && e.highestClaim.Outranks(*e.ownClaim) {
		e.yield("a higher claim was heard")
	}
}

// Yield ends this daemon's term, if there is one.
func (e *Elector) Yield(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yield(reason)
}

func (e *Elector) yield(reason string) {
	if e.ownClaim == nil {
		return
	}
	e.opts.Logger.Warn("leadership ended", "epoch", e.ownClaim.Epoch, "rank", e.ownClaim.Rank, "reason", reason)
	e.stopTerm()
	e.ownClaim, e.stopTerm = nil, nil
	e.pauseUntil = time.Now().Add(candidateDelay)
}

// Run takes part in elections until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	defer close(e.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.Yield("the daemon stops")
			return
		case <-ticker.C:
			if e.tick(time.Now()) {
				e.tryToLead(ctx)
			}
			if e.lacksDeputies(time.Now()) {
				e.refreshGrant(ctx)
			}
		}
	}
}

// tick ends the current term if necessary, and otherwise reports whether it is this daemon's turn
// to try to lead.
func (e *Elector) tick(now time.Time) bool {
	alive := e.opts.Alive(now)
	canLead := e.opts.CanLead()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownClaim != nil {
		switch {
		case !canLead:
			e.yield("the daemon leaves or knows too little")
		case e.currentEra() != e.ownEra:
			e.yield("the store came back from a copy")
		case e.isIsolated(alive, now):
			e.yield("neither the store nor most daemons are reached")
		}
		return false
	}
	if !canLead || !e.opts.IsSettled(now) || now.Sub(e.startedAt) < startupDelay || now.Before(e.pauseUntil) {
		e.leaderlessSince = time.Time{}
		return false
	}
	if hasLeader(alive) || e.leaderSeenByOthers(alive, now) {
		e.leaderlessSince = time.Time{}
		return false
	}
	if e.leaderlessSince.IsZero() {
		e.leaderlessSince = now
	}
	ahead := e.candidatesAhead(alive)
	return now.Sub(e.leaderlessSince) >= time.Duration(ahead)*candidateDelay && !e.isIsolated(alive, now)
}

// currentEra returns the newest era reported by the registry.
func (e *Elector) currentEra() int64 {
	if e.opts.Era == nil {
		return 0
	}
	return e.opts.Era()
}

// isIsolated reports whether neither the store nor a majority of the daemons is reachable.
func (e *Elector) isIsolated(alive []*peers.Peer, now time.Time) bool {
	known := e.opts.Known(now.Add(-majorityWindow)) + 1
	return 2*(len(alive)+1) <= known && now.Sub(e.opts.LastStoreAnswer()) > storeTimeout
}

// hasLeader reports whether one of the daemons leads and is not stopping.
func hasLeader(alive []*peers.Peer) bool {
	return slices.ContainsFunc(alive, func(p *peers.Peer) bool { return p.OwnClaim != nil && !p.Leaving })
}

// leaderSeenByOthers reports whether another daemon has recently received a heartbeat from a
// leader.
func (e *Elector) leaderSeenByOthers(alive []*peers.Peer, now time.Time) bool {
	patience := e.opts.AliveTimeout()
	return slices.ContainsFunc(alive, func(p *peers.Peer) bool {
		age := time.Duration(p.LeaderAge) * time.Millisecond
		return p.LeaderAge > 0 && age+now.Sub(p.LastHeartbeatAt) < patience
	})
}

// candidatesAhead returns the number of daemons that should try to lead before this one.
//
// The candidates are this daemon and the others that are ready and know all workers. Before the
// first grant, daemons that are not ready yet are candidates as well, because the fittest one may
// still be reading its first list of workers. If no other daemon is a candidate by these rules, all
// of them are. Daemons that are stopping are left out.
func (e *Elector) candidatesAhead(alive []*peers.Peer) int {
	candidates, unready := []peers.Identity{e.opts.Self}, []peers.Identity{}
	for _, p := range alive {
		switch {
		case p.Leaving:
		case p.Ready && p.Complete || e.grant.Epoch == 0 && !p.Ready:
			candidates = append(candidates, p.Identity)
		default:
			unready = append(unready, p.Identity)
		}
	}
	if len(candidates) == 1 {
		candidates = append(candidates, unready...)
	}
	e.sortCandidates(candidates)
	return slices.Index(candidates, e.opts.Self)
}

// sortCandidates sorts the candidates. The holders of the grant come first, in the order of the
// grant. The others follow by fitness.
func (e *Elector) sortCandidates(candidates []peers.Identity) {
	position := func(c peers.Identity) int {
		if i := slices.Index(e.grant.Holders, holderOf(c)); i >= 0 {
			return i
		}
		return len(e.grant.Holders)
	}
	slices.SortFunc(candidates, func(a, b peers.Identity) int {
		return cmp.Or(cmp.Compare(position(a), position(b)), peers.CompareFitness(a, b))
	})
}

// holderOf returns a daemon's incarnation in the form used by grants.
func holderOf(id peers.Identity) peers.Holder {
	return peers.Holder{ID: id.ID, Incarnation: id.Incarnation}
}

// tryToLead tries to win a term: by a new grant, or by a higher rank if the store is unavailable.
func (e *Elector) tryToLead(ctx context.Context) {
	// Read the era before the grant, so that a later restore of the store ends the term.
	era, stamp := e.currentEra(), suspension.NewStamp(e.opts.Suspended)
	claim, isFirst, won := e.acquireClaim(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	// If this daemon was suspended in between, others may have led meanwhile.
	if !won || stamp.Interrupted() || e.highestClaim.Outranks(claim) || ctx.Err() != nil {
		e.pauseUntil = time.Now().Add(retryPause)
		return
	}
	e.highestClaim = claim
	e.ownClaim, e.ownEra = &claim, era
	term, stop := context.WithCancel(ctx)
	e.stopTerm = stop
	e.leaderlessSince = time.Time{}
	e.opts.Logger.Info("leading", "epoch", claim.Epoch, "rank", claim.Rank, "first", isFirst)
	go e.opts.Lead(term, claim, isFirst)
}

// acquireClaim adds a grant to the registry, or uses the next rank of the known grant if the
// registry is unavailable. It returns the resulting claim, whether its grant is the first one
// ever, and whether the claim was won.
func (e *Elector) acquireClaim(ctx context.Context) (claim peers.Claim, isFirst, won bool) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	found, err := e.opts.Registry.Newest(ctx)
	if err != nil {
		claim, won = e.nextClaim()
		return claim, false, won
	}
	newest := found.Grant
	e.mu.Lock()
	if newest.Epoch > e.grant.Epoch {
		e.grant = newest
	}
	grant := e.nextGrant(found)
	isFirst = grant.Epoch == 1
	isUnusedOwnGrant := len(newest.Holders) > 0 && newest.Holders[0] == e.self() && e.highestClaim.Epoch < newest.Epoch
	e.mu.Unlock()
	if isUnusedOwnGrant {
		// An earlier call added the grant, but its answer was lost.
		return peers.Claim{Epoch: newest.Epoch}, false, true
	}
	won, err = e.opts.Registry.Add(ctx, grant, found.Position)
	if err != nil {
		e.opts.Logger.Warn("failed to add grant", "error", err)
		return peers.Claim{}, false, false
	}
	if won {
		e.mu.Lock()
		e.grant = grant
		e.mu.Unlock()
	}
	return peers.Claim{Epoch: grant.Epoch}, isFirst, won
}

// nextGrant returns the grant to add next. Its epoch is above every epoch known to the registry,
// peers or this daemon, because two grants with the same epoch would lead to equal fencing tokens.
// The caller must hold e.mu.
func (e *Elector) nextGrant(found RegistryState) peers.Grant {
	given := max(found.MaxEpoch, found.Grant.Epoch, e.grant.Epoch, e.highestClaim.Epoch)
	return peers.Grant{Epoch: given + 1, Holders: e.chooseHolders()}
}

// lacksDeputies reports whether this daemon leads, too few deputies in its grant are alive, and
// other daemons could become deputies. It returns false until the next check is due.
func (e *Elector) lacksDeputies(now time.Time) bool {
	alive := e.opts.Alive(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownClaim == nil || now.Before(e.nextRefresh) {
		return false
	}
	e.nextRefresh = now.Add(refreshInterval)
	available, holdersAlive := 0, 0
	for _, p := range alive {
		if p.Leaving {
			continue
		}
		available++
		if slices.Contains(e.grant.Holders, holderOf(p.Identity)) {
			holdersAlive++
		}
	}
	return holdersAlive < min(minAliveDeputies, available)
}

// refreshGrant adds a grant with deputies that are alive. This daemon keeps its claim. A claim of
// another daemon under the new grant is higher.
func (e *Elector) refreshGrant(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	found, err := e.opts.Registry.Newest(ctx)
	if err != nil {
		return
	}
	newest := found.Grant
	e.mu.Lock()
	superseded := newest.Epoch > e.grant.Epoch
	if superseded {
		e.grant = newest
	}
	grant := e.nextGrant(found)
	e.mu.Unlock()
	if superseded && (len(newest.Holders) == 0 || newest.Holders[0] != e.self()) {
		e.Yield("another daemon holds a newer grant")
		return
	}
	won, err := e.opts.Registry.Add(ctx, grant, found.Position)
	if err != nil || !won {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grant = grant
}

// completenessRank returns the sort key by which daemons that know all workers come first.
func completenessRank(p *peers.Peer) int {
	if p.Complete {
		return 0
	}
	return 1
}

// chooseHolders returns the holders of a new grant. This daemon comes first. Up to maxDeputies
// others follow that are alive and not stopping. Those that know all workers come before the rest,
// and within each group the fittest come first.
func (e *Elector) chooseHolders() []peers.Holder {
	others := slices.DeleteFunc(e.opts.Alive(time.Now()), func(p *peers.Peer) bool { return p.Leaving })
	slices.SortFunc(others, func(a, b *peers.Peer) int {
		return cmp.Or(cmp.Compare(completenessRank(a), completenessRank(b)), peers.CompareFitness(a.Identity, b.Identity))
	})
	holders := []peers.Holder{e.self()}
	for _, p := range others[:min(len(others), maxDeputies)] {
		holders = append(holders, holderOf(p.Identity))
	}
	return holders
}

// self returns this daemon's incarnation in the form used by grants.
func (e *Elector) self() peers.Holder { return holderOf(e.opts.Self) }

// nextClaim returns the next claim that this daemon may make under the known grant, and false if
// it may make none. Ranks are assigned to the holders in rotation, so no two holders use the same
// one.
func (e *Elector) nextClaim() (peers.Claim, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	position := slices.Index(e.grant.Holders, e.self())
	if position < 0 || e.highestClaim.Epoch > e.grant.Epoch {
		return peers.Claim{}, false
	}
	rank := position
	for e.highestClaim.Epoch == e.grant.Epoch && rank <= e.highestClaim.Rank {
		rank += len(e.grant.Holders)
	}
	return peers.Claim{Epoch: e.grant.Epoch, Rank: rank}, rank <= maxRank
}
